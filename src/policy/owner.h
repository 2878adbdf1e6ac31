/**
 * Scheduler of one replica, used by the entry that owns the replica: decides which stream starts,
 * waits, is refused or is preempted. A stream is one request or batch item running on the replica.
 *
 * Keeps the exact number of streams that it started on the replica and never exceeds the replica's
 * slots, so the engine's own queue stays empty. Pure: the caller passes the time and holds a lock;
 * effects go out through callbacks, which must not call functions of the owner.
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
	OWNER_RESERVE_PEAK /* the recent peak of online arrivals times latency_weight */
} owner_reserve_t;

typedef struct {
	unsigned slots;
	unsigned reserved_slots; /* with OWNER_RESERVE_FIXED; the minimum with OWNER_RESERVE_PEAK */
	owner_preempt_t preempt;
	owner_reserve_t reserve;
	double latency_weight; /* 0 favours throughput, 1 favours online latency */
	int64_t step_bound_us; /* limit for the time between tokens; batch is reduced to meet it */
	unsigned queue_max; /* maximum number of online streams that wait */
	void *ctx;
	/** Start stream id on the replica; may be called within owner_offer, before it returns
	 * OWNER_STARTED. */
	void (*start)(void *ctx, uint64_t id);
	/** Cancel batch stream id on the engine; owner_stream_ended must report its end. */
	void (*cancel)(void *ctx, uint64_t id);
	/** A queued stream is refused because it can't meet its deadline or the owner was closed;
	 * it has not run. */
	void (*refuse)(void *ctx, uint64_t id, int64_t retry_after_ms);
} owner_options_t;

typedef struct {
	uint64_t id; /* unique among live streams */
	owner_class_t cls;
	deadline_t deadline; /* for the first token (online) or for the whole item (batch) */
	uint64_t caller; /* hash of the caller; callers take turns in the queue */
	bool alone; /* suspected of crashing replicas: runs with no other stream and is never
		     * queued. A refusal may pause other batch streams for a while, so the caller
		     * should offer the stream to this replica again. */
} owner_stream_t;

typedef enum { OWNER_STARTED, OWNER_QUEUED, OWNER_REFUSED } owner_answer_t;

owner_t *owner_new(const owner_options_t *o, int64_t now_ms);
void owner_free(owner_t *w);
/** Applies changed options; running streams continue, even if there are now fewer slots. */
void owner_update(owner_t *w, const owner_options_t *o);

/** Offers a stream. After OWNER_REFUSED, *retry_after_ms estimates when a slot will be free. Only
 * online streams are queued. */
owner_answer_t owner_offer(owner_t *w, const owner_stream_t *s, int64_t now_ms,
			   int64_t *retry_after_ms);
/** Releases the slot of a running stream, whatever the reason for its end, and starts queued
 * streams. Ignores an id that is not running. */
void owner_stream_ended(owner_t *w, uint64_t id, int64_t now_ms);
/** Removes a queued stream whose caller left. */
void owner_withdraw(owner_t *w, uint64_t id, int64_t now_ms);
/** Records that a running stream produced a token. step_us: time since the stream's previous token,
 * 0 for its first. */
void owner_record_token(owner_t *w, uint64_t id, int64_t step_us, int64_t now_ms);
/** Starts queued streams if slots are free, preempts for the others, and refuses those that can't
 * meet their deadline; call every 10 to 50 ms. */
void owner_tick(owner_t *w, int64_t now_ms);
/** Accepts no new streams, because the replica leaves or the lease was lost: refuses the queued
 * streams and cancels running batch streams if cancel_batch is set. */
void owner_close(owner_t *w, bool cancel_batch, int64_t now_ms);

/** Number of batch streams that could start now. */
unsigned owner_batch_headroom(const owner_t *w, int64_t now_ms);

typedef struct {
	unsigned running_online;
	unsigned running_batch;
	unsigned cancelling;
	unsigned queued;
	unsigned free_slots; /* slots for further online streams, counting preemptible ones */
	int64_t step_us; /* recent 95th percentile of the time between tokens */
	int64_t drain_ms; /* estimated time until an online stream offered now would start */
	int64_t first_token_ms; /* recent mean time from a stream's start to its first token */
	uint64_t preempted;
	uint64_t refused;
	uint64_t started;
} owner_stats_t;
void owner_stats(const owner_t *w, int64_t now_ms, owner_stats_t *out);

#endif
