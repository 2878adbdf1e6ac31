/**
 * Owner of one replica: decides which stream starts, waits, is refused or gives way.
 * Keeps the exact count of streams that it put on the replica and never goes over its slots, so the
 * engine's own queue stays empty. Pure: the caller passes the time and holds a lock; effects go out
 * through callbacks, which must not call back in.
 */
#ifndef AUBURN_OW_H
#define AUBURN_OW_H

#include <stdbool.h>
#include <stdint.h>
#include "base/clk.h"

typedef struct ow ow_t;

typedef enum { OW_ONLINE, OW_BATCH } ow_class_t;

/** What happens to a batch stream when an online one finds no slot. */
typedef enum { OW_PREEMPT_NONE, OW_PREEMPT_CANCEL, OW_PREEMPT_RESUME } ow_preempt_t;
/** How many slots batch must leave free. */
typedef enum { OW_KEEP_NONE, OW_KEEP_FIXED, OW_KEEP_PEAK } ow_keep_t;

typedef struct {
	unsigned slots;
	unsigned kept; /* for OW_KEEP_FIXED, and the least for OW_KEEP_PEAK */
	ow_preempt_t preempt;
	ow_keep_t keep;
	double latency_weight; /* 0 = throughput, 1 = online latency */
	int64_t step_bound_us; /* time between tokens that batch may not push it over */
	unsigned queue_max; /* online streams that may wait */
	void *ctx;
	/** Begin stream id on the replica; also called within ow_offer, before OW_STARTED. */
	void (*start)(void *ctx, uint64_t id);
	/** Cancel batch stream id at the engine; its end is reported with ow_ended as for any
	 * other. */
	void (*cancel)(void *ctx, uint64_t id);
	/** A waiting stream can't make its deadline: final answer now, not run. */
	void (*refuse)(void *ctx, uint64_t id, int64_t retry_after_ms);
} ow_options_t;

typedef struct {
	uint64_t id; /* unique while the stream lives */
	ow_class_t cls;
	deadline_t deadline; /* for the first token (online) or the whole item (batch) */
	uint64_t caller; /* hash; queued online streams of equal deadline class take turns by caller
			  */
	bool alone; /* suspected of killing replicas: runs with no other stream, is never queued;
		     * when refused, other batch holds off for a while, so offer it again here */
} ow_stream_t;

typedef enum { OW_STARTED, OW_QUEUED, OW_REFUSED } ow_answer_t;

ow_t *ow_new(const ow_options_t *o, int64_t now_ms);
void ow_free(ow_t *w);
/** Settings that a new text changes; running streams stay. */
void ow_update(ow_t *w, const ow_options_t *o);

/** Offers a stream. OW_REFUSED: not taken; *retry_after_ms tells when a slot is likely. A batch
 *  stream is started or refused, never queued. */
ow_answer_t ow_offer(ow_t *w, const ow_stream_t *s, int64_t now_ms, int64_t *retry_after_ms);
/** A running stream ended, however; starts what waits. An id that isn't running is passed over. */
void ow_ended(ow_t *w, uint64_t id, int64_t now_ms);
/** A caller left the queue. */
void ow_withdraw(ow_t *w, uint64_t id, int64_t now_ms);
/** A running stream gave a token; step_us since its last one, 0 for its first. */
void ow_token(ow_t *w, uint64_t id, int64_t step_us, int64_t now_ms);
/** Refuses what waits and can't make its deadline; call every 10 to 50 ms. */
void ow_tick(ow_t *w, int64_t now_ms);
/** No new streams: the replica leaves or the lease is lost. Waiting ones are refused; batch is
 *  cancelled if cancel_batch. */
void ow_close(ow_t *w, bool cancel_batch, int64_t now_ms);

/** Batch streams that could start now. */
unsigned ow_batch_room(const ow_t *w, int64_t now_ms);

typedef struct {
	unsigned running_online;
	unsigned running_batch;
	unsigned cancelling;
	unsigned queued;
	unsigned free_slots; /* slots that an online stream would get at once, by preemption too */
	int64_t step_us; /* recent 95% time between tokens */
	int64_t drain_ms; /* time until a stream offered now would start */
	int64_t first_ms; /* recent mean time from start to first token */
	uint64_t preempted;
	uint64_t refused;
	uint64_t started;
} ow_stats_t;
void ow_stats(const ow_t *w, int64_t now_ms, ow_stats_t *out);

#endif
