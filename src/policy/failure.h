/**
 * Status of the answer to a request that no replica has answered. 401, 429 and 503 promise that the
 * request has not run and will not; 502 and 504 promise nothing, so the caller may not repeat an
 * unsafe request. docs/API.md has the tables, which test_failure.c compares with the code.
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
	FAILURE_BLOCKED, /* a part of its prompt crashes replicas */
	FAILURE_HELD, /* it crashes replicas itself */
	FAILURE_STOPPING, /* it can't end before this entry does */
	FAILURE_OVER_QUOTA, /* its customer's quota is used up */
	FAILURE_KEY_REVOKED, /* its API key is no longer in the config */
	FAILURE_COUNT
} failure_t;

/** Status of the answer. may_have_run: an attempt that has ended may have run, or bytes of the
 * current one were written. */
int failure_status(failure_t why, bool may_have_run);
/** True if an attempt that ended like this may have run. */
bool failure_may_have_run(dispatch_outcome_t how);

#endif
