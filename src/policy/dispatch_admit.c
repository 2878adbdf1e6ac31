/* Dispatcher: whether a request that finds no slot waits or is refused, and when a refused caller
 * may return. */
#include <stdio.h>
#include "base/prng.h"
#include "policy/dispatch_internal.h"

/** Lower bound of Retry-After: on a busy fleet a slot takes about this long to become free. */
#define RETRY_MIN_MS 50
/** Upper bound of Retry-After: the callers' deadlines are a few seconds. */
#define RETRY_MAX_MS 1500
/** Retry-After when the service has no usable replica: about the time until the replica list shows
 * one. */
#define RETRY_NO_REPLICA_MS 500
/** Estimated time from the grant to a stream's first event, unless requests are shorter: the engine
 * processes the prompt in a few steps of some ms each. */
#define FIRST_EVENT_MS 50
/** A request is admitted to wait if it would be served in time even if the wait took this
 * percentage of its estimate: one that waits is not refused any more, so a wrong estimate makes it
 * late. */
#define WAIT_MARGIN_PERCENT 125
/** A returning or late request is admitted if the spare slots reach it within 1/WAIT_PART of the
 * time for which its caller waits. */
#define WAIT_PART 4
/** A request of a customer over its share is refused in favour of others within this time of its
 * arrival: a later refusal leaves its caller little time for another attempt. */
#define GIVE_WAY_MS 75
/** Factor on the wait that a customer's own queue lets expect: others who come later reduce its
 * share. In the play of test_fair_share, requests that are admitted by an estimate and then late
 * are 3.5% at 100, 2% at 150 and 1.5% at 200; the total served falls by 0.5%, 1% and 1.6%. */
#define OWN_WAIT_PERCENT 150
/** Time over which the rate of new requests is measured. */
#define RATE_MS 100
/** New requests take all slots if less than 1/SPARE_MIN_PART of them is left. */
#define SPARE_MIN_PART 10

static entry_t *find_entry(const dispatch_t *d, uint64_t entry)
{
	entry_t *e;

	HASH_FIND(hh, d->entries, &entry, sizeof(entry), e);
	return e;
}

dispatch_rank_t dispatch_rank_of(const waiter_t *q, deadline_t now)
{
	if (q->req.resumed)
		return DISPATCH_RANK_RESUMED;
	/* The few that wait although the estimate was wrong are not left until their callers leave.
	 */
	if (q->admitted && now > (q->req.objective + q->req.give_up_at) / 2)
		return DISPATCH_RANK_IN_TIME;
	if (now > q->req.objective)
		return DISPATCH_RANK_LATE;
	if (!q->req.returning)
		return DISPATCH_RANK_IN_TIME;
	return q->service->states_speed ? DISPATCH_RANK_RETURNED : DISPATCH_RANK_LATE;
}

static void refuse_request(dispatch_t *d, waiter_t *q, int64_t retry_ms, dispatch_refusal_t why)
{
	uint64_t entry = q->req.entry;
	uint64_t request = q->req.request;
	bool for_load = why != DISPATCH_NO_REPLICA_LIST && why != DISPATCH_ENTRY_CUT_OFF;

	d->refusal = (dispatch_share_t){0};
	if (q->fair && for_load) {
		d->refusal.permille = fair_share_permille(q->service->fair, q->fair);
		d->refusal.is_over = fair_share_is_over(q->service->fair, q->fair);
		snprintf(d->refusal.customer, sizeof(d->refusal.customer), "%s", q->customer);
	}
	dispatch_waiter_free(d, q);
	if (retry_ms < RETRY_MIN_MS)
		retry_ms = RETRY_MIN_MS;
	d->cb.refuse(d->cb.ctx, entry, request, retry_ms > RETRY_MAX_MS ? RETRY_MAX_MS : retry_ms,
		     why);
}

void dispatch_note_arrival(service_t *s, const dispatch_request_t *req, deadline_t now)
{
	int64_t ms = now - s->rate_since;
	int64_t rate;

	if (req->returning || req->resumed)
		return;
	s->arrivals++;
	if (ms < RATE_MS)
		return;
	/* Follows a rise at once: whoever is admitted in its beginning would wait for its end. */
	rate = (int64_t)s->arrivals * 1000 / ms;
	s->rate_per_s = rate > s->rate_per_s ? rate : (s->rate_per_s + rate) / 2;
	s->arrivals = 0;
	s->rate_since = now;
}

/* Slots that become free per second beyond those that new requests take. */
static int64_t spare_per_s(const service_t *s)
{
	int64_t all = (int64_t)s->slots * 1000000 / (s->mean_hold_us + 1);
	int64_t spare = all - s->rate_per_s;

	return spare * SPARE_MIN_PART > all ? spare : 0;
}

/* Gives each refused caller a time of its own to return, after the requests that wait now and as
 * far apart as slots become free beyond what new requests take. While they take all, and beyond the
 * upper bound, the times are late and random: callers would come back together otherwise. */
