/** Runs a plain service's call, at most once if it may not be repeated. */
#ifndef AUBURN_PLAIN_CALL_H
#define AUBURN_PLAIN_CALL_H

#include "entry/entry.h"

typedef struct {
	str_t caller;
	str_t key;
	const char *service;
	bool repeatable;
	str_t path; /* with its leading slash */
	str_t body;
	str_t trace;
	deadline_t deadline;
} plain_call_t;

typedef struct {
	bool done;
	int http_status;
	verdict_t verdict;
	const char *code; /* of a failure */
	buf_t result; /* body, or the error JSON */
} plain_call_end_t;

/** Runs an accepted call and commits its end. Unless STATUS_OK, nothing was sent from here, but
 * another attempt is or may be open. */
status_t plain_call_run(entry_ctx_t *en, const plain_call_t *c, plain_call_end_t *end);

#endif
