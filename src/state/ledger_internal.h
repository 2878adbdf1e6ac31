/** Inside of the ledger: records, their lists, and the steps that the ld_*.c files share. */
#ifndef AUBURN_LEDGER_INTERNAL_H
#define AUBURN_LEDGER_INTERNAL_H

#include <uthash.h>
#include "state/ledger.h"
#include "state/ledger_heap.h"

#define LEDGER_NO_ITEM UINT32_MAX

#define LEDGER_SNAPSHOT_MAGIC	0x4c44U
#define LEDGER_SNAPSHOT_VERSION 1U

typedef struct ledger_get_service ledger_service_t;
typedef struct ledger_band ledger_band_t;
typedef struct ledger_lane ledger_lane_t;
typedef struct ledger_caller ledger_caller_t;
typedef struct ledger_get_session ledger_session_t;
typedef struct ledger_request ledger_request_t;
typedef struct ledger_job ledger_job_t;
typedef struct ledger_job_lease ledger_job_lease_t;

/** Key of requests and jobs: caller and key in one run of bytes. */
typedef struct {
	char *p;
	uint32_t n;
	uint32_t caller_n;
} ledger_id_t;

struct ledger_get_service {
	char *name;
	uint32_t name_n;
	ledger_heap_t bands; /* bands that hold waiting items */
	ledger_heap_t overdue; /* those of them that LEASE found to be over */
	bool overdue_next; /* whose turn it is */
	ledger_heap_t orphans; /* requests that wait for another entry */
	ledger_band_t *band_table;
	UT_hash_handle hh;
};

/** Jobs of one service whose deadlines fall into the same LEDGER_BAND_MS. */
struct ledger_band {
	ledger_heap_node_t node; /* key: deadline / LEDGER_BAND_MS */
	ledger_service_t *service;
	ledger_lane_t *lane_table;
	ledger_lane_t *ring; /* lanes with waiting items, the next in turn first */
	bool late; /* in service->overdue */
	UT_hash_handle hh;
};

/** One caller's jobs in a band. */
struct ledger_lane {
	ledger_caller_t *caller;
	ledger_band_t *band;
	ledger_job_t *ready; /* jobs with waiting items, the next in turn first */
	uint32_t taken; /* items leased in the turn at hand */
	uint32_t jobs; /* jobs that refer to this lane */
	ledger_lane_t *prev;
	ledger_lane_t *next;
	UT_hash_handle hh;
};

struct ledger_caller {
	char *name;
	uint32_t name_n;
	ledger_job_t *jobs; /* in order of opening */
	UT_hash_handle hh;
};

/** An item that a lease command gave out. */
typedef struct {
	uint64_t job; /* serial */
	uint32_t index;
	uint32_t attempt;
} ledger_item_ref_t;

/** A session's newest lease command for one service. */
typedef struct ledger_lease {
	ledger_service_t *service;
	uint64_t seq;
	uint32_t n;
	ledger_item_ref_t *refs;
	struct ledger_lease *next;
} ledger_lease_record_t;

struct ledger_get_session {
	uint64_t id;
	ledger_request_t *requests; /* not final, this entry works on them */
	ledger_job_lease_t *holds; /* running jobs with items leased to it */
	ledger_job_lease_t *cancelled; /* cancelled jobs with items leased to it */
	ledger_lease_record_t *leases;
	UT_hash_handle hh;
};

struct ledger_request {
	ledger_id_t id;
	uint64_t serial;
	uint64_t digest;
	uint64_t token;
	uint64_t lease_seq; /* of the lease command that gave it to its session, 0 = accepted there
			     */
	int64_t deadline_ms;
	ledger_service_t *service;
	ledger_session_t *session; /* NULL: final, or waits for an entry */
	char *input; /* path, body, trace; NULL once final */
	uint32_t path_n;
	uint32_t body_n;
	uint32_t trace_n;
	uint32_t result_n;
	char *result;
	wire_state_t state;
	int verdict;
	int http_status;
	uint32_t attempts;
	uint8_t fails;
	uint8_t deaths;
	bool repeatable;
	ledger_heap_node_t wait; /* in service->orphans */
	ledger_heap_node_t end; /* in ended_requests */
	ledger_request_t *prev;
	ledger_request_t *next;
	UT_hash_handle hh;
};

typedef enum {
	LEDGER_ITEM_WAITING,
	LEDGER_ITEM_LEASED,
	LEDGER_ITEM_DONE,
	LEDGER_ITEM_FAILED,
	LEDGER_ITEM_DROPPED,
} ledger_item_state_t;

