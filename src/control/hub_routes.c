/* The routes in force. A worker decodes them from the newest config in group 0, as decoding
 * thousands of routes would block the loop. The leader sends them to the entries as deltas. */
#include <stdlib.h>
#include "base/log.h"
#include "base/metric.h"
#include "client/routes_decode.h"
#include "client/delta.h"
#include "control/hub.h"

/* ---- sending ---- */

static hub_routes_t *find_recent(hub_t *h, fanout_config_id_t config)
{
	for (size_t i = 0; i < HUB_RECENT_ROUTES; i++) {
		if (h->recent_routes[i].routes &&
		    fanout_config_id_eq(h->recent_routes[i].config, config))
			return &h->recent_routes[i];
	}
	return NULL;
}

/* Finds the element of recent_routes whose delta turns the routes of base into the newest ones, and
 * packs that delta on first use. If base is none, too old or the newest config itself, this is the
 * first element, whose delta contains all routes. */
static hub_routes_t *pack_delta(hub_t *h, fanout_config_id_t base)
{
	hub_routes_t *newest = &h->recent_routes[0];
	hub_routes_t *from = base.number ? find_recent(h, base) : NULL;
	hub_routes_t *k = from && from != newest ? from : newest;

	if (k->delta_size == 0 && delta_pack(k == newest ? NULL : k->routes, newest->routes,
					     &k->delta, &k->delta_size) != STATUS_OK)
		log_event(LOG_LEVEL_ERROR, "routes_not_packed",
			  LOG_INT("number", newest->config.number),
			  LOG_CSTR("what", status_message()));
	return k;
}

/* Sends an entry the newest routes, see fanout_callbacks_t. */
static size_t send_config(void *ctx, uint64_t peer, fanout_config_id_t base)
{
	hub_t *h = ctx;
	hub_peer_t *p = hub_find_peer(h, peer);
	hub_routes_t *newest = &h->recent_routes[0];
	hub_routes_t *k = pack_delta(h, base);
	link_msg_t m = {.kind = LINK_CONFIG};

	if (!p || k->delta_size == 0)
		return 0;
	m.link_msg_t_u.conf = (link_config_t){
		.text = {newest->config.number, newest->config.digest},
		.size = k->delta_size,
		.change = wire_bytes(str_buf(&k->delta)),
	};
	if (k != newest)
		m.link_msg_t_u.conf.base = (link_config_id_t){k->config.number, k->config.digest};
	hub_send(p, &m);
	METRIC_INC("auburn_routes_sent_total");
	metric_add(metric_get(METRIC_COUNTER, "auburn_routes_sent_bytes_total", NULL),
		   (int64_t)k->delta.n);
	return k->delta.n;
}

static void on_converged(void *ctx, fanout_config_id_t config, size_t peers, int64_t ms)
{
	log_event(LOG_LEVEL_INFO, "text_held", LOG_INT("number", config.number),
		  LOG_INT("entries", peers), LOG_INT("ms", ms));
	metric_record(metric_get(METRIC_HISTOGRAM, "auburn_text_held_ms", NULL), ms);
}

/* ---- decoding ---- */

typedef struct {
	worker_task_t task;
	hub_t *h;
	uint64_t config_seen; /* as in hub_t */
	wire_query_res_t res;
	route_table_t *routes;
	char message[256];
} decode_task_t;

static void read_newer_config(control_group_t *g, void *arg)
{
	decode_task_t *d = arg;
	wire_query_t q = {.kind = WIRE_QUERY_CONFIG};

	if (fleet_config_number(g->fleet) > d->config_seen)
		fleet_query(g->fleet, &q, &d->res);
}

static void decode_work(worker_task_t *task)
{
	decode_task_t *d = (decode_task_t *)task;

	if (routes_decode(wire_str(d->res.conf.text), d->res.conf.number, &d->routes) != STATUS_OK)
		snprintf(d->message, sizeof(d->message), "%s", status_message());
}

