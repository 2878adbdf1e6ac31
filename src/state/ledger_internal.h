/**
 * Internal structure of the ledger: records, their lists, and functions that the ledger's files
 * share.
 */
#ifndef AUBURN_LEDGER_INTERNAL_H
#define AUBURN_LEDGER_INTERNAL_H

#include <uthash.h>
#include "state/ledger.h"
#include "state/ledger_heap.h"

#define LEDGER_NO_ITEM UINT32_MAX

#define LEDGER_SNAPSHOT_MAGIC	0x4c44U
#define LEDGER_SNAPSHOT_VERSION 1U

typedef struct ledger_service ledger_service_t;
typedef struct ledger_band ledger_band_t;
typedef struct ledger_lane ledger_lane_t;
typedef struct ledger_caller ledger_caller_t;
typedef struct ledger_session ledger_session_t;
typedef struct ledger_request ledger_request_t;
typedef struct ledger_job ledger_job_t;
typedef struct ledger_job_lease ledger_job_lease_t;

/** Hash key of requests and jobs: caller and name encoded together. */
typedef struct {
	char *p;
	uint32_t n;
	uint32_t caller_n;
} ledger_id_t;

struct ledger_service {
	char *name;
	uint32_t name_n;
	ledger_heap_t bands; /* bands with waiting items, except those in overdue */
	ledger_heap_t overdue; /* bands with waiting items that a LEASE found overdue */
	bool overdue_next; /* an overdue band goes next when both heaps have bands */
	ledger_heap_t waiting_requests; /* requests that wait for a LEASE, by deadline */
	ledger_band_t *band_table;
	UT_hash_handle hh;
};

/** Jobs of one service whose deadlines fall into the same LEDGER_BAND_MS. */
struct ledger_band {
	ledger_heap_node_t node; /* key: deadline / LEDGER_BAND_MS */
	ledger_service_t *service;
	ledger_lane_t *lane_table;
	ledger_lane_t *ready_lanes; /* lanes with waiting items, in order of turns */
	bool overdue; /* in service->overdue */
	UT_hash_handle hh;
};

/** One caller's jobs in a band. */
struct ledger_lane {
	ledger_caller_t *caller;
	ledger_band_t *band;
	ledger_job_t *ready_jobs; /* jobs with waiting items, in order of turns */
	uint32_t turn_taken; /* items leased in the current turn */
	uint32_t jobs; /* number of jobs in this lane, with or without waiting items */
	ledger_lane_t *prev;
	ledger_lane_t *next;
	UT_hash_handle hh;
};

struct ledger_caller {
	char *name;
	uint32_t name_n;
	ledger_job_t *jobs; /* in the order in which they were opened */
	UT_hash_handle hh;
};

/** An item handed out by a LEASE. */
typedef struct {
	uint64_t job; /* serial number of the job */
	uint32_t index;
	uint32_t attempt;
} ledger_item_ref_t;

/** A session's newest LEASE for one service, recorded to answer resends. */
typedef struct ledger_lease_record {
	ledger_service_t *service;
	uint64_t seq;
	uint32_t n;
	ledger_item_ref_t *refs;
	struct ledger_lease_record *next;
} ledger_lease_record_t;

struct ledger_session {
	uint64_t id;
	ledger_request_t *requests; /* assigned to this session and not final */
	ledger_job_lease_t *job_leases; /* of jobs that are not cancelled */
	ledger_job_lease_t *cancelled_leases; /* of cancelled jobs */
	ledger_lease_record_t *lease_records;
	UT_hash_handle hh;
};

struct ledger_request {
	ledger_id_t id;
	uint64_t serial;
	uint64_t digest;
	uint64_t token; /* of the ATTEMPT */
	uint64_t lease_seq; /* seq of the LEASE that assigned it; 0: assigned by ACCEPT */
	int64_t deadline_ms;
	ledger_service_t *service;
	ledger_session_t *session; /* NULL: final, or waiting for a LEASE */
	char *input; /* path, body and trace in one block; NULL once final */
	uint32_t path_n;
	uint32_t body_n;
	uint32_t trace_n;
	uint32_t result_n;
	char *result;
	wire_state_t state;
	int verdict;
	int http_status;
	uint32_t attempts; /* times leased so far */
	uint8_t fails; /* failures of its own */
	uint8_t deaths; /* replicas that died with it */
	bool repeatable;
	ledger_heap_node_t wait_node; /* in service->waiting_requests */
	ledger_heap_node_t expiry_node; /* in ledger->ended_requests; key: time of the end */
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
	char *data; /* the body; once final, the result or the reason of the failure */
	uint32_t len;
	uint32_t attempts; /* times leased so far */
	uint32_t next; /* links in job->returned, job->retry or a job lease */
	uint32_t prev;
	uint16_t job_lease; /* position in job->job_leases while leased */
	uint8_t state; /* ledger_item_state_t */
	uint8_t fails; /* failures of its own */
	uint8_t deaths; /* replicas that died with it */
} ledger_item_t;
_Static_assert(sizeof(ledger_item_t) == LEDGER_ITEM_BYTES, "size of an item record");

