/**
 * A replica that this entry dispatches to: the ow_ decisions under a lock, and the streams that
 * run on its engine. With a fence the entry must hold its lease to start a stream.
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
	uint64_t fence; /* 0: dispatch without ownership */
	int64_t stall_ms;
	owner_options_t policy; /* callbacks are filled in here */
	void *ctx;
	/** The replica answered (ok) or failed. */
	void (*on_health)(void *ctx, bool ok);
} local_replica_options_t;

local_replica_t *local_replica_new(const local_replica_options_t *o);
local_replica_t *local_replica_ref(local_replica_t *r);
void local_replica_unref(local_replica_t *r);
void local_replica_update(local_replica_t *r, const owner_options_t *policy, int64_t stall_ms);
uint64_t local_replica_fence(const local_replica_t *r);

/** Offers work; unless refused the sink's end is called once. Strings are copied. */
owner_answer_t local_replica_offer(local_replica_t *r, const attempt_params_t *params,
				   const attempt_sink_t *sink, uint64_t *id,
				   int64_t *retry_after_ms);
/** Withdraws a waiting stream, cancels a running one at the engine. */
void local_replica_cancel(local_replica_t *r, uint64_t id);
/** Cancels the newest batch stream to make room; false if there is none. */
bool local_replica_preempt_newest(local_replica_t *r);
void local_replica_tick(local_replica_t *r);
/** No new streams; ends what waits, lets what runs end. */
void local_replica_close(local_replica_t *r, bool cancel_batch);
unsigned local_replica_batch_headroom(local_replica_t *r);
void local_replica_stats(local_replica_t *r, owner_stats_t *out);

#endif
