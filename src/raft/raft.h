/**
 * The Raft core: the state machine of one replica. It has no clock, socket, file or thread: inputs
 * are function calls, outputs are callbacks. Not thread-safe.
 *
 * State that must be durable goes to a persist callback under a growing sequence number;
 * raft_on_synced reports the number up to which the disk holds it. A message is held back until the
 * term and vote at the time of sending are durable.
 */
#ifndef AUBURN_RAFT_H
#define AUBURN_RAFT_H

#include "proto/raft_xdr.h"
#include "raft/group.h"

typedef struct raft raft_t;

typedef enum { RAFT_FOLLOWER, RAFT_PRECANDIDATE, RAFT_CANDIDATE, RAFT_LEADER } raft_role_t;

typedef struct {
	unsigned n;
	group_peer_t peers[GROUP_PEERS_MAX];
} raft_members_t;

/** One chunk of a snapshot, with the index, term and members of the whole snapshot. */
typedef struct {
	uint64_t index;
	uint64_t term;
	str_t members; /* encoded raft_wire_members_t */
	uint64_t offset;
	str_t data;
	bool last;
	uint32_t crc; /* checksum of the whole state, computed by its writer; checked with last */
} raft_snap_chunk_t;

typedef struct {
	void *ctx;
	/** m and all that it points to are valid only during the call. */
	void (*send)(void *ctx, const raft_msg_t *m);
	void (*persist_hard_state)(void *ctx, uint64_t seq, uint64_t term, uint64_t vote);
	/** Entries from index `from` on; they replace everything that the log held from there. */
	void (*persist_entries)(void *ctx, uint64_t seq, uint64_t from, const raft_entry_t *e,
				size_t n);
	/** The log is now empty and continues after index; a snapshot covers everything up to
	 * index. */
	void (*persist_reset)(void *ctx, uint64_t seq, uint64_t index, uint64_t term);
	void (*apply)(void *ctx, uint64_t index, const raft_entry_t *e);
	/** Reads a chunk at c->offset of the snapshot at c->index (0: the newest). Returns false if
	 * there is no such snapshot or it cannot be read. */
	bool (*snap_read)(void *ctx, raft_snap_chunk_t *c);
	/** Writes one chunk; chunks come in order from offset 0. With c->last, true means that the
	 * snapshot is durable and has replaced the state. After false the transfer starts again at
	 * offset 0, after a pause. */
	bool (*snap_write)(void *ctx, const raft_snap_chunk_t *c);
	/** ok: after raft_read_index this replica was confirmed as leader and has applied
	 * everything that was committed at the time of the call. */
	void (*read_done)(void *ctx, uint64_t token, bool ok);
	/** This replica became leader or stopped leading; other changes are not reported. */
	void (*role)(void *ctx, raft_role_t role, uint64_t term);
} raft_callbacks_t;

typedef struct {
	raft_callbacks_t cb;
	uint64_t self;
	unsigned election_ticks; /* minimum, except for the first timeout after a restart; each
				  * timeout is random, up to twice as long */
	unsigned heartbeat_ticks;
	uint64_t random_seed;
	/** State loaded from disk. */
	uint64_t term;
	uint64_t vote;
	uint64_t base; /* index of the snapshot, already applied; 0: none */
	uint64_t base_term;
	raft_members_t base_members;
	const raft_entry_t *entries; /* from base + 1; copied */
	size_t nentries;
} raft_options_t;

raft_t *raft_new(const raft_options_t *o);
void raft_free(raft_t *r);

void raft_tick(raft_t *r);
/** Handles a message. May take over the data of its entries, leaving NULL there. */
void raft_receive(raft_t *r, raft_msg_t *m);
/** Everything persisted under a number up to seq is durable. */
void raft_on_synced(raft_t *r, uint64_t seq);
/** Ends a batch of inputs: persists and sends the entries proposed in it and starts a round for
 * pending reads. */
void raft_flush(raft_t *r);
/** The disk has refused a write: a leader asks another voter to start an election and steps down.
 * The replica then ignores messages, ticks, proposals and reads. */
void raft_on_disk_failed(raft_t *r);
/** The disk holds everything that it had refused: the replica takes part again. To be followed by
 * raft_on_synced. */
void raft_on_disk_back(raft_t *r);

/** Appends a command. Returns its index, or 0 if this replica does not lead or is transferring
 * leadership. */
uint64_t raft_propose(raft_t *r, str_t cmd);
/** Requests a read index; read_done answers with the token. Returns false if this replica does not
 * lead. */
bool raft_read_index(raft_t *r, uint64_t token);

/** Membership changes; with STATUS_OK *index is the entry to wait for, 0 if nothing has to
 * change. */
status_t raft_add_learner(raft_t *r, const group_peer_t *peer, uint64_t *index);
status_t raft_promote(raft_t *r, uint64_t id, uint64_t *index);
status_t raft_remove(raft_t *r, uint64_t id, uint64_t *index);
/** Starts to transfer leadership to the most up-to-date other voter. Returns false if there is none
 * or this replica does not lead. */
bool raft_transfer_leadership(raft_t *r);
/** Stops leading at once. */
void raft_step_down(raft_t *r);

/** Drops the entries up to index, which a durable snapshot covers. */
void raft_compact(raft_t *r, uint64_t index);
/** Members as of index, which must lie between the base and the last entry of the log. */
void raft_members_at(const raft_t *r, uint64_t index, raft_members_t *out);
uint64_t raft_term_at(const raft_t *r, uint64_t index);
/** True while this leader sends a snapshot to a live follower. */
bool raft_sending_snapshot(const raft_t *r);

typedef struct {
	uint64_t self;
	raft_role_t role;
	uint64_t term;
	uint64_t leader; /* 0: unknown */
	uint64_t commit;
	uint64_t applied;
	uint64_t base;
	uint64_t last;
	uint64_t synced;
	uint64_t log_bytes; /* of the entries in memory */
	bool failed;
	raft_members_t members;
	uint64_t match[GROUP_PEERS_MAX]; /* leader only: highest index that each member has synced,
					  * by position in members */
} raft_status_t;

void raft_get_status(const raft_t *r, raft_status_t *out);

/** How far another member has got, as known to the leader. */
typedef struct {
	uint64_t match; /* highest index that it has synced */
	uint64_t snap_index; /* of the snapshot that it receives; 0: none */
	uint64_t snap_offset; /* received so far */
} raft_member_progress_t;

/** False if this replica does not lead or id is no other member. */
bool raft_get_progress(const raft_t *r, uint64_t id, raft_member_progress_t *out);
uint64_t raft_commit_index(const raft_t *r);
raft_role_t raft_role(const raft_t *r);
uint64_t raft_applied_index(const raft_t *r);
/** Size of the entries in memory. */
uint64_t raft_log_bytes(const raft_t *r);

/** Encodes the members as stored in log entries and snapshots. */
void raft_members_encode(const raft_members_t *c, buf_t *out);
status_t raft_members_decode(str_t s, raft_members_t *out);
/** Position of id among the members, or -1. */
int raft_members_find(const raft_members_t *c, uint64_t id);

#endif
