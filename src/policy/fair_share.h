/**
 * Fair shares of a service's slots between customers: start-time fair queueing with a virtual time
 * for each customer, which grows by cost / weight with each grant. When slots are scarce the
 * customer with the lowest virtual time is served first.
 *
 * The virtual time of the service follows the starts of the grants for which others waited. A
 * customer that was idle starts there, so it has no credit from its idle time; none is further
 * ahead of it than a bound, so its debt from times with spare slots is limited.
 *
 * Pure: time is an argument. Not thread-safe. Constant cost per operation; the memory is bounded by
 * the waiting and running requests and FAIR_IDLE_MAX idle customers.
 */
#ifndef AUBURN_FAIR_SHARE_H
#define AUBURN_FAIR_SHARE_H

#include "base/clock.h"
#include "base/str.h"

/** Weight of a customer without a weight of its own. */
#define FAIR_WEIGHT_ONE 1000
/** Cost of a request whose tokens are not stated: about those of a short dialogue turn. */
#define FAIR_COST_DEFAULT 1000
/** Maximum number of idle customers that are remembered. */
#define FAIR_IDLE_MAX 1024

typedef struct fair_share fair_share_t;
typedef struct fair_customer fair_customer_t;

fair_share_t *fair_share_new(void);
void fair_share_free(fair_share_t *f);

/** Adds a waiting request of a customer; the name is empty for requests without one. The customer
 * stays valid until its requests have left or ended. weight: in thousandths, not 0. */
fair_customer_t *fair_share_join(fair_share_t *f, str_t customer, unsigned weight, deadline_t now);
/** Removes a waiting request that got no slot. */
void fair_share_leave(fair_share_t *f, fair_customer_t *c);
/** Charges a customer for a request that waited and now runs. scarce: it was chosen by its virtual
 * time among several. Returns what to pass to fair_share_end. */
int64_t fair_share_grant(fair_share_t *f, fair_customer_t *c, int64_t cost, bool scarce);
/** Ends a run, and replaces its charge by one for the time that it took. completed: the time counts
 * toward the mean time of a run. */
void fair_share_end(fair_share_t *f, fair_customer_t *c, int64_t cost, int64_t held_ms,
		    bool completed, deadline_t now);

/** Cost of a request: input tokens + 10 x expected output tokens, limited. */
int64_t fair_share_cost(uint32_t tokens_in, uint32_t tokens_out);
/** The virtual time at which the customer's next request starts. */
int64_t fair_share_start(const fair_share_t *f, const fair_customer_t *c);
/** How much the customer's virtual time grows by a request of this cost. */
int64_t fair_share_step(const fair_customer_t *c, int64_t cost);

/** A number for the caller's use, 0 at first. */
unsigned *fair_share_mark(fair_customer_t *c);
unsigned fair_share_running(const fair_customer_t *c);
str_t fair_share_name(const fair_customer_t *c);
/** The customer's part of the running requests, in thousandths. */
unsigned fair_share_permille(const fair_share_t *f, const fair_customer_t *c);
/** Divides the slots in use between the customers with requests: none gets more than it wants, and
 * those that want more get as many as each other by weight (max-min fairness). Linear cost. */
void fair_share_set_level(fair_share_t *f);
/** The slots that the customer gets by the last division, at least 1. */
int64_t fair_share_slots(const fair_share_t *f, const fair_customer_t *c);
/** True if the customer has more slots than that. */
bool fair_share_is_over(const fair_share_t *f, const fair_customer_t *c);
/** Number of customers that are remembered. */
size_t fair_share_count(const fair_share_t *f);

#endif
