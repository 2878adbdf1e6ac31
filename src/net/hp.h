/** Incremental reader of HTTP/1.1 messages, around http_parser. */
#ifndef AUBURN_HP_H
#define AUBURN_HP_H

#include <http_parser.h>
#include "base/status.h"
#include "base/str.h"

#define HP_HEADERS_MAX 64

typedef struct {
	str_t name;
	str_t value;
} hp_header_t;

/** Head of a message; views live until the next message begins. */
typedef struct {
	str_t method; /* request */
	str_t target; /* request: path and query as sent */
	int status; /* response */
	const hp_header_t *headers;
	size_t nheaders;
	bool keep_alive;
} hp_head_t;

/** Value of the first header with this name, any case; {NULL, 0} when there is none. */
str_t hp_header(const hp_head_t *h, const char *name);
/** Value of key in the target's query, still percent-encoded; {NULL, 0} when there is none. */
str_t hp_query(str_t target, const char *key);
/** The target without its query. */
str_t hp_path(str_t target);
/** Reads a whole number without sign; -1 when s is anything else. */
long long hp_number(str_t s);

typedef struct {
	void *ctx;
	void (*head)(void *ctx, const hp_head_t *h);
	void (*body)(void *ctx, str_t piece);
	void (*end)(void *ctx);
} hp_callbacks_t;

typedef struct {
	bool responses; /* else requests */
	bool pause; /* stop behind each message until hp_next */
	size_t max_header_bytes;
	hp_callbacks_t cb;
} hp_options_t;

typedef struct {
	size_t name, name_n, value, value_n;
} hp_span_t;

typedef struct {
	hp_options_t o;
	http_parser parser;
	buf_t text;
	size_t target_n;
	hp_span_t spans[HP_HEADERS_MAX];
	size_t nspans;
	bool in_value;
	bool in_body; /* fields that come now are trailers, which nobody gets */
	bool too_large;
	hp_header_t headers[HP_HEADERS_MAX];
	hp_head_t head;
} hp_t;

void hp_init(hp_t *p, const hp_options_t *o);
void hp_free(hp_t *p);
/** Feeds bytes; an empty input says that the stream has ended. *used: how many were taken, fewer
 *  than given only after a pause. ST_LIMIT: the head is too large. ST_INVALID: not HTTP. */
status_t hp_feed(hp_t *p, str_t in, size_t *used);
/** Goes on behind a pause. */
void hp_next(hp_t *p);

#endif
