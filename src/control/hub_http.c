/* HTTP servers of the hub: one for operators, one for callers that look up entries. */
#include <stdlib.h>
#include <utlist.h>
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
/** Time for which a call waits for a leader, in ms. An operator asks another control process after
 * 1 s without an answer. */
#define LEADER_WAIT_MS 500

struct hub_operator_call {
	hub_t *h;
	http_conn_t *conn; /* NULL once the operator has disconnected */
	link_call_kind_t kind;
	char *text; /* config or name of a VM; owned */
	size_t text_bytes;
	deadline_t deadline;
	deadline_t leader_by; /* is refused if there is no leader by then */
	struct hub_operator_call *prev;
	struct hub_operator_call *next;
};

/* Replies to the operator of a successful call. */
static void reply_ok(const hub_operator_call_t *c, const link_reply_t *r)
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

/* Replies to the operator and frees the call. r: NULL if the leader did not reply, for the reason
 * no_reply. */
static void finish_call(hub_operator_call_t *c, const link_reply_t *r, const char *no_reply)
{
	status_t st = r ? (status_t)r->status : STATUS_UNAVAILABLE;
	http_conn_t *conn = c->conn;
	str_t message = r ? wire_str(r->message) : str_c(no_reply);

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
	free(c->text);
	free(c);
}

static void on_local_reply(void *ctx, const link_reply_t *r)
{
	finish_call(ctx, r, "");
}

static void on_leader_reply(void *ctx, const link_reply_t *r, bool sent)
{
	finish_call(ctx, r, "no answer from the leader");
}

static hub_operator_call_t *new_call(hub_t *h, http_conn_t *conn, link_call_kind_t kind, str_t text)
{
	hub_operator_call_t *c = mem_new(sizeof(*c));
	deadline_t now = clock_now_ms();

	*c = (hub_operator_call_t){
		.h = h,
		.conn = conn,
		.kind = kind,
		.text = str_dup(text),
		.text_bytes = text.n,
		.deadline = now + CALL_MS,
		.leader_by = now + LEADER_WAIT_MS,
	};
	http_conn_set_data(conn, c);
	http_conn_hold(conn, 2 * text.n); /* the copy and the message to the leader */
	return c;
}

static bool has_leader(const hub_t *h)
{
	return h->role == HUB_LEADER || leader_link_is_up(h->leader_link);
}

/* Executes a call here if this process leads, else forwards it to the leader. */
static void send_call(hub_operator_call_t *c)
{
	hub_origin_t from = {.reply = on_local_reply, .ctx = c};
	wire_bytes_t text = wire_bytes((str_t){c->text, c->text_bytes});
	link_call_arg_t arg = {.kind = c->kind};

	if (c->kind == LINK_CALL_CONFIG_SUBMIT)
		arg.link_call_arg_t_u.text = text;
	else if (c->kind != LINK_CALL_CONFIG_GET)
		arg.link_call_arg_t_u.node = text;
	if (c->h->role == HUB_LEADER)
		hub_handle_call(c->h, &from, &arg);
	else
		leader_link_call(c->h->leader_link, &arg, c->deadline, on_leader_reply, c);
}

/* Executes a call at once or, while there is no leader, when there is one: the search for it often
 * ends sooner than an operator comes back after a refusal. */
static void execute_call(hub_operator_call_t *c)
{
	if (has_leader(c->h))
		send_call(c);
	else
		DL_APPEND(c->h->unsent_calls, c);
}

void hub_http_retry(hub_t *h)
{
	while (h->unsent_calls && has_leader(h)) {
		hub_operator_call_t *c = h->unsent_calls;

		DL_DELETE(h->unsent_calls, c);
		if (c->conn)
			send_call(c);
		else
			finish_call(c, NULL, "no leader");
	}
}

void hub_http_tick(hub_t *h, deadline_t now)
{
	while (h->unsent_calls && h->unsent_calls->leader_by <= now) {
		hub_operator_call_t *c = h->unsent_calls;

		DL_DELETE(h->unsent_calls, c);
		finish_call(c, NULL, "no leader");
	}
	http_intake_report(h->intake);
}

typedef struct {
	worker_task_t task;
	hub_operator_call_t *call;
	status_t st;
	char message[256];
} config_check_t;

static void config_check_work(worker_task_t *task)
{
	config_check_t *k = (config_check_t *)task;
	route_table_t *routes = NULL;

	k->st = routes_decode((str_t){k->call->text, k->call->text_bytes}, 0, &routes);
	route_table_free(routes);
	if (k->st != STATUS_OK)
		snprintf(k->message, sizeof(k->message), "%s", status_message());
}

static void config_check_done(worker_task_t *task)
{
	config_check_t *k = (config_check_t *)task;

	if (k->st == STATUS_OK) {
		execute_call(k->call);
	} else {
		log_event(LOG_LEVEL_WARN, "text_refused", LOG_INT("bytes", k->call->text_bytes),
			  LOG_CSTR("reason", k->message));
		METRIC_INC("auburn_texts_refused_total");
		finish_call(k->call,
			    &(link_reply_t){.status = (int)k->st,
					    .message = wire_bytes(str_c(k->message))},
			    "");
	}
	free(k);
}

/* Submits a config after a worker has checked it: decoding thousands of routes on the loop would
 * delay the links. */
static void submit_config(hub_t *h, http_conn_t *conn, str_t body)
{
	config_check_t *k = mem_new(sizeof(*k));

	k->task = (worker_task_t){config_check_work, config_check_done, NULL};
	k->call = new_call(h, conn, LINK_CALL_CONFIG_SUBMIT, body);
	worker_pool_submit(h->call_workers, &k->task);
}

static void on_operator_request(void *ctx, http_conn_t *conn, const http_request_t *r)
{
	hub_t *h = ctx;
	platform_op_t op;

	platform_op_decode(&r->head, &op);
	switch (op.kind) {
	case PLATFORM_OP_CONFIG_PUT:
		submit_config(h, conn, r->body);
		break;
	case PLATFORM_OP_CONFIG_GET:
		execute_call(new_call(h, conn, LINK_CALL_CONFIG_GET, STR("")));
		break;
	case PLATFORM_OP_RETIRE:
		execute_call(new_call(h, conn, LINK_CALL_RETIRE, op.node));
		break;
	case PLATFORM_OP_RETIRE_STATUS:
		execute_call(new_call(h, conn, LINK_CALL_RETIRE_STATUS, op.node));
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
	hub_t *h = ctx;

	directory_answer(conn, r, &h->view, &h->capacities);
}

static void on_conn_gone(void *ctx, http_conn_t *conn)
{
	hub_operator_call_t *c = http_conn_data(conn);

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
		.intake = h->intake,
		.ctx = h,
		.request = request,
		.client_gone = on_conn_gone,
	});
}

status_t hub_http_start(hub_t *h)
{
	const control_settings_t *s = &h->control->settings;

	h->intake = http_intake_new(&(http_intake_settings_t){s->memory_mib, s->client_memory_mib,
							      s->client_connections});
	if (s->operators && !(h->operators = new_server(h, s->operators, on_operator_request)))
		return STATUS_IO;
	if (s->directory && !(h->directory = new_server(h, s->directory, on_lookup_request)))
		return STATUS_IO;
	return STATUS_OK;
}
