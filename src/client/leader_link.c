#include "client/leader_link.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include "base/log.h"
#include "base/metric.h"
#include "base/rpc.h"
#include "net/msgconn.h"

/** Time limit for connecting to a control process and for its welcome, in ms; then the next one is
 * tried. */
#define HELLO_TIMEOUT_MS 150
/** Minimum time between connection attempts, in ms: an attempt may fail at once. */
#define RECONNECT_MS 20
#define CONTROLS_MAX 32
/** Newest kind of message that this build knows. */
#define LINK_KIND_LAST LINK_SOUND_PART

typedef struct {
	uint64_t id;
	deadline_t deadline;
	leader_link_reply_t reply;
	void *ctx;
	UT_hash_handle hh;
} pending_call_t;

struct leader_link {
	leader_link_options_t o;
	char controls[CONTROLS_MAX][LEADER_LINK_ADDR_BYTES];
	size_t ncontrols;
	size_t nconfigured; /* the first of them; the others are in the order in which they were
			       last named */
	size_t next_control;
	char hint[LEADER_LINK_ADDR_BYTES]; /* is tried next; empty: none */
	char rpc_addr[LEADER_LINK_ADDR_BYTES]; /* of the process being tried or linked */
	char link_addr[LEADER_LINK_ADDR_BYTES]; /* its link address */
	msgconn_t *link;
	bool up;
	bool idle;
	bool skipped_newer; /* a message of a newer build was skipped and logged */
	deadline_t down_since;
	deadline_t connect_started;
	deadline_t retry_at;
	deadline_t last_sent;
	deadline_t unacked_since; /* when the oldest unacknowledged message was sent; 0: none */
	uint64_t call_id;
	pending_call_t *calls;
	ev_timer tick;
	deadline_t last_tick;
};

const char *leader_link_call_name(link_call_kind_t kind)
{
	static const char *const names[] = {
		[LINK_CALL_LOT_OPEN] = "open",	      [LINK_CALL_LOT_READ] = "read",
		[LINK_CALL_ITEM_BODY] = "body",	      [LINK_CALL_LOT_END] = "end",
		[LINK_CALL_CONFIG_SUBMIT] = "submit", [LINK_CALL_CONFIG_GET] = "conf",
		[LINK_CALL_RETIRE] = "retire",	      [LINK_CALL_RETIRE_STATUS] = "retired",
	};

	return (size_t)kind < sizeof(names) / sizeof(names[0]) && names[kind] ? names[kind]
									      : "unknown";
}

status_t leader_link_make_addr(str_t rpc_addr, unsigned link_port, char out[LEADER_LINK_ADDR_BYTES])
{
	AUTO_FREE char *rpc = str_dup(rpc_addr);
	char ip[64];
	unsigned port;

	if (rpc_parse_addr(rpc, ip, &port) != STATUS_OK)
		return STATUS_INVALID;
	snprintf(out, LEADER_LINK_ADDR_BYTES, "%.20s:%u", ip, link_port);
	return STATUS_OK;
}

void leader_link_add_control(leader_link_t *l, str_t addr)
{
	size_t at = 0;

	while (at < l->ncontrols && !str_eq(str_c(l->controls[at]), addr))
		at++;
	if (at < l->nconfigured || addr.n >= sizeof(l->controls[0]))
		return;
	if (at == CONTROLS_MAX)
		at = l->nconfigured;
	if (at == CONTROLS_MAX)
		return;
	if (at < l->ncontrols)
		memmove(l->controls[at], l->controls[at + 1],
			(--l->ncontrols - at) * sizeof(l->controls[0]));
	snprintf(l->controls[l->ncontrols++], sizeof(l->controls[0]), "%.*s", STR_ARG(addr));
}

void leader_link_hint(leader_link_t *l, str_t addr)
{
	if (l->up || addr.n == 0 || addr.n >= sizeof(l->hint))
		return;
	snprintf(l->hint, sizeof(l->hint), "%.*s", STR_ARG(addr));
	leader_link_add_control(l, addr);
}

str_t leader_link_leader(const leader_link_t *l)
{
	return l->up ? str_c(l->rpc_addr) : (str_t){"", 0};
}

size_t leader_link_controls(const leader_link_t *l, str_t *out, size_t max)
{
	size_t n = l->ncontrols < max ? l->ncontrols : max;

	for (size_t i = 0; i < n; i++)
		out[i] = str_c(l->controls[i]);
	return n;
}

