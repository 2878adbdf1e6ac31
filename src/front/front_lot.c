/* Calls that open, read and end batch lots: forwarded to the leader, which answers them. */
#include <stdlib.h>
#include "base/log.h"
#include "base/metric.h"
#include "front/front.h"
#include "state/lots.h"

/** Timeout of calls that open or end a lot: the leader's commit has failed by then. */
#define CALL_TIMEOUT_MS 2500
/** Timeout of reads, in addition to the time for which the caller wants to wait for results. */
#define READ_TIMEOUT_MS 1200
/** Retry-After of calls that were certainly not executed, mostly because there is no leader: one is
 * usually found by then. */
#define RETRY_NOT_EXECUTED_MS 300
/** Retry-After when a lot exceeds the route's quota of waiting tokens or the memory for lots: by
 * then some items have finished. */
#define RETRY_LIMIT_MS 1000

/** Part of a lot's id that is kept for log lines, with its terminating zero. */
#define LOT_ID_LOGGED_BYTES 192

/** Time for the answer to a read of a lot, once it stops to wait for results. */
#define READ_ANSWER_MS 250
/** Retry-After of an entry that stops: the caller only has to connect to another entry. */
#define RETRY_ELSEWHERE_MS 20

typedef struct {
	front_conn_data_t data;
	front_t *f;
	deadline_t started;
	http_conn_t *conn; /* NULL after the caller left */
	link_call_kind_t kind;
	int64_t after; /* LINK_CALL_LOT_READ: position from which results are read */
	bool without_key; /* though the config has customers: it may find only lots of nobody */
	char *ends; /* LINK_CALL_LOT_READ: a lot to end if it exists; NULL: the caller reads */
	char id[LOT_ID_LOGGED_BYTES];
} lot_call_t;

static void reply_error(lot_call_t *c, int status, int64_t retry_ms)
{
	AUTO_BUF headers = {0};

	if (retry_ms)
		platform_add_retry_after(&headers, retry_ms);
	http_reply(c->conn, status, str_buf(&headers), (str_t){"", 0});
}

static int reply_ok(lot_call_t *c, const link_reply_t *r)
{
	AUTO_BUF body = {0};

	switch (c->kind) {
	case LINK_CALL_LOT_OPEN:
		http_reply(c->conn, 202, PLATFORM_JSON_HEADER, STR("{}"));
		return 202;
	case LINK_CALL_LOT_READ:
		platform_lot_results_encode(&body, r, c->after);
		http_reply(c->conn, 200, PLATFORM_JSON_HEADER, str_buf(&body));
		return 200;
	case LINK_CALL_ITEM_BODY:
		http_reply(c->conn, 200, STR("Content-Type: application/octet-stream\r\n"),
			   wire_str(r->bytes));
		return 200;
	default:
		http_reply(c->conn, 200, PLATFORM_JSON_HEADER, STR("{}"));
		return 200;
	}
}

static int reply_failure(lot_call_t *c, status_t st)
{
	if (st == STATUS_NOT_FOUND && c->without_key) {
		front_refuse_key(c->f, c->conn, str_c(c->id), "no key");
		return 401;
	}
	switch (st) {
	case STATUS_LIMIT:
		reply_error(c, 429, RETRY_LIMIT_MS);
		return 429;
	case STATUS_NOT_FOUND:
		reply_error(c, 404, 0);
		return 404;
	case STATUS_UNAVAILABLE:
	case STATUS_NOT_LEADER:
		reply_error(c, 503, RETRY_NOT_EXECUTED_MS);
		return 503;
	default:
		/* The outcome is unknown: the call may have been executed. For an opening, this is
		 * reported with status 504. A read or an end can be repeated without harm, so the
		 * status is 503. */
		reply_error(c, c->kind == LINK_CALL_LOT_OPEN ? 504 : 503, 0);
		return c->kind == LINK_CALL_LOT_OPEN ? 504 : 503;
	}
}

static void on_reply(void *ctx, const link_reply_t *r, bool sent);

