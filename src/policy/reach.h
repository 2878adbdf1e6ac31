/**
 * Whether an entry reaches the replicas. An entry that is partitioned from all or nearly all of
 * them looks the same to callers and to the leader, but can serve next to nothing. Evidence are
 * connections to replicas that fail: refused, reset or without an answer. Silence alone only raises
 * doubt, as a replica may pause and go on while its kernel still accepts connections. In doubt the
 * entry probes: it connects to other replicas, and closes the connections. It counts as cut off
 * once connections to several replicas and nearly all probes have failed, and no longer as soon as
 * a connection to a replica is made that had failed, or as many others are reached.
 *
 * Connections that were made before may live on while new ones fail. An entry that still gets
 * answers through them counts as cut off only after REACH_OLD_CONNS_MS.
 *
 * Pure: time is an argument. Not thread-safe. Memory is bounded by REACH_REPLICAS_MAX.
 */
#ifndef AUBURN_REACH_H
#define AUBURN_REACH_H

#include "base/clock.h"
#include "base/str.h"

typedef struct reach reach_t;

/** Maximum number of replicas that are tracked; beyond it the one that was added first is dropped.
 */
#define REACH_REPLICAS_MAX 64
/** Connections to this many replicas must fail, or to all if fewer are known. */
#define REACH_EVIDENCE 4
/** How long a failure counts, in ms. */
#define REACH_FAILURE_MS 3000
/** How long answers on old connections outweigh connections that fail, in ms. */
#define REACH_OLD_CONNS_MS 1500
/** Time between two rounds of probes, in ms. */
#define REACH_PROBE_PERIOD_MS 250
/** The same in doubt, after a round in which replicas were reached. */
#define REACH_RETRY_PERIOD_MS 1000
/** Number of connections of a round of probes in doubt, and while cut off. */
#define REACH_PROBES_MAX     8
#define REACH_PROBES_CUT_OFF 2

typedef enum {
	REACH_FINE,
	REACH_DOUBTED, /* several replicas failed or were silent; probes are due */
	REACH_CUT_OFF
} reach_state_t;

typedef enum {
	REACH_NO_CONNECTION, /* a connection was refused or reset, or took too long */
	REACH_PROBE_FAILED, /* the same, of a probe */
	REACH_NO_ANSWER /* an attempt broke off or was silent */
} reach_failure_t;

/** What the state rests on, for the log. Ages in ms, -1: never. */
typedef struct {
	unsigned replicas_known;
	unsigned replicas_failed; /* connections to them failed, with no success since */
	unsigned
		replicas_silent; /* attempts on others broke or were silent, with no answer since */
	unsigned replicas_reached; /* since the first of these failures */
	unsigned probes_failed; /* since the doubt began */
	unsigned probes_connected;
	int64_t since_ms; /* age of the first of these failures */
	int64_t connected_ms; /* age of the last connection that was made */
	int64_t heard_ms; /* age of the last answer */
} reach_evidence_t;

reach_t *reach_new(void);
void reach_free(reach_t *r);
/** Sets the number of replicas of which the entry knows. With fewer than two, it never counts as
 * cut off: one replica's failure says nothing about the path. */
void reach_set_known(reach_t *r, unsigned replicas);
/** A connection to the replica was made, by an attempt or a probe. */
void reach_connected(reach_t *r, str_t replica, bool probe, deadline_t now);
/** An answer of the replica arrived, also on an old connection. */
void reach_heard(reach_t *r, str_t replica, deadline_t now);
void reach_failed(reach_t *r, str_t replica, reach_failure_t how, deadline_t now);
reach_state_t reach_state(reach_t *r, deadline_t now);
/** Number of probes to start now; the next ones are due a period later. 0 if none are due. */
unsigned reach_take_probes(reach_t *r, deadline_t now);
void reach_evidence(const reach_t *r, deadline_t now, reach_evidence_t *out);

#endif
