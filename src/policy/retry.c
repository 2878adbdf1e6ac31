/* Retry budgets and circuit breakers. */
#include "policy/retry.h"

#include <assert.h>

#define MILLI 1000 /* budgets are in thousandths of a retry */
/* Initial budget, so that a service with few requests may retry. */
#define BUDGET_INITIAL_MILLI  (10 * MILLI)
#define BUDGET_MAX_MILLI      (100 * MILLI)
#define BREAKER_FAILURES      3 /* consecutive ones that open the breaker */
#define BREAKER_PAUSE_MS      250 /* first pause */
#define BREAKER_PAUSE_MAX_MS  8000
#define BREAKER_PROBE_LOST_MS 10000 /* a probe without a result by then is repeated */

void retry_budget_init(retry_budget_t *b, int percent)
{
	assert(percent >= 0);
	b->percent = percent;
	b->tokens_milli = BUDGET_INITIAL_MILLI;
}

void retry_budget_deposit(retry_budget_t *b)
{
	b->tokens_milli += (int64_t)b->percent * MILLI / 100;
	if (b->tokens_milli > BUDGET_MAX_MILLI)
		b->tokens_milli = BUDGET_MAX_MILLI;
}

bool retry_budget_withdraw(retry_budget_t *b)
{
	if (b->tokens_milli < MILLI)
		return false;
	b->tokens_milli -= MILLI;
	assert(b->tokens_milli >= 0);
	return true;
}

bool retry_allowed(verdict_t verdict, bool repeatable)
{
	switch (verdict) {
	case VERDICT_NOT_RUN:
		return true;
	case VERDICT_MAY_HAVE_RUN:
		return repeatable;
	default:
		return false;
	}
}

void retry_breaker_init(retry_breaker_t *b)
{
	*b = (retry_breaker_t){.state = RETRY_BREAKER_CLOSED, .pause_ms = BREAKER_PAUSE_MS};
}

bool retry_breaker_allow(retry_breaker_t *b, int64_t now_ms)
{
	if (b->state == RETRY_BREAKER_CLOSED)
		return true;
	if (now_ms < b->probe_at_ms)
		return false;
	b->state = RETRY_BREAKER_HALF_OPEN;
	b->probe_at_ms = now_ms + BREAKER_PROBE_LOST_MS;
	return true;
}

void retry_breaker_success(retry_breaker_t *b)
{
	retry_breaker_init(b);
}

static void open_breaker(retry_breaker_t *b, int64_t now_ms)
{
	b->state = RETRY_BREAKER_OPEN;
	b->probe_at_ms = now_ms + b->pause_ms;
	b->pause_ms *= 2;
	if (b->pause_ms > BREAKER_PAUSE_MAX_MS)
		b->pause_ms = BREAKER_PAUSE_MAX_MS;
}

void retry_breaker_failure(retry_breaker_t *b, int64_t now_ms)
{
	b->failures++;
	if (b->state == RETRY_BREAKER_HALF_OPEN)
		open_breaker(b, now_ms);
	else if (b->state == RETRY_BREAKER_CLOSED && b->failures >= BREAKER_FAILURES)
		open_breaker(b, now_ms);
}
