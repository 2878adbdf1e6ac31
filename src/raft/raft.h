/**
 * The core of a replicated log: one replica's pure state machine. It owns no clock, socket, file or
 * thread; inputs are function calls, outputs are callbacks. Not thread-safe.
 *
 * Whatever must be durable is handed to a persist callback with a growing number; raft_on_synced
 * says up to which number the disk holds it. Messages that depend on a vote or a term wait for that
 * inside the core.
 */
#ifndef AUBURN_RAFT_H
#define AUBURN_RAFT_H

#include "proto/raft_xdr.h"
#include "raft/group.h"

typedef struct rf raft_t;

typedef enum { RAFT_FOLLOWER, RAFT_PRECANDIDATE, RAFT_CANDIDATE, RAFT_LEADER } raft_role_t;

/** The members of a group. */
typedef struct {
	unsigned n;
	group_peer_t peers[GROUP_PEERS_MAX];
} raft_members_t;

/** One piece of a snapshot and what the whole stands for. */
typedef struct {
	uint64_t index;
	uint64_t term;
	str_t members; /* encoded raft_wire_members_t */
	uint64_t offset;
	str_t data;
	bool last;
	uint32_t crc; /* with last: of the whole state, as its writer computed it */
} raft_snap_chunk_t;

typedef struct {
	void *ctx;
	/** The message and what it points to live only until the call returns. */
	void (*send)(void *ctx, const raft_msg_t *m);
	void (*persist_hard_state)(void *ctx, uint64_t seq, uint64_t term, uint64_t vote);
	/** Entries at index `from` and up; what the log held from there on is void. */
	void (*persist_entries)(void *ctx, uint64_t seq, uint64_t from, const raft_entry_t *e,
				size_t n);
	/** The log is empty and goes on after index; a snapshot holds what came before. */
	void (*persist_reset)(void *ctx, uint64_t seq, uint64_t index, uint64_t term);
	void (*apply)(void *ctx, uint64_t index, const raft_entry_t *e);
	/** Reads the snapshot of c->index (0: the newest) at c->offset. False: there is none. */
	bool (*snap_read)(void *ctx, raft_snap_chunk_t *c);
	/** Takes one piece, in order from offset 0. With c->last, true means that the snapshot is
	 *  durable and that the state is replaced by it. */
	bool (*snap_write)(void *ctx, const raft_snap_chunk_t *c);
	/** ok: the replica led at some point after raft_read_index and has applied what was
	 * committed then. */
	void (*read_done)(void *ctx, uint64_t token, bool ok);
	void (*role)(void *ctx, raft_role_t role, uint64_t term);
} raft_callbacks_t;

typedef struct {
	raft_callbacks_t cb;
	uint64_t self;
	unsigned election_ticks; /* base; the timeout is between one and two times this */
	unsigned heartbeat_ticks;
	uint64_t random_seed;
	/** What the disk holds. */
	uint64_t term;
	uint64_t vote;
	uint64_t base; /* index of the snapshot, which is applied already; 0: none */
	uint64_t base_term;
	raft_members_t base_members;
	const raft_entry_t *entries; /* from base + 1; copied */
	size_t nentries;
} raft_options_t;

raft_t *raft_new(const raft_options_t *o);
void raft_free(raft_t *r);

void raft_tick(raft_t *r);
/** May take the data of the message's entries, leaving NULL there. */
void raft_receive(raft_t *r, raft_msg_t *m);
/** Everything persisted with a number up to seq is durable. */
void raft_on_synced(raft_t *r, uint64_t seq);
/** Ends a batch of inputs: persists and sends what was proposed in it, begins a read round. */
void raft_flush(raft_t *r);
/** The disk has failed: the replica steps down and takes no further part. */
void raft_on_disk_failed(raft_t *r);

/** Appends a command; its index, or 0 when this replica doesn't lead. */
uint64_t raft_propose(raft_t *r, str_t cmd);
/** Asks for a read index; answered by read_done with the token. False: doesn't lead. */
bool raft_read_index(raft_t *r, uint64_t token);

/** Changes of members; *index is the entry to wait for, 0 when nothing need be done. */
status_t raft_add_learner(raft_t *r, const group_peer_t *peer, uint64_t *index);
status_t raft_promote(raft_t *r, uint64_t id, uint64_t *index);
status_t raft_remove(raft_t *r, uint64_t id, uint64_t *index);
/** Begins to hand leadership to the most advanced other voter. False: there is none. */
bool raft_transfer_leadership(raft_t *r);
/** Gives up leading at once. */
void raft_step_down(raft_t *r);

/** Drops entries up to index, which a durable snapshot holds. */
void raft_compact(raft_t *r, uint64_t index);
/** Members as of the entry at index, which the log or its base must reach. */
void raft_members_at(const raft_t *r, uint64_t index, raft_members_t *out);
uint64_t raft_term_at(const raft_t *r, uint64_t index);
/** True while a snapshot is being sent to some replica. */
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
	bool failed;
	raft_members_t members;
	uint64_t match[GROUP_PEERS_MAX]; /* by place in conf; leader only */
} raft_status_t;

void raft_get_status(const raft_t *r, raft_status_t *out);
raft_role_t raft_role(const raft_t *r);
uint64_t raft_applied_index(const raft_t *r);

/** Encodes members as an entry or a snapshot holds them. */
void raft_members_encode(const raft_members_t *c, buf_t *out);
status_t raft_members_decode(str_t s, raft_members_t *out);
/** Place of id in the members, or -1. */
int raft_members_find(const raft_members_t *c, uint64_t id);

#endif
