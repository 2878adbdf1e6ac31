/** Internal structure of a group, shared by its files. */
#ifndef AUBURN_GROUP_INTERNAL_H
#define AUBURN_GROUP_INTERNAL_H

#include <pthread.h>
#include "raft/group.h"
#include "raft/raft.h"
#include "raft/store.h"

#define GROUP_SENDERS_MAX 16 /* replicas whose last address is remembered */

typedef enum {
	GROUP_MESSAGE,
	GROUP_PROPOSE,
	GROUP_READ_BARRIER,
	GROUP_ADD_LEARNER,
	GROUP_PROMOTE,
	GROUP_REMOVE,
	GROUP_STEP_DOWN,
	GROUP_WITH_STATE
} group_input_kind_t;

/** One input to the group's thread. A waiting caller and the thread each hold a reference; the last
 * one to drop its reference frees the input. */
typedef struct group_input {
	struct group_input *next;
	group_input_kind_t kind;
	unsigned refs;
	pthread_cond_t cond;
	bool done;
	status_t st;
	char message[256]; /* error text set on the group's thread */
	buf_t data; /* command or message; then the result */
	group_peer_t peer;
	void (*fn)(void *ctx, void *arg);
	void *arg;
	uint64_t index; /* log index that a proposal waits for */
	uint64_t term;
} group_input_t;

typedef struct {
	group_input_t *first;
	group_input_t *last;
} group_queue_t;

typedef struct {
	uint64_t id;
	char addr[64];
	deadline_t last_message;
} group_sender_t;

/** What one member has acknowledged to this leader. */
typedef struct {
	uint64_t id;
	raft_member_progress_t most; /* largest seen */
	deadline_t since; /* when it became a member, or this replica the leader */
	deadline_t last; /* 0: not since then */
} group_ack_t;

typedef struct {
	deadline_t leader_since; /* the term of office that the records are from; 0: none */
	unsigned n;
	group_ack_t members[GROUP_PEERS_MAX];
} group_acks_t;

struct group {
	group_options_t options;
	char *addr;
	store_t *store;

	pthread_mutex_t lock; /* guards the inputs and the fields from callers to status */
	pthread_cond_t wake; /* wakes the group's thread */
	pthread_cond_t disk_wake;
	pthread_cond_t idle; /* signalled when no caller waits any more */
	unsigned callers;
	group_queue_t inbox;
	bool stop;
	bool disk_stop;
	bool disk_failed; /* the last write of the log was refused */
	bool cut_due; /* space on the disk is short: a snapshot is to cut the log */
	uint64_t synced_seq;
	bool snap_ended; /* the snapshot thread has ended */
	bool snap_failed; /* it has not written the snapshot */
	group_status_t status;

	/* used by the group's thread only */
	raft_t *raft;
	group_queue_t proposals; /* waiting to be applied, by index */
	group_queue_t old_proposals; /* from before leadership was lost; may still be applied */
	group_queue_t step_downs; /* callers that wait until this replica no longer leads */
	group_sender_t senders[GROUP_SENDERS_MAX];
	group_acks_t acks;
	deadline_t leader_since;
	uint64_t commands;
	bool state_lost; /* a snapshot was restored only in part; a restart repairs that */
	uint64_t applied_bytes; /* since the last snapshot */
	uint64_t snap_bytes; /* applied_bytes when the running snapshot was begun */
	deadline_t next_snap; /* no snapshot is begun before, as the last one failed */
	uint64_t snap_index; /* of the newest snapshot that was begun or installed */
	bool snap_cuts; /* the running snapshot is to make room on the disk */
	bool snap_running; /* the snapshot thread was started and is not joined yet */
	buf_t snap_state;
	buf_t snap_members;
	uint64_t snap_term;
	buf_t encoded_msg; /* message being sent */
	buf_t cmd_result; /* of the command being applied */

	pthread_t thread;
	pthread_t disk_thread;
	pthread_t snap_thread;
};

void group_queue_push(group_queue_t *q, group_input_t *it);
group_input_t *group_queue_pop(group_queue_t *q);

/* group_thread.c */
/** Main function of the group's thread. */
void *group_thread_main(void *arg);

/* group_calls.c */
/** Answers the waiting caller with st and drops the reference of the group's thread. */
void group_input_finish(group_t *g, group_input_t *it, status_t st);
/** Waits on cond for at most ms; the caller holds the lock. */
void group_cond_wait(group_t *g, pthread_cond_t *cond, int64_t ms);
void group_input_unref(group_t *g, group_input_t *it);

/* group_raft.c */
void group_raft_callbacks(group_t *g, raft_callbacks_t *cb);
/** Returns the address that a replica's last message named, else the one in the list of members;
 * NULL if unknown. */
const char *group_addr_of(group_t *g, uint64_t id);
/** Records the sender's address, which m contains, and the time. */
void group_remember_sender(group_t *g, const raft_msg_t *m);

/* group_acks.c */
/** Starts records for new members and drops those of former ones; all are new when the replica has
 * become leader at another time than before. leader_since 0: it does not lead. */
void group_acks_set_members(group_acks_t *a, const raft_members_t *members, deadline_t leader_since,
			    deadline_t now);
/** Records an acknowledgement of member id, which has got as far as p says. */
void group_acks_record(group_acks_t *a, uint64_t id, const raft_member_progress_t *p,
		       uint64_t commit, deadline_t now);
/** Fills last_ack and ack_awaited, by position in st->peers. */
void group_acks_publish(const group_acks_t *a, group_status_t *st);

/* group_disk.c */
/** Main function of the thread that syncs the log. */
void *group_disk_thread_main(void *arg);
void group_disk_wake(group_t *g);
/** cut: to make room on the disk. */
void group_snapshot_begin(group_t *g, bool cut);
/** Lets the disk thread go on that waits for the log to be cut. */
void group_cut_done(group_t *g);
void group_snapshot_end(group_t *g);
/** Waits for the snapshot thread, if one runs. */
void group_snapshot_join(group_t *g);

#endif
