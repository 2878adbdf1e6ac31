/* HTTP towards operators and towards callers that look for an entry. */
#include <stdlib.h>
#include "base/log.h"
#include "base/metric.h"
#include "client/directory.h"
#include "client/routes_decode.h"
#include "control/hub.h"
#include "platform/platform.h"

/** A text of many routes fits; its callers send it whole. */
#define BODY_MAX_BYTES	 (16U << 20)
#define HEADER_MAX_BYTES 16384
#define HEADER_MS	 5000
#define IDLE_MS		 15000
/** An operator's call passed on to the leader has no clear answer after this, in ms. */
#define CALL_MS 2500

typedef struct {
	hub_t *h;
	http_conn_t *conn; /* NULL once the operator has left */
	link_call_kind_t kind;
} call_t;

/* Answers what was done as asked. */
static void answer_ok(const call_t *c, const link_reply_t *r)
{
	AUTO_BUF body = {0};

	switch (c->kind) {
	case LINK_CALL_CONFIG_GET:
		if (r->bytes.wire_bytes_t_len == 0)
			http_reply(c->conn, 503, STR(""), STR("no text yet"));
		else
			http_reply(c->conn, 200, PLATFORM_JSON_HEADER, wire_str(r->bytes));
		break;
	case LINK_CALL_RETIRE_STATUS:
		platform_retire_status_encode(&body, r->empty);
		http_reply(c->conn, 200, PLATFORM_JSON_HEADER, str_buf(&body));
		break;
	default:
		http_reply(c->conn, 200, PLATFORM_JSON_HEADER, STR("{}"));
		break;
	}
}

static int status_of(status_t st)
{
	switch (st) {
	case STATUS_INVALID:
		return 400;
	case STATUS_NOT_FOUND:
		return 404;
	case STATUS_CONFLICT:
		return 409;
	default:
		return 503;
	}
}

static void answer(call_t *c, const link_reply_t *r)
{
	status_t st = r ? (status_t)r->status : STATUS_UNAVAILABLE;
	http_conn_t *conn = c->conn;
	str_t message = r ? wire_str(r->message) : STR("the leader wasn't reached");

	if (conn) {
		http_conn_set_data(conn, NULL);
		if (st == STATUS_OK)
			answer_ok(c, r);
		else
			http_reply(conn, status_of(st), STR(""), message);
	}
	log_event(LOG_LEVEL_INFO, "operator_answered",
		  LOG_CSTR("call", leader_link_call_name(c->kind)),
		  LOG_CSTR("status", status_name(st)), LOG_STR("message", message),
		  LOG_INT("left", conn == NULL));
	free(c);
}

static void on_reply(void *ctx, const link_reply_t *r)
{
	answer(ctx, r);
}

static void on_leader_reply(void *ctx, const link_reply_t *r, bool sent)
{
	answer(ctx, r);
}

static call_t *call_new(hub_t *h, http_conn_t *conn, link_call_kind_t kind)
{
	call_t *c = mem_new(sizeof(*c));

	*c = (call_t){h, conn, kind};
	http_conn_set_data(conn, c);
	return c;
}

static void pass(call_t *c, link_call_arg_t *what)
{
	hub_origin_t from = {.reply = on_reply, .ctx = c};

	if (c->h->role == HUB_LEADER)
		hub_handle_call(c->h, &from, what);
	else
		leader_link_call(c->h->leader_link, what, clock_now_ms() + CALL_MS, on_leader_reply,
				 c);
}

typedef struct {
	worker_task_t job;
	call_t *call;
	char *text;
	size_t text_n;
	status_t st;
	char message[256];
} check_t;

static void check_work(worker_task_t *j)
{
	check_t *k = (check_t *)j;
	route_table_t *routes = NULL;

	k->st = routes_decode((str_t){k->text, k->text_n}, 0, &routes);
	route_table_free(routes);
	if (k->st != STATUS_OK)
		snprintf(k->message, sizeof(k->message), "%s", status_message());
}

static void check_done(worker_task_t *j)
{
	check_t *k = (check_t *)j;
	link_call_arg_t what = {.kind = LINK_CALL_CONFIG_SUBMIT};

	if (k->st == STATUS_OK) {
		what.link_call_arg_t_u.text = wire_bytes((str_t){k->text, k->text_n});
		pass(k->call, &what);
	} else {
		log_event(LOG_LEVEL_WARN, "text_refused", LOG_INT("bytes", k->text_n),
			  LOG_CSTR("reason", k->message));
		METRIC_INC("auburn_texts_refused_total");
		answer(k->call, &(link_reply_t){.status = (int)k->st,
						.message = wire_bytes(str_c(k->message))});
	}
	free(k->text);
	free(k);
}

/* A worker checks the text: one of thousands of routes would hold up the links. */
static void put(hub_t *h, http_conn_t *conn, str_t body)
{
	check_t *k = mem_new(sizeof(*k));

	k->job = (worker_task_t){check_work, check_done, NULL};
	k->call = call_new(h, conn, LINK_CALL_CONFIG_SUBMIT);
	k->text = str_dup(body);
	k->text_n = body.n;
	worker_pool_submit(h->call_workers, &k->job);
}

static void on_operator(void *ctx, http_conn_t *conn, const http_request_t *r)
{
	hub_t *h = ctx;
	link_call_arg_t what = {0};
	platform_op_t op;

	platform_op_decode(&r->head, &op);
	switch (op.kind) {
	case PLATFORM_OP_CONFIG_PUT:
		put(h, conn, r->body);
		break;
	case PLATFORM_OP_CONFIG_GET:
		what.kind = LINK_CALL_CONFIG_GET;
		pass(call_new(h, conn, what.kind), &what);
		break;
	case PLATFORM_OP_RETIRE:
	case PLATFORM_OP_RETIRE_STATUS:
		what.kind =
			op.kind == PLATFORM_OP_RETIRE ? LINK_CALL_RETIRE : LINK_CALL_RETIRE_STATUS;
		what.link_call_arg_t_u.node = wire_bytes(op.node);
		pass(call_new(h, conn, what.kind), &what);
		break;
	default:
		log_event(LOG_LEVEL_INFO, "operator_call_unknown",
			  LOG_STR("target", r->head.target));
		http_reply(conn, 404, STR(""), STR("no such call or VM"));
		break;
	}
}

static void on_look_up(void *ctx, http_conn_t *conn, const http_request_t *r)
{
	directory_answer(conn, r, &((hub_t *)ctx)->view);
}

static void on_gone(void *ctx, http_conn_t *conn)
{
	call_t *c = http_conn_data(conn);

	if (c)
		c->conn = NULL;
}

static http_server_t *serve(hub_t *h, const char *addr,
			    void (*request)(void *ctx, http_conn_t *c, const http_request_t *r))
{
	return http_server_new(&(http_server_options_t){
		.loop = h->loop,
		.addr = addr,
		.limits = {HEADER_MAX_BYTES, BODY_MAX_BYTES, HEADER_MS, IDLE_MS},
		.ctx = h,
		.request = request,
		.client_gone = on_gone,
	});
}

status_t hub_http_start(hub_t *h)
{
	const control_settings_t *s = &h->control->settings;

	if (s->operators && !(h->operators = serve(h, s->operators, on_operator)))
		return STATUS_IO;
	if (s->directory && !(h->directory = serve(h, s->directory, on_look_up)))
		return STATUS_IO;
	return STATUS_OK;
}
