/**
 * State machine of a ledger group: requests under idempotency keys, jobs and their items.
 * Pure: no clock, no I/O. Counts of a job always add up (asserted after each command).
 */
#ifndef AUBURN_LD_H
#define AUBURN_LD_H

#include "proto/px.h"

typedef struct ld ld_t;

/** Attempts that an item's own failure may use up, and replica deaths before it is tried alone. */
#define LD_ITEM_ATTEMPTS   3
#define LD_DEATHS_ALONE	   2
#define LD_DEATHS_MAX	   5
#define LD_JOB_ITEMS_MAX   540000
#define LD_LEASE_CHUNK_MAX 256
/** A chunk ends once its bodies hold this much. */
#define LD_LEASE_BYTES_MAX   1048576
#define LD_RESULTS_PAGE_MAX  1000
#define LD_RESULTS_BYTES_MAX 1048576
#define LD_JOBS_PAGE_MAX     100
/** Things that one EXPIRE removes at most. */
#define LD_EXPIRE_MAX 10000
/** Jobs are removed that long after JOB_OPEN when they were never sealed. */
#define LD_UNSEALED_MAX_MS 3600000
/** Jobs whose deadlines fall into the same span of this length take turns. */
#define LD_BAND_MS 60000

/** One step of a job's digest: starts at 0 and takes in each item's body in order. */
uint64_t ld_digest_step(uint64_t so_far, str_t body);

ld_t *ld_new(void);
void ld_free(ld_t *l);
void ld_apply(ld_t *l, const aw_ledger_cmd_t *cmd, aw_ledger_res_t *res);
/** Answers AW_QUERY_REQUEST, _JOB, _JOBS and _RESULTS. */
void ld_query(const ld_t *l, const aw_query_t *q, aw_query_res_t *res);
void ld_snapshot(const ld_t *l, buf_t *out);
status_t ld_restore(ld_t *l, str_t snap);

typedef struct {
	uint64_t requests;
	uint64_t jobs;
	uint64_t items;
	uint64_t leased;
	uint64_t late_dropped;
	uint64_t bytes;
} ld_stats_t;
void ld_stats(const ld_t *l, ld_stats_t *out);

#endif
