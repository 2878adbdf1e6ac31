/** HTTP/1.1 listener on an event loop: one request at a time on a connection, answers whole or in
 * pieces. Everything runs on the loop's thread. */
#ifndef AUBURN_HTTP_SERVER_H
#define AUBURN_HTTP_SERVER_H

#include <ev.h>
#include "base/clock.h"
#include "net/http.h"

typedef struct http_server http_server_t;
typedef struct http_conn http_conn_t;

/** A whole request; views live until it is answered. */
typedef struct {
	http_head_t head;
	str_t body;
	deadline_t received; /* when its first byte came */
} http_request_t;

/** Bounds on what a client may send and how long it may take. */
typedef struct {
	size_t max_header_bytes;
	size_t max_body_bytes;
	int64_t header_timeout_ms;
	int64_t idle_timeout_ms;
} http_limits_t;

typedef struct {
	struct ev_loop *loop;
	const char *addr;
	http_limits_t limits;
	void *ctx;
	void (*request)(void *ctx, http_conn_t *c, const http_request_t *r);
	/** The client left before its answer was complete. The connection is gone. */
	void (*client_gone)(void *ctx, http_conn_t *c);
} http_server_options_t;

/** NULL with a message when the address can't be listened on. */
http_server_t *http_server_new(const http_server_options_t *o);
/** Closes the listener and all its connections; memory is freed by the loop's next turn. */
void http_server_close(http_server_t *l);
void http_server_set_limits(http_server_t *l, const http_limits_t *limits);
/** From now on every answer closes its connection. */
void http_server_drain(http_server_t *l);
/** Requests without a complete answer. */
size_t http_server_open_requests(const http_server_t *l);
/** Takes what has connected already, and refuses further connections. */
void http_server_stop_accepting(http_server_t *l);
/** True while a request is being read or answered, or an answer isn't sent to its end. */
bool http_server_pending(const http_server_t *l);

void http_conn_set_data(http_conn_t *c, void *data);
void *http_conn_data(const http_conn_t *c);

/** Answers whole; headers are lines that end with CRLF, without length and connection. */
void http_reply(http_conn_t *c, int status, str_t headers, str_t body);
/** Begins an answer in pieces. */
void http_reply_begin(http_conn_t *c, int status, str_t headers);
void http_reply_chunk(http_conn_t *c, str_t piece);
void http_reply_end(http_conn_t *c);
/** Breaks the connection off, so that the answer can't look complete. */
void http_reply_abort(http_conn_t *c);
const char *http_reason(int status);

#endif
