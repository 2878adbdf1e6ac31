/**
 * A replica that this entry dispatches to: a scheduler (policy/owner.h) under a lock, and the
 * streams on the replica's engine. With a fence, a stream starts only while the entry holds its
 * lease.
 */
#ifndef AUBURN_LOCAL_REPLICA_H
#define AUBURN_LOCAL_REPLICA_H

#include "entry/entry.h"
#include "entry/attempt.h"

typedef struct local_replica local_replica_t;

typedef struct {
	entry_ctx_t *en;
	const char *id;
	const char *addr;
	uint64_t fence; /* fencing token of the ownership; 0 in all modes but owner */
	int64_t stall_ms;
	owner_options_t policy; /* local_replica_new sets the callbacks */
	void *ctx;
	/** Called with ok = true at a stream's first token, and with false if a stream could not
	 * connect, broke, stalled or got another stream's tokens. */
	void (*on_health)(void *ctx, bool ok);
} local_replica_options_t;

local_replica_t *local_replica_new(const local_replica_options_t *o);
local_replica_t *local_replica_ref(local_replica_t *r);
void local_replica_unref(local_replica_t *r);
/** Sets new scheduling options, and the stall timeout of streams that start later. */
void local_replica_update(local_replica_t *r, const owner_options_t *policy, int64_t stall_ms);
uint64_t local_replica_fence(const local_replica_t *r);

/** Offers an attempt to the replica: started, queued or refused. Unless refused, sink->on_end is
 * called once, possibly before this function returns. Strings are copied. */
owner_answer_t local_replica_offer(local_replica_t *r, const attempt_params_t *params,
				   const attempt_sink_t *sink, uint64_t *id,
				   int64_t *retry_after_ms);
/** Cancels a stream: removes it from the queue, or cancels it at the engine if it runs. */
void local_replica_cancel(local_replica_t *r, uint64_t id);
/** Preempts the newest batch stream that is not being cancelled yet; false if there is none. */
bool local_replica_preempt_newest(local_replica_t *r);
/** Starts queued streams if slots are free, preempts for the others, and refuses those that can no
 * longer meet their deadline. Call every 10 to 50 ms. */
void local_replica_tick(local_replica_t *r);
/** Refuses the queued streams and all later offers. Running streams go on; with cancel_batch the
 * batch streams are cancelled. */
void local_replica_close(local_replica_t *r, bool cancel_batch);
/** Number of batch streams that could start now. */
unsigned local_replica_batch_headroom(local_replica_t *r);
void local_replica_stats(local_replica_t *r, owner_stats_t *out);

#endif
