/* Membership repair by a group's leader: replaces lost and retired voters and adds missing ones. A
 * new voter is first added as a learner and promoted once it has caught up. */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "base/metric.h"
#include "control/control.h"
#include "policy/membership.h"

#define MEMBER_CHANGE_MS  3000
#define STATUS_TIMEOUT_MS 500
#define PERIOD_MS	  200

/* Asks the process at an address for the id of its replica of a group, and for its zone. Returns 0
 * if there is no answer or the process has not opened its groups yet. */
static uint64_t fetch_replica_id(const char *addr, unsigned group, char zone[32])
{
	const char *addrs[] = {addr};
	control_client_t *c = control_client_new(addrs, 1, 1);
	AUTO_BUF text = {0};
	uint64_t id = 0;
	json_t *o;
	json_t *g;

	if (control_client_status(c, 0, &text, clock_now_ms() + STATUS_TIMEOUT_MS) == STATUS_OK) {
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

static bool is_silent(const group_status_t *st, unsigned i, int64_t ms)
{
	return group_peer_is_silent(st, i, clock_now_ms(), ms);
}

typedef struct {
	uint64_t id;
	bool retired;
} retired_query_t;

static void read_retired(control_group_t *g, void *arg)
{
	retired_query_t *r = arg;

	r->retired = fleet_is_retired(g->fleet, r->id);
}

bool control_is_retired(control_t *ctl, uint64_t replica_id)
{
	retired_query_t r = {.id = replica_id};

	control_group_read(&ctl->groups[0], read_retired, &r);
	return r.retired;
}

typedef struct {
	str_t name;
	str_t addr;
	bool retired;
} retired_vm_query_t;

static void read_retired_vm(control_group_t *g, void *arg)
{
	retired_vm_query_t *r = arg;

	r->retired = fleet_is_retired_vm(g->fleet, r->name, r->addr);
}

bool control_is_retired_vm(control_t *ctl, const char *name, const char *addr)
{
	retired_vm_query_t r = {.name = str_c(name), .addr = str_c(addr)};

	control_group_read(&ctl->groups[0], read_retired_vm, &r);
	return r.retired;
}

/* Lists the processes that could become voters: those linked to the hub or, without a hub, the
 * spares of the settings that answer. With a hub, their replicas are those of group 0 even if g is
 * another group. */
static unsigned list_candidates(control_t *ctl, control_group_t *g,
				membership_candidate_t out[CONTROL_CANDIDATES_MAX])
{
	unsigned n = 0;

	if (ctl->hub)
		return hub_candidates(ctl, out);
	for (size_t i = 0; i < ctl->settings.spares.n && n < CONTROL_CANDIDATES_MAX; i++) {
		group_peer_t *p = &out[n].replica;

		out[n] = (membership_candidate_t){0};
		snprintf(p->addr, sizeof(p->addr), "%s", ctl->settings.spares.v[i]);
		p->id = fetch_replica_id(p->addr, g->number, p->zone);
		n += p->id != 0;
	}
	return n;
}

/* Finds the process that is now at a voter's address. Its replica id is 0 if none answers there;
 * one other than the voter's means that the process has lost the voter's disk or set its damaged
 * folder aside. With a hub, the replica is that of group 0 even if g is another group. */
static membership_candidate_t find_candidate(control_t *ctl, control_group_t *g, const char *addr)
{
	membership_candidate_t v[CONTROL_CANDIDATES_MAX];
	membership_candidate_t c = {0};
	unsigned n;

	if (!ctl->hub) {
		snprintf(c.replica.addr, sizeof(c.replica.addr), "%s", addr);
		c.replica.id = fetch_replica_id(addr, g->number, c.replica.zone);
		return c;
	}
	n = hub_candidates(ctl, v);
	for (unsigned i = 0; i < n; i++) {
		if (strcmp(v[i].replica.addr, addr) == 0)
			return v[i];
	}
	return c;
}

/* ---- what decisions are based on ---- */

/* Replicas removed as silent; read by the hub's thread, too. */
static membership_bans_t bans;
static pthread_mutex_t bans_lock = PTHREAD_MUTEX_INITIALIZER;

static void ban(uint64_t id)
{
	pthread_mutex_lock(&bans_lock);
	membership_ban(&bans, id, clock_now_ms());
	pthread_mutex_unlock(&bans_lock);
}

void control_disk_is_back(uint64_t replica_id)
{
	pthread_mutex_lock(&bans_lock);
	membership_unban(&bans, replica_id);
	pthread_mutex_unlock(&bans_lock);
}

typedef struct {
	membership_view_t view;
	membership_candidate_t candidates[CONTROL_CANDIDATES_MAX];
	membership_bans_t bans;
} view_t;

static bool is_retired(void *ctx, uint64_t id)
{
	return control_is_retired(ctx, id);
}

static bool is_retired_vm(void *ctx, const char *name, const char *addr)
{
	return control_is_retired_vm(ctx, name, addr);
}

/* Without candidates. */
static void init_view(control_t *ctl, const group_status_t *st, view_t *v)
{
	pthread_mutex_lock(&bans_lock);
	v->bans = bans;
	pthread_mutex_unlock(&bans_lock);
	v->view = (membership_view_t){.st = st,
				      .candidates = v->candidates,
				      .bans = &v->bans,
				      .now = clock_now_ms(),
				      .grace_ms = ctl->settings.replace_grace_ms,
				      .is_retired = is_retired,
				      .is_retired_vm = is_retired_vm,
				      .ctx = ctl};
}

unsigned control_count_able(control_t *ctl, uint64_t except)
{
	group_status_t st;
	view_t v;

	group_get_status(ctl->groups[0].raft, &st);
	init_view(ctl, &st, &v);
	v.view.ncandidates = list_candidates(ctl, &ctl->groups[0], v.candidates);
	return membership_count_able(&v.view, except);
}

static bool find_spare(control_t *ctl, control_group_t *g, const group_status_t *st,
		       const char *zone, group_peer_t *out)
{
	view_t v;

	init_view(ctl, st, &v);
	v.view.ncandidates = list_candidates(ctl, g, v.candidates);
	return membership_find_spare(&v.view, zone, out);
}

static bool is_eligible(control_t *ctl, const group_status_t *st, const membership_candidate_t *c)
{
	view_t v;

	init_view(ctl, st, &v);
	return membership_is_eligible(&v.view, c);
}

/* STATUS_LIMIT if fewer than a majority of the voters after the change would acknowledge. */
static status_t check_majority(control_t *ctl, const group_status_t *st, uint64_t added,
			       uint64_t removed)
{
	view_t v;

	init_view(ctl, st, &v);
	if (membership_keeps_majority(&v.view, added, removed))
		return STATUS_OK;
	return status_fail(STATUS_LIMIT, "no majority of the new voters acknowledges");
}

/* ---- steps ---- */

/* Prefers the process at the lost voter's address if it has a new replica id and isn't retired,
 * then a spare in the voter's zone, then any spare. */
static bool find_replacement(control_t *ctl, control_group_t *g, const group_status_t *st,
			     const group_peer_t *lost, group_peer_t *out)
{
	membership_candidate_t c = find_candidate(ctl, g, lost->addr);

	if (c.replica.id != lost->id && is_eligible(ctl, st, &c)) {
		*out = c.replica;
		return true;
	}
	*out = (group_peer_t){0};
	return find_spare(ctl, g, st, lost->zone, out);
}

static void remove_learner(control_group_t *g, const group_peer_t *learner, const char *reason)
{
	status_t result = group_remove(g->raft, learner->id, clock_now_ms() + MEMBER_CHANGE_MS);

	log_event(LOG_LEVEL_WARN, "learner_removed", LOG_INT("group", g->number),
		  LOG_CSTR("addr", learner->addr), LOG_CSTR("reason", reason),
		  LOG_CSTR("status", status_name(result)));
}

/* False if this process, as a new leader of group 0, may not have applied an acknowledged order to
 * retire a VM yet. */
static bool knows_all_retired(control_group_t *g)
{
	return g->number != 0 ||
	       group_read_barrier(g->raft, clock_now_ms() + MEMBER_CHANGE_MS) == STATUS_OK;
}

/* Promotes the learner once it has caught up, or removes it if it is retired: an order may come
 * after it was added. Returns true while there is a learner: the group changes one member at a
 * time, so other changes wait. */
static bool promote_learner(control_t *ctl, control_group_t *g, const group_status_t *st)
{
	for (unsigned i = 0; i < st->npeers; i++) {
		bool caught_up = st->match[i] >= st->commit;
		status_t result;

		if (st->peers[i].voter)
			continue;
		if (caught_up && !knows_all_retired(g))
			return true;
		if (control_is_retired(ctl, st->peers[i].id)) {
			remove_learner(g, &st->peers[i], "retired");
			return true;
		}
		if (!caught_up)
			return true;
		result = check_majority(ctl, st, st->peers[i].id, 0);
		if (result == STATUS_OK)
			result = group_promote(g->raft, st->peers[i].id,
					       clock_now_ms() + MEMBER_CHANGE_MS);
		log_event(LOG_LEVEL_INFO, "voter_promoted", LOG_INT("group", g->number),
			  LOG_CSTR("addr", st->peers[i].addr),
			  LOG_CSTR("status", status_name(result)));
		if (result == STATUS_OK)
			METRIC_INC("auburn_repairs_total");
		return true;
	}
	return false;
}

/* Removes a learner that has been silent for the grace time, so that another one can be added. */
static bool remove_silent_learner(control_t *ctl, control_group_t *g, const group_status_t *st)
{
	for (unsigned i = 0; i < st->npeers; i++) {
		if (st->peers[i].voter || !is_silent(st, i, ctl->settings.replace_grace_ms))
			continue;
		remove_learner(g, &st->peers[i], "silent");
		ban(st->peers[i].id);
		return true;
	}
	return false;
}

static unsigned count_voters(const group_status_t *st)
{
	unsigned n = 0;

	for (unsigned i = 0; i < st->npeers; i++)
		n += st->peers[i].voter;
	return n;
}

/* Takes the next step to replace a lost or retired voter: adds the replacement, or removes the
 * voter once the group has more voters than its target. So the group never shrinks below its
 * target. */
static void replace_voter(control_t *ctl, control_group_t *g, const group_status_t *st, unsigned i)
{
	const group_peer_t *lost = &st->peers[i];
	group_peer_t replacement;
	status_t result;

	if (count_voters(st) > control_voter_target(ctl)) {
		result = check_majority(ctl, st, 0, lost->id);
		if (result == STATUS_OK)
			result = group_remove(g->raft, lost->id, clock_now_ms() + MEMBER_CHANGE_MS);
		if (result == STATUS_OK && is_silent(st, i, ctl->settings.replace_grace_ms))
			ban(lost->id);
		log_event(LOG_LEVEL_WARN, "voter_removed", LOG_INT("group", g->number),
			  LOG_CSTR("addr", lost->addr), LOG_CSTR("status", status_name(result)),
			  LOG_CSTR("reason", "lost or retired, replaced"));
		return;
	}
	if (!find_replacement(ctl, g, st, lost, &replacement))
		return;
	result = group_add_learner(g->raft, &replacement, clock_now_ms() + MEMBER_CHANGE_MS);
	log_event(LOG_LEVEL_WARN, "voter_replacement_begun", LOG_INT("group", g->number),
		  LOG_CSTR("lost", lost->addr), LOG_CSTR("by", replacement.addr),
		  LOG_CSTR("status", status_name(result)));
}

/* True if another replica is now at the voter's address. The voter cannot come back then, so it is
 * replaced without waiting for the grace time. */
static bool has_new_id(control_t *ctl, control_group_t *g, const group_status_t *st, unsigned i)
{
	uint64_t id = find_candidate(ctl, g, st->peers[i].addr).replica.id;

	return id != 0 && id != st->peers[i].id;
}

unsigned control_voter_target(const control_t *ctl)
{
	return ctl->settings.tolerate ? 2 * (unsigned)ctl->settings.tolerate + 1
				      : (unsigned)ctl->settings.controls.n;
}

/* Adds a learner, the next voter, if the group has fewer voters than its target, as after it was
 * founded by fewer control processes. */
static void add_missing_voter(control_t *ctl, control_group_t *g, const group_status_t *st)
{
	group_peer_t spare = {0};
	status_t result;

	if (count_voters(st) >= control_voter_target(ctl) || !find_spare(ctl, g, st, NULL, &spare))
		return;
	result = group_add_learner(g->raft, &spare, clock_now_ms() + MEMBER_CHANGE_MS);
	log_event(LOG_LEVEL_INFO, "learner_added", LOG_INT("group", g->number),
		  LOG_CSTR("addr", spare.addr), LOG_INT("voters", count_voters(st)),
		  LOG_CSTR("status", status_name(result)));
}

/* Takes the next step to replace a voter that operators have retired. If it is this leader, it
 * hands over its leadership once the replacement votes, and the next leader removes it. Returns
 * true if a voter is retired: if its id is that of a retired process's replica of group 0, even if
 * g is another group. */
static bool replace_retired(control_t *ctl, control_group_t *g, const group_status_t *st)
{
	for (unsigned i = 0; i < st->npeers; i++) {
		if (!st->peers[i].voter || !control_is_retired(ctl, st->peers[i].id))
			continue;
		if (st->peers[i].id == st->self && count_voters(st) > control_voter_target(ctl))
			group_step_down(g->raft, clock_now_ms() + MEMBER_CHANGE_MS);
		else
			replace_voter(ctl, g, st, i);
		return true;
	}
	return false;
}

static bool has_learner(const group_status_t *st)
{
	return count_voters(st) < st->npeers;
}

void control_repair_round(control_t *ctl, control_group_t *g, const group_status_t *st)
{
	static deadline_t next[CONTROL_GROUPS_MAX];

	/* The group bears no further loss until a learner votes. */
	if (clock_now_ms() < next[g->number] && !has_learner(st))
		return;
	next[g->number] = clock_now_ms() + PERIOD_MS;
	if (remove_silent_learner(ctl, g, st) || promote_learner(ctl, g, st))
		return;
	for (unsigned i = 0; i < st->npeers; i++) {
		if (!st->peers[i].voter || st->peers[i].id == st->self)
			continue;
		if (!is_silent(st, i, 2 * ctl->settings.election_ms))
			continue;
		if (is_silent(st, i, ctl->settings.replace_grace_ms) || has_new_id(ctl, g, st, i)) {
			replace_voter(ctl, g, st, i);
			return;
		}
	}
	if (!replace_retired(ctl, g, st))
		add_missing_voter(ctl, g, st);
}