typedef struct {
	char *data; /* the body; the result or reason once final */
	uint32_t len;
	uint32_t attempts; /* leases so far */
	uint32_t next; /* links of job->back, job->retry or hold->items */
	uint32_t prev;
	uint16_t hold; /* slot in job->holds while leased */
	uint8_t state; /* ledger_item_state_t */
	uint8_t fails;
	uint8_t deaths;
} ledger_item_t;
_Static_assert(sizeof(ledger_item_t) == LEDGER_ITEM_BYTES, "an item's record");

/** Bodies of items that came in one command; freed once all of them are final. */
typedef struct {
	uint32_t first;
	uint32_t live;
	char *data;
	size_t bytes;
} ledger_body_block_t;

/** Results of a job, appended to blocks of growing size. */
typedef struct ledger_arena {
	struct ledger_arena *next;
	uint32_t used;
	uint32_t cap;
	char data[];
} ledger_arena_t;

typedef struct {
	uint32_t head;
	uint32_t tail;
} ledger_item_queue_t;

/** Items of one job that are leased to one session. */
struct ledger_job_lease {
	ledger_session_t *session;
	ledger_job_t *job;
	ledger_item_queue_t items;
	uint32_t n;
	uint16_t slot;
	ledger_job_lease_t *prev;
	ledger_job_lease_t *next;
};

struct ledger_job {
	ledger_id_t id;
	uint64_t serial;
	uint64_t digest;
	uint64_t running_digest; /* over the items received */
	int64_t deadline_ms;
	ledger_service_t *service;
	ledger_caller_t *caller;
	ledger_lane_t *lane; /* set while sealed and not cancelled */
	char *trace;
	uint32_t trace_n;
	uint32_t share; /* items that a turn of its caller gives */
	uint32_t count;
	uint32_t received;
	uint32_t waiting;
	uint32_t leased;
	uint32_t done;
	uint32_t failed;
	uint32_t dropped;
	bool sealed;
	bool cancelled;
	bool ready; /* in lane->ready */
	uint32_t cursor; /* items from here on were never leased */
	ledger_item_queue_t back; /* given back: leased before the new ones */
	ledger_item_queue_t retry; /* failed or suspected: leased after the new ones */
	ledger_item_t *items;
	ledger_body_block_t *blocks;
	uint32_t nblocks;
	uint32_t blocks_cap;
	ledger_arena_t *arena;
	ledger_job_lease_t **holds;
	uint16_t nholds;
	ledger_heap_node_t end; /* in ended_jobs; unsealed ones in unsealed_jobs */
	ledger_job_t *prev; /* in lane->ready */
	ledger_job_t *next;
	ledger_job_t *caller_prev;
	ledger_job_t *caller_next;
	UT_hash_handle hh;
	UT_hash_handle hh_serial;
};

struct ld {
	ledger_request_t *requests;
	ledger_job_t *jobs;
	ledger_job_t *jobs_by_serial;
	ledger_service_t *services;
	ledger_caller_t *callers;
	ledger_session_t *sessions;
	uint64_t *lost; /* ids of lost sessions, ascending */
	size_t nlost;
	size_t lost_cap;
	uint64_t serial;
	ledger_heap_t ended_requests;
	ledger_heap_t ended_jobs;
	ledger_heap_t unsealed_jobs;
	uint64_t items;
	uint64_t leased;
	uint64_t late_dropped;
	uint64_t bytes;
	buf_t scratch;
};

/* ld.c: shared records */

/** Sets the status and, unless it is STATUS_OK, the thread's last message. */
void ledger_set_status(wire_ledger_res_t *res, status_t st);
/** Fills key with the bytes that caller and key are found under. */
void ledger_id_encode(buf_t *key, str_t caller, str_t name);
ledger_id_t ledger_id_new(str_t caller, str_t name);
str_t ledger_id_caller(const ledger_id_t *id);
str_t ledger_id_name(const ledger_id_t *id);
ledger_service_t *ledger_get_service(ledger_t *l, str_t name);
ledger_session_t *ledger_get_session(ledger_t *l, uint64_t id);
ledger_session_t *ledger_find_session(const ledger_t *l, uint64_t id);
bool ledger_session_is_lost(const ledger_t *l, uint64_t session);
void ledger_mark_session_lost(ledger_t *l, uint64_t session);
/** Frees a session that holds nothing. */
void ledger_session_free(ledger_t *l, ledger_session_t *s);
/** Copies bytes that mem_new allocates; NULL when empty. */
char *ledger_copy_bytes(str_t s);

