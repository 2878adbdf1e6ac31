/**
 * Decisions on the members of a group: which process may become the next voter, how many processes
 * vote or could, and whether a change leaves a majority that really has the log.
 *
 * Pure. Not thread-safe.
 */
#ifndef AUBURN_MEMBERSHIP_H
#define AUBURN_MEMBERSHIP_H

#include "raft/group.h"

/** A replica that was removed as silent is not added again for this long, in ms. */
#define MEMBERSHIP_BAN_MS   10000
#define MEMBERSHIP_BANS_MAX 16

/** Replicas that were removed because they acknowledged nothing; zero at first. */
typedef struct {
	struct {
		uint64_t id;
		deadline_t until;
	} bans[MEMBERSHIP_BANS_MAX];
} membership_bans_t;

/** Replaces the ban that ends first if there are too many. */
void membership_ban(membership_bans_t *b, uint64_t id, deadline_t now);
/** Ends a ban, for a process that reports that its disk takes writes again. */
void membership_unban(membership_bans_t *b, uint64_t id);
bool membership_is_banned(const membership_bans_t *b, uint64_t id, deadline_t now);

/** A linked process, and the replica that it has at the moment. */
typedef struct {
	group_peer_t replica; /* id 0: its disk refuses writes */
	char name[64]; /* of its VM; empty: unknown */
} membership_candidate_t;

/** What decisions are based on. */
typedef struct {
	const group_status_t *st; /* of the leader */
	const membership_candidate_t *candidates;
	unsigned ncandidates;
	const membership_bans_t *bans;
	deadline_t now;
	int64_t grace_ms; /* a member that has acknowledged nothing for this long is lost */
	bool (*is_retired)(void *ctx, uint64_t id);
	/** Retirement holds for the VM: its process may have got a new replica id since. */
	bool (*is_retired_vm)(void *ctx, const char *name, const char *addr);
	void *ctx;
} membership_view_t;

/** True if this candidate's replica could be added to the group. */
bool membership_is_eligible(const membership_view_t *v, const membership_candidate_t *c);
/** Finds an eligible candidate at an address without voter. Prefers one in the given zone; with
 * zone NULL, one in the zone with the fewest voters. */
bool membership_find_spare(const membership_view_t *v, const char *zone, group_peer_t *out);
/** Counts the processes other than `except` that aren't retired and either vote and acknowledge or
 * could become voters. */
unsigned membership_count_able(const membership_view_t *v, uint64_t except);
/** Writes the ids of all replicas that the process at this address has or had, as far as they
 * matter to the group: those that are members, and `current` unless it is 0. Returns their number,
 * at most GROUP_PEERS_MAX + 1. */
unsigned membership_ids_at(const group_status_t *st, const char *addr, uint64_t current,
			   uint64_t out[GROUP_PEERS_MAX + 1]);
/** True if more than half of the voters acknowledge once `added` has become a voter or `removed`
 * has been removed; 0: none. */
bool membership_keeps_majority(const membership_view_t *v, uint64_t added, uint64_t removed);

#endif
