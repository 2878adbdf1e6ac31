/**
 * Status of the answer to a request that no replica has answered. 503 promises that the request has
 * not run and will not; 502 and 504 promise nothing, so the caller may not repeat an unsafe
 * request. docs/API.md has the table.
 *
 * Pure.
 */
#ifndef AUBURN_FAILURE_H
#define AUBURN_FAILURE_H

#include <stdbool.h>
#include "policy/dispatch.h"

/** Why the request ends. */
typedef enum {
	FAILURE_DEADLINE, /* its deadline passed */
	FAILURE_NO_ATTEMPT_LEFT, /* its last attempt failed */
	FAILURE_REFUSED, /* it got no slot, or this entry reaches no replica */
	FAILURE_COUNT
} failure_t;

/** Status of the answer. may_have_run: an attempt that has ended may have run, or bytes of the
 * current one were written. */
int failure_status(failure_t why, bool may_have_run);
/** True if an attempt that ended like this may have run. */
bool failure_may_have_run(dispatch_outcome_t how);

#endif
