/** Parser of server-sent events (WHATWG HTML, section 9.2). */
#ifndef AUBURN_SSE_H
#define AUBURN_SSE_H

#include "base/str.h"

/** Most bytes of an incomplete event; more are malformed, as events carry a few tokens of text. */
#define SSE_EVENT_MAX_BYTES (1U << 20)

typedef struct {
	buf_t pending; /* bytes after the last complete event */
	size_t line; /* where its last line begins */
	size_t searched; /* leading bytes of pending in which no further line ends */
	buf_t data; /* of the last event, if it had several lines of data */
} sse_parser_t;

typedef struct {
	str_t raw; /* with the empty line that ends it */
	str_t name; /* of its last event line; empty if there is none */
	str_t data; /* of its data lines, joined by line feeds; valid during the callback */
	long long id; /* of its last id line; -1: none, or not a number */
	bool has_data;
	bool is_malformed; /* has lines, but neither a field of an event nor a comment */
} sse_event_t;

/** Returns false to stop the parser. */
typedef bool (*sse_callback_t)(void *ctx, const sse_event_t *e);

/** Parses bytes and runs the callback on each event that they complete. False if the callback has
 * returned false, or if more than SSE_EVENT_MAX_BYTES of an incomplete event are pending. */
bool sse_feed(sse_parser_t *s, str_t bytes, sse_callback_t event, void *ctx);
void sse_free(sse_parser_t *s);

#endif
