#include "client/ll.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include "base/lg.h"
#include "base/mx.h"
#include "base/rp.h"
#include "net/lk.h"

/** A control process that doesn't answer a hello within this, in ms, is passed over. */
#define HELLO_MS 150
/** Pause before the next try after one that failed at once, in ms. */
#define RETRY_MS     20
#define CONTROLS_MAX 32

typedef struct {
	uint64_t id;
	deadline_t deadline;
	ll_reply_t reply;
	void *ctx;
	UT_hash_handle hh;
} call_t;

struct ll {
	ll_options_t o;
	char controls[CONTROLS_MAX][LL_ADDR_BYTES];
	size_t n;
	size_t next;
	char hint[LL_ADDR_BYTES];
	char rpc[LL_ADDR_BYTES]; /* of the process that is tried or linked */
	char addr[LL_ADDR_BYTES]; /* where it takes links */
	lk_t *link;
	bool up;
	bool idle;
	deadline_t down_since;
	deadline_t tried;
	deadline_t retry_at;
	deadline_t sent; /* when something was sent last */
	deadline_t asked; /* when the oldest unacknowledged question was sent; 0: there is none */
	uint64_t call_id;
	call_t *calls;
	ev_timer tick;
	deadline_t ticked; /* when it ran last */
};

const char *ll_call_name(lw_call_kind_t kind)
{
	static const char *const names[] = {
		[LW_CALL_OPEN] = "open",     [LW_CALL_READ] = "read",	    [LW_CALL_BODY] = "body",
		[LW_CALL_END] = "end",	     [LW_CALL_SUBMIT] = "submit",   [LW_CALL_CONF] = "conf",
		[LW_CALL_RETIRE] = "retire", [LW_CALL_RETIRED] = "retired",
	};

	return (size_t)kind < sizeof(names) / sizeof(names[0]) && names[kind] ? names[kind]
									      : "unknown";
}

status_t ll_link_addr(str_t rpc_addr, unsigned link_port, char out[LL_ADDR_BYTES])
{
	AUTO_FREE char *rpc = str_dup(rpc_addr);
	char ip[64];
	unsigned port;

	if (rp_split_addr(rpc, ip, &port) != ST_OK)
		return ST_INVALID;
	snprintf(out, LL_ADDR_BYTES, "%.20s:%u", ip, link_port);
	return ST_OK;
}

void ll_add_control(ll_t *l, str_t addr)
{
	for (size_t i = 0; i < l->n; i++) {
		if (str_eq(str_c(l->controls[i]), addr))
			return;
	}
	if (l->n < CONTROLS_MAX && addr.n < sizeof(l->controls[0]))
		snprintf(l->controls[l->n++], sizeof(l->controls[0]), "%.*s", STR_ARG(addr));
}

void ll_hint(ll_t *l, str_t addr)
{
	if (l->up || addr.n == 0 || addr.n >= sizeof(l->hint))
		return;
	snprintf(l->hint, sizeof(l->hint), "%.*s", STR_ARG(addr));
	ll_add_control(l, addr);
}

str_t ll_leader(const ll_t *l)
{
	return l->up ? str_c(l->rpc) : (str_t){"", 0};
}

size_t ll_controls(const ll_t *l, str_t *out, size_t max)
{
	size_t n = l->n < max ? l->n : max;

	for (size_t i = 0; i < n; i++)
		out[i] = str_c(l->controls[i]);
	return n;
}

bool ll_is_up(const ll_t *l)
{
	return l->up;
}

deadline_t ll_down_since(const ll_t *l)
{
	return l->up ? 0 : l->down_since;
}

static void send_msg(ll_t *l, const lw_msg_t *m)
{
	AUTO_BUF b = {0};

	px_encode(&b, PX(lw_msg_t), m);
	lk_send(l->link, str_buf(&b));
	l->sent = clk_now_ms();
}

void ll_send(ll_t *l, const lw_msg_t *m)
{
	if (l->up)
		send_msg(l, m);
}

void ll_ask(ll_t *l, const lw_msg_t *m)
{
	if (!l->up)
		return;
	send_msg(l, m);
	if (!l->asked)
		l->asked = l->sent;
}

static void greet(ll_t *l)
{
	lw_msg_t m = {.kind = LW_HELLO};

	l->o.hello(l->o.ctx, &m.lw_msg_t_u.hello);
	send_msg(l, &m);
}

void ll_greet(ll_t *l)
{
	if (l->up)
		greet(l);
}

static void end_call(ll_t *l, call_t *c, const lw_reply_t *r)
{
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): what is freed was unlinked */
	HASH_DEL(l->calls, c);
	if (c->reply)
		c->reply(c->ctx, r, true);
	free(c);
}

static void end_calls(ll_t *l, deadline_t due_by)
{
	call_t *c;
	call_t *next;

	HASH_ITER (hh, l->calls, c, next) {
		if (c->deadline <= due_by)
			end_call(l, c, NULL);
	}
}

static void drop(ll_t *l, const char *reason)
{
	bool was_up = l->up;

	if (l->link)
		lk_close(l->link);
	l->link = NULL;
	l->up = false;
	l->asked = 0;
	l->retry_at = clk_now_ms() + RETRY_MS;
	if (!was_up)
		return;
	l->down_since = clk_now_ms();
	lg(LG_WARN, "leader_lost", LG_C("addr", l->addr), LG_C("reason", reason));
	MX_COUNT("auburn_leader_lost_total");
	l->o.down(l->o.ctx);
	end_calls(l, DEADLINE_NEVER);
}

