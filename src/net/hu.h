/** HTTP/1.1 client on an event loop, with a pool of idle connections for each address. */
#ifndef AUBURN_HU_H
#define AUBURN_HU_H

#include <ev.h>
#include "base/clk.h"
#include "net/hp.h"

typedef struct hu hu_t;
typedef struct hu_call hu_call_t;

typedef enum {
	HU_DONE, /* the answer came whole */
	HU_UNSENT, /* no connection was made: surely not received */
	HU_BROKEN, /* the connection ended early; may have run */
	HU_MALFORMED, /* what came isn't an answer; may have run */
	HU_TOO_LONG /* more came than an answer may have; may have run */
} hu_end_t;

typedef struct {
	str_t request; /* whole, head and body; copied */
	const char *addr; /* ip:port */
	bool fresh; /* not on a kept connection, which the server may be closing */
	deadline_t connect_by;
	size_t max_bytes; /* that may come in all: interim heads, answers passed over, and the
			     answer with what frames it */
	void *ctx;
	/** False: this answer belongs to another request and is passed over. */
	bool (*head)(void *ctx, const hp_head_t *h);
	void (*body)(void *ctx, str_t piece);
	/** Called once unless the call was cancelled; the call is freed after it. */
	void (*end)(void *ctx, hu_end_t how);
} hu_options_t;

hu_t *hu_new(struct ev_loop *loop);
hu_call_t *hu_start(hu_t *h, const hu_options_t *o);
/** True when its connection has served another call before: bytes of that one's answer may still
 * come. */
bool hu_on_kept(const hu_call_t *c);
/** Ends a call by closing its connection; no callback follows. */
void hu_cancel(hu_call_t *c);
/** Ends all calls without a callback and closes all connections; memory is freed by the loop's next
 * turn. */
void hu_close(hu_t *h);
/** Connections made so far. */
uint64_t hu_connects(const hu_t *h);

#endif
