/**
 * Fan-out of the text in force to linked entries: who is sent which change, and when.
 *
 * The load it answers: a text of thousands of routes for hundreds of entries, and all of them
 * linking anew after their leader was lost. An entry that holds the text gets nothing, one that
 * holds an earlier text gets the change from it, and so many bytes at a time are on their way, each
 * entry's next change only after it has taken the one before. So neither the leader's memory nor
 * its link to any entry fills with texts, however many come.
 *
 * Pure: time is an argument, effects are callbacks. Not thread-safe.
 */
#ifndef AUBURN_FANOUT_H
#define AUBURN_FANOUT_H

#include <stdbool.h>
#include <stddef.h>
#include "base/clock.h"

typedef struct tf fanout_t;

/** Texts before the newest whose holders get a change in place of the whole. */
#define FANOUT_BASES 8
/** Bytes that may be on their way at a time: they pass a link of 600 Mbit/s in 55 ms, well below
 * the silence after which a leader is taken for lost. */
#define FANOUT_IN_FLIGHT_BYTES (4U << 20)
/** Bytes sent to an entry that hasn't taken them after this, in ms, hold up no others: it is
 * frozen, or its link is about to be given up. */
#define FANOUT_ACK_MS 500

/** A text; number 0: none. */
typedef struct {
	uint64_t number;
	uint64_t digest;
} fanout_config_id_t;

bool fanout_config_id_eq(fanout_config_id_t a, fanout_config_id_t b);

typedef struct {
	void *ctx;
	/** Sends the newest text as a change on base, or whole; returns the bytes it took. */
	size_t (*send)(void *ctx, uint64_t peer, fanout_config_id_t base);
	/** All peers hold the newest text, ms after it came into force here. */
	void (*converged)(void *ctx, fanout_config_id_t text, size_t peers, int64_t ms);
} fanout_callbacks_t;

fanout_t *fanout_new(const fanout_callbacks_t *cb);
void fanout_free(fanout_t *f);
/** A newer text is in force. */
void fanout_set_config(fanout_t *f, fanout_config_id_t t, deadline_t now);
/** A peer has linked, which holds this text. */
void fanout_peer_add(fanout_t *f, uint64_t peer, fanout_config_id_t holds, deadline_t now);
void fanout_peer_remove(fanout_t *f, uint64_t peer);
/** A peer has taken what it was sent, or says what it holds instead. */
void fanout_peer_acked(fanout_t *f, uint64_t peer, fanout_config_id_t holds, deadline_t now);
/** Sends what may be sent; called on every tick, and after the calls above by themselves. */
void fanout_tick(fanout_t *f, deadline_t now);

typedef struct {
	size_t peers;
	size_t behind; /* don't hold the newest text */
	size_t in_flight_bytes;
} fanout_stats_t;
void fanout_stats(const fanout_t *f, fanout_stats_t *out);

#endif
