#include "entry/engine_stream.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "base/metric.h"

#define URL_BYTES	  256
#define CANCEL_TIMEOUT_MS 2000
#define HTTP_OK		  200
#define HTTP_CONFLICT	  409
#define HTTP_CLIENT_ERROR 400
#define HTTP_TOO_MANY	  429
#define HTTP_SERVER_ERROR 500

engine_stream_t *engine_stream_new(uint64_t id, const attempt_params_t *params,
				   const attempt_sink_t *sink)
{
	engine_stream_t *s = mem_new(sizeof(*s));

	s->id = id;
	s->cls = params->cls;
	s->max_tokens = params->max_tokens;
	s->next_index = params->resume_from;
	s->key = str_dup(params->key);
	s->model = str_dup(params->model);
	s->prompt = str_dup(params->prompt);
	s->prompt_n = params->prompt.n;
	s->sink = *sink;
	trace_begin(&s->span, "replica", params->trace);
	return s;
}

void engine_stream_free(engine_stream_t *s)
{
	free(s->key);
	free(s->model);
	free(s->prompt);
	buf_free(&s->message);
	free(s);
}

/* Makes on_engine_event end the call after a wrong event. */
static void abort_stream(engine_stream_t *s, attempt_outcome_t outcome, const char *why)
{
	s->aborted = true;
	s->abort_outcome = outcome;
	buf_add(&s->message, str_c(why));
}

/* Passes a token on if its event belongs to this attempt and the token is the next one. */
static void handle_token(engine_stream_t *s, json_t *j)
{
	const char *id = json_string_value(json_object_get(j, "id"));
	json_int_t index = json_integer_value(json_object_get(j, "index"));
	json_t *choice = json_array_get(json_object_get(j, "choices"), 0);
	json_t *text = json_object_get(choice, "text");

	if (!id || strcmp(id, s->attempt_id) != 0) {
		log_event(LOG_LEVEL_WARN, "crossed_answer", LOG_CSTR("key", s->key),
			  LOG_CSTR("attempt", s->attempt_id), LOG_CSTR("got", id ? id : ""));
		METRIC_INC("auburn_crossed_answers_total");
		abort_stream(s, ATTEMPT_CROSSED, "the engine sent a token of another attempt");
		return;
	}
	if (!json_is_string(text) || index != (json_int_t)s->next_index ||
	    s->next_index >= s->max_tokens) {
		abort_stream(s, ATTEMPT_LOST, "the engine sent an unexpected token");
		return;
	}
	s->next_index++;
	s->on_token(s->ctx, s, (unsigned)index,
		    (str_t){json_string_value(text), json_string_length(text)});
}

static bool on_engine_event(void *ctx, str_t name, str_t data)
{
	engine_stream_t *s = ctx;
	json_t *j;

	if (str_eq(data, STR("[DONE]"))) {
		s->complete = s->next_index == s->max_tokens;
		return true;
	}
	j = json_loadb(data.p, data.n, 0, NULL);
	if (j)
		handle_token(s, j);
	else
		abort_stream(s, ATTEMPT_LOST, "the engine sent an event that is not JSON");
	json_decref(j);
	return !s->aborted;
}

/* Outcome of a response without all tokens. An engine refuses an outdated fence with 409. */
static attempt_outcome_t outcome_of_status(int status)
{
	if (status == HTTP_OK)
		return ATTEMPT_LOST;
	if (status == HTTP_CONFLICT || status == HTTP_TOO_MANY)
		return ATTEMPT_REFUSED;
	if (status >= HTTP_CLIENT_ERROR && status < HTTP_SERVER_ERROR)
		return ATTEMPT_REJECTED;
	return ATTEMPT_LOST;
}

static attempt_outcome_t outcome_of(const engine_stream_t *s, const fetch_end_t *end)
{
	if (s->complete)
		return ATTEMPT_DONE;
	if (s->aborted)
		return s->abort_outcome;
	switch (end->result) {
	case FETCH_NOT_SENT:
		return ATTEMPT_UNREACHED;
	case FETCH_TIMED_OUT:
		return ATTEMPT_STALLED;
	case FETCH_FINISHED:
		return outcome_of_status(end->http_status);
	case FETCH_BROKEN:
		break;
	}
	return ATTEMPT_LOST;
}

static void on_call_end(void *ctx, const fetch_end_t *end)
{
	engine_stream_t *s = ctx;
	attempt_outcome_t outcome = outcome_of(s, end);

	if (outcome != ATTEMPT_DONE && s->message.n == 0) {
		buf_addf(&s->message, "engine: %s, status %d ", attempt_outcome_name(outcome),
			 end->http_status);
		buf_add(&s->message, end->body);
	}
	s->on_end(s->ctx, s, outcome);
}

static void write_request_body(buf_t *b, const engine_stream_t *s, uint64_t fence)
{
	buf_add(b, STR("{\"model\":"));
	buf_add_json(b, str_c(s->model));
	buf_add(b, STR(",\"prompt\":"));
	buf_add_json(b, (str_t){s->prompt, s->prompt_n});
	buf_addf(b, ",\"max_tokens\":%u,\"stream\":true,\"request_id\":\"%s\",\"resume_from\":%u",
		 s->max_tokens, s->attempt_id, s->next_index);
	if (fence)
		buf_addf(b, ",\"fence\":%" PRIu64, fence);
	buf_addc(b, '}');
}

void engine_stream_start(const engine_stream_options_t *o, engine_stream_t *s)
{
	char url[URL_BYTES];
	char parent[TRACE_PARENT_BYTES];
	char trace[TRACE_PARENT_BYTES + sizeof("traceparent: ")];
	const char *const headers[] = {"Content-Type: application/json", trace, NULL};
	AUTO_BUF body = {0};
	fetch_options_t call = {.method = "POST",
				.url = url,
				.headers = headers,
				.silence_timeout_ms = o->stall_ms,
				.first_byte_timeout_ms = o->first_token_timeout_ms,
				.ctx = s,
				.on_event = on_engine_event,
				.on_end = on_call_end};

	s->ctx = o->ctx;
	s->on_token = o->on_token;
	s->on_end = o->on_end;
	snprintf(url, sizeof(url), "http://%s/v1/completions", o->addr);
	trace_parent(&s->span, parent);
	snprintf(trace, sizeof(trace), "traceparent: %s", parent);
	write_request_body(&body, s, o->fence);
	call.body = str_buf(&body);
	fetch_start(o->fetch_client, &call);
}

static void on_cancel_end(void *ctx, const fetch_end_t *end)
{
	if (end->result != FETCH_FINISHED)
		METRIC_INC("auburn_cancel_failed_total");
}

void engine_stream_cancel(fetch_client_t *client, const char *addr, const engine_stream_t *s)
{
	char url[URL_BYTES];
	AUTO_BUF body = {0};
	static const char *const headers[] = {"Content-Type: application/json", NULL};
	fetch_options_t call = {.method = "POST",
				.url = url,
				.headers = headers,
				.deadline = clock_now_ms() + CANCEL_TIMEOUT_MS,
				.on_end = on_cancel_end};

	snprintf(url, sizeof(url), "http://%s/v1/cancel", addr);
	buf_addf(&body, "{\"request_id\":\"%s\"}", s->attempt_id);
	call.body = str_buf(&body);
	fetch_start(client, &call);
}
