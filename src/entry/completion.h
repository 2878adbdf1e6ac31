/**
 * An accepted online completion. Its thread runs attempts until one succeeds or the request fails,
 * commits the result to the ledger and buffers events for the caller's connection. The request
 * runs to its end even if the caller disconnects.
 */
#ifndef AUBURN_COMPLETION_H
#define AUBURN_COMPLETION_H

#include "entry/entry.h"
#include "base/trace.h"

typedef struct completion completion_t;

typedef struct {
	entry_ctx_t *en;
	str_t caller;
	str_t key;
	str_t service;
	str_t model;
	str_t prompt;
	unsigned max_tokens;
	deadline_t deadline; /* of the first token */
	const trace_span_t *span;
} completion_options_t;

typedef struct {
	bool ok;
	int http_status;
	verdict_t verdict;
	const char *code;
	str_t message; /* valid while the completion is referenced */
	int64_t retry_after_ms;
	str_t result; /* JSON, as committed */
} completion_outcome_t;

/** Starts the completion's thread, which at its end removes the key from the inflight table and
 * calls admission_leave. The caller owns one reference. */
completion_t *completion_start(const completion_options_t *o);
void completion_unref(completion_t *r);
/** Counts the caller's event stream as open, until completion_stream_close; entry_drain waits for
 * open streams. */
void completion_stream_open(completion_t *r);
/** Called when the caller's event stream has ended or its connection was closed: stops counting the
 * stream and drops the caller's reference. */
void completion_stream_close(completion_t *r);
/** Waits for the first token or the end. Returns true if there are tokens to read. */
bool completion_wait_first(completion_t *r);
/** Waits for events and moves up to `max` bytes of them to `out`. Returns 0 at the end. */
size_t completion_read(completion_t *r, char *out, size_t max);
/** Waits for the end and copies the outcome. */
void completion_wait_end(completion_t *r, completion_outcome_t *out);

#endif
