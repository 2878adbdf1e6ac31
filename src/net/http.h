/** Incremental reader of HTTP/1.1 messages, around http_parser. */
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

/** Head of a message; views live until the next message begins. */
typedef struct {
	str_t method; /* request */
	str_t target; /* request: path and query as sent */
	int status; /* response */
	const http_header_t *headers;
	size_t nheaders;
	bool keep_alive;
} http_head_t;

/** Value of the first header with this name, any case; {NULL, 0} when there is none. */
str_t http_header(const http_head_t *h, const char *name);
/** Value of key in the target's query, still percent-encoded; {NULL, 0} when there is none. */
str_t http_query(str_t target, const char *key);
/** The target without its query. */
str_t http_path(str_t target);
/** Reads a whole number without sign; -1 when s is anything else. */
long long http_parse_number(str_t s);

typedef struct {
	void *ctx;
	void (*head)(void *ctx, const http_head_t *h);
	void (*body)(void *ctx, str_t piece);
	void (*end)(void *ctx);
} http_reader_callbacks_t;

typedef struct {
	bool responses; /* else requests */
	bool pause_after_message; /* stop behind each message until http_reader_resume */
	size_t max_header_bytes;
	http_reader_callbacks_t cb;
} http_reader_options_t;

typedef struct {
	size_t name, name_n, value, value_n;
} http_span_t;

typedef struct {
	http_reader_options_t o;
	http_parser parser;
	buf_t text;
	size_t target_n;
	http_span_t spans[HTTP_HEADERS_MAX];
	size_t nspans;
	bool in_value;
	bool in_body; /* fields that come now are trailers, which nobody gets */
	bool too_large;
	http_header_t headers[HTTP_HEADERS_MAX];
	http_head_t head;
} http_reader_t;

void http_reader_init(http_reader_t *p, const http_reader_options_t *o);
void http_reader_free(http_reader_t *p);
/** Feeds bytes; an empty input says that the stream has ended. *used: how many were taken, fewer
 *  than given only after a pause. STATUS_LIMIT: the head is too large. STATUS_INVALID: not HTTP. */
status_t http_reader_feed(http_reader_t *p, str_t in, size_t *used);
/** Goes on behind a pause. */
void http_reader_resume(http_reader_t *p);

#endif
