/**
 * HTTP client of the entry: one thread runs all calls and event streams over kept connections.
 * Callbacks come on that thread and must not block.
 */
#ifndef AUBURN_FETCH_H
#define AUBURN_FETCH_H

#include <stdbool.h>
#include "base/clock.h"
#include "base/status.h"
#include "base/str.h"

typedef struct fetch_client fetch_client_t;

typedef enum {
	FETCH_FINISHED, /* the answer came whole */
	FETCH_NOT_SENT, /* no connection: surely not received */
	FETCH_BROKEN, /* the connection ended before the answer did */
	FETCH_TIMED_OUT /* silent for too long */
} fetch_result_t;

typedef struct {
	fetch_result_t result;
	int http_status; /* 0 when no answer began */
	str_t body; /* of an answer that is no event stream */
	const char *content_type;
} fetch_end_t;

typedef struct {
	const char *method; /* "GET", "POST" */
	const char *url;
	str_t body;
	const char *const *headers; /* "Name: value", ends with NULL; may be NULL */
	int64_t silence_timeout_ms; /* broken off after so long without a byte; 0 = no bound */
	int64_t first_byte_timeout_ms; /* the same before the first byte; 0 = silence_ms */
	deadline_t deadline; /* broken off then */
	bool new_connection; /* on a new connection, never sent twice by the library */
	void *ctx;
	/** One server-sent event; false breaks the call off. May be NULL. */
	bool (*on_event)(void *ctx, str_t name, str_t data);
	/** Called once. */
	void (*on_end)(void *ctx, const fetch_end_t *end);
} fetch_options_t;

fetch_client_t *fetch_client_new(void);
/** Begins a call; strings are copied. */
void fetch_start(fetch_client_t *e, const fetch_options_t *o);
/** Calls and waits. The body is appended to out, which may be NULL. */
fetch_result_t fetch_sync(fetch_client_t *e, const fetch_options_t *o, int *http_status,
			  buf_t *out);

#endif