bool leader_link_is_up(const leader_link_t *l)
{
	return l->up;
}

deadline_t leader_link_down_since(const leader_link_t *l)
{
	return l->up ? 0 : l->down_since;
}

static void send_msg(leader_link_t *l, const link_msg_t *m)
{
	AUTO_BUF b = {0};

	wire_encode(&b, XDR_PROC(link_msg_t), m);
	msgconn_send(l->link, str_buf(&b));
	l->last_sent = clock_now_ms();
}

void leader_link_send(leader_link_t *l, const link_msg_t *m)
{
	if (l->up)
		send_msg(l, m);
}

void leader_link_send_acked(leader_link_t *l, const link_msg_t *m)
{
	if (!l->up)
		return;
	send_msg(l, m);
	if (!l->unacked_since)
		l->unacked_since = l->last_sent;
}

static void send_hello(leader_link_t *l)
{
	link_msg_t m = {.kind = LINK_HELLO};

	l->o.hello(l->o.ctx, &m.link_msg_t_u.hello);
	send_msg(l, &m);
}

void leader_link_resend_hello(leader_link_t *l)
{
	if (l->up)
		send_hello(l);
}

void leader_link_report_leaving(link_hello_t *out, const leaving_t *l)
{
	static link_leaving_t reported[LEAVING_MAX];
	replica_ref_t v[LEAVING_MAX];
	size_t n = leaving_list(l, clock_now_ms() - LEAVING_TOLD_MS, v, LEAVING_MAX);

	for (size_t i = 0; i < n; i++)
		reported[i] = (link_leaving_t){wire_bytes(v[i].id), v[i].start_time};
	out->leaving_replicas.leaving_replicas_len = (u_int)n;
	out->leaving_replicas.leaving_replicas_val = reported;
}

static void end_call(leader_link_t *l, pending_call_t *c, const link_reply_t *r)
{
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): nodes are unlinked first */
	HASH_DEL(l->calls, c);
	if (c->reply)
		c->reply(c->ctx, r, true);
	free(c);
}

/* Ends the calls whose deadline is due_by or earlier. */
static void expire_calls(leader_link_t *l, deadline_t due_by)
{
	pending_call_t *c;
	pending_call_t *next;

	HASH_ITER (hh, l->calls, c, next) {
		if (c->deadline <= due_by)
			end_call(l, c, NULL);
	}
}

static void drop_link(leader_link_t *l, const char *reason)
{
	bool was_up = l->up;

	if (l->link)
		msgconn_close(l->link);
	l->link = NULL;
	l->up = false;
	l->unacked_since = 0;
	l->retry_at = clock_now_ms() + RECONNECT_MS;
	if (!was_up)
		return;
	l->down_since = clock_now_ms();
	log_event(LOG_LEVEL_WARN, "leader_lost", LOG_CSTR("addr", l->link_addr),
		  LOG_CSTR("reason", reason));
	METRIC_INC("auburn_leader_lost_total");
	l->o.down(l->o.ctx);
	expire_calls(l, DEADLINE_NEVER);
}

static void on_welcome(leader_link_t *l, const link_welcome_t *w)
{
	str_t leader = wire_str(w->leader);

	if (!w->leads) {
		leader_link_hint(l, leader);
		drop_link(l, "doesn't lead");
		return;
	}
	if (l->up)
		return;
	l->up = true;
	log_event(LOG_LEVEL_INFO, "leader_found", LOG_CSTR("addr", l->link_addr),
		  LOG_INT("after_ms", clock_now_ms() - l->down_since));
	l->o.up(l->o.ctx);
}

static void on_reply(leader_link_t *l, const link_reply_t *r)
{
	uint64_t id = r->id;
	pending_call_t *c;

	HASH_FIND(hh, l->calls, &id, sizeof(id), c);
	if (c)
		end_call(l, c, r);
}

bool leader_link_kind_is_newer(str_t message, uint32_t *kind)
{
	if (message.n < sizeof(*kind))
		return false;
	memcpy(kind, message.p, sizeof(*kind));
	*kind = ntohl(*kind);
	return *kind > LINK_KIND_LAST;
}

