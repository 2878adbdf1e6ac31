/** Parser of server-sent events. */
#ifndef AUBURN_SSE_H
#define AUBURN_SSE_H

#include "base/str.h"

/** Largest event, in bytes; a longer one is malformed, as events carry a few tokens of text. */
#define SSE_EVENT_MAX_BYTES (1U << 20)

typedef struct {
	buf_t pending; /* bytes after the last complete event */
	size_t searched; /* leading bytes of pending in which no event ends */
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

/** Consumes bytes and calls back for each complete event. False once the callback has returned
 * false, or if an event is too long. */
bool sse_feed(sse_parser_t *s, str_t bytes, sse_callback_t event, void *ctx);
void sse_free(sse_parser_t *s);

#endif
