/** Retry budgets and circuit breakers. Pure. */
#ifndef AUBURN_RT_H
#define AUBURN_RT_H

#include <stdbool.h>
#include <stdint.h>
#include "base/status.h"

/** Lets retries be at most a share of first tries, with a small floor. */
typedef struct {
	int64_t tokens_milli;
	int percent;
} rt_budget_t;

void rt_budget_init(rt_budget_t *b, int percent);
void rt_budget_first(rt_budget_t *b);
/** Takes one retry from the budget; false when it is used up. */
bool rt_budget_take(rt_budget_t *b);

/** May a request be tried again after an attempt that ended with this verdict? */
bool rt_may_retry(verdict_t verdict, bool repeatable);

typedef enum { RT_CLOSED, RT_OPEN, RT_HALF_OPEN } rt_state_t;

/** Opens after failures in a row; lets one probe through after a pause that doubles. */
typedef struct {
	rt_state_t state;
	int failures;
	int64_t pause_ms;
	int64_t probe_at_ms;
} rt_breaker_t;

void rt_breaker_init(rt_breaker_t *b);
/** True if a request may go there now; the half-open state lets one through. */
bool rt_breaker_allow(rt_breaker_t *b, int64_t now_ms);
void rt_breaker_ok(rt_breaker_t *b);
void rt_breaker_fail(rt_breaker_t *b, int64_t now_ms);

#endif
