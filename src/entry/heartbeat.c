#include "entry/heartbeat.h"

#include <stdlib.h>
#include "base/log.h"
#include "base/metric.h"
#include "entry/upstream.h"

#define FIRST_INTERVAL_MS    100
#define HEARTBEATS_PER_LEASE 4
#define HEARTBEAT_TIMEOUT_MS 1000
#define FETCH_TIMEOUT_MS     1500
#define LEASE_MARGIN_MS	     100 /* the entry ends its lease this much before the control does */
#define LOOP_INTERVAL_MS     10
#define TICK_INTERVAL_MS     20

typedef struct {
	entry_ctx_t *en;
	uint64_t session;
	int64_t lease_ms; /* lease duration in the last answer */
	bool lease_was_valid;
	uint64_t config_seen;
	uint64_t view_seen;
} control_state_t;

static void fill_member(const entry_ctx_t *en, uint64_t session, wire_member_t *m)
{
	*m = (wire_member_t){.name = wire_bytes(str_c(en->settings.name)),
			     .addr = wire_bytes(str_c(en->settings.listen)),
			     .peer = wire_bytes(str_c(en->settings.peer)),
			     .zone = wire_bytes(str_c(en->settings.zone)),
			     .boot = en->boot,
			     .session = session,
			     .draining = atomic_load(&en->draining)};
}

/* A new session means that the old one has ended and its replicas may have other owners. */
static void update_session(control_state_t *s, uint64_t session)
{
	if (session == s->session)
		return;
	log_event(LOG_LEVEL_INFO, "session_opened", LOG_INT("session", session),
		  LOG_INT("was", s->session));
	if (s->session)
		upstream_close_local(s->en->upstreams, true);
	s->session = session;
}

static void fetch_config(entry_ctx_t *en)
{
	wire_query_t q = {.kind = WIRE_QUERY_CONFIG};
	wire_query_res_t res = {0};
	status_t st = control_client_query(en->control_client, 0, &q, &res,
					   clock_now_ms() + FETCH_TIMEOUT_MS);

	if (st == STATUS_OK)
		st = (status_t)res.status;
	if (st == STATUS_OK)
		st = entry_config_publish(en->snapshot, &res.conf);
	if (st == STATUS_OK)
		log_event(LOG_LEVEL_INFO, "text_in_force",
			  LOG_INT("number", entry_config_number(en->snapshot)));
	else if (st != STATUS_CONFLICT)
		log_event(LOG_LEVEL_WARN, "text_not_fetched", LOG_CSTR("status", status_name(st)),
			  LOG_CSTR("message", status_message()));
	wire_free(XDR_PROC(wire_query_res_t), &res);
}

static void fetch_view(entry_ctx_t *en)
{
	wire_query_t q = {.kind = WIRE_QUERY_VIEW};
	wire_query_res_t res = {0};
	status_t st;

	q.wire_query_t_u.known_version = entry_view_version(en->snapshot);
	st = control_client_query(en->control_client, 0, &q, &res,
				  clock_now_ms() + FETCH_TIMEOUT_MS);
	if (st == STATUS_OK)
		st = (status_t)res.status;
	if (st == STATUS_OK)
		st = entry_view_publish(en->snapshot, &res.view);
	if (st != STATUS_OK && st != STATUS_CONFLICT)
		log_event(LOG_LEVEL_WARN, "view_not_fetched", LOG_CSTR("status", status_name(st)));
	wire_free(XDR_PROC(wire_query_res_t), &res);
}

static void handle_heartbeat_reply(control_state_t *s, const wire_heartbeat_res_t *res,
				   int64_t sent_ms)
{
	entry_ctx_t *en = s->en;
	bool apply = false;

	s->lease_ms = res->lease_ms;
	update_session(s, res->session);
	if (res->conf_number > entry_config_number(en->snapshot)) {
		fetch_config(en);
		apply = true;
	}
	if (res->view_version > entry_view_version(en->snapshot) ||
	    atomic_exchange(&en->view_stale, false)) {
		fetch_view(en);
		apply = true;
	}
	/* The lease is renewed only if this entry has the control's config, so that an outdated
	 * config is used for one lease at most. */
	if (entry_config_number(en->snapshot) >= res->conf_number)
		entry_lease_set(en->snapshot, res->session,
				sent_ms + res->lease_ms - LEASE_MARGIN_MS);
	if (apply || !s->lease_was_valid)
		upstream_apply_view(en->upstreams);
}

static void send_heartbeat(control_state_t *s)
{
	entry_ctx_t *en = s->en;
	int64_t sent_ms = clock_now_ms();
	wire_heartbeat_arg_t arg = {.conf_number = entry_config_number(en->snapshot),
				    .view_version = entry_view_version(en->snapshot)};
	wire_heartbeat_res_t res = {0};
	status_t st;

	fill_member(en, s->session, &arg.member);
	st = control_client_heartbeat(en->control_client, &arg, &res,
				      sent_ms + HEARTBEAT_TIMEOUT_MS);
	if (st == STATUS_OK && res.status == STATUS_OK)
		handle_heartbeat_reply(s, &res, sent_ms);
	else
		METRIC_INC("auburn_beats_failed_total");
	wire_free(XDR_PROC(wire_heartbeat_res_t), &res);
}

static void check_lease(control_state_t *s)
{
	bool valid = entry_lease_valid(s->en->snapshot);

	if (s->lease_was_valid && !valid) {
		log_event(LOG_LEVEL_WARN, "lease_lost", LOG_INT("session", s->session));
		METRIC_INC("auburn_leases_lost_total");
		upstream_close_local(s->en->upstreams, true);
	} else if (!s->lease_was_valid && valid) {
		log_event(LOG_LEVEL_INFO, "lease_held", LOG_INT("session", s->session));
	}
	s->lease_was_valid = valid;
}

static bool tick_replica(void *ctx, const upstream_info_t *info)
{
	if (info->replica)
		local_replica_tick(info->replica);
	return true;
}

static void *control_thread(void *arg)
{
	control_state_t s = {.en = arg, .lease_ms = HEARTBEATS_PER_LEASE * FIRST_INTERVAL_MS};
	deadline_t next = 0;

	for (;;) {
		if (clock_now_ms() >= next || atomic_load(&s.en->view_stale)) {
			next = clock_now_ms() + s.lease_ms / HEARTBEATS_PER_LEASE;
			send_heartbeat(&s);
		}
		check_lease(&s);
		clock_sleep_ms(LOOP_INTERVAL_MS);
	}
	return NULL;
}

static void *tick_thread(void *arg)
{
	entry_ctx_t *en = arg;

	for (;;) {
		upstream_each(en->upstreams, tick_replica, NULL);
		clock_sleep_ms(TICK_INTERVAL_MS);
	}
	return NULL;
}

static void start_thread(void *(*f)(void *), entry_ctx_t *en)
{
	pthread_t t;

	if (pthread_create(&t, NULL, f, en) != 0)
		abort();
	pthread_detach(t);
}

void heartbeat_start(entry_ctx_t *en)
{
	start_thread(control_thread, en);
	start_thread(tick_thread, en);
}
