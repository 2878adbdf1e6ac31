/** One attempt to run a completion on a replica, here or through its owner. */
#ifndef AUBURN_ATTEMPT_H
#define AUBURN_ATTEMPT_H

#include <stdbool.h>
#include "base/clock.h"
#include "base/str.h"
#include "policy/owner.h"

typedef struct {
	owner_class_t cls;
	deadline_t deadline; /* first token (online), whole item (batch) */
	bool alone;
	unsigned max_tokens;
	unsigned resume_from;
	str_t caller;
	str_t key;
	str_t service;
	str_t model;
	str_t prompt;
	str_t trace; /* traceparent */
} attempt_params_t;

typedef enum {
	ATTEMPT_DONE,
	ATTEMPT_REFUSED, /* surely not run */
	ATTEMPT_UNREACHED, /* no connection to the replica or its owner; surely not run */
	ATTEMPT_REJECTED, /* the engine says that it can't be run */
	ATTEMPT_LOST, /* the stream broke: what came so far can be resumed from */
	ATTEMPT_STALLED,
	ATTEMPT_CROSSED, /* the engine sent another attempt's answer */
	ATTEMPT_PREEMPTED,
	ATTEMPT_CANCELLED,
	ATTEMPT_OUTCOMES
} attempt_outcome_t;

typedef struct {
	attempt_outcome_t outcome;
	int64_t retry_after_ms;
	str_t message;
} attempt_end_t;

/** Callbacks of an attempt. They come on the HTTP client's thread or the caller's, one at a time,
 *  and must not block. */
typedef struct {
	void *ctx;
	void (*on_token)(void *ctx, unsigned index, str_t text);
	void (*on_end)(void *ctx, const attempt_end_t *end); /* once, the last */
} attempt_sink_t;

const char *attempt_outcome_name(attempt_outcome_t k);
/** ATTEMPT_OUTCOMES when there is none of that name. */
attempt_outcome_t attempt_outcome_parse(str_t name);

#endif
