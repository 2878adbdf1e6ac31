/* Calls on lots, which the leader answers. */
#include <stdlib.h>
#include "base/lg.h"
#include "front/fr.h"

/** The leader's answer is given up after this, in ms: its commit has failed by then. */
#define CALL_MS 2500
/** A read that isn't to wait for results has its answer by then, in ms. */
#define READ_MS 1200
/** When a refused lot may come again, in ms: a leader is found by then; one that found no room has
 * seen some items finished. */
#define RETRY_MS       300
#define RETRY_QUOTA_MS 1000

typedef struct {
	fr_data_t data;
	fr_t *f;
	hl_conn_t *conn; /* NULL once the caller has left */
	lw_call_kind_t kind;
	int64_t after;
	char id[64];
} lot_call_t;

static void reply_error(lot_call_t *c, int status, int64_t retry_ms)
{
	AUTO_BUF headers = {0};

	if (retry_ms)
		pf_retry_after(&headers, retry_ms);
	hl_reply(c->conn, status, str_buf(&headers), (str_t){"", 0});
}

static int reply_ok(lot_call_t *c, const lw_reply_t *r)
{
	AUTO_BUF body = {0};

	switch (c->kind) {
	case LW_CALL_OPEN:
		hl_reply(c->conn, 202, PF_JSON, STR("{}"));
		return 202;
	case LW_CALL_READ:
		pf_results_encode(&body, r, c->after);
		hl_reply(c->conn, 200, PF_JSON, str_buf(&body));
		return 200;
	case LW_CALL_BODY:
		hl_reply(c->conn, 200, STR("Content-Type: application/octet-stream\r\n"),
			 px_str(r->bytes));
		return 200;
	default:
		hl_reply(c->conn, 200, PF_JSON, STR("{}"));
		return 200;
	}
}

static int reply_failure(lot_call_t *c, status_t st)
{
	switch (st) {
	case ST_LIMIT:
		reply_error(c, 429, RETRY_QUOTA_MS);
		return 429;
	case ST_NOT_FOUND:
		reply_error(c, 404, 0);
		return 404;
	case ST_UNAVAILABLE:
	case ST_NOT_LEADER:
		reply_error(c, 503, RETRY_MS);
		return 503;
	default:
		/* May have been done: a read or an end may be sent again without harm. */
		reply_error(c, c->kind == LW_CALL_OPEN ? 504 : 503, 0);
		return c->kind == LW_CALL_OPEN ? 504 : 503;
	}
}

static void on_reply(void *ctx, const lw_reply_t *r, bool sent)
{
	lot_call_t *c = ctx;
	status_t st = r ? (status_t)r->status : sent ? ST_TIMEOUT : ST_UNAVAILABLE;
	int status = 0;

	if (c->conn) {
		hl_set_data(c->conn, NULL);
		status = st == ST_OK ? reply_ok(c, r) : reply_failure(c, st);
	}
	/* Reads that succeed come many times a second. */
	if (c->kind == LW_CALL_OPEN || c->kind == LW_CALL_END || st != ST_OK)
		lg(LG_INFO, "lot_call", LG_C("lot", c->id), LG_C("call", ll_call_name(c->kind)),
		   LG_C("outcome", st_name(st)), LG_I("status", status));
	free(c);
}

static lot_call_t *call_new(fr_t *f, hl_conn_t *conn, lw_call_kind_t kind, str_t id)
{
	lot_call_t *c = mem_new(sizeof(*c));

	c->data = (fr_data_t){FR_LOT, &c->conn};
	c->f = f;
	c->conn = conn;
	c->kind = kind;
	snprintf(c->id, sizeof(c->id), "%.*s", STR_ARG(id));
	hl_set_data(conn, c);
	return c;
}

void fr_lot_open(fr_t *f, hl_conn_t *conn, const hl_request_t *r, const pf_call_t *call,
		 const ru_route_t *route)
{
	lw_what_t what = {.kind = LW_CALL_OPEN};
	aw_lot_open_t *o = &what.lw_what_t_u.open;
	AUTO_BUF key = {0};

	if (call->id.n == 0 || pf_lot_decode(r->body, o) != ST_OK) {
		lg(LG_WARN, "lot_refused", LG_S("lot", call->id),
		   LG_C("reason", call->id.n ? st_message() : "no id"));
		hl_reply(conn, 400, STR(""), STR(""));
		px_free(PX(aw_lot_open_t), o);
		return;
	}
	buf_addf(&key, "%s%s", route->host, route->prefix);
	o->lot = px_copy(call->id);
	o->route = px_copy(str_buf(&key));
	o->host = px_copy(call->host);
	ll_call(f->leader, &what, clk_now_ms() + CALL_MS, on_reply,
		call_new(f, conn, LW_CALL_OPEN, call->id));
	px_free(PX(aw_lot_open_t), o);
}

void fr_lot_call(fr_t *f, hl_conn_t *conn, const pf_call_t *call)
{
	lw_what_t what = {0};
	int64_t wait = READ_MS;
	lot_call_t *c;

	switch (call->kind) {
	case PF_LOT_READ:
		what.kind = LW_CALL_READ;
		what.lw_what_t_u.read.job = px_bytes(call->id);
		what.lw_what_t_u.read.after = (u_int)call->after;
		what.lw_what_t_u.read.wait_ms = call->wait_ms > 0 ? (int)call->wait_ms : 0;
		wait += what.lw_what_t_u.read.wait_ms;
		break;
	case PF_LOT_BODY:
		what.kind = LW_CALL_BODY;
		what.lw_what_t_u.body.job = px_bytes(call->id);
		what.lw_what_t_u.body.item = px_bytes(call->item);
		break;
	default:
		what.kind = LW_CALL_END;
		what.lw_what_t_u.job = px_bytes(call->id);
		wait = CALL_MS;
		break;
	}
	c = call_new(f, conn, what.kind, call->id);
	c->after = call->after;
	ll_call(f->leader, &what, clk_now_ms() + wait, on_reply, c);
}
