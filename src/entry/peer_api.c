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

/* Event stream to another entry: the replica's callbacks append events, the connection's thread
 * reads them. */
typedef struct {
	atomic_int refs;
	entry_ctx_t *en;
	local_replica_t *replica;
	uint64_t stream_id;
	pthread_mutex_t lock;
	pthread_cond_t cond;
	buf_t events;
	bool ended;
} relay_t;

static void relay_unref(relay_t *r)
{
	if (atomic_fetch_sub(&r->refs, 1) != 1)
		return;
	buf_free(&r->events);
	local_replica_unref(r->replica);
	free(r);
}

static void on_token(void *ctx, unsigned index, str_t text)
{
	relay_t *r = ctx;

	pthread_mutex_lock(&r->lock);
	buf_addf(&r->events, "data: {\"index\":%u,\"text\":", index);
	buf_add_json(&r->events, text);
	buf_add(&r->events, STR("}\n\n"));
	pthread_cond_signal(&r->cond);
	pthread_mutex_unlock(&r->lock);
}

static void append_end_event(buf_t *b, const attempt_end_t *end)
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
	append_end_event(&r->events, end);
	r->ended = true;
	pthread_cond_signal(&r->cond);
	pthread_mutex_unlock(&r->lock);
	relay_unref(r);
}

static void wait_for_events(relay_t *r)
{
	struct timespec until;

	clock_gettime(CLOCK_MONOTONIC, &until);
	until.tv_nsec += (long)(KEEPALIVE_MS % MS_PER_S) * NS_PER_MS;
	until.tv_sec += KEEPALIVE_MS / MS_PER_S + until.tv_nsec / (MS_PER_S * NS_PER_MS);
	until.tv_nsec %= (long)MS_PER_S * NS_PER_MS;
	while (r->events.n == 0 && !r->ended)
		if (pthread_cond_timedwait(&r->cond, &r->lock, &until) != 0)
			break;
	/* An SSE comment shows the other entry that this one is alive; writing it detects a closed
	 * connection. */
	if (r->events.n == 0 && !r->ended)
		buf_add(&r->events, STR(":\n\n"));
}

static ssize_t read_events(void *ctx, uint64_t offset, char *out, size_t max)
{
	relay_t *r = ctx;
	size_t n;

	pthread_mutex_lock(&r->lock);
	wait_for_events(r);
	n = r->events.n < max ? r->events.n : max;
	if (n)
		memcpy(out, r->events.p, n);
	buf_drop_front(&r->events, n);
	pthread_mutex_unlock(&r->lock);
	return n ? (ssize_t)n : (ssize_t)U_STREAM_END;
}

static void close_stream(void *ctx)
{
	relay_t *r = ctx;
	bool gone;

	pthread_mutex_lock(&r->lock);
	gone = !r->ended;
	pthread_mutex_unlock(&r->lock);
	atomic_fetch_sub(&r->en->open_streams, 1);
	if (gone) {
		METRIC_INC("auburn_forwards_dropped_total");
		local_replica_cancel(r->replica, r->stream_id);
	}
	relay_unref(r);
}

static relay_t *relay_new(entry_ctx_t *en, local_replica_t *replica)
{
	relay_t *r = mem_new(sizeof(*r));
	pthread_condattr_t attr;

	atomic_init(&r->refs, 2);
	r->en = en;
	atomic_fetch_add(&en->open_streams, 1);
	r->replica = local_replica_ref(replica);
	pthread_mutex_init(&r->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&r->cond, &attr);
	pthread_condattr_destroy(&attr);
	return r;
}

static str_t get_string(json_t *j, const char *key)
{
	json_t *v = json_object_get(j, key);

	return (str_t){json_is_string(v) ? json_string_value(v) : "", json_string_length(v)};
}

static attempt_params_t parse_params(json_t *j, str_t trace)
{
	return (attempt_params_t){
		.cls = OWNER_ONLINE,
		.deadline = clock_now_ms() + json_integer_value(json_object_get(j, "left_ms")),
		.max_tokens = (unsigned)json_integer_value(json_object_get(j, "max_tokens")),
		.resume_from = (unsigned)json_integer_value(json_object_get(j, "resume_from")),
		.caller = get_string(j, "caller"),
		.key = get_string(j, "key"),
		.service = get_string(j, "service"),
		.model = get_string(j, "model"),
		.prompt = get_string(j, "prompt"),
		.trace = trace};
}

static bool is_from_member(entry_ctx_t *en, json_t *j)
{
	AUTO_ENTRY_VIEW *v = entry_view_get(en->snapshot);
	uint64_t session = (uint64_t)json_integer_value(json_object_get(j, "session"));

	return v && session && entry_find_member(&v->view, session);
}

/* Finds the replica if the sender is in the view and the fence is current. If the sender is not,
 * the view here may be outdated. */
static local_replica_t *find_local_replica(entry_ctx_t *en, json_t *j)
{
	uint64_t fence = (uint64_t)json_integer_value(json_object_get(j, "fence"));

	if (!is_from_member(en, j)) {
		atomic_store(&en->view_stale, true);
		return NULL;
	}
	return upstream_find_local(en->upstreams, get_string(j, "upstream"), fence);
}

static void relay_attempt(entry_ctx_t *en, local_replica_t *replica, const attempt_params_t *params,
			  struct _u_response *res)
{
	relay_t *r = relay_new(en, replica);
	attempt_sink_t sink = {r, on_token, on_end};
	attempt_end_t end = {ATTEMPT_REFUSED, 0, STR("the owner refused the attempt")};

	if (local_replica_offer(replica, params, &sink, &r->stream_id, &end.retry_after_ms) ==
	    OWNER_REFUSED) {
		append_end_event(&r->events, &end);
		r->ended = true;
		atomic_store(&r->refs, 1); /* no callback will drop the second reference */
	}
	u_map_put(res->map_header, "Content-Type", "text/event-stream");
	ulfius_set_stream_response(res, 200, read_events, close_stream, U_STREAM_SIZE_UNKNOWN,
				   BLOCK_BYTES, r);
}

int peer_api_run(const struct _u_request *req, struct _u_response *res, void *ctx)
{
	entry_ctx_t *en = ctx;
	str_t body = httpd_body(req);
	json_t *j;
	attempt_params_t params;
	local_replica_t *replica;

	if (!httpd_auth_peer(en, req, res))
		return U_CALLBACK_COMPLETE;
	j = json_loadb(body.p, body.n, 0, NULL);
	params = parse_params(j, httpd_header(req, "traceparent"));
	replica = j ? find_local_replica(en, j) : NULL;
	if (replica && entry_lease_valid(en->snapshot))
		relay_attempt(en, replica, &params, res);
	else
		httpd_error(res, 503, "not_owner",
			    STR("this entry does not own the replica under this fence"),
			    VERDICT_NOT_RUN, 1);
	local_replica_unref(replica);
	json_decref(j);
	return U_CALLBACK_COMPLETE;
}
