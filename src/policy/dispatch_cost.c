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
 * granted it, for requests that do not state the tokens of their parts. */
#define OTHER_PREFIX_US 4000

/** Estimated time from the grant to the first event at the mean speed: the engine processes the
 * prompt in a few steps of some ms each. */
#define FIRST_EVENT_US 50000
/** Part of the additional time that a run holds its slot which counts as a cost: it delays later
 * callers, and its own caller's last event. */
#define HOLD_PART 4
/** Smaller differences of speed, in thousandths, change nothing: means of a few runs differ as much
 * between equal replicas, and to follow them filled some while others had free slots. */
#define SPEED_NOISE 200
/** A saving of less time changes nothing: the estimate of the wait is no better, as another run on
 * the replica costs as much. */
#define SAVING_MIN_US 2000
/** With less than 1/SPREAD_PART of a replica's slots free, savings there count less, down to
 * 1/SAVING_LEAST_PART at the last slot: so that a prompt that many requests share is cached by
 * another replica before all slots of the first are in use. */
#define SPREAD_PART	  2
#define SAVING_LEAST_PART 16

/** Upper bound of the expected wait for earlier prefills, so that a wrong estimate keeps no replica
 * from work. */
#define BACKLOG_MAX_US 500000

/** With this many replicas or more, only the few that prompt_cache_find() returns count as holding
 * a part: looking up 16 parts on each of 96 replicas took 330 us. */
#define LOOK_UP_BELOW 128

static int64_t backlog_us(const replica_t *r, deadline_t now)
{
	int64_t us = r->prefill_until_us - now * 1000;

	if (us < 0)
		return 0;
	return us < BACKLOG_MAX_US ? us : BACKLOG_MAX_US;
}

/* Estimates the time until the replica has prefilled what it does not have cached of the prompt; it
 * prefills the prompts granted before first. A saving is not counted if it is small, and counts
 * less on a replica with few free slots. */
static int64_t prefill_us(const dispatch_t *d, const prompt_chain_t *prompt, const replica_t *r,
			  bool may_hold, deadline_t now)
{
	int64_t all = prompt->tokens * d->prefill_ns / 1000 + backlog_us(r, now);
	int64_t held = may_hold ? prompt_cache_held(d->prompts, r->prompts, prompt, now) : 0;
	int64_t saved = held * d->prefill_ns / 1000;
	unsigned used = r->online + r->items + 1;
	unsigned free = used < r->slots ? r->slots - used : 0; /* after the grant */

	if (saved < SAVING_MIN_US)
		return all;
	if (free * SPREAD_PART < r->slots) {
		int64_t counted = saved * free * SPREAD_PART / r->slots;

		saved = counted > saved / SAVING_LEAST_PART ? counted : saved / SAVING_LEAST_PART;
	}
	return all - saved;
}

int64_t dispatch_prompt_granted(dispatch_t *d, const prompt_chain_t *prompt, int64_t tokens,
				replica_t *r, deadline_t now)
{
	uint32_t held;

	if (!r->service->states_speed || !d->weighing.prompts || tokens <= 0)
		return 0;
	if (!d->prompts)
		d->prompts = prompt_cache_new(PROMPT_CACHE_PARTS_MAX);
	if (!r->prompts)
		r->prompts = prompt_cache_add(d->prompts, r, 0);
	if (prompt && prompt->n > 0) {
		d->prompt_tokens += prompt->tokens;
		held = prompt_cache_held(d->prompts, r->prompts, prompt, now);
		d->prompt_tokens_held += held;
		r->prefill_until_us = now * 1000 + backlog_us(r, now) +
				      (prompt->tokens - held) * d->prefill_ns / 1000;
		prompt_cache_record(d->prompts, r->prompts, prompt, now);
		tokens -= (int64_t)prompt->tokens + prompt->out;
	}
	if (tokens <= 0)
		return 0;
	prompt_cache_reserve(d->prompts, r->prompts, tokens);
	return tokens;
}

void dispatch_prompt_release(dispatch_t *d, replica_t *r, int64_t tokens)
{
	if (tokens > 0)
		prompt_cache_reserve(d->prompts, r->prompts, -tokens);
}

void dispatch_prompts_forget(dispatch_t *d, replica_t *r)
{
	if (r->prompts)
		prompt_cache_forget(d->prompts, r->prompts);
}

static int64_t load_cost_us(const replica_t *r)
{
	return (int64_t)FULL_US * (r->online + r->items) / r->slots;
}

/* How much slower than the mean the replica is, in thousandths beyond SPEED_NOISE; below 0: faster.
 */
static int64_t slow_down(const replica_t *r, deadline_t now)
{
	int64_t x = replica_speed_factor(&r->speed, now) - SPEED_MEAN;

	if (x > SPEED_NOISE)
		return x - SPEED_NOISE;
	return x < -SPEED_NOISE ? x + SPEED_NOISE : 0;
}

int64_t dispatch_cost_us(const dispatch_t *d, const waiter_t *q, const replica_t *r,
			 const replica_t *prefix_holder, str_t zone, deadline_t now)
{
	int64_t us = load_cost_us(r);

	if (!str_eq(str_c(r->zone), zone))
		us += OTHER_ZONE_US;
	if (q->prompt.n > 0 && d->weighing.prompts)
		us += prefill_us(d, &q->prompt, r,
				 HASH_COUNT(d->replicas) < LOOK_UP_BELOW ||
					 r->match_number == d->match_number,
				 now);
	else if (prefix_holder && prefix_holder != r)
		us += OTHER_PREFIX_US;
	if (d->weighing.speed)
		us += (FIRST_EVENT_US + q->service->mean_hold_us / HOLD_PART) * slow_down(r, now) /
		      SPEED_MEAN;
	return us;
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

int64_t dispatch_item_cost_us(const dispatch_t *d, const dispatch_item_t *it, const replica_t *r,
			      deadline_t now)
{
	return load_cost_us(r) + prefill_us(d, it->prompt, r, true, now);
}
