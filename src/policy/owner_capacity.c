#include "policy/owner_internal.h"

#include <assert.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define MEAN_SHARE	 0.05 /* weight of a new value in a running mean */
#define STEP_WINDOW_MS	 2000
#define STEP_MIN_SAMPLES 16
#define STEP_NEAR	 0.05 /* how far below the bound full latency weight begins to shrink */
#define STEP_SHRINK	 0.75 /* over the bound; near it one batch stream goes */
#define STEP_GROW	 1 /* batch streams a window */
#define STEP_GROW_BELOW	 0.9 /* of the point where shrinking begins */
#define PEAK_SLICE_MS	 100
#define PEAK_DECAY	 0.99 /* a slice; halves in about 7 s */
#define RETRY_MIN_MS	 50
#define RETRY_MAX_MS	 30000
#define RETRY_UNKNOWN_MS 200
#define ALONE_HOLD_MS	 2000
#define ALONE_PAUSE_MS	 4000 /* from the end of one hold to the next */
#define QUANTILE_STEP	 0.95

static void mean_add(double *mean, double value)
{
	*mean = *mean == 0 ? value : *mean + MEAN_SHARE * (value - *mean);
}

void owner_capacity_init(owner_t *w, int64_t now_ms)
{
	w->step.window_ends_ms = now_ms + STEP_WINDOW_MS;
	w->step.batch_cap = w->options.slots;
	w->peak.slice_ends_ms = now_ms + PEAK_SLICE_MS;
}

static void roll_peak(owner_peak_t *p, int64_t now_ms)
{
	int64_t slices;

	if (now_ms < p->slice_ends_ms)
		return;
	slices = (now_ms - p->slice_ends_ms) / PEAK_SLICE_MS + 1;
	p->peak *= pow(PEAK_DECAY, (double)slices);
	p->slice_arrivals = 0;
	p->slice_ends_ms += slices * PEAK_SLICE_MS;
}

void owner_capacity_arrival(owner_t *w, int64_t now_ms)
{
	roll_peak(&w->peak, now_ms);
	w->peak.slice_arrivals++;
	if (w->peak.slice_arrivals > w->peak.peak)
		w->peak.peak = w->peak.slice_arrivals;
}

void owner_capacity_step(owner_t *w, int64_t step_us)
{
	w->step.sample_us[w->step.samples % OWNER_STEP_SAMPLES] = step_us;
	w->step.samples++;
}

void owner_capacity_ended(owner_t *w, const owner_run_t *r, int64_t now_ms)
{
	if (r->cancelling)
		mean_add(&w->cancel_ms, (double)(now_ms - r->cancelled_ms));
	else
		mean_add(&w->service_ms, (double)(now_ms - r->started_ms));
}

void owner_capacity_first_token(owner_t *w, const owner_run_t *r, int64_t now_ms)
{
	mean_add(&w->first_token_ms, (double)(now_ms - r->started_ms));
}

