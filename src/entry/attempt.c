#include "entry/attempt.h"

#include <assert.h>

static const char *const names[ATTEMPT_OUTCOMES] = {
	[ATTEMPT_DONE] = "done",	   [ATTEMPT_REFUSED] = "refused",
	[ATTEMPT_UNREACHED] = "unreached", [ATTEMPT_REJECTED] = "rejected",
	[ATTEMPT_LOST] = "lost",	   [ATTEMPT_STALLED] = "stalled",
	[ATTEMPT_CROSSED] = "crossed",	   [ATTEMPT_PREEMPTED] = "preempted",
	[ATTEMPT_CANCELLED] = "cancelled"};

const char *attempt_outcome_name(attempt_outcome_t k)
{
	assert(k >= 0 && k < ATTEMPT_OUTCOMES);
	return names[k];
}

attempt_outcome_t attempt_outcome_parse(str_t name)
{
	int k = 0;

	while (k < ATTEMPT_OUTCOMES && !str_eq(name, str_c(names[k])))
		k++;
	return (attempt_outcome_t)k;
}
