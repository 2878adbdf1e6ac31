/** Retry budgets of services and circuit breakers of replicas. Pure. */
#ifndef AUBURN_RETRY_H
#define AUBURN_RETRY_H

#include <stdbool.h>
#include <stdint.h>
#include "base/status.h"

/** Limits retries to a percentage of the first attempts, plus a small initial budget. */
typedef struct {
	int64_t tokens_milli; /* thousandths of a retry */
	int percent;
} retry_budget_t;

void retry_budget_init(retry_budget_t *b, int percent);
/** Counts a first attempt: adds `percent` of one retry to the budget, up to a maximum. */
void retry_budget_deposit(retry_budget_t *b);
/** Takes one retry from the budget; false if the budget is used up. */
bool retry_budget_withdraw(retry_budget_t *b);

/** True if a request may be retried after an attempt that ended with this verdict. repeatable: the
 * request may safely run more than once. */
bool retry_allowed(verdict_t verdict, bool repeatable);

/** Closed: requests may be sent. Open: no request may be sent until a probe is due. Half-open: a
 * request was sent as a probe and has no result yet. */
typedef enum {
	RETRY_BREAKER_CLOSED,
	RETRY_BREAKER_OPEN,
	RETRY_BREAKER_HALF_OPEN
} retry_breaker_state_t;

/** Opens after several consecutive failures, then allows a probe after a pause. The pause doubles
 * with each probe that fails, up to a maximum. */
typedef struct {
	retry_breaker_state_t state;
	int failures; /* consecutive */
	int64_t pause_ms;
	int64_t probe_at_ms; /* when the next probe is allowed */
} retry_breaker_t;

void retry_breaker_init(retry_breaker_t *b);
/** True if a request may be sent now. Unless the breaker is closed, the request is a probe. */
bool retry_breaker_allow(retry_breaker_t *b, int64_t now_ms);
/** Records a success, which closes the breaker. */
void retry_breaker_success(retry_breaker_t *b);
void retry_breaker_failure(retry_breaker_t *b, int64_t now_ms);

#endif
