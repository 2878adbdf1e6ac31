/** Runs a plain service's call, at most once if it may not be repeated. */
#ifndef AUBURN_PS_H
#define AUBURN_PS_H

#include "entry/en.h"

typedef struct {
	str_t caller;
	str_t key;
	const char *service;
	bool repeatable;
	str_t path; /* with its leading slash */
	str_t body;
	str_t trace;
	deadline_t deadline;
} ps_call_t;

typedef struct {
	bool done;
	int http_status;
	verdict_t verdict;
	const char *code; /* of a failure */
	buf_t result; /* body, or the error JSON */
} ps_end_t;

/** Runs an accepted call and commits its end. Unless ST_OK, nothing was sent from here, but another
 *  attempt is or may be open. */
status_t ps_run(en_t *en, const ps_call_t *c, ps_end_t *end);

#endif
