/**
 * Filters that a caller's request passes, in order. A filter either replies or hands the call on
 * to the next one.
 */
#ifndef AUBURN_FI_H
#define AUBURN_FI_H

#include <jansson.h>
#include "base/tr.h"
#include "entry/en.h"
#include "entry/hs.h"

typedef struct {
	en_t *en;
	const struct _u_request *req;
	struct _u_response *res;
	str_t caller;
	en_conf_t *conf;
	const tx_service_t *service;
	json_t *json; /* body of a completion */
	str_t path; /* at the upstream, of a plain service */
	char key[136];
	uint64_t digest;
	deadline_t deadline;
	tr_span_t span;
	bool admitted; /* counted in the service's concurrency */
	bool registered; /* holds its key; else another call here does, and this one only follows */
} fi_call_t;

/** A chain: each step gets the rest of it, to call with fi_next. Ends with a step that replies. */
typedef struct fi_step {
	void (*filter)(fi_call_t *c, const struct fi_step *next);
} fi_step_t;

void fi_next(fi_call_t *c, const fi_step_t *next);
/** Runs a chain over a request; frees what the call still holds after it. */
int fi_run(en_t *en, const struct _u_request *req, struct _u_response *res, const char *span,
	   const fi_step_t *chain);
/** Replies with a refusal: not run. */
void fi_refuse(fi_call_t *c, int status, const char *code, str_t message, int64_t retry_after_ms);

/** Replies with a final record. */
void fi_replay(fi_call_t *c, const aw_record_t *r);
/** Waits, until the call's deadline, for the end of a request that runs elsewhere, and replies with
 *  it. */
void fi_follow(fi_call_t *c);

/* The filters, one file each. */
void fi_identify(fi_call_t *c, const fi_step_t *next);
void fi_leased(fi_call_t *c, const fi_step_t *next);
void fi_match_model(fi_call_t *c, const fi_step_t *next);
void fi_match_plain(fi_call_t *c, const fi_step_t *next);
void fi_idempotency(fi_call_t *c, const fi_step_t *next);
void fi_admit(fi_call_t *c, const fi_step_t *next);
void fi_accept(fi_call_t *c, const fi_step_t *next);
void fi_complete(fi_call_t *c, const fi_step_t *next);
void fi_plain(fi_call_t *c, const fi_step_t *next);

#endif
