#include "policy/failure.h"

#include <assert.h>

int failure_status(failure_t why, bool may_have_run)
{
	static const struct {
		int not_run;
		int may_have_run;
	} status[FAILURE_COUNT] = {
		[FAILURE_DEADLINE] = {503, 504},   [FAILURE_NO_ATTEMPT_LEFT] = {503, 502},
		[FAILURE_REFUSED] = {503, 502},	   [FAILURE_BLOCKED] = {503, 502},
		[FAILURE_HELD] = {503, 502},	   [FAILURE_STOPPING] = {503, 502},
		[FAILURE_OVER_QUOTA] = {429, 502}, [FAILURE_KEY_REVOKED] = {401, 502},
	};

	assert(why < FAILURE_COUNT);
	return may_have_run ? status[why].may_have_run : status[why].not_run;
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
