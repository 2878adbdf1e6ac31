/* Dispatcher: what it costs to run a request on a replica, as an estimate in microseconds of the
 * caller's time. Used for services of which a replica states how long work takes; for others
 * placement_cost() in dispatch_pick.c is. */
#include <string.h>
#include "policy/dispatch_internal.h"

/** Cost of the traffic between zones. */
#define OTHER_ZONE_US 8000
/** Cost of a replica whose slots are all in use: each further run makes the steps of all longer. */
#define FULL_US 16000
/** Cost of reading a prompt's shared beginning again on a replica that was not the last to be
 * granted it. */
#define OTHER_PREFIX_US 4000

/** Estimated time from the grant to the first event at the mean speed: the engine processes the
 * prompt in a few steps of some ms each. */
#define FIRST_EVENT_US 50000
/** Part of the additional time that a run holds its slot which counts as a cost: it delays later
 * callers, and its own caller's last event. */
#define HOLD_PART 4
/** Shortest delay for which a slow replica is left free. */
#define WAIT_MIN_US 1000
/** Share of the estimated wait for another slot that is added for its error, in percent. */
#define WAIT_MARGIN_PERCENT 125

static int64_t load_cost_us(const replica_t *r)
{
	return (int64_t)FULL_US * (r->online + r->items) / r->slots;
}

int64_t dispatch_cost_us(const dispatch_t *d, const waiter_t *q, const replica_t *r,
			 const replica_t *prefix_holder, str_t zone, deadline_t now)
{
	int64_t us = load_cost_us(r);

	if (!str_eq(str_c(r->zone), zone))
		us += OTHER_ZONE_US;
	if (prefix_holder && prefix_holder != r)
		us += OTHER_PREFIX_US;
	/* May be below 0: a replica faster than the mean. */
	us += (FIRST_EVENT_US + q->service->mean_hold_us / HOLD_PART) *
	      (replica_speed_factor(&r->speed, now) - SPEED_MEAN) / SPEED_MEAN;
	return us;
}

bool dispatch_should_wait(const waiter_t *q, const replica_t *r, deadline_t now)
{
	const service_t *s = q->service;
	int64_t factor = replica_speed_factor(&r->speed, now);
	int64_t wait_us = s->slots ? s->mean_hold_us * (s->waiting_ahead + 1) / s->slots : 0;
	int64_t by_us = wait_us * WAIT_MARGIN_PERCENT / 100 + WAIT_MIN_US;
	int64_t first_us = FIRST_EVENT_US < s->mean_hold_us ? FIRST_EVENT_US : s->mean_hold_us;
	int64_t objective_us = (q->req.objective - now) * 1000;
	int64_t deadline_us = (q->req.deadline - now) * 1000;

	if (!s->states_speed || !s->slots || factor <= SPEED_MEAN)
		return false;
	if (first_us * factor / SPEED_MEAN > objective_us && by_us + first_us <= objective_us)
		return true;
	return s->mean_hold_us * factor / SPEED_MEAN > deadline_us &&
	       by_us + s->mean_hold_us <= deadline_us;
}

bool dispatch_could_hold(const service_t *s, uint64_t tokens)
{
	return !s->states_speed || !s->memory_tokens || tokens <= s->memory_tokens;
}

bool dispatch_has_memory(const replica_t *r, uint64_t tokens)
{
	return dispatch_could_hold(r->service, r->tokens + tokens);
}

uint64_t dispatch_tokens_held(const dispatch_tokens_t *t)
{
	return (uint64_t)t->in + t->out_max;
}

void dispatch_item_hold_memory(dispatch_item_t *it, replica_t *r)
{
	if (it->memory_of)
		it->memory_of->tokens -= it->tokens;
	it->memory_of = r && it->tokens ? r : NULL;
	if (it->memory_of)
		r->tokens += it->tokens;
}
