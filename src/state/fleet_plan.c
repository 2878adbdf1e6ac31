#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include "state/fleet_internal.h"

/** A member that may own upstreams, with its load while the plan is made. */
typedef struct {
	const fleet_member_t *m;
	size_t total; /* upstreams of all services */
	size_t load; /* upstreams of the service at hand */
	size_t cap; /* its share of the service at hand */
} place_t;

typedef struct {
	const fleet_state_t *f;
	const fleet_plan_options_t *options;
	place_t *places;
	size_t nplaces;
	wire_owner_change_t *changes;
	size_t nchanges;
} planner_t;

static place_t *place_of(const planner_t *p, uint64_t session)
{
	for (size_t i = 0; i < p->nplaces; i++)
		if (p->places[i].m->session == session)
			return &p->places[i];
	return NULL;
}

static void change(planner_t *p, const fleet_upstream_t *u, uint64_t session)
{
	if (p->nchanges == p->options->max_changes)
		return;
	p->changes[p->nchanges++] = (wire_owner_change_t){
		.id = wire_copy(str_c(u->id)),
		.was_fence = u->fence,
		.session = session,
	};
}

static int by_service(const void *a, const void *b)
{
	const fleet_upstream_t *x = *(fleet_upstream_t *const *)a;
	const fleet_upstream_t *y = *(fleet_upstream_t *const *)b;
	int c = strcmp(x->service, y->service);

	return c ? c : strcmp(x->id, y->id);
}

/** Most of the service first, so that who has more keeps more; then who has least in all. */
static int by_load(const void *a, const void *b)
{
	const place_t *x = a;
	const place_t *y = b;

	if (x->load != y->load)
		return x->load > y->load ? -1 : 1;
	if (x->total != y->total)
		return x->total < y->total ? -1 : 1;
	return x->m->session < y->m->session ? -1 : 1;
}

/** Shares n upstreams between the places. */
static void set_caps(planner_t *p, size_t n)
{
	size_t base;
	size_t extra;

	assert(p->nplaces > 0);
	base = n / p->nplaces;
	extra = n % p->nplaces;
	qsort(p->places, p->nplaces, sizeof(*p->places), by_load);
	for (size_t i = 0; i < p->nplaces; i++)
		p->places[i].cap = base + (i < extra);
}

static bool better(const place_t *a, const place_t *b, const char *zone)
{
	bool a_near = strcmp(a->m->zone, zone) == 0;
	bool b_near = strcmp(b->m->zone, zone) == 0;

	if (a_near != b_near)
		return a_near;
	if (a->load != b->load)
		return a->load < b->load;
	if (a->total != b->total)
		return a->total < b->total;
	return a->m->session < b->m->session;
}

static void give(planner_t *p, const fleet_upstream_t *u)
{
	place_t *best = NULL;

	for (size_t i = 0; i < p->nplaces; i++) {
		place_t *at = &p->places[i];

		if (at->load < at->cap && (!best || better(at, best, u->zone)))
			best = at;
	}
	if (!best)
		return;
	change(p, u, best->m->session);
	best->load++;
	best->total++;
}

/** True when nobody may still act as the upstream's owner. */
static bool is_free(const planner_t *p, const fleet_upstream_t *u)
{
	if (u->owner)
		return !fleet_find_member(p->f, u->owner);
	if (!u->last_owner || !p->options->session_saw || !fleet_find_member(p->f, u->last_owner))
		return true;
	return p->options->session_saw(p->options->ctx, u->last_owner, u->released_view);
}

/** Releases what a place holds over its share, upstreams of other zones first. */
static void shed(planner_t *p, place_t *at, fleet_upstream_t *const *us, size_t n, bool near_too)
{
	for (size_t i = 0; i < n && at->load > at->cap; i++) {
		bool near = strcmp(us[i]->zone, at->m->zone) == 0;

		if (us[i]->owner != at->m->session || near != near_too)
			continue;
		change(p, us[i], 0);
		at->load--;
		at->total--;
	}
}

static void plan_service(planner_t *p, fleet_upstream_t *const *us, size_t n)
{
	for (size_t i = 0; i < p->nplaces; i++)
		p->places[i].load = 0;
	for (size_t i = 0; i < n; i++) {
		place_t *at = place_of(p, us[i]->owner);

		if (at)
			at->load++;
	}
	set_caps(p, n);
	for (size_t i = 0; i < n; i++) {
		if (is_free(p, us[i]))
			give(p, us[i]);
		else if (us[i]->owner && !place_of(p, us[i]->owner))
			change(p, us[i], 0);
	}
	for (size_t i = 0; i < p->nplaces; i++) {
		shed(p, &p->places[i], us, n, false);
		shed(p, &p->places[i], us, n, true);
	}
}

/** Releases upstreams that are gone, or whose owner is when nobody else may own them. */
static void release_dead(planner_t *p)
{
	for (const fleet_upstream_t *u = p->f->upstreams; u; u = u->hh.next) {
		bool orphaned = p->nplaces == 0 && !fleet_find_member(p->f, u->owner);

		if (u->owner && (u->state == WIRE_UPSTREAM_GONE || orphaned))
			change(p, u, 0);
	}
}

static void find_places(planner_t *p)
{
	p->places = mem_new(HASH_COUNT(p->f->members) * sizeof(*p->places));
	for (const fleet_member_t *m = p->f->members; m; m = m->hh.next)
		if (!m->draining)
			p->places[p->nplaces++].m = m;
}

static void plan_all(planner_t *p)
{
	fleet_upstream_t **us = mem_new(HASH_COUNT(p->f->upstreams) * sizeof(fleet_upstream_t *));
	size_t n = 0;
	size_t from = 0;

	for (fleet_upstream_t *u = p->f->upstreams; u; u = u->hh.next) {
		place_t *at = place_of(p, u->owner);

		if (u->state == WIRE_UPSTREAM_GONE)
			continue;
		us[n++] = u;
		if (at)
			at->total++;
	}
	if (n)
		qsort(us, n, sizeof(fleet_upstream_t *), by_service);
	for (size_t i = 1; i <= n && p->nplaces; i++) {
		if (i < n && strcmp(us[i]->service, us[from]->service) == 0)
			continue;
		plan_service(p, us + from, i - from);
		from = i;
	}
	free(us);
}

size_t fleet_plan_owners_with(const fleet_state_t *f, const fleet_plan_options_t *plan,
			      wire_fleet_cmd_t *cmd)
{
	planner_t p = {.f = f, .options = plan};

	p.changes = mem_new(plan->max_changes * sizeof(*p.changes));
	find_places(&p);
	release_dead(&p);
	plan_all(&p);
	free(p.places);
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
