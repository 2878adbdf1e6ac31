/** Inside of the ledger: records, their lists, and the steps that the ld_*.c files share. */
#ifndef AUBURN_LD_CORE_H
#define AUBURN_LD_CORE_H

#include <uthash.h>
#include "state/ld.h"
#include "state/ld_heap.h"

#define LD_NO_ITEM UINT32_MAX

#define LD_SNAPSHOT_MAGIC   0x4c44U
#define LD_SNAPSHOT_VERSION 1U

typedef struct ld_service ld_service_t;
typedef struct ld_band ld_band_t;
typedef struct ld_lane ld_lane_t;
typedef struct ld_caller ld_caller_t;
typedef struct ld_session ld_session_t;
typedef struct ld_request ld_request_t;
typedef struct ld_job ld_job_t;
typedef struct ld_hold ld_hold_t;

/** Key of requests and jobs: caller and key in one run of bytes. */
typedef struct {
	char *p;
	uint32_t n;
	uint32_t caller_n;
} ld_id_t;

struct ld_service {
	char *name;
	uint32_t name_n;
	ld_heap_t bands; /* bands that hold waiting items */
	ld_heap_t overdue; /* those of them that LEASE found to be over */
	bool overdue_next; /* whose turn it is */
	ld_heap_t orphans; /* requests that wait for another entry */
	ld_band_t *band_table;
	UT_hash_handle hh;
};

/** Jobs of one service whose deadlines fall into the same LD_BAND_MS. */
struct ld_band {
	ld_node_t node; /* key: deadline / LD_BAND_MS */
	ld_service_t *service;
	ld_lane_t *lane_table;
	ld_lane_t *ring; /* lanes with waiting items, the next in turn first */
	bool late; /* in service->overdue */
	UT_hash_handle hh;
};

/** One caller's jobs in a band. */
struct ld_lane {
	ld_caller_t *caller;
	ld_band_t *band;
	ld_job_t *ready; /* jobs with waiting items, the next in turn first */
	uint32_t taken; /* items leased in the turn at hand */
	uint32_t jobs; /* jobs that refer to this lane */
	ld_lane_t *prev;
	ld_lane_t *next;
	UT_hash_handle hh;
};

struct ld_caller {
	char *name;
	uint32_t name_n;
	ld_job_t *jobs; /* in order of opening */
	UT_hash_handle hh;
};

/** An item that a lease command gave out. */
typedef struct {
	uint64_t job; /* serial */
	uint32_t index;
	uint32_t attempt;
} ld_ref_t;

/** A session's newest lease command for one service. */
typedef struct ld_lease {
	ld_service_t *service;
	uint64_t seq;
	uint32_t n;
	ld_ref_t *refs;
	struct ld_lease *next;
} ld_lease_t;

struct ld_session {
	uint64_t id;
	ld_request_t *requests; /* not final, this entry works on them */
	ld_hold_t *holds; /* running jobs with items leased to it */
	ld_hold_t *cancelled; /* cancelled jobs with items leased to it */
	ld_lease_t *leases;
	UT_hash_handle hh;
};

struct ld_request {
	ld_id_t id;
	uint64_t serial;
	uint64_t digest;
	uint64_t token;
	uint64_t lease_seq; /* of the lease command that gave it to its session, 0 = accepted there
			     */
	int64_t deadline_ms;
	ld_service_t *service;
	ld_session_t *session; /* NULL: final, or waits for an entry */
	char *input; /* path, body, trace; NULL once final */
	uint32_t path_n;
	uint32_t body_n;
	uint32_t trace_n;
	uint32_t result_n;
	char *result;
	aw_state_t state;
	int verdict;
	int http_status;
	uint32_t attempts;
	uint8_t fails;
	uint8_t deaths;
	bool repeatable;
	ld_node_t wait; /* in service->orphans */
	ld_node_t end; /* in ended_requests */
	ld_request_t *prev;
	ld_request_t *next;
	UT_hash_handle hh;
};

