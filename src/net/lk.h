/** Framed messages over TCP on an event loop, for links between own processes: both ends send
 * whenever they have something to say. A frame is a length of four bytes and that many bytes. */
#ifndef AUBURN_LK_H
#define AUBURN_LK_H

#include <ev.h>
#include "base/clk.h"
#include "base/str.h"

typedef struct lk lk_t;

typedef struct {
	struct ev_loop *loop;
	void *ctx;
	void (*message)(void *ctx, lk_t *l, str_t m);
	/** The link has ended; it is freed after the call. Not called after lk_close. */
	void (*closed)(void *ctx, lk_t *l);
	/** Outgoing: the connection stands. May be NULL. */
	void (*open)(void *ctx, lk_t *l);
} lk_options_t;

/** NULL when no connection can be begun. */
lk_t *lk_connect(const char *addr, const lk_options_t *o);
/** Takes over an accepted socket. */
lk_t *lk_accepted(int fd, const lk_options_t *o);
void lk_send(lk_t *l, str_t m);
void lk_close(lk_t *l);
void lk_set_data(lk_t *l, void *data);
void *lk_data(const lk_t *l);
/** When the peer was last heard. */
deadline_t lk_heard(const lk_t *l);

#endif
