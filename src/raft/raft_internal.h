/** Inner structure of the core, shared by its files. */
#ifndef AUBURN_RAFT_INTERNAL_H
#define AUBURN_RAFT_INTERNAL_H

#include "raft/raft.h"

#define RAFT_INFLIGHT_MAX      32 /* unanswered append messages for each follower */
#define RAFT_BATCH_BYTES_MAX   (256 * 1024)
#define RAFT_BATCH_ENTRIES_MAX 1024
#define RAFT_SEQ_NOT_PERSISTED UINT64_MAX

typedef enum { RAFT_MODE_PROBE, RAFT_MODE_REPLICATE, RAFT_MODE_SNAPSHOT } raft_send_mode_t;

/** What a leader knows of one other member. */
typedef struct {
	uint64_t id;
	uint64_t match; /* synced there, and equal to ours */
	uint64_t next;
	uint64_t round; /* newest read round it answered */
	uint64_t round_sent;
	uint64_t inflight[RAFT_INFLIGHT_MAX]; /* last index of each unanswered append */
	uint64_t snap_index;
	uint64_t snap_offset;
	unsigned inflight_head;
	unsigned inflight_n;
	unsigned snap_wait_ticks;
	unsigned silent_ticks; /* since it last answered */
	raft_send_mode_t flow;
	bool probing; /* a probe is under way */
	bool snap_sent;
} raft_progress_t;

typedef struct {
	uint64_t token;
	uint64_t round; /* 0: waits for the next flush */
	uint64_t index;
} raft_pending_read_t;

typedef struct {
	raft_msg_t m;
	uint64_t seq;
} raft_held_msg_t;

struct rf {
	raft_callbacks_t cb;
	uint64_t self;
	unsigned election_ticks;
	unsigned heartbeat_ticks;
	uint64_t random;
	bool failed;

	raft_role_t role;
	uint64_t term;
	uint64_t vote;
	uint64_t leader; /* 0: unknown */
	uint64_t term_leader; /* whoever was seen to lead in this term */
	unsigned elapsed; /* ticks since the leader was heard */
	unsigned timeout;
	unsigned heartbeat_elapsed;

	uint64_t next_seq;
	uint64_t synced_seq;
	uint64_t hard_seq; /* number of the newest term or vote */
	raft_held_msg_t *held;
	size_t nheld;
	size_t held_cap;

	uint64_t base;
	uint64_t base_term;
	raft_members_t base_conf;
	raft_entry_t *log; /* log[i] is entry base + 1 + i */
	uint64_t *seqs; /* number with which each was persisted */
	size_t nlog;
	size_t log_cap;
	uint64_t persisted; /* handed to the disk up to here */
	uint64_t synced; /* durable up to here */
	uint64_t verified; /* follower: known to equal the leader's log up to here */
	uint64_t commit;
	uint64_t applied;

	raft_members_t conf; /* newest in the log, committed or not */
	uint64_t conf_index;
	uint64_t votes[GROUP_PEERS_MAX];
	unsigned nvotes;
	bool self_vote;
	bool asked; /* a candidate with an older log counts this replica as a voter */

	raft_progress_t progress[GROUP_PEERS_MAX]; /* parallel to conf.peers */
	uint64_t term_start; /* index of the leader's first entry */
	uint64_t round;
	uint64_t round_answered; /* follower: newest round that it has echoed */
	uint64_t snap_in_index; /* snapshot being received */
	uint64_t snap_in_offset;
	uint64_t transfer_to;
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

/* rf_log.c */
void raft_log_append(raft_t *r, raft_entry_t e);
void raft_log_truncate(raft_t *r, uint64_t last);
void raft_log_reset(raft_t *r, uint64_t index, uint64_t term, const raft_members_t *conf);
void raft_log_persist(raft_t *r);
bool raft_log_update_synced(raft_t *r);
void raft_log_use_newest_members(raft_t *r);
void raft_log_commit(raft_t *r, uint64_t index);

/* rf_core.c */
void raft_set_hard_state(raft_t *r, uint64_t term, uint64_t vote);
void raft_send_msg(raft_t *r, raft_msg_t *m, uint64_t to);
void raft_become_follower(raft_t *r, uint64_t term, uint64_t leader);
void raft_reset_election_timeout(raft_t *r);

/* rf_vote.c */
void raft_campaign(raft_t *r, bool force);
void raft_start_prevote(raft_t *r);
void raft_count_self_vote(raft_t *r);
void raft_handle_prevote(raft_t *r, const raft_msg_t *m);
void raft_handle_vote(raft_t *r, const raft_msg_t *m);
void raft_handle_vote_resp(raft_t *r, const raft_msg_t *m);
bool raft_has_leader_lease(const raft_t *r);

/* rf_follow.c */
void raft_handle_append(raft_t *r, raft_msg_t *m);
void raft_handle_snap(raft_t *r, const raft_msg_t *m);
void raft_report_synced(raft_t *r);

/* rf_lead.c */
void raft_become_leader(raft_t *r);
void raft_leader_tick(raft_t *r);
void raft_leader_flush(raft_t *r);
void raft_leader_update_commit(raft_t *r);
void raft_leader_hand_over(raft_t *r);
void raft_leader_rebuild_progress(raft_t *r);
void raft_handle_append_resp(raft_t *r, const raft_msg_t *m);
void raft_handle_snap_resp(raft_t *r, const raft_msg_t *m);
bool raft_has_quorum(const raft_t *r, bool (*has)(const raft_t *r, unsigned i, uint64_t arg),
		     uint64_t arg);

bool raft_leader_has_live_majority(const raft_t *r, const raft_members_t *conf);

/* raft_send_msg.c */
void raft_send_append(raft_t *r, raft_progress_t *p, bool heartbeat);
void raft_send_snap_chunk(raft_t *r, raft_progress_t *p);

/* raft_read_index.c */
void raft_reads_begin_round(raft_t *r);
void raft_reads_complete(raft_t *r);
void raft_reads_fail(raft_t *r);

#endif
