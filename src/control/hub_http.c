/* HTTP servers of the hub: one for operators, one for callers that look up entries. */
#include <stdlib.h>
#include "base/log.h"
#include "base/metric.h"
#include "client/directory.h"
#include "client/routes_decode.h"
#include "control/hub.h"
#include "platform/platform.h"

/** Operators send a config, which may have thousands of routes, in one request. */
#define BODY_MAX_BYTES	 (16U << 20)
#define HEADER_MAX_BYTES 16384
#define HEADER_MS	 5000 /* limit for receiving a header */
#define IDLE_MS		 15000 /* limit for an idle connection */
/** Time limit of a call that is forwarded to the leader, in ms. After it the outcome is unclear. */
#define CALL_MS 2500

typedef struct {
	hub_t *h;
	http_conn_t *conn; /* NULL once the operator has disconnected */
	link_call_kind_t kind;
} operator_call_t;

/* Replies to the operator of a successful call. */
static void reply_ok(const operator_call_t *c, const link_reply_t *r)
{
	AUTO_BUF body = {0};

	switch (c->kind) {
	case LINK_CALL_CONFIG_GET:
		if (r->bytes.wire_bytes_t_len == 0)
			http_reply(c->conn, 503, STR(""), STR("no config accepted yet"));
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

static int http_status_of(status_t st)
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

/* Replies to the operator and frees the call. r: NULL if the leader did not reply. */
static void finish_call(operator_call_t *c, const link_reply_t *r)
{
	status_t st = r ? (status_t)r->status : STATUS_UNAVAILABLE;
	http_conn_t *conn = c->conn;
	str_t message = r ? wire_str(r->message) : STR("no answer from the leader");

	if (conn) {
		http_conn_set_data(conn, NULL);
		if (st == STATUS_OK)
			reply_ok(c, r);
		else
			http_reply(conn, http_status_of(st), STR(""), message);
	}
	log_event(LOG_LEVEL_INFO, "operator_answered",
		  LOG_CSTR("call", leader_link_call_name(c->kind)),
		  LOG_CSTR("status", status_name(st)), LOG_STR("message", message),
		  LOG_INT("left", conn == NULL));
	free(c);
}

static void on_local_reply(void *ctx, const link_reply_t *r)
{
	finish_call(ctx, r);
}

static void on_leader_reply(void *ctx, const link_reply_t *r, bool sent)
{
	finish_call(ctx, r);
}

static operator_call_t *new_call(hub_t *h, http_conn_t *conn, link_call_kind_t kind)
{
	operator_call_t *c = mem_new(sizeof(*c));

	*c = (operator_call_t){h, conn, kind};
	http_conn_set_data(conn, c);
	return c;
}

/* Executes a call here if this process leads, else forwards it to the leader. */
static void execute_call(operator_call_t *c, link_call_arg_t *arg)
{
	hub_origin_t from = {.reply = on_local_reply, .ctx = c};

	if (c->h->role == HUB_LEADER)
		hub_handle_call(c->h, &from, arg);
	else
		leader_link_call(c->h->leader_link, arg, clock_now_ms() + CALL_MS, on_leader_reply,
				 c);
}

typedef struct {
	worker_task_t task;
	operator_call_t *call;
	char *config;
	size_t config_bytes;
	status_t st;
	char message[256];
} config_check_t;

static void config_check_work(worker_task_t *task)
{
	config_check_t *k = (config_check_t *)task;
	route_table_t *routes = NULL;

	k->st = routes_decode((str_t){k->config, k->config_bytes}, 0, &routes);
	route_table_free(routes);
	if (k->st != STATUS_OK)
		snprintf(k->message, sizeof(k->message), "%s", status_message());
}

static void config_check_done(worker_task_t *task)
{
	config_check_t *k = (config_check_t *)task;
	link_call_arg_t arg = {.kind = LINK_CALL_CONFIG_SUBMIT};

	if (k->st == STATUS_OK) {
		arg.link_call_arg_t_u.text = wire_bytes((str_t){k->config, k->config_bytes});
		execute_call(k->call, &arg);
	} else {
		log_event(LOG_LEVEL_WARN, "text_refused", LOG_INT("bytes", k->config_bytes),
			  LOG_CSTR("reason", k->message));
		METRIC_INC("auburn_texts_refused_total");
		finish_call(k->call, &(link_reply_t){.status = (int)k->st,
						     .message = wire_bytes(str_c(k->message))});
	}
	free(k->config);
	free(k);
}

/* Submits a config after a worker has checked it: decoding thousands of routes on the loop would
 * delay the links. */
static void submit_config(hub_t *h, http_conn_t *conn, str_t body)
{
	config_check_t *k = mem_new(sizeof(*k));

	k->task = (worker_task_t){config_check_work, config_check_done, NULL};
	k->call = new_call(h, conn, LINK_CALL_CONFIG_SUBMIT);
	k->config = str_dup(body);
	k->config_bytes = body.n;
	worker_pool_submit(h->call_workers, &k->task);
}

static void on_operator_request(void *ctx, http_conn_t *conn, const http_request_t *r)
{
	hub_t *h = ctx;
	link_call_arg_t arg = {0};
	platform_op_t op;

	platform_op_decode(&r->head, &op);
	switch (op.kind) {
	case PLATFORM_OP_CONFIG_PUT:
		submit_config(h, conn, r->body);
		break;
	case PLATFORM_OP_CONFIG_GET:
		arg.kind = LINK_CALL_CONFIG_GET;
		execute_call(new_call(h, conn, arg.kind), &arg);
		break;
	case PLATFORM_OP_RETIRE:
	case PLATFORM_OP_RETIRE_STATUS:
		arg.kind =
			op.kind == PLATFORM_OP_RETIRE ? LINK_CALL_RETIRE : LINK_CALL_RETIRE_STATUS;
		arg.link_call_arg_t_u.node = wire_bytes(op.node);
		execute_call(new_call(h, conn, arg.kind), &arg);
		break;
	default:
		log_event(LOG_LEVEL_INFO, "operator_call_unknown",
			  LOG_STR("target", r->head.target));
		http_reply(conn, 404, STR(""), STR("unknown call or VM"));
		break;
	}
}

static void on_lookup_request(void *ctx, http_conn_t *conn, const http_request_t *r)
{
	directory_answer(conn, r, &((hub_t *)ctx)->view);
}

static void on_conn_gone(void *ctx, http_conn_t *conn)
{
	operator_call_t *c = http_conn_data(conn);

	if (c)
		c->conn = NULL;
}

static http_server_t *new_server(hub_t *h, const char *addr,
				 void (*request)(void *ctx, http_conn_t *c,
						 const http_request_t *r))
{
	return http_server_new(&(http_server_options_t){
		.loop = h->loop,
		.addr = addr,
		.limits = {HEADER_MAX_BYTES, BODY_MAX_BYTES, HEADER_MS, IDLE_MS},
		.ctx = h,
		.request = request,
		.client_gone = on_conn_gone,
	});
}

status_t hub_http_start(hub_t *h)
{
	const control_settings_t *s = &h->control->settings;

	if (s->operators && !(h->operators = new_server(h, s->operators, on_operator_request)))
		return STATUS_IO;
	if (s->directory && !(h->directory = new_server(h, s->directory, on_lookup_request)))
		return STATUS_IO;
	return STATUS_OK;
}