static void on_message(void *ctx, msgconn_t *link, str_t s)
{
	leader_link_t *l = ctx;
	link_msg_t m;
	uint32_t kind;

	l->unacked_since = 0;
	if (leader_link_kind_is_newer(s, &kind)) {
		if (!l->skipped_newer)
			log_event(LOG_LEVEL_WARN, "link_message_skipped", LOG_INT("kind", kind));
		l->skipped_newer = true;
		return;
	}
	if (wire_decode(s, XDR_PROC(link_msg_t), &m, sizeof(m)) != STATUS_OK) {
		log_event(LOG_LEVEL_ERROR, "link_message_malformed", LOG_INT("bytes", s.n));
		drop_link(l, "malformed message");
	} else if (m.kind == LINK_WELCOME) {
		on_welcome(l, &m.link_msg_t_u.welcome);
	} else if (m.kind == LINK_REPLY) {
		on_reply(l, &m.link_msg_t_u.reply);
	} else if (m.kind != LINK_PING) {
		l->o.message(l->o.ctx, &m);
	}
	wire_free(XDR_PROC(link_msg_t), &m);
}

static void on_closed(void *ctx, msgconn_t *link)
{
	leader_link_t *l = ctx;

	l->link = NULL;
	drop_link(l, "closed");
}

static void on_open(void *ctx, msgconn_t *link)
{
	send_hello(ctx);
}

static void connect_next(leader_link_t *l)
{
	msgconn_options_t o = {l->o.loop, l, on_message, on_closed, on_open};

	if (l->hint[0]) {
		snprintf(l->rpc_addr, sizeof(l->rpc_addr), "%s", l->hint);
		l->hint[0] = 0;
	} else {
		snprintf(l->rpc_addr, sizeof(l->rpc_addr), "%s",
			 l->controls[l->next_control++ % l->ncontrols]);
	}
	l->connect_started = clock_now_ms();
	l->retry_at = l->connect_started + RECONNECT_MS;
	if (leader_link_make_addr(str_c(l->rpc_addr), l->o.link_port, l->link_addr) == STATUS_OK)
		l->link = msgconn_connect(l->link_addr, &o);
}

static void on_tick(struct ev_loop *loop, ev_timer *w, int events)
{
	leader_link_t *l = w->data;
	deadline_t now = clock_now_ms();
	deadline_t read_until;

	/* Silence counts only up to one period after the previous tick: data that arrived while
	 * this process was paused may still be unread. */
	read_until =
		now < l->last_tick + LEADER_LINK_TICK_MS ? now : l->last_tick + LEADER_LINK_TICK_MS;
	l->last_tick = now;
	expire_calls(l, now);
	if (l->idle)
		return;
	if (l->up && read_until - msgconn_last_received(l->link) > LEADER_LINK_SILENCE_MS)
		drop_link(l, "silent");
	else if (l->up && l->unacked_since && read_until - l->unacked_since > LEADER_LINK_ACK_MS &&
		 read_until - msgconn_last_received(l->link) > LEADER_LINK_ACK_MS)
		drop_link(l, "no answer");
	else if (l->link && !l->up && read_until - l->connect_started > HELLO_TIMEOUT_MS)
		drop_link(l, "no answer");
	if (!l->link && now >= l->retry_at && l->ncontrols > 0)
		connect_next(l);
	if (l->up && now - l->last_sent >= LEADER_LINK_PING_MS)
		send_msg(l, &(link_msg_t){.kind = LINK_PING});
}

leader_link_t *leader_link_new(const leader_link_options_t *o)
{
	leader_link_t *l = mem_new(sizeof(*l));

	l->o = *o;
	l->down_since = clock_now_ms();
	for (size_t i = 0; i < o->ncontrols; i++)
		leader_link_add_control(l, str_c(o->controls[i]));
	l->nconfigured = l->ncontrols;
	ev_timer_init(&l->tick, on_tick, 0.0, LEADER_LINK_TICK_MS / 1000.0);
	ev_set_priority(&l->tick, EV_MINPRI); /* after the reads of the same loop iteration */
	l->tick.data = l;
	ev_timer_start(o->loop, &l->tick);
	return l;
}

void leader_link_set_idle(leader_link_t *l, bool idle)
{
	if (idle && !l->idle && l->link)
		drop_link(l, "leads itself");
	if (!idle && l->idle)
		l->down_since = clock_now_ms();
	l->idle = idle;
}

void leader_link_call(leader_link_t *l, link_call_arg_t *arg, deadline_t deadline,
		      leader_link_reply_t reply, void *ctx)
{
	link_msg_t m = {.kind = LINK_CALL};
	pending_call_t *c;

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
	m.link_msg_t_u.call.id = c->id;
	m.link_msg_t_u.call.what = *arg;
	send_msg(l, &m);
}
