#include "policy/ow_core.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include "base/str.h"

static int find_run(const ow_t *w, uint64_t id)
{
	for (unsigned i = 0; i < w->nrun; i++) {
		if (w->run[i].id == id)
			return (int)i;
	}
	return -1;
}

/** Invariants that hold between any two calls. */
static void check(const ow_t *w)
{
	unsigned online = 0;
	unsigned cancelling = 0;

	for (unsigned i = 0; i < w->nrun; i++) {
		online += w->run[i].cls == OW_ONLINE;
		cancelling += w->run[i].cancelling;
		assert(!w->run[i].cancelling || w->run[i].cls == OW_BATCH);
	}
	assert(online == w->nonline && cancelling == w->ncancelling);
	assert(w->nrun <= w->ceiling && w->ceiling >= w->o.slots);
	assert(w->started == w->ended + w->nrun);
	assert(!w->alone || w->nrun == 1);
	assert(!w->closed || w->nqueue == 0);
	assert(w->nqueue == 0 || w->alone || w->nrun >= w->o.slots);
	for (unsigned i = 1; i < w->nqueue; i++)
		assert(w->queue[i - 1].turn <= w->queue[i].turn);
}

static void check_options(const ow_options_t *o)
{
	assert(o->slots > 0 && o->start && o->cancel && o->refuse);
	assert(o->latency_weight >= 0 && o->latency_weight <= 1);
}

ow_t *ow_new(const ow_options_t *o, int64_t now_ms)
{
	ow_t *w = mem_new(sizeof(*w));

	check_options(o);
	w->o = *o;
	w->ceiling = o->slots;
	ow_room_init(w, now_ms);
	return w;
}

void ow_free(ow_t *w)
{
	if (!w)
		return;
	free(w->run);
	free(w->queue);
	free(w);
}

static void start(ow_t *w, const ow_stream_t *s, int64_t now_ms)
{
	assert(w->nrun < w->o.slots && !w->alone);
	assert(s->cls == OW_ONLINE || w->nqueue == 0);
	assert(!s->alone || w->nrun == 0);
	assert(find_run(w, s->id) < 0);
	if (w->nrun == w->run_cap) {
		w->run_cap = w->run_cap * 2 + 8;
		w->run = mem_grow(w->run, w->run_cap * sizeof(*w->run));
	}
	w->run[w->nrun++] =
		(ow_run_t){.id = s->id, .cls = s->cls, .alone = s->alone, .started_ms = now_ms};
	w->nonline += s->cls == OW_ONLINE;
	w->alone = s->alone;
	w->started++;
	w->o.start(w->o.ctx, s->id);
}

static bool slot_free(const ow_t *w)
{
	return w->nrun < w->o.slots && !w->alone;
}

static void start_waiting(ow_t *w, int64_t now_ms)
{
	while (w->nqueue > 0 && slot_free(w)) {
		ow_stream_t s = w->queue[0].s;

		ow_queue_remove(w, 0);
		start(w, &s, now_ms);
	}
}

static ow_run_t *youngest_batch(const ow_t *w)
{
	for (unsigned i = w->nrun; i > 0; i--) {
		ow_run_t *r = &w->run[i - 1];

		if (r->cls == OW_BATCH && !r->cancelling)
			return r;
	}
	return NULL;
}

static void cancel(ow_t *w, ow_run_t *r, int64_t now_ms)
{
	assert(r->cls == OW_BATCH && !r->cancelling);
	r->cancelling = true;
	r->cancelled_ms = now_ms;
	w->ncancelling++;
	w->o.cancel(w->o.ctx, r->id);
}

/** Cancels one batch stream for each waiting stream that has none giving way yet. */
static void make_room(ow_t *w, int64_t now_ms)
{
	ow_run_t *r;

	if (w->o.preempt == OW_PREEMPT_NONE)
		return;
	while (w->ncancelling < w->nqueue && (r = youngest_batch(w)) != NULL) {
		cancel(w, r, now_ms);
		w->preempted++;
		assert(w->ncancelling <= w->nqueue);
	}
}

static ow_answer_t refuse_offer(ow_t *w, unsigned place, int64_t *retry_after_ms)
{
	w->refused++;
	*retry_after_ms = ow_room_retry_ms(w, place);
	return OW_REFUSED;
}

/** Batch, and any stream that runs alone: starts now or is refused. */
static ow_answer_t offer_now(ow_t *w, const ow_stream_t *s, int64_t now_ms, int64_t *retry_after_ms)
{
	bool room = s->alone ? ow_room_alone(w, now_ms) : ow_room_batch(w, now_ms) > 0;

	if (!room)
		return refuse_offer(w, w->nqueue, retry_after_ms);
	start(w, s, now_ms);
	return OW_STARTED;
}

