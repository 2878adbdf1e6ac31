#include <string.h>
#include "state/fl_core.h"

uint64_t fl_retired(const fl_t *f, str_t name)
{
	for (size_t i = f->nretired; i > 0; i--)
		if (str_eq(str_c(f->retired[i - 1].name), name))
			return f->retired[i - 1].replica;
	return 0;
}

bool fl_is_retired(const fl_t *f, uint64_t replica)
{
	for (size_t i = 0; i < f->nretired; i++)
		if (f->retired[i].replica == replica)
			return true;
	return false;
}

uint64_t fl_conf_number(const fl_t *f)
{
	return f->nconfs;
}

uint64_t fl_view_version(const fl_t *f)
{
	return f->view_version;
}

uint64_t fl_session_of(const fl_t *f, str_t name, uint64_t boot)
{
	for (const fl_member_t *m = f->members; m; m = m->hh.next)
		if (m->boot == boot && str_eq(str_c(m->name), name))
			return m->session;
	return 0;
}

bool fl_session_open(const fl_t *f, uint64_t session)
{
	return fl_member(f, session) != NULL;
}

size_t fl_sessions(const fl_t *f, uint64_t *out, size_t max)
{
	size_t n = 0;

	for (const fl_member_t *m = f->members; m && n < max; m = m->hh.next)
		out[n++] = m->session;
	return n;
}

size_t fl_closed(const fl_t *f, uint64_t *out, size_t max)
{
	size_t n = f->nclosed < max ? f->nclosed : max;

	for (size_t i = 0; i < n; i++)
		out[i] = f->closed[i];
	return n;
}

static status_t query_conf(const fl_t *f, uint64_t number, aw_conf_t *out)
{
	const fl_conf_t *c;

	if (number == 0)
		number = f->nconfs;
	if (number == 0 || number > f->nconfs)
		return st_fail(ST_NOT_FOUND, "no text with number %llu",
			       (unsigned long long)number);
	c = &f->confs[number - 1];
	out->number = number;
	out->digest = c->digest;
	out->operator_name = px_copy((str_t){c->operator_name, c->operator_n});
	if (!c->text)
		return st_fail(ST_NOT_FOUND, "text %llu is no longer kept",
			       (unsigned long long)number);
	out->text = px_copy((str_t){c->text, c->text_n});
	return ST_OK;
}

static void fill_member(const fl_member_t *m, aw_member_t *out)
{
	out->name = px_copy(str_c(m->name));
	out->addr = px_copy(str_c(m->addr));
	out->peer = px_copy(str_c(m->peer));
	out->zone = px_copy(str_c(m->zone));
	out->boot = m->boot;
	out->session = m->session;
	out->draining = m->draining;
}

static void fill_upstream(const fl_upstream_t *u, aw_upstream_t *out)
{
	out->id = px_copy(str_c(u->id));
	out->addr = px_copy(str_c(u->addr));
	out->zone = px_copy(str_c(u->zone));
	out->service = px_copy(str_c(u->service));
	out->state = u->state;
	out->owner = u->owner;
	out->fence = u->fence;
}

static void query_view(const fl_t *f, aw_view_t *v)
{
	v->view_version = f->view_version;
	v->conf_number = f->nconfs;
	v->ledger_groups = f->ledger_groups;
	v->members.members_val = mem_new(HASH_COUNT(f->members) * sizeof(aw_member_t));
	for (const fl_member_t *m = f->members; m; m = m->hh.next)
		fill_member(m, &v->members.members_val[v->members.members_len++]);
	v->upstreams.upstreams_val = mem_new(HASH_COUNT(f->upstreams) * sizeof(aw_upstream_t));
	for (const fl_upstream_t *u = f->upstreams; u; u = u->hh.next)
		fill_upstream(u, &v->upstreams.upstreams_val[v->upstreams.upstreams_len++]);
}

void fl_query(const fl_t *f, const aw_query_t *q, aw_query_res_t *res)
{
	status_t st = ST_OK;

	memset(res, 0, sizeof(*res));
	if (q->kind == AW_QUERY_CONF)
		st = query_conf(f, q->aw_query_t_u.number, &res->conf);
	else if (q->kind == AW_QUERY_VIEW)
		query_view(f, &res->view);
	else
		st = st_fail(ST_INVALID, "not a query of the fleet group");
	res->status = (int)st;
	if (st != ST_OK)
		res->message = px_copy(str_c(st_message()));
}
