/** Batch load: keeps some jobs open so that the fleet never lacks batch items. */
#ifndef AUBURN_BN_JOB_H
#define AUBURN_BN_JOB_H

#include <stdbool.h>
#include "bn_addr.h"

typedef struct {
	bn_addr_t *addr;
	const char *key;
	const char *service;
	int items; /* a job */
	int jobs; /* open at once */
	int prompt_bytes;
	int max_tokens; /* mean */
	int deadline_ms;
	const char *run; /* begins each id and prompt */
	unsigned long seed;
} bn_job_options_t;

typedef struct {
	unsigned long submitted, finished, cancelled; /* jobs */
	unsigned long done, failed; /* items */
	unsigned long tokens; /* asked for, by all items */
	unsigned long lost; /* jobs whose counts didn't add up */
} bn_job_counts_t;

typedef struct bn_jobs bn_jobs_t;

/** Submits and watches from a thread of its own. */
bn_jobs_t *bn_jobs_start(const bn_job_options_t *o);
/** Reads all open jobs anew. */
void bn_jobs_read(bn_jobs_t *j, bn_job_counts_t *out);
/** Waits until all open jobs ended, at most so long; submits none. */
void bn_jobs_wait(bn_jobs_t *j, int wait_ms);
/** Cancels open jobs if asked to, ends the thread. */
void bn_jobs_stop(bn_jobs_t *j, bool cancel_open);

#endif
