#include "entry/local_replica.h"

#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>
#include "base/log.h"
#include "base/metric.h"
#include "base/trace.h"
#include "entry/engine_stream.h"

/* An engine ignores a cancel that arrives before the stream's request, so the cancel is sent again
 * whenever the stream has produced this many more tokens. */
#define RESEND_CANCEL_TOKENS 3
/* In all modes but owner a stream may wait in the engine's own queue. */
#define UNOWNED_FIRST_TOKEN_MS 30000

struct local_replica {
	atomic_int refs;
	entry_ctx_t *en;
	char *id;
	char *addr;
	uint64_t fence;
	void *ctx;
	void (*on_health)(void *ctx, bool ok);
	pthread_mutex_t lock; /* guards all below */
	int64_t stall_ms;
	owner_t *owner;
	bool closed;
	metric_t *step_us;
	engine_stream_t *streams; /* hash by id */
	engine_stream_t *ended; /* ended under the lock; unlock_and_notify calls their sinks */
};

static atomic_ullong last_stream_id;

static engine_stream_t *find_stream(local_replica_t *r, uint64_t id)
{
	engine_stream_t *s;

	HASH_FIND(hh, r->streams, &id, sizeof(id), s);
	return s;
}

/* Ends a stream: removes it from the hash; unlock_and_notify then calls its sink and frees it. */
static void move_to_ended(local_replica_t *r, engine_stream_t *s, attempt_outcome_t outcome,
			  int64_t retry_after_ms)
{
	HASH_DEL(r->streams, s);
	s->outcome = outcome;
	s->retry_after_ms = retry_after_ms;
	DL_APPEND(r->ended, s);
}

static void release_refs(local_replica_t *r, int n)
{
	if (atomic_fetch_sub(&r->refs, n) != n)
		return;
	assert(!r->streams && !r->ended);
	owner_free(r->owner);
	pthread_mutex_destroy(&r->lock);
	free(r->id);
	free(r->addr);
	free(r);
}

/* Releases the lock, then calls the sinks of the streams that ended under it. */
static void unlock_and_notify(local_replica_t *r)
{
	int n = 0;
	engine_stream_t *list = r->ended;
	engine_stream_t *s;
	engine_stream_t *next;

	r->ended = NULL;
	pthread_mutex_unlock(&r->lock);
	DL_FOREACH_SAFE(list, s, next)
	{
		attempt_end_t end = {s->outcome, s->retry_after_ms, str_buf(&s->message)};

		trace_end(&s->span, str_c(s->key), attempt_outcome_name(s->outcome));
		s->sink.on_end(s->sink.ctx, &end);
		engine_stream_free(s);
		n++;
	}
	if (n)
		release_refs(r, n);
}

static void on_token(void *ctx, engine_stream_t *s, unsigned index, str_t text)
{
	local_replica_t *r = ctx;
	int64_t now_us = clock_now_us();
	int64_t step_us = s->last_token_us ? now_us - s->last_token_us : 0;

	pthread_mutex_lock(&r->lock);
	owner_record_token(r->owner, s->id, step_us, now_us / 1000);
	s->last_token_us = now_us;
	if (step_us)
		metric_record(r->step_us, step_us);
	if (s->cancelling && ++s->tokens_after_cancel % RESEND_CANCEL_TOKENS == 0)
		engine_stream_cancel(r->en->fetch_client, r->addr, s);
	unlock_and_notify(r);
	s->sink.on_token(s->sink.ctx, index, text);
	if (step_us == 0)
		r->on_health(r->ctx, true);
}

static void on_stream_end(void *ctx, engine_stream_t *s, attempt_outcome_t outcome)
{
	local_replica_t *r = ctx;
	bool failed;

	local_replica_ref(r); /* unlock_and_notify drops the stream's reference */
	pthread_mutex_lock(&r->lock);
	if (s->cancelling && (outcome == ATTEMPT_LOST || outcome == ATTEMPT_STALLED))
		outcome = s->cancel_outcome;
	if (outcome == ATTEMPT_REFUSED) /* the fence may be outdated */
		atomic_store(&r->en->view_stale, true);
	failed = outcome == ATTEMPT_LOST || outcome == ATTEMPT_STALLED ||
		 outcome == ATTEMPT_CROSSED || outcome == ATTEMPT_UNREACHED;
	if (outcome == ATTEMPT_STALLED || outcome == ATTEMPT_CROSSED)
		engine_stream_cancel(r->en->fetch_client, r->addr, s);
	owner_stream_ended(r->owner, s->id, clock_now_ms());
	move_to_ended(r, s, outcome, 0);
	unlock_and_notify(r);
	if (failed)
		r->on_health(r->ctx, false);
	local_replica_unref(r);
}

