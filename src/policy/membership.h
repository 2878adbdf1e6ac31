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

/** What decisions are based on. */
typedef struct {
	const group_status_t *st; /* of the leader */
	const group_peer_t
		*candidates; /* processes that are linked; id 0: the disk refuses writes */
	unsigned ncandidates;
	const membership_bans_t *bans;
	deadline_t now;
	int64_t grace_ms; /* a member that has acknowledged nothing for this long is lost */
	bool (*is_retired)(void *ctx, uint64_t id);
	void *ctx;
} membership_view_t;

/** True if this replica could be added to the group. */
bool membership_is_eligible(const membership_view_t *v, uint64_t id);
/** Finds an eligible candidate at an address without voter. Prefers one in the given zone; with
 * zone NULL, one in the zone with the fewest voters. */
bool membership_find_spare(const membership_view_t *v, const char *zone, group_peer_t *out);
/** Counts the processes other than `except` that aren't retired and either vote and acknowledge or
 * could become voters. */
unsigned membership_count_able(const membership_view_t *v, uint64_t except);
/** True if more than half of the voters acknowledge once `added` has become a voter or `removed`
 * has been removed; 0: none. */
bool membership_keeps_majority(const membership_view_t *v, uint64_t added, uint64_t removed);

#endif
