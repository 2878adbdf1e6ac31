/** Ledger calls of an entry, the JSON of errors, and retry budgets of services. */
#ifndef AUBURN_LEDGER_CLIENT_H
#define AUBURN_LEDGER_CLIENT_H

#include "entry/entry.h"

typedef struct {
	str_t caller;
	str_t key;
	bool done;
	verdict_t verdict;
	int http_status;
	str_t result;
} ledger_client_finish_t;

/** The end of a request that stands in the ledger. */
typedef struct {
	bool done;
	verdict_t verdict;
	int http_status;
	buf_t result; /* body, or the error JSON */
} ledger_client_end_t;

/** Commits the end of a request; tried again until it is known to be committed or a long deadline
 *  has passed. STATUS_CONFLICT: another end stands, which `standing` is filled with; the caller
 * frees its result. */
status_t ledger_client_finish(entry_ctx_t *en, const ledger_client_finish_t *f,
			      ledger_client_end_t *standing);
/** Fills in the end that a final record holds; the caller frees its result. */
void ledger_client_end_of(const wire_record_t *r, ledger_client_end_t *out);

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
} ledger_client_accept_t;

/** Commits an acceptance; res is freed by the caller with wire_free. */
status_t ledger_client_accept(entry_ctx_t *en, const ledger_client_accept_t *a,
			      wire_ledger_res_t *res, deadline_t deadline);
status_t ledger_client_query(entry_ctx_t *en, str_t caller, str_t key, wire_query_res_t *res);

/** {"error":{...}} */
void ledger_client_error_json(buf_t *out, const char *code, str_t message, verdict_t verdict,
			      int64_t retry_after_ms);

/** Counts a first try of a service. */
void ledger_client_count_first(entry_ctx_t *en, str_t service, int percent);
/** Takes a retry from the service's budget. */
bool ledger_client_take_retry(entry_ctx_t *en, str_t service);

#endif
