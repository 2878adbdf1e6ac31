/* Fair shares between customers: virtual times, charges and the customers that are remembered. */
#include "policy/fair_share.h"

#include <assert.h>
#include <stdlib.h>
#include <uthash.h>
#include <utlist.h>

/** Cost of an output token; an input token costs 1. */
#define COST_OUT 10
/** Limit of a request's cost, so that one false statement shuts no customer out for long. */
#define COST_MAX 1000000
/** A customer is ahead of the service's virtual time by at most so many requests of mean cost. */
#define LEAD_REQUESTS 32
/** Customers without a request for this long are dropped. */
#define IDLE_MS 5000
/** A new sample moves a running mean by 1/MEAN_DIVISOR of its distance from the mean. */
#define MEAN_DIVISOR 32
/** Rounds of the search for the level; it changes little after a few. */
#define LEVEL_ROUNDS 8
/** Limit of a correction by the run's time, in multiples of the mean cost. */
#define CORRECTION_MAX 8

struct fair_customer {
	char *name;
	size_t name_n;
	unsigned weight;
	unsigned waiting;
	unsigned running;
	unsigned mark;
	int64_t virtual_time;
	deadline_t idle_since;
	fair_customer_t *prev; /* in f->idle */
	fair_customer_t *next;
	UT_hash_handle hh;
};

struct fair_share {
	fair_customer_t *customers;
	fair_customer_t *idle; /* without requests, the longest idle first */
	size_t nidle;
	int64_t virtual_time;
	int64_t mean_cost;
	int64_t mean_held_us; /* 0 until the first run ends */
	uint64_t running;
	deadline_t now; /* latest time that it was given */
	uint64_t weights; /* of the customers with requests */
	int64_t level; /* see fair_share_set_level */
};

fair_share_t *fair_share_new(void)
{
	fair_share_t *f = mem_new(sizeof(*f));

	f->mean_cost = FAIR_COST_DEFAULT;
	return f;
}

static void customer_free(fair_share_t *f, fair_customer_t *c)
{
	/* The customer is in the table. NOLINTNEXTLINE(clang-analyzer-*) */
	HASH_DEL(f->customers, c);
	free(c->name);
	free(c);
}

void fair_share_free(fair_share_t *f)
{
	if (!f)
		return;
	while (f->customers)
		customer_free(f, f->customers);
	free(f);
}

/* Each call that adds an idle customer drops up to two, so the cost is constant and the number of
 * expired ones shrinks. */
static void drop_idle(fair_share_t *f)
{
	for (unsigned i = 0; i < 2 && f->idle; i++) {
		fair_customer_t *c = f->idle;

		if (f->nidle <= FAIR_IDLE_MAX && f->now - c->idle_since < IDLE_MS)
			return;
		DL_DELETE(f->idle, c);
		f->nidle--;
		customer_free(f, c);
	}
}

fair_customer_t *fair_share_join(fair_share_t *f, str_t customer, unsigned weight, deadline_t now)
{
	fair_customer_t *c;

	assert(weight > 0);
	f->now = now;
	drop_idle(f);
	HASH_FIND(hh, f->customers, customer.p, customer.n, c);
	if (!c) {
		c = mem_new(sizeof(*c));
		c->name = str_dup(customer);
		c->name_n = customer.n;
		HASH_ADD_KEYPTR(hh, f->customers, c->name, c->name_n, c);
	} else if (c->waiting + c->running == 0) {
		DL_DELETE(f->idle, c);
		f->nidle--;
	} else {
		f->weights -= c->weight;
	}
	c->weight = weight;
	f->weights += weight;
	if (c->waiting == 0 && c->virtual_time < f->virtual_time)
		c->virtual_time = f->virtual_time;
	c->waiting++;
	return c;
}

static void note_idle(fair_share_t *f, fair_customer_t *c)
{
	if (c->waiting + c->running > 0)
		return;
	f->weights -= c->weight;
	c->idle_since = f->now;
	DL_APPEND(f->idle, c);
	f->nidle++;
	drop_idle(f);
}

void fair_share_leave(fair_share_t *f, fair_customer_t *c)
{
	assert(c->waiting > 0);
	c->waiting--;
	note_idle(f, c);
}

int64_t fair_share_step(const fair_customer_t *c, int64_t cost)
{
	return cost * FAIR_WEIGHT_ONE / c->weight;
}

