/**
 * Timers that judge others, such as for silence. After a pause of this process, by a stop or for
 * want of its share of a core, such a timer has run out though what it waits for may be there
 * unread: it then ends only after the loop has looked.
 */
#ifndef AUBURN_TM_H
#define AUBURN_TM_H

#include <ev.h>
#include "base/clk.h"

/** A timer that ends later than this, in ms, ends behind a pause: timers fire a few ms late. */
#define TM_LATE_MS 20

typedef struct {
	ev_timer w;
	struct ev_loop *loop;
	deadline_t due;
	void (*end)(void *ctx);
	void *ctx;
} tm_t;

void tm_init(tm_t *t, struct ev_loop *loop, void (*end)(void *ctx), void *ctx);
/** Ends once, ms from now; replaces what was set before. */
void tm_set(tm_t *t, int64_t ms);
/** Ends from the loop's next turn, whatever was set. */
void tm_end_now(tm_t *t);
void tm_stop(tm_t *t);

#endif
