/** Inner structure of a group's runtime, shared by its files. */
#ifndef AUBURN_GR_INT_H
#define AUBURN_GR_INT_H

#include <pthread.h>
#include "raft/gr.h"
#include "raft/rf.h"
#include "raft/rs.h"

#define GR_KNOWN_MAX 16 /* senders whose address is remembered */

typedef enum {
	GR_MESSAGE,
	GR_PROPOSE,
	GR_BARRIER,
	GR_ADD_LEARNER,
	GR_PROMOTE,
	GR_REMOVE,
	GR_STEP_DOWN,
	GR_WITH_STATE
} gr_kind_t;

/** One input to the group's thread. A caller that waits shares it; the last one frees it. */
typedef struct gr_item {
	struct gr_item *next;
	gr_kind_t kind;
	unsigned refs;
	pthread_cond_t cond;
	bool done;
	status_t st;
	char message[256]; /* what st_fail said on the group's thread */
	buf_t data; /* command or message; then the result */
	gr_peer_t peer;
	void (*fn)(void *ctx, void *arg);
	void *arg;
	uint64_t index; /* entry that the item waits for */
	uint64_t term;
} gr_item_t;

typedef struct {
	gr_item_t *first;
	gr_item_t *last;
} gr_list_t;

typedef struct {
	uint64_t id;
	char addr[64];
	deadline_t heard;
} gr_known_t;

struct gr {
	gr_options_t o;
	char *addr;
	rs_t *rs;

	pthread_mutex_t lock; /* guards the inbox and the fields up to the core */
	pthread_cond_t wake; /* the group's thread */
	pthread_cond_t disk_wake;
	pthread_cond_t idle; /* no caller waits any more */
	unsigned callers;
	gr_list_t inbox;
	bool stop;
	bool disk_stop;
	bool disk_failed;
	uint64_t synced_seq;
	bool snap_saved; /* the thread that writes a snapshot has ended */
	gr_status_t status;

	/* The group's thread only. */
	rf_t *rf;
	gr_list_t pending; /* proposals by index */
	gr_list_t orphans; /* proposals of a leadership that has ended */
	gr_list_t stepping; /* wait for the end of leading */
	gr_known_t known[GR_KNOWN_MAX];
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

void gr_list_add(gr_list_t *l, gr_item_t *it);
gr_item_t *gr_list_take(gr_list_t *l);

/* gr_loop.c */
void *gr_loop(void *arg);

/* gr_calls.c */
void gr_item_finish(gr_t *g, gr_item_t *it, status_t st);
/** Waits with the lock held, at most so many ms. */
void gr_wait(gr_t *g, pthread_cond_t *cond, int64_t ms);
void gr_item_unref(gr_t *g, gr_item_t *it);

/* gr_core.c */
void gr_core_callbacks(gr_t *g, rf_callbacks_t *cb);
const char *gr_addr_of(gr_t *g, uint64_t id);
void gr_note_sender(gr_t *g, const rf_msg_t *m);

/* gr_disk.c */
void *gr_disk_loop(void *arg);
void gr_disk_poke(gr_t *g);
/** Tells the group's thread, and the log, that the disk has failed; st_message says how. */
void gr_disk_mark_failed(gr_t *g);
void gr_snap_begin(gr_t *g);
void gr_snap_end(gr_t *g);
void gr_snap_join(gr_t *g);

#endif
