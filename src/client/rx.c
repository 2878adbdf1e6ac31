#include "client/rx.h"

#include <isa-l/igzip_lib.h>
#include <stdlib.h>
#include "proto/px.h"

/** Room for what deflate adds to bytes that don't shrink. */
#define DEFLATE_MARGIN(n) ((n) / 16 + 1024)

/* ---- the change, packed ---- */

static status_t deflate(str_t in, buf_t *out)
{
	size_t room = in.n + DEFLATE_MARGIN(in.n);
	AUTO_FREE uint8_t *to = mem_new(room);
	AUTO_FREE uint8_t *level = mem_new(ISAL_DEF_LVL1_DEFAULT);
	AUTO_FREE struct isal_zstream *z = mem_new(sizeof(*z));

	isal_deflate_stateless_init(z);
	z->level = 1;
	z->level_buf = level;
	z->level_buf_size = ISAL_DEF_LVL1_DEFAULT;
	z->end_of_stream = 1;
	z->next_in = (uint8_t *)in.p;
	z->avail_in = (uint32_t)in.n;
	z->next_out = to;
	z->avail_out = (uint32_t)room;
	if (isal_deflate_stateless(z) != COMP_OK)
		return st_fail(ST_LIMIT, "%zu bytes could not be deflated", in.n);
	buf_add(out, (str_t){(const char *)to, z->total_out});
	return ST_OK;
}

static status_t inflate(str_t in, uint32_t size, char *out)
{
	AUTO_FREE struct inflate_state *z = mem_new(sizeof(*z));

	isal_inflate_init(z);
	z->next_in = (uint8_t *)in.p;
	z->avail_in = (uint32_t)in.n;
	z->next_out = (uint8_t *)out;
	z->avail_out = size;
	if (isal_inflate_stateless(z) != ISAL_DECOMP_OK || z->total_out != size)
		return st_fail(ST_CORRUPT, "a change of routes doesn't unpack to %u bytes", size);
	return ST_OK;
}

/* ---- from routes to a change; the message borrows from them ---- */

static lw_route_t put_of(const ru_route_t *t, lw_share_t *shares)
{
	for (size_t i = 0; i < t->nshares; i++)
		shares[i] =
			(lw_share_t){px_bytes(str_c(t->shares[i].service)), t->shares[i].weight};
	return (lw_route_t){
		.name = px_bytes(str_c(t->name)),
		.host = px_bytes(str_c(t->host)),
		.prefix = px_bytes(str_c(t->prefix)),
		.kind = (u_int)t->kind,
		.shares = {(u_int)t->nshares, shares},
		.timeout_ms = t->timeout_ms,
		.objective_ms = t->objective_ms,
		.pause_ms = t->pause_ms,
		.patience_ms = t->patience_ms,
		.due_ms = t->due_ms,
		.retention_ms = t->retention_ms,
		.attempts = t->attempts,
		.priority = t->priority,
		.waiting_tokens_max = t->waiting_tokens_max,
		.resumable = t->resumable,
	};
}

static size_t count_shares(const ru_t *r)
{
	size_t n = 0;

	for (size_t i = 0; i < r->nroutes; i++)
		n += r->routes[i].nshares;
	return n;
}

static void fill_put(const ru_t *base, const ru_t *r, lw_routes_t *m, lw_share_t *shares)
{
	for (size_t i = 0; i < r->nroutes; i++) {
		const ru_route_t *t = &r->routes[i];
		const ru_route_t *old =
			base ? ru_find(base, str_c(t->host), str_c(t->prefix)) : NULL;

		if (old && ru_route_eq(old, t))
			continue;
		m->put.put_val[m->put.put_len++] = put_of(t, shares);
		shares += t->nshares;
	}
}

static void fill_removed(const ru_t *base, const ru_t *r, lw_routes_t *m)
{
	for (size_t i = 0; base && i < base->nroutes; i++) {
		const ru_route_t *t = &base->routes[i];

		if (!ru_find(r, str_c(t->host), str_c(t->prefix)))
			m->removed.removed_val[m->removed.removed_len++] = (lw_route_key_t){
				px_bytes(str_c(t->host)), px_bytes(str_c(t->prefix))};
	}
}

static void fill_services(const ru_t *r, lw_routes_t *m)
{
	for (size_t i = 0; i < r->nservices; i++) {
		const ru_service_t *s = &r->services[i];

		m->services.services_val[m->services.services_len++] =
			(lw_service_t){px_bytes(str_c(s->name)), px_bytes(str_c(s->health_path)),
				       s->slots, s->connections_max};
	}
}

status_t rx_pack(const ru_t *base, const ru_t *r, buf_t *out, uint32_t *size)
{
	AUTO_FREE lw_share_t *shares = mem_new((count_shares(r) + 1) * sizeof(*shares));
	AUTO_FREE lw_route_t *put = mem_new((r->nroutes + 1) * sizeof(*put));
	AUTO_FREE lw_service_t *services = mem_new((r->nservices + 1) * sizeof(*services));
	AUTO_FREE lw_route_key_t *removed =
		mem_new(((base ? base->nroutes : 0) + 1) * sizeof(*removed));
	AUTO_BUF plain = {0};
	lw_routes_t m = {
		.label = r->version,
		.header_bytes = r->limits.header_bytes,
		.body_bytes = r->limits.body_bytes,
		.header_ms = r->limits.header_ms,
		.idle_ms = r->limits.idle_ms,
		.services = {0, services},
		.put = {0, put},
		.removed = {0, removed},
	};

	fill_services(r, &m);
	fill_put(base, r, &m, shares);
	fill_removed(base, r, &m);
	px_encode(&plain, PX(lw_routes_t), &m);
	if (plain.n > RX_SIZE_MAX)
		return st_fail(ST_LIMIT, "a change of routes of %zu bytes", plain.n);
	*size = (uint32_t)plain.n;
	return deflate(str_buf(&plain), out);
}

