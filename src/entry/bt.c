#include "entry/bt.h"

#include <stdlib.h>
#include "base/lg.h"
#include "base/mx.h"
#include "entry/up.h"

#define FIRST_BEAT_MS	100
#define BEATS_PER_LEASE 4
#define BEAT_MAX_MS	1000
#define FETCH_MS	1500
#define LEASE_MARGIN_MS 100
#define STEP_MS		10
#define TICK_MS		20

typedef struct {
	en_t *en;
	uint64_t session;
	int64_t lease_ms; /* as the control last said */
	bool was_valid;
	uint64_t conf_seen;
	uint64_t view_seen;
} state_t;

static void fill_member(const en_t *en, uint64_t session, aw_member_t *m)
{
	*m = (aw_member_t){.name = px_bytes(str_c(en->set.name)),
			   .addr = px_bytes(str_c(en->set.listen)),
			   .peer = px_bytes(str_c(en->set.peer)),
			   .zone = px_bytes(str_c(en->set.zone)),
			   .boot = en->boot,
			   .session = session,
			   .draining = atomic_load(&en->draining)};
}

static void take_session(state_t *s, uint64_t session)
{
	if (session == s->session)
		return;
	lg(LG_INFO, "session_opened", LG_I("session", session), LG_I("was", s->session));
	if (s->session)
		up_close_owned(s->en->ups, true);
	s->session = session;
}

static void fetch_conf(en_t *en)
{
	aw_query_t q = {.kind = AW_QUERY_CONF};
	aw_query_res_t res = {0};
	status_t st = cc_query(en->cc, 0, &q, &res, clk_now_ms() + FETCH_MS);

	if (st == ST_OK)
		st = (status_t)res.status;
	if (st == ST_OK)
		st = en_conf_publish(en->snap, &res.conf);
	if (st == ST_OK)
		lg(LG_INFO, "text_in_force", LG_I("number", en_conf_number(en->snap)));
	else if (st != ST_CONFLICT)
		lg(LG_WARN, "text_not_fetched", LG_C("status", st_name(st)),
		   LG_C("message", st_message()));
	px_free(PX(aw_query_res_t), &res);
}

static void fetch_view(en_t *en)
{
	aw_query_t q = {.kind = AW_QUERY_VIEW};
	aw_query_res_t res = {0};
	status_t st;

	q.aw_query_t_u.known_version = en_view_version(en->snap);
	st = cc_query(en->cc, 0, &q, &res, clk_now_ms() + FETCH_MS);
	if (st == ST_OK)
		st = (status_t)res.status;
	if (st == ST_OK)
		st = en_view_publish(en->snap, &res.view);
	if (st != ST_OK && st != ST_CONFLICT)
		lg(LG_WARN, "view_not_fetched", LG_C("status", st_name(st)));
	px_free(PX(aw_query_res_t), &res);
}

static void take_beat(state_t *s, const aw_beat_res_t *res, int64_t sent_ms)
{
	en_t *en = s->en;
	bool apply = false;

	s->lease_ms = res->lease_ms;
	take_session(s, res->session);
	if (res->conf_number > en_conf_number(en->snap)) {
		fetch_conf(en);
		apply = true;
	}
	if (res->view_version > en_view_version(en->snap) ||
	    atomic_exchange(&en->view_wanted, false)) {
		fetch_view(en);
		apply = true;
	}
	/* With an older text than the control's the lease is not taken: the old text must not be
	 * served for longer than the lease that came with it. */
	if (en_conf_number(en->snap) >= res->conf_number)
		en_lease_set(en->snap, res->session, sent_ms + res->lease_ms - LEASE_MARGIN_MS);
	if (apply || !s->was_valid)
		up_apply(en->ups);
}

static void beat(state_t *s)
{
	en_t *en = s->en;
	int64_t sent_ms = clk_now_ms();
	aw_beat_arg_t arg = {.conf_number = en_conf_number(en->snap),
			     .view_version = en_view_version(en->snap)};
	aw_beat_res_t res = {0};
	status_t st;

	fill_member(en, s->session, &arg.member);
	st = cc_beat(en->cc, &arg, &res, sent_ms + BEAT_MAX_MS);
	if (st == ST_OK && res.status == ST_OK)
		take_beat(s, &res, sent_ms);
	else
		MX_COUNT("auburn_beats_failed_total");
	px_free(PX(aw_beat_res_t), &res);
}

static void watch_lease(state_t *s)
{
	bool valid = en_lease_valid(s->en->snap);

	if (s->was_valid && !valid) {
		lg(LG_WARN, "lease_lost", LG_I("session", s->session));
		MX_COUNT("auburn_leases_lost_total");
		up_close_owned(s->en->ups, true);
	} else if (!s->was_valid && valid) {
		lg(LG_INFO, "lease_held", LG_I("session", s->session));
	}
	s->was_valid = valid;
}

static bool tick_one(void *ctx, const up_info_t *info)
{
	if (info->ro)
		ro_tick(info->ro);
	return true;
}

static void *control_thread(void *arg)
{
	state_t s = {.en = arg, .lease_ms = BEATS_PER_LEASE * FIRST_BEAT_MS};
	deadline_t next = 0;

	for (;;) {
		if (clk_now_ms() >= next || atomic_load(&s.en->view_wanted)) {
			next = clk_now_ms() + s.lease_ms / BEATS_PER_LEASE;
			beat(&s);
		}
		watch_lease(&s);
		clk_sleep_ms(STEP_MS);
	}
	return NULL;
}

static void *tick_thread(void *arg)
{
	en_t *en = arg;

	for (;;) {
		up_each(en->ups, tick_one, NULL);
		clk_sleep_ms(TICK_MS);
	}
	return NULL;
}

static void spawn(void *(*f)(void *), en_t *en)
{
	pthread_t t;

	if (pthread_create(&t, NULL, f, en) != 0)
		abort();
	pthread_detach(t);
}

void bt_start(en_t *en)
{
	spawn(control_thread, en);
	spawn(tick_thread, en);
}
