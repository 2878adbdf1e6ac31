/* Plans which entry owns which upstream. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include "state/fleet_internal.h"

/** A member that may own upstreams, with its load as planned so far. */
typedef struct {
	const fleet_member_t *m;
	size_t total; /* upstreams owned, of all services */
	size_t load; /* upstreams owned, of the current service */
	size_t quota; /* upstreams that it should own, of the current service */
} candidate_t;

typedef struct {
	const fleet_state_t *f;
	const fleet_plan_options_t *options;
	candidate_t *candidates;
	size_t ncandidates;
	wire_owner_change_t *changes;
	size_t nchanges;
} plan_state_t;

static candidate_t *find_candidate(const plan_state_t *p, uint64_t session)
{
	for (size_t i = 0; i < p->ncandidates; i++)
		if (p->candidates[i].m->session == session)
			return &p->candidates[i];
	return NULL;
}

static void add_change(plan_state_t *p, const fleet_upstream_t *u, uint64_t session)
{
	if (p->nchanges == p->options->max_changes)
		return;
	p->changes[p->nchanges++] = (wire_owner_change_t){
		.id = wire_copy(str_c(u->id)),
		.was_fence = u->fence,
		.session = session,
	};
}

static int compare_by_service(const void *a, const void *b)
{
	const fleet_upstream_t *x = *(fleet_upstream_t *const *)a;
	const fleet_upstream_t *y = *(fleet_upstream_t *const *)b;
	int c = strcmp(x->service, y->service);

	return c ? c : strcmp(x->id, y->id);
}

/** Members with the most upstreams of the service first, so that they get the larger quotas and
 * release fewer; then those with the fewest upstreams in all. */
static int compare_by_load(const void *a, const void *b)
{
	const candidate_t *x = a;
	const candidate_t *y = b;

	if (x->load != y->load)
		return x->load > y->load ? -1 : 1;
	if (x->total != y->total)
		return x->total < y->total ? -1 : 1;
	return x->m->session < y->m->session ? -1 : 1;
}

/** Divides n upstreams evenly among the candidates. */
static void set_quotas(plan_state_t *p, size_t n)
{
	size_t base;
	size_t extra;

	assert(p->ncandidates > 0);
	base = n / p->ncandidates;
	extra = n % p->ncandidates;
	qsort(p->candidates, p->ncandidates, sizeof(*p->candidates), compare_by_load);
	for (size_t i = 0; i < p->ncandidates; i++)
		p->candidates[i].quota = base + (i < extra);
}

/** Prefers the zone, then the lower load; the lower session number decides between equals. */
static bool is_better_candidate(const candidate_t *a, const candidate_t *b, const char *zone)
{
	bool a_in_zone = strcmp(a->m->zone, zone) == 0;
	bool b_in_zone = strcmp(b->m->zone, zone) == 0;

	if (a_in_zone != b_in_zone)
		return a_in_zone;
	if (a->load != b->load)
		return a->load < b->load;
	if (a->total != b->total)
		return a->total < b->total;
	return a->m->session < b->m->session;
}

/** Assigns the upstream to the best member below its quota, if there is one. */
static void assign_owner(plan_state_t *p, const fleet_upstream_t *u)
{
	candidate_t *best = NULL;

	for (size_t i = 0; i < p->ncandidates; i++) {
		candidate_t *cand = &p->candidates[i];

		if (cand->load < cand->quota && (!best || is_better_candidate(cand, best, u->zone)))
			best = cand;
	}
	if (!best)
		return;
	add_change(p, u, best->m->session);
	best->load++;
	best->total++;
}

/** Returns true if no entry still acts as the upstream's owner. An owner acts until its session is
 * closed; after a release it acts only until it has received the view of the release. */
static bool is_assignable(const plan_state_t *p, const fleet_upstream_t *u)
{
	if (u->owner)
		return !fleet_find_member(p->f, u->owner);
	if (!u->last_owner || !p->options->session_has_view ||
	    !fleet_find_member(p->f, u->last_owner))
		return true;
	return p->options->session_has_view(p->options->ctx, u->last_owner, u->released_view);
}

/** Releases upstreams that a member owns over its quota: only those in its own zone (same_zone), or
 * only the others. */
