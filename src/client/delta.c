#include "client/delta.h"

#include <isa-l/igzip_lib.h>
#include <stdlib.h>
#include <string.h>
#include "proto/wire.h"

/** Bytes by which n bytes of incompressible input can grow, with a margin. */
#define DEFLATE_MARGIN(n) ((n) / 16 + 1024)

/* ---- compression ---- */

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
		return status_fail(STATUS_LIMIT, "compressing %zu bytes of routes failed", in.n);
	buf_add(out, (str_t){(const char *)to, z->total_out});
	return STATUS_OK;
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
		return status_fail(STATUS_CORRUPT, "route delta does not decompress to %u bytes",
				   size);
	return STATUS_OK;
}

/* ---- encoding: two route tables to a delta, whose message borrows their strings ---- */

static link_route_t encode_route(const route_spec_t *t, link_share_t *shares)
{
	for (size_t i = 0; i < t->nshares; i++)
		shares[i] = (link_share_t){wire_bytes(str_c(t->shares[i].service)),
					   t->shares[i].weight};
	return (link_route_t){
		.name = wire_bytes(str_c(t->name)),
		.host = wire_bytes(str_c(t->host)),
		.prefix = wire_bytes(str_c(t->prefix)),
		.kind = (u_int)t->kind | (t->is_public ? LINK_ROUTE_PUBLIC : 0),
		.shares = {(u_int)t->nshares, shares},
		.timeout_ms = t->timeout_ms,
		.objective_ms = t->objective_ms,
		.pause_ms = t->pause_ms,
		.give_up_ms = t->give_up_ms,
		.due_ms = t->due_ms,
		.retention_ms = t->retention_ms,
		.attempts = t->attempts,
		.priority = t->priority,
		.waiting_tokens_max = t->waiting_tokens_max,
		.resumable = t->resumable,
	};
}

static size_t count_shares(const route_table_t *r)
{
	size_t n = 0;

	for (size_t i = 0; i < r->nroutes; i++)
		n += r->routes[i].nshares;
	return n;
}

/* Adds the routes of r that base does not have, or has with other contents. */
static void encode_changed(const route_table_t *base, const route_table_t *r, link_routes_t *m,
			   link_share_t *shares)
{
	for (size_t i = 0; i < r->nroutes; i++) {
		const route_spec_t *t = &r->routes[i];
		const route_spec_t *old =
			base ? route_table_find(base, str_c(t->host), str_c(t->prefix)) : NULL;

		if (old && route_spec_eq(old, t))
			continue;
		m->put.put_val[m->put.put_len++] = encode_route(t, shares);
		shares += t->nshares;
	}
}

/* Adds the keys of the routes of base that r does not have. */
static void encode_removed(const route_table_t *base, const route_table_t *r, link_routes_t *m)
{
	for (size_t i = 0; base && i < base->nroutes; i++) {
		const route_spec_t *t = &base->routes[i];

		if (!route_table_find(r, str_c(t->host), str_c(t->prefix)))
			m->removed.removed_val[m->removed.removed_len++] = (link_route_key_t){
				wire_bytes(str_c(t->host)), wire_bytes(str_c(t->prefix))};
	}
}

static void encode_services(const route_table_t *r, link_routes_t *m)
{
	for (size_t i = 0; i < r->nservices; i++) {
		const route_service_t *s = &r->services[i];

		m->services.services_val[m->services.services_len++] = (link_service_t){
			wire_bytes(str_c(s->name)), wire_bytes(str_c(s->health_path)), s->slots,
			s->connections_max};
	}
}

/* Appends the delta of the customers. A config without customers has none, as the builds that don't
 * know customers expect. */
static void encode_customers(const customers_t *base, const customers_t *t, buf_t *out)
{
	size_t nbase = base ? customers_count(base) : 0;
	AUTO_FREE link_customer_t *put = mem_new((customers_count(t) + 1) * sizeof(*put));
	AUTO_FREE wire_bytes_t *removed = mem_new((nbase + 1) * sizeof(*removed));
	link_customers_t m = {.put = {0, put}, .removed = {0, removed}};

	for (size_t i = 0; i < customers_count(t); i++) {
		const customer_t *c = customers_at(t, i);
		const customer_t *old = base ? customers_by_name(base, str_c(c->name)) : NULL;

		if (old && customer_eq(old, c))
			continue;
		put[m.put.put_len++] = (link_customer_t){
			.name = wire_bytes(str_c(c->name)),
			.keys = wire_bytes(
				(str_t){(const char *)c->keys, c->nkeys * sizeof(*c->keys)}),
			.rate_per_s = c->rate_per_s,
			.burst = c->burst,
			.priority = c->priority,
		};
	}
	for (size_t i = 0; i < nbase; i++) {
		str_t name = str_c(customers_at(base, i)->name);

		if (!customers_by_name(t, name))
			removed[m.removed.removed_len++] = wire_bytes(name);
	}
	wire_encode(out, XDR_PROC(link_customers_t), &m);
}