static void on_welcome(ll_t *l, const lw_welcome_t *w)
{
	str_t leader = px_str(w->leader);

	if (!w->leads) {
		ll_hint(l, leader);
		drop(l, "doesn't lead");
		return;
	}
	if (l->up)
		return;
	l->up = true;
	lg(LG_INFO, "leader_found", LG_C("addr", l->addr),
	   LG_I("after_ms", clk_now_ms() - l->down_since));
	l->o.up(l->o.ctx);
}

static void on_reply(ll_t *l, const lw_reply_t *r)
{
	uint64_t id = r->id;
	call_t *c;

	HASH_FIND(hh, l->calls, &id, sizeof(id), c);
	if (c)
		end_call(l, c, r);
}

static void on_message(void *ctx, lk_t *link, str_t s)
{
	ll_t *l = ctx;
	lw_msg_t m;

	l->asked = 0;
	if (px_decode(s, PX(lw_msg_t), &m, sizeof(m)) != ST_OK) {
		lg(LG_ERROR, "link_message_malformed", LG_I("bytes", s.n));
		drop(l, "malformed message");
	} else if (m.kind == LW_WELCOME) {
		on_welcome(l, &m.lw_msg_t_u.welcome);
	} else if (m.kind == LW_REPLY) {
		on_reply(l, &m.lw_msg_t_u.reply);
	} else if (m.kind != LW_PING) {
		l->o.message(l->o.ctx, &m);
	}
	px_free(PX(lw_msg_t), &m);
}

static void on_closed(void *ctx, lk_t *link)
{
	ll_t *l = ctx;

	l->link = NULL;
	drop(l, "closed");
}

static void on_open(void *ctx, lk_t *link)
{
	greet(ctx);
}

static void try_next(ll_t *l)
{
	lk_options_t o = {l->o.loop, l, on_message, on_closed, on_open};

	if (l->hint[0]) {
		snprintf(l->rpc, sizeof(l->rpc), "%s", l->hint);
		l->hint[0] = 0;
	} else {
		snprintf(l->rpc, sizeof(l->rpc), "%s", l->controls[l->next++ % l->n]);
	}
	l->tried = clk_now_ms();
	l->retry_at = l->tried + RETRY_MS;
	if (ll_link_addr(str_c(l->rpc), l->o.link_port, l->addr) == ST_OK)
		l->link = lk_connect(l->addr, &o);
}

static void on_tick(struct ev_loop *loop, ev_timer *w, int events)
{
	ll_t *l = w->data;
	deadline_t now = clk_now_ms();
	deadline_t seen;

	/* What came during a pause of this process may not be read yet: it counts for no silence.
	 */
	seen = now < l->ticked + LL_TICK_MS ? now : l->ticked + LL_TICK_MS;
	l->ticked = now;
	end_calls(l, now);
	if (l->idle)
		return;
	if (l->up && seen - lk_heard(l->link) > LL_SILENT_MS)
		drop(l, "silent");
	else if (l->up && l->asked && seen - l->asked > LL_ANSWER_MS &&
		 seen - lk_heard(l->link) > LL_ANSWER_MS)
		drop(l, "no answer");
	else if (l->link && !l->up && seen - l->tried > HELLO_MS)
		drop(l, "no answer");
	if (!l->link && now >= l->retry_at && l->n > 0)
		try_next(l);
	if (l->up && now - l->sent >= LL_PING_MS)
		send_msg(l, &(lw_msg_t){.kind = LW_PING});
}

ll_t *ll_new(const ll_options_t *o)
{
	ll_t *l = mem_new(sizeof(*l));

	l->o = *o;
	l->down_since = clk_now_ms();
	for (size_t i = 0; i < o->ncontrols; i++)
		ll_add_control(l, str_c(o->controls[i]));
	ev_timer_init(&l->tick, on_tick, 0.0, LL_TICK_MS / 1000.0);
	ev_set_priority(&l->tick, EV_MINPRI); /* behind the reads of its turn */
	l->tick.data = l;
	ev_timer_start(o->loop, &l->tick);
	return l;
}

void ll_set_idle(ll_t *l, bool idle)
{
	if (idle && !l->idle && l->link)
		drop(l, "leads itself");
	if (!idle && l->idle)
		l->down_since = clk_now_ms();
	l->idle = idle;
}

void ll_call(ll_t *l, lw_what_t *what, deadline_t deadline, ll_reply_t reply, void *ctx)
{
	lw_msg_t m = {.kind = LW_CALL};
	call_t *c;

	if (!l->up) {
		reply(ctx, NULL, false);
		return;
	}
	c = mem_new(sizeof(*c));
	c->id = ++l->call_id;
	c->deadline = deadline;
	c->reply = reply;
	c->ctx = ctx;
	HASH_ADD(hh, l->calls, id, sizeof(c->id), c);
	m.lw_msg_t_u.call.id = c->id;
	m.lw_msg_t_u.call.what = *what;
	send_msg(l, &m);
}
