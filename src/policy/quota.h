/**
 * Quotas of customers: how many online requests of a customer may run, over all entries together.
 *
 * The leader counts each request once, where its slot is requested, in a token bucket of the
 * customer's rate and burst. An entry without a leader counts its own requests against its share:
 * a request there costs as many tokens as there are entries. In any window, all entries together
 * run at most rate x window + burst, plus what the start of a new leader and the shares of entries
 * add; quota_tolerance_t says how much of this is allowed. A request that does not fit at once may
 * wait until it does.
 *
 * The expected load: a hundred to 12,000 customers, most of them far below their quota, some of
 * them far above it after their quota was cut.
 *
 * Pure: time is an argument.
 */
#ifndef AUBURN_QUOTA_H
#define AUBURN_QUOTA_H

#include "base/clock.h"
#include "base/str.h"

/** How far above its quota a customer may come in any window. */
typedef struct {
	int64_t window_ms;
	int64_t over_percent; /* of rate x window + burst */
	int64_t slack; /* requests */
} quota_tolerance_t;

typedef struct {
	str_t customer;
	int64_t rate_per_s; /* 0: no quota */
	int64_t burst;
} quota_customer_t;

typedef struct quota quota_t;

/** Counts the requests of all entries; for a new leader. What former leaders have granted in the
 * last window is unknown, so each bucket starts with a quarter of the tolerance instead of full. */
quota_t *quota_new_leader(const quota_tolerance_t *tolerance);
/** Counts the requests of one entry without a leader. */
quota_t *quota_new_share(void);
void quota_free(quota_t *q);

/** Counts a request, which may run *wait_ms from now. If that is more than max_wait_ms, returns
 * false and does not count it. entries: number of entries among which the quota is shared; 1 for a
 * leader. */
bool quota_take(quota_t *q, const quota_customer_t *c, unsigned entries, int64_t max_wait_ms,
		deadline_t now, int64_t *wait_ms);
/** True if the customer has used more of its burst than may be granted again by entries that lose
 * the leader: they are to be told, see quota_notice_due. For the counts of a leader. */
bool quota_is_low(const quota_t *q, const quota_customer_t *c);
/** Gives back a request that was counted and has not run. */
void quota_return(quota_t *q, str_t customer, unsigned entries);
/** Empties the customer's share, because the leader refused a request of it or its quota is low. */
void quota_exhaust(quota_t *q, str_t customer, deadline_t now);
/** True once in a period, for a customer whose requests are refused or whose quota is low: the
 * entries are to be told. */
bool quota_notice_due(quota_t *q, str_t customer, deadline_t now, int64_t period_ms);
/** Number of customers that have been counted; for tests. */
size_t quota_customers(const quota_t *q);

#endif
