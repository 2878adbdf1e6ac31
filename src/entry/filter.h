/**
 * Filters that a caller's request passes in order. A filter either replies or calls the next one.
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
	json_t *body_json; /* parsed body of a completion */
	str_t upstream_path; /* path to call at the upstream */
	char key[136];
	uint64_t digest; /* of service, path and body */
	deadline_t deadline; /* of the first token of a completion, of the answer of a plain call */
	trace_span_t span;
	bool admitted; /* counted by admission_enter */
	bool key_held; /* this call added the key to the inflight table; false if another call of
			* this entry holds the key */
} filter_call_t;

/** A step of a chain, which ends with a filter that always replies. Each filter gets the steps
 * after it and continues with filter_next. */
typedef struct filter_step {
	void (*filter)(filter_call_t *c, const struct filter_step *next);
} filter_step_t;

void filter_next(filter_call_t *c, const filter_step_t *next);
/** Runs a request through a chain, then releases what the call still holds. */
int filter_run(entry_ctx_t *en, const struct _u_request *req, struct _u_response *res,
	       const char *span, const filter_step_t *chain);
/** Refuses the request with verdict "not run". */
void filter_refuse(filter_call_t *c, int status, const char *code, str_t message,
		   int64_t retry_after_ms);

/** Replies with the stored end of a request. */
void filter_replay(filter_call_t *c, const wire_record_t *r);
/** Waits for the end of a request that another call or entry runs, and replies with that end.
 * Replies 409 after 30 s, at the call's deadline, or when this entry is closing. */
void filter_await_end(filter_call_t *c);

/* The filters, in filter_*.c */
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