typedef enum {
	LD_WAITING,
	LD_LEASED,
	LD_DONE,
	LD_FAILED,
	LD_DROPPED,
} ld_item_state_t;

typedef struct {
	char *data; /* the body; the result or reason once final */
	uint32_t len;
	uint32_t attempts; /* leases so far */
	uint32_t next; /* links of job->back, job->retry or hold->items */
	uint32_t prev;
	uint16_t hold; /* slot in job->holds while leased */
	uint8_t state; /* ld_item_state_t */
	uint8_t fails;
	uint8_t deaths;
} ld_item_t;
_Static_assert(sizeof(ld_item_t) == LD_ITEM_BYTES, "an item's record");

/** Bodies of items that came in one command; freed once all of them are final. */
typedef struct {
	uint32_t first;
	uint32_t live;
	char *data;
	size_t bytes;
} ld_block_t;

/** Results of a job, appended to blocks of growing size. */
typedef struct ld_arena {
	struct ld_arena *next;
	uint32_t used;
	uint32_t cap;
	char data[];
} ld_arena_t;

typedef struct {
	uint32_t head;
	uint32_t tail;
} ld_queue_t;

/** Items of one job that are leased to one session. */
struct ld_hold {
	ld_session_t *session;
	ld_job_t *job;
	ld_queue_t items;
	uint32_t n;
	uint16_t slot;
	ld_hold_t *prev;
	ld_hold_t *next;
};

struct ld_job {
	ld_id_t id;
	uint64_t serial;
	uint64_t digest;
	uint64_t running_digest; /* over the items received */
	int64_t deadline_ms;
	ld_service_t *service;
	ld_caller_t *caller;
	ld_lane_t *lane; /* set while sealed and not cancelled */
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
	ld_queue_t back; /* given back: leased before the new ones */
	ld_queue_t retry; /* failed or suspected: leased after the new ones */
	ld_item_t *items;
	ld_block_t *blocks;
	uint32_t nblocks;
	uint32_t blocks_cap;
	ld_arena_t *arena;
	ld_hold_t **holds;
	uint16_t nholds;
	ld_node_t end; /* in ended_jobs; unsealed ones in unsealed_jobs */
	ld_job_t *prev; /* in lane->ready */
	ld_job_t *next;
	ld_job_t *caller_prev;
	ld_job_t *caller_next;
	UT_hash_handle hh;
	UT_hash_handle hh_serial;
};

struct ld {
	ld_request_t *requests;
	ld_job_t *jobs;
	ld_job_t *jobs_by_serial;
	ld_service_t *services;
	ld_caller_t *callers;
	ld_session_t *sessions;
	uint64_t *lost; /* ids of lost sessions, ascending */
	size_t nlost;
	size_t lost_cap;
	uint64_t serial;
	ld_heap_t ended_requests;
	ld_heap_t ended_jobs;
	ld_heap_t unsealed_jobs;
	uint64_t items;
	uint64_t leased;
	uint64_t late_dropped;
	uint64_t bytes;
	buf_t scratch;
};

/* ld.c: shared records */

/** Sets the status and, unless it is ST_OK, the thread's last message. */
void ld_answer(aw_ledger_res_t *res, status_t st);
/** Fills key with the bytes that caller and key are found under. */
void ld_key(buf_t *key, str_t caller, str_t name);
ld_id_t ld_id_new(str_t caller, str_t name);
str_t ld_id_caller(const ld_id_t *id);
str_t ld_id_name(const ld_id_t *id);
ld_service_t *ld_service(ld_t *l, str_t name);
ld_session_t *ld_session(ld_t *l, uint64_t id);
ld_session_t *ld_session_find(const ld_t *l, uint64_t id);
bool ld_is_lost(const ld_t *l, uint64_t session);
void ld_mark_lost(ld_t *l, uint64_t session);
/** Frees a session that holds nothing. */
void ld_session_free(ld_t *l, ld_session_t *s);
/** Copies bytes that mem_new allocates; NULL when empty. */
char *ld_copy(str_t s);

/* ld_request.c */