static void release_over_quota(plan_state_t *p, candidate_t *cand,
			       fleet_upstream_t *const *upstreams, size_t n, bool same_zone)
{
	for (size_t i = 0; i < n && cand->load > cand->quota; i++) {
		bool in_zone = strcmp(upstreams[i]->zone, cand->m->zone) == 0;

		if (upstreams[i]->owner != cand->m->session || in_zone != same_zone)
			continue;
		add_change(p, upstreams[i], 0);
		cand->load--;
		cand->total--;
	}
}

/** Plans the n upstreams of one service. */
static void plan_service(plan_state_t *p, fleet_upstream_t *const *upstreams, size_t n)
{
	for (size_t i = 0; i < p->ncandidates; i++)
		p->candidates[i].load = 0;
	for (size_t i = 0; i < n; i++) {
		candidate_t *cand = find_candidate(p, upstreams[i]->owner);

		if (cand)
			cand->load++;
	}
	set_quotas(p, n);
	for (size_t i = 0; i < n; i++) {
		if (is_assignable(p, upstreams[i]))
			assign_owner(p, upstreams[i]);
		else if (upstreams[i]->owner && !find_candidate(p, upstreams[i]->owner))
			add_change(p, upstreams[i], 0); /* its owner is draining */
	}
	/* Members release upstreams of other zones first. */
	for (size_t i = 0; i < p->ncandidates; i++) {
		release_over_quota(p, &p->candidates[i], upstreams, n, false);
		release_over_quota(p, &p->candidates[i], upstreams, n, true);
	}
}

/** Releases upstreams that are gone and, if no member may own any, those of closed sessions. */
static void release_unownable(plan_state_t *p)
{
	for (const fleet_upstream_t *u = p->f->upstreams; u; u = u->hh.next) {
		bool owner_closed = p->ncandidates == 0 && !fleet_find_member(p->f, u->owner);

		if (u->owner && (u->state == WIRE_UPSTREAM_GONE || owner_closed))
			add_change(p, u, 0);
	}
}

static void find_candidates(plan_state_t *p)
{
	p->candidates = mem_new(HASH_COUNT(p->f->members) * sizeof(*p->candidates));
	for (const fleet_member_t *m = p->f->members; m; m = m->hh.next)
		if (!m->draining)
			p->candidates[p->ncandidates++].m = m;
}

static void plan_services(plan_state_t *p)
{
	fleet_upstream_t **upstreams =
		mem_new(HASH_COUNT(p->f->upstreams) * sizeof(fleet_upstream_t *));
	size_t n = 0;
	size_t first = 0;

	for (fleet_upstream_t *u = p->f->upstreams; u; u = u->hh.next) {
		candidate_t *cand = find_candidate(p, u->owner);

		if (u->state == WIRE_UPSTREAM_GONE)
			continue;
		upstreams[n++] = u;
		if (cand)
			cand->total++;
	}
	if (n)
		qsort(upstreams, n, sizeof(fleet_upstream_t *), compare_by_service);
	for (size_t i = 1; i <= n && p->ncandidates; i++) {
		if (i < n && strcmp(upstreams[i]->service, upstreams[first]->service) == 0)
			continue;
		plan_service(p, upstreams + first, i - first);
		first = i;
	}
	free(upstreams);
}

size_t fleet_plan_owners_with(const fleet_state_t *f, const fleet_plan_options_t *plan,
			      wire_fleet_cmd_t *cmd)
{
	plan_state_t p = {.f = f, .options = plan};

	p.changes = mem_new(plan->max_changes * sizeof(*p.changes));
	find_candidates(&p);
	release_unownable(&p);
	plan_services(&p);
	free(p.candidates);
	memset(cmd, 0, sizeof(*cmd));
	cmd->kind = WIRE_FLEET_OWNERS;
	cmd->wire_fleet_cmd_t_u.own.own_val = p.changes;
	cmd->wire_fleet_cmd_t_u.own.own_len = (u_int)p.nchanges;
	return p.nchanges;
}

size_t fleet_plan_owners(const fleet_state_t *f, size_t max_changes, wire_fleet_cmd_t *cmd)
{
	return fleet_plan_owners_with(f, &(fleet_plan_options_t){.max_changes = max_changes}, cmd);
}
