/* Owner: starts, queues, refuses and preempts the streams of one replica. */
#include "policy/owner_internal.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include "base/str.h"

static int find_run(const owner_t *w, uint64_t id)
{
	for (unsigned i = 0; i < w->nrun; i++) {
		if (w->runs[i].id == id)
			return (int)i;
	}
	return -1;
}

/** Asserts the invariants that hold after each call except owner_update. */
static void check_invariants(const owner_t *w)
{
	unsigned online = 0;
	unsigned cancelling = 0;

	for (unsigned i = 0; i < w->nrun; i++) {
		online += w->runs[i].cls == OWNER_ONLINE;
		cancelling += w->runs[i].cancelling;
		assert(!w->runs[i].cancelling || w->runs[i].cls == OWNER_BATCH);
	}
	assert(online == w->nonline && cancelling == w->ncancelling);
	assert(w->nrun <= w->run_limit && w->run_limit >= w->options.slots);
	assert(w->started == w->ended + w->nrun);
	assert(!w->alone || w->nrun == 1);
	assert(!w->closed || w->nqueue == 0);
	assert(w->nqueue == 0 || w->alone || w->nrun >= w->options.slots);
	for (unsigned i = 1; i < w->nqueue; i++)
		assert(w->queue[i - 1].virtual_deadline <= w->queue[i].virtual_deadline);
}

static void check_options(const owner_options_t *o)
{
	assert(o->slots > 0 && o->start && o->cancel && o->refuse);
	assert(o->latency_weight >= 0 && o->latency_weight <= 1);
}

owner_t *owner_new(const owner_options_t *o, int64_t now_ms)
{
	owner_t *w = mem_new(sizeof(*w));

	check_options(o);
	w->options = *o;
	w->run_limit = o->slots;
	owner_capacity_init(w, now_ms);
	return w;
}

void owner_free(owner_t *w)
{
	if (!w)
		return;
	free(w->runs);
	free(w->queue);
	free(w);
}

static void start_stream(owner_t *w, const owner_stream_t *s, int64_t now_ms)
{
	assert(w->nrun < w->options.slots && !w->alone);
	assert(s->cls == OWNER_ONLINE || w->nqueue == 0);
	assert(!s->alone || w->nrun == 0);
	assert(find_run(w, s->id) < 0);
	if (w->nrun == w->run_cap) {
		w->run_cap = w->run_cap * 2 + 8;
		w->runs = mem_grow(w->runs, w->run_cap * sizeof(*w->runs));
	}
	w->runs[w->nrun++] =
		(owner_run_t){.id = s->id, .cls = s->cls, .alone = s->alone, .started_ms = now_ms};
	w->nonline += s->cls == OWNER_ONLINE;
	w->alone = s->alone;
	w->started++;
	w->options.start(w->options.ctx, s->id);
}

static bool has_free_slot(const owner_t *w)
{
	return w->nrun < w->options.slots && !w->alone;
}

static void start_queued(owner_t *w, int64_t now_ms)
{
	while (w->nqueue > 0 && has_free_slot(w)) {
		owner_stream_t s = w->queue[0].stream;

		owner_queue_remove(w, 0);
		start_stream(w, &s, now_ms);
	}
}

static owner_run_t *latest_batch_run(const owner_t *w)
{
	for (unsigned i = w->nrun; i > 0; i--) {
		owner_run_t *r = &w->runs[i - 1];

		if (r->cls == OWNER_BATCH && !r->cancelling)
			return r;
	}
	return NULL;
}

static void cancel_run(owner_t *w, owner_run_t *r, int64_t now_ms)
{
	assert(r->cls == OWNER_BATCH && !r->cancelling);
	r->cancelling = true;
	r->cancelled_ms = now_ms;
	w->ncancelling++;
	w->options.cancel(w->options.ctx, r->id);
}

/** If the options allow it, preempts batch streams, the latest started first, until as many are
 * being cancelled as streams are queued, or none is left. */
static void preempt_for_queue(owner_t *w, int64_t now_ms)
{
	owner_run_t *r;

	if (w->options.preempt == OWNER_PREEMPT_NONE)
		return;
	while (w->ncancelling < w->nqueue && (r = latest_batch_run(w)) != NULL) {
		cancel_run(w, r, now_ms);
		w->preempted++;
		assert(w->ncancelling <= w->nqueue);
	}
}

static owner_answer_t refuse_offer(owner_t *w, unsigned position, int64_t *retry_after_ms)
{
	w->refused++;
	*retry_after_ms = owner_capacity_retry_ms(w, position);
	return OWNER_REFUSED;
}

/** Starts a batch stream, or any stream with `alone` set, or refuses it; neither is queued. */
static owner_answer_t offer_unqueued(owner_t *w, const owner_stream_t *s, int64_t now_ms,
				     int64_t *retry_after_ms)
{
	bool admitted = s->alone ? owner_capacity_admit_alone(w, now_ms)
				 : owner_capacity_batch(w, now_ms) > 0;

	if (!admitted)
		return refuse_offer(w, w->nqueue, retry_after_ms);
	start_stream(w, s, now_ms);
	return OWNER_STARTED;
}

