#include "entry/dp.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include "base/mx.h"
#include "base/tr.h"

#define URL_BYTES	 128
#define OWNER_SILENCE_MS 2000 /* owners send a comment at least every 500 ms */
#define HTTP_UNAVAILABLE 503

/* An attempt that runs at another entry. */
typedef struct {
	en_t *en;
	up_t *up;
	rn_sink_t sink;
	bool ended;
	rn_kind_t kind;
	int64_t retry_after_ms;
	buf_t message;
} remote_t;

void dp_write_work(buf_t *out, const en_t *en, const char *upstream, uint64_t fence,
		   const rn_work_t *w)
{
	buf_addf(out, "{\"session\":%" PRIu64 ",\"fence\":%" PRIu64 ",\"left_ms\":%" PRId64,
		 en_session(en->snap), fence, clk_left_ms(w->deadline));
	buf_addf(out, ",\"max_tokens\":%u,\"resume_from\":%u,\"upstream\":", w->max_tokens,
		 w->resume_from);
	buf_add_json(out, str_c(upstream));
	buf_add(out, STR(",\"caller\":"));
	buf_add_json(out, w->caller);
	buf_add(out, STR(",\"key\":"));
	buf_add_json(out, w->key);
	buf_add(out, STR(",\"service\":"));
	buf_add_json(out, w->service);
	buf_add(out, STR(",\"model\":"));
	buf_add_json(out, w->model);
	buf_add(out, STR(",\"prompt\":"));
	buf_add_json(out, w->prompt);
	buf_addc(out, '}');
}

static void take_end(remote_t *r, json_t *j)
{
	const char *kind = json_string_value(json_object_get(j, "kind"));
	const char *message = json_string_value(json_object_get(j, "message"));

	r->kind = rn_kind_of(str_c(kind));
	r->ended = r->kind != RN_KINDS;
	r->retry_after_ms = json_integer_value(json_object_get(j, "retry_after_ms"));
	buf_add(&r->message, str_c(message));
}

static bool on_event(void *ctx, str_t name, str_t data)
{
	remote_t *r = ctx;
	json_t *j = json_loadb(data.p, data.n, 0, NULL);
	json_t *text = json_object_get(j, "text");

	if (str_eq(name, STR("end")))
		take_end(r, j);
	else if (json_is_string(text))
		r->sink.token(r->sink.ctx,
			      (unsigned)json_integer_value(json_object_get(j, "index")),
			      (str_t){json_string_value(text), json_string_length(text)});
	json_decref(j);
	return true;
}

static rn_kind_t kind_of(const remote_t *r, const ec_end_t *end)
{
	if (r->ended)
		return r->kind;
	if (end->kind == EC_NOT_SENT)
		return RN_UNREACHED;
	if (end->kind == EC_FINISHED && end->http_status == HTTP_UNAVAILABLE)
		return RN_REFUSED;
	return end->kind == EC_STALLED ? RN_STALLED : RN_LOST;
}

static void on_end(void *ctx, const ec_end_t *e)
{
	remote_t *r = ctx;
	rn_end_t end = {kind_of(r, e), r->retry_after_ms, str_buf(&r->message)};

	if (!r->ended && end.kind != RN_REFUSED)
		up_health(r->up, false);
	if (end.kind == RN_DONE)
		up_health(r->up, true);
	if (!r->ended && end.kind == RN_REFUSED)
		atomic_store(&r->en->view_wanted, true);
	r->sink.end(r->sink.ctx, &end);
	buf_free(&r->message);
	free(r);
}

static void start_remote(en_t *en, const up_choice_t *c, const rn_work_t *w, const rn_sink_t *sink)
{
	char url[URL_BYTES];
	char trace[TR_PARENT_BYTES + sizeof("traceparent: ")];
	AUTO_BUF key = {0};
	AUTO_BUF body = {0};
	const char *headers[] = {"Content-Type: application/json", trace, NULL, NULL};
	remote_t *r = mem_new(sizeof(*r));
	ec_options_t call = {.method = "POST",
			     .url = url,
			     .headers = headers,
			     .silence_ms = OWNER_SILENCE_MS,
			     .ctx = r,
			     .event = on_event,
			     .end = on_end};

	r->en = en;
	r->up = c->up;
	r->sink = *sink;
	snprintf(url, sizeof(url), "http://%s/internal/v1/run", c->owner_addr);
	snprintf(trace, sizeof(trace), "traceparent: %.*s", STR_ARG(w->trace));
	buf_addf(&key, "Authorization: Bearer %s", en->set.peer_key);
	headers[2] = key.p;
	dp_write_work(&body, en, c->id, c->fence, w);
	call.body = str_buf(&body);
	MX_COUNT("auburn_forwarded_total");
	ec_start(en->ec, &call);
}

static void make_room(en_t *en, const up_choice_t *c)
{
	if (en->set.way == EN_ALONE_CANCEL && up_reported_room(c->up, 0) == 0)
		ro_preempt_one(c->ro);
}

void dp_start(en_t *en, const up_choice_t *c, const rn_work_t *w, const rn_sink_t *sink,
	      dp_handle_t *out)
{
	int64_t retry_after_ms = 0;
	rn_end_t end = {RN_REFUSED, 0, STR("the replica takes no more")};

	*out = (dp_handle_t){0};
	if (!c->ro) {
		start_remote(en, c, w, sink);
		return;
	}
	make_room(en, c);
	if (ro_offer(c->ro, w, sink, &out->id, &retry_after_ms) == OW_REFUSED) {
		end.retry_after_ms = retry_after_ms;
		sink->end(sink->ctx, &end);
		return;
	}
	out->ro = ro_ref(c->ro);
}

void dp_release(dp_handle_t *h)
{
	ro_unref(h->ro);
	h->ro = NULL;
}
