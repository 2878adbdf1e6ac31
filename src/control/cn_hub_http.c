/* HTTP towards operators and towards callers that look for an entry. */
#include <stdlib.h>
#include "base/lg.h"
#include "base/mx.h"
#include "client/la.h"
#include "client/rc.h"
#include "control/cn_hub.h"
#include "platform/pf.h"

/** A text of many routes fits; its callers send it whole. */
#define BODY_MAX_BYTES	 (16U << 20)
#define HEADER_MAX_BYTES 16384
#define HEADER_MS	 5000
#define IDLE_MS		 15000
/** An operator's call passed on to the leader has no clear answer after this, in ms. */
#define CALL_MS 2500

typedef struct {
	hub_t *h;
	hl_conn_t *conn; /* NULL once the operator has left */
	lw_call_kind_t kind;
} call_t;

/* Answers what was done as asked. */
static void answer_ok(const call_t *c, const lw_reply_t *r)
{
	AUTO_BUF body = {0};

	switch (c->kind) {
	case LW_CALL_CONF:
		if (r->bytes.aw_bytes_t_len == 0)
			hl_reply(c->conn, 503, STR(""), STR("no text yet"));
		else
			hl_reply(c->conn, 200, PF_JSON, px_str(r->bytes));
		break;
	case LW_CALL_RETIRED:
		pf_retired_encode(&body, r->empty);
		hl_reply(c->conn, 200, PF_JSON, str_buf(&body));
		break;
	default:
		hl_reply(c->conn, 200, PF_JSON, STR("{}"));
		break;
	}
}

static int status_of(status_t st)
{
	switch (st) {
	case ST_INVALID:
		return 400;
	case ST_NOT_FOUND:
		return 404;
	case ST_CONFLICT:
		return 409;
	default:
		return 503;
	}
}

static void answer(call_t *c, const lw_reply_t *r)
{
	status_t st = r ? (status_t)r->status : ST_UNAVAILABLE;
	hl_conn_t *conn = c->conn;
	str_t message = r ? px_str(r->message) : STR("the leader wasn't reached");

	if (conn) {
		hl_set_data(conn, NULL);
		if (st == ST_OK)
			answer_ok(c, r);
		else
			hl_reply(conn, status_of(st), STR(""), message);
	}
	lg(LG_INFO, "operator_answered", LG_C("call", ll_call_name(c->kind)),
	   LG_C("status", st_name(st)), LG_S("message", message), LG_I("left", conn == NULL));
	free(c);
}

static void on_reply(void *ctx, const lw_reply_t *r)
{
	answer(ctx, r);
}

static void on_leader_reply(void *ctx, const lw_reply_t *r, bool sent)
{
	answer(ctx, r);
}

static void pass(hub_t *h, hl_conn_t *conn, lw_what_t *what)
{
	call_t *c = mem_new(sizeof(*c));
	hub_caller_t from = {.reply = on_reply, .ctx = c};

	*c = (call_t){h, conn, what->kind};
	hl_set_data(conn, c);
	if (h->role == HUB_LEADS)
		hub_call(h, &from, what);
	else
		ll_call(h->leader, what, clk_now_ms() + CALL_MS, on_leader_reply, c);
}

static void put(hub_t *h, hl_conn_t *conn, str_t body)
{
	lw_what_t what = {.kind = LW_CALL_SUBMIT};
	ru_t *routes = NULL;

	if (rc_decode(body, 0, &routes) != ST_OK) {
		lg(LG_WARN, "text_refused", LG_I("bytes", body.n), LG_C("reason", st_message()));
		MX_COUNT("auburn_texts_refused_total");
		hl_reply(conn, 400, STR(""), str_c(st_message()));
		return;
	}
	ru_free(routes);
	what.lw_what_t_u.text = px_bytes(body);
	pass(h, conn, &what);
}

static void on_operator(void *ctx, hl_conn_t *conn, const hl_request_t *r)
{
	hub_t *h = ctx;
	lw_what_t what = {0};
	pf_op_t op;

	pf_op_decode(&r->head, &op);
	switch (op.kind) {
	case PF_OP_PUT:
		put(h, conn, r->body);
		break;
	case PF_OP_GET:
		pass(h, conn, &(lw_what_t){.kind = LW_CALL_CONF});
		break;
	case PF_OP_RETIRE:
	case PF_OP_RETIRED:
		what.kind = op.kind == PF_OP_RETIRE ? LW_CALL_RETIRE : LW_CALL_RETIRED;
		what.lw_what_t_u.node = px_bytes(op.node);
		pass(h, conn, &what);
		break;
	default:
		lg(LG_INFO, "operator_call_unknown", LG_S("target", r->head.target));
		hl_reply(conn, 404, STR(""), STR("no such call or VM"));
		break;
	}
}

static void on_look_up(void *ctx, hl_conn_t *conn, const hl_request_t *r)
{
	la_answer(conn, r, &((hub_t *)ctx)->view);
}

static void on_gone(void *ctx, hl_conn_t *conn)
{
	call_t *c = hl_data(conn);

	if (c)
		c->conn = NULL;
}

static hl_t *serve(hub_t *h, const char *addr,
		   void (*request)(void *ctx, hl_conn_t *c, const hl_request_t *r))
{
	return hl_new(&(hl_options_t){
		.loop = h->loop,
		.addr = addr,
		.limits = {HEADER_MAX_BYTES, BODY_MAX_BYTES, HEADER_MS, IDLE_MS},
		.ctx = h,
		.request = request,
		.gone = on_gone,
	});
}

status_t hub_http_start(hub_t *h)
{
	const cn_settings_t *s = &h->cn->s;

	if (s->operators && !(h->operators = serve(h, s->operators, on_operator)))
		return ST_IO;
	if (s->directory && !(h->directory = serve(h, s->directory, on_look_up)))
		return ST_IO;
	return ST_OK;
}
