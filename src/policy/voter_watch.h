/**
 * Follows which voters acknowledge nothing to the leader of a group, and reports each change once.
 * A voter that is silent may well be linked and answer: its disk may refuse writes or hang.
 *
 * Pure. Not thread-safe.
 */
#ifndef AUBURN_VOTER_WATCH_H
#define AUBURN_VOTER_WATCH_H

#include "raft/group.h"

typedef enum {
	VOTER_SILENT, /* has acknowledged nothing for the grace time */
	VOTER_ACKNOWLEDGES, /* acknowledges again */
	VOTER_CAUGHT_UP /* has all that was committed when it acknowledged again */
} voter_change_t;

typedef struct {
	voter_change_t change;
	const group_peer_t *voter;
	int64_t ms; /* length of the silence; for VOTER_CAUGHT_UP since it acknowledged again */
	uint64_t match; /* for VOTER_ACKNOWLEDGES: during the silence */
	uint64_t commit;
} voter_event_t;

typedef struct {
	uint64_t id;
	deadline_t silent_since; /* 0: acknowledges */
	uint64_t match; /* when it was last seen silent */
	deadline_t back_at; /* 0: is not catching up */
	uint64_t target; /* commit index when it acknowledged again */
} voter_watch_voter_t;

/** Of one group; zero at first. */
typedef struct {
	deadline_t leader_since;
	unsigned n;
	voter_watch_voter_t voters[GROUP_PEERS_MAX];
} voter_watch_t;

/** Compares with the status at the last call and calls on_event for each change. grace_ms: silence
 * after which a voter counts as silent. */
void voter_watch_update(voter_watch_t *w, const group_status_t *st, deadline_t now,
			int64_t grace_ms, void (*on_event)(void *ctx, const voter_event_t *e),
			void *ctx);

#endif
