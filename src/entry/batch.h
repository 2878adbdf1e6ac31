/**
 * Batch: leases items from the ledger to fill the free batch slots of the replicas that this entry
 * dispatches to, runs the items and commits their results. An item is one request of a job. A lease
 * assigns items to this entry's session, until their results are committed or the session ends.
 *
 * The ledger also leases out accepted requests whose entry was lost; they are items without a job.
 */
#ifndef AUBURN_BATCH_H
#define AUBURN_BATCH_H

#include "entry/entry.h"

batch_runner_t *batch_start(entry_ctx_t *en);
/** Cancels the items of a job that this entry holds, waiting or running. */
void batch_cancel_job(batch_runner_t *b, str_t caller, str_t job);
/** Requests no further leases, and returns the items that now wait to the ledger. */
void batch_drain(batch_runner_t *b);
/** Cancels the running items. After batch_drain they return to the ledger when they have ended. */
void batch_cancel_running(batch_runner_t *b);
/** Number of items held: waiting, running, or finished but not yet committed. */
size_t batch_held(batch_runner_t *b);

#endif
