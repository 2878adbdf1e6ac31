/**
 * Timeouts for input from other processes, such as for silence. After a pause of this process (it
 * was stopped, or got no share of a core) such a timer is due although the awaited input may lie
 * unread in a socket: a late timer therefore fires only after the loop has read its sockets once
 * more.
 */
#ifndef AUBURN_TIMEOUT_H
#define AUBURN_TIMEOUT_H

#include <ev.h>
#include "base/clock.h"

/** A timer that fires later than this, in ms, was delayed by a pause; others fire a few ms late. */
#define TIMEOUT_LATE_MS 20

typedef struct {
	ev_timer watcher;
	struct ev_loop *loop;
	deadline_t due;
	void (*expired)(void *ctx);
	void *ctx;
} timeout_t;

void timeout_init(timeout_t *t, struct ev_loop *loop, void (*expired)(void *ctx), void *ctx);
/** Fires once, ms from now; replaces an earlier setting. */
void timeout_set(timeout_t *t, int64_t ms);
/** Fires from the loop, soon after the current callback has returned. An earlier setting stays set
 * and fires too, unless it is stopped. */
void timeout_expire_now(timeout_t *t);
void timeout_stop(timeout_t *t);

#endif
