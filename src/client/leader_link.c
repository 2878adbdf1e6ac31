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
#include "policy/leader_search.h"

#define CONTROLS_MAX LEADER_SEARCH_CONTROLS_MAX
/** Connections that are tried at the same time. */
#define TRIES_MAX 64
/** The end of a run whose release came while a hello was unanswered is sent with the link. */
#define DEFERRED_MAX_BYTES (1U << 20)
/** A hello that is older than this when the link comes up, in ms, is sent again: it lists the runs
 * of that time. */
#define HELLO_FRESH_MS 150
/** Period in which at most one failed try at a control process is logged, in ms. */
#define TRY_LOG_MS 1000
/** Newest kind of message that this build knows. */

typedef struct {
	uint64_t id;
	deadline_t deadline;
	leader_link_reply_t reply;
	void *ctx;
	UT_hash_handle hh;
} pending_call_t;

typedef struct {
	char rpc_addr[LEADER_LINK_ADDR_BYTES];
	uint64_t named; /* when it was last named, as a count of names */
	unsigned failed; /* tries since the last line about it */
	deadline_t next_log;
} link_control_t;

/* A connection to a control process that has not said yet whether it leads. */
typedef struct {
	msgconn_t *conn; /* NULL: free */
	size_t control;
	deadline_t started;
	deadline_t greeted; /* when the hello was sent; 0: not connected */
	deadline_t next_ping; /* after the hello */
	deadline_t give_up_at;
} link_try_t;

