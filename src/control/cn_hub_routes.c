/* The routes in force: decoded from the log's text by a worker, as a text of thousands of routes
 * would hold up the loop, and sent to the entries as changes. */
#include <stdlib.h>
#include "base/lg.h"
#include "base/mx.h"
#include "client/rc.h"
#include "client/rx.h"
#include "control/cn_hub.h"

/* ---- sending ---- */

static hub_routes_t *find_kept(hub_t *h, tf_text_t text)
{
	for (size_t i = 0; i < HUB_ROUTES_KEPT; i++) {
		if (h->routes_kept[i].routes && tf_text_eq(h->routes_kept[i].text, text))
			return &h->routes_kept[i];
	}
	return NULL;
}

/* The entry at 0 holds the newest routes; what is packed there is all of them. */
static hub_routes_t *packed(hub_t *h, tf_text_t base)
{
	hub_routes_t *newest = &h->routes_kept[0];
	hub_routes_t *from = base.number ? find_kept(h, base) : NULL;
	hub_routes_t *k = from && from != newest ? from : newest;

	if (k->change_size == 0 && rx_pack(k == newest ? NULL : k->routes, newest->routes,
					   &k->change, &k->change_size) != ST_OK)
		lg(LG_ERROR, "routes_not_packed", LG_I("number", newest->text.number),
		   LG_C("what", st_message()));
	return k;
}

static size_t on_send(void *ctx, uint64_t peer, tf_text_t base)
{
	hub_t *h = ctx;
	hub_peer_t *p = hub_peer(h, peer);
	hub_routes_t *newest = &h->routes_kept[0];
	hub_routes_t *k = packed(h, base);
	lw_msg_t m = {.kind = LW_CONF};

	if (!p || k->change_size == 0)
		return 0;
	m.lw_msg_t_u.conf = (lw_conf_t){
		.text = {newest->text.number, newest->text.digest},
		.size = k->change_size,
		.change = px_bytes(str_buf(&k->change)),
	};
	if (k != newest)
		m.lw_msg_t_u.conf.base = (lw_text_id_t){k->text.number, k->text.digest};
	hub_send(p, &m);
	MX_COUNT("auburn_routes_sent_total");
	mx_add(mx_get(MX_COUNTER, "auburn_routes_sent_bytes_total", NULL), (int64_t)k->change.n);
	return k->change.n;
}

static void on_held(void *ctx, tf_text_t text, size_t peers, int64_t ms)
{
	lg(LG_INFO, "text_held", LG_I("number", text.number), LG_I("entries", peers),
	   LG_I("ms", ms));
	mx_record(mx_get(MX_HISTOGRAM, "auburn_text_held_ms", NULL), ms);
}

/* ---- decoding ---- */

typedef struct {
	wk_job_t job;
	hub_t *h;
	uint64_t known; /* number of the newest text that was looked at */
	aw_query_res_t res;
	ru_t *routes;
	char message[256];
} decode_t;

static void read_newer(cn_group_t *g, void *arg)
{
	decode_t *d = arg;
	aw_query_t q = {.kind = AW_QUERY_CONF};

	if (fl_conf_number(g->fl) > d->known)
		fl_query(g->fl, &q, &d->res);
}

static void decode_work(wk_job_t *j)
{
	decode_t *d = (decode_t *)j;

	if (rc_decode(px_str(d->res.conf.text), d->res.conf.number, &d->routes) != ST_OK)
		snprintf(d->message, sizeof(d->message), "%s", st_message());
}

static void keep(hub_t *h, tf_text_t text, ru_t *routes)
{
	hub_routes_t *last = &h->routes_kept[HUB_ROUTES_KEPT - 1];

	ru_free(last->routes);
	buf_free(&last->change);
	for (size_t i = HUB_ROUTES_KEPT - 1; i > 0; i--) {
		h->routes_kept[i] = h->routes_kept[i - 1];
		buf_free(&h->routes_kept[i].change);
		h->routes_kept[i].change = (buf_t){0};
		h->routes_kept[i].change_size = 0;
	}
	h->routes_kept[0] = (hub_routes_t){.text = text, .routes = routes};
	h->routes = routes;
}

static void decode_done(wk_job_t *j)
{
	decode_t *d = (decode_t *)j;
	hub_t *h = d->h;
	tf_text_t text = {d->res.conf.number, str_hash(px_str(d->res.conf.text))};

	h->decoding = false;
	h->text_seen = text.number;
	if (d->routes) {
		keep(h, text, d->routes);
		lg(LG_INFO, "text_in_force", LG_I("number", text.number),
		   LG_I("version", d->routes->version), LG_I("routes", d->routes->nroutes));
		if (h->fan_out)
			tf_text(h->fan_out, text, clk_now_ms());
		if (h->ds)
			hub_dispatch_routes(h);
	} else {
		/* Texts were decoded before they were accepted. */
		lg(LG_ERROR, "text_unreadable", LG_I("number", text.number),
		   LG_C("what", d->message));
	}
	px_free(PX(aw_query_res_t), &d->res);
	free(d);
}

static void look(hub_t *h)
{
	decode_t *d;

	if (h->decoding)
		return;
	d = mem_new(sizeof(*d));
	d->job = (wk_job_t){decode_work, decode_done, NULL};
	d->h = h;
	d->known = h->text_seen;
	cn_group_read(&h->cn->groups[0], read_newer, d);
	if (d->res.conf.number == 0 || d->res.status != ST_OK) {
		px_free(PX(aw_query_res_t), &d->res);
		free(d);
		return;
	}
	h->decoding = true;
	wk_submit(h->calls, &d->job);
}

/* ---- entries ---- */

void hub_routes_begin(hub_t *h)
{
	tf_callbacks_t cb = {h, on_send, on_held};

	h->fan_out = tf_new(&cb);
	if (h->routes)
		tf_text(h->fan_out, h->routes_kept[0].text, clk_now_ms());
	look(h);
}

void hub_routes_end(hub_t *h)
{
	tf_free(h->fan_out);
	h->fan_out = NULL;
}

void hub_routes_tick(hub_t *h, deadline_t now)
{
	look(h);
	tf_tick(h->fan_out, now);
}

void hub_routes_peer(hub_t *h, const hub_peer_t *p, const lw_text_id_t *holds)
{
	if (h->fan_out && p->addr[0])
		tf_add(h->fan_out, p->id, (tf_text_t){holds->number, holds->digest}, clk_now_ms());
}

void hub_routes_peer_lost(hub_t *h, const hub_peer_t *p)
{
	if (h->fan_out)
		tf_remove(h->fan_out, p->id);
}

void hub_routes_held(hub_t *h, const hub_peer_t *p, const lw_text_id_t *holds)
{
	if (h->fan_out)
		tf_holds(h->fan_out, p->id, (tf_text_t){holds->number, holds->digest},
			 clk_now_ms());
}