static int64_t book_return_ms(dispatch_t *d, service_t *s, int64_t wait_ms, deadline_t now)
{
	int64_t spare = spare_per_s(s);
	int64_t ms;

	if (s->returns_until < (now + wait_ms) * 1000)
		s->returns_until = (now + wait_ms) * 1000;
	ms = s->returns_until / 1000 - now;
	if (!spare || ms > RETRY_MAX_MS)
		return RETRY_MAX_MS * 2 / 3 + (int64_t)(prng_next(&d->random) % (RETRY_MAX_MS / 3));
	s->returns_until += 1000000 / spare;
	return ms;
}

/* True if the request, though it was admitted, may be refused in favour of customers under their
 * share. */
static bool may_give_way(const waiter_t *q, const service_t *s, deadline_t now)
{
	return q->fair && dispatch_is_fair(s, now) && now - q->since < GIVE_WAY_MS &&
	       fair_share_is_over(s->fair, q->fair);
}

/* As dispatch_admit, for services of which the replicas state how long work takes. A request that
 * waits is not refused later because of load, unless may_give_way: only an arriving one is, if the
 * estimate says that it would miss its objective or, for a returning or late one, that slots beyond
 * those for new requests reach it too late. */
static bool admit_by_estimate(dispatch_t *d, waiter_t *q, dispatch_rank_t rank, service_t *s,
			      int64_t wait_ms, int64_t first_ms, deadline_t now)
{
	int64_t by_ms = wait_ms * WAIT_MARGIN_PERCENT / 100 + first_ms;
	dispatch_refusal_t why = DISPATCH_PAST_OBJECTIVE;
	bool fits = true;

	if (now + first_ms > q->req.give_up_at) {
		refuse_request(d, q, wait_ms, DISPATCH_CALLER_GIVES_UP);
		return false;
	}
	if (rank == DISPATCH_RANK_IN_TIME) {
		fits = now + by_ms <= q->req.objective;
	} else if (rank != DISPATCH_RANK_RESUMED) {
		int64_t spare = spare_per_s(s);

		fits = spare && (int64_t)(s->waiting_ahead + 1) * 1000 / spare <=
					(q->req.give_up_at - now) / WAIT_PART;
		why = DISPATCH_CALLER_GIVES_UP;
	}
	if (!fits && (!q->admitted || may_give_way(q, s, now))) {
		refuse_request(d, q, book_return_ms(d, s, wait_ms, now), why);
		return false;
	}
	q->admitted = true;
	return true;
}

/* The estimated time until a request of a customer over its share gets a slot: the customer gets no
 * other slot until it has no more than its share, and then as many as its share frees. */
static int64_t own_wait_ms(const waiter_t *q, const service_t *s)
{
	int64_t share = fair_share_slots(s->fair, q->fair);
	int64_t over = (int64_t)fair_share_running(q->fair) - share;

	if (over <= 0)
		return 0;
	return s->mean_hold_us * (q->own_ahead + 1 + over) / share / 1000 * OWN_WAIT_PERCENT / 100;
}

bool dispatch_admit(dispatch_t *d, waiter_t *q, dispatch_rank_t rank, service_t *s, deadline_t now)
{
	/* The estimated time until the request gets a slot, also the retry time of a refusal: from
	 * the mean hold time, as if all slots served only the requests ahead of it. */
	int64_t wait_ms = s->slots ? s->mean_hold_us * (s->waiting_ahead + 1) / s->slots / 1000
				   : RETRY_NO_REPLICA_MS;
	int64_t hold_ms = s->mean_hold_us / 1000;
	int64_t first_ms = hold_ms < FIRST_EVENT_MS ? hold_ms : FIRST_EVENT_MS;
	bool fair = dispatch_is_fair(s, now) && s->slots;
	const entry_t *e = find_entry(d, q->req.entry);

	if (fair && q->fair && rank == DISPATCH_RANK_IN_TIME && own_wait_ms(q, s) > wait_ms)
		wait_ms = own_wait_ms(q, s);
	if (e && e->cut_off) {
		refuse_request(d, q, RETRY_MIN_MS, DISPATCH_ENTRY_CUT_OFF);
		return false;
	}
	if (!d->had_replicas && now < d->list_deadline && now + first_ms <= q->req.give_up_at)
		return true;
	if (!d->had_replicas)
		refuse_request(d, q, wait_ms, DISPATCH_NO_REPLICA_LIST);
	else if (now + hold_ms > q->req.deadline)
		refuse_request(d, q, wait_ms, DISPATCH_PAST_DEADLINE);
	else if (s->states_speed && s->slots)
		return admit_by_estimate(d, q, rank, s, wait_ms, first_ms, now);
	else if (now + first_ms + (s->slots ? wait_ms : 0) > q->req.give_up_at)
		refuse_request(d, q, fair ? book_return_ms(d, s, wait_ms, now) : wait_ms,
			       DISPATCH_CALLER_GIVES_UP);
	else if (rank == DISPATCH_RANK_IN_TIME && now + wait_ms + first_ms > q->req.objective)
		refuse_request(d, q, fair ? book_return_ms(d, s, wait_ms, now) : wait_ms,
			       DISPATCH_PAST_OBJECTIVE);
	else
		return true;
	return false;
}