struct leader_link {
	leader_link_options_t o;
	link_control_t controls[CONTROLS_MAX];
	size_t nconfigured; /* the first of them */
	uint64_t names; /* number of times that one was named */
	leader_search_t search;
	link_try_t tries[TRIES_MAX];
	char rpc_addr[LEADER_LINK_ADDR_BYTES]; /* of the linked process */
	char link_addr[LEADER_LINK_ADDR_BYTES]; /* its link address */
	msgconn_t *link; /* NULL while the link is down */
	buf_t deferred; /* messages that follow an unanswered hello, each after its length */
	bool idle;
	bool skipped_newer; /* a message of a newer build was skipped and logged */
	deadline_t down_since;
	deadline_t last_sent;
	deadline_t unacked_since; /* when the oldest unacknowledged message was sent; 0: none */
	int64_t ack_ms; /* time limit of an acknowledgement on this link */
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

/* Closes the try's connection. */
static void end_try(link_try_t *t)
{
	if (t->conn)
		msgconn_close(t->conn);
	t->conn = NULL;
}

/* Makes room in a full list: drops the control process that was named last the longest ago, and is
 * not in the settings. Returns its index, CONTROLS_MAX if all are in the settings. */
static size_t drop_control(leader_link_t *l)
{
	size_t oldest = l->nconfigured;

	for (size_t i = l->nconfigured; i < CONTROLS_MAX; i++) {
		if (l->controls[i].named < l->controls[oldest].named)
			oldest = i;
	}
	if (oldest == CONTROLS_MAX)
		return CONTROLS_MAX;
	for (size_t i = 0; i < TRIES_MAX; i++) {
		if (l->tries[i].conn && l->tries[i].control == oldest)
			end_try(&l->tries[i]);
	}
	leader_search_replace(&l->search, oldest);
	return oldest;
}

/* Index of the control process, which is added if it is new; CONTROLS_MAX if there is no room. */
static size_t find_or_add(leader_link_t *l, str_t addr)
{
	size_t i = 0;

	while (i < l->search.ncontrols && !str_eq(str_c(l->controls[i].rpc_addr), addr))
		i++;
	if (i == l->search.ncontrols) {
		i = i < CONTROLS_MAX ? leader_search_add(&l->search) : drop_control(l);
		if (i == CONTROLS_MAX)
			return i;
		l->controls[i] = (link_control_t){0};
		snprintf(l->controls[i].rpc_addr, sizeof(l->controls[i].rpc_addr), "%.*s",
			 STR_ARG(addr));
	}
	l->controls[i].named = ++l->names;
	return i;
}

void leader_link_add_control(leader_link_t *l, str_t addr)
{
	if (addr.n > 0 && addr.n < LEADER_LINK_ADDR_BYTES)
		find_or_add(l, addr);
}

void leader_link_hint(leader_link_t *l, str_t addr)
{
	if (l->link || addr.n == 0 || addr.n >= LEADER_LINK_ADDR_BYTES)
		return;
	leader_search_hint(&l->search, find_or_add(l, addr));
}

str_t leader_link_leader(const leader_link_t *l)
{
	return l->link ? str_c(l->rpc_addr) : (str_t){"", 0};
}

size_t leader_link_controls(const leader_link_t *l, str_t *out, size_t max)
{
	size_t n = l->search.ncontrols < max ? l->search.ncontrols : max;

	for (size_t i = 0; i < n; i++)
		out[i] = str_c(l->controls[i].rpc_addr);
	return n;
}

bool leader_link_is_up(const leader_link_t *l)
{
	return l->link != NULL;
}

deadline_t leader_link_down_since(const leader_link_t *l)
{
	return l->link ? 0 : l->down_since;
}

uint64_t leader_link_received_bytes(const leader_link_t *l)
{
	return l->link ? msgconn_received_bytes(l->link) : 0;
}

static void send_msg(leader_link_t *l, msgconn_t *to, const link_msg_t *m)
{
	AUTO_BUF b = {0};

	wire_encode(&b, XDR_PROC(link_msg_t), m);
	msgconn_send(to, str_buf(&b));
	l->last_sent = clock_now_ms();
}

void leader_link_send(leader_link_t *l, const link_msg_t *m)
{
	if (l->link)
		send_msg(l, l->link, m);
}

void leader_link_send_acked(leader_link_t *l, const link_msg_t *m)
{
	if (!l->link)
		return;
	send_msg(l, l->link, m);
	if (!l->unacked_since)
		l->unacked_since = l->last_sent;
}

static void send_hello(leader_link_t *l, msgconn_t *to)
{
	link_msg_t m = {.kind = LINK_HELLO};

	l->o.hello(l->o.ctx, &m.link_msg_t_u.hello);
	send_msg(l, to, &m);
}

void leader_link_resend_hello(leader_link_t *l)
{
	if (l->link)
		send_hello(l, l->link);
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

static bool awaits_answer(const leader_link_t *l)
{
	for (size_t i = 0; i < TRIES_MAX; i++) {
		if (l->tries[i].conn && l->tries[i].greeted)
			return true;
	}
	return false;
}

void leader_link_send_deferred(leader_link_t *l, const link_msg_t *m)
{
	AUTO_BUF b = {0};
	size_t n;

	if (l->link) {
		send_msg(l, l->link, m);
		return;
	}
	if (!awaits_answer(l) || l->deferred.n > DEFERRED_MAX_BYTES)
		return;
	wire_encode(&b, XDR_PROC(link_msg_t), m);
	n = b.n;
	buf_add(&l->deferred, (str_t){(const char *)&n, sizeof(n)});
	buf_add(&l->deferred, str_buf(&b));
}

static void send_deferred(leader_link_t *l)
{
	size_t at = 0;
	size_t n;

	while (at < l->deferred.n) {
		memcpy(&n, l->deferred.p + at, sizeof(n));
		msgconn_send(l->link, (str_t){l->deferred.p + at + sizeof(n), n});
		at += sizeof(n) + n;
	}
	buf_free(&l->deferred);
}

static void end_tries(leader_link_t *l)
{
	for (size_t i = 0; i < TRIES_MAX; i++)
		end_try(&l->tries[i]);
}

static void log_failed_try(leader_link_t *l, const link_try_t *t, const char *reason)
{
	link_control_t *c = &l->controls[t->control];
	deadline_t now = clock_now_ms();

	METRIC_INC("auburn_leader_tries_failed_total");
	c->failed++;
	if (now < c->next_log)
		return;
	log_event(LOG_LEVEL_INFO, "leader_try_failed", LOG_CSTR("control", c->rpc_addr),
		  LOG_CSTR("reason", reason), LOG_INT("ms", now - t->started),
		  LOG_INT("failed", c->failed), LOG_INT("down_ms", now - l->down_since));
	c->failed = 0;
	c->next_log = now + TRY_LOG_MS;
}

static void fail_try(leader_link_t *l, link_try_t *t, const char *reason)
{
	log_failed_try(l, t, reason);
	leader_search_answered(&l->search, t->control, clock_now_ms());
	end_try(t);
}

static void drop_link(leader_link_t *l, const char *reason)
{
	msgconn_close(l->link);
	l->link = NULL;
	l->unacked_since = 0;
	l->down_since = clock_now_ms();
	leader_search_restart(&l->search, l->down_since);
	log_event(LOG_LEVEL_WARN, "leader_lost", LOG_CSTR("addr", l->link_addr),
		  LOG_CSTR("reason", reason));
	METRIC_INC("auburn_leader_lost_total");
	l->o.down(l->o.ctx);
	expire_calls(l, DEADLINE_NEVER);
}

/* Makes the try's connection the link. */
static void link_up(leader_link_t *l, link_try_t *t)
{
	deadline_t now = clock_now_ms();
	int64_t rtt_ms = now - t->greeted;

	l->link = t->conn;
	t->conn = NULL;
	end_tries(l);
	snprintf(l->rpc_addr, sizeof(l->rpc_addr), "%s", l->controls[t->control].rpc_addr);
	leader_link_make_addr(str_c(l->rpc_addr), l->o.link_port, l->link_addr);
	l->ack_ms = leader_search_ack_ms(rtt_ms, LEADER_LINK_SILENCE_MS);
	log_event(LOG_LEVEL_INFO, "leader_found", LOG_CSTR("addr", l->link_addr),
		  LOG_INT("after_ms", now - l->down_since), LOG_INT("try_ms", now - t->started),
		  LOG_INT("answer_ms", rtt_ms));
	/* In this order: the hello lists the next runs of requests whose runs have ended. */
	send_deferred(l);
	if (rtt_ms > HELLO_FRESH_MS)
		send_hello(l, l->link);
	l->o.up(l->o.ctx);
}

static void on_welcome(leader_link_t *l, link_try_t *t, const link_welcome_t *w)
{
	if (w->leads) {
		link_up(l, t);
		return;
	}
	fail_try(l, t, "doesn't lead");
	leader_link_hint(l, wire_str(w->leader));
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
	return *kind > LEADER_LINK_LAST_KIND;
}

/* The try that uses this connection; NULL: it is the link. */
static link_try_t *find_try(leader_link_t *l, const msgconn_t *conn)
{
	for (size_t i = 0; i < TRIES_MAX; i++) {
		if (l->tries[i].conn == conn)
			return &l->tries[i];
	}
	return NULL;
}

static void handle_message(leader_link_t *l, link_try_t *t, const link_msg_t *m)
{
	if (t) {
		if (m->kind == LINK_WELCOME)
			on_welcome(l, t, &m->link_msg_t_u.welcome);
	} else if (m->kind == LINK_REPLY) {
		on_reply(l, &m->link_msg_t_u.reply);
	} else if (m->kind == LINK_WELCOME && !m->link_msg_t_u.welcome.leads) {
		drop_link(l, "doesn't lead");
	} else if (m->kind != LINK_PING && m->kind != LINK_WELCOME) {
		l->o.message(l->o.ctx, m);
	}
}

static void on_message(void *ctx, msgconn_t *conn, str_t s)
{
	leader_link_t *l = ctx;
	link_try_t *t = find_try(l, conn);
	link_msg_t m;
	uint32_t kind;

	if (!t)
		l->unacked_since = 0;
	if (leader_link_kind_is_newer(s, &kind)) {
		if (!l->skipped_newer)
			log_event(LOG_LEVEL_WARN, "link_message_skipped", LOG_INT("kind", kind));
		l->skipped_newer = true;
		return;
	}
	if (wire_decode(s, XDR_PROC(link_msg_t), &m, sizeof(m)) == STATUS_OK) {
		handle_message(l, t, &m);
	} else {
		log_event(LOG_LEVEL_ERROR, "link_message_malformed", LOG_INT("bytes", s.n));
		if (t)
			fail_try(l, t, "malformed message");
		else
			drop_link(l, "malformed message");
	}
	wire_free(XDR_PROC(link_msg_t), &m);
}

static void on_closed(void *ctx, msgconn_t *conn)
{
	leader_link_t *l = ctx;
	link_try_t *t = find_try(l, conn);

	if (t)
		fail_try(l, t, "closed");
	else
		drop_link(l, "closed");
}

/* Other connections to the same process are closed: it gets one hello. */
static void on_open(void *ctx, msgconn_t *conn)
{
	leader_link_t *l = ctx;
	link_try_t *t = find_try(l, conn);

	for (size_t i = 0; i < TRIES_MAX; i++) {
		if (&l->tries[i] != t && l->tries[i].conn && l->tries[i].control == t->control)
			end_try(&l->tries[i]);
	}
	if (!awaits_answer(l))
		buf_free(&l->deferred);
	t->greeted = clock_now_ms();
	t->next_ping = t->greeted + LEADER_LINK_PING_MS;
	leader_search_greeted(&l->search, t->control);
	send_hello(l, conn);
}

static void start_try(leader_link_t *l, size_t control, deadline_t now)
{
	msgconn_options_t o = {l->o.loop, l, on_message, on_closed, on_open};
	char addr[LEADER_LINK_ADDR_BYTES];
	link_try_t *t = find_try(l, NULL);

	if (!t || leader_link_make_addr(str_c(l->controls[control].rpc_addr), l->o.link_port,
					addr) != STATUS_OK)
		return;
	*t = (link_try_t){
		.control = control,
		.started = now,
		.give_up_at = now + LEADER_SEARCH_TRY_MS,
	};
	t->conn = msgconn_connect(addr, &o);
	if (!t->conn)
		fail_try(l, t, "cannot connect");
}

static void give_up_tries(leader_link_t *l, deadline_t due_by)
{
	for (size_t i = 0; i < TRIES_MAX; i++) {
		link_try_t *t = &l->tries[i];

		if (!t->conn || t->give_up_at > due_by)
			continue;
		log_failed_try(l, t, t->greeted ? "no answer" : "not connected");
		leader_search_given_up(&l->search, t->control, t->greeted != 0);
		end_try(t);
	}
}

/* Pings the processes whose answers are awaited: over a slow path the leader would take this
 * process for silent before its welcome has arrived. */
static void ping_greeted(leader_link_t *l, deadline_t now)
{
	for (size_t i = 0; i < TRIES_MAX; i++) {
		link_try_t *t = &l->tries[i];

		if (!t->conn || !t->greeted || t->next_ping > now)
			continue;
		send_msg(l, t->conn, &(link_msg_t){.kind = LINK_PING});
		t->next_ping = now + LEADER_LINK_PING_MS;
	}
}

static void search_leader(leader_link_t *l, deadline_t now, deadline_t read_until)
{
	size_t control;

	give_up_tries(l, read_until);
	ping_greeted(l, now);
	if (leader_search_next(&l->search, now, &control))
		start_try(l, control, now);
}

static void check_link(leader_link_t *l, deadline_t now, deadline_t read_until)
{
	int64_t silent_ms = read_until - msgconn_last_received(l->link);

	if (silent_ms > LEADER_LINK_SILENCE_MS)
		drop_link(l, "silent");
	else if (l->unacked_since && read_until - l->unacked_since > l->ack_ms &&
		 silent_ms > l->ack_ms)
		drop_link(l, "no answer");
	else if (now - l->last_sent >= LEADER_LINK_PING_MS)
		send_msg(l, l->link, &(link_msg_t){.kind = LINK_PING});
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
	if (l->link)
		check_link(l, now, read_until);
	if (!l->link)
		search_leader(l, now, read_until);
}

leader_link_t *leader_link_new(const leader_link_options_t *o)
{
	leader_link_t *l = mem_new(sizeof(*l));

	l->o = *o;
	l->down_since = clock_now_ms();
	leader_search_restart(&l->search, 0);
	for (size_t i = 0; i < o->ncontrols; i++)
		leader_link_add_control(l, str_c(o->controls[i]));
	l->nconfigured = l->search.ncontrols;
	ev_timer_init(&l->tick, on_tick, 0.0, LEADER_LINK_TICK_MS / 1000.0);
	ev_set_priority(&l->tick, EV_MINPRI); /* after the reads of the same loop iteration */
	l->tick.data = l;
	ev_timer_start(o->loop, &l->tick);
	return l;
}

void leader_link_set_idle(leader_link_t *l, bool idle)
{
	if (idle && !l->idle) {
		end_tries(l);
		if (l->link)
			drop_link(l, "leads itself");
	}
	if (!idle && l->idle) {
		l->down_since = clock_now_ms();
		leader_search_restart(&l->search, l->down_since);
	}
	l->idle = idle;
}

void leader_link_call(leader_link_t *l, link_call_arg_t *arg, deadline_t deadline,
		      leader_link_reply_t reply, void *ctx)
{
	link_msg_t m = {.kind = LINK_CALL};
	pending_call_t *c;

	if (!l->link) {
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
	send_msg(l, l->link, &m);
}
