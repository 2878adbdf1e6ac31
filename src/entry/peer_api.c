#include "entry/peer_api.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "base/metric.h"
#include "entry/attempt.h"
#include "entry/upstream.h"

#define KEEPALIVE_MS 500
#define BLOCK_BYTES  4096
#define NS_PER_MS    1000000
#define MS_PER_S     1000

/* The stream to the other entry: the replica's callbacks write, the connection's thread reads. */
typedef struct {
	atomic_int refs;
	entry_ctx_t *en;
	local_replica_t *ro;
	uint64_t id;
	pthread_mutex_t lock;
	pthread_cond_t cond;
	buf_t out;
	bool ended;
} relay_t;

static void relay_unref(relay_t *r)
{
	if (atomic_fetch_sub(&r->refs, 1) != 1)
		return;
	buf_free(&r->out);
	local_replica_unref(r->ro);
	free(r);
}

static void on_token(void *ctx, unsigned index, str_t text)
{
	relay_t *r = ctx;

	pthread_mutex_lock(&r->lock);
	buf_addf(&r->out, "data: {\"index\":%u,\"text\":", index);
	buf_add_json(&r->out, text);
	buf_add(&r->out, STR("}\n\n"));
	pthread_cond_signal(&r->cond);
	pthread_mutex_unlock(&r->lock);
}

static void write_end(buf_t *b, const attempt_end_t *end)
{
	buf_addf(b,
		 "event: end\ndata: {\"kind\":\"%s\",\"retry_after_ms\":%" PRId64 ",\"message\":",
		 attempt_outcome_name(end->outcome), end->retry_after_ms);
	buf_add_json(b, end->message);
	buf_add(b, STR("}\n\n"));
}

static void on_end(void *ctx, const attempt_end_t *end)
{
	relay_t *r = ctx;

	pthread_mutex_lock(&r->lock);
	write_end(&r->out, end);
	r->ended = true;
	pthread_cond_signal(&r->cond);
	pthread_mutex_unlock(&r->lock);
	relay_unref(r);
}

static void wait_bytes(relay_t *r)
{
	struct timespec until;

	clock_gettime(CLOCK_MONOTONIC, &until);
	until.tv_nsec += (long)(KEEPALIVE_MS % MS_PER_S) * NS_PER_MS;
	until.tv_sec += KEEPALIVE_MS / MS_PER_S + until.tv_nsec / (MS_PER_S * NS_PER_MS);
	until.tv_nsec %= (long)MS_PER_S * NS_PER_MS;
	while (r->out.n == 0 && !r->ended)
		if (pthread_cond_timedwait(&r->cond, &r->lock, &until) != 0)
			break;
	/* A comment shows the other entry that this one lives, and this one that the other does. */
	if (r->out.n == 0 && !r->ended)
		buf_add(&r->out, STR(":\n\n"));
}

static ssize_t read_stream(void *ctx, uint64_t offset, char *out, size_t max)
{
	relay_t *r = ctx;
	size_t n;

	pthread_mutex_lock(&r->lock);
	wait_bytes(r);
	n = r->out.n < max ? r->out.n : max;
	if (n)
		memcpy(out, r->out.p, n);
	buf_drop_front(&r->out, n);
	pthread_mutex_unlock(&r->lock);
	return n ? (ssize_t)n : (ssize_t)U_STREAM_END;
}

static void free_stream(void *ctx)
{
	relay_t *r = ctx;
	bool gone;

	pthread_mutex_lock(&r->lock);
	gone = !r->ended;
	pthread_mutex_unlock(&r->lock);
	atomic_fetch_sub(&r->en->open_streams, 1);
	if (gone) {
		METRIC_INC("auburn_forwards_dropped_total");
		local_replica_cancel(r->ro, r->id);
	}
	relay_unref(r);
}

static relay_t *relay_new(entry_ctx_t *en, local_replica_t *ro)
{
	relay_t *r = mem_new(sizeof(*r));
	pthread_condattr_t attr;

	atomic_init(&r->refs, 2);
	r->en = en;
	atomic_fetch_add(&en->open_streams, 1);
	r->ro = local_replica_ref(ro);
	pthread_mutex_init(&r->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&r->cond, &attr);
	pthread_condattr_destroy(&attr);
	return r;
}

static str_t text_of(json_t *j, const char *key)
{
	json_t *v = json_object_get(j, key);

	return (str_t){json_is_string(v) ? json_string_value(v) : "", json_string_length(v)};
}

static attempt_params_t read_work(json_t *j, str_t trace)
{
	return (attempt_params_t){
		.cls = OWNER_ONLINE,
		.deadline = clock_now_ms() + json_integer_value(json_object_get(j, "left_ms")),
		.max_tokens = (unsigned)json_integer_value(json_object_get(j, "max_tokens")),
		.resume_from = (unsigned)json_integer_value(json_object_get(j, "resume_from")),
		.caller = text_of(j, "caller"),
		.key = text_of(j, "key"),
		.service = text_of(j, "service"),
		.model = text_of(j, "model"),
		.prompt = text_of(j, "prompt"),
		.trace = trace};
}

static bool from_member(entry_ctx_t *en, json_t *j)
{
	AUTO_ENTRY_VIEW *v = entry_view_get(en->snapshot);
	uint64_t session = (uint64_t)json_integer_value(json_object_get(j, "session"));

	return v && session && entry_find_member(&v->view, session);
}

static local_replica_t *find_owned(entry_ctx_t *en, json_t *j)
{
	uint64_t fence = (uint64_t)json_integer_value(json_object_get(j, "fence"));

	if (!from_member(en, j)) {
		atomic_store(&en->view_stale, true);
		return NULL;
	}
	return upstream_find_owned(en->upstreams, text_of(j, "upstream"), fence);
}

static void run(entry_ctx_t *en, local_replica_t *ro, const attempt_params_t *w,
		struct _u_response *res)
{
	relay_t *r = relay_new(en, ro);
	attempt_sink_t sink = {r, on_token, on_end};
	attempt_end_t end = {ATTEMPT_REFUSED, 0, STR("the owner takes no more")};

	if (local_replica_offer(ro, w, &sink, &r->id, &end.retry_after_ms) == OWNER_REFUSED) {
		write_end(&r->out, &end);
		r->ended = true;
		atomic_store(&r->refs, 1); /* the replica holds none */
	}
	u_map_put(res->map_header, "Content-Type", "text/event-stream");
	ulfius_set_stream_response(res, 200, read_stream, free_stream, U_STREAM_SIZE_UNKNOWN,
				   BLOCK_BYTES, r);
}

int peer_api_run(const struct _u_request *req, struct _u_response *res, void *ctx)
{
	entry_ctx_t *en = ctx;
	str_t body = httpd_body(req);
	json_t *j;
	attempt_params_t w;
	local_replica_t *ro;

	if (!httpd_auth_peer(en, req, res))
		return U_CALLBACK_COMPLETE;
	j = json_loadb(body.p, body.n, 0, NULL);
	w = read_work(j, httpd_header(req, "traceparent"));
	ro = j ? find_owned(en, j) : NULL;
	if (ro && entry_lease_valid(en->snapshot))
		run(en, ro, &w, res);
	else
		httpd_error(res, 503, "not_owner", STR("not the owner under this fence"),
			    VERDICT_NOT_RUN, 1);
	local_replica_unref(ro);
	json_decref(j);
	return U_CALLBACK_COMPLETE;
}
