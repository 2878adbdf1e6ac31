/** Internal structure of the Raft core, shared by its files. */
#ifndef AUBURN_RAFT_INTERNAL_H
#define AUBURN_RAFT_INTERNAL_H

#include "raft/raft.h"

#define RAFT_INFLIGHT_MAX 32 /* append messages in flight per follower */
/** No further append is sent to a follower while this many bytes of entries are in flight. */
#define RAFT_INFLIGHT_BYTES_MAX (4U << 20)
#define RAFT_BATCH_BYTES_MAX	(256 * 1024)
#define RAFT_BATCH_ENTRIES_MAX	1024
#define RAFT_SEQ_NOT_PERSISTED	UINT64_MAX

/** A leader probes with one append at a time until the logs match, then sends entries without
 * waiting for answers, or sends a snapshot if its log no longer has the next entry. */
typedef enum { RAFT_MODE_PROBE, RAFT_MODE_REPLICATE, RAFT_MODE_SNAPSHOT } raft_send_mode_t;

/** An append whose entries the member has not acknowledged. */
typedef struct {
	uint64_t last; /* index of its last entry */
	uint64_t bytes; /* of its entries */
} raft_inflight_t;

/** A leader's knowledge of one other member. */
typedef struct {
	uint64_t id;
	uint64_t match; /* up to here the member's log is synced and equals this one */
	uint64_t next; /* next index to send */
	uint64_t round_acked; /* newest read round that the member has acknowledged */
	uint64_t round_sent;
	raft_inflight_t inflight[RAFT_INFLIGHT_MAX]; /* ring of the appends in flight */
	uint64_t inflight_bytes; /* of their entries */
	uint64_t snap_index; /* snapshot being sent; 0: the newest */
	uint64_t snap_offset; /* of the next chunk, or of the unanswered one */
	unsigned inflight_head;
	unsigned inflight_n;
	unsigned snap_wait_ticks; /* since the last chunk was sent */
	unsigned silent_ticks; /* since the last answer, at first since this record was created */
	raft_send_mode_t mode;
	bool probe_pending; /* a probe was sent since the last heartbeat and is unanswered */
	bool snap_sent; /* the chunk at snap_offset is unanswered, for less than election_ticks */
} raft_progress_t;

typedef struct {
	uint64_t token;
	uint64_t round; /* 0: not started, waits for the next flush */
	uint64_t index; /* must be applied first */
} raft_pending_read_t;

typedef struct {
	raft_msg_t m;
	uint64_t seq; /* sent once this is durable */
} raft_held_msg_t;

struct raft {
	raft_callbacks_t cb;
	uint64_t self;
	unsigned election_ticks;
	unsigned heartbeat_ticks;
	uint64_t prng_state;
	bool failed;

	raft_role_t role;
	uint64_t term;
	uint64_t vote;
	uint64_t leader; /* 0: unknown */
	uint64_t term_leader; /* leader seen in this term; 0: none */
	unsigned election_elapsed; /* ticks since the last reset */
	unsigned election_timeout;
	unsigned heartbeat_elapsed;
	unsigned elections; /* that this replica has taken part in since it last knew of a leader */

	uint64_t next_seq;
	uint64_t synced_seq;
	uint64_t hard_state_seq; /* sequence number of the newest term or vote */
	raft_held_msg_t *held_msgs;
	size_t nheld;
	size_t held_cap;

	uint64_t base;
	uint64_t base_term;
	raft_members_t base_members;
	raft_entry_t *log; /* log[i] is entry base + 1 + i */
	uint64_t *persist_seqs; /* sequence number under which each entry was persisted */
	size_t nlog;
	size_t log_cap;
	size_t log_bytes; /* of the data of its entries */
	uint64_t submitted; /* given to persist_entries up to here; may not be durable yet */
	uint64_t synced; /* durable up to here */
	uint64_t verified; /* follower: known to equal the leader's log up to here */
	uint64_t commit;
	uint64_t applied;

	raft_members_t members; /* from the newest members entry in the log, committed or not */
	uint64_t members_index; /* of that entry, or the base */
	uint64_t votes[GROUP_PEERS_MAX];
	unsigned nvotes;
	bool self_vote;
	bool counted_as_voter; /* a candidate with an older log counts this replica as a voter */

	raft_progress_t progress[GROUP_PEERS_MAX]; /* parallel to members.peers */
	uint64_t term_start; /* leader: index of the first entry of its term */
	uint64_t round; /* leader: newest read round */
	uint64_t round_echoed; /* follower: newest read round echoed to the leader */
	uint64_t incoming_snap_index; /* snapshot being received; 0: none */
	uint64_t incoming_snap_offset;
	uint64_t transfer_to; /* voter that leadership is transferred to; 0: none */
	unsigned transfer_ticks;
	raft_pending_read_t *reads;
	size_t nreads;
	size_t reads_cap;
};

