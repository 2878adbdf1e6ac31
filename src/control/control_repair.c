#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "base/metric.h"
#include "control/control.h"

#define CHANGE_MS 3000
#define ASK_MS	  500
#define PERIOD_MS 200

/* What the process at an address says of its replica of a group. */
static uint64_t replica_id_at(const char *addr, unsigned group, char zone[32])
{
	const char *addrs[] = {addr};
	control_client_t *c = control_client_new(addrs, 1, 1);
	AUTO_BUF text = {0};
	uint64_t id = 0;
	json_t *o;
	json_t *g;

	if (control_client_status(c, 0, &text, clock_now_ms() + ASK_MS) == STATUS_OK) {
		o = json_loadb(text.p, text.n, 0, NULL);
		g = json_array_get(json_object_get(o, "groups"), group);
		if (json_is_string(json_object_get(g, "id")))
			id = strtoull(json_string_value(json_object_get(g, "id")), NULL, 16);
		if (json_is_string(json_object_get(o, "zone")))
			snprintf(zone, 32, "%s", json_string_value(json_object_get(o, "zone")));
		json_decref(o);
	}
	control_client_free(c);
	return id;
}

static const group_peer_t *peer_by_id(const group_status_t *st, uint64_t id)
{
	for (unsigned i = 0; i < st->npeers; i++) {
		if (st->peers[i].id == id)
			return &st->peers[i];
	}
	return NULL;
}

static bool is_voter_addr(const group_status_t *st, const char *addr)
{
	for (unsigned i = 0; i < st->npeers; i++) {
		if (st->peers[i].voter && strcmp(st->peers[i].addr, addr) == 0)
			return true;
	}
	return false;
}

static bool is_silent(const group_status_t *st, unsigned i, int64_t ms)
{
	deadline_t heard =
		st->last_answer[i] > st->leader_since ? st->last_answer[i] : st->leader_since;

	return clock_now_ms() - heard > ms;
}

typedef struct {
	uint64_t id;
	bool retired;
} retired_t;

static void read_retired(control_group_t *g, void *arg)
{
	retired_t *r = arg;

	r->retired = fleet_is_retired(g->fleet, r->id);
}

bool control_is_retired(control_t *cn, uint64_t id)
{
	retired_t r = {.id = id};

	control_group_read(&cn->groups[0], read_retired, &r);
	return r.retired;
}

/* Control processes that could vote: those linked to the hub, or else the spares of the settings.
 */
static unsigned candidates(control_t *cn, control_group_t *g,
			   group_peer_t out[CONTROL_CANDIDATES_MAX])
{
	unsigned n = 0;

	if (cn->hub)
		return hub_candidates(cn, out);
	for (size_t i = 0; i < cn->settings.spares.n && n < CONTROL_CANDIDATES_MAX; i++) {
		group_peer_t *p = &out[n];

		*p = (group_peer_t){0};
		snprintf(p->addr, sizeof(p->addr), "%s", cn->settings.spares.v[i]);
		p->id = replica_id_at(p->addr, g->number, p->zone);
		n += p->id != 0;
	}
	return n;
}

/* Id of the replica at a voter's address: another one there has lost its disk. */
static uint64_t id_at(control_t *cn, control_group_t *g, const char *addr, char zone[32])
{
	group_peer_t v[CONTROL_CANDIDATES_MAX];
	unsigned n;

	if (!cn->hub)
		return replica_id_at(addr, g->number, zone);
	n = hub_candidates(cn, v);
	for (unsigned i = 0; i < n; i++) {
		if (strcmp(v[i].addr, addr) != 0)
			continue;
		snprintf(zone, 32, "%s", v[i].zone);
		return v[i].id;
	}
	return 0;
}

static unsigned voters_in(const group_status_t *st, const char *zone)
{
	unsigned n = 0;

	for (unsigned i = 0; i < st->npeers; i++)
		n += st->peers[i].voter && strcmp(st->peers[i].zone, zone) == 0;
	return n;
}

/* Prefers a zone, and without one the zone that holds the fewest voters. */
static bool find_spare(control_t *cn, control_group_t *g, const group_status_t *st,
		       const char *zone, group_peer_t *out)
{
	group_peer_t v[CONTROL_CANDIDATES_MAX];
	unsigned n = candidates(cn, g, v);
	bool found = false;

	for (unsigned i = 0; i < n; i++) {
		bool better;

		if (is_voter_addr(st, v[i].addr) || peer_by_id(st, v[i].id) ||
		    control_is_retired(cn, v[i].id))
			continue;
		better = zone ? strcmp(v[i].zone, zone) == 0
			      : voters_in(st, v[i].zone) < voters_in(st, out->zone);
		if (!found || better)
			*out = v[i];
		found = true;
	}
	return found;
}

/* The lost voter's own address under a new id comes first, then a spare in its zone, then any. */
static bool find_replacement(control_t *cn, control_group_t *g, const group_status_t *st,
			     const group_peer_t *lost, group_peer_t *out)
{
	uint64_t id;

	*out = (group_peer_t){0};
	snprintf(out->addr, sizeof(out->addr), "%s", lost->addr);
	id = id_at(cn, g, lost->addr, out->zone);
	if (id && id != lost->id && !peer_by_id(st, id)) {
		out->id = id;
		return true;
	}
	return find_spare(cn, g, st, lost->zone, out);
}

