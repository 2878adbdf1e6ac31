/**
 * One replicated group in a process: the log's core, its files and its thread, around a state
 * machine that the caller supplies. Blocking calls are for traffic threads; callbacks run on the
 * group's own thread, one at a time.
 */
#ifndef AUBURN_GROUP_H
#define AUBURN_GROUP_H

#include <stdint.h>
#include "base/clock.h"
#include "base/status.h"
#include "base/str.h"

typedef struct gr group_t;

/** A replica as the group's log names it. */
typedef struct {
	uint64_t id; /* random, made with the data folder; never 0 */
	char addr[64]; /* ip:port of its control process */
	char zone[32];
	bool voter; /* else a learner */
} group_peer_t;

#define GROUP_PEERS_MAX 9

typedef struct {
	unsigned group;
	const char *dir; /* data folder of this group; made if missing */
	const char *addr; /* own ip:port */
	const char *zone;
	/** First voters' addresses, own included; used only when the folder is new and `bootstrap`.
	 */
	const char *const *seeds;
	unsigned nseeds;
	/** True on the first start of a new fleet; a folder made without it joins as a learner. */
	bool bootstrap;
	unsigned tick_ms;
	unsigned election_ms; /* base of the election timeout */
	uint64_t snapshot_entries; /* applied entries between snapshots */
	uint64_t snapshot_bytes; /* or bytes of log, whichever comes first */
	void *ctx;
	/** Applies one command; result is handed to the proposer. Must be deterministic. */
	void (*apply)(void *ctx, uint64_t index, str_t cmd, buf_t *result);
	/** Appends the whole state to out; commits wait meanwhile, so that it must take much less
	 * than an election timeout. */
	void (*snapshot)(void *ctx, buf_t *out);
	/** Replaces the whole state. */
	status_t (*restore)(void *ctx, str_t snap);
	/** Queues a message to the control process at addr; may drop it. */
	void (*send)(void *ctx, const char *addr, unsigned group, str_t msg);
	/** Called on the group's thread after a change of role. */
	void (*role)(void *ctx, bool leader, uint64_t term);
} group_options_t;

/** Opens the folder, replays it and starts the group's thread. STATUS_CORRUPT names file and
 * offset: the replica must not go on under its old id; rename the folder away and join as a
 * learner.
 *
 *  The first voters' ids follow from their addresses, so a seed that has lost its folder must not
 * be opened with `bootstrap` again: it could vote twice. The caller first asks the other seeds; as
 *  soon as one of them answers with a term above 0, the group exists and `bootstrap` must be false.
 */
status_t group_open(const group_options_t *o, group_t **out);
/** True when dir holds a replica already; `bootstrap` has no effect on it then. */
bool group_exists(const char *dir);
/** Id of the first voter at a seed's address. */
uint64_t group_seed_id(unsigned group, const char *addr);
void group_close(group_t *g);

/** Hands in a message that another replica's send callback was given. */
void group_receive(group_t *g, str_t msg);

/** Commits and applies cmd. STATUS_NOT_LEADER: surely not done. STATUS_TIMEOUT: may be done, now or
 * later. STATUS_IO: own disk failed. */
status_t group_propose(group_t *g, str_t cmd, deadline_t deadline, buf_t *result);

/** Returns STATUS_OK once this replica is known to lead still and has applied all that was
 * committed when the call began. Concurrent calls share one round. */
status_t group_read_barrier(group_t *g, deadline_t deadline);

/** Runs fn on the group's thread, between two applies. */
void group_with_state(group_t *g, void (*fn)(void *ctx, void *arg), void *arg);

typedef struct {
	uint64_t self;
	uint64_t term;
	uint64_t commit;
	uint64_t applied;
	uint64_t first_index;
	uint64_t last_index;
	uint64_t snapshot_index;
	bool leader;
	char leader_addr[64]; /* empty when unknown */
	deadline_t leader_since; /* when this replica began to lead; 0 if it doesn't */
	unsigned npeers;
	group_peer_t peers[GROUP_PEERS_MAX];
	uint64_t match[GROUP_PEERS_MAX]; /* leader only: synced index of each peer */
	deadline_t last_answer[GROUP_PEERS_MAX]; /* leader only: when each peer last answered */
	uint64_t syncs;
	uint64_t sync_us;
	uint64_t commands;
} group_status_t;

void group_get_status(group_t *g, group_status_t *out);

/** Membership, one change at a time; leader only. Each returns once the change is committed.
 *  STATUS_LIMIT: another change is under way, or no majority of the voters that it leaves has
 * answered lately; group_promote also refuses so until the learner has synced everything committed.
 *  group_add_learner with the id of a member renews its address and availability zone, which the
 *  first voters' entries lack, and leaves its vote as it is. */
status_t group_add_learner(group_t *g, const group_peer_t *peer, deadline_t deadline);
status_t group_promote(group_t *g, uint64_t id, deadline_t deadline);
status_t group_remove(group_t *g, uint64_t id, deadline_t deadline);
/** Hands leadership to the most advanced voter, for a planned stop. */
status_t group_step_down(group_t *g, deadline_t deadline);

#endif