/* ledger_request.c */

ledger_request_t *ledger_request_find(const ledger_t *l, str_t caller, str_t key);
void ledger_request_fill_record(const ledger_request_t *r, wire_record_t *rec);
void ledger_request_add(ledger_t *l, ledger_request_t *r);
void ledger_request_free(ledger_t *l, ledger_request_t *r);
void ledger_request_assign(ledger_request_t *r, ledger_session_t *s);
void ledger_request_enqueue(ledger_request_t *r);
size_t ledger_request_bytes(const ledger_request_t *r);
void ledger_accept(ledger_t *l, const wire_accept_t *c, wire_ledger_res_t *res);
void ledger_attempt(ledger_t *l, const wire_attempt_t *c, wire_ledger_res_t *res);
void ledger_finish(ledger_t *l, const wire_finish_t *c, wire_ledger_res_t *res);
/** Result of a request that LEASE handed out; true when it was taken. */
bool ledger_request_take_result(ledger_t *l, uint64_t session, int64_t now_ms,
				const wire_item_result_t *r);
/** Ends or orphans all requests that a lost session worked on. */
void ledger_requests_lost(ledger_t *l, ledger_session_t *s, int64_t now_ms);

/* ledger_job.c */

ledger_job_t *ledger_job_find(const ledger_t *l, str_t caller, str_t name);
void ledger_job_fill_status(const ledger_job_t *j, wire_job_t *out);
void ledger_job_add(ledger_t *l, ledger_job_t *j);
void ledger_job_free(ledger_t *l, ledger_job_t *j);
/** Puts the job under its caller, deadline band and service, so that it can be leased from. */
void ledger_job_join_lane(ledger_job_t *j);
/** Queues the job for LEASE when it has waiting items. */
void ledger_job_enqueue(ledger_job_t *j);
void ledger_job_dequeue(ledger_job_t *j);
/** Moves a band to the overdue ones. */
void ledger_band_mark_overdue(ledger_band_t *b);
/** Asserts that the counts add up; books the end of a job whose items are all final. */
void ledger_job_check_end(ledger_t *l, ledger_job_t *j, int64_t now_ms);
/** Appends bodies of items from job->received on. */
void ledger_job_add_bodies(ledger_t *l, ledger_job_t *j, const wire_bytes_t *bodies, uint32_t n);
/** Makes an item final; data is copied. */
void ledger_item_finalize(ledger_t *l, ledger_job_t *j, uint32_t index, ledger_item_state_t state,
			  str_t data);
ledger_item_state_t ledger_item_state(const ledger_job_t *j, uint32_t index);
void ledger_job_open(ledger_t *l, const wire_job_open_t *c, wire_ledger_res_t *res);
void ledger_job_add_items(ledger_t *l, const wire_job_items_t *c, wire_ledger_res_t *res);
void ledger_job_seal(ledger_t *l, const wire_job_ref_t *c, wire_ledger_res_t *res);
void ledger_job_cancel(ledger_t *l, const wire_job_ref_t *c, wire_ledger_res_t *res);
void ledger_expire(ledger_t *l, const wire_expire_t *c, wire_ledger_res_t *res);

/* ledger_job_lease.c */

/** The session's hold on the job, made if need be. */
ledger_job_lease_t *ledger_job_lease_get(ledger_job_t *j, ledger_session_t *s);
void ledger_job_lease_add_item(ledger_job_lease_t *h, uint32_t index);
/** Takes an item off its hold, which is freed when it was the last. */
void ledger_job_lease_remove_item(ledger_t *l, ledger_job_t *j, uint32_t index);
void ledger_item_queue_push(ledger_job_t *j, ledger_item_queue_t *q, uint32_t index);
/** The first item, or LEDGER_NO_ITEM. */
uint32_t ledger_item_queue_pop(ledger_job_t *j, ledger_item_queue_t *q);

/* ledger_lease.c */

void ledger_lease(ledger_t *l, const wire_lease_t *c, wire_ledger_res_t *res);
/** STATUS_OK for a session that may work; STATUS_CANCELLED when it is lost. */
status_t ledger_check_session(const ledger_t *l, uint64_t session);
/** Lists cancelled jobs that the session still holds items of. */
void ledger_fill_cancelled_jobs(const ledger_session_t *s, wire_ledger_res_t *res);

/* ledger_done.c */

void ledger_done(ledger_t *l, const wire_done_t *c, wire_ledger_res_t *res);
void ledger_sessions_lost(ledger_t *l, const wire_sessions_lost_t *c, wire_ledger_res_t *res);

#endif
