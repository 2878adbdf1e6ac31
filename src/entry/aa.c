#include "entry/aa.h"

#include <inttypes.h>
#include "base/mx.h"

#define MS_PER_S 1000

int64_t aa_ttl_ms(en_t *en)
{
	AUTO_CONF *c = en_conf_get(en->snap);

	if (c && c->text->address_ttl_s > 0)
		return c->text->address_ttl_s * MS_PER_S;
	return en->set.address_ttl_ms;
}

typedef void (*each_t)(void *ctx, const aw_member_t *m);

/* Members that take callers: those of the zone first, each group turned by a random start. */
static void each_member(const aw_view_t *v, str_t zone, each_t each, void *ctx)
{
	u_int n = v->members.members_len;
	u_int start = n ? (u_int)(en_random() % n) : 0;

	for (int near = 1; near >= 0; near--) {
		for (u_int i = 0; i < n; i++) {
			const aw_member_t *m = &v->members.members_val[(start + i) % n];

			if (!m->draining && str_eq(px_str(m->zone), zone) == near)
				each(ctx, m);
		}
	}
}

typedef struct {
	buf_t *out;
	uint64_t skip; /* session */
	const en_t *en;
} list_t;

static void add_json(void *ctx, const aw_member_t *m)
{
	list_t *l = ctx;

	if (m->session == l->skip)
		return;
	if (l->out->p[l->out->n - 1] != '[')
		buf_addc(l->out, ',');
	buf_add(l->out, STR("{\"addr\":"));
	buf_add_json(l->out, px_str(m->addr));
	buf_add(l->out, STR(",\"zone\":"));
	buf_add_json(l->out, px_str(m->zone));
	buf_addc(l->out, '}');
}

static void add_comma(void *ctx, const aw_member_t *m)
{
	list_t *l = ctx;

	if (m->session == l->skip)
		return;
	if (l->out->n)
		buf_add(l->out, STR(", "));
	buf_add(l->out, px_str(m->addr));
}

void aa_header(en_t *en, buf_t *out)
{
	AUTO_VIEW *v = en_view_get(en->snap);
	list_t l = {out, en_session(en->snap), en};

	if (v)
		each_member(&v->view, str_c(en->set.zone), add_comma, &l);
}

int aa_get(const struct _u_request *req, struct _u_response *res, void *ctx)
{
	en_t *en = ctx;
	AUTO_VIEW *v = en_view_get(en->snap);
	AUTO_BUF b = {0};
	str_t zone = hs_param(req, "zone");
	int64_t ttl = aa_ttl_ms(en);
	list_t l = {&b, atomic_load(&en->draining) ? en_session(en->snap) : 0, en};

	if (!v || !en_lease_valid(en->snap))
		return hs_error(res, 503, "no_lease",
				STR("this entry has not heard from the control in time"),
				VERDICT_NOT_RUN, MS_PER_S);
	buf_add(&b, STR("{\"addresses\":["));
	each_member(&v->view, zone.n ? zone : str_c(en->set.zone), add_json, &l);
	buf_addf(&b, "],\"valid_ms\":%" PRId64 ",\"valid_until_wall_ms\":%" PRId64 "}", ttl,
		 clk_wall_ms() + ttl);
	return hs_json(res, 200, str_buf(&b));
}
