/** HTTP/1.1 client on an event loop, with a pool of idle connections per address. */
#ifndef AUBURN_HTTP_CLIENT_H
#define AUBURN_HTTP_CLIENT_H

#include <ev.h>
#include "base/clock.h"
#include "net/http.h"

typedef struct http_client http_client_t;
typedef struct http_call http_call_t;

typedef enum {
	HTTP_CALL_DONE, /* the response is complete */
	HTTP_CALL_UNSENT, /* no byte of the request was written: surely not received */
	HTTP_CALL_BROKEN, /* the connection ended early; may have run */
	HTTP_CALL_MALFORMED, /* the input is not a response, its head is too large, or there are
			       too many interim heads; may have run */
	HTTP_CALL_TOO_LONG /* more than max_bytes were received; may have run */
} http_call_end_t;

typedef struct {
	str_t request; /* whole, head and body; copied */
	const char *addr; /* ip:port */
	bool new_conn; /* do not reuse an idle connection, which the server may be closing */
	deadline_t connect_deadline; /* for a new connection; none applies to the response */
	size_t max_bytes; /* limit on all input: interim heads, skipped responses, and the response
			     with its framing */
	void *ctx;
	void (*connected)(void *ctx); /* a new connection was made; may be NULL */
	/** False: this response belongs to another request and is skipped. */
	bool (*head)(void *ctx, const http_head_t *h);
	void (*body)(void *ctx, str_t chunk);
	/** Called once, unless the call is cancelled or the client closed; the call is freed after
	 * it. */
	void (*end)(void *ctx, http_call_end_t how);
} http_call_options_t;

http_client_t *http_client_new(struct ev_loop *loop);
/** Starts a call. No callback runs before this returns. */
http_call_t *http_call_start(http_client_t *h, const http_call_options_t *o);
/** True if the connection has served an earlier call: bytes of the earlier call's response may
 * still arrive. */
bool http_call_reused_conn(const http_call_t *c);
/** True once a byte of the request was written to the socket: the server may have received it. */
bool http_call_sent(const http_call_t *c);
/** Stops reading the response, or goes on: for a reader of it that is slower than the server. While
 * it is stopped, the end of the connection goes unnoticed. */
void http_call_pause(http_call_t *c, bool paused);
/** Closes the connection after this call's response instead of reusing it. From the head callback
 * on. */
void http_call_close_conn_after(http_call_t *c);
/** Ends a call and closes its connection; no callback follows. */
void http_call_cancel(http_call_t *c);
/** Closes the idle connections, as when the path to the servers was cut. */
void http_client_close_idle(http_client_t *h);
/** Ends all calls and closes all connections; memory is freed in the loop's next iteration. No
 * callback follows, except the end of a call whose connection could not be started. */
void http_client_close(http_client_t *h);
/** Number of connections started so far, failed ones included. */
uint64_t http_client_connects(const http_client_t *h);

#endif
