/**
 * Timers that judge others, such as for silence. After a pause of this process, by a stop or for
 * want of its share of a core, such a timer has run out though what it waits for may be there
 * unread: it then ends only after the loop has looked.
 */
#ifndef AUBURN_TIMEOUT_H
#define AUBURN_TIMEOUT_H

#include <ev.h>
#include "base/clock.h"

/** A timer that ends later than this, in ms, ends behind a pause: timers fire a few ms late. */
#define TIMEOUT_LATE_MS 20

typedef struct {
	ev_timer w;
	struct ev_loop *loop;
	deadline_t due;
	void (*end)(void *ctx);
	void *ctx;
} timeout_t;

void timeout_init(timeout_t *t, struct ev_loop *loop, void (*end)(void *ctx), void *ctx);
/** Ends once, ms from now; replaces what was set before. */
void timeout_set(timeout_t *t, int64_t ms);
/** Ends from the loop's next turn, whatever was set. */
void timeout_expire_now(timeout_t *t);
void timeout_stop(timeout_t *t);

#endif