static ow_answer_t offer_online(ow_t *w, const ow_stream_t *s, int64_t now_ms,
				int64_t *retry_after_ms)
{
	int64_t turn;
	unsigned place = ow_queue_place(w, s, &turn);

	ow_room_arrival(w, now_ms);
	if (w->closed || !ow_room_makes(w, place, s->deadline, now_ms))
		return refuse_offer(w, place, retry_after_ms);
	if (w->nqueue == 0 && slot_free(w)) {
		start(w, s, now_ms);
		return OW_STARTED;
	}
	if (w->nqueue >= w->o.queue_max)
		return refuse_offer(w, w->nqueue, retry_after_ms);
	ow_queue_insert(w, s);
	make_room(w, now_ms);
	return OW_QUEUED;
}

ow_answer_t ow_offer(ow_t *w, const ow_stream_t *s, int64_t now_ms, int64_t *retry_after_ms)
{
	ow_answer_t a;

	assert(find_run(w, s->id) < 0 && ow_queue_find(w, s->id) < 0);
	*retry_after_ms = 0;
	start_waiting(w, now_ms); /* ow_update may have given slots */
	if (s->cls == OW_ONLINE && !s->alone)
		a = offer_online(w, s, now_ms, retry_after_ms);
	else
		a = offer_now(w, s, now_ms, retry_after_ms);
	check(w);
	return a;
}

static void remove_run(ow_t *w, unsigned at)
{
	ow_run_t *r = &w->run[at];

	w->nonline -= r->cls == OW_ONLINE;
	w->ncancelling -= r->cancelling;
	if (r->alone)
		w->alone = false;
	w->nrun--;
	w->ended++;
	memmove(r, r + 1, (w->nrun - at) * sizeof(*r));
	if (w->ceiling > w->o.slots)
		w->ceiling = w->nrun > w->o.slots ? w->nrun : w->o.slots;
}

void ow_ended(ow_t *w, uint64_t id, int64_t now_ms)
{
	int at = find_run(w, id);

	if (at < 0)
		return;
	ow_room_ended(w, &w->run[at], now_ms);
	remove_run(w, (unsigned)at);
	start_waiting(w, now_ms);
	check(w);
}

void ow_withdraw(ow_t *w, uint64_t id, int64_t now_ms)
{
	int at = ow_queue_find(w, id);

	if (at >= 0)
		ow_queue_remove(w, (unsigned)at);
	start_waiting(w, now_ms);
	check(w);
}

void ow_token(ow_t *w, uint64_t id, int64_t step_us, int64_t now_ms)
{
	int at = find_run(w, id);

	if (at < 0)
		return;
	if (!w->run[at].had_token) {
		w->run[at].had_token = true;
		ow_room_first(w, &w->run[at], now_ms);
	}
	if (step_us > 0)
		ow_room_step(w, step_us);
	ow_room_tick(w, now_ms);
}

static void refuse_waiting(ow_t *w, unsigned at)
{
	uint64_t id = w->queue[at].s.id;
	int64_t retry = ow_room_retry_ms(w, w->nqueue);

	ow_queue_remove(w, at);
	w->refused++;
	w->o.refuse(w->o.ctx, id, retry);
}

void ow_tick(ow_t *w, int64_t now_ms)
{
	unsigned at = 0;

	ow_room_tick(w, now_ms);
	start_waiting(w, now_ms);
	make_room(w, now_ms);
	while (at < w->nqueue) {
		if (ow_room_makes(w, at, w->queue[at].s.deadline, now_ms))
			at++;
		else
			refuse_waiting(w, at);
	}
	check(w);
}

void ow_update(ow_t *w, const ow_options_t *o)
{
	check_options(o);
	w->o = *o;
	w->ceiling = w->nrun > o->slots ? w->nrun : o->slots;
	if (w->step.batch_cap > o->slots)
		w->step.batch_cap = o->slots;
}

void ow_close(ow_t *w, bool cancel_batch, int64_t now_ms)
{
	ow_run_t *r;

	w->closed = true;
	while (w->nqueue > 0)
		refuse_waiting(w, w->nqueue - 1);
	while (cancel_batch && (r = youngest_batch(w)) != NULL)
		cancel(w, r, now_ms);
	check(w);
}

unsigned ow_batch_room(const ow_t *w, int64_t now_ms)
{
	return ow_room_batch(w, now_ms);
}

static unsigned online_slots(const ow_t *w)
{
	unsigned taken = w->nqueue;

	if (w->closed)
		return 0;
	taken += w->o.preempt == OW_PREEMPT_NONE ? w->nrun : w->nonline;
	return taken < w->o.slots ? w->o.slots - taken : 0;
}

void ow_stats(const ow_t *w, int64_t now_ms, ow_stats_t *out)
{
	*out = (ow_stats_t){
		.running_online = w->nonline,
		.running_batch = w->nrun - w->nonline - w->ncancelling,
		.cancelling = w->ncancelling,
		.queued = w->nqueue,
		.free_slots = online_slots(w),
		.step_us = w->step.p95_us,
		.drain_ms = ow_room_wait_ms(w, w->nqueue),
		.first_ms = (int64_t)w->first_ms,
		.preempted = w->preempted,
		.refused = w->refused,
		.started = w->started,
	};
}
