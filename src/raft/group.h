/**
 * One replicated group in a process: the Raft core, its files and its thread, around a state
 * machine that the caller supplies. The functions here may be called from any thread but not from
 * the callbacks: most block until the group's thread has answered. The callbacks run on the group's
 * thread, one at a time, except that group_open calls `restore` on the thread of its caller.
 */
#ifndef AUBURN_GROUP_H
#define AUBURN_GROUP_H

#include <stdint.h>
#include "base/clock.h"
#include "base/status.h"
#include "base/str.h"

typedef struct group group_t;

/** A member of the group, as the replicated log records it. */
typedef struct {
	uint64_t id; /* never 0; random, or derived from the address for the first voters */
	char addr[64]; /* ip:port of its control process */
	char zone[32];
	bool voter; /* false: a learner, which receives the log but has no vote */
} group_peer_t;

#define GROUP_PEERS_MAX 9

typedef struct {
	unsigned group;
	const char *dir; /* data directory of this group; created if missing */
	const char *addr; /* ip:port of this control process */
	const char *zone;
	/** Addresses of the first voters, including this one; used only if the directory is new and
	 * `bootstrap` is set. */
	const char *const *seeds;
	unsigned nseeds;
	/** Set on the first start of a new fleet. A replica whose directory is created without it
	 * joins as a learner. */
	bool bootstrap;
	unsigned tick_ms;
	unsigned election_ms; /* minimum; each timeout is random, up to twice as long */
	uint64_t snapshot_entries; /* applied entries between snapshots */
	uint64_t snapshot_bytes; /* or bytes of applied entries, whichever comes first */
	/** Part of the memory that the log may fill, in bytes. A snapshot is also begun when the
	 * log fills three quarters of it, or all of it while a follower receives one; proposals are
	 * not refused. 0: any. */
	uint64_t log_bytes_max;
	void *ctx;
	/** Applies one command; the proposer gets the result. Must be deterministic. */
	void (*apply)(void *ctx, uint64_t index, str_t cmd, buf_t *result);
	/** Appends the whole state to out. Nothing commits while this runs, so it must take much
	 * less than an election timeout. */
	void (*snapshot)(void *ctx, buf_t *out);
	/** Replaces the whole state. */
	status_t (*restore)(void *ctx, str_t snap);
	/** Queues a message to the control process at addr; may drop the message. */
	void (*send)(void *ctx, const char *addr, unsigned group, str_t msg);
	/** Called after this replica became leader or stopped leading; may be NULL. */
	void (*role)(void *ctx, bool leader, uint64_t term);
} group_options_t;

/**
 * Opens the directory, restores the newest snapshot, reads the log and starts the group's thread.
 * The entries after the snapshot are applied once a leader has committed them. The
 * error text of STATUS_CORRUPT names what is damaged; the replica must not continue under its old
 * id then: rename the directory away and join as a learner.
 *
 * The first voters' ids are derived from their addresses, so a seed that has lost its directory
 * must not be opened with `bootstrap` again: it could vote twice in a term. Once another seed has a
 * term above 0, votes may have been cast. control_boot_decide asks the other seeds; its test is
 * weaker: it founds a fleet unless a group of theirs has committed more than the first two entries
 * (the members and the first leader's no-op).
 */
status_t group_open(const group_options_t *o, group_t **out);
/** Returns true if dir already holds a replica; `bootstrap` then has no effect. */
bool group_exists(const char *dir);
/** Returns the id that a first voter derives from its address. */
uint64_t group_seed_id(unsigned group, const char *addr);
void group_close(group_t *g);

/** Delivers a message that another replica passed to its `send` callback. */
void group_receive(group_t *g, str_t msg);

/** Commits and applies cmd. STATUS_NOT_LEADER: cmd was not applied and never will be.
 * STATUS_TIMEOUT: cmd may be applied, now or later. STATUS_IO: cmd was not applied, since this
 * replica's disk has failed. */
status_t group_propose(group_t *g, str_t cmd, deadline_t deadline, buf_t *result);

/** Returns STATUS_OK once a majority has confirmed that this replica still leads and it has applied
 * everything that was committed when the call began, so that reads of the state are linearizable.
 * Concurrent calls share one round of messages. */
status_t group_read_barrier(group_t *g, deadline_t deadline);

/** Runs fn on the group's thread, between two applied entries, and waits for it. Does nothing if
 * the group is closing. */
void group_with_state(group_t *g, void (*fn)(void *ctx, void *arg), void *arg);

typedef struct {
	uint64_t self;
	uint64_t term;
	uint64_t commit;
	uint64_t applied;
	uint64_t first_index;
	uint64_t last_index;
	uint64_t snapshot_index;
	uint64_t log_bytes; /* of the entries in memory */
	bool leader;
	bool failed; /* takes no part in the group, for example while its disk refuses writes */
	char leader_addr[64]; /* empty if unknown */
	deadline_t leader_since; /* when this replica became leader; 0 if it does not lead */
	unsigned npeers;
	group_peer_t peers[GROUP_PEERS_MAX];
	uint64_t match[GROUP_PEERS_MAX]; /* leader only: highest index that each peer has synced */
	deadline_t last_answer[GROUP_PEERS_MAX]; /* when each peer's last message came; 0: none */
	deadline_t last_ack[GROUP_PEERS_MAX]; /* leader only: when each peer last acknowledged
					       * something new or all that is committed; 0: not
					       * since this replica leads */
	deadline_t ack_awaited[GROUP_PEERS_MAX]; /* leader only: last_ack, else since when one is
						  * expected */
	uint64_t syncs; /* of the log */
	uint64_t sync_us; /* time spent on them */
	uint64_t commands; /* applied since the group was opened */
} group_status_t;

void group_get_status(group_t *g, group_status_t *out);
/** True if peer i has acknowledged nothing to this leader for more than ms: neither anything new
 * nor, with a message, all that is committed. A peer that only answers counts as silent. */
bool group_peer_is_silent(const group_status_t *st, unsigned i, deadline_t now, int64_t ms);
/** True for this leader itself, and if peer i has acknowledged something to it within the last ms
 * milliseconds. False for a peer that has not had the time to; see group_peer_is_silent. */
bool group_peer_acknowledges(const group_status_t *st, unsigned i, deadline_t now, int64_t ms);
/** Number of voters, the leader itself included, that have acknowledged something to it within the
 * last ms milliseconds. */
unsigned group_count_acknowledging(const group_status_t *st, deadline_t now, int64_t ms);

/** Membership changes, one at a time, on the leader only. Each call returns once the change is
 * committed or refused. STATUS_LIMIT: another change is in progress, the leader has not committed
 * an entry of its term yet, or the group is full. group_promote and group_remove also return it if
 * no majority of the voters after the change has answered within the last election timeout,
 * group_promote until the learner has synced everything that is committed. group_add_learner with
 * the id of a member updates its address and its availability zone, which the first voters are
 * recorded without, and leaves its vote unchanged. */
status_t group_add_learner(group_t *g, const group_peer_t *peer, deadline_t deadline);
status_t group_promote(group_t *g, uint64_t id, deadline_t deadline);
status_t group_remove(group_t *g, uint64_t id, deadline_t deadline);
/** Transfers leadership to the most up-to-date other voter, for a planned stop. Returns once this
 * replica no longer leads. */
status_t group_step_down(group_t *g, deadline_t deadline);

#endif
