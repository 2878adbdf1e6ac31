#include "entry/attempt_start.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include "base/metric.h"
#include "base/trace.h"

#define URL_BYTES	 128
#define OWNER_SILENCE_MS 2000 /* owners send a keep-alive comment every 500 ms */
#define HTTP_UNAVAILABLE 503

/* An attempt that another entry, the replica's owner, runs for this one. */
typedef struct {
	entry_ctx_t *en;
	upstream_t *up;
	attempt_sink_t sink;
	bool ended;
	attempt_outcome_t outcome;
	int64_t retry_after_ms;
	buf_t message;
} remote_attempt_t;

void attempt_write_params(buf_t *out, const entry_ctx_t *en, const char *upstream, uint64_t fence,
			  const attempt_params_t *params)
{
	buf_addf(out, "{\"session\":%" PRIu64 ",\"fence\":%" PRIu64 ",\"left_ms\":%" PRId64,
		 entry_session(en->snapshot), fence, clock_left_ms(params->deadline));
	buf_addf(out, ",\"max_tokens\":%u,\"resume_from\":%u,\"upstream\":", params->max_tokens,
		 params->resume_from);
	buf_add_json(out, str_c(upstream));
	buf_add(out, STR(",\"caller\":"));
	buf_add_json(out, params->caller);
	buf_add(out, STR(",\"key\":"));
	buf_add_json(out, params->key);
	buf_add(out, STR(",\"service\":"));
	buf_add_json(out, params->service);
	buf_add(out, STR(",\"model\":"));
	buf_add_json(out, params->model);
	buf_add(out, STR(",\"prompt\":"));
	buf_add_json(out, params->prompt);
	buf_addc(out, '}');
}

/* Reads the event "end", the last one of the owner's stream. */
static void parse_end_event(remote_attempt_t *r, json_t *j)
{
	const char *outcome = json_string_value(json_object_get(j, "kind"));
	const char *message = json_string_value(json_object_get(j, "message"));

	r->outcome = attempt_outcome_parse(str_c(outcome));
	r->ended = r->outcome != ATTEMPT_OUTCOMES;
	r->retry_after_ms = json_integer_value(json_object_get(j, "retry_after_ms"));
	buf_add(&r->message, str_c(message));
}

static bool on_owner_event(void *ctx, str_t name, str_t data)
{
	remote_attempt_t *r = ctx;
	json_t *j = json_loadb(data.p, data.n, 0, NULL);
	json_t *text = json_object_get(j, "text");

	if (str_eq(name, STR("end")))
		parse_end_event(r, j);
	else if (json_is_string(text))
		r->sink.on_token(r->sink.ctx,
				 (unsigned)json_integer_value(json_object_get(j, "index")),
				 (str_t){json_string_value(text), json_string_length(text)});
	json_decref(j);
	return true;
}

static attempt_outcome_t outcome_of(const remote_attempt_t *r, const fetch_end_t *end)
{
	if (r->ended)
		return r->outcome;
	if (end->result == FETCH_NOT_SENT)
		return ATTEMPT_UNREACHED;
	if (end->result == FETCH_FINISHED && end->http_status == HTTP_UNAVAILABLE)
		return ATTEMPT_REFUSED;
	return end->result == FETCH_TIMED_OUT ? ATTEMPT_STALLED : ATTEMPT_LOST;
}

static void on_owner_end(void *ctx, const fetch_end_t *e)
{
	remote_attempt_t *r = ctx;
	attempt_end_t end = {outcome_of(r, e), r->retry_after_ms, str_buf(&r->message)};

	if (!r->ended && end.outcome != ATTEMPT_REFUSED)
		upstream_record_health(r->up, false);
	if (end.outcome == ATTEMPT_DONE)
		upstream_record_health(r->up, true);
	/* Status 503: the other entry does not own the replica under this fence. */
	if (!r->ended && end.outcome == ATTEMPT_REFUSED)
		atomic_store(&r->en->view_stale, true);
	r->sink.on_end(r->sink.ctx, &end);
	buf_free(&r->message);
	free(r);
}

static void start_remote(entry_ctx_t *en, const upstream_choice_t *c,
			 const attempt_params_t *params, const attempt_sink_t *sink)
{
	char url[URL_BYTES];
	char trace[TRACE_PARENT_BYTES + sizeof("traceparent: ")];
	AUTO_BUF key = {0};
	AUTO_BUF body = {0};
	const char *headers[] = {"Content-Type: application/json", trace, NULL, NULL};
	remote_attempt_t *r = mem_new(sizeof(*r));
	fetch_options_t call = {.method = "POST",
				.url = url,
				.headers = headers,
				.silence_timeout_ms = OWNER_SILENCE_MS,
				.ctx = r,
				.on_event = on_owner_event,
				.on_end = on_owner_end};

	r->en = en;
	r->up = c->upstream;
	r->sink = *sink;
	snprintf(url, sizeof(url), "http://%s/internal/v1/run", c->owner_addr);
	snprintf(trace, sizeof(trace), "traceparent: %.*s", STR_ARG(params->trace));
	buf_addf(&key, "Authorization: Bearer %s", en->settings.peer_key);
	headers[2] = key.p;
	attempt_write_params(&body, en, c->id, c->fence, params);
	call.body = str_buf(&body);
	METRIC_INC("auburn_forwarded_total");
	fetch_start(en->fetch_client, &call);
}

/* In mode alone_cancel: preempts the newest batch stream unless the last load report leaves a free
 * slot after all streams sent since, this one included. An outdated report leaves none. */
static void preempt_unless_free(entry_ctx_t *en, const upstream_choice_t *c)
{
	if (en->settings.mode == ENTRY_MODE_ALONE_CANCEL &&
	    upstream_reported_headroom(c->upstream, 0) == 0)
		local_replica_preempt_newest(c->replica);
}

void attempt_start(entry_ctx_t *en, const upstream_choice_t *c, const attempt_params_t *params,
		   const attempt_sink_t *sink, attempt_handle_t *out)
{
	int64_t retry_after_ms = 0;
	attempt_end_t end = {ATTEMPT_REFUSED, 0, STR("the replica refused the attempt")};

	*out = (attempt_handle_t){0};
	if (!c->replica) {
		start_remote(en, c, params, sink);
		return;
	}
	preempt_unless_free(en, c);
	if (local_replica_offer(c->replica, params, sink, &out->stream_id, &retry_after_ms) ==
	    OWNER_REFUSED) {
		end.retry_after_ms = retry_after_ms;
		sink->on_end(sink->ctx, &end);
		return;
	}
	out->replica = local_replica_ref(c->replica);
}

void attempt_release(attempt_handle_t *h)
{
	local_replica_unref(h->replica);
	h->replica = NULL;
}