ld_request_t *ld_request_find(const ld_t *l, str_t caller, str_t key);
void ld_request_fill(const ld_request_t *r, aw_record_t *rec);
void ld_request_add(ld_t *l, ld_request_t *r);
void ld_request_free(ld_t *l, ld_request_t *r);
void ld_request_hold(ld_request_t *r, ld_session_t *s);
void ld_request_wait(ld_request_t *r);
size_t ld_request_bytes(const ld_request_t *r);
void ld_accept(ld_t *l, const aw_accept_t *c, aw_ledger_res_t *res);
void ld_attempt(ld_t *l, const aw_attempt_t *c, aw_ledger_res_t *res);
void ld_finish(ld_t *l, const aw_finish_t *c, aw_ledger_res_t *res);
/** Result of a request that LEASE handed out; true when it was taken. */
bool ld_request_result(ld_t *l, uint64_t session, int64_t now_ms, const aw_item_result_t *r);
/** Ends or orphans all requests that a lost session worked on. */
void ld_requests_lost(ld_t *l, ld_session_t *s, int64_t now_ms);

/* ld_job.c */

ld_job_t *ld_job_find(const ld_t *l, str_t caller, str_t name);
void ld_job_fill(const ld_job_t *j, aw_job_t *out);
void ld_job_add(ld_t *l, ld_job_t *j);
void ld_job_free(ld_t *l, ld_job_t *j);
/** Puts the job under its caller, deadline band and service, so that it can be leased from. */
void ld_job_enlist(ld_job_t *j);
/** Queues the job for LEASE when it has waiting items. */
void ld_job_ready(ld_job_t *j);
void ld_job_unready(ld_job_t *j);
/** Moves a band to the overdue ones. */
void ld_band_late(ld_band_t *b);
/** Asserts that the counts add up; books the end of a job whose items are all final. */
void ld_job_settle(ld_t *l, ld_job_t *j, int64_t now_ms);
/** Appends bodies of items from job->received on. */
void ld_job_take_bodies(ld_t *l, ld_job_t *j, const aw_bytes_t *bodies, uint32_t n);
/** Makes an item final; data is copied. */
void ld_item_end(ld_t *l, ld_job_t *j, uint32_t index, ld_item_state_t state, str_t data);
ld_item_state_t ld_item_state(const ld_job_t *j, uint32_t index);
void ld_job_open(ld_t *l, const aw_job_open_t *c, aw_ledger_res_t *res);
void ld_job_items(ld_t *l, const aw_job_items_t *c, aw_ledger_res_t *res);
void ld_job_seal(ld_t *l, const aw_job_ref_t *c, aw_ledger_res_t *res);
void ld_job_cancel(ld_t *l, const aw_job_ref_t *c, aw_ledger_res_t *res);
void ld_expire(ld_t *l, const aw_expire_t *c, aw_ledger_res_t *res);

/* ld_hold.c */

/** The session's hold on the job, made if need be. */
ld_hold_t *ld_hold_get(ld_job_t *j, ld_session_t *s);
void ld_hold_add(ld_hold_t *h, uint32_t index);
/** Takes an item off its hold, which is freed when it was the last. */
void ld_hold_drop(ld_t *l, ld_job_t *j, uint32_t index);
void ld_queue_push(ld_job_t *j, ld_queue_t *q, uint32_t index);
/** The first item, or LD_NO_ITEM. */
uint32_t ld_queue_pop(ld_job_t *j, ld_queue_t *q);

/* ld_lease.c */

void ld_lease(ld_t *l, const aw_lease_t *c, aw_ledger_res_t *res);
/** ST_OK for a session that may work; ST_CANCELLED when it is lost. */
status_t ld_check_session(const ld_t *l, uint64_t session);
/** Lists cancelled jobs that the session still holds items of. */
void ld_fill_cancelled(const ld_session_t *s, aw_ledger_res_t *res);

/* ld_done.c */

void ld_done(ld_t *l, const aw_done_t *c, aw_ledger_res_t *res);
void ld_sessions_lost(ld_t *l, const aw_sessions_lost_t *c, aw_ledger_res_t *res);

#endif
