#include "entry/ro.h"

#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>
#include "base/lg.h"
#include "base/mx.h"
#include "base/tr.h"
#include "entry/ro_engine.h"

/* A cancel may overtake its stream's request: it is sent again after so many tokens. */
#define RESEND_CANCEL_TOKENS 3
/* Without ownership a stream may wait in the engine's own queue. */
#define FIRST_UNOWNED_MS 30000

struct ro {
	atomic_int refs;
	en_t *en;
	char *id;
	char *addr;
	uint64_t fence;
	void *ctx;
	void (*health)(void *ctx, bool ok);
	pthread_mutex_t lock; /* guards all below */
	int64_t stall_ms;
	ow_t *ow;
	bool closed;
	mx_t *step_us;
	ro_stream_t *streams; /* hash by id */
	ro_stream_t *ended; /* taken out under the lock, told after it */
};

static atomic_ullong last_stream_id;

static ro_stream_t *find(ro_t *r, uint64_t id)
{
	ro_stream_t *s;

	HASH_FIND(hh, r->streams, &id, sizeof(id), s);
	return s;
}

static void take_out(ro_t *r, ro_stream_t *s, rn_kind_t kind, int64_t retry_after_ms)
{
	HASH_DEL(r->streams, s);
	s->kind = kind;
	s->retry_after_ms = retry_after_ms;
	DL_APPEND(r->ended, s);
}

static void drop_refs(ro_t *r, int n)
{
	if (atomic_fetch_sub(&r->refs, n) != n)
		return;
	assert(!r->streams && !r->ended);
	ow_free(r->ow);
	pthread_mutex_destroy(&r->lock);
	free(r->id);
	free(r->addr);
	free(r);
}

/* Tells the sinks of streams that ended under the lock, which it gives back. */
static void unlock(ro_t *r)
{
	int n = 0;
	ro_stream_t *list = r->ended;
	ro_stream_t *s;
	ro_stream_t *next;

	r->ended = NULL;
	pthread_mutex_unlock(&r->lock);
	DL_FOREACH_SAFE(list, s, next)
	{
		rn_end_t end = {s->kind, s->retry_after_ms, str_buf(&s->message)};

		tr_end(&s->span, str_c(s->key), rn_kind_name(s->kind));
		s->sink.end(s->sink.ctx, &end);
		ro_stream_free(s);
		n++;
	}
	if (n)
		drop_refs(r, n);
}

static void on_token(void *ctx, ro_stream_t *s, unsigned index, str_t text)
{
	ro_t *r = ctx;
	int64_t now_us = clk_now_us();
	int64_t step_us = s->last_token_us ? now_us - s->last_token_us : 0;

	pthread_mutex_lock(&r->lock);
	ow_token(r->ow, s->id, step_us, now_us / 1000);
	s->last_token_us = now_us;
	if (step_us)
		mx_record(r->step_us, step_us);
	if (s->stopping && ++s->after_stop % RESEND_CANCEL_TOKENS == 0)
		ro_engine_cancel(r->en->ec, r->addr, s);
	unlock(r);
	s->sink.token(s->sink.ctx, index, text);
	if (step_us == 0)
		r->health(r->ctx, true);
}

static void on_stream_end(void *ctx, ro_stream_t *s, rn_kind_t kind)
{
	ro_t *r = ctx;

	bool failed;

	ro_ref(r); /* the stream's own reference ends with it */
	pthread_mutex_lock(&r->lock);
	if (s->stopping && (kind == RN_LOST || kind == RN_STALLED))
		kind = s->stop_kind;
	if (kind == RN_REFUSED) /* an old fence, perhaps */
		atomic_store(&r->en->view_wanted, true);
	failed =
		kind == RN_LOST || kind == RN_STALLED || kind == RN_CROSSED || kind == RN_UNREACHED;
	if (kind == RN_STALLED || kind == RN_CROSSED)
		ro_engine_cancel(r->en->ec, r->addr, s);
	ow_ended(r->ow, s->id, clk_now_ms());
	take_out(r, s, kind, 0);
	unlock(r);
	if (failed)
		r->health(r->ctx, false);
	ro_unref(r);
}

static void start(void *ctx, uint64_t id)
{
	ro_t *r = ctx;
	ro_stream_t *s = find(r, id);
	const ro_engine_options_t o = {.ec = r->en->ec,
				       .addr = r->addr,
				       .fence = r->fence,
				       .stall_ms = r->stall_ms,
				       .first_ms = r->fence ? 0 : FIRST_UNOWNED_MS,
				       .ctx = r,
				       .token = on_token,
				       .end = on_stream_end};

	assert(s && !s->started);
	if (r->fence && !en_lease_valid(r->en->snap)) {
		s->unstartable = true;
		return;
	}
	s->started = true;
	lg(LG_INFO, "dispatched", LG_C("key", s->key), LG_C("upstream", r->id),
	   LG_C("attempt", s->attempt), LG_I("from", s->next_index));
	ro_engine_start(&o, s);
}

static void cancel(void *ctx, uint64_t id)
{
	ro_t *r = ctx;
	ro_stream_t *s = find(r, id);

	if (!s || s->stopping)
		return;
	s->stopping = true;
	s->stop_kind = RN_PREEMPTED;
	lg(LG_INFO, "preempted", LG_S("key", str_c(s->key)), LG_C("upstream", r->id),
	   LG_C("attempt", s->attempt), LG_I("tokens", s->next_index));
	MX_COUNT("auburn_preempted_total");
	ro_engine_cancel(r->en->ec, r->addr, s);
}

