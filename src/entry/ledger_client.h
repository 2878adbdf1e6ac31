/**
 * Calls to the ledger about requests, JSON of errors, and retry budgets of services. The ledger is
 * the control's replicated record of requests, by caller and idempotency key, and of jobs.
 */
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

/** The end of a request as stored in the ledger. */
typedef struct {
	bool done;
	verdict_t verdict;
	int http_status;
	buf_t result; /* body, or the error as JSON */
} ledger_client_end_t;

/** Commits the end of a request; retries until the ledger answers, at most 60 s. STATUS_CONFLICT:
 * the ledger holds another end, or another session holds the request, which may not have ended. The
 * ledger's record is then copied to *stored as by ledger_client_read_end. */
status_t ledger_client_finish(entry_ctx_t *en, const ledger_client_finish_t *f,
			      ledger_client_end_t *stored);
/** Copies the end from a record; one that has not ended reads as a failure with an empty message.
 * The caller frees out->result. */
void ledger_client_read_end(const wire_record_t *r, ledger_client_end_t *out);

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

/** Commits that the request is accepted. The caller frees res with wire_free. */
status_t ledger_client_accept(entry_ctx_t *en, const ledger_client_accept_t *a,
			      wire_ledger_res_t *res, deadline_t deadline);
status_t ledger_client_query(entry_ctx_t *en, str_t caller, str_t key, wire_query_res_t *res);

/** Appends {"error":{...}}. */
void ledger_client_error_json(buf_t *out, const char *code, str_t message, verdict_t verdict,
			      int64_t retry_after_ms);

/** Counts a request of the service: adds percent/100 of a retry to the service's retry budget. */
void ledger_client_count_request(entry_ctx_t *en, str_t service, int percent);
/** Takes a retry from the service's budget; false if the budget is used up, or if this entry has
 * not counted a request of the service yet. */
bool ledger_client_take_retry(entry_ctx_t *en, str_t service);

#endif
