/** Framed messages over TCP on an event loop, for links between own processes: both ends send
 * whenever they have something to say. A frame is a length of four bytes and that many bytes. */
#ifndef AUBURN_MSGCONN_H
#define AUBURN_MSGCONN_H

#include <ev.h>
#include "base/clock.h"
#include "base/str.h"

typedef struct msgconn msgconn_t;

typedef struct {
	struct ev_loop *loop;
	void *ctx;
	void (*message)(void *ctx, msgconn_t *l, str_t m);
	/** The link has ended; it is freed after the call. Not called after msgconn_close. */
	void (*closed)(void *ctx, msgconn_t *l);
	/** Outgoing: the connection stands. May be NULL. */
	void (*opened)(void *ctx, msgconn_t *l);
} msgconn_options_t;

/** NULL when no connection can be begun. */
msgconn_t *msgconn_connect(const char *addr, const msgconn_options_t *o);
/** Takes over an accepted socket. */
msgconn_t *msgconn_from_fd(int fd, const msgconn_options_t *o);
void msgconn_send(msgconn_t *l, str_t m);
void msgconn_close(msgconn_t *l);
void msgconn_set_data(msgconn_t *l, void *data);
void *msgconn_data(const msgconn_t *l);
/** When the peer was last heard. */
deadline_t msgconn_last_received(const msgconn_t *l);

#endif