/* Makes the routes the newest. The packed deltas, which led to the former newest, are dropped. */
static void add_recent(hub_t *h, fanout_config_id_t config, route_table_t *routes)
{
	hub_routes_t *last = &h->recent_routes[HUB_RECENT_ROUTES - 1];

	route_table_free(last->routes);
	buf_free(&last->delta);
	for (size_t i = HUB_RECENT_ROUTES - 1; i > 0; i--) {
		h->recent_routes[i] = h->recent_routes[i - 1];
		buf_free(&h->recent_routes[i].delta);
		h->recent_routes[i].delta = (buf_t){0};
		h->recent_routes[i].delta_size = 0;
	}
	h->recent_routes[0] = (hub_routes_t){.config = config, .routes = routes};
	h->routes = routes;
}

static void decode_done(worker_task_t *task)
{
	decode_task_t *d = (decode_task_t *)task;
	hub_t *h = d->h;
	fanout_config_id_t config = {d->res.conf.number, str_hash(wire_str(d->res.conf.text))};

	h->decoding = false;
	h->config_seen = config.number;
	if (d->routes) {
		add_recent(h, config, d->routes);
		log_event(LOG_LEVEL_INFO, "text_in_force", LOG_INT("number", config.number),
			  LOG_INT("version", d->routes->version),
			  LOG_INT("routes", d->routes->nroutes));
		if (h->fan_out)
			fanout_set_config(h->fan_out, config, clock_now_ms());
		if (h->dispatch) {
			hub_dispatch_set_services(h);
			hub_items_reroute(h);
		}
	} else {
		/* Unexpected, as a config is checked before it is committed. */
		log_event(LOG_LEVEL_ERROR, "text_unreadable", LOG_INT("number", config.number),
			  LOG_CSTR("what", d->message));
	}
	wire_free(XDR_PROC(wire_query_res_t), &d->res);
	free(d);
}

static void decode_newer(hub_t *h)
{
	decode_task_t *d;

	if (h->decoding)
		return;
	d = mem_new(sizeof(*d));
	d->task = (worker_task_t){decode_work, decode_done, NULL};
	d->h = h;
	d->config_seen = h->config_seen;
	control_group_read(&h->control->groups[0], read_newer_config, d);
	if (d->res.conf.number == 0 || d->res.status != STATUS_OK) {
		wire_free(XDR_PROC(wire_query_res_t), &d->res);
		free(d);
		return;
	}
	h->decoding = true;
	worker_pool_submit(h->call_workers, &d->task);
}

static void read_number(control_group_t *g, void *arg)
{
	*(uint64_t *)arg = fleet_config_number(g->fleet);
}

uint64_t hub_routes_newest_number(const hub_t *h)
{
	uint64_t number;

	control_group_read(&h->control->groups[0], read_number, &number);
	return number;
}

bool hub_routes_are_newest(const hub_t *h)
{
	return h->routes && h->config_seen >= hub_routes_newest_number(h);
}

bool hub_routes_peer_is_current(const hub_t *h, uint64_t peer)
{
	return h->fan_out && fanout_peer_is_current(h->fan_out, peer);
}

/* ---- entries ---- */

void hub_routes_start_leading(hub_t *h)
{
	fanout_callbacks_t cb = {h, send_config, on_converged};

	h->fan_out = fanout_new(&cb);
	if (h->routes)
		fanout_set_config(h->fan_out, h->recent_routes[0].config, clock_now_ms());
	decode_newer(h);
}

void hub_routes_stop_leading(hub_t *h)
{
	fanout_free(h->fan_out);
	h->fan_out = NULL;
}

void hub_routes_tick(hub_t *h, deadline_t now)
{
	decode_newer(h);
	fanout_tick(h->fan_out, now);
}

void hub_routes_add_peer(hub_t *h, const hub_peer_t *p, const link_config_id_t *holds)
{
	if (h->fan_out && p->addr[0])
		fanout_peer_add(h->fan_out, p->id,
				(fanout_config_id_t){holds->number, holds->digest}, clock_now_ms());
}

void hub_routes_remove_peer(hub_t *h, const hub_peer_t *p)
{
	if (h->fan_out)
		fanout_peer_remove(h->fan_out, p->id);
}

void hub_routes_ack(hub_t *h, const hub_peer_t *p, const link_config_id_t *holds)
{
	if (h->fan_out)
		fanout_peer_acked(h->fan_out, p->id,
				  (fanout_config_id_t){holds->number, holds->digest},
				  clock_now_ms());
}
