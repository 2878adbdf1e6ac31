/* Dispatcher: the order of waiting requests by the fair shares of their customers. In each
 * placement pass, the requests of a rank and a priority are collected by customer, and a heap of
 * the customers yields them in the order of their virtual times. */
#include <stdlib.h>
#include "policy/dispatch_internal.h"

/** A service is served by fair shares until it has had no request of a customer for this long:
 * longer than callers wait. */
#define RECENT_MS 5000

static int64_t cost_of(const waiter_t *q)
{
	return fair_share_cost(q->req.tokens.in, q->req.tokens.out);
}

void dispatch_fair_join(waiter_t *q, deadline_t now)
{
	service_t *s = q->service;

	q->since = now;
	if (q->req.customer.n > 0) {
		s->fair_until = now + RECENT_MS;
		if (!s->fair)
			s->fair = fair_share_new();
	}
	if (s->fair)
		q->fair = fair_share_join(s->fair, q->req.customer, FAIR_WEIGHT_ONE, now);
}

bool dispatch_is_fair(const service_t *s, deadline_t now)
{
	return s->fair && now < s->fair_until;
}

static bool served_before(const fair_turn_t *a, const fair_turn_t *b)
{
	if (a->start != b->start)
		return a->start < b->start;
	if (a->running != b->running)
		return a->running < b->running;
	return a->first && b->first && a->first->since < b->first->since;
}

static void sift_down(service_t *s, unsigned i)
{
	for (;;) {
		unsigned least = i;
		fair_turn_t t = s->turns[i];

		for (unsigned child = 2 * i + 1; child <= 2 * i + 2 && child < s->nturns; child++) {
			if (served_before(&s->turns[child], &s->turns[least]))
				least = child;
		}
		if (least == i)
			return;
		s->turns[i] = s->turns[least];
		s->turns[least] = t;
		i = least;
	}
}

void dispatch_fair_collect(waiter_t *q, deadline_t now)
{
	service_t *s = q->service;
	unsigned *mark;
	fair_turn_t *t;

	/* It arrived before the service had fair shares. */
	if (!q->fair)
		q->fair = fair_share_join(s->fair, q->req.customer, FAIR_WEIGHT_ONE, now);
	mark = fair_share_mark(q->fair);
	q->in_turn = true;
	q->turn_next = NULL;
	s->ncollected++;
	if (*mark) {
		t = &s->turns[*mark - 1];
		t->last->turn_next = q;
		t->last = q;
		return;
	}
	if (s->nturns == s->turns_size) {
		s->turns_size = s->turns_size ? 2 * s->turns_size : 16;
		s->turns = mem_grow(s->turns, s->turns_size * sizeof(*s->turns));
	}
	s->turns_ordered = false;
	s->turns[s->nturns++] = (fair_turn_t){.customer = q->fair,
					      .start = fair_share_start(s->fair, q->fair),
					      .running = fair_share_running(q->fair),
					      .first = q,
					      .last = q};
	*mark = s->nturns;
}

static void clear_marks(service_t *s)
{
	for (unsigned i = 0; i < s->nturns; i++) {
		if (s->turns[i].customer)
			*fair_share_mark(s->turns[i].customer) = 0;
	}
}

static void order_turns(service_t *s)
{
	clear_marks(s);
	for (unsigned i = s->nturns / 2; i-- > 0;)
		sift_down(s, i);
	s->turns_ordered = true;
}

waiter_t *dispatch_fair_next(service_t *s)
{
	if (s->nturns > 0 && !s->turns_ordered)
		order_turns(s);
	while (s->nturns > 0) {
		fair_turn_t *t = &s->turns[0];
		waiter_t *q = t->first;

		if (q) {
			t->first = q->turn_next;
			t->start += fair_share_step(t->customer, cost_of(q));
			q->own_ahead = t->running - fair_share_running(q->fair);
			t->running++;
			q->in_turn = false;
			s->ncollected--;
		}
		if (!t->first)
			*t = s->turns[--s->nturns];
		sift_down(s, 0);
		if (q)
			return q;
	}
	return NULL;
}

void dispatch_fair_drop(service_t *s)
{
	if (!s->turns_ordered)
		clear_marks(s);
	s->nturns = 0;
	s->ncollected = 0;
}

/* Removes a request that a callback withdraws in the middle of a pass. */
static void remove_from_turn(service_t *s, const waiter_t *q)
{
	for (unsigned i = 0; i < s->nturns; i++) {
		fair_turn_t *t = &s->turns[i];
		waiter_t **at = &t->first;

		if (t->customer != q->fair)
			continue;
		t->last = NULL;
		while (*at) {
			if (*at == q) {
				*at = q->turn_next;
				s->ncollected--;
				continue;
			}
			t->last = *at;
			at = &(*at)->turn_next;
		}
		/* The customer may be dropped now. */
		if (!t->first) {
			*fair_share_mark(t->customer) = 0;
			t->customer = NULL;
		}
	}
}

void dispatch_fair_leave(waiter_t *q)
{
	if (q->in_turn)
		remove_from_turn(q->service, q);
	if (q->fair)
		fair_share_leave(q->service->fair, q->fair);
	q->fair = NULL;
}

void dispatch_fair_grant(waiter_t *q, run_t *run)
{
	service_t *s = q->service;

	run->service = s;
	run->customer = q->fair;
	if (!q->fair)
		return;
	run->cost = fair_share_grant(s->fair, q->fair, cost_of(q), s->were_waiting > 0);
	q->fair = NULL;
}

void dispatch_fair_end(run_t *run, bool completed, deadline_t now)
{
	if (run->customer)
		fair_share_end(run->service->fair, run->customer, run->cost, now - run->since,
			       completed, now);
}

void dispatch_fair_free(service_t *s)
{
	fair_share_free(s->fair);
	free(s->turns);
}
