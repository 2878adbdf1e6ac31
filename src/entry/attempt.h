/** One attempt to run a completion or a batch item on a replica: parameters, outcome, callbacks. */
#ifndef AUBURN_ATTEMPT_H
#define AUBURN_ATTEMPT_H

#include <stdbool.h>
#include "base/clock.h"
#include "base/str.h"
#include "policy/owner.h"

typedef struct {
	owner_class_t cls;
	deadline_t deadline; /* of the first token (online) or the whole item (batch) */
	bool alone; /* must be the only stream on the replica */

	unsigned max_tokens;
	unsigned resume_from; /* tokens received in earlier attempts */

	str_t caller;
	str_t key; /* of the request; for an item the id of its job */
	str_t service;
	str_t model;
	str_t prompt;
	str_t trace; /* W3C traceparent */
} attempt_params_t;

typedef enum {
	ATTEMPT_DONE,
	ATTEMPT_REFUSED, /* by the owner or the engine; not run */
	ATTEMPT_UNREACHED, /* no connection to the engine or the owner; not run */
	ATTEMPT_REJECTED, /* the engine answered that the request is invalid */
	ATTEMPT_LOST, /* the stream broke or was invalid, or the engine answered 5xx; tokens
		       * received before are valid */
	ATTEMPT_STALLED, /* no bytes of the response from the engine or the owner in time */
	ATTEMPT_CROSSED, /* the engine sent tokens of another attempt */
	ATTEMPT_PREEMPTED, /* cancelled by the owner: another stream needs the slot, or the owner
			    * stops dispatching to the replica */
	ATTEMPT_CANCELLED, /* by local_replica_cancel */
	ATTEMPT_OUTCOMES /* number of outcomes */
} attempt_outcome_t;

typedef struct {
	attempt_outcome_t outcome;
	int64_t retry_after_ms;
	str_t message;
} attempt_end_t;

/** Callbacks of an attempt. They run one at a time and must not block: on the HTTP client's thread,
 * or within attempt_start or a call to the local replica (offer, cancel, tick, close). */
typedef struct {
	void *ctx;
	void (*on_token)(void *ctx, unsigned index, str_t text);
	void (*on_end)(void *ctx, const attempt_end_t *end); /* called once, after the last token */
} attempt_sink_t;

const char *attempt_outcome_name(attempt_outcome_t outcome);
/** Returns ATTEMPT_OUTCOMES if no outcome has this name. */
attempt_outcome_t attempt_outcome_parse(str_t name);

#endif
