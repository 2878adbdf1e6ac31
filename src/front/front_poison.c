/* Requests that crash replicas. Tells the leader of runs whose connection ended, keeps the requests
 * that it holds, and counts by itself while there is no leader that does. */
#include <limits.h>
#include <string.h>
#include "base/log.h"
#include "base/metric.h"
#include "client/poison_list.h"
#include "front/front.h"

static void on_event(void *ctx, poison_event_t what, const poison_state_t *x)
{
	front_t *f = ctx;
	deadline_t now = clock_now_ms();
	char key[POISON_NAME_BYTES];

	log_event(LOG_LEVEL_INFO, poison_event_name(what),
		  LOG_CSTR("key", poison_key_name(&x->key, key)),
		  LOG_CSTR("by", f->leader_holds ? "leader" : "entry"),
		  LOG_INT("crashes", x->crashes), LOG_INT("level", x->level),
		  LOG_INT("since_ms", x->since ? now - x->since : -1),
		  LOG_INT("left_ms", x->held ? x->until - now : 0));
	if (what == POISON_HELD)
		METRIC_INC("auburn_requests_held_total");
}

void front_poison_start(front_t *f)
{
	f->poison = poison_new(&(poison_callbacks_t){f, on_event});
}

static void set_leader_holds(front_t *f, bool holds)
{
	f->leader_holds = holds;
	poison_follow(f->poison, holds);
}

void front_poison_link_down(front_t *f)
{
	set_leader_holds(f, false);
}

void front_poison_offer(front_t *f)
{
	static poison_state_t states[POISON_LIST_MAX];
	link_msg_t m = {.kind = LINK_POISONS};
	size_t n = poison_list(f->poison, UINT_MAX, states, POISON_LIST_MAX);

	poison_list_encode(states, n, clock_now_ms(), &m.link_msg_t_u.poisons);
	leader_link_send(f->leader, &m);
}

/* Ends the waiting requests that are held. */
static void refuse_waiting(front_t *f)
{
	front_request_t *q;
	front_request_t *next;

	HASH_ITER (hh, f->requests, q, next) {
		if (front_request_is_waiting(q))
			front_request_check_poison(q);
	}
}

void front_poison_update(front_t *f, const link_poisons_t *m)
{
	static poison_state_t states[POISON_LIST_MAX];
	deadline_t now = clock_now_ms();
	size_t n = poison_list_decode(m, now, states);

	for (size_t i = 0; i < n; i++)
		poison_adopt(f->poison, &states[i], now);
	set_leader_holds(f, true);
	poison_retain(f->poison, states, n);
	refuse_waiting(f);
}

void front_poison_crash(front_t *f, const front_crash_t *c)
{
	deadline_t now = clock_now_ms();
	char name[POISON_NAME_BYTES];
	link_msg_t m = {.kind = LINK_REQUEST_CRASH};
	link_request_crash_t *out = &m.link_msg_t_u.request_crash;
	prompt_parts_t suspects = {.n = 0};

	log_event(LOG_LEVEL_INFO, "request_crash", LOG_STR("request", c->request),
		  LOG_STR("replica", c->replica.id), LOG_INT("born", c->replica.start_time),
		  LOG_INT("run_ms", now - c->began_at), LOG_INT("answer_began", c->answer_began),
		  LOG_CSTR("key", poison_key_name(&c->key, name)),
		  LOG_CSTR("to", f->leader_holds ? "leader" : "entry"));
	METRIC_INC("auburn_request_crashes_total");
	poison_crash(f->poison, &c->key, c->replica, c->began_at, now);
	if (!f->leader_holds) {
		if (!c->answer_began)
			front_quarantine_broke(f, c->request, c->replica, c->parts, c->began_at,
					       &c->key);
		return;
	}
	if (!c->answer_began)
		front_quarantine_suspects(f, c->parts, &suspects);
	out->crash = (link_crash_t){
		.request = wire_bytes(c->request),
		.replica = wire_bytes(c->replica.id),
		.start_time = c->replica.start_time,
		.parts = {suspects.n, suspects.v},
	};
	memcpy(out->key, c->key.v, sizeof(out->key));
	out->run_ms = (int)(now - c->began_at);
	leader_link_send(f->leader, &m);
}

void front_poison_sound(front_t *f, const poison_key_t *key)
{
	link_msg_t m = {.kind = LINK_REQUEST_SOUND};

	poison_sound(f->poison, key);
	if (!f->leader_holds)
		return;
	memcpy(m.link_msg_t_u.request_sound.key, key->v, sizeof(key->v));
	leader_link_send(f->leader, &m);
}

void front_poison_tick(front_t *f, deadline_t now)
{
	poison_tick(f->poison, now);
}