/* start_stream, preempt_stream and refuse_stream are callbacks of the scheduler, under the lock. */
static void start_stream(void *ctx, uint64_t id)
{
	local_replica_t *r = ctx;
	engine_stream_t *s = find_stream(r, id);
	const engine_stream_options_t o = {.fetch_client = r->en->fetch_client,
					   .addr = r->addr,
					   .fence = r->fence,
					   .stall_ms = r->stall_ms,
					   .first_token_timeout_ms =
						   r->fence ? 0 : UNOWNED_FIRST_TOKEN_MS,
					   .ctx = r,
					   .on_token = on_token,
					   .on_end = on_stream_end};

	assert(s && !s->started);
	if (r->fence && !entry_lease_valid(r->en->snapshot)) {
		s->start_denied = true;
		return;
	}
	s->started = true;
	log_event(LOG_LEVEL_INFO, "dispatched", LOG_CSTR("key", s->key),
		  LOG_CSTR("upstream", r->id), LOG_CSTR("attempt", s->attempt_id),
		  LOG_INT("from", s->next_index));
	engine_stream_start(&o, s);
}

static void preempt_stream(void *ctx, uint64_t id)
{
	local_replica_t *r = ctx;
	engine_stream_t *s = find_stream(r, id);

	if (!s || s->cancelling)
		return;
	s->cancelling = true;
	s->cancel_outcome = ATTEMPT_PREEMPTED;
	log_event(LOG_LEVEL_INFO, "preempted", LOG_STR("key", str_c(s->key)),
		  LOG_CSTR("upstream", r->id), LOG_CSTR("attempt", s->attempt_id),
		  LOG_INT("tokens", s->next_index));
	METRIC_INC("auburn_preempted_total");
	engine_stream_cancel(r->en->fetch_client, r->addr, s);
}

static void refuse_stream(void *ctx, uint64_t id, int64_t retry_after_ms)
{
	local_replica_t *r = ctx;
	engine_stream_t *s = find_stream(r, id);

	if (s)
		move_to_ended(r, s, ATTEMPT_REFUSED, retry_after_ms);
}

/* Ends the streams that start_stream did not start because the lease had ended. Searches from the
 * beginning after each, because owner_stream_ended may start, and so deny, further streams. */
static void end_denied_streams(local_replica_t *r)
{
	engine_stream_t *s;
	engine_stream_t *next;
	bool again = true;

	while (again) {
		again = false;
		HASH_ITER (hh, r->streams, s, next) {
			if (!s->start_denied)
				continue;
			move_to_ended(r, s, ATTEMPT_REFUSED, 0);
			owner_stream_ended(r->owner, s->id, clock_now_ms());
			again = true;
			break;
		}
	}
}

static owner_options_t with_callbacks(local_replica_t *r, const owner_options_t *policy)
{
	owner_options_t o = *policy;

	o.ctx = r;
	o.start = start_stream;
	o.cancel = preempt_stream;
	o.refuse = refuse_stream;
	return o;
}

local_replica_t *local_replica_new(const local_replica_options_t *o)
{
	local_replica_t *r = mem_new(sizeof(*r));
	owner_options_t policy = with_callbacks(r, &o->policy);

	atomic_init(&r->refs, 1);
	r->en = o->en;
	r->id = str_dup(str_c(o->id));
	r->addr = str_dup(str_c(o->addr));
	r->fence = o->fence;
	r->stall_ms = o->stall_ms;
	r->ctx = o->ctx;
	r->on_health = o->on_health;
	pthread_mutex_init(&r->lock, NULL);
	r->step_us = metric_get(METRIC_HISTOGRAM, "auburn_step_us", NULL);
	r->owner = owner_new(&policy, clock_now_ms());
	return r;
}

local_replica_t *local_replica_ref(local_replica_t *r)
{
	if (r)
		atomic_fetch_add(&r->refs, 1);
	return r;
}

