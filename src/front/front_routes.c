/* The routes in force: changes come from the leader and are put together by a worker, so that
 * streams go on meanwhile. */
#include <stdlib.h>
#include "base/log.h"
#include "client/delta.h"
#include "front/front.h"

typedef struct {
	worker_task_t job;
	front_t *f;
	link_config_t m; /* owned */
	const route_table_t *base; /* doesn't change while this job is under way */
	route_table_t *routes;
	char message[128];
} decode_t;

static bool same_text(link_config_id_t a, link_config_id_t b)
{
	return a.number == b.number && a.digest == b.digest;
}

static void tell(front_t *f, link_config_id_t holds)
{
	link_msg_t m = {.kind = LINK_CONFIG_IN_FORCE};

	m.link_msg_t_u.holds = holds;
	leader_link_send(f->leader, &m);
}

static void decode_work(worker_task_t *j)
{
	decode_t *d = (decode_t *)j;

	if (delta_unpack(wire_str(d->m.change), d->m.size, d->base, &d->routes) != STATUS_OK)
		snprintf(d->message, sizeof(d->message), "%s", status_message());
}

static void set_limits(front_t *f, const route_client_limits_t *l)
{
	http_limits_t limits = {(size_t)l->header_bytes, (size_t)l->body_bytes, l->header_ms,
				l->idle_ms};

	if (limits.max_header_bytes && limits.max_body_bytes && limits.header_timeout_ms &&
	    limits.idle_timeout_ms)
		http_server_set_limits(f->callers, &limits);
}

static void put_in_force(front_t *f, link_config_id_t text, route_table_t *routes)
{
	route_table_free(f->routes);
	f->routes = routes;
	f->routes_version = routes->version;
	f->config_id = text;
	set_limits(f, &routes->limits);
	log_event(LOG_LEVEL_INFO, "text_in_force", LOG_INT("number", text.number),
		  LOG_INT("version", routes->version), LOG_INT("routes", routes->nroutes));
	front_held_release(f);
}

static void decode_done(worker_task_t *j)
{
	decode_t *d = (decode_t *)j;
	front_t *f = d->f;
	link_config_t next = f->pending_config;

	f->decoding = false;
	f->pending_config = (link_config_t){0};
	if (!d->routes) {
		log_event(LOG_LEVEL_ERROR, "text_unreadable", LOG_INT("number", d->m.text.number),
			  LOG_CSTR("what", d->message));
	} else if (f->routes && d->routes->version <= f->routes_version) {
		/* An earlier text of a leader that has lost its disk: it is told so. */
		log_event(LOG_LEVEL_WARN, "text_overtaken", LOG_INT("number", d->m.text.number),
			  LOG_INT("version", d->routes->version),
			  LOG_INT("in_force", f->routes_version));
		route_table_free(d->routes);
	} else {
		put_in_force(f, d->m.text, d->routes);
	}
	tell(f, d->m.text);
	wire_free(XDR_PROC(link_config_t), &d->m);
	free(d);
	if (next.text.number)
		front_routes_update(f, &next);
	wire_free(XDR_PROC(link_config_t), &next);
}

void front_routes_update(front_t *f, const link_config_t *m)
{
	decode_t *d;

	if (f->decoding) {
		wire_free(XDR_PROC(link_config_t), &f->pending_config);
		wire_dup(XDR_PROC(link_config_t), m, &f->pending_config, sizeof(f->pending_config));
		return;
	}
	if (m->base.number && !same_text(m->base, f->config_id)) {
		tell(f, f->config_id);
		return;
	}
	d = mem_new(sizeof(*d));
	d->job = (worker_task_t){decode_work, decode_done, NULL};
	d->f = f;
	d->base = m->base.number ? f->routes : NULL;
	wire_dup(XDR_PROC(link_config_t), m, &d->m, sizeof(d->m));
	f->decoding = true;
	worker_pool_submit(f->decoder, &d->job);
}

void front_routes_start(front_t *f)
{
	f->decoder = worker_pool_new(f->loop, 1);
}
