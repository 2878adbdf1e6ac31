/**
 * Scheduler of one replica: decides which stream starts, waits, is refused or is preempted. A
 * stream is one request or batch item that runs, or is to run, on the replica. The scheduler is
 * named after its place: normally each replica has one owner, the entry process to which the
 * replica is assigned, and the other entries send their streams for the replica to the owner.
 *
 * Counts the streams that it started on the replica and starts none beyond the replica's slots, so
 * the engine's own queue stays empty. Pure: the caller passes the time and holds a lock; effects
 * are callbacks, which must not call functions of the owner.
 */
#ifndef AUBURN_OWNER_H
#define AUBURN_OWNER_H

#include <stdbool.h>
#include <stdint.h>
#include "base/clock.h"

typedef struct owner owner_t;

typedef enum { OWNER_ONLINE, OWNER_BATCH } owner_class_t;

/** What happens to a batch stream when an online stream finds no slot. */
typedef enum {
	OWNER_PREEMPT_NONE, /* nothing: the online stream waits */
	OWNER_PREEMPT_CANCEL, /* it is cancelled and later restarted from the beginning */
	OWNER_PREEMPT_RESUME /* it is cancelled and later resumed after its last token */
} owner_preempt_t;

/** Slots that batch leaves free for online streams. */
typedef enum {
	OWNER_RESERVE_NONE,
	OWNER_RESERVE_FIXED, /* reserved_slots */
	OWNER_RESERVE_PEAK /* the recent peak of online arrivals times latency_weight, at most half
			      the slots, but at least reserved_slots */
} owner_reserve_t;

typedef struct {
	unsigned slots;
	unsigned reserved_slots; /* for OWNER_RESERVE_FIXED and OWNER_RESERVE_PEAK */
	owner_preempt_t preempt;
	owner_reserve_t reserve;
	double latency_weight; /* 0 favours throughput, 1 favours online latency */
	int64_t step_bound_us; /* limit for the time between tokens, 0 if none; the number of batch
				  streams is reduced to meet it */
	unsigned queue_max; /* maximum number of streams in the queue */
	void *ctx;
	/** Starts a stream on the replica. If owner_offer returns OWNER_STARTED, the call has been
	 * made before the return. */
	void (*start)(void *ctx, uint64_t id);
	/** Cancels a running batch stream, which holds its slot until owner_stream_ended reports
	 * its end. */
	void (*cancel)(void *ctx, uint64_t id);
	/** Refuses a queued stream, which has not run, because it can't meet its deadline or the
	 * owner was closed. */
	void (*refuse)(void *ctx, uint64_t id, int64_t retry_after_ms);
} owner_options_t;

typedef struct {
	uint64_t id; /* unique among the streams that are queued or running */
	owner_class_t cls;
	deadline_t deadline; /* online: for the first token; batch: for the whole item, not used */
	uint64_t caller; /* hash of the caller's name; callers take turns in the queue */
	bool alone; /* suspected of crashing replicas: runs only while no other stream does, and is
		     * never queued. If it is refused, other batch streams may be paused for a
		     * while to let the replica become idle, so it should be offered here again. */
} owner_stream_t;

typedef enum { OWNER_STARTED, OWNER_QUEUED, OWNER_REFUSED } owner_answer_t;

owner_t *owner_new(const owner_options_t *o, int64_t now_ms);
void owner_free(owner_t *w);
/** Applies changed options. Running streams continue, even if there are now fewer slots; added
 * slots are used from the next call on. */
void owner_update(owner_t *w, const owner_options_t *o);

/** Offers a stream. After OWNER_REFUSED, *retry_after_ms estimates the time until a slot is free.
 * Only online streams without `alone` are queued. */
owner_answer_t owner_offer(owner_t *w, const owner_stream_t *s, int64_t now_ms,
			   int64_t *retry_after_ms);
/** Releases the slot of a running stream, whatever the reason for its end, and starts queued
 * streams. Ignores an id that is not running. */
void owner_stream_ended(owner_t *w, uint64_t id, int64_t now_ms);
/** Removes a queued stream whose caller left. Ignores an id that is not queued. */
void owner_withdraw(owner_t *w, uint64_t id, int64_t now_ms);
/** Records that a running stream produced a token. step_us: time since the stream's previous token,
 * 0 for its first. */
void owner_record_token(owner_t *w, uint64_t id, int64_t step_us, int64_t now_ms);
/** Starts queued streams if slots are free, preempts batch streams for those that remain, and
 * refuses those that are not expected to meet their deadline. To be called every 10 to 50 ms. */
void owner_tick(owner_t *w, int64_t now_ms);
/** Closes the owner, because the replica leaves or is no longer owned by this entry: refuses queued
 * and new streams, and cancels the running batch streams if cancel_batch is set. */
void owner_close(owner_t *w, bool cancel_batch, int64_t now_ms);

/** Number of batch streams that could start now. */
unsigned owner_batch_headroom(const owner_t *w, int64_t now_ms);

typedef struct {
	unsigned running_online;
	unsigned running_batch;
	unsigned cancelling; /* batch streams, not counted in running_batch */
	unsigned queued;
	unsigned free_slots; /* for further online streams, including the slots of batch streams
				that they would preempt */
	int64_t step_us; /* recent 95th percentile of the time between tokens */
	int64_t drain_ms; /* estimated time until an online stream offered now would start */
	int64_t first_token_ms; /* recent mean time from a stream's start to its first token */
	uint64_t preempted;
	uint64_t refused;
	uint64_t started;
} owner_stats_t;
/** now_ms is unused. */
void owner_stats(const owner_t *w, int64_t now_ms, owner_stats_t *out);

#endif
