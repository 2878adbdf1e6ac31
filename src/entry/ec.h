/**
 * HTTP client of the entry: one thread runs all calls and event streams over kept connections.
 * Callbacks come on that thread and must not block.
 */
#ifndef AUBURN_EC_H
#define AUBURN_EC_H

#include <stdbool.h>
#include "base/clk.h"
#include "base/status.h"
#include "base/str.h"

typedef struct ec ec_t;

typedef enum {
	EC_FINISHED, /* the answer came whole */
	EC_NOT_SENT, /* no connection: surely not received */
	EC_BROKEN, /* the connection ended before the answer did */
	EC_STALLED /* silent for too long */
} ec_kind_t;

typedef struct {
	ec_kind_t kind;
	int http_status; /* 0 when no answer began */
	str_t body; /* of an answer that is no event stream */
	const char *content_type;
} ec_end_t;

typedef struct {
	const char *method; /* "GET", "POST" */
	const char *url;
	str_t body;
	const char *const *headers; /* "Name: value", ends with NULL; may be NULL */
	int64_t silence_ms; /* broken off after so long without a byte; 0 = no bound */
	int64_t first_ms; /* the same before the first byte; 0 = silence_ms */
	deadline_t deadline; /* broken off then */
	bool fresh; /* on a new connection, never sent twice by the library */
	void *ctx;
	/** One server-sent event; false breaks the call off. May be NULL. */
	bool (*event)(void *ctx, str_t name, str_t data);
	/** Called once. */
	void (*end)(void *ctx, const ec_end_t *end);
} ec_options_t;

ec_t *ec_new(void);
/** Begins a call; strings are copied. */
void ec_start(ec_t *e, const ec_options_t *o);
/** Calls and waits. The body is appended to out, which may be NULL. */
ec_kind_t ec_call(ec_t *e, const ec_options_t *o, int *http_status, buf_t *out);

#endif
