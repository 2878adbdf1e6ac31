#include "entry/attempt.h"

#include <assert.h>

static const char *const outcome_names[ATTEMPT_OUTCOMES] = {
	[ATTEMPT_DONE] = "done",	   [ATTEMPT_REFUSED] = "refused",
	[ATTEMPT_UNREACHED] = "unreached", [ATTEMPT_REJECTED] = "rejected",
	[ATTEMPT_LOST] = "lost",	   [ATTEMPT_STALLED] = "stalled",
	[ATTEMPT_CROSSED] = "crossed",	   [ATTEMPT_PREEMPTED] = "preempted",
	[ATTEMPT_CANCELLED] = "cancelled"};

const char *attempt_outcome_name(attempt_outcome_t outcome)
{
	assert(outcome >= 0 && outcome < ATTEMPT_OUTCOMES);
	return outcome_names[outcome];
}

attempt_outcome_t attempt_outcome_parse(str_t name)
{
	int outcome = 0;

	while (outcome < ATTEMPT_OUTCOMES && !str_eq(name, str_c(outcome_names[outcome])))
		outcome++;
	return (attempt_outcome_t)outcome;
}
