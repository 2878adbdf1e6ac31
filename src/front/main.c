/* auburn-front: starts the listeners and the event loop, matches requests with routes, stops on a
 * signal. */
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include "base/args.h"
#include "base/log.h"
#include "base/metric.h"
#include "client/directory.h"
#include "front/front.h"

#define TICK_MS 50
/** A stopping process exits at the latest this long before the end of the grace time. */
#define EXIT_MARGIN_MS 250
/** A stopping process accepts connections for this percentage of the grace time. By then callers no
 * longer use its address: they cache it for 2 s, some for three times as long. The rest of the
 * grace time is left for the last streams. */
#define ACCEPT_PERCENT 76
/** Maximum body size on the directory, readiness and metrics listeners, in bytes. */
#define SMALL_BODY_MAX 1024
/** A stopping process that no longer accepts connections exits after this long without an open
 * request: requests on accepted connections have arrived by then. */
#define IDLE_EXIT_MS 100

/** Limits of connections, the usual values of a config. A config replaces those of callers'
 * connections. */
#define HEADER_BYTES 16384
#define BODY_BYTES   (4U << 20)
#define HEADER_MS    3000
#define IDLE_MS	     15000

/* A lot that is opened on a public route belongs to the customer whose key the caller has, as on
 * any other, so that calls on it find it by the same key. */
static front_key_use_t key_use(const route_spec_t *route)
{
	if (!route->is_public)
		return FRONT_KEY_NEEDED;
	return route->kind == ROUTE_BATCH ? FRONT_KEY_OPTIONAL : FRONT_KEY_IGNORED;
}

/* A call on a lot names no route. */
static front_key_use_t key_use_of_lot_call(const platform_call_t *call)
{
	return call->credentials == PLATFORM_CREDENTIALS_NONE ? FRONT_KEY_IGNORED
							      : FRONT_KEY_NEEDED;
}

void front_serve(front_t *f, http_conn_t *c, const http_request_t *r)
{
	const route_spec_t *route;
	platform_call_t call;
	front_caller_t caller;

	if (platform_call_decode(&r->head, &call) != STATUS_OK) {
		log_event(LOG_LEVEL_INFO, "request_refused", LOG_INT("status", 400),
			  LOG_CSTR("reason", status_message()));
		http_reply(c, 400, STR(""), str_c(status_message()));
		return;
	}
	if (call.kind != PLATFORM_CALL_REQUEST && call.kind != PLATFORM_CALL_READY) {
		if (front_identify(f, c, r, &call, key_use_of_lot_call(&call), &caller))
			front_lot_call(f, c, &call, &caller);
		return;
	}
	route = route_table_match(f->routes, call.host, call.path);
	if (!route) {
		log_event(LOG_LEVEL_INFO, "request_refused", LOG_STR("request", call.id),
			  LOG_INT("status", 404), LOG_STR("host", call.host),
			  LOG_STR("path", call.path), LOG_INT("text", f->routes_version));
		http_reply(c, 404, STR(""), STR("no such route"));
		return;
	}
	if (!front_identify(f, c, r, &call, key_use(route), &caller))
		return;
	if (route->kind == ROUTE_BATCH)
		front_lot_open(f, c, r, &call, route, &caller);
	else
		front_request_begin(f, c, r, &call, route, &caller);
}

static void on_request(void *ctx, http_conn_t *c, const http_request_t *r)
{
	front_t *f = ctx;

	if (f->routes)
		front_serve(f, c, r);
	else
		front_held_add(f, c, r, "no config", f->started);
}

static void on_caller_gone(void *ctx, http_conn_t *c)
{
	front_conn_data_t *d = http_conn_data(c);

	if (!d)
		return;
	if (d->kind == FRONT_CONN_HOP) {
		front_hop_caller_left(d->target);
		return;
	}
	if (d->kind != FRONT_CONN_REQUEST) {
		*(http_conn_t **)d->target = NULL;
		return;
	}
	front_request_caller_left(d->target);
	free(d);
}

static void on_caller_read(void *ctx, http_conn_t *c)
{
	front_conn_data_t *d = http_conn_data(c);

	if (d && d->kind == FRONT_CONN_REQUEST)
		front_request_caller_read(d->target);
	else if (d && d->kind == FRONT_CONN_HOP)
		front_hop_caller_read(d->target);
}

