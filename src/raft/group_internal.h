/** Inner structure of a group's runtime, shared by its files. */
#ifndef AUBURN_GROUP_INTERNAL_H
#define AUBURN_GROUP_INTERNAL_H

#include <pthread.h>
#include "raft/group.h"
#include "raft/raft.h"
#include "raft/store.h"

#define GROUP_SENDERS_MAX 16 /* senders whose address is remembered */

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

/** One input to the group's thread. A caller that waits shares it; the last one frees it. */
typedef struct group_input {
	struct group_input *next;
	group_input_kind_t kind;
	unsigned refs;
	pthread_cond_t cond;
	bool done;
	status_t st;
	char message[256]; /* what status_fail said on the group's thread */
	buf_t data; /* command or message; then the result */
	group_peer_t peer;
	void (*fn)(void *ctx, void *arg);
	void *arg;
	uint64_t index; /* entry that the item waits for */
	uint64_t term;
} group_input_t;

typedef struct {
	group_input_t *first;
	group_input_t *last;
} group_queue_t;

typedef struct {
	uint64_t id;
	char addr[64];
	deadline_t heard;
} group_sender_t;

struct gr {
	group_options_t o;
	char *addr;
	store_t *rs;

	pthread_mutex_t lock; /* guards the inbox and the fields up to the core */
	pthread_cond_t wake; /* the group's thread */
	pthread_cond_t disk_wake;
	pthread_cond_t idle; /* no caller waits any more */
	unsigned callers;
	group_queue_t inbox;
	bool stop;
	bool disk_stop;
	bool disk_failed;
	uint64_t synced_seq;
	bool snap_saved; /* the thread that writes a snapshot has ended */
	group_status_t status;

	/* The group's thread only. */
	raft_t *rf;
	group_queue_t pending; /* proposals by index */
	group_queue_t orphans; /* proposals of a leadership that has ended */
	group_queue_t stepping; /* wait for the end of leading */
	group_sender_t known[GROUP_SENDERS_MAX];
	deadline_t led_since;
	uint64_t commands;
	uint64_t applied_bytes; /* since the last snapshot */
	uint64_t snap_index; /* newest that was begun */
	bool snap_running;
	buf_t snap_state;
	buf_t snap_conf;
	uint64_t snap_term;
	buf_t encoded;
	buf_t scratch;

	pthread_t thread;
	pthread_t disk_thread;
	pthread_t snap_thread;
};

void group_queue_push(group_queue_t *l, group_input_t *it);
group_input_t *group_queue_pop(group_queue_t *l);

/* group_thread_main.c */
void *group_thread_main(void *arg);

/* gr_calls.c */
void group_input_finish(group_t *g, group_input_t *it, status_t st);
/** Waits with the lock held, at most so many ms. */
void group_cond_wait(group_t *g, pthread_cond_t *cond, int64_t ms);
void group_input_unref(group_t *g, group_input_t *it);

/* gr_core.c */
void group_raft_callbacks(group_t *g, raft_callbacks_t *cb);
const char *group_addr_of(group_t *g, uint64_t id);
void group_remember_sender(group_t *g, const raft_msg_t *m);

/* gr_disk.c */
void *group_disk_thread_main(void *arg);
void group_disk_wake(group_t *g);
/** Tells the group's thread, and the log, that the disk has failed; status_message says how. */
void group_disk_set_failed(group_t *g);
void group_snapshot_begin(group_t *g);
void group_snapshot_end(group_t *g);
void group_snapshot_join(group_t *g);

#endif
