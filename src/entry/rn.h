/** One attempt to run a completion on a replica, here or through its owner. */
#ifndef AUBURN_RN_H
#define AUBURN_RN_H

#include <stdbool.h>
#include "base/clk.h"
#include "base/str.h"
#include "policy/ow.h"

typedef struct {
	ow_class_t cls;
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
} rn_work_t;

typedef enum {
	RN_DONE,
	RN_REFUSED, /* surely not run */
	RN_UNREACHED, /* no connection to the replica or its owner; surely not run */
	RN_REJECTED, /* the engine says that it can't be run */
	RN_LOST, /* the stream broke: what came so far can be resumed from */
	RN_STALLED,
	RN_CROSSED, /* the engine sent another attempt's answer */
	RN_PREEMPTED,
	RN_CANCELLED,
	RN_KINDS
} rn_kind_t;

typedef struct {
	rn_kind_t kind;
	int64_t retry_after_ms;
	str_t message;
} rn_end_t;

/** Callbacks of an attempt. They come on the HTTP client's thread or the caller's, one at a time,
 *  and must not block. */
typedef struct {
	void *ctx;
	void (*token)(void *ctx, unsigned index, str_t text);
	void (*end)(void *ctx, const rn_end_t *end); /* once, the last */
} rn_sink_t;

const char *rn_kind_name(rn_kind_t k);
/** RN_KINDS when there is none of that name. */
rn_kind_t rn_kind_of(str_t name);

#endif