static void on_ready(void *ctx, http_conn_t *c, const http_request_t *r)
{
	front_t *f = ctx;

	if (front_is_stopping(f) || !f->routes || front_is_cut_off(f))
		http_reply(c, 503, STR(""), STR("not ready\n"));
	else
		http_reply(c, 200, STR(""), STR("ready\n"));
}

static void on_directory(void *ctx, http_conn_t *c, const http_request_t *r)
{
	front_t *f = ctx;

	directory_answer(c, r, &f->view, &f->capacities);
}

static void on_metrics(void *ctx, http_conn_t *c, const http_request_t *r)
{
	front_t *f = ctx;
	AUTO_BUF b = {0};

	metric_set(metric_get(METRIC_GAUGE, "auburn_requests_open", NULL), HASH_COUNT(f->requests));
	metric_set(metric_get(METRIC_GAUGE, "auburn_items_running", NULL),
		   (int64_t)front_item_count(f));
	/* The number of connections that the HTTP client has made since the start, not of those
	 * open now. */
	metric_set(metric_get(METRIC_GAUGE, "auburn_replica_connections", NULL),
		   (int64_t)http_client_connects(f->http));
	metric_set(metric_get(METRIC_GAUGE, "auburn_leader_linked", NULL),
		   leader_link_is_up(f->leader));
	metric_set(metric_get(METRIC_GAUGE, "auburn_cut_off", NULL), front_is_cut_off(f));
	http_intake_report(f->intake);
	metric_render_all(&b);
	http_reply(c, 200, STR("Content-Type: text/plain; version=0.0.4\r\n"), str_buf(&b));
}

/* Stops accepting connections at accept_until. Callers that are connected may use the address until
 * the process exits, so it exits only after no request has been open for IDLE_EXIT_MS. */
static void exit_when_idle(front_t *f, deadline_t now)
{
	if (now < f->accept_until)
		return;
	if (!f->idle_since) {
		http_server_stop_accepting(f->callers);
		f->idle_since = now;
	} else if (http_server_pending(f->callers)) {
		f->idle_since = now;
	} else if (now - f->idle_since >= IDLE_EXIT_MS) {
		ev_break(f->loop, EVBREAK_ALL);
	}
}

static void on_tick(struct ev_loop *loop, ev_timer *w, int events)
{
	front_t *f = w->data;
	deadline_t now = clock_now_ms();

	front_link_tick(f, now);
	front_reach_tick(f, now);
	front_routes_tick(f, now);
	front_customer_tick(f, now);
	front_quarantine_tick(f, now);
	front_poison_tick(f, now);
	front_held_expire(f, now);
	front_item_report_progress(f, now);
	front_load_tick(f, now);
	if (!front_is_stopping(f))
		return;
	front_request_refuse_late(f);
	exit_when_idle(f, now);
	if (now >= f->stop.exit_by)
		ev_break(loop, EVBREAK_ALL);
}

static void on_term(struct ev_loop *loop, ev_signal *w, int events)
{
	front_t *f = w->data;
	int64_t grace_ms = f->settings.grace_s * 1000;

	if (front_is_stopping(f))
		return;
	f->accept_until = clock_now_ms() + grace_ms * ACCEPT_PERCENT / 100;
	f->stop.known_by = clock_now_ms() + DIRECTORY_TTL_MS;
	f->stop.exit_by = clock_now_ms() + grace_ms - EXIT_MARGIN_MS;
	log_event(LOG_LEVEL_INFO, "stopping", LOG_CSTR("reason", "signal"),
		  LOG_INT("requests", HASH_COUNT(f->requests)),
		  LOG_INT("items", front_item_count(f)));
	http_server_drain(f->callers);
	leader_link_resend_hello(f->leader);
	front_item_stop_all(f);
}

/* SIGHUP reloads the settings but only adds control processes and sets the capacity. All other
 * changes, also the removal of a control process, need a restart. */
