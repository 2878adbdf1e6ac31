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

static call_t *call_new(hub_t *h, hl_conn_t *conn, lw_call_kind_t kind)
{
	call_t *c = mem_new(sizeof(*c));

	*c = (call_t){h, conn, kind};
	hl_set_data(conn, c);
	return c;
}

static void pass(call_t *c, lw_what_t *what)
{
	hub_caller_t from = {.reply = on_reply, .ctx = c};

	if (c->h->role == HUB_LEADS)
		hub_call(c->h, &from, what);
	else
		ll_call(c->h->leader, what, clk_now_ms() + CALL_MS, on_leader_reply, c);
}

typedef struct {
	wk_job_t job;
	call_t *call;
	char *text;
	size_t text_n;
	status_t st;
	char message[256];
} check_t;

static void check_work(wk_job_t *j)
{
	check_t *k = (check_t *)j;
	ru_t *routes = NULL;

	k->st = rc_decode((str_t){k->text, k->text_n}, 0, &routes);
	ru_free(routes);
	if (k->st != ST_OK)
		snprintf(k->message, sizeof(k->message), "%s", st_message());
}

static void check_done(wk_job_t *j)
{
	check_t *k = (check_t *)j;
	lw_what_t what = {.kind = LW_CALL_SUBMIT};

	if (k->st == ST_OK) {
		what.lw_what_t_u.text = px_bytes((str_t){k->text, k->text_n});
		pass(k->call, &what);
	} else {
		lg(LG_WARN, "text_refused", LG_I("bytes", k->text_n), LG_C("reason", k->message));
		MX_COUNT("auburn_texts_refused_total");
		answer(k->call,
		       &(lw_reply_t){.status = (int)k->st, .message = px_bytes(str_c(k->message))});
	}
	free(k->text);
	free(k);
}

/* A worker checks the text: one of thousands of routes would hold up the links. */
static void put(hub_t *h, hl_conn_t *conn, str_t body)
{
	check_t *k = mem_new(sizeof(*k));

	k->job = (wk_job_t){check_work, check_done, NULL};
	k->call = call_new(h, conn, LW_CALL_SUBMIT);
	k->text = str_dup(body);
	k->text_n = body.n;
	wk_submit(h->calls, &k->job);
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
		what.kind = LW_CALL_CONF;
		pass(call_new(h, conn, what.kind), &what);
		break;
	case PF_OP_RETIRE:
	case PF_OP_RETIRED:
		what.kind = op.kind == PF_OP_RETIRE ? LW_CALL_RETIRE : LW_CALL_RETIRED;
		what.lw_what_t_u.node = px_bytes(op.node);
		pass(call_new(h, conn, what.kind), &what);
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