static void end_lot(lot_call_t *c, str_t lot)
{
	link_call_arg_t what = {.kind = LINK_CALL_LOT_END};

	c->kind = what.kind;
	what.link_call_arg_t_u.job = wire_bytes(lot);
	leader_link_call(c->f->leader, &what, clock_now_ms() + CALL_TIMEOUT_MS, on_reply, c);
}

static void on_reply(void *ctx, const link_reply_t *r, bool sent)
{
	lot_call_t *c = ctx;
	status_t st = r ? (status_t)r->status : sent ? STATUS_TIMEOUT : STATUS_UNAVAILABLE;
	AUTO_FREE char *ends = c->ends;
	int status = 0;

	c->ends = NULL;
	if (ends && st == STATUS_OK) {
		end_lot(c, str_c(ends));
		return;
	}
	if (c->conn) {
		http_conn_set_data(c->conn, NULL);
		status = st == STATUS_OK ? reply_ok(c, r) : reply_failure(c, st);
	}
	if (c->kind != LINK_CALL_LOT_READ && st == STATUS_OK)
		drain_ended(c->f->drain, (uint64_t)c->kind, clock_now_ms() - c->started);
	/* Successful reads are too frequent to be logged. */
	if (c->kind == LINK_CALL_LOT_OPEN || c->kind == LINK_CALL_LOT_END || st != STATUS_OK)
		log_event(LOG_LEVEL_INFO, "lot_call", LOG_CSTR("lot", c->id),
			  LOG_CSTR("call", leader_link_call_name(c->kind)),
			  LOG_CSTR("outcome", status_name(st)), LOG_INT("status", status));
	free(c);
}

static lot_call_t *call_new(front_t *f, http_conn_t *conn, link_call_kind_t kind, str_t id)
{
	lot_call_t *c = mem_new(sizeof(*c));

	c->data = (front_conn_data_t){FRONT_CONN_LOT, &c->conn};
	c->f = f;
	c->started = clock_now_ms();
	c->conn = conn;
	c->kind = kind;
	snprintf(c->id, sizeof(c->id), "%.*s", STR_ARG(id));
	http_conn_set_data(conn, c);
	return c;
}

/* Refuses a call that may not be answered before this process ends; returns whether it did. */
static bool refuse_late(front_t *f, http_conn_t *conn, link_call_kind_t kind, str_t id,
			int64_t most_ms)
{
	AUTO_BUF headers = {0};
	deadline_t now = clock_now_ms();
	drain_request_t r = {(uint64_t)kind, now, now + most_ms};

	if (!front_is_stopping(f) || drain_fits(f->drain, &r, now, &f->stop))
		return false;
	log_event(LOG_LEVEL_INFO, "stop_refused", LOG_STR("lot", id),
		  LOG_CSTR("call", leader_link_call_name(kind)),
		  LOG_INT("left_ms", f->stop.exit_by - now),
		  LOG_INT("expected_ms", drain_expected_ms(f->drain, r.kind, most_ms)));
	METRIC_INC("auburn_refused_stopping_total");
	platform_add_retry_after(&headers, RETRY_ELSEWHERE_MS);
	http_reply(conn, 503, str_buf(&headers), STR(""));
	return true;
}

/* Name of the customer whose lots the caller may use; empty: those of public routes. */
static str_t owner_of(const front_caller_t *caller)
{
	return str_c(caller->customer ? caller->customer->name : "");
}