static void refuse(void *ctx, uint64_t id, int64_t retry_after_ms)
{
	ro_t *r = ctx;
	ro_stream_t *s = find(r, id);

	if (s)
		take_out(r, s, RN_REFUSED, retry_after_ms);
}

/* Ends streams whose start was not allowed, because the lease is over. */
static void drop_unstartable(ro_t *r)
{
	ro_stream_t *s;
	ro_stream_t *next;
	bool again = true;

	while (again) {
		again = false;
		HASH_ITER (hh, r->streams, s, next) {
			if (!s->unstartable)
				continue;
			take_out(r, s, RN_REFUSED, 0);
			ow_ended(r->ow, s->id, clk_now_ms());
			again = true;
			break;
		}
	}
}

static ow_options_t with_callbacks(ro_t *r, const ow_options_t *policy)
{
	ow_options_t o = *policy;

	o.ctx = r;
	o.start = start;
	o.cancel = cancel;
	o.refuse = refuse;
	return o;
}

ro_t *ro_new(const ro_options_t *o)
{
	ro_t *r = mem_new(sizeof(*r));
	ow_options_t policy = with_callbacks(r, &o->policy);

	atomic_init(&r->refs, 1);
	r->en = o->en;
	r->id = str_dup(str_c(o->id));
	r->addr = str_dup(str_c(o->addr));
	r->fence = o->fence;
	r->stall_ms = o->stall_ms;
	r->ctx = o->ctx;
	r->health = o->health;
	pthread_mutex_init(&r->lock, NULL);
	r->step_us = mx_get(MX_HISTOGRAM, "auburn_step_us", NULL);
	r->ow = ow_new(&policy, clk_now_ms());
	return r;
}

ro_t *ro_ref(ro_t *r)
{
	if (r)
		atomic_fetch_add(&r->refs, 1);
	return r;
}

void ro_unref(ro_t *r)
{
	if (r)
		drop_refs(r, 1);
}

void ro_update(ro_t *r, const ow_options_t *policy, int64_t stall_ms)
{
	ow_options_t o = with_callbacks(r, policy);

	pthread_mutex_lock(&r->lock);
	r->stall_ms = stall_ms;
	ow_update(r->ow, &o);
	unlock(r);
}

uint64_t ro_fence(const ro_t *r)
{
	return r->fence;
}

static ro_stream_t *new_stream(ro_t *r, const rn_work_t *w, const rn_sink_t *sink)
{
	uint64_t id = atomic_fetch_add(&last_stream_id, 1) + 1;
	ro_stream_t *s = ro_stream_new(id, w, sink);

	snprintf(s->attempt, sizeof(s->attempt), "%" PRIx64 "-%" PRIu64, r->en->boot, id);
	return s;
}

ow_answer_t ro_offer(ro_t *r, const rn_work_t *w, const rn_sink_t *sink, uint64_t *id,
		     int64_t *retry_after_ms)
{
	ro_stream_t *s = new_stream(r, w, sink);
	ow_stream_t os = {.id = s->id,
			  .cls = w->cls,
			  .deadline = w->deadline,
			  .caller = str_hash(w->caller),
			  .alone = w->alone};
	ow_answer_t a = OW_REFUSED;

	*id = s->id;
	*retry_after_ms = 0;
	pthread_mutex_lock(&r->lock);
	if (!r->closed && (!r->fence || en_lease_valid(r->en->snap))) {
		HASH_ADD(hh, r->streams, id, sizeof(s->id), s);
		ro_ref(r);
		a = ow_offer(r->ow, &os, clk_now_ms(), retry_after_ms);
		if (a == OW_REFUSED && find(r, *id)) {
			HASH_DEL(r->streams, s);
			atomic_fetch_sub(&r->refs, 1);
		}
		drop_unstartable(r);
	}
	unlock(r);
	if (a == OW_REFUSED)
		ro_stream_free(s);
	return a;
}

void ro_stop(ro_t *r, uint64_t id)
{
	ro_stream_t *s;

	pthread_mutex_lock(&r->lock);
	s = find(r, id);
	if (s && !s->started) {
		ow_withdraw(r->ow, id, clk_now_ms());
		take_out(r, s, RN_CANCELLED, 0);
	} else if (s && !s->stopping) {
		s->stopping = true;
		s->stop_kind = RN_CANCELLED;
		ro_engine_cancel(r->en->ec, r->addr, s);
	}
	unlock(r);
}

bool ro_preempt_one(ro_t *r)
{
	ro_stream_t *s;
	ro_stream_t *next;
	ro_stream_t *newest = NULL;

	pthread_mutex_lock(&r->lock);
	HASH_ITER (hh, r->streams, s, next)
		if (s->cls == OW_BATCH && !s->stopping && (!newest || s->id > newest->id))
			newest = s;
	if (newest)
		cancel(r, newest->id);
	unlock(r);
	return newest != NULL;
}

void ro_tick(ro_t *r)
{
	pthread_mutex_lock(&r->lock);
	ow_tick(r->ow, clk_now_ms());
	drop_unstartable(r);
	unlock(r);
}

void ro_close(ro_t *r, bool cancel_batch)
{
	pthread_mutex_lock(&r->lock);
	if (!r->closed) {
		r->closed = true;
		ow_close(r->ow, cancel_batch, clk_now_ms());
	}
	unlock(r);
}

unsigned ro_batch_room(ro_t *r)
{
	unsigned n;

	pthread_mutex_lock(&r->lock);
	n = r->closed ? 0 : ow_batch_room(r->ow, clk_now_ms());
	unlock(r);
	return n;
}

void ro_stats(ro_t *r, ow_stats_t *out)
{
	pthread_mutex_lock(&r->lock);
	ow_stats(r->ow, clk_now_ms(), out);
	unlock(r);
}
