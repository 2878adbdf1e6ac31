#include "entry/ro_engine.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/lg.h"
#include "base/mx.h"

#define URL_BYTES	  256
#define CANCEL_TIMEOUT_MS 2000
#define HTTP_OK		  200
#define HTTP_CONFLICT	  409
#define HTTP_CLIENT_ERROR 400
#define HTTP_TOO_MANY	  429
#define HTTP_SERVER_ERROR 500

ro_stream_t *ro_stream_new(uint64_t id, const rn_work_t *w, const rn_sink_t *sink)
{
	ro_stream_t *s = mem_new(sizeof(*s));

	s->id = id;
	s->cls = w->cls;
	s->max_tokens = w->max_tokens;
	s->next_index = w->resume_from;
	s->key = str_dup(w->key);
	s->model = str_dup(w->model);
	s->prompt = str_dup(w->prompt);
	s->prompt_n = w->prompt.n;
	s->sink = *sink;
	tr_begin(&s->span, "replica", w->trace);
	return s;
}

void ro_stream_free(ro_stream_t *s)
{
	free(s->key);
	free(s->model);
	free(s->prompt);
	buf_free(&s->message);
	free(s);
}

static void break_off(ro_stream_t *s, rn_kind_t kind, const char *why)
{
	s->broken = true;
	s->broken_kind = kind;
	buf_add(&s->message, str_c(why));
}

static void take_token(ro_stream_t *s, json_t *j)
{
	const char *id = json_string_value(json_object_get(j, "id"));
	json_int_t index = json_integer_value(json_object_get(j, "index"));
	json_t *choice = json_array_get(json_object_get(j, "choices"), 0);
	json_t *text = json_object_get(choice, "text");

	if (!id || strcmp(id, s->attempt) != 0) {
		lg(LG_WARN, "crossed_answer", LG_C("key", s->key), LG_C("attempt", s->attempt),
		   LG_C("got", id ? id : ""));
		MX_COUNT("auburn_crossed_answers_total");
		break_off(s, RN_CROSSED, "the engine sent another attempt's answer");
		return;
	}
	if (!json_is_string(text) || index != (json_int_t)s->next_index ||
	    s->next_index >= s->max_tokens) {
		break_off(s, RN_LOST, "the engine left a token out");
		return;
	}
	s->next_index++;
	s->token(s->ctx, s, (unsigned)index,
		 (str_t){json_string_value(text), json_string_length(text)});
}

static bool on_event(void *ctx, str_t name, str_t data)
{
	ro_stream_t *s = ctx;
	json_t *j;

	if (str_eq(data, STR("[DONE]"))) {
		s->finished = s->next_index == s->max_tokens;
		return true;
	}
	j = json_loadb(data.p, data.n, 0, NULL);
	if (j)
		take_token(s, j);
	else
		break_off(s, RN_LOST, "the engine sent no JSON");
	json_decref(j);
	return !s->broken;
}

static rn_kind_t kind_of_status(int status)
{
	if (status == HTTP_OK)
		return RN_LOST;
	if (status == HTTP_CONFLICT || status == HTTP_TOO_MANY)
		return RN_REFUSED;
	if (status >= HTTP_CLIENT_ERROR && status < HTTP_SERVER_ERROR)
		return RN_REJECTED;
	return RN_LOST;
}

static rn_kind_t kind_of(const ro_stream_t *s, const ec_end_t *end)
{
	if (s->finished)
		return RN_DONE;
	if (s->broken)
		return s->broken_kind;
	switch (end->kind) {
	case EC_NOT_SENT:
		return RN_UNREACHED;
	case EC_STALLED:
		return RN_STALLED;
	case EC_FINISHED:
		return kind_of_status(end->http_status);
	case EC_BROKEN:
		break;
	}
	return RN_LOST;
}

static void on_end(void *ctx, const ec_end_t *end)
{
	ro_stream_t *s = ctx;
	rn_kind_t kind = kind_of(s, end);

	if (kind != RN_DONE && s->message.n == 0) {
		buf_addf(&s->message, "engine: %s, status %d ", rn_kind_name(kind),
			 end->http_status);
		buf_add(&s->message, end->body);
	}
	s->end(s->ctx, s, kind);
}

static void write_body(buf_t *b, const ro_stream_t *s, uint64_t fence)
{
	buf_add(b, STR("{\"model\":"));
	buf_add_json(b, str_c(s->model));
	buf_add(b, STR(",\"prompt\":"));
	buf_add_json(b, (str_t){s->prompt, s->prompt_n});
	buf_addf(b, ",\"max_tokens\":%u,\"stream\":true,\"request_id\":\"%s\",\"resume_from\":%u",
		 s->max_tokens, s->attempt, s->next_index);
	if (fence)
		buf_addf(b, ",\"fence\":%" PRIu64, fence);
	buf_addc(b, '}');
}

void ro_engine_start(const ro_engine_options_t *o, ro_stream_t *s)
{
	char url[URL_BYTES];
	char parent[TR_PARENT_BYTES];
	char trace[TR_PARENT_BYTES + sizeof("traceparent: ")];
	const char *const headers[] = {"Content-Type: application/json", trace, NULL};
	AUTO_BUF body = {0};
	ec_options_t call = {.method = "POST",
			     .url = url,
			     .headers = headers,
			     .silence_ms = o->stall_ms,
			     .first_ms = o->first_ms,
			     .ctx = s,
			     .event = on_event,
			     .end = on_end};

	s->ctx = o->ctx;
	s->token = o->token;
	s->end = o->end;
	snprintf(url, sizeof(url), "http://%s/v1/completions", o->addr);
	tr_parent(&s->span, parent);
	snprintf(trace, sizeof(trace), "traceparent: %s", parent);
	write_body(&body, s, o->fence);
	call.body = str_buf(&body);
	ec_start(o->ec, &call);
}

static void on_cancelled(void *ctx, const ec_end_t *end)
{
	if (end->kind != EC_FINISHED)
		MX_COUNT("auburn_cancel_failed_total");
}

void ro_engine_cancel(ec_t *ec, const char *addr, const ro_stream_t *s)
{
	char url[URL_BYTES];
	AUTO_BUF body = {0};
	static const char *const headers[] = {"Content-Type: application/json", NULL};
	ec_options_t call = {.method = "POST",
			     .url = url,
			     .headers = headers,
			     .deadline = clk_now_ms() + CANCEL_TIMEOUT_MS,
			     .end = on_cancelled};

	snprintf(url, sizeof(url), "http://%s/v1/cancel", addr);
	buf_addf(&body, "{\"request_id\":\"%s\"}", s->attempt);
	call.body = str_buf(&body);
	ec_start(ec, &call);
}
