/** Incremental reader of HTTP/1.1 messages on http_parser, and access to the parts of a head. */
#ifndef AUBURN_HTTP_H
#define AUBURN_HTTP_H

#include <http_parser.h>
#include "base/status.h"
#include "base/str.h"

#define HTTP_HEADERS_MAX 64

typedef struct {
	str_t name;
	str_t value;
} http_header_t;

/** Head of a message; its views are valid until the next message begins. */
typedef struct {
	str_t method; /* request */
	str_t target; /* request: path and query as sent */
	int status; /* response */
	const http_header_t *headers;
	size_t nheaders;
	bool keep_alive;
	bool framed; /* response: it has a length or chunks, or no body; else it ends with its
			connection */
} http_head_t;

/** True if a response can have this status (RFC 9110, section 15). */
bool http_is_status(long code);
/** True if s is this header name, ignoring case. */
bool http_name_is(str_t s, const char *name);
/** Value of the first header with this name, ignoring case; {NULL, 0} if there is none. */
str_t http_header(const http_head_t *h, const char *name);
/** Value of the first key=value with this key in the query of a target, still percent-encoded;
 * {NULL, 0} if there is none. */
str_t http_query(str_t target, const char *key);
/** The target without its query. */
str_t http_path(str_t target);
/** True if the text is a token (RFC 9110, section 5.6.2), as the name of a field is. */
bool http_is_token(str_t s);
/** True if the text can stand in the value of a field (RFC 9110, section 5.5): it has no controls
 * but tabs. Blanks at its ends do not belong to the value that is read. */
bool http_is_field_value(str_t s);
/** True if the text can be the target of a request in origin form (RFC 9112, section 3.2.1). */
bool http_is_target(str_t s);
/** Parses a decimal number of at most 15 digits, without sign; -1 if s is anything else. */
long long http_parse_number(str_t s);

typedef struct {
	void *ctx;
	void (*head)(void *ctx, const http_head_t *h);
	void (*body)(void *ctx, str_t piece);
	void (*end)(void *ctx);
} http_reader_callbacks_t;

typedef struct {
	bool responses; /* the messages are responses, else requests */
	bool pause_after_message; /* stop after each message until http_reader_resume */
	size_t max_header_bytes; /* limit on the target and the header names and values */
	http_reader_callbacks_t cb;
} http_reader_options_t;

typedef struct {
	size_t name, name_n, value, value_n; /* offsets and lengths in the reader's text */
} http_span_t;

typedef struct {
	http_reader_options_t o;
	http_parser parser;
	buf_t text; /* target, header names and values of the head */
	size_t target_n; /* the target is the first part of text */
	http_span_t spans[HTTP_HEADERS_MAX];
	size_t nspans;
	bool in_value; /* the last header's value has begun */
	bool in_body; /* header fields from here on are trailers, which are ignored */
	bool too_large; /* the head exceeds a limit */
	http_header_t headers[HTTP_HEADERS_MAX];
	http_head_t head;
} http_reader_t;

void http_reader_init(http_reader_t *p, const http_reader_options_t *o);
void http_reader_free(http_reader_t *p);
/** Feeds bytes; an empty input marks the end of the stream. *used: number of bytes consumed, all of
 * them unless the reader pauses or fails. STATUS_LIMIT: the head is too large. STATUS_INVALID:
 * malformed, a response with a status outside 100 to 599, or a protocol upgrade. */
status_t http_reader_feed(http_reader_t *p, str_t in, size_t *used);
/** Ends a pause: the next http_reader_feed reads the next message. */
void http_reader_resume(http_reader_t *p);

#endif
