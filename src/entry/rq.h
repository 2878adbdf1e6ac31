/**
 * An accepted online completion: runs attempts until it is done or has failed, commits the result,
 * and keeps what the caller's connection reads. Goes on when the caller has gone away.
 */
#ifndef AUBURN_RQ_H
#define AUBURN_RQ_H

#include "entry/en.h"
#include "base/tr.h"

typedef struct rq rq_t;

typedef struct {
	en_t *en;
	str_t caller;
	str_t key;
	str_t service;
	str_t model;
	str_t prompt;
	unsigned max_tokens;
	deadline_t deadline; /* of the first token */
	const tr_span_t *span;
} rq_options_t;

typedef struct {
	bool ok;
	int http_status;
	verdict_t verdict;
	const char *code;
	str_t message; /* lives as long as the request */
	int64_t retry_after_ms;
	str_t result; /* JSON, as it was committed */
} rq_outcome_t;

/** Starts running; the caller's reference. */
rq_t *rq_start(const rq_options_t *o);
void rq_unref(rq_t *r);
/** Counts the caller's stream, which holds up a planned stop until rq_close. */
void rq_open(rq_t *r);
/** The stream ended or its caller went away; gives the reference back. */
void rq_close(rq_t *r);
/** Waits for the first token or the end. True if there are tokens to read. */
bool rq_wait_first(rq_t *r);
/** Copies event-stream bytes that have come since; waits for some. 0 at the end. */
size_t rq_read(rq_t *r, char *out, size_t max);
/** Waits for the end. */
void rq_wait_end(rq_t *r, rq_outcome_t *out);

#endif
