#include "entry/addresses.h"

#include <inttypes.h>
#include "base/metric.h"

#define MS_PER_S 1000

int64_t addresses_ttl_ms(entry_ctx_t *en)
{
	AUTO_ENTRY_CONFIG *c = entry_config_get(en->snapshot);

	if (c && c->config->address_ttl_s > 0)
		return c->config->address_ttl_s * MS_PER_S;
	return en->settings.address_ttl_ms;
}

typedef void (*member_visit_t)(void *ctx, const wire_member_t *m);

/* Visits the members that are not draining, first those of the zone, then the others. Starts at a
 * random member, so that callers spread over the entries. */
static void for_each_serving_member(const wire_view_t *v, str_t zone, member_visit_t visit,
				    void *ctx)
{
	u_int n = v->members.members_len;
	u_int start = n ? (u_int)(entry_random() % n) : 0;

	for (int near = 1; near >= 0; near--) {
		for (u_int i = 0; i < n; i++) {
			const wire_member_t *m = &v->members.members_val[(start + i) % n];

			if (!m->draining && str_eq(wire_str(m->zone), zone) == near)
				visit(ctx, m);
		}
	}
}

typedef struct {
	buf_t *out;
	uint64_t skip; /* session of the member to leave out; 0 = none */
	const entry_ctx_t *en;
} address_list_t;

static void append_json_address(void *ctx, const wire_member_t *m)
{
	address_list_t *l = ctx;

	if (m->session == l->skip)
		return;
	if (l->out->p[l->out->n - 1] != '[')
		buf_addc(l->out, ',');
	buf_add(l->out, STR("{\"addr\":"));
	buf_add_json(l->out, wire_str(m->addr));
	buf_add(l->out, STR(",\"zone\":"));
	buf_add_json(l->out, wire_str(m->zone));
	buf_addc(l->out, '}');
}

static void append_listed_address(void *ctx, const wire_member_t *m)
{
	address_list_t *l = ctx;

	if (m->session == l->skip)
		return;
	if (l->out->n)
		buf_add(l->out, STR(", "));
	buf_add(l->out, wire_str(m->addr));
}

void addresses_list_others(entry_ctx_t *en, buf_t *out)
{
	AUTO_ENTRY_VIEW *v = entry_view_get(en->snapshot);
	address_list_t l = {out, entry_session(en->snapshot), en};

	if (v)
		for_each_serving_member(&v->view, str_c(en->settings.zone), append_listed_address,
					&l);
}

int addresses_get(const struct _u_request *req, struct _u_response *res, void *ctx)
{
	entry_ctx_t *en = ctx;
	AUTO_ENTRY_VIEW *v = entry_view_get(en->snapshot);
	AUTO_BUF b = {0};
	str_t zone = httpd_param(req, "zone");
	int64_t ttl = addresses_ttl_ms(en);
	address_list_t l = {&b, atomic_load(&en->draining) ? entry_session(en->snapshot) : 0, en};

	if (!v || !entry_lease_valid(en->snapshot))
		return httpd_error(
			res, 503, "no_lease",
			STR("no valid lease: the control has not answered this entry in time"),
			VERDICT_NOT_RUN, MS_PER_S);
	buf_add(&b, STR("{\"addresses\":["));
	for_each_serving_member(&v->view, zone.n ? zone : str_c(en->settings.zone),
				append_json_address, &l);
	buf_addf(&b, "],\"valid_ms\":%" PRId64 ",\"valid_until_wall_ms\":%" PRId64 "}", ttl,
		 clock_wall_ms() + ttl);
	return httpd_json(res, 200, str_buf(&b));
}