void local_replica_unref(local_replica_t *r)
{
	if (r)
		release_refs(r, 1);
}

void local_replica_update(local_replica_t *r, const owner_options_t *policy, int64_t stall_ms)
{
	owner_options_t o = with_callbacks(r, policy);

	pthread_mutex_lock(&r->lock);
	r->stall_ms = stall_ms;
	owner_update(r->owner, &o);
	unlock_and_notify(r);
}

uint64_t local_replica_fence(const local_replica_t *r)
{
	return r->fence;
}

static engine_stream_t *make_stream(local_replica_t *r, const attempt_params_t *params,
				    const attempt_sink_t *sink)
{
	uint64_t id = atomic_fetch_add(&last_stream_id, 1) + 1;
	engine_stream_t *s = engine_stream_new(id, params, sink);

	snprintf(s->attempt_id, sizeof(s->attempt_id), "%" PRIx64 "-%" PRIu64, r->en->boot, id);
	return s;
}

owner_answer_t local_replica_offer(local_replica_t *r, const attempt_params_t *params,
				   const attempt_sink_t *sink, uint64_t *id,
				   int64_t *retry_after_ms)
{
	engine_stream_t *s = make_stream(r, params, sink);
	owner_stream_t stream = {.id = s->id,
				 .cls = params->cls,
				 .deadline = params->deadline,
				 .caller = str_hash(params->caller),
				 .alone = params->alone};
	owner_answer_t a = OWNER_REFUSED;

	*id = s->id;
	*retry_after_ms = 0;
	pthread_mutex_lock(&r->lock);
	if (!r->closed && (!r->fence || entry_lease_valid(r->en->snapshot))) {
		HASH_ADD(hh, r->streams, id, sizeof(s->id), s);
		local_replica_ref(r);
		a = owner_offer(r->owner, &stream, clock_now_ms(), retry_after_ms);
		if (a == OWNER_REFUSED && find_stream(r, *id)) {
			HASH_DEL(r->streams, s);
			atomic_fetch_sub(&r->refs, 1);
		}
		end_denied_streams(r);
	}
	unlock_and_notify(r);
	if (a == OWNER_REFUSED)
		engine_stream_free(s);
	return a;
}

void local_replica_cancel(local_replica_t *r, uint64_t id)
{
	engine_stream_t *s;

	pthread_mutex_lock(&r->lock);
	s = find_stream(r, id);
	if (s && !s->started) {
		owner_withdraw(r->owner, id, clock_now_ms());
		move_to_ended(r, s, ATTEMPT_CANCELLED, 0);
	} else if (s && !s->cancelling) {
		s->cancelling = true;
		s->cancel_outcome = ATTEMPT_CANCELLED;
		engine_stream_cancel(r->en->fetch_client, r->addr, s);
	}
	unlock_and_notify(r);
}

bool local_replica_preempt_newest(local_replica_t *r)
{
	engine_stream_t *s;
	engine_stream_t *next;
	engine_stream_t *newest = NULL;

	pthread_mutex_lock(&r->lock);
	HASH_ITER (hh, r->streams, s, next)
		if (s->cls == OWNER_BATCH && !s->cancelling && (!newest || s->id > newest->id))
			newest = s;
	if (newest)
		preempt_stream(r, newest->id);
	unlock_and_notify(r);
	return newest != NULL;
}

void local_replica_tick(local_replica_t *r)
{
	pthread_mutex_lock(&r->lock);
	owner_tick(r->owner, clock_now_ms());
	end_denied_streams(r);
	unlock_and_notify(r);
}

void local_replica_close(local_replica_t *r, bool cancel_batch)
{
	pthread_mutex_lock(&r->lock);
	if (!r->closed) {
		r->closed = true;
		owner_close(r->owner, cancel_batch, clock_now_ms());
	}
	unlock_and_notify(r);
}

unsigned local_replica_batch_headroom(local_replica_t *r)
{
	unsigned n;

	pthread_mutex_lock(&r->lock);
	n = r->closed ? 0 : owner_batch_headroom(r->owner, clock_now_ms());
	unlock_and_notify(r);
	return n;
}

void local_replica_stats(local_replica_t *r, owner_stats_t *out)
{
	pthread_mutex_lock(&r->lock);
	owner_stats(r->owner, clock_now_ms(), out);
	unlock_and_notify(r);
}
