/** Retry budgets and circuit breakers. Pure. */
#ifndef AUBURN_RETRY_H
#define AUBURN_RETRY_H

#include <stdbool.h>
#include <stdint.h>
#include "base/status.h"

/** Lets retries be at most a share of first tries, with a small floor. */
typedef struct {
	int64_t tokens_milli;
	int percent;
} retry_budget_t;

void retry_budget_init(retry_budget_t *b, int percent);
void retry_budget_deposit(retry_budget_t *b);
/** Takes one retry from the budget; false when it is used up. */
bool retry_budget_withdraw(retry_budget_t *b);

/** May a request be tried again after an attempt that ended with this verdict? */
bool retry_allowed(verdict_t verdict, bool repeatable);

typedef enum {
	RETRY_BREAKER_CLOSED,
	RETRY_BREAKER_OPEN,
	RETRY_BREAKER_HALF_OPEN
} retry_breaker_state_t;

/** Opens after failures in a row; lets one probe through after a pause that doubles. */
typedef struct {
	retry_breaker_state_t state;
	int failures;
	int64_t pause_ms;
	int64_t probe_at_ms;
} retry_breaker_t;

void retry_breaker_init(retry_breaker_t *b);
/** True if a request may go there now; the half-open state lets one through. */
bool retry_breaker_allow(retry_breaker_t *b, int64_t now_ms);
void retry_breaker_success(retry_breaker_t *b);
void retry_breaker_failure(retry_breaker_t *b, int64_t now_ms);

#endif