int64_t fair_share_start(const fair_share_t *f, const fair_customer_t *c)
{
	return c->virtual_time > f->virtual_time ? c->virtual_time : f->virtual_time;
}

static void advance(const fair_share_t *f, fair_customer_t *c, int64_t to)
{
	int64_t most = f->virtual_time + LEAD_REQUESTS * fair_share_step(c, f->mean_cost);

	c->virtual_time = to < most ? to : most;
}

int64_t fair_share_grant(fair_share_t *f, fair_customer_t *c, int64_t cost, bool scarce)
{
	int64_t start = fair_share_start(f, c);

	assert(c->waiting > 0);
	c->waiting--;
	c->running++;
	f->running++;
	if (scarce)
		f->virtual_time = start;
	f->mean_cost += (cost - f->mean_cost) / MEAN_DIVISOR;
	if (f->mean_cost < 1)
		f->mean_cost = 1;
	advance(f, c, start + fair_share_step(c, cost));
	return cost;
}

void fair_share_end(fair_share_t *f, fair_customer_t *c, int64_t cost, int64_t held_ms,
		    bool completed, deadline_t now)
{
	int64_t took = cost;

	assert(c->running > 0);
	if (f->mean_held_us > 0)
		took = held_ms * 1000 * f->mean_cost / f->mean_held_us;
	if (took > CORRECTION_MAX * f->mean_cost)
		took = CORRECTION_MAX * f->mean_cost;
	if (completed)
		f->mean_held_us += f->mean_held_us
					   ? (held_ms * 1000 - f->mean_held_us) / MEAN_DIVISOR
					   : held_ms * 1000;
	advance(f, c, c->virtual_time + fair_share_step(c, took - cost));
	c->running--;
	f->running--;
	f->now = now;
	note_idle(f, c);
}

int64_t fair_share_cost(uint32_t tokens_in, uint32_t tokens_out)
{
	int64_t cost = (int64_t)tokens_in + (int64_t)COST_OUT * tokens_out;

	if (cost == 0)
		return FAIR_COST_DEFAULT;
	return cost < COST_MAX ? cost : COST_MAX;
}

unsigned *fair_share_mark(fair_customer_t *c)
{
	return &c->mark;
}

unsigned fair_share_running(const fair_customer_t *c)
{
	return c->running;
}

str_t fair_share_name(const fair_customer_t *c)
{
	return (str_t){c->name, c->name_n};
}

unsigned fair_share_permille(const fair_share_t *f, const fair_customer_t *c)
{
	return f->running ? (unsigned)(1000 * (uint64_t)c->running / f->running) : 0;
}

/* Water filling: customers that want less than the level get what they want, the others share the
 * rest. Each round raises the level by what the former leave. */
void fair_share_set_level(fair_share_t *f)
{
	int64_t slots = (int64_t)f->running * FAIR_WEIGHT_ONE;
	int64_t level = f->weights ? slots * FAIR_WEIGHT_ONE / (int64_t)f->weights : 0;

	for (unsigned round = 0; round < LEVEL_ROUNDS; round++) {
		int64_t left = slots;
		int64_t weights = 0;
		int64_t next;

		for (const fair_customer_t *c = f->customers; c; c = c->hh.next) {
			int64_t wants = (int64_t)(c->running + c->waiting) * FAIR_WEIGHT_ONE;

			if (wants * FAIR_WEIGHT_ONE <= level * (int64_t)c->weight)
				left -= wants;
			else
				weights += c->weight;
		}
		next = weights ? left * FAIR_WEIGHT_ONE / weights : INT64_MAX / FAIR_COST_DEFAULT;
		if (next <= level)
			break;
		level = next;
		if (!weights)
			break;
	}
	f->level = level;
}

int64_t fair_share_slots(const fair_share_t *f, const fair_customer_t *c)
{
	int64_t slots = f->level / FAIR_WEIGHT_ONE * c->weight / FAIR_WEIGHT_ONE;

	return slots > 0 ? slots : 1;
}

bool fair_share_is_over(const fair_share_t *f, const fair_customer_t *c)
{
	return c->running > fair_share_slots(f, c);
}

size_t fair_share_count(const fair_share_t *f)
{
	return HASH_COUNT(f->customers);
}
