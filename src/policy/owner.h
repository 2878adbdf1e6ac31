/**
 * Owner of one replica: decides which stream starts, waits, is refused or gives way.
 * Keeps the exact count of streams that it put on the replica and never goes over its slots, so the
 * engine's own queue stays empty. Pure: the caller passes the time and holds a lock; effects go out
 * through callbacks, which must not call back in.
 */
#ifndef AUBURN_OWNER_H
#define AUBURN_OWNER_H

#include <stdbool.h>
#include <stdint.h>
#include "base/clock.h"

typedef struct ow owner_t;

typedef enum { OWNER_ONLINE, OWNER_BATCH } owner_class_t;

/** What happens to a batch stream when an online one finds no slot. */
typedef enum { OWNER_PREEMPT_NONE, OWNER_PREEMPT_CANCEL, OWNER_PREEMPT_RESUME } owner_preempt_t;
/** How many slots batch must leave free. */
typedef enum { OWNER_RESERVE_NONE, OWNER_RESERVE_FIXED, OWNER_RESERVE_PEAK } owner_reserve_t;

typedef struct {
	unsigned slots;
	unsigned reserved_slots; /* for OWNER_RESERVE_FIXED, and the least for OWNER_RESERVE_PEAK */
	owner_preempt_t preempt;
	owner_reserve_t reserve;
	double latency_weight; /* 0 = throughput, 1 = online latency */
	int64_t step_bound_us; /* time between tokens that batch may not push it over */
	unsigned queue_max; /* online streams that may wait */
	void *ctx;
	/** Begin stream id on the replica; also called within owner_offer, before OWNER_STARTED. */
	void (*start)(void *ctx, uint64_t id);
	/** Cancel batch stream id at the engine; its end is reported with owner_stream_ended as for
	 * any other. */
	void (*cancel)(void *ctx, uint64_t id);
	/** A waiting stream can't make its deadline: final answer now, not run. */
	void (*refuse)(void *ctx, uint64_t id, int64_t retry_after_ms);
} owner_options_t;

typedef struct {
	uint64_t id; /* unique while the stream lives */
	owner_class_t cls;
	deadline_t deadline; /* for the first token (online) or the whole item (batch) */
	uint64_t caller; /* hash; queued online streams of equal deadline class take turns by caller
			  */
	bool alone; /* suspected of killing replicas: runs with no other stream, is never queued;
		     * when refused, other batch holds off for a while, so offer it again here */
} owner_stream_t;

typedef enum { OWNER_STARTED, OWNER_QUEUED, OWNER_REFUSED } owner_answer_t;

owner_t *owner_new(const owner_options_t *o, int64_t now_ms);
void owner_free(owner_t *w);
/** Settings that a new text changes; running streams stay. */
void owner_update(owner_t *w, const owner_options_t *o);

/** Offers a stream. OWNER_REFUSED: not taken; *retry_after_ms tells when a slot is likely. A batch
 *  stream is started or refused, never queued. */
owner_answer_t owner_offer(owner_t *w, const owner_stream_t *s, int64_t now_ms,
			   int64_t *retry_after_ms);
/** A running stream ended, however; starts what waits. An id that isn't running is passed over. */
void owner_stream_ended(owner_t *w, uint64_t id, int64_t now_ms);
/** A caller left the queue. */
void owner_withdraw(owner_t *w, uint64_t id, int64_t now_ms);
/** A running stream gave a token; step_us since its last one, 0 for its first. */
void owner_record_token(owner_t *w, uint64_t id, int64_t step_us, int64_t now_ms);
/** Refuses what waits and can't make its deadline; call every 10 to 50 ms. */
void owner_tick(owner_t *w, int64_t now_ms);
/** No new streams: the replica leaves or the lease is lost. Waiting ones are refused; batch is
 *  cancelled if cancel_batch. */
void owner_close(owner_t *w, bool cancel_batch, int64_t now_ms);

/** Batch streams that could start now. */
unsigned owner_batch_headroom(const owner_t *w, int64_t now_ms);

typedef struct {
	unsigned running_online;
	unsigned running_batch;
	unsigned cancelling;
	unsigned queued;
	unsigned free_slots; /* slots that an online stream would get at once, by preemption too */
	int64_t step_us; /* recent 95% time between tokens */
	int64_t drain_ms; /* time until a stream offered now would start */
	int64_t first_token_ms; /* recent mean time from start to first token */
	uint64_t preempted;
	uint64_t refused;
	uint64_t started;
} owner_stats_t;
void owner_stats(const owner_t *w, int64_t now_ms, owner_stats_t *out);

#endif
