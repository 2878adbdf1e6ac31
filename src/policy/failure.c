#include "policy/failure.h"

#include <assert.h>

int failure_status(failure_t why, bool may_have_run)
{
	static const int status_if_it_may_have_run[FAILURE_COUNT] = {
		[FAILURE_DEADLINE] = 504,
		[FAILURE_NO_ATTEMPT_LEFT] = 502,
		[FAILURE_REFUSED] = 502,
	};

	assert(why < FAILURE_COUNT);
	return may_have_run ? status_if_it_may_have_run[why] : 503;
}

bool failure_may_have_run(dispatch_outcome_t how)
{
	switch (how) {
	case DISPATCH_FULL:
	case DISPATCH_UNREACHABLE:
	case DISPATCH_REPLICA_LEAVING:
		return false;
	default:
		return true;
	}
}
