/** Ledger calls of an entry, the JSON of errors, and retry budgets of services. */
#ifndef AUBURN_LC_H
#define AUBURN_LC_H

#include "entry/en.h"

typedef struct {
	str_t caller;
	str_t key;
	bool done;
	verdict_t verdict;
	int http_status;
	str_t result;
} lc_finish_t;

/** The end of a request that stands in the ledger. */
typedef struct {
	bool done;
	verdict_t verdict;
	int http_status;
	buf_t result; /* body, or the error JSON */
} lc_end_t;

/** Commits the end of a request; tried again until it is known to be committed or a long deadline
 *  has passed. ST_CONFLICT: another end stands, which `standing` is filled with; the caller frees
 *  its result. */
status_t lc_finish(en_t *en, const lc_finish_t *f, lc_end_t *standing);
/** Fills in the end that a final record holds; the caller frees its result. */
void lc_end_of(const aw_record_t *r, lc_end_t *out);

typedef struct {
	str_t caller;
	str_t key;
	uint64_t digest;
	str_t service;
	bool repeatable;
	int64_t deadline_wall_ms;
	str_t path;
	str_t body;
	str_t trace;
} lc_accept_t;

/** Commits an acceptance; res is freed by the caller with px_free. */
status_t lc_accept(en_t *en, const lc_accept_t *a, aw_ledger_res_t *res, deadline_t deadline);
status_t lc_query_request(en_t *en, str_t caller, str_t key, aw_query_res_t *res);

/** {"error":{...}} */
void lc_error_json(buf_t *out, const char *code, str_t message, verdict_t verdict,
		   int64_t retry_after_ms);

/** Counts a first try of a service. */
void lc_first_try(en_t *en, str_t service, int percent);
/** Takes a retry from the service's budget. */
bool lc_retry(en_t *en, str_t service);

#endif
