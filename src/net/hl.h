/** HTTP/1.1 listener on an event loop: one request at a time on a connection, answers whole or in
 * pieces. Everything runs on the loop's thread. */
#ifndef AUBURN_HL_H
#define AUBURN_HL_H

#include <ev.h>
#include "base/clk.h"
#include "net/hp.h"

typedef struct hl hl_t;
typedef struct hl_conn hl_conn_t;

/** A whole request; views live until it is answered. */
typedef struct {
	hp_head_t head;
	str_t body;
	deadline_t received; /* when its first byte came */
} hl_request_t;

/** Bounds on what a client may send and how long it may take. */
typedef struct {
	size_t max_header_bytes;
	size_t max_body_bytes;
	int64_t header_ms;
	int64_t idle_ms;
} hl_limits_t;

typedef struct {
	struct ev_loop *loop;
	const char *addr;
	hl_limits_t limits;
	void *ctx;
	void (*request)(void *ctx, hl_conn_t *c, const hl_request_t *r);
	/** The client left before its answer was complete. The connection is gone. */
	void (*gone)(void *ctx, hl_conn_t *c);
} hl_options_t;

/** NULL with a message when the address can't be listened on. */
hl_t *hl_new(const hl_options_t *o);
/** Closes the listener and all its connections; memory is freed by the loop's next turn. */
void hl_close(hl_t *l);
void hl_set_limits(hl_t *l, const hl_limits_t *limits);
/** From now on every answer closes its connection. */
void hl_drain(hl_t *l);
/** Requests without a complete answer. */
size_t hl_busy(const hl_t *l);
/** Takes what has connected already, and refuses further connections. */
void hl_stop_accepting(hl_t *l);
/** True while a request is being read or answered, or an answer isn't sent to its end. */
bool hl_pending(const hl_t *l);

void hl_set_data(hl_conn_t *c, void *data);
void *hl_data(const hl_conn_t *c);

/** Answers whole; headers are lines that end with CRLF, without length and connection. */
void hl_reply(hl_conn_t *c, int status, str_t headers, str_t body);
/** Begins an answer in pieces. */
void hl_begin(hl_conn_t *c, int status, str_t headers);
void hl_piece(hl_conn_t *c, str_t piece);
void hl_end(hl_conn_t *c);
/** Breaks the connection off, so that the answer can't look complete. */
void hl_abort(hl_conn_t *c);
const char *hl_reason(int status);

#endif
