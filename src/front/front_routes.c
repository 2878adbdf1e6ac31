/* The route table in force. The leader sends configs, mostly as deltas; a worker thread decodes
 * them, so that the event loop goes on serving requests. */
#include <stdlib.h>
#include "base/log.h"
#include "client/delta.h"
#include "front/front.h"

/** A config that could not be decoded is asked for again, whole, after this time in ms. */
#define RETRY_MS 5000

typedef struct {
	worker_task_t task; /* must be first: the callbacks cast the task back */
	front_t *f;
	link_config_t m; /* owned */
	const route_table_t *base; /* of the delta, or NULL; not replaced while the task runs */
	route_table_t *routes; /* the result, or NULL on failure */
	char message[128]; /* of the failure */
} decode_task_t;

static bool config_id_eq(link_config_id_t a, link_config_id_t b)
{
	return a.number == b.number && a.digest == b.digest;
}

void front_routes_report(front_t *f, link_config_id_t id)
{
	link_msg_t m = {.kind = LINK_CONFIG_IN_FORCE};

	if (!leader_link_is_up(f->leader))
		return;
	front_customer_asked(f);
	m.link_msg_t_u.holds = id;
	leader_link_send(f->leader, &m);
}

static void decode_config(worker_task_t *task)
{
	decode_task_t *d = (decode_task_t *)task;

	if (delta_unpack(wire_str(d->m.change), d->m.size, d->base, &d->routes) != STATUS_OK)
		snprintf(d->message, sizeof(d->message), "%s", status_message());
}

/* Sets the limits of callers' connections; keeps all old ones if the config lacks one. */
static void set_limits(front_t *f, const route_client_limits_t *l)
{
	http_limits_t limits = {(size_t)l->header_bytes, (size_t)l->body_bytes, l->header_ms,
				l->idle_ms};

	if (limits.max_header_bytes && limits.max_body_bytes && limits.header_timeout_ms &&
	    limits.idle_timeout_ms)
		http_server_set_limits(f->callers, &limits);
}

/* Puts decoded routes in force and serves the requests that waited for the first ones. */
static void install_routes(front_t *f, link_config_id_t id, route_table_t *routes)
{
	route_table_free(f->routes);
	f->routes = routes;
	f->routes_version = routes->version;
	f->config_id = id;
	set_limits(f, &routes->limits);
	log_event(LOG_LEVEL_INFO, "text_in_force", LOG_INT("number", id.number),
		  LOG_INT("version", routes->version), LOG_INT("routes", routes->nroutes),
		  LOG_INT("customers", routes->customers ? customers_count(routes->customers) : 0));
	front_held_release(f);
}

static void on_decoded(worker_task_t *task)
{
	decode_task_t *d = (decode_task_t *)task;
	front_t *f = d->f;
	link_config_t next = f->pending_config;

	f->decoding = false;
	f->pending_config = (link_config_t){0};
	f->next_routes_try = 0;
	if (!d->routes) {
		log_event(LOG_LEVEL_ERROR, "text_unreadable", LOG_INT("number", d->m.text.number),
			  LOG_CSTR("what", d->message), LOG_INT("in_force", f->config_id.number));
		f->next_routes_try = clock_now_ms() + RETRY_MS;
	} else if (f->routes && d->routes->version <= f->routes_version) {
		/* A leader that lost its disk may send an older config. The config is acknowledged
		 * below, but not put in force. */
		log_event(LOG_LEVEL_WARN, "text_overtaken", LOG_INT("number", d->m.text.number),
			  LOG_INT("version", d->routes->version),
			  LOG_INT("in_force", f->routes_version));
		route_table_free(d->routes);
	} else {
		install_routes(f, d->m.text, d->routes);
	}
	if (f->next_routes_try == 0)
		front_routes_report(f, d->m.text);
	wire_free(XDR_PROC(link_config_t), &d->m);
	free(d);
	if (next.text.number)
		front_routes_update(f, &next);
	wire_free(XDR_PROC(link_config_t), &next);
}

void front_routes_update(front_t *f, const link_config_t *m)
{
	decode_task_t *d;

	if (f->decoding) {
		wire_free(XDR_PROC(link_config_t), &f->pending_config);
		wire_dup(XDR_PROC(link_config_t), m, &f->pending_config, sizeof(f->pending_config));
		return;
	}
	/* The delta is not based on the config in force here: requests another one. */
	if (m->base.number && !config_id_eq(m->base, f->config_id)) {
		front_routes_report(f, f->config_id);
		return;
	}
	d = mem_new(sizeof(*d));
	d->task = (worker_task_t){decode_config, on_decoded, NULL};
	d->f = f;
	d->base = m->base.number ? f->routes : NULL;
	wire_dup(XDR_PROC(link_config_t), m, &d->m, sizeof(d->m));
	f->decoding = true;
	worker_pool_submit(f->decoder, &d->task);
}

void front_routes_tick(front_t *f, deadline_t now)
{
	if (f->next_routes_try == 0 || now < f->next_routes_try || f->decoding)
		return;
	f->next_routes_try = 0;
	/* As if this entry had none: a delta may be what could not be decoded. */
	front_routes_report(f, (link_config_id_t){0});
}

void front_routes_start(front_t *f)
{
	f->decoder = worker_pool_new(f->loop, 1);
}
