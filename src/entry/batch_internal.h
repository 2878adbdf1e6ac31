/** Inside of batch; for the bj_ files only. */
#ifndef AUBURN_BATCH_INTERNAL_H
#define AUBURN_BATCH_INTERNAL_H

#include "entry/batch.h"
#include "entry/upstream.h"

#define BATCH_SERVICES_MAX 1024
#define BATCH_GROUPS_MAX   64

typedef struct batch_item {
	batch_runner_t *b;
	unsigned group;
	uint64_t session; /* that leased it */
	char *caller;
	char *job; /* empty: a request */
	char *key;
	char *service;
	char *path;
	char *body;
	size_t body_n;
	char *prompt;
	size_t prompt_n;
	char *trace;
	unsigned max_tokens;
	unsigned index;
	unsigned attempt;
	bool alone;
	upstream_t *reserved; /* replica that is being emptied for an item that runs alone */
	deadline_t reserved_until;
	bool repeatable;
	deadline_t deadline;
	deadline_t not_before;
	buf_t text; /* tokens so far, kept when it gives way */
	unsigned ntokens;
	int resumes; /* after a fault of the stream */
	bool cancelled;
	bool key_held; /* in rk_, for a request */
	local_replica_t *replica; /* while it runs */
	uint64_t stream_id;
	bool done;
	wire_blame_t blame;
	buf_t result;
	struct batch_item *next;
	struct batch_item *prev;
} batch_item_t;

typedef struct {
	char *name;
	unsigned headroom; /* batch streams that could start now, as the feeder saw it */
	unsigned slots;
	bool plain;
	unsigned waiting;
	deadline_t next_lease[BATCH_GROUPS_MAX + 1];
	int64_t backoff_ms[BATCH_GROUPS_MAX + 1];
	uint64_t lease_seq[BATCH_GROUPS_MAX + 1]; /* last one answered in this session */
} batch_service_t;

struct batch_runner {
	entry_ctx_t *en;
	pthread_mutex_t lock; /* guards all below */
	pthread_cond_t work_ready; /* an item or a slot came */
	pthread_cond_t results_ready; /* a result came */
	batch_service_t services[BATCH_SERVICES_MAX];
	size_t nservices;
	batch_item_t *waiting; /* by deadline */
	batch_item_t *running;
	batch_item_t *results[BATCH_GROUPS_MAX + 1];
	unsigned nresults[BATCH_GROUPS_MAX + 1];
	size_t held;
	uint64_t session;
	bool draining;
};

typedef struct {
	batch_runner_t *b;
	unsigned group;
} batch_group_t;

/* batch_item.c */
batch_item_t *batch_item_new(batch_runner_t *b, unsigned group, const char *service,
			     const wire_item_t *a);
void batch_item_free(batch_item_t *it);
void batch_item_run(batch_item_t *it, const upstream_info_t *at);
/** Puts it among the waiting ones; lock held. */
void batch_item_enqueue(batch_runner_t *b, batch_item_t *it);
/** Hands it to its group's thread; lock held. */
void batch_item_finish(batch_runner_t *b, batch_item_t *it, bool done, wire_blame_t blame,
		       str_t result);

/* bj_feed.c */
void *batch_feed_thread(void *b);
/** The service's entry, made when new; lock held. */
batch_service_t *batch_service_get(batch_runner_t *b, const char *name);

/* bj_commit.c, batch_lease_items.c */
void *batch_group_thread(void *group);
void batch_lease_items(batch_group_t *g);

#endif
