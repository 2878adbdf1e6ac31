/**
 * An accepted online completion: runs attempts until it is done or has failed, commits the result,
 * and keeps what the caller's connection reads. Goes on when the caller has gone away.
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
	str_t message; /* lives as long as the request */
	int64_t retry_after_ms;
	str_t result; /* JSON, as it was committed */
} completion_outcome_t;

/** Starts running; the caller's reference. */
completion_t *completion_start(const completion_options_t *o);
void completion_unref(completion_t *r);
/** Counts the caller's stream, which holds up a planned stop until completion_stream_close. */
void completion_stream_open(completion_t *r);
/** The stream ended or its caller went away; gives the reference back. */
void completion_stream_close(completion_t *r);
/** Waits for the first token or the end. True if there are tokens to read. */
bool completion_wait_first(completion_t *r);
/** Copies event-stream bytes that have come since; waits for some. 0 at the end. */
size_t completion_read(completion_t *r, char *out, size_t max);
/** Waits for the end. */
void completion_wait_end(completion_t *r, completion_outcome_t *out);

#endif