/** Bodies of items that were added together; freed once all of these items are final. */
typedef struct {
	uint32_t first; /* index of the first item */
	uint32_t live; /* number of items that are not final */
	char *data;
	size_t bytes;
} ledger_body_block_t;

/** Block of a job's results. Each block is larger than the one before, up to a limit; a result
 * larger than that gets a block of its own. */
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
	uint16_t index; /* in job->job_leases */
	ledger_job_lease_t *prev;
	ledger_job_lease_t *next;
};

struct ledger_job {
	ledger_id_t id;
	uint64_t serial;
	uint64_t digest;
	uint64_t running_digest; /* digest of the items received so far */
	int64_t deadline_ms;
	ledger_service_t *service;
	ledger_caller_t *caller;
	ledger_lane_t *lane; /* set from JOB_SEAL until the job ends */
	char *trace;
	uint32_t trace_n;
	uint32_t share; /* items per turn of its caller */
	uint32_t count;
	uint32_t received;
	uint32_t waiting;
	uint32_t leased;
	uint32_t done;
	uint32_t failed;
	uint32_t dropped;
	bool sealed;
	bool cancelled;
	bool queued; /* in lane->ready_jobs */
	uint32_t cursor; /* index of the first item that was never leased */
	ledger_item_queue_t returned; /* returned without a result; leased before new items */
	ledger_item_queue_t retry; /* failed, or suspected of killing replicas; leased last */
	ledger_item_t *items;
	ledger_body_block_t *blocks;
	uint32_t nblocks;
	uint32_t blocks_cap;
	ledger_arena_t *arena;
	ledger_job_lease_t **job_leases;
	uint16_t njob_leases;
	/** In unsealed_jobs until sealed or cancelled (key: time of opening), in ended_jobs once
	 * ended (key: time of the end). */
	ledger_heap_node_t expiry_node;
	ledger_job_t *prev; /* in lane->ready_jobs */
	ledger_job_t *next;
	ledger_job_t *caller_prev;
	ledger_job_t *caller_next;
	UT_hash_handle hh;
	UT_hash_handle hh_serial;
};

struct ledger {
	ledger_request_t *requests;
	ledger_job_t *jobs;
	ledger_job_t *jobs_by_serial;
	ledger_service_t *services;
	ledger_caller_t *callers;
	ledger_session_t *sessions;
	uint64_t *lost; /* ids of lost sessions, ascending */
	size_t nlost;
	size_t lost_cap;
	uint64_t serial; /* of the newest request or job */
	ledger_heap_t ended_requests;
	ledger_heap_t ended_jobs;
	ledger_heap_t unsealed_jobs;
	uint64_t items;
	uint64_t leased;
	uint64_t late_dropped;
	uint64_t bytes;
	buf_t scratch; /* never filled */
};

/* ledger.c */

/** Sets the status and, unless it is STATUS_OK, the thread's last error message. */
void ledger_set_status(wire_ledger_res_t *res, status_t st);
/** Sets key to the encoding of caller and name. */
void ledger_id_encode(buf_t *key, str_t caller, str_t name);
ledger_id_t ledger_id_new(str_t caller, str_t name);
str_t ledger_id_caller(const ledger_id_t *id);
str_t ledger_id_name(const ledger_id_t *id);
/** Returns the service, created if needed. */
ledger_service_t *ledger_get_service(ledger_t *l, str_t name);
/** Returns the session, created if needed. */
ledger_session_t *ledger_get_session(ledger_t *l, uint64_t id);
/** Returns the session, or NULL. */
ledger_session_t *ledger_find_session(const ledger_t *l, uint64_t id);
bool ledger_session_is_lost(const ledger_t *l, uint64_t session);
/** Records a session as lost for good. */
void ledger_mark_session_lost(ledger_t *l, uint64_t session);
/** Frees a session that holds no requests and no items. */
void ledger_session_free(ledger_t *l, ledger_session_t *s);
/** Returns an allocated copy; NULL if empty. */
char *ledger_copy_bytes(str_t s);

/* ledger_request.c */

