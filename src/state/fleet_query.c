/* Queries of the fleet's state. */
#include <string.h>
#include "state/fleet_internal.h"

bool fleet_has_retired(const fleet_state_t *f, str_t key)
{
	for (size_t i = 0; i < f->nretired; i++)
		if (str_eq(str_c(f->retired[i].key), key))
			return true;
	return false;
}

bool fleet_is_retired(const fleet_state_t *f, uint64_t replica)
{
	for (size_t i = 0; i < f->nretired; i++)
		if (f->retired[i].replica == replica)
			return true;
	return false;
}

bool fleet_is_retired_as(const fleet_state_t *f, str_t key, uint64_t replica)
{
	for (size_t i = 0; i < f->nretired; i++)
		if (f->retired[i].replica == replica && str_eq(str_c(f->retired[i].key), key))
			return true;
	return false;
}

bool fleet_is_retired_vm(const fleet_state_t *f, str_t name, str_t addr)
{
	for (size_t i = 0; i < f->nretired; i++)
		if (str_eq(str_c(f->retired[i].key), name) &&
		    fleet_is_retired_as(f, addr, f->retired[i].replica))
			return true;
	return false;
}

uint64_t fleet_config_number(const fleet_state_t *f)
{
	return f->nconfigs;
}

uint64_t fleet_view_version(const fleet_state_t *f)
{
	return f->view_version;
}

uint64_t fleet_find_session(const fleet_state_t *f, str_t name, uint64_t boot)
{
	for (const fleet_member_t *m = f->members; m; m = m->hh.next)
		if (m->boot == boot && str_eq(str_c(m->name), name))
			return m->session;
	return 0;
}

bool fleet_session_is_open(const fleet_state_t *f, uint64_t session)
{
	return fleet_find_member(f, session) != NULL;
}

size_t fleet_open_sessions(const fleet_state_t *f, uint64_t *out, size_t max)
{
	size_t n = 0;

	for (const fleet_member_t *m = f->members; m && n < max; m = m->hh.next)
		out[n++] = m->session;
	return n;
}

size_t fleet_closed_sessions(const fleet_state_t *f, uint64_t *out, size_t max)
{
	size_t n = f->nclosed < max ? f->nclosed : max;

	for (size_t i = 0; i < n; i++)
		out[i] = f->closed[i];
	return n;
}

static status_t query_config(const fleet_state_t *f, uint64_t number, wire_config_t *out)
{
	const fleet_config_t *c;

	if (number == 0)
		number = f->nconfigs;
	if (number == 0 || number > f->nconfigs)
		return status_fail(STATUS_NOT_FOUND, "no config with number %llu",
				   (unsigned long long)number);
	c = &f->configs[number - 1];
	out->number = number;
	out->digest = c->digest;
	out->operator_name = wire_copy((str_t){c->operator_name, c->operator_n});
	if (!c->text)
		return status_fail(STATUS_NOT_FOUND, "text of config %llu is no longer stored",
				   (unsigned long long)number);
	out->text = wire_copy((str_t){c->text, c->text_n});
	return STATUS_OK;
}

static void fill_member(const fleet_member_t *m, wire_member_t *out)
{
	out->name = wire_copy(str_c(m->name));
	out->addr = wire_copy(str_c(m->addr));
	out->peer = wire_copy(str_c(m->peer));
	out->zone = wire_copy(str_c(m->zone));
	out->boot = m->boot;
	out->session = m->session;
	out->draining = m->draining;
}

static void fill_upstream(const fleet_upstream_t *u, wire_upstream_t *out)
{
	out->id = wire_copy(str_c(u->id));
	out->addr = wire_copy(str_c(u->addr));
	out->zone = wire_copy(str_c(u->zone));
	out->service = wire_copy(str_c(u->service));
	out->state = u->state;
	out->owner = u->owner;
	out->fence = u->fence;
}

static void query_view(const fleet_state_t *f, wire_view_t *v)
{
	v->view_version = f->view_version;
	v->conf_number = f->nconfigs;
	v->ledger_groups = f->ledger_groups;
	v->members.members_val = mem_new(HASH_COUNT(f->members) * sizeof(wire_member_t));
	for (const fleet_member_t *m = f->members; m; m = m->hh.next)
		fill_member(m, &v->members.members_val[v->members.members_len++]);
	v->upstreams.upstreams_val = mem_new(HASH_COUNT(f->upstreams) * sizeof(wire_upstream_t));
	for (const fleet_upstream_t *u = f->upstreams; u; u = u->hh.next)
		fill_upstream(u, &v->upstreams.upstreams_val[v->upstreams.upstreams_len++]);
}

void fleet_query(const fleet_state_t *f, const wire_query_t *q, wire_query_res_t *res)
{
	status_t st = STATUS_OK;

	memset(res, 0, sizeof(*res));
	if (q->kind == WIRE_QUERY_CONFIG)
		st = query_config(f, q->wire_query_t_u.number, &res->conf);
	else if (q->kind == WIRE_QUERY_VIEW)
		query_view(f, &res->view);
	else
		st = status_fail(STATUS_INVALID, "not a query of the fleet group");
	res->status = (int)st;
	if (st != STATUS_OK)
		res->message = wire_copy(str_c(status_message()));
}