static inline uint64_t raft_last_index(const raft_t *r)
{
	return r->base + r->nlog;
}

static inline raft_entry_t *raft_entry_at(const raft_t *r, uint64_t index)
{
	return &r->log[index - r->base - 1];
}

/* raft_log.c */
void raft_log_append(raft_t *r, raft_entry_t e);
/** Drops the entries after last. */
void raft_log_truncate(raft_t *r, uint64_t last);
/** Empties the log, which then continues after a snapshot at index. */
void raft_log_reset(raft_t *r, uint64_t index, uint64_t term, const raft_members_t *members);
/** Hands the entries that are not persisted yet to persist_entries. */
void raft_log_persist(raft_t *r);
/** Advances `synced` to what the disk holds; true if it grew. */
bool raft_log_update_synced(raft_t *r);
void raft_log_use_newest_members(raft_t *r);
/** Commits and applies the entries up to index. */
void raft_log_commit(raft_t *r, uint64_t index);

/* raft.c */
/** Sets term and vote and hands them to persist_hard_state. */
void raft_set_hard_state(raft_t *r, uint64_t term, uint64_t vote);
/** Sends m, or holds it until term and vote are durable. */
void raft_send_msg(raft_t *r, raft_msg_t *m, uint64_t to);
void raft_become_follower(raft_t *r, uint64_t term, uint64_t leader);
void raft_reset_election_timeout(raft_t *r);
/** The minimum election timeout in ticks. It doubles with each election in a row that has led to no
 * leader: the answers, or the disks, may take longer than the timeout. */
unsigned raft_election_ticks(const raft_t *r);

/* raft_vote.c */
/** Starts an election if this replica may campaign. force: the voters ignore the leader lease. */
void raft_campaign(raft_t *r, bool force);
void raft_start_prevote(raft_t *r);
/** Counts this replica's vote for itself once it is durable. */
void raft_count_self_vote(raft_t *r);
void raft_handle_prevote(raft_t *r, const raft_msg_t *m);
void raft_handle_vote(raft_t *r, const raft_msg_t *m);
/** Handles the answer to a vote or a pre-vote request. */
void raft_handle_vote_resp(raft_t *r, const raft_msg_t *m);
/** True if this replica leads, or the leader sent a message within the election timeout. */
bool raft_has_leader_lease(const raft_t *r);

/* raft_follower.c */
void raft_handle_append(raft_t *r, raft_msg_t *m);
void raft_handle_snap(raft_t *r, const raft_msg_t *m);
/** Acknowledges newly synced entries to the leader. */
void raft_report_synced(raft_t *r);

/* raft_leader.c */
void raft_become_leader(raft_t *r);
void raft_leader_tick(raft_t *r);
/** Starts a round for pending reads and sends new entries. */
void raft_leader_flush(raft_t *r);
/** Commits what a majority of voters has synced. Steps down once a change that removes this replica
 * from the voters is committed. */
void raft_leader_update_commit(raft_t *r);
/** Asks the most up-to-date other voter to start an election at once. */
void raft_leader_hand_over(raft_t *r);
/** Creates the progress of each current member; members that stay keep theirs. */
void raft_leader_rebuild_progress(raft_t *r);
void raft_handle_append_resp(raft_t *r, const raft_msg_t *m);
void raft_handle_snap_resp(raft_t *r, const raft_msg_t *m);
/** True if `has` returns true for a majority of voters; i is the position in members. */
bool raft_has_quorum(const raft_t *r, bool (*has)(const raft_t *r, unsigned i, uint64_t arg),
		     uint64_t arg);

/** True if a majority of the voters among members answered within the election timeout. */
bool raft_leader_has_live_majority(const raft_t *r, const raft_members_t *members);

/* raft_send.c */
/** Sends what the member needs next: entries, a heartbeat or a snapshot chunk. */
void raft_send_append(raft_t *r, raft_progress_t *p, bool heartbeat);
/** Sends the snapshot chunk at snap_offset unless snap_sent is set. */
void raft_send_snap_chunk(raft_t *r, raft_progress_t *p);

/* raft_read.c */
/** Starts a round of messages for the reads that have none yet. */
void raft_reads_begin_round(raft_t *r);
/** Answers the reads whose round is acknowledged and whose index is applied. */
void raft_reads_complete(raft_t *r);
/** Fails all pending reads: leadership was lost. */
void raft_reads_fail(raft_t *r);

#endif
