/**
 * State machine of a ledger group: requests under idempotency keys, jobs and their items.
 * Pure: no clock, no I/O. Counts of a job always add up (asserted after each command).
 *
 * Requests. ACCEPT makes a record, or answers with the one that stands under the same key and
 * digest (fresh = false); another digest is STATUS_CONFLICT. ATTEMPT is for calls that may not be
 * repeated: the first token of the session that holds the request gets STATUS_OK, as does the same
 * token again, all else STATUS_CONFLICT. FINISH: the first one wins (record.fresh); the same again
 * gets STATUS_OK, a different one STATUS_CONFLICT with the record that stands, which is what the
 * caller must be told, and is counted in late_dropped. A session that doesn't hold the request can
 * finish it only with WIRE_DONE, when it may be repeated: another entry may be running it, so it
 * can't say that it failed or was not run.
 *
 * Lost sessions. SESSIONS_LOST ends attempted requests as WIRE_FAILED with verdict may_have_run,
 * for ever; the others wait for LEASE by another entry. Leased items wait again, at no charge. A
 * lost session gets STATUS_CANCELLED for ACCEPT, ATTEMPT, LEASE and DONE from then on.
 *
 * Jobs. JOB_OPEN, JOB_ITEMS in order (a gap is STATUS_INVALID; what was received before is passed
 * over) and JOB_SEAL may each be resent. The job is accepted once sealed, which needs all items and
 * the digest made by ledger_digest_step; a wrong digest removes the job. JOB_OPEN again with the
 * same digest, count and service: the same job; else STATUS_CONFLICT. The deadline isn't compared.
 * A job past its deadline still runs: jobs are due, not dropped.
 *
 * LEASE hands out, for one service, first requests that lost their entry, by deadline, then items.
 * Jobs whose deadlines fall into the same LEDGER_BAND_MS form a band; the earliest band goes first;
 * within it callers take turns, each of as many items as the caller's share (JOB_OPEN), and a
 * caller's jobs take turns within its turns. Bands that are over take turns, item by item, with the
 * earliest that isn't, so that late work doesn't make all other work late. Within a job, items
 * given back go first, then new ones, then those that failed or are suspected of killing replicas
 * (alone = true from LEDGER_DEATHS_ALONE_MIN deaths on). For each service, a session's seq must
 * grow with each new LEASE; the same seq again gets the items that it still holds of that answer
 * (an entry resends until it is answered, or it will hold items it doesn't know of), a lower one
 * STATUS_CONFLICT. A resend drops items of jobs cancelled since then.
 *
 * DONE takes a result only from the session that holds the item under that attempt; others are
 * dropped and counted. WIRE_BLAME_ITEM ends an item as failed at LEDGER_ITEM_FAILS_MAX,
 * WIRE_BLAME_REPLICA at LEDGER_DEATHS_MAX, WIRE_BLAME_NONE never does. Results with an empty job
 * are those of requests that LEASE handed out; when done they are stored with HTTP status 200, so
 * use FINISH for any other.
 *
 * JOB_CANCEL drops waiting items at once; leased ones are dropped when their result comes, their
 * session is lost, or their LEASE is resent. Until then LEASE and DONE list the job as cancelled.
 *
 * EXPIRE removes final requests and ended jobs after the retention time, and unsealed jobs after
 * LEDGER_UNSEALED_MAX_MS; at most LEDGER_EXPIRE_MAX of them, so send it again when count is that.
 */
#ifndef AUBURN_LEDGER_H
#define AUBURN_LEDGER_H

#include "proto/wire.h"

typedef struct ld ledger_t;

/** Attempts that an item's own failure may use up, and replica deaths before it is tried alone. */
#define LEDGER_ITEM_FAILS_MAX	3
#define LEDGER_DEATHS_ALONE_MIN 2
#define LEDGER_DEATHS_MAX	5
#define LEDGER_JOB_ITEMS_MAX	540000
#define LEDGER_LEASE_ITEMS_MAX	256
/** Memory of an item beside its body or result. */
#define LEDGER_ITEM_BYTES 32
/** A chunk ends once its bodies hold this much. */
#define LEDGER_LEASE_BYTES_MAX	 1048576
#define LEDGER_RESULTS_PAGE_MAX	 1000
#define LEDGER_RESULTS_BYTES_MAX 1048576
#define LEDGER_JOBS_PAGE_MAX	 100
/** Things that one EXPIRE removes at most. */
#define LEDGER_EXPIRE_MAX 10000
/** Jobs are removed that long after JOB_OPEN when they were never sealed. */
#define LEDGER_UNSEALED_MAX_MS 3600000
/** Jobs whose deadlines fall into the same span of this length take turns. */
#define LEDGER_BAND_MS 60000

/** One step of a job's digest: starts at 0 and takes in each item's body in order. */
uint64_t ledger_digest_step(uint64_t so_far, str_t body);

ledger_t *ledger_new(void);
void ledger_free(ledger_t *l);
/** Applies one command and fills res, which owns its bytes. */
void ledger_apply_cmd(ledger_t *l, const wire_ledger_cmd_t *cmd, wire_ledger_res_t *res);
/** Answers WIRE_QUERY_REQUEST, _JOB, _JOBS and _RESULTS; res owns its bytes. A job that isn't
 * sealed is found, with sealed = false. RESULTS answers at most LEDGER_RESULTS_PAGE_MAX items, and
 * fewer when they hold LEDGER_RESULTS_BYTES_MAX: read on from the last index + 1. */
void ledger_query(const ledger_t *l, const wire_query_t *q, wire_query_res_t *res);
void ledger_snapshot(const ledger_t *l, buf_t *out);
/** Replaces the state; STATUS_CORRUPT leaves it as it was. */
status_t ledger_restore(ledger_t *l, str_t snap);

typedef struct {
	uint64_t requests;
	uint64_t jobs;
	uint64_t items;
	uint64_t leased;
	uint64_t late_dropped;
	uint64_t bytes; /* records, bodies and results; without tables of keys */
} ledger_stats_t;
void ledger_get_stats(const ledger_t *l, ledger_stats_t *out);

#endif
