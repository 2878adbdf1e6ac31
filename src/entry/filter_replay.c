#include "entry/filter.h"

#include "base/log.h"
#include "base/metric.h"
#include "entry/ledger_client.h"

#define RETRY_AFTER_MS 1000
#define POLL_MIN_MS    20
#define POLL_MAX_MS    200
#define AWAIT_MAX_MS   30000

/* Replies with a stored result, as an event stream if the caller asked for one. */
static void replay_done(filter_call_t *c, str_t result)
{
	json_t *j = json_loadb(result.p, result.n, 0, NULL);
	bool stream = json_is_true(json_object_get(c->body_json, "stream"));
	json_t *text = json_object_get(j, "text");
	AUTO_BUF b = {0};

	if (c->service->kind == CONFIG_ENGINE && stream && json_is_string(text)) {
		buf_add(&b, STR("data: {\"id\":"));
		buf_add_json(&b, str_c(c->key));
		buf_add(&b, STR(",\"index\":0,\"choices\":[{\"index\":0,\"text\":"));
		buf_add_json(&b, (str_t){json_string_value(text), json_string_length(text)});
		buf_add(&b, STR("}]}\n\ndata: [DONE]\n\n"));
		httpd_reply(c->res, 200, "text/event-stream", str_buf(&b));
	} else {
		httpd_json(c->res, 200, result);
	}
	json_decref(j);
}

static void replay_failed(filter_call_t *c, const wire_record_t *r)
{
	ledger_client_end_t end;

	ledger_client_read_end(r, &end);
	httpd_error_json(c->res, end.http_status, str_buf(&end.result),
			 end.verdict == VERDICT_NOT_RUN ? RETRY_AFTER_MS : 0);
	buf_free(&end.result);
}

void filter_replay(filter_call_t *c, const wire_record_t *r)
{
	log_event(LOG_LEVEL_INFO, "replayed", LOG_CSTR("key", c->key), LOG_INT("state", r->state),
		  LOG_INT("status", r->http_status));
	METRIC_INC("auburn_replayed_total");
	u_map_put(c->res->map_header, "X-Auburn-Replay", "1");
	if (r->state == WIRE_DONE)
		replay_done(c, wire_str(r->result));
	else
		replay_failed(c, r);
	trace_end(&c->span, str_c(c->key), "replayed");
}

static bool is_final(const wire_record_t *r)
{
	return r->state != WIRE_ACCEPTED && r->state != WIRE_ATTEMPTED;
}

/* Queries the record; replies and returns true if it is final. */
static bool reply_if_final(filter_call_t *c)
{
	wire_query_res_t res = {0};
	bool found = ledger_client_query(c->en, c->caller, str_c(c->key), &res) == STATUS_OK &&
		     res.status == STATUS_OK && is_final(&res.record);

	if (found)
		filter_replay(c, &res.record);
	wire_free(XDR_PROC(wire_query_res_t), &res);
	return found;
}

void filter_await_end(filter_call_t *c)
{
	deadline_t until = clock_now_ms() + AWAIT_MAX_MS;
	int64_t pause = POLL_MIN_MS;

	if (c->deadline < until)
		until = c->deadline;
	log_event(LOG_LEVEL_INFO, "result_awaited", LOG_CSTR("key", c->key));
	while (clock_now_ms() < until && !atomic_load(&c->en->closing)) {
		if (reply_if_final(c))
			return;
		clock_sleep_ms(pause);
		pause = pause * 2 < POLL_MAX_MS ? pause * 2 : POLL_MAX_MS;
	}
	httpd_error(c->res, 409, "in_progress", STR("a request with this key is in progress"),
		    VERDICT_MAY_HAVE_RUN, RETRY_AFTER_MS);
	trace_end(&c->span, str_c(c->key), "in_progress");
}
