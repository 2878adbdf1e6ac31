/**
 * Filters that a caller's request passes, in order. A filter either replies or hands the call on
 * to the next one.
 */
#ifndef AUBURN_FILTER_H
#define AUBURN_FILTER_H

#include <jansson.h>
#include "base/trace.h"
#include "entry/entry.h"
#include "entry/httpd.h"

typedef struct {
	entry_ctx_t *en;
	const struct _u_request *req;
	struct _u_response *res;
	str_t caller;
	entry_config_t *config;
	const config_service_t *service;
	json_t *body_json; /* body of a completion */
	str_t upstream_path; /* at the upstream, of a plain service */
	char key[136];
	uint64_t digest;
	deadline_t deadline;
	trace_span_t span;
	bool admitted; /* counted in the service's concurrency */
	bool key_held; /* holds its key; else another call here does, and this one only follows */
} filter_call_t;

/** A chain: each step gets the rest of it, to call with filter_next. Ends with a step that replies.
 */
typedef struct filter_step {
	void (*filter)(filter_call_t *c, const struct filter_step *next);
} filter_step_t;

void filter_next(filter_call_t *c, const filter_step_t *next);
/** Runs a chain over a request; frees what the call still holds after it. */
int filter_run(entry_ctx_t *en, const struct _u_request *req, struct _u_response *res,
	       const char *span, const filter_step_t *chain);
/** Replies with a refusal: not run. */
void filter_refuse(filter_call_t *c, int status, const char *code, str_t message,
		   int64_t retry_after_ms);

/** Replies with a final record. */
void filter_replay(filter_call_t *c, const wire_record_t *r);
/** Waits, until the call's deadline, for the end of a request that runs elsewhere, and replies with
 *  it. */
void filter_follow(filter_call_t *c);

/* The filters, one file each. */
void filter_identify(filter_call_t *c, const filter_step_t *next);
void filter_check_lease(filter_call_t *c, const filter_step_t *next);
void filter_match_model(filter_call_t *c, const filter_step_t *next);
void filter_match_plain(filter_call_t *c, const filter_step_t *next);
void filter_idempotency(filter_call_t *c, const filter_step_t *next);
void filter_admit(filter_call_t *c, const filter_step_t *next);
void filter_accept(filter_call_t *c, const filter_step_t *next);
void filter_complete(filter_call_t *c, const filter_step_t *next);
void filter_plain(filter_call_t *c, const filter_step_t *next);

#endif
