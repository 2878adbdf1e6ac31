/* Owner: estimates of waiting times, and the number of batch streams that may run. */
#include "policy/owner_internal.h"

#include <assert.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define MEAN_SHARE 0.05 /* weight of a new sample in a running mean */

/* Step times, the times between two tokens, are collected in windows. At the end of a window, their
 * 95th percentile adjusts batch_cap, the limit on running batch streams. The near mark lies the
 * share STEP_NEAR * latency_weight below the bound, options.step_bound_us. At or over the bound,
 * the limit (or the number of running batch streams if lower) is multiplied by STEP_SHRINK; from
 * the near mark up to the bound, it is reduced by one; below STEP_GROW_BELOW times the near mark,
 * the limit grows by STEP_GROW streams. Without a bound, the limit is options.slots. Batch streams
 * that are being cancelled count as running. */
#define STEP_WINDOW_MS	 2000
#define STEP_MIN_SAMPLES 16 /* a window with fewer step times, but at least one, is extended */
#define STEP_QUANTILE	 0.95
#define STEP_NEAR	 0.05
#define STEP_SHRINK	 0.75
#define STEP_GROW	 1
#define STEP_GROW_BELOW	 0.9

/* The peak of online arrivals is counted in time slices. */
#define PEAK_SLICE_MS 100
#define PEAK_DECAY    0.99 /* for each slice; halves the peak in about 7 s */

#define RETRY_MIN_MS	 50
#define RETRY_MAX_MS	 30000
#define RETRY_UNKNOWN_MS 200 /* the owner is closed, or the estimated wait is 0 */

#define ALONE_PAUSE_MS 2000 /* how long other batch streams are paused for one that runs alone */
#define ALONE_GAP_MS   4000 /* from the end of such a pause to the next */

static void update_mean(double *mean, double value)
{
	*mean = *mean == 0 ? value : *mean + MEAN_SHARE * (value - *mean);
}

void owner_capacity_init(owner_t *w, int64_t now_ms)
{
	w->step.window_ends_ms = now_ms + STEP_WINDOW_MS;
	w->step.batch_cap = w->options.slots;
	w->peak.slice_ends_ms = now_ms + PEAK_SLICE_MS;
}

/** Lets the peak decay by the time slices that have passed. */
static void decay_peak(owner_peak_t *p, int64_t now_ms)
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
	decay_peak(&w->peak, now_ms);
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
		update_mean(&w->cancel_ms, (double)(now_ms - r->cancelled_ms));
	else
		update_mean(&w->service_ms, (double)(now_ms - r->started_ms));
}

void owner_capacity_first_token(owner_t *w, const owner_run_t *r, int64_t now_ms)
{
	update_mean(&w->first_token_ms, (double)(now_ms - r->started_ms));
}

static int compare_int64(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static int64_t window_p95(owner_step_t *s)
{
	unsigned n = s->samples < OWNER_STEP_SAMPLES ? s->samples : OWNER_STEP_SAMPLES;

	qsort(s->sample_us, n, sizeof(*s->sample_us), compare_int64);
	return s->sample_us[(unsigned)((n - 1) * STEP_QUANTILE)];
}

static void adjust_batch_cap(owner_t *w)
{
	owner_step_t *s = &w->step;
	double near_us =
		(double)w->options.step_bound_us * (1 - STEP_NEAR * w->options.latency_weight);
	unsigned batch = w->nrun - w->nonline;

	if (w->options.step_bound_us <= 0) {
		s->batch_cap = w->options.slots;
		return;
	}
	if (s->p95_us >= w->options.step_bound_us)
		s->batch_cap = fmin(s->batch_cap, batch) * STEP_SHRINK;
	else if ((double)s->p95_us >= near_us)
		s->batch_cap = fmax(fmin(s->batch_cap, batch) - 1, 0);
	else if ((double)s->p95_us < near_us * STEP_GROW_BELOW)
		s->batch_cap = fmin(s->batch_cap + STEP_GROW, w->options.slots);
}

void owner_capacity_tick(owner_t *w, int64_t now_ms)
{
	owner_step_t *s = &w->step;

	decay_peak(&w->peak, now_ms);
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
	adjust_batch_cap(w);
}

/** Number of batch streams that are being cancelled or would be preempted for online streams. */
static unsigned count_preemptible(const owner_t *w)
{
	if (w->options.preempt == OWNER_PREEMPT_NONE)
		return w->ncancelling;
	return w->nrun - w->nonline;
}

int64_t owner_capacity_wait_ms(const owner_t *w, unsigned position)
{
	unsigned preemptible = count_preemptible(w);
	unsigned free = w->nrun < w->options.slots && !w->alone ? w->options.slots - w->nrun : 0;
	unsigned ends_needed;

	/* The end of a stream that runs alone frees all slots. */
	if (w->alone && preemptible > 0)
		preemptible = w->options.slots;
	if (position < free)
		return 0;
	if (position < free + preemptible || w->nrun == 0)
		return (int64_t)w->cancel_ms;
	ends_needed = position - free - preemptible + 1;
	return (int64_t)(ends_needed * w->service_ms / w->nrun);
}

bool owner_capacity_meets_deadline(const owner_t *w, unsigned position, deadline_t deadline,
				   int64_t now_ms)
{
	int64_t need_ms = owner_capacity_wait_ms(w, position) + (int64_t)w->first_token_ms;

	return deadline == DEADLINE_NEVER || now_ms + need_ms <= deadline;
}

int64_t owner_capacity_retry_ms(const owner_t *w, unsigned position)
{
	int64_t wait_ms = owner_capacity_wait_ms(w, position);

	if (w->closed || wait_ms == 0)
		return RETRY_UNKNOWN_MS;
	if (wait_ms < RETRY_MIN_MS)
		return RETRY_MIN_MS;
	return wait_ms > RETRY_MAX_MS ? RETRY_MAX_MS : wait_ms;
}

/** Slots that batch streams leave free for online streams. */
static unsigned count_reserved(const owner_t *w)
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
		w->batch_paused_until_ms = now_ms + ALONE_PAUSE_MS;
		w->next_pause_ms = w->batch_paused_until_ms + ALONE_GAP_MS;
	}
	return false;
}

unsigned owner_capacity_batch(const owner_t *w, int64_t now_ms)
{
	unsigned unavailable = w->nrun + count_reserved(w);
	unsigned batch = w->nrun - w->nonline;
	unsigned cap = (unsigned)w->step.batch_cap;
	unsigned free_slots;

	if (now_ms < w->batch_paused_until_ms)
		return 0;
	if (w->closed || w->alone || w->nqueue > 0 || unavailable >= w->options.slots ||
	    batch >= cap)
		return 0;
	free_slots = w->options.slots - unavailable;
	return free_slots < cap - batch ? free_slots : cap - batch;
}