ledger_request_t *ledger_request_find(const ledger_t *l, str_t caller, str_t key);
void ledger_request_fill_record(const ledger_request_t *r, wire_record_t *rec);
void ledger_request_add(ledger_t *l, ledger_request_t *r);
void ledger_request_free(ledger_t *l, ledger_request_t *r);
/** Assigns the request to a session, whose entry runs it. */
void ledger_request_assign(ledger_request_t *r, ledger_session_t *s);
/** Queues the request until an entry leases it. */
void ledger_request_enqueue(ledger_request_t *r);
/** Returns the memory that the request counts for. */
size_t ledger_request_bytes(const ledger_request_t *r);
/** Apply the commands ACCEPT, ATTEMPT and FINISH. */
void ledger_accept(ledger_t *l, const wire_accept_t *c, wire_ledger_res_t *res);
void ledger_attempt(ledger_t *l, const wire_attempt_t *c, wire_ledger_res_t *res);
void ledger_finish(ledger_t *l, const wire_finish_t *c, wire_ledger_res_t *res);
/** Applies the result of a request that LEASE handed out. Returns false if the session does not
 * hold the request under this attempt. */
bool ledger_request_take_result(ledger_t *l, uint64_t session, int64_t now_ms,
				const wire_item_result_t *c);
/** Takes all requests from a lost session: attempted ones end as failed, the others wait for a
 * LEASE. */
void ledger_requests_lost(ledger_t *l, ledger_session_t *s, int64_t now_ms);

/* ledger_job.c */

ledger_job_t *ledger_job_find(const ledger_t *l, str_t caller, str_t name);
void ledger_job_fill_status(const ledger_job_t *j, wire_job_t *out);
/** Adds a new or restored job to the tables of the ledger. */
void ledger_job_add(ledger_t *l, ledger_job_t *j);
void ledger_job_free(ledger_t *l, ledger_job_t *j);
/** Adds the job to the lane of its service, deadline band and caller, so that it can be leased
 * from. */
void ledger_job_join_lane(ledger_job_t *j);
/** Adds the job to the ready jobs of its lane if it has waiting items. */
void ledger_job_enqueue(ledger_job_t *j);
/** Removes the job from the ready jobs of its lane. */
void ledger_job_dequeue(ledger_job_t *j);
/** Moves a band to the overdue bands of its service. */
void ledger_band_mark_overdue(ledger_band_t *b);
/** Asserts that the counts add up. If the job is sealed or cancelled and all its items are final,
 * records it as ended at now_ms. */
void ledger_job_check_end(ledger_t *l, ledger_job_t *j, int64_t now_ms);
/** Stores the bodies of the next n items, from job->received on. */
void ledger_job_add_bodies(ledger_t *l, ledger_job_t *j, const wire_bytes_t *bodies, uint32_t n);
/** Makes an item final; data is copied. */
void ledger_item_finalize(ledger_t *l, ledger_job_t *j, uint32_t index, ledger_item_state_t state,
			  str_t data);
/** State of an item; a waiting item of a cancelled job counts as dropped. */
ledger_item_state_t ledger_item_state(const ledger_job_t *j, uint32_t index);
/** Apply the commands JOB_OPEN, JOB_ITEMS, JOB_SEAL, JOB_CANCEL and EXPIRE. */
void ledger_job_open(ledger_t *l, const wire_job_open_t *c, wire_ledger_res_t *res);
void ledger_job_add_items(ledger_t *l, const wire_job_items_t *c, wire_ledger_res_t *res);
void ledger_job_seal(ledger_t *l, const wire_job_ref_t *c, wire_ledger_res_t *res);
void ledger_job_cancel(ledger_t *l, const wire_job_ref_t *c, wire_ledger_res_t *res);
void ledger_expire(ledger_t *l, const wire_expire_t *c, wire_ledger_res_t *res);

/* ledger_job_lease.c */

/** Returns the session's lease of the job, created if needed. */
ledger_job_lease_t *ledger_job_lease_get(ledger_job_t *j, ledger_session_t *s);
void ledger_job_lease_add_item(ledger_job_lease_t *jl, uint32_t index);
/** Removes an item from its job lease, which is freed if this was the last item. */
void ledger_job_lease_remove_item(ledger_t *l, ledger_job_t *j, uint32_t index);
void ledger_item_queue_push(ledger_job_t *j, ledger_item_queue_t *q, uint32_t index);
/** Removes and returns the first item; LEDGER_NO_ITEM if empty. */
uint32_t ledger_item_queue_pop(ledger_job_t *j, ledger_item_queue_t *q);

/* ledger_lease.c */

/** Applies the command LEASE. */
void ledger_lease(ledger_t *l, const wire_lease_t *c, wire_ledger_res_t *res);
/** Returns STATUS_OK, STATUS_INVALID for session 0, or STATUS_CANCELLED if the session is lost. */
status_t ledger_check_session(const ledger_t *l, uint64_t session);
/** Lists the cancelled jobs of which the session still holds items. */
void ledger_fill_cancelled_jobs(const ledger_session_t *s, wire_ledger_res_t *res);

/* ledger_done.c */

/** Apply the commands DONE and SESSIONS_LOST. */
void ledger_done(ledger_t *l, const wire_done_t *c, wire_ledger_res_t *res);
void ledger_sessions_lost(ledger_t *l, const wire_sessions_lost_t *c, wire_ledger_res_t *res);

#endif