static owner_answer_t offer_online(owner_t *w, const owner_stream_t *s, int64_t now_ms,
				   int64_t *retry_after_ms)
{
	int64_t virtual_deadline;
	unsigned position = owner_queue_position(w, s, &virtual_deadline);

	owner_capacity_arrival(w, now_ms);
	if (w->closed || !owner_capacity_meets_deadline(w, position, s->deadline, now_ms))
		return refuse_offer(w, position, retry_after_ms);
	if (w->nqueue == 0 && has_free_slot(w)) {
		start_stream(w, s, now_ms);
		return OWNER_STARTED;
	}
	if (w->nqueue >= w->options.queue_max)
		return refuse_offer(w, w->nqueue, retry_after_ms);
	owner_queue_insert(w, s);
	preempt_for_queue(w, now_ms);
	return OWNER_QUEUED;
}

owner_answer_t owner_offer(owner_t *w, const owner_stream_t *s, int64_t now_ms,
			   int64_t *retry_after_ms)
{
	owner_answer_t answer;

	assert(find_run(w, s->id) < 0 && owner_queue_find(w, s->id) < 0);
	*retry_after_ms = 0;
	start_queued(w, now_ms); /* owner_update may have added slots */
	if (s->cls == OWNER_ONLINE && !s->alone)
		answer = offer_online(w, s, now_ms, retry_after_ms);
	else
		answer = offer_unqueued(w, s, now_ms, retry_after_ms);
	check_invariants(w);
	return answer;
}

static void remove_run(owner_t *w, unsigned at)
{
	owner_run_t *r = &w->runs[at];

	w->nonline -= r->cls == OWNER_ONLINE;
	w->ncancelling -= r->cancelling;
	if (r->alone)
		w->alone = false;
	w->nrun--;
	w->ended++;
	memmove(r, r + 1, (w->nrun - at) * sizeof(*r));
	if (w->run_limit > w->options.slots)
		w->run_limit = w->nrun > w->options.slots ? w->nrun : w->options.slots;
}

void owner_stream_ended(owner_t *w, uint64_t id, int64_t now_ms)
{
	int at = find_run(w, id);

	if (at < 0)
		return;
	owner_capacity_ended(w, &w->runs[at], now_ms);
	remove_run(w, (unsigned)at);
	start_queued(w, now_ms);
	check_invariants(w);
}

void owner_withdraw(owner_t *w, uint64_t id, int64_t now_ms)
{
	int at = owner_queue_find(w, id);

	if (at >= 0)
		owner_queue_remove(w, (unsigned)at);
	start_queued(w, now_ms); /* owner_update may have added slots */
	check_invariants(w);
}

void owner_record_token(owner_t *w, uint64_t id, int64_t step_us, int64_t now_ms)
{
	int at = find_run(w, id);

	if (at < 0)
		return;
	if (!w->runs[at].had_token) {
		w->runs[at].had_token = true;
		owner_capacity_first_token(w, &w->runs[at], now_ms);
	}
	if (step_us > 0)
		owner_capacity_step(w, step_us);
	owner_capacity_tick(w, now_ms);
}

static void refuse_queued(owner_t *w, unsigned at)
{
	uint64_t id = w->queue[at].stream.id;
	int64_t retry = owner_capacity_retry_ms(w, w->nqueue);

	owner_queue_remove(w, at);
	w->refused++;
	w->options.refuse(w->options.ctx, id, retry);
}

void owner_tick(owner_t *w, int64_t now_ms)
{
	unsigned at = 0;

	owner_capacity_tick(w, now_ms);
	start_queued(w, now_ms);
	preempt_for_queue(w, now_ms);
	while (at < w->nqueue) {
		if (owner_capacity_meets_deadline(w, at, w->queue[at].stream.deadline, now_ms))
			at++;
		else
			refuse_queued(w, at);
	}
	check_invariants(w);
}

void owner_update(owner_t *w, const owner_options_t *o)
{
	check_options(o);
	w->options = *o;
	w->run_limit = w->nrun > o->slots ? w->nrun : o->slots;
	if (w->step.batch_cap > o->slots)
		w->step.batch_cap = o->slots;
}

void owner_close(owner_t *w, bool cancel_batch, int64_t now_ms)
{
	owner_run_t *r;

	w->closed = true;
	while (w->nqueue > 0)
		refuse_queued(w, w->nqueue - 1);
	while (cancel_batch && (r = latest_batch_run(w)) != NULL)
		cancel_run(w, r, now_ms);
	check_invariants(w);
}

unsigned owner_batch_headroom(const owner_t *w, int64_t now_ms)
{
	return owner_capacity_batch(w, now_ms);
}

/** Number of slots for further online streams. With preemption, batch streams don't count as using
 * slots. */
static unsigned count_online_slots(const owner_t *w)
{
	unsigned taken = w->nqueue;

	if (w->closed)
		return 0;
	taken += w->options.preempt == OWNER_PREEMPT_NONE ? w->nrun : w->nonline;
	return taken < w->options.slots ? w->options.slots - taken : 0;
}

void owner_stats(const owner_t *w, int64_t now_ms, owner_stats_t *out)
{
	*out = (owner_stats_t){
		.running_online = w->nonline,
		.running_batch = w->nrun - w->nonline - w->ncancelling,
		.cancelling = w->ncancelling,
		.queued = w->nqueue,
		.free_slots = count_online_slots(w),
		.step_us = w->step.p95_us,
		.drain_ms = owner_capacity_wait_ms(w, w->nqueue),
		.first_token_ms = (int64_t)w->first_token_ms,
		.preempted = w->preempted,
		.refused = w->refused,
		.started = w->started,
	};
}
