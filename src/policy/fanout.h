/**
 * Fan-out of the operators' config from the leader to the connected entries, its peers: decides
 * when a peer is sent the newest config, and whether whole or as a delta.
 *
 * The expected load: a config of thousands of routes for hundreds of entries, all of which
 * reconnect when their leader is lost. A peer that has the newest config is sent nothing; one that
 * has a recent config is sent the delta from it. The number of bytes in flight is limited, and a
 * peer is sent nothing more until it acknowledged the last config or delta. So neither the leader's
 * memory nor the link to a peer fills up, however many configs are published.
 *
 * Pure: time is an argument, effects are callbacks. Not thread-safe.
 */
#ifndef AUBURN_FANOUT_H
#define AUBURN_FANOUT_H

#include <stdbool.h>
#include <stddef.h>
#include "base/clock.h"

typedef struct fanout fanout_t;

/** Number of earlier configs from which a delta is sent. A peer with an older config, or none, is
 * sent the whole config. */
#define FANOUT_BASES 8
/** Nothing is sent while at least this many bytes are in flight: a link of 600 Mbit/s carries them
 * in 55 ms, well below the silence timeout after which a leader is presumed lost. */
#define FANOUT_IN_FLIGHT_BYTES (4U << 20)
/** Bytes that a peer has not acknowledged after this time no longer count as in flight: the peer
 * hangs or is about to be disconnected, and must not delay the others. */
#define FANOUT_ACK_MS 500

/** Identifies a config; number 0: none. */
typedef struct {
	uint64_t number;
	uint64_t digest;
} fanout_config_id_t;

bool fanout_config_id_eq(fanout_config_id_t a, fanout_config_id_t b);

typedef struct {
	void *ctx;
	/** Sends the newest config, as a delta from base or, if base has number 0, whole. Returns
	 * the number of bytes. */
	size_t (*send)(void *ctx, uint64_t peer, fanout_config_id_t base);
	/** Called once for each newest config, when there are peers and all of them have
	 * acknowledged it or had it already. ms: time since fanout_set_config. */
	void (*converged)(void *ctx, fanout_config_id_t config, size_t peers, int64_t ms);
} fanout_callbacks_t;

fanout_t *fanout_new(const fanout_callbacks_t *cb);
void fanout_free(fanout_t *f);
/** Sets the newest config and starts to send it. */
void fanout_set_config(fanout_t *f, fanout_config_id_t config, deadline_t now);
/** Adds a peer that has connected, or updates one. config: the config that it has, number 0 if
 * none. */
void fanout_peer_add(fanout_t *f, uint64_t peer, fanout_config_id_t config, deadline_t now);
void fanout_peer_remove(fanout_t *f, uint64_t peer);
/** Records the config that a peer acknowledged, which may differ from the one sent, and allows the
 * next send to this peer. */
void fanout_peer_acked(fanout_t *f, uint64_t peer, fanout_config_id_t config, deadline_t now);
/** True if the peer is known to have the newest config. */
bool fanout_peer_is_current(const fanout_t *f, uint64_t peer);
/** Sends the newest config to peers that do not have it, as far as the limits allow. To be called
 * periodically; fanout_set_config, fanout_peer_add and fanout_peer_acked also send. */
void fanout_tick(fanout_t *f, deadline_t now);

typedef struct {
	size_t peers;
	size_t behind; /* peers that don't have the newest config */
	size_t in_flight_bytes;
} fanout_stats_t;
void fanout_stats(const fanout_t *f, fanout_stats_t *out);

#endif
