/* auburn-front: starts the listeners and the loop, stops on a signal. */
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include "base/ar.h"
#include "base/lg.h"
#include "base/mx.h"
#include "client/la.h"
#include "front/fr.h"

#define TICK_MS 50
/** Left of the grace time when the process ends by itself, in ms. */
#define EXIT_MARGIN_MS 250
/** A stopping process takes connections for this part of the grace time, by when callers have let
 * go of its address: they keep it 2 s, some three times as long. The rest is left for the last
 * streams.
 */
#define ACCEPT_PERCENT	 76
#define METRICS_BODY_MAX 1024
/** Without a request for this long, in ms, behind its last accepted connection it ends: what was
 * sent before that has come. */
#define QUIET_MS 100

/** Before a text is known: what its limits usually are. */
#define HEADER_BYTES 16384
#define BODY_BYTES   (4U << 20)
#define HEADER_MS    3000
#define IDLE_MS	     15000

void fr_serve(fr_t *f, hl_conn_t *c, const hl_request_t *r)
{
	const ru_route_t *route;
	pf_call_t call;

	if (pf_call_decode(&r->head, &call) != ST_OK) {
		lg(LG_INFO, "request_refused", LG_I("status", 400), LG_C("reason", st_message()));
		hl_reply(c, 400, STR(""), str_c(st_message()));
		return;
	}
	if (call.kind != PF_REQUEST && call.kind != PF_READY) {
		fr_lot_call(f, c, &call);
		return;
	}
	route = ru_match(f->routes, call.host, call.path);
	if (!route) {
		lg(LG_INFO, "request_refused", LG_S("request", call.id), LG_I("status", 404),
		   LG_S("host", call.host), LG_S("path", call.path),
		   LG_I("text", f->routes_version));
		hl_reply(c, 404, STR(""), STR("no such route"));
		return;
	}
	if (route->kind == RU_BATCH)
		fr_lot_open(f, c, r, &call, route);
	else
		fo_begin(f, c, r, &call, route);
}

static void on_request(void *ctx, hl_conn_t *c, const hl_request_t *r)
{
	fr_t *f = ctx;

	if (f->routes)
		fr_serve(f, c, r);
	else
		fh_hold(f, c, r);
}

static void on_gone(void *ctx, hl_conn_t *c)
{
	fr_data_t *d = hl_data(c);

	if (!d)
		return;
	if (d->kind != FR_ONLINE) {
		*(hl_conn_t **)d->of = NULL;
		return;
	}
	fo_gone(d->of);
	free(d);
}

static void on_ready(void *ctx, hl_conn_t *c, const hl_request_t *r)
{
	fr_t *f = ctx;

	if (f->exit_by || !f->routes)
		hl_reply(c, 503, STR(""), STR("not ready\n"));
	else
		hl_reply(c, 200, STR(""), STR("ready\n"));
}

static void on_look_up(void *ctx, hl_conn_t *c, const hl_request_t *r)
{
	la_answer(c, r, &((fr_t *)ctx)->view);
}

static void on_metrics(void *ctx, hl_conn_t *c, const hl_request_t *r)
{
	fr_t *f = ctx;
	AUTO_BUF b = {0};

	mx_set(mx_get(MX_GAUGE, "auburn_requests_open", NULL), HASH_COUNT(f->requests));
	mx_set(mx_get(MX_GAUGE, "auburn_items_running", NULL), (int64_t)fb_count(f));
	mx_set(mx_get(MX_GAUGE, "auburn_replica_connections", NULL), (int64_t)hu_connects(f->http));
	mx_set(mx_get(MX_GAUGE, "auburn_leader_linked", NULL), ll_is_up(f->leader));
	mx_render(&b);
	hl_reply(c, 200, STR("Content-Type: text/plain; version=0.0.4\r\n"), str_buf(&b));
}

/* Callers use the address until the process is gone: what has connected by then is served. */
static void stop_when_idle(fr_t *f, deadline_t now)
{
	if (now < f->accept_until)
		return;
	if (!f->quiet_since) {
		hl_stop_accepting(f->callers);
		f->quiet_since = now;
	} else if (hl_pending(f->callers)) {
		f->quiet_since = now;
	} else if (now - f->quiet_since >= QUIET_MS) {
		ev_break(f->loop, EVBREAK_ALL);
	}
}

