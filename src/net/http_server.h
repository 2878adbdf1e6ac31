/** HTTP/1.1 server on an event loop: one request at a time per connection, replies whole or in
 * chunks. Everything runs on the loop's thread. */
#ifndef AUBURN_HTTP_SERVER_H
#define AUBURN_HTTP_SERVER_H

#include <ev.h>
#include "base/clock.h"
#include "net/http.h"
#include "policy/intake.h"

typedef struct http_server http_server_t;
typedef struct http_conn http_conn_t;

/** A complete request; its views are valid until the reply is complete or the connection closes. */
typedef struct {
	http_head_t head;
	str_t body;
	deadline_t received; /* when it was read whole */
} http_request_t;

/** A client that takes nothing of its connection's last reply for this long loses it, in ms. Longer
 * than a client with a large receive buffer that reads steadily seems to pause: its window opens
 * when half of that is free. */
#define HTTP_READ_SILENT_MS 5000

/** Limits on the size and the duration of a request. */
typedef struct {
	size_t max_header_bytes;
	size_t max_body_bytes;
	int64_t header_timeout_ms; /* from the first byte to the end of the head */
	int64_t idle_timeout_ms; /* between requests, and while a client takes nothing of a
				    reply; within it a body ends or advances by
				    INTAKE_PERIOD_BYTES */
} http_limits_t;

typedef struct {
	struct ev_loop *loop;
	const char *addr;
	http_limits_t limits;
	intake_t *intake; /* shared by the listeners of the process; NULL: no bounds */
	void *ctx;
	void (*request)(void *ctx, http_conn_t *c, const http_request_t *r);
	/** The client closed the connection, or only its sending side, or the connection broke,
	 * before the reply was complete; c is closed after the call. May be NULL. */
	void (*client_gone)(void *ctx, http_conn_t *c);
	/** The client has read all that was written of a reply that is not complete. May be NULL.
	 */
	void (*drained)(void *ctx, http_conn_t *c);
} http_server_options_t;

typedef struct {
	int64_t memory_mib; /* of the machine; 0: unknown */
	int64_t client_memory_mib; /* 0: a part of memory_mib */
	int64_t client_connections; /* 0: a part of the process's limit on descriptors */
} http_intake_settings_t;

/** The bounds for all listeners of a process. */
intake_t *http_intake_new(const http_intake_settings_t *s);
/** Sets the gauges of bytes and connections. */
void http_intake_report(const intake_t *in);

/** NULL with a message if the address cannot be listened on. */
http_server_t *http_server_new(const http_server_options_t *o);
/** Closes the server and all its connections, without client_gone; memory is freed in the loop's
 * next iteration. */
void http_server_close(http_server_t *s);
void http_server_set_limits(http_server_t *s, const http_limits_t *limits);
/** Every reply that begins from now on closes its connection. */
void http_server_drain(http_server_t *s);
/** Number of received requests whose reply is not complete. */
size_t http_server_open_requests(const http_server_t *s);
/** Accepts the pending connections, until none is left or accepting fails, then closes the
 * listening socket. Open connections stay. */
void http_server_stop_accepting(http_server_t *s);
/** True while a request is being read or answered, or part of a reply is not yet written to its
 * socket. */
bool http_server_pending(const http_server_t *s);

/** The user's data for the current request; NULL again once the reply is complete. */
void http_conn_set_data(http_conn_t *c, void *data);
void *http_conn_data(const http_conn_t *c);

/** States that the user holds copies of this size for the current request, until its reply is
 * complete; they count toward the connection. */
void http_conn_hold(http_conn_t *c, size_t bytes);

/** The reply to the current request closes the connection. */
void http_conn_close_after_reply(http_conn_t *c);

/* A client that leaves a reply unread while memory is short, or more than 4 MiB of a reply in
 * chunks, loses its connection; client_gone follows. */

/** Sends a whole reply; headers are lines ending in CRLF, without Content-Length and Connection.
 * All http_reply functions do nothing if the connection is closed. */
void http_reply(http_conn_t *c, int status, str_t headers, str_t body);
/** Begins a reply in chunks; to a client that does not know chunks (HTTP/1.0), one that ends with
 * the connection, which is reset if the reply is not ended. */
void http_reply_begin(http_conn_t *c, int status, str_t headers);
void http_reply_chunk(http_conn_t *c, str_t chunk);
/** Bytes of replies that the client has not read. */
size_t http_conn_unread(const http_conn_t *c);
void http_reply_end(http_conn_t *c);
/** Closes the connection at once, so that a begun reply cannot look complete. */
void http_reply_abort(http_conn_t *c);
const char *http_reason(int status);

#endif
