/* The routes in force: changes come from the leader and are put together by a worker, so that
 * streams go on meanwhile. */
#include <stdlib.h>
#include "base/lg.h"
#include "client/rx.h"
#include "front/fr.h"

typedef struct {
	wk_job_t job;
	fr_t *f;
	lw_conf_t m; /* owned */
	const ru_t *base; /* doesn't change while this job is under way */
	ru_t *routes;
	char message[128];
} decode_t;

static bool same_text(lw_text_id_t a, lw_text_id_t b)
{
	return a.number == b.number && a.digest == b.digest;
}

static void tell(fr_t *f, lw_text_id_t holds)
{
	lw_msg_t m = {.kind = LW_HOLDS};

	m.lw_msg_t_u.holds = holds;
	ll_send(f->leader, &m);
}

static void decode_work(wk_job_t *j)
{
	decode_t *d = (decode_t *)j;

	if (rx_unpack(px_str(d->m.change), d->m.size, d->base, &d->routes) != ST_OK)
		snprintf(d->message, sizeof(d->message), "%s", st_message());
}

static void set_limits(fr_t *f, const ru_limits_t *l)
{
	hl_limits_t limits = {(size_t)l->header_bytes, (size_t)l->body_bytes, l->header_ms,
			      l->idle_ms};

	if (limits.max_header_bytes && limits.max_body_bytes && limits.header_ms && limits.idle_ms)
		hl_set_limits(f->callers, &limits);
}

static void put_in_force(fr_t *f, lw_text_id_t text, ru_t *routes)
{
	ru_free(f->routes);
	f->routes = routes;
	f->routes_version = routes->version;
	f->text = text;
	set_limits(f, &routes->limits);
	lg(LG_INFO, "text_in_force", LG_I("number", text.number), LG_I("version", routes->version),
	   LG_I("routes", routes->nroutes));
	fh_release(f);
}

static void decode_done(wk_job_t *j)
{
	decode_t *d = (decode_t *)j;
	fr_t *f = d->f;
	lw_conf_t next = f->next_conf;

	f->decoding = false;
	f->next_conf = (lw_conf_t){0};
	if (!d->routes) {
		lg(LG_ERROR, "text_unreadable", LG_I("number", d->m.text.number),
		   LG_C("what", d->message));
	} else if (f->routes && d->routes->version <= f->routes_version) {
		/* An earlier text of a leader that has lost its disk: it is told so. */
		lg(LG_WARN, "text_overtaken", LG_I("number", d->m.text.number),
		   LG_I("version", d->routes->version), LG_I("in_force", f->routes_version));
		ru_free(d->routes);
	} else {
		put_in_force(f, d->m.text, d->routes);
	}
	tell(f, d->m.text);
	px_free(PX(lw_conf_t), &d->m);
	free(d);
	if (next.text.number)
		fr_routes_take(f, &next);
	px_free(PX(lw_conf_t), &next);
}

void fr_routes_take(fr_t *f, const lw_conf_t *m)
{
	decode_t *d;

	if (f->decoding) {
		px_free(PX(lw_conf_t), &f->next_conf);
		px_dup(PX(lw_conf_t), m, &f->next_conf, sizeof(f->next_conf));
		return;
	}
	if (m->base.number && !same_text(m->base, f->text)) {
		tell(f, f->text);
		return;
	}
	d = mem_new(sizeof(*d));
	d->job = (wk_job_t){decode_work, decode_done, NULL};
	d->f = f;
	d->base = m->base.number ? f->routes : NULL;
	px_dup(PX(lw_conf_t), m, &d->m, sizeof(d->m));
	f->decoding = true;
	wk_submit(f->decoder, &d->job);
}

void fr_routes_start(fr_t *f)
{
	f->decoder = wk_new(f->loop, 1);
}
