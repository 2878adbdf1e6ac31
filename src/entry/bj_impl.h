/** Inside of batch; for the bj_ files only. */
#ifndef AUBURN_BJ_IMPL_H
#define AUBURN_BJ_IMPL_H

#include "entry/bj.h"
#include "entry/up.h"

#define BJ_SERVICES_MAX 1024
#define BJ_GROUPS_MAX	64

typedef struct bj_item {
	bj_t *b;
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
	up_t *pinned; /* replica that is being emptied for an item that runs alone */
	deadline_t pinned_until;
	bool repeatable;
	deadline_t deadline;
	deadline_t not_before;
	buf_t text; /* tokens so far, kept when it gives way */
	unsigned ntokens;
	int resumes; /* after a fault of the stream */
	bool cancelled;
	bool key_held; /* in rk_, for a request */
	ro_t *ro; /* while it runs */
	uint64_t stream;
	bool done;
	aw_blame_t blame;
	buf_t result;
	struct bj_item *next;
	struct bj_item *prev;
} bj_item_t;

typedef struct {
	char *name;
	unsigned room; /* batch streams that could start now, as the feeder saw it */
	unsigned slots;
	bool plain;
	unsigned waiting;
	deadline_t next_lease[BJ_GROUPS_MAX + 1];
	int64_t pause_ms[BJ_GROUPS_MAX + 1];
	uint64_t lease_seq[BJ_GROUPS_MAX + 1]; /* last one answered in this session */
} bj_service_t;

struct bj {
	en_t *en;
	pthread_mutex_t lock; /* guards all below */
	pthread_cond_t fed; /* an item or a slot came */
	pthread_cond_t ended; /* a result came */
	bj_service_t services[BJ_SERVICES_MAX];
	size_t nservices;
	bj_item_t *waiting; /* by deadline */
	bj_item_t *running;
	bj_item_t *results[BJ_GROUPS_MAX + 1];
	unsigned nresults[BJ_GROUPS_MAX + 1];
	size_t held;
	uint64_t session;
	bool draining;
};

typedef struct {
	bj_t *b;
	unsigned group;
} bj_group_t;

/* bj_item.c */
bj_item_t *bj_item_new(bj_t *b, unsigned group, const char *service, const aw_item_t *a);
void bj_item_free(bj_item_t *it);
void bj_item_run(bj_item_t *it, const up_info_t *at);
/** Puts it among the waiting ones; lock held. */
void bj_item_wait(bj_t *b, bj_item_t *it);
/** Hands it to its group's thread; lock held. */
void bj_item_end(bj_t *b, bj_item_t *it, bool done, aw_blame_t blame, str_t result);

/* bj_feed.c */
void *bj_feed_thread(void *b);
/** The service's entry, made when new; lock held. */
bj_service_t *bj_service(bj_t *b, const char *name);

/* bj_commit.c, bj_lease.c */
void *bj_group_thread(void *group);
void bj_lease(bj_group_t *g);

#endif
