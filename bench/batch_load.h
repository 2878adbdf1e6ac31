/** Batch load: keeps some jobs open so that the fleet never lacks batch items. */
#ifndef AUBURN_BATCH_LOAD_H
#define AUBURN_BATCH_LOAD_H

#include <stdbool.h>
#include "address_pool.h"

typedef struct {
	address_pool_t *addr;
	const char *key;
	const char *service;
	int items_per_job; /* a job */
	int open_jobs; /* open at once */
	int prompt_bytes;
	int mean_tokens; /* mean */
	int deadline_ms;
	const char *run_name; /* begins each id and prompt */
	unsigned long seed;
} batch_load_options_t;

typedef struct {
	unsigned long jobs_submitted, jobs_finished, jobs_cancelled; /* jobs */
	unsigned long items_done, items_failed; /* items */
	unsigned long item_tokens; /* asked for, by all items */
	unsigned long miscounted; /* jobs whose counts didn't add up */
} batch_load_counts_t;

typedef struct batch_load batch_load_t;

/** Submits and watches from a thread of its own. */
batch_load_t *batch_load_start(const batch_load_options_t *o);
/** Reads all open jobs anew. */
void batch_load_get_counts(batch_load_t *j, batch_load_counts_t *out);
/** Waits until all open jobs ended, at most so long; submits none. */
void batch_load_wait(batch_load_t *j, int wait_ms);
/** Cancels open jobs if asked to, ends the thread. */
void batch_load_stop(batch_load_t *j, bool cancel_open);

#endif
