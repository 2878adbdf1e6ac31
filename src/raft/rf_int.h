/** Inner structure of the core, shared by its files. */
#ifndef AUBURN_RF_INT_H
#define AUBURN_RF_INT_H

#include "raft/rf.h"

#define RF_INFLIGHT_MAX	     32 /* unanswered append messages for each follower */
#define RF_BATCH_BYTES	     (256 * 1024)
#define RF_BATCH_ENTRIES     1024
#define RF_SEQ_NOT_PERSISTED UINT64_MAX

typedef enum { RF_PROBE, RF_REPLICATE, RF_SNAPSHOT } rf_flow_t;

/** What a leader knows of one other member. */
typedef struct {
	uint64_t id;
	uint64_t match; /* synced there, and equal to ours */
	uint64_t next;
	uint64_t round; /* newest read round it answered */
	uint64_t round_sent;
	uint64_t inflight[RF_INFLIGHT_MAX]; /* last index of each unanswered append */
	uint64_t snap_index;
	uint64_t snap_offset;
	unsigned inflight_head;
	unsigned inflight_n;
	unsigned snap_wait_ticks;
	unsigned silent_ticks; /* since it last answered */
	rf_flow_t flow;
	bool probing; /* a probe is under way */
	bool snap_sent;
} rf_progress_t;

typedef struct {
	uint64_t token;
	uint64_t round; /* 0: waits for the next flush */
	uint64_t index;
} rf_read_t;

typedef struct {
	rf_msg_t m;
	uint64_t seq;
} rf_held_t;

struct rf {
	rf_callbacks_t cb;
	uint64_t self;
	unsigned election_ticks;
	unsigned heartbeat_ticks;
	uint64_t random;
	bool failed;

	rf_role_t role;
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
	rf_held_t *held;
	size_t nheld;
	size_t held_cap;

	uint64_t base;
	uint64_t base_term;
	rf_conf_t base_conf;
	rf_entry_t *log; /* log[i] is entry base + 1 + i */
	uint64_t *seqs; /* number with which each was persisted */
	size_t nlog;
	size_t log_cap;
	uint64_t persisted; /* handed to the disk up to here */
	uint64_t synced; /* durable up to here */
	uint64_t verified; /* follower: known to equal the leader's log up to here */
	uint64_t commit;
	uint64_t applied;

	rf_conf_t conf; /* newest in the log, committed or not */
	uint64_t conf_index;
	uint64_t votes[GR_PEERS_MAX];
	unsigned nvotes;
	bool self_vote;
	bool asked; /* a candidate with an older log counts this replica as a voter */

	rf_progress_t progress[GR_PEERS_MAX]; /* parallel to conf.peers */
	uint64_t term_start; /* index of the leader's first entry */
	uint64_t round;
	uint64_t round_answered; /* follower: newest round that it has echoed */
	uint64_t snap_in_index; /* snapshot being received */
	uint64_t snap_in_offset;
	uint64_t transfer_to;
	unsigned transfer_ticks;
	rf_read_t *reads;
	size_t nreads;
	size_t reads_cap;
};

static inline uint64_t rf_last(const rf_t *r)
{
	return r->base + r->nlog;
}

static inline rf_entry_t *rf_entry(const rf_t *r, uint64_t index)
{
	return &r->log[index - r->base - 1];
}

/* rf_log.c */
void rf_log_append(rf_t *r, rf_entry_t e);
void rf_log_truncate(rf_t *r, uint64_t last);
void rf_log_reset(rf_t *r, uint64_t index, uint64_t term, const rf_conf_t *conf);
void rf_log_persist(rf_t *r);
bool rf_log_update_synced(rf_t *r);
void rf_log_use_newest_conf(rf_t *r);
void rf_log_commit(rf_t *r, uint64_t index);

/* rf_core.c */
void rf_set_hard(rf_t *r, uint64_t term, uint64_t vote);
void rf_send(rf_t *r, rf_msg_t *m, uint64_t to);
void rf_become_follower(rf_t *r, uint64_t term, uint64_t leader);
void rf_reset_timeout(rf_t *r);

/* rf_vote.c */
void rf_campaign(rf_t *r, bool force);
void rf_start_prevote(rf_t *r);
void rf_count_self_vote(rf_t *r);
void rf_handle_prevote(rf_t *r, const rf_msg_t *m);
void rf_handle_vote(rf_t *r, const rf_msg_t *m);
void rf_handle_vote_resp(rf_t *r, const rf_msg_t *m);
bool rf_has_lease(const rf_t *r);

/* rf_follow.c */
void rf_handle_append(rf_t *r, rf_msg_t *m);
void rf_handle_snap(rf_t *r, const rf_msg_t *m);
void rf_report_synced(rf_t *r);

/* rf_lead.c */
void rf_become_leader(rf_t *r);
void rf_lead_tick(rf_t *r);
void rf_lead_flush(rf_t *r);
void rf_lead_update_commit(rf_t *r);
void rf_lead_abandon(rf_t *r);
void rf_lead_rebuild_progress(rf_t *r);
void rf_handle_append_resp(rf_t *r, const rf_msg_t *m);
void rf_handle_snap_resp(rf_t *r, const rf_msg_t *m);
bool rf_quorum(const rf_t *r, bool (*has)(const rf_t *r, unsigned i, uint64_t arg), uint64_t arg);

bool rf_lead_has_live_majority(const rf_t *r, const rf_conf_t *conf);

/* rf_send.c */
void rf_send_append(rf_t *r, rf_progress_t *p, bool heartbeat);
void rf_send_chunk(rf_t *r, rf_progress_t *p);

/* rf_read.c */
void rf_reads_begin_round(rf_t *r);
void rf_reads_answer(rf_t *r);
void rf_reads_fail(rf_t *r);

#endif
