/** Internals of batch, shared by the batch*.c files. */
#ifndef AUBURN_BATCH_INTERNAL_H
#define AUBURN_BATCH_INTERNAL_H

#include "entry/batch.h"
#include "entry/upstream.h"

#define BATCH_SERVICES_MAX 1024
#define BATCH_GROUPS_MAX   64

typedef struct batch_item {
	batch_runner_t *b;
	unsigned group;
	uint64_t session; /* session under which the item was leased */
	char *caller;
	char *job; /* empty for a request whose entry was lost */
	char *key;
	char *service;
	char *path;
	char *body;
	size_t body_n;
	char *prompt;
	size_t prompt_n;
	char *trace;
	unsigned max_tokens;
	unsigned index; /* in the job */
	unsigned attempt; /* how often the ledger has leased out the item, this lease included */
	bool alone; /* suspected of crashing replicas: must be the only stream there */
	upstream_t *reserved; /* replica being emptied for this item, if `alone` */
	deadline_t reserved_until;
	bool repeatable; /* of a plain call: may run more than once */
	deadline_t deadline;
	deadline_t not_before; /* the item is offered to no replica before this time */
	buf_t text; /* tokens received; the next attempt resumes after them */
	unsigned ntokens;
	int resumes; /* stalled or crossed attempts since the item was leased */
	bool cancelled;
	bool key_held; /* the key is in the inflight table; requests only */
	local_replica_t *replica; /* a reference, while the item runs */
	uint64_t stream_id;
	bool done;
	wire_blame_t blame;
	buf_t result;
	struct batch_item *next;
	struct batch_item *prev;
} batch_item_t;

typedef struct {
	char *name;
	unsigned headroom; /* free batch slots of all local replicas, by the last feed pass */
	unsigned slots; /* slots of all local replicas, by the last feed pass */
	bool plain; /* not a model engine: its calls need no slot */
	unsigned waiting; /* items in the waiting list */
	/* by ledger group */
	deadline_t next_lease[BATCH_GROUPS_MAX + 1];
	int64_t backoff_ms[BATCH_GROUPS_MAX + 1];
	uint64_t lease_seq[BATCH_GROUPS_MAX +
			   1]; /* number of the last lease answered in this session */
} batch_service_t;

struct batch_runner {
	entry_ctx_t *en;
	pthread_mutex_t lock; /* guards all below */
	pthread_cond_t work_ready; /* an item was queued or a stream ended */
	pthread_cond_t results_ready; /* an item finished */
	batch_service_t services[BATCH_SERVICES_MAX];
	size_t nservices;
	batch_item_t *waiting; /* earliest deadline first */
	batch_item_t *running;
	batch_item_t *results[BATCH_GROUPS_MAX + 1]; /* finished items to commit, by group */
	unsigned nresults[BATCH_GROUPS_MAX + 1];
	size_t held;
	uint64_t session; /* session of the current leases */
	bool draining;
};

/** A ledger group, whose thread commits results and leases items. */
typedef struct {
	batch_runner_t *b;
	unsigned group;
} batch_group_t;

/* batch_item.c */
batch_item_t *batch_item_new(batch_runner_t *b, unsigned group, const char *service,
			     const wire_item_t *a);
void batch_item_free(batch_item_t *it);
/** Offers the item to a replica; if refused, adds the item to the waiting list again. */
void batch_item_run(batch_item_t *it, const upstream_info_t *target);
/** Adds the item to the waiting list. The caller holds the lock. */
void batch_item_enqueue(batch_runner_t *b, batch_item_t *it);
/** Passes the item to its group's thread, which commits the result; `done` is false if the item did
 * not complete. The caller holds the lock. */
void batch_item_finish(batch_runner_t *b, batch_item_t *it, bool done, wire_blame_t blame,
		       str_t result);

/* batch_feed.c */
/** Thread that offers waiting items to replicas, in passes over all local replicas. */
void *batch_feed_thread(void *b);
/** Returns the state of a service, created on first use. The caller holds the lock. */
batch_service_t *batch_service_get(batch_runner_t *b, const char *name);

/* batch_commit.c, batch_lease.c */
void *batch_group_thread(void *group);
void batch_lease_items(batch_group_t *g);

#endif
