#include "policy/rt.h"

#include <assert.h>

#define MILLI		      1000
#define BUDGET_FLOOR_MILLI    (10 * MILLI) /* retries that a quiet service may always make */
#define BUDGET_MAX_MILLI      (100 * MILLI)
#define BREAKER_FAILURES      3
#define BREAKER_PAUSE_MS      250
#define BREAKER_PAUSE_MAX_MS  8000
#define BREAKER_PROBE_LOST_MS 10000 /* a probe without a result by then counts as lost */

void rt_budget_init(rt_budget_t *b, int percent)
{
	assert(percent >= 0);
	b->percent = percent;
	b->tokens_milli = BUDGET_FLOOR_MILLI;
}

void rt_budget_first(rt_budget_t *b)
{
	b->tokens_milli += (int64_t)b->percent * MILLI / 100;
	if (b->tokens_milli > BUDGET_MAX_MILLI)
		b->tokens_milli = BUDGET_MAX_MILLI;
}

bool rt_budget_take(rt_budget_t *b)
{
	if (b->tokens_milli < MILLI)
		return false;
	b->tokens_milli -= MILLI;
	assert(b->tokens_milli >= 0);
	return true;
}

bool rt_may_retry(verdict_t verdict, bool repeatable)
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

void rt_breaker_init(rt_breaker_t *b)
{
	*b = (rt_breaker_t){.state = RT_CLOSED, .pause_ms = BREAKER_PAUSE_MS};
}

bool rt_breaker_allow(rt_breaker_t *b, int64_t now_ms)
{
	if (b->state == RT_CLOSED)
		return true;
	if (now_ms < b->probe_at_ms)
		return false;
	b->state = RT_HALF_OPEN;
	b->probe_at_ms = now_ms + BREAKER_PROBE_LOST_MS;
	return true;
}

void rt_breaker_ok(rt_breaker_t *b)
{
	rt_breaker_init(b);
}

static void open_breaker(rt_breaker_t *b, int64_t now_ms)
{
	b->state = RT_OPEN;
	b->probe_at_ms = now_ms + b->pause_ms;
	b->pause_ms *= 2;
	if (b->pause_ms > BREAKER_PAUSE_MAX_MS)
		b->pause_ms = BREAKER_PAUSE_MAX_MS;
}

void rt_breaker_fail(rt_breaker_t *b, int64_t now_ms)
{
	b->failures++;
	if (b->state == RT_HALF_OPEN)
		open_breaker(b, now_ms);
	else if (b->state == RT_CLOSED && b->failures >= BREAKER_FAILURES)
		open_breaker(b, now_ms);
}
