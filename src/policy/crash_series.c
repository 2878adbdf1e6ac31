#include "policy/crash_series.h"

void crash_series_add(crash_series_t *s, deadline_t began, deadline_t at)
{
	if (s->n > 0 && began + CRASH_SKEW_MS < s->last && at <= s->last + CRASH_TOGETHER_MS)
		return;
	s->last = at;
	s->n++;
}