status_t delta_pack(const route_table_t *base, const route_table_t *r, buf_t *out, uint32_t *size)
{
	AUTO_FREE link_share_t *shares = mem_new((count_shares(r) + 1) * sizeof(*shares));
	AUTO_FREE link_route_t *put = mem_new((r->nroutes + 1) * sizeof(*put));
	AUTO_FREE link_service_t *services = mem_new((r->nservices + 1) * sizeof(*services));
	AUTO_FREE link_route_key_t *removed =
		mem_new(((base ? base->nroutes : 0) + 1) * sizeof(*removed));
	AUTO_BUF plain = {0};
	link_routes_t m = {
		.label = r->version,
		.header_bytes = r->limits.header_bytes,
		.body_bytes = r->limits.body_bytes,
		.header_ms = r->limits.header_ms,
		.idle_ms = r->limits.idle_ms,
		.services = {0, services},
		.put = {0, put},
		.removed = {0, removed},
	};

	encode_services(r, &m);
	encode_changed(base, r, &m, shares);
	encode_removed(base, r, &m);
	wire_encode(&plain, XDR_PROC(link_routes_t), &m);
	if (r->customers)
		encode_customers(base ? base->customers : NULL, r->customers, &plain);
	if (plain.n > DELTA_SIZE_MAX)
		return status_fail(STATUS_LIMIT, "route delta of %zu bytes exceeds the limit",
				   plain.n);
	*size = (uint32_t)plain.n;
	return deflate(str_buf(&plain), out);
}

/* ---- decoding: a delta to a route table ---- */

static void copy_route(route_spec_t *to, const route_spec_t *from)
{
	*to = *from;
	to->name = str_dup(str_c(from->name));
	to->host = str_dup(str_c(from->host));
	to->prefix = str_dup(str_c(from->prefix));
	to->shares = mem_new((from->nshares + 1) * sizeof(*to->shares));
	for (size_t i = 0; i < from->nshares; i++)
		to->shares[i] = (route_share_t){str_dup(str_c(from->shares[i].service)),
						from->shares[i].weight};
}

static void decode_route(route_spec_t *to, const link_route_t *m)
{
	*to = (route_spec_t){
		.name = str_dup(wire_str(m->name)),
		.host = str_dup(wire_str(m->host)),
		.prefix = str_dup(wire_str(m->prefix)),
		.kind = (route_kind_t)(m->kind & ~(u_int)LINK_ROUTE_PUBLIC),
		.is_public = (m->kind & LINK_ROUTE_PUBLIC) != 0,
		.shares = mem_new((m->shares.shares_len + 1) * sizeof(*to->shares)),
		.nshares = m->shares.shares_len,
		.timeout_ms = m->timeout_ms,
		.objective_ms = m->objective_ms,
		.pause_ms = m->pause_ms,
		.give_up_ms = m->give_up_ms,
		.due_ms = m->due_ms,
		.retention_ms = m->retention_ms,
		.attempts = m->attempts,
		.priority = m->priority,
		.waiting_tokens_max = m->waiting_tokens_max,
		.resumable = m->resumable,
	};
	for (u_int i = 0; i < m->shares.shares_len; i++)
		to->shares[i] = (route_share_t){str_dup(wire_str(m->shares.shares_val[i].service)),
						m->shares.shares_val[i].weight};
}

/* Marks the routes of base that the delta removes or replaces. */
static void mark_dropped(const route_table_t *base, const link_routes_t *m, bool *dropped)
{
	const route_spec_t *t;

	for (u_int i = 0; i < m->removed.removed_len; i++) {
		t = route_table_find(base, wire_str(m->removed.removed_val[i].host),
				     wire_str(m->removed.removed_val[i].prefix));
		if (t)
			dropped[t - base->routes] = true;
	}
	for (u_int i = 0; i < m->put.put_len; i++) {
		t = route_table_find(base, wire_str(m->put.put_val[i].host),
				     wire_str(m->put.put_val[i].prefix));
		if (t)
			dropped[t - base->routes] = true;
	}
}