/* ---- from a change to routes ---- */

static void copy_route(ru_route_t *to, const ru_route_t *from)
{
	*to = *from;
	to->name = str_dup(str_c(from->name));
	to->host = str_dup(str_c(from->host));
	to->prefix = str_dup(str_c(from->prefix));
	to->shares = mem_new((from->nshares + 1) * sizeof(*to->shares));
	for (size_t i = 0; i < from->nshares; i++)
		to->shares[i] = (ru_share_t){str_dup(str_c(from->shares[i].service)),
					     from->shares[i].weight};
}

static void take_put(ru_route_t *to, const lw_route_t *m)
{
	*to = (ru_route_t){
		.name = str_dup(px_str(m->name)),
		.host = str_dup(px_str(m->host)),
		.prefix = str_dup(px_str(m->prefix)),
		.kind = (ru_kind_t)m->kind,
		.shares = mem_new((m->shares.shares_len + 1) * sizeof(*to->shares)),
		.nshares = m->shares.shares_len,
		.timeout_ms = m->timeout_ms,
		.objective_ms = m->objective_ms,
		.pause_ms = m->pause_ms,
		.patience_ms = m->patience_ms,
		.due_ms = m->due_ms,
		.retention_ms = m->retention_ms,
		.attempts = m->attempts,
		.priority = m->priority,
		.waiting_tokens_max = m->waiting_tokens_max,
		.resumable = m->resumable,
	};
	for (u_int i = 0; i < m->shares.shares_len; i++)
		to->shares[i] = (ru_share_t){str_dup(px_str(m->shares.shares_val[i].service)),
					     m->shares.shares_val[i].weight};
}

/* Marks the routes of base that the change removes or replaces. */
static void mark_gone(const ru_t *base, const lw_routes_t *m, bool *gone)
{
	const ru_route_t *t;

	for (u_int i = 0; i < m->removed.removed_len; i++) {
		t = ru_find(base, px_str(m->removed.removed_val[i].host),
			    px_str(m->removed.removed_val[i].prefix));
		if (t)
			gone[t - base->routes] = true;
	}
	for (u_int i = 0; i < m->put.put_len; i++) {
		t = ru_find(base, px_str(m->put.put_val[i].host), px_str(m->put.put_val[i].prefix));
		if (t)
			gone[t - base->routes] = true;
	}
}

static void take_routes(const ru_t *base, const lw_routes_t *m, ru_t *r)
{
	size_t n = base ? base->nroutes : 0;
	AUTO_FREE bool *gone = mem_new((n + 1) * sizeof(*gone));

	if (base)
		mark_gone(base, m, gone);
	r->routes = mem_new((n + m->put.put_len + 1) * sizeof(*r->routes));
	for (size_t i = 0; i < n; i++) {
		if (!gone[i])
			copy_route(&r->routes[r->nroutes++], &base->routes[i]);
	}
	for (u_int i = 0; i < m->put.put_len; i++)
		take_put(&r->routes[r->nroutes++], &m->put.put_val[i]);
}

static void take_services(const lw_routes_t *m, ru_t *r)
{
	r->services = mem_new((m->services.services_len + 1) * sizeof(*r->services));
	for (u_int i = 0; i < m->services.services_len; i++) {
		const lw_service_t *s = &m->services.services_val[i];

		r->services[r->nservices++] =
			(ru_service_t){str_dup(px_str(s->name)), str_dup(px_str(s->health_path)),
				       s->slots, s->connections_max};
	}
}

static status_t apply(str_t plain, const ru_t *base, ru_t **out)
{
	ru_t *r = ru_new();
	lw_routes_t m;
	status_t st = px_decode(plain, PX(lw_routes_t), &m, sizeof(m));

	if (st == ST_OK) {
		r->version = m.label;
		r->limits = (ru_limits_t){m.header_bytes, m.body_bytes, m.header_ms, m.idle_ms};
		take_services(&m, r);
		take_routes(base, &m, r);
		st = ru_seal(r) == ST_OK ? ST_OK : ST_CORRUPT;
	}
	px_free(PX(lw_routes_t), &m);
	if (st != ST_OK) {
		ru_free(r);
		r = NULL;
	}
	*out = r;
	return st;
}

status_t rx_unpack(str_t change, uint32_t size, const ru_t *base, ru_t **out)
{
	AUTO_FREE char *plain = NULL;
	status_t st;

	*out = NULL;
	if (size > RX_SIZE_MAX)
		return st_fail(ST_CORRUPT, "a change of routes of %u bytes", size);
	plain = mem_new(size + 1);
	st = inflate(change, size, plain);
	return st == ST_OK ? apply((str_t){plain, size}, base, out) : st;
}
