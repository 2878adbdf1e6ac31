/**
 * HTTP client of the entry: one thread runs all calls and event streams over a pool of connections.
 * Callbacks run on that thread and must not block.
 */
#ifndef AUBURN_FETCH_H
#define AUBURN_FETCH_H

#include <stdbool.h>
#include "base/clock.h"
#include "base/status.h"
#include "base/str.h"

typedef struct fetch_client fetch_client_t;

typedef enum {
	FETCH_FINISHED, /* the response is complete */
	FETCH_NOT_SENT, /* failed before any byte of the request was sent */
	FETCH_BROKEN, /* failed later: the connection broke, the response was too long, or on_event
		       * ended the call */
	FETCH_TIMED_OUT /* a silence timeout or the deadline ran out */
} fetch_result_t;

typedef struct {
	fetch_result_t result;
	int http_status; /* 0 if no response began */
	str_t body; /* empty for an event stream */
	const char *content_type;
} fetch_end_t;

typedef struct {
	const char *method; /* "GET", "POST" */
	const char *url;
	str_t body;
	const char *const *headers; /* "Name: value", terminated by NULL; may be NULL */
	int64_t silence_timeout_ms; /* between bytes of the response body; 0 = no limit */
	int64_t first_byte_timeout_ms; /* to the first of these bytes; 0 = silence_timeout_ms */
	deadline_t deadline; /* 0 = none */
	bool new_connection; /* so that libcurl never sends the request twice */
	void *ctx;
	/** Called for each server-sent event with data; false ends the call. May be NULL. */
	bool (*on_event)(void *ctx, str_t name, str_t data);
	/** Called once, at the end. */
	void (*on_end)(void *ctx, const fetch_end_t *end);
} fetch_options_t;

fetch_client_t *fetch_client_new(void);
/** Starts a call. Strings are copied. */
void fetch_start(fetch_client_t *client, const fetch_options_t *options);
/** Runs a call and waits for its end, without calling options->on_event or on_end. Appends the
 * response body to out unless out is NULL. */
fetch_result_t fetch_sync(fetch_client_t *client, const fetch_options_t *options, int *http_status,
			  buf_t *out);

#endif
