/**
 * Framed messages over one TCP connection on an event loop. The links between entries and control
 * processes (proto/link.x) use it: both ends may send at any time. A frame is a message after its
 * length, which is four bytes in network order.
 */
#ifndef AUBURN_MSGCONN_H
#define AUBURN_MSGCONN_H

#include <ev.h>
#include "base/clock.h"
#include "base/str.h"

typedef struct msgconn msgconn_t;

typedef struct {
	struct ev_loop *loop;
	void *ctx;
	void (*message)(void *ctx, msgconn_t *c, str_t m);
	/** The connection has ended without msgconn_close; it is freed after the call. */
	void (*closed)(void *ctx, msgconn_t *c);
	/** An outgoing connection is established. May be NULL. */
	void (*opened)(void *ctx, msgconn_t *c);
} msgconn_options_t;

/** NULL if the connection cannot be started. */
msgconn_t *msgconn_connect(const char *addr, const msgconn_options_t *o);
/** Takes over an accepted socket. */
msgconn_t *msgconn_from_fd(int fd, const msgconn_options_t *o);
/** Queues a message, which is sent at the end of the loop's iteration or once the connection is
 * established. Runs no callback: if sending fails, the loop calls closed later. */
void msgconn_send(msgconn_t *c, str_t m);
/** Closes the connection; its memory is freed in the loop's next iteration. */
void msgconn_close(msgconn_t *c);
void msgconn_set_data(msgconn_t *c, void *data);
void *msgconn_data(const msgconn_t *c);
/** Time of the last input from the peer; before the first input, the time when the connection was
 * created or, later, established. */
deadline_t msgconn_last_received(const msgconn_t *c);
/** Number of bytes received from the peer so far, also of messages that aren't whole yet. */
uint64_t msgconn_received_bytes(const msgconn_t *c);

#endif
