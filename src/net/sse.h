/** Parser of server-sent events. */
#ifndef AUBURN_SSE_H
#define AUBURN_SSE_H

#include "base/str.h"

/** A longer event is malformed, in bytes: events carry some tokens of text. */
#define SSE_EVENT_MAX_BYTES (1U << 20)

typedef struct {
	buf_t pending; /* bytes behind the last whole event */
	size_t searched; /* of these, in which no event ends */
} sse_parser_t;

typedef struct {
	str_t raw; /* with the empty line that ends it */
	str_t name; /* empty if none is given */
	str_t data; /* of its last data line */
	long long id; /* -1: none, or not a number */
	bool has_data;
} sse_event_t;

/** False stops the parser. */
typedef bool (*sse_callback_t)(void *ctx, const sse_event_t *e);

/** Takes bytes as they come and calls back for each whole event. False once the callback returned
 * false, or when an event is too long. */
bool sse_feed(sse_parser_t *s, str_t bytes, sse_callback_t event, void *ctx);
void sse_free(sse_parser_t *s);

#endif