void front_lot_open(front_t *f, http_conn_t *conn, const http_request_t *r,
		    const platform_call_t *call, const route_spec_t *route,
		    const front_caller_t *caller)
{
	link_call_arg_t what = {.kind = LINK_CALL_LOT_OPEN};
	wire_lot_open_t *o = &what.link_call_arg_t_u.open;
	AUTO_BUF account = {0};
	AUTO_BUF lot = {0};

	if (refuse_late(f, conn, LINK_CALL_LOT_OPEN, call->id, CALL_TIMEOUT_MS))
		return;
	if (call->id.n == 0 || platform_lot_decode(r->body, o) != STATUS_OK) {
		log_event(LOG_LEVEL_WARN, "lot_refused", LOG_STR("lot", call->id),
			  LOG_CSTR("reason", call->id.n ? status_message() : "no id"));
		http_reply(conn, 400, STR(""), STR(""));
		wire_free(XDR_PROC(wire_lot_open_t), o);
		return;
	}
	buf_addf(&account, "%s%s", route->host, route->prefix);
	lot_id_make(&lot, owner_of(caller), call->id);
	o->lot = wire_copy(str_buf(&lot));
	lot_account_make(&account, owner_of(caller));
	o->route = wire_copy(str_buf(&account));
	o->host = wire_copy(call->host);
	http_conn_hold(conn, r->body.n); /* in the message to the leader */
	leader_link_call(f->leader, &what, clock_now_ms() + CALL_TIMEOUT_MS, on_reply,
			 call_new(f, conn, LINK_CALL_LOT_OPEN, str_buf(&lot)));
	wire_free(XDR_PROC(wire_lot_open_t), o);
}

/* How long a read may wait for results. */
static int64_t read_wait_ms(const front_t *f, int64_t asked_ms)
{
	int64_t left_ms =
		front_is_stopping(f) ? clock_left_ms(f->stop.exit_by) - READ_ANSWER_MS : asked_ms;
	int64_t ms = asked_ms < left_ms ? asked_ms : left_ms;

	return ms > 0 ? ms : 0;
}

void front_lot_call(front_t *f, http_conn_t *conn, const platform_call_t *call,
		    const front_caller_t *caller)
{
	AUTO_BUF lot = {0};
	link_call_arg_t what = {0};
	bool without_key = f->routes->customers && !caller->customer;
	int64_t timeout_ms = READ_TIMEOUT_MS;
	AUTO_FREE char *ends = NULL;
	lot_call_t *c;

	lot_id_make(&lot, owner_of(caller), call->id);
	switch (call->kind) {
	case PLATFORM_CALL_LOT_READ:
		what.kind = LINK_CALL_LOT_READ;
		what.link_call_arg_t_u.read.job = wire_bytes(str_buf(&lot));
		what.link_call_arg_t_u.read.after = (u_int)call->after;
		what.link_call_arg_t_u.read.wait_ms = (int)read_wait_ms(f, call->timeout_ms);
		timeout_ms += what.link_call_arg_t_u.read.wait_ms;
		break;
	case PLATFORM_CALL_ITEM_BODY:
		what.kind = LINK_CALL_ITEM_BODY;
		what.link_call_arg_t_u.body.job = wire_bytes(str_buf(&lot));
		what.link_call_arg_t_u.body.item = wire_bytes(call->item);
		break;
	default:
		/* The end of an unknown lot is stored, which nobody may ask for without a key
		 * unless there is a route on which the lot may be opened without one. */
		if (without_key && !route_table_has_public_lots(f->routes)) {
			what.kind = LINK_CALL_LOT_READ;
			what.link_call_arg_t_u.read.job = wire_bytes(str_buf(&lot));
			what.link_call_arg_t_u.read.after = UINT32_MAX;
			ends = str_dup(str_buf(&lot));
			break;
		}
		what.kind = LINK_CALL_LOT_END;
		what.link_call_arg_t_u.job = wire_bytes(str_buf(&lot));
		timeout_ms = CALL_TIMEOUT_MS;
		break;
	}
	if (refuse_late(f, conn, what.kind, call->id,
			what.kind == LINK_CALL_LOT_END ? CALL_TIMEOUT_MS : READ_ANSWER_MS))
		return;
	c = call_new(f, conn, what.kind, str_buf(&lot));
	c->after = call->after;
	c->without_key = without_key;
	c->ends = ends;
	ends = NULL;
	leader_link_call(f->leader, &what, clock_now_ms() + timeout_ms, on_reply, c);
}