/* Copies the routes of base that remain, and adds those of the delta. */
static void decode_routes(const route_table_t *base, const link_routes_t *m, route_table_t *r)
{
	size_t n = base ? base->nroutes : 0;
	AUTO_FREE bool *dropped = mem_new((n + 1) * sizeof(*dropped));

	if (base)
		mark_dropped(base, m, dropped);
	r->routes = mem_new((n + m->put.put_len + 1) * sizeof(*r->routes));
	for (size_t i = 0; i < n; i++) {
		if (!dropped[i])
			copy_route(&r->routes[r->nroutes++], &base->routes[i]);
	}
	for (u_int i = 0; i < m->put.put_len; i++)
		decode_route(&r->routes[r->nroutes++], &m->put.put_val[i]);
}

static void decode_services(const link_routes_t *m, route_table_t *r)
{
	r->services = mem_new((m->services.services_len + 1) * sizeof(*r->services));
	for (u_int i = 0; i < m->services.services_len; i++) {
		const link_service_t *s = &m->services.services_val[i];

		r->services[r->nservices++] = (route_service_t){str_dup(wire_str(s->name)),
								str_dup(wire_str(s->health_path)),
								s->slots, s->connections_max, 0};
	}
}

static status_t add_customer(customers_t *t, const link_customer_t *m)
{
	str_t keys = wire_str(m->keys);
	customer_t c = {
		.name = str_dup(wire_str(m->name)),
		.keys = mem_new(keys.n + sizeof(*c.keys)),
		.nkeys = keys.n / sizeof(*c.keys),
		.rate_per_s = m->rate_per_s,
		.burst = m->burst,
		.priority = m->priority,
	};

	if (keys.n)
		memcpy(c.keys, keys.p, c.nkeys * sizeof(*c.keys));
	return customers_add(t, &c);
}

/* Adds the customers of base that the delta neither removes nor replaces. */
static status_t add_kept_customers(const customers_t *base, const link_customers_t *m,
				   customers_t *t)
{
	size_t n = customers_count(base);
	AUTO_FREE bool *dropped = mem_new((n + 1) * sizeof(*dropped));
	status_t st = STATUS_OK;
	const customer_t *c;

	for (u_int i = 0; i < m->put.put_len; i++) {
		c = customers_by_name(base, wire_str(m->put.put_val[i].name));
		if (c)
			dropped[c - customers_at(base, 0)] = true;
	}
	for (u_int i = 0; i < m->removed.removed_len; i++) {
		c = customers_by_name(base, wire_str(m->removed.removed_val[i]));
		if (c)
			dropped[c - customers_at(base, 0)] = true;
	}
	for (size_t i = 0; i < n && st == STATUS_OK; i++) {
		customer_t copy;

		if (dropped[i])
			continue;
		customer_copy(&copy, customers_at(base, i));
		st = customers_add(t, &copy);
	}
	return st;
}

static status_t decode_customers(str_t plain, const customers_t *base, customers_t **out)
{
	customers_t *t = customers_new();
	link_customers_t m;
	status_t st = wire_decode(plain, XDR_PROC(link_customers_t), &m, sizeof(m));

	if (st == STATUS_OK && base)
		st = add_kept_customers(base, &m, t);
	for (u_int i = 0; i < m.put.put_len && st == STATUS_OK; i++)
		st = add_customer(t, &m.put.put_val[i]);
	wire_free(XDR_PROC(link_customers_t), &m);
	*out = t;
	return st;
}

static status_t apply_delta(str_t plain, const route_table_t *base, route_table_t **out)
{
	route_table_t *r = route_table_new();
	link_routes_t m;
	str_t rest;
	status_t st = wire_decode_first(plain, XDR_PROC(link_routes_t), &m, sizeof(m), &rest);

	if (st == STATUS_OK && rest.n > 0)
		st = decode_customers(rest, base ? base->customers : NULL, &r->customers);
	if (st == STATUS_OK) {
		r->version = m.label;
		r->limits = (route_client_limits_t){m.header_bytes, m.body_bytes, m.header_ms,
						    m.idle_ms};
		decode_services(&m, r);
		decode_routes(base, &m, r);
		st = route_table_build(r);
	}
	if (st == STATUS_INVALID)
		st = STATUS_CORRUPT;
	wire_free(XDR_PROC(link_routes_t), &m);
	if (st != STATUS_OK) {
		route_table_free(r);
		r = NULL;
	}
	*out = r;
	return st;
}

status_t delta_unpack(str_t delta, uint32_t size, const route_table_t *base, route_table_t **out)
{
	AUTO_FREE char *plain = NULL;
	status_t st;

	*out = NULL;
	if (size > DELTA_SIZE_MAX)
		return status_fail(STATUS_CORRUPT, "route delta of %u bytes exceeds the limit",
				   size);
	plain = mem_new(size + 1);
	st = inflate(delta, size, plain);
	return st == STATUS_OK ? apply_delta((str_t){plain, size}, base, out) : st;
}
