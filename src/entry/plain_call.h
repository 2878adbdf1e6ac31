/** A call of a plain service, an HTTP service that is not a model engine. Unless the call is
 * repeatable, it is sent again only if the service has certainly not run it. */
#ifndef AUBURN_PLAIN_CALL_H
#define AUBURN_PLAIN_CALL_H

#include "entry/entry.h"

typedef struct {
	str_t caller;
	str_t key;
	const char *service;
	bool repeatable;
	str_t path; /* with leading slash */
	str_t body;
	str_t trace;
	deadline_t deadline;
} plain_call_t;

typedef struct {
	bool done;
	int http_status;
	verdict_t verdict;
	const char *code; /* reason of a failure; only valid if !done */
	buf_t result; /* body, or the error as JSON */
} plain_call_end_t;

/** Runs an accepted call and commits its end. Any status but STATUS_OK means that nothing was sent,
 * because the start of an unrepeatable call could not be committed, for instance since another
 * attempt was started before. */
status_t plain_call_run(entry_ctx_t *en, const plain_call_t *c, plain_call_end_t *end);

#endif