static int by_value(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static int64_t window_p95(owner_step_t *s)
{
	unsigned n = s->samples < OWNER_STEP_SAMPLES ? s->samples : OWNER_STEP_SAMPLES;

	qsort(s->sample_us, n, sizeof(*s->sample_us), by_value);
	return s->sample_us[(unsigned)((n - 1) * QUANTILE_STEP)];
}

static void follow_step(owner_t *w)
{
	owner_step_t *s = &w->step;
	double near =
		(double)w->options.step_bound_us * (1 - STEP_NEAR * w->options.latency_weight);
	unsigned batch = w->nrun - w->nonline;

	if (w->options.step_bound_us <= 0) {
		s->batch_cap = w->options.slots;
		return;
	}
	if (s->p95_us >= w->options.step_bound_us)
		s->batch_cap = fmin(s->batch_cap, batch) * STEP_SHRINK;
	else if ((double)s->p95_us >= near)
		s->batch_cap = fmax(fmin(s->batch_cap, batch) - 1, 0);
	else if ((double)s->p95_us < near * STEP_GROW_BELOW)
		s->batch_cap = fmin(s->batch_cap + STEP_GROW, w->options.slots);
}

void owner_capacity_tick(owner_t *w, int64_t now_ms)
{
	owner_step_t *s = &w->step;

	roll_peak(&w->peak, now_ms);
	if (now_ms < s->window_ends_ms)
		return;
	s->window_ends_ms = now_ms + STEP_WINDOW_MS;
	if (s->samples == 0)
		s->p95_us = 0;
	else if (s->samples >= STEP_MIN_SAMPLES)
		s->p95_us = window_p95(s);
	else
		return;
	s->samples = 0;
	follow_step(w);
}

/** Slots that free themselves soon because batch on them is, or will be, cancelled. */
static unsigned giving_way(const owner_t *w)
{
	if (w->options.preempt == OWNER_PREEMPT_NONE)
		return w->ncancelling;
	return w->nrun - w->nonline;
}

int64_t owner_capacity_wait_ms(const owner_t *w, unsigned place)
{
	unsigned soon = giving_way(w);
	unsigned free = w->nrun < w->options.slots && !w->alone ? w->options.slots - w->nrun : 0;
	unsigned others;

	if (w->alone && soon > 0)
		soon = w->options.slots;
	if (place < free)
		return 0;
	if (place < free + soon || w->nrun == 0)
		return (int64_t)w->cancel_ms;
	others = place - free - soon + 1;
	return (int64_t)(others * w->service_ms / w->nrun);
}

bool owner_capacity_meets_deadline(const owner_t *w, unsigned place, deadline_t deadline,
				   int64_t now_ms)
{
	int64_t need = owner_capacity_wait_ms(w, place) + (int64_t)w->first_token_ms;

	return deadline == DEADLINE_NEVER || now_ms + need <= deadline;
}

int64_t owner_capacity_retry_ms(const owner_t *w, unsigned place)
{
	int64_t wait = owner_capacity_wait_ms(w, place);

	if (w->closed || wait == 0)
		return RETRY_UNKNOWN_MS;
	if (wait < RETRY_MIN_MS)
		return RETRY_MIN_MS;
	return wait > RETRY_MAX_MS ? RETRY_MAX_MS : wait;
}

static unsigned kept_slots(const owner_t *w)
{
	unsigned peak;

	switch (w->options.reserve) {
	case OWNER_RESERVE_FIXED:
		return w->options.reserved_slots;
	case OWNER_RESERVE_PEAK:
		peak = (unsigned)lround(w->options.latency_weight * w->peak.peak);
		if (peak > w->options.slots / 2)
			peak = w->options.slots / 2;
		return peak > w->options.reserved_slots ? peak : w->options.reserved_slots;
	default:
		return 0;
	}
}

bool owner_capacity_admit_alone(owner_t *w, int64_t now_ms)
{
	if (w->closed || w->nqueue > 0)
		return false;
	if (w->nrun == 0) {
		w->batch_paused_until_ms = 0;
		return true;
	}
	if (!w->alone && now_ms >= w->next_pause_ms) {
		w->batch_paused_until_ms = now_ms + ALONE_HOLD_MS;
		w->next_pause_ms = w->batch_paused_until_ms + ALONE_PAUSE_MS;
	}
	return false;
}

unsigned owner_capacity_batch(const owner_t *w, int64_t now_ms)
{
	unsigned used = w->nrun + kept_slots(w);
	unsigned batch = w->nrun - w->nonline;
	unsigned cap = (unsigned)w->step.batch_cap;
	unsigned room;

	if (now_ms < w->batch_paused_until_ms)
		return 0;
	if (w->closed || w->alone || w->nqueue > 0 || used >= w->options.slots || batch >= cap)
		return 0;
	room = w->options.slots - used;
	return room < cap - batch ? room : cap - batch;
}