static void on_hup(struct ev_loop *loop, ev_signal *w, int events)
{
	front_t *f = w->data;
	front_settings_t s;

	if (front_settings_load(f->settings_path, &s) != STATUS_OK) {
		log_event(LOG_LEVEL_ERROR, "reload_failed", LOG_CSTR("what", status_message()));
		front_settings_free(&s);
		return;
	}
	for (size_t i = 0; i < s.controls.n; i++)
		leader_link_add_control(f->leader, str_c(s.controls.v[i]));
	if (s.capacity != f->settings.capacity) {
		f->settings.capacity = s.capacity;
		front_link_report_capacity(f);
	}
	log_event(LOG_LEVEL_INFO, "reloaded", LOG_INT("controls", s.controls.n));
	front_settings_free(&s);
}

static http_server_t *start_listener(front_t *f, const char *addr, size_t body_bytes,
				     void (*request)(void *ctx, http_conn_t *c,
						     const http_request_t *r))
{
	return http_server_new(&(http_server_options_t){
		.loop = f->loop,
		.addr = addr,
		.limits = {HEADER_BYTES, body_bytes, HEADER_MS, IDLE_MS},
		.intake = f->intake,
		.ctx = f,
		.request = request,
		.client_gone = on_caller_gone,
		.drained = on_caller_read,
	});
}

static bool start_listeners(front_t *f)
{
	const front_settings_t *s = &f->settings;

	f->intake = http_intake_new(&(http_intake_settings_t){s->memory_mib, s->client_memory_mib,
							      s->client_connections});
	f->callers = start_listener(f, s->listen, BODY_BYTES, on_request);
	if (!f->callers)
		return false;
	if (s->directory &&
	    !(f->directory = start_listener(f, s->directory, SMALL_BODY_MAX, on_directory)))
		return false;
	if (s->ready && !(f->ready = start_listener(f, s->ready, SMALL_BODY_MAX, on_ready)))
		return false;
	return !s->metrics ||
	       (f->metrics = start_listener(f, s->metrics, SMALL_BODY_MAX, on_metrics));
}

static void watch_signals(front_t *f)
{
	signal(SIGPIPE, SIG_IGN);
	ev_signal_init(&f->term, on_term, SIGTERM);
	ev_signal_init(&f->hup, on_hup, SIGHUP);
	f->term.data = f->hup.data = f;
	ev_signal_start(f->loop, &f->term);
	ev_signal_start(f->loop, &f->hup);
}

int main(int argc, char **argv)
{
	const args_options_t o = {"auburn-front", "Answers callers by the operators' routes.", NULL,
				  NULL};
	static front_t f;
	args_parsed_t args;
	int code = args_parse(&o, argc, argv, &args);

	if (code >= 0)
		return code;
	mem_setup();
	if (front_settings_load(args.config, &f.settings) != STATUS_OK) {
		fprintf(stderr, "auburn-front: %s\n", status_message());
		return EXIT_SETTINGS;
	}
	if (args.check)
		return EXIT_OK;
	if (sodium_init() < 0)
		return EXIT_FAILED;
	log_open(f.settings.name, LOG_LEVEL_INFO);
	f.settings_path = args.config;
	f.started = clock_now_ms();
	f.loop = ev_default_loop(EVFLAG_AUTO);
	f.http = http_client_new(f.loop);
	f.drain = drain_new();
	if (!start_listeners(&f)) {
		fprintf(stderr, "auburn-front: %s\n", status_message());
		return EXIT_LISTEN;
	}
	watch_signals(&f);
	front_link_start(&f);
	ev_timer_init(&f.tick, on_tick, 0.0, TICK_MS / 1000.0);
	f.tick.data = &f;
	ev_timer_start(f.loop, &f.tick);
	log_event(LOG_LEVEL_INFO, "started", LOG_CSTR("listen", f.settings.listen),
		  LOG_CSTR("zone", f.settings.zone));
	ev_run(f.loop, 0);
	front_request_end_all(&f);
	front_hop_end_all(&f);
	front_held_expire(&f, INT64_MAX);
	log_event(LOG_LEVEL_INFO, "stopped", LOG_INT("requests", HASH_COUNT(f.requests)),
		  LOG_INT("pending", http_server_pending(f.callers)));
	return EXIT_OK;
}
