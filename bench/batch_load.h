/** Batch load: a thread keeps a number of jobs open, so that the fleet never runs out of items. */
#ifndef AUBURN_BATCH_LOAD_H
#define AUBURN_BATCH_LOAD_H

#include <stdbool.h>
#include "address_pool.h"

typedef struct {
	address_pool_t *addresses;
	const char *bearer_key;
	const char *service;
	int items_per_job;
	int open_jobs; /* at the same time, at most 64 */
	int prompt_bytes;
	int mean_tokens; /* of an item; lengths are geometrically distributed */
	int deadline_ms; /* of a job, from its submission */
	const char *run_name; /* prefix of each job id and prompt */
	unsigned long seed;
} batch_load_options_t;

typedef struct {
	unsigned long jobs_submitted, jobs_finished, jobs_cancelled;
	unsigned long items_done, items_failed;
	unsigned long item_tokens; /* requested by all generated items, rejected jobs included */
	unsigned long miscounted; /* ended jobs whose items by state do not add up to their size */
} batch_load_counts_t;

typedef struct batch_load batch_load_t;

/** Starts the thread that submits and polls jobs. */
batch_load_t *batch_load_start(const batch_load_options_t *o);
/** Returns the counts so far; open jobs count as of their last poll. */
void batch_load_get_counts(batch_load_t *j, batch_load_counts_t *out);
/** Stops submitting and waits until no job is open, at most wait_ms. A submission in progress is
 * not waited for; its job may open afterwards. */
void batch_load_wait(batch_load_t *j, int wait_ms);
/** Ends the thread, cancels the open jobs if cancel_open is set, and frees j. */
void batch_load_stop(batch_load_t *j, bool cancel_open);

#endif