static void on_tick(struct ev_loop *loop, ev_timer *w, int events)
{
	fr_t *f = w->data;
	deadline_t now = clk_now_ms();

	fr_link_tick(f, now);
	fh_tick(f, now);
	fb_tick(f, now);
	if (!f->exit_by)
		return;
	stop_when_idle(f, now);
	if (now >= f->exit_by)
		ev_break(loop, EVBREAK_ALL);
}

static void on_term(struct ev_loop *loop, ev_signal *w, int events)
{
	fr_t *f = w->data;
	int64_t grace_ms = f->s.grace_s * 1000;

	if (f->exit_by)
		return;
	f->accept_until = clk_now_ms() + grace_ms * ACCEPT_PERCENT / 100;
	f->exit_by = clk_now_ms() + grace_ms - EXIT_MARGIN_MS;
	lg(LG_INFO, "stopping", LG_C("reason", "signal"), LG_I("requests", HASH_COUNT(f->requests)),
	   LG_I("items", fb_count(f)));
	hl_drain(f->callers);
	ll_greet(f->leader);
	fb_stop_all(f);
}

/* Only the known control processes may change without a restart. */
static void on_hup(struct ev_loop *loop, ev_signal *w, int events)
{
	fr_t *f = w->data;
	fr_settings_t s;

	if (fr_settings_load(f->settings_path, &s) != ST_OK) {
		lg(LG_ERROR, "reload_failed", LG_C("what", st_message()));
		fr_settings_free(&s);
		return;
	}
	for (size_t i = 0; i < s.controls.n; i++)
		ll_add_control(f->leader, str_c(s.controls.v[i]));
	lg(LG_INFO, "reloaded", LG_I("controls", s.controls.n));
	fr_settings_free(&s);
}

static hl_t *serve(fr_t *f, const char *addr, size_t body_bytes,
		   void (*request)(void *ctx, hl_conn_t *c, const hl_request_t *r))
{
	return hl_new(&(hl_options_t){
		.loop = f->loop,
		.addr = addr,
		.limits = {HEADER_BYTES, body_bytes, HEADER_MS, IDLE_MS},
		.ctx = f,
		.request = request,
		.gone = on_gone,
	});
}

static bool listen_all(fr_t *f)
{
	const fr_settings_t *s = &f->s;

	f->callers = serve(f, s->listen, BODY_BYTES, on_request);
	if (!f->callers)
		return false;
	if (s->directory && !(f->directory = serve(f, s->directory, METRICS_BODY_MAX, on_look_up)))
		return false;
	if (s->ready && !(f->ready = serve(f, s->ready, METRICS_BODY_MAX, on_ready)))
		return false;
	return !s->metrics || (f->metrics = serve(f, s->metrics, METRICS_BODY_MAX, on_metrics));
}

static void watch_signals(fr_t *f)
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
	const ar_options_t o = {"auburn-front", "Answers callers by the operators' routes.", NULL,
				NULL};
	static fr_t f;
	ar_t args;
	int code = ar_parse(&o, argc, argv, &args);

	if (code >= 0)
		return code;
	if (fr_settings_load(args.config, &f.s) != ST_OK) {
		fprintf(stderr, "auburn-front: %s\n", st_message());
		return AR_SETTINGS;
	}
	if (args.check)
		return AR_OK;
	if (sodium_init() < 0)
		return AR_FAILED;
	lg_open(f.s.name, LG_INFO);
	f.settings_path = args.config;
	f.started = clk_now_ms();
	f.loop = ev_default_loop(EVFLAG_AUTO);
	f.http = hu_new(f.loop);
	if (!listen_all(&f)) {
		fprintf(stderr, "auburn-front: %s\n", st_message());
		return AR_LISTEN;
	}
	watch_signals(&f);
	fr_link_start(&f);
	ev_timer_init(&f.tick, on_tick, 0.0, TICK_MS / 1000.0);
	f.tick.data = &f;
	ev_timer_start(f.loop, &f.tick);
	lg(LG_INFO, "started", LG_C("listen", f.s.listen), LG_C("zone", f.s.zone));
	ev_run(f.loop, 0);
	lg(LG_INFO, "stopped", LG_I("requests", HASH_COUNT(f.requests)),
	   LG_I("pending", hl_pending(f.callers)));
	return AR_OK;
}