/* A learner that waits stands for the voter that it is to replace. */
static bool promote_ready(control_group_t *g, const group_status_t *st)
{
	for (unsigned i = 0; i < st->npeers; i++) {
		status_t got;

		if (st->peers[i].voter)
			continue;
		if (st->match[i] < st->commit)
			return true;
		got = group_promote(g->raft, st->peers[i].id, clock_now_ms() + CHANGE_MS);
		log_event(LOG_LEVEL_INFO, "voter_promoted", LOG_INT("group", g->number),
			  LOG_CSTR("addr", st->peers[i].addr),
			  LOG_CSTR("status", status_name(got)));
		if (got == STATUS_OK)
			METRIC_INC("auburn_repairs_total");
		return true;
	}
	return false;
}

/* A learner that is gone itself makes room for another. */
static bool drop_dead_learner(control_t *cn, control_group_t *g, const group_status_t *st)
{
	for (unsigned i = 0; i < st->npeers; i++) {
		if (st->peers[i].voter || !is_silent(st, i, cn->settings.replace_grace_ms))
			continue;
		group_remove(g->raft, st->peers[i].id, clock_now_ms() + CHANGE_MS);
		log_event(LOG_LEVEL_WARN, "learner_removed", LOG_INT("group", g->number),
			  LOG_CSTR("addr", st->peers[i].addr));
		return true;
	}
	return false;
}

static unsigned voters(const group_status_t *st)
{
	unsigned n = 0;

	for (unsigned i = 0; i < st->npeers; i++)
		n += st->peers[i].voter;
	return n;
}

/* The lost one leaves only once its replacement votes: the group is never smaller than before. */
static void replace_voter(control_t *cn, control_group_t *g, const group_status_t *st, unsigned i)
{
	const group_peer_t *lost = &st->peers[i];
	group_peer_t fresh;
	status_t got;

	if (voters(st) > control_voter_target(cn)) {
		got = group_remove(g->raft, lost->id, clock_now_ms() + CHANGE_MS);
		log_event(LOG_LEVEL_WARN, "voter_removed", LOG_INT("group", g->number),
			  LOG_CSTR("addr", lost->addr), LOG_CSTR("status", status_name(got)),
			  LOG_CSTR("reason", "lost or retired, replaced"));
		return;
	}
	if (!find_replacement(cn, g, st, lost, &fresh))
		return;
	got = group_add_learner(g->raft, &fresh, clock_now_ms() + CHANGE_MS);
	log_event(LOG_LEVEL_WARN, "voter_replacement_begun", LOG_INT("group", g->number),
		  LOG_CSTR("lost", lost->addr), LOG_CSTR("by", fresh.addr),
		  LOG_CSTR("status", status_name(got)));
}

/* A voter whose address answers under another id has lost its disk: no grace is needed. */
static bool has_new_id(control_t *cn, control_group_t *g, const group_status_t *st, unsigned i)
{
	char zone[32];
	uint64_t id = id_at(cn, g, st->peers[i].addr, zone);

	return id != 0 && id != st->peers[i].id;
}

unsigned control_voter_target(const control_t *cn)
{
	return cn->settings.tolerate ? 2 * (unsigned)cn->settings.tolerate + 1
				     : (unsigned)cn->settings.controls.n;
}

/* A group founded with fewer voters than it is to have grows by one at a time. */
static void grow(control_t *cn, control_group_t *g, const group_status_t *st)
{
	group_peer_t fresh = {0};
	status_t got;

	if (voters(st) >= control_voter_target(cn) || !find_spare(cn, g, st, NULL, &fresh))
		return;
	got = group_add_learner(g->raft, &fresh, clock_now_ms() + CHANGE_MS);
	log_event(LOG_LEVEL_INFO, "voter_added", LOG_INT("group", g->number),
		  LOG_CSTR("addr", fresh.addr), LOG_INT("voters", voters(st)),
		  LOG_CSTR("status", status_name(got)));
}

/* Replaces a voter that is to be emptied; one that leads hands over first. */
static bool retire_one(control_t *cn, control_group_t *g, const group_status_t *st)
{
	for (unsigned i = 0; i < st->npeers; i++) {
		if (!control_is_retired(cn, st->peers[i].id))
			continue;
		if (!st->peers[i].voter)
			group_remove(g->raft, st->peers[i].id, clock_now_ms() + CHANGE_MS);
		else if (st->peers[i].id == st->self && voters(st) > control_voter_target(cn))
			group_step_down(g->raft, clock_now_ms() + CHANGE_MS);
		else
			replace_voter(cn, g, st, i);
		return true;
	}
	return false;
}

void control_repair_round(control_t *cn, control_group_t *g, const group_status_t *st)
{
	static deadline_t next[CONTROL_GROUPS_MAX];

	if (clock_now_ms() < next[g->number])
		return;
	next[g->number] = clock_now_ms() + PERIOD_MS;
	if (drop_dead_learner(cn, g, st) || promote_ready(g, st))
		return;
	for (unsigned i = 0; i < st->npeers; i++) {
		if (!st->peers[i].voter || st->peers[i].id == st->self)
			continue;
		if (!is_silent(st, i, 2 * cn->settings.election_ms))
			continue;
		if (is_silent(st, i, cn->settings.replace_grace_ms) || has_new_id(cn, g, st, i)) {
			replace_voter(cn, g, st, i);
			return;
		}
	}
	if (!retire_one(cn, g, st))
		grow(cn, g, st);
}
