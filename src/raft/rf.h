/**
 * The core of a replicated log: one replica's pure state machine. It owns no clock, socket, file or
 * thread; inputs are function calls, outputs are callbacks. Not thread-safe.
 *
 * Whatever must be durable is handed to a persist callback with a growing number; rf_synced says
 * up to which number the disk holds it. Messages that depend on a vote or a term wait for that
 * inside the core.
 */
#ifndef AUBURN_RF_H
#define AUBURN_RF_H

#include "proto/rf_xdr.h"
#include "raft/gr.h"

typedef struct rf rf_t;

typedef enum { RF_FOLLOWER, RF_PRECANDIDATE, RF_CANDIDATE, RF_LEADER } rf_role_t;

/** The members of a group. */
typedef struct {
	unsigned n;
	gr_peer_t peers[GR_PEERS_MAX];
} rf_conf_t;

/** One piece of a snapshot and what the whole stands for. */
typedef struct {
	uint64_t index;
	uint64_t term;
	str_t conf; /* encoded rf_wire_conf_t */
	uint64_t offset;
	str_t data;
	bool last;
	uint32_t crc; /* with last: of the whole state, as its writer computed it */
} rf_chunk_t;

typedef struct {
	void *ctx;
	/** The message and what it points to live only until the call returns. */
	void (*send)(void *ctx, const rf_msg_t *m);
	void (*persist_hard)(void *ctx, uint64_t seq, uint64_t term, uint64_t vote);
	/** Entries at index `from` and up; what the log held from there on is void. */
	void (*persist_entries)(void *ctx, uint64_t seq, uint64_t from, const rf_entry_t *e,
				size_t n);
	/** The log is empty and goes on after index; a snapshot holds what came before. */
	void (*persist_reset)(void *ctx, uint64_t seq, uint64_t index, uint64_t term);
	void (*apply)(void *ctx, uint64_t index, const rf_entry_t *e);
	/** Reads the snapshot of c->index (0: the newest) at c->offset. False: there is none. */
	bool (*snap_read)(void *ctx, rf_chunk_t *c);
	/** Takes one piece, in order from offset 0. With c->last, true means that the snapshot is
	 *  durable and that the state is replaced by it. */
	bool (*snap_write)(void *ctx, const rf_chunk_t *c);
	/** ok: the replica led at some point after rf_read and has applied what was committed
	 *  then. */
	void (*read_done)(void *ctx, uint64_t token, bool ok);
	void (*role)(void *ctx, rf_role_t role, uint64_t term);
} rf_callbacks_t;

typedef struct {
	rf_callbacks_t cb;
	uint64_t self;
	unsigned election_ticks; /* base; the timeout is between one and two times this */
	unsigned heartbeat_ticks;
	uint64_t random_seed;
	/** What the disk holds. */
	uint64_t term;
	uint64_t vote;
	uint64_t base; /* index of the snapshot, which is applied already; 0: none */
	uint64_t base_term;
	rf_conf_t base_conf;
	const rf_entry_t *entries; /* from base + 1; copied */
	size_t nentries;
} rf_options_t;

rf_t *rf_new(const rf_options_t *o);
void rf_free(rf_t *r);

void rf_tick(rf_t *r);
/** May take the data of the message's entries, leaving NULL there. */
void rf_receive(rf_t *r, rf_msg_t *m);
/** Everything persisted with a number up to seq is durable. */
void rf_synced(rf_t *r, uint64_t seq);
/** Ends a batch of inputs: persists and sends what was proposed in it, begins a read round. */
void rf_flush(rf_t *r);
/** The disk has failed: the replica steps down and takes no further part. */
void rf_fail(rf_t *r);

/** Appends a command; its index, or 0 when this replica doesn't lead. */
uint64_t rf_propose(rf_t *r, str_t cmd);
/** Asks for a read index; answered by read_done with the token. False: doesn't lead. */
bool rf_read(rf_t *r, uint64_t token);

/** Changes of members; *index is the entry to wait for, 0 when nothing need be done. */
status_t rf_add_learner(rf_t *r, const gr_peer_t *peer, uint64_t *index);
status_t rf_promote(rf_t *r, uint64_t id, uint64_t *index);
status_t rf_remove(rf_t *r, uint64_t id, uint64_t *index);
/** Begins to hand leadership to the most advanced other voter. False: there is none. */
bool rf_transfer(rf_t *r);
/** Gives up leading at once. */
void rf_step_down(rf_t *r);

/** Drops entries up to index, which a durable snapshot holds. */
void rf_compact(rf_t *r, uint64_t index);
/** Members as of the entry at index, which the log or its base must reach. */
void rf_conf_at(const rf_t *r, uint64_t index, rf_conf_t *out);
uint64_t rf_term_at(const rf_t *r, uint64_t index);
/** True while a snapshot is being sent to some replica. */
bool rf_sending_snapshot(const rf_t *r);

typedef struct {
	uint64_t self;
	rf_role_t role;
	uint64_t term;
	uint64_t leader; /* 0: unknown */
	uint64_t commit;
	uint64_t applied;
	uint64_t base;
	uint64_t last;
	uint64_t synced;
	bool failed;
	rf_conf_t conf;
	uint64_t match[GR_PEERS_MAX]; /* by place in conf; leader only */
} rf_view_t;

void rf_view(const rf_t *r, rf_view_t *out);
rf_role_t rf_role(const rf_t *r);
uint64_t rf_applied(const rf_t *r);

/** Encodes members as an entry or a snapshot holds them. */
void rf_conf_encode(const rf_conf_t *c, buf_t *out);
status_t rf_conf_decode(str_t s, rf_conf_t *out);
/** Place of id in the members, or -1. */
int rf_conf_find(const rf_conf_t *c, uint64_t id);

#endif
