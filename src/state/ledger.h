/**
 * State machine of a ledger group: requests, which are single calls under an idempotency key, and
 * jobs, which are batches of items that run in the background. The entries that run them are
 * identified by their sessions (see fleet.h). Pure: no clock, no I/O. The item counts of a job
 * always add up to the number of its items.
 *
 * Requests. ACCEPT creates a record, or returns the existing one if key and digest are the same
 * (fresh = false); another digest is STATUS_CONFLICT. ATTEMPT is for calls that must not run twice:
 * the first token from the session that holds the request gets STATUS_OK, as does a resend of this
 * token; any other, and any after the request has ended, gets STATUS_CONFLICT. For a repeatable
 * request ATTEMPT is STATUS_INVALID. The first FINISH is stored (record.fresh). A resend of the
 * same outcome gets STATUS_OK; another outcome gets STATUS_CONFLICT with the stored record, which
 * is the answer that the caller must get, and counts in late_dropped. A session that does not hold
 * the request can finish it only with WIRE_DONE, and only if the request is repeatable: another
 * entry may be running the request, so this session cannot say that it failed or did not run.
 * Session 0 stands for a sender without a session, which may finish any request.
 *
 * Lost sessions. SESSIONS_LOST ends attempted requests for good as WIRE_FAILED with verdict
 * may_have_run; the other requests wait until LEASE gives them to another entry. Leased items go
 * back to waiting, and this does not count as a failure. From then on a lost session gets
 * STATUS_CANCELLED for ATTEMPT, LEASE and DONE, and for an ACCEPT that would create a record.
 *
 * Jobs. JOB_OPEN, JOB_ITEMS in order (a gap is STATUS_INVALID; items received before are skipped)
 * and JOB_SEAL may each be resent. The job is accepted once it is sealed, which requires all items
 * and the digest computed by ledger_digest_step; a wrong digest removes the job. JOB_OPEN again
 * with the same digest, count and service returns the same job; with others it is STATUS_CONFLICT.
 * Deadlines are not compared. A job past its deadline still runs: the deadline orders the work and
 * drops nothing.
 *
 * LEASE hands out work of one service: first, by deadline, requests whose entry was lost or whose
 * leased run failed, then items. Jobs whose deadlines fall into the same LEDGER_BAND_MS form a
 * band; the earliest band goes first. Within a band callers take turns; a turn gives as many items
 * as the caller's share (JOB_OPEN), taken from the caller's jobs in turn. Overdue bands alternate,
 * item by item, with the earliest band that can still be in time, so that late work does not make
 * all other work late. Within a job, returned items go first, then new ones, then those that failed
 * or are suspected of killing replicas (alone = true from LEDGER_DEATHS_ALONE_MIN deaths on). For
 * each service, a session's seq must grow with each new LEASE. The same seq again is a resend: it
 * gets those requests and items of the first answer that the session still holds. An entry resends
 * until it is answered; otherwise it would hold items that it never received. A lower seq is
 * STATUS_CONFLICT. A resend drops items of jobs cancelled since the first answer.
 *
 * DONE takes a result only from the session that holds the item under this attempt; other results
 * are dropped and counted. WIRE_BLAME_ITEM ends an item as failed at LEDGER_ITEM_FAILS_MAX
 * failures, WIRE_BLAME_REPLICA at LEDGER_DEATHS_MAX deaths, WIRE_BLAME_NONE never. A result with an
 * empty job belongs to a request that LEASE handed out. If done, it is stored with HTTP status 200,
 * so use FINISH for any other status. If not done, an attempted request ends as WIRE_FAILED with
 * verdict may_have_run; for other requests blame and limits are those of items.
 *
 * JOB_CANCEL drops waiting items at once. Leased items are dropped when their result arrives, their
 * session is lost or their LEASE is resent; until then LEASE and DONE list the job as cancelled.
 *
 * EXPIRE removes final requests and ended jobs after the retention time, and unsealed jobs after
 * LEDGER_UNSEALED_MAX_MS. It removes at most LEDGER_EXPIRE_MAX records, so send it again if count
 * reaches that.
 */
#ifndef AUBURN_LEDGER_H
#define AUBURN_LEDGER_H

#include "proto/wire.h"

typedef struct ledger ledger_t;

/** Failures of its own (WIRE_BLAME_ITEM) after which an item or request ends as failed; replica
 * deaths after which it runs alone on a replica, and after which it ends as failed. */
#define LEDGER_ITEM_FAILS_MAX	3
#define LEDGER_DEATHS_ALONE_MIN 2
#define LEDGER_DEATHS_MAX	5
#define LEDGER_JOB_ITEMS_MAX	540000
#define LEDGER_LEASE_ITEMS_MAX	256
/** Memory of an item without its body and result. */
#define LEDGER_ITEM_BYTES 32
/** A LEASE answer ends once its bodies reach this size. */
#define LEDGER_LEASE_BYTES_MAX	 1048576
#define LEDGER_RESULTS_PAGE_MAX	 1000
#define LEDGER_RESULTS_BYTES_MAX 1048576
#define LEDGER_JOBS_PAGE_MAX	 100
/** Maximum number of records that one EXPIRE removes. */
#define LEDGER_EXPIRE_MAX 10000
/** Time after JOB_OPEN at which a job that is not sealed is removed. */
#define LEDGER_UNSEALED_MAX_MS 3600000
/** Width of a deadline band: jobs whose deadlines fall into the same band take turns. */
#define LEDGER_BAND_MS 60000

/** Adds one item's body to a job's digest, which starts at 0. */
uint64_t ledger_digest_step(uint64_t so_far, str_t body);

ledger_t *ledger_new(void);
void ledger_free(ledger_t *l);
/** Applies one command and fills res, which owns its bytes. */
void ledger_apply_cmd(ledger_t *l, const wire_ledger_cmd_t *cmd, wire_ledger_res_t *res);
/** Answers WIRE_QUERY_REQUEST, _JOB, _JOBS and _RESULTS; res owns its bytes. A job that is not
 * sealed is returned with sealed = false. RESULTS returns at most LEDGER_RESULTS_PAGE_MAX items,
 * fewer once they reach LEDGER_RESULTS_BYTES_MAX: continue from the last index + 1. */
void ledger_query(const ledger_t *l, const wire_query_t *q, wire_query_res_t *res);
void ledger_snapshot(const ledger_t *l, buf_t *out);
/** Replaces the state; after STATUS_CORRUPT the old state is unchanged. */
status_t ledger_restore(ledger_t *l, str_t snap);

typedef struct {
	uint64_t requests;
	uint64_t jobs;
	uint64_t items;
	uint64_t leased;
	uint64_t late_dropped; /* results of ended or cancelled work, or from a wrong session */
	uint64_t bytes; /* of records, bodies and results, without the hash tables */
} ledger_stats_t;
void ledger_get_stats(const ledger_t *l, ledger_stats_t *out);

#endif
