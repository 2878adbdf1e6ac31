/*
 * Chooses the items that are begun for their due time. The load it answers: more items than the
 * places that online requests leave can finish in time, for longer than a peak. In the order of
 * their due times each would be begun at the last moment and finished a little late. So those due
 * first are passed over until the rest can be done; they run with what is left.
 */
#include <math.h>
#include "policy/ds_core.h"

/** Places left to items are averaged over about this long, in ms: several peaks of online requests
 * with the time between them. */
#define LEFT_OVER_MS 10000
/** A plan holds for so long, in ms: a small part of the shortest run. */
#define PLAN_MS 20

static void average_left_over(ds_t *d, service_t *s, deadline_t now)
{
	unsigned places = ds_places(d, s, now);
	unsigned online = ds_online(d, s);
	double left_over = places > online ? places - online : 0;

	if (s->averaged)
		left_over =
			s->left_over + (left_over - s->left_over) *
					       -expm1((double)(s->averaged - now) / LEFT_OVER_MS);
	s->left_over = left_over;
	s->averaged = now;
}

static bool is_begun(const ds_item_t *it)
{
	return it->ran_ms > 0 || it->state != ITEM_WAITING;
}

/* Begun items go before those that aren't. */
static void add_begun(const ds_item_t *list, deadline_t now)
{
	for (const ds_item_t *it = list; it; it = it->next) {
		if (is_begun(it) && ds_item_in_time(it, now))
			it->service->planned_ms += (double)ds_item_left(it, now);
	}
}

/* How much more work is due by some time than the places left to items can do by then. */
static void find_excess(const ds_item_t *waiting, deadline_t now)
{
	for (const ds_item_t *it = waiting; it; it = it->next) {
		service_t *s = it->service;

		if (is_begun(it) || !ds_item_in_time(it, now))
			continue;
		s->planned_ms += (double)ds_item_left(it, now);
		s->excess_ms =
			fmax(s->excess_ms, s->planned_ms - s->left_over * (double)(it->due - now));
	}
}

static void pass_over(ds_item_t *it, deadline_t now)
{
	service_t *s = it->service;
	int64_t left_ms = ds_item_left(it, now);

	it->passed_over = false;
	if (is_begun(it) || !ds_item_in_time(it, now))
		return;
	it->passed_over = s->excess_ms > 0 || it->due < now + left_ms + s->item_wait_ms;
	if (it->passed_over)
		s->excess_ms -= (double)left_ms;
}

void ds_plan(ds_t *d, deadline_t now)
{
	if (now < d->plan_at)
		return;
	d->plan_at = now + PLAN_MS;
	for (service_t *s = d->services; s; s = s->hh.next) {
		average_left_over(d, s, now);
		s->planned_ms = 0;
		s->excess_ms = 0;
	}
	add_begun(d->running, now);
	add_begun(d->waiting, now);
	find_excess(d->waiting, now);
	for (ds_item_t *it = d->waiting; it; it = it->next)
		pass_over(it, now);
}
