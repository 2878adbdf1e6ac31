/**
 * Batch: leases items from the ledger for the room that replicas dispatched to from here have,
 * runs them, commits their results in batches. Also finishes requests whose entry was lost.
 */
#ifndef AUBURN_BATCH_H
#define AUBURN_BATCH_H

#include "entry/entry.h"

batch_runner_t *batch_start(entry_ctx_t *en);
/** Drops a cancelled job's waiting items and cancels its running ones. */
void batch_cancel_job(batch_runner_t *b, str_t caller, str_t job);
/** No new leases; waiting items are given back. */
void batch_drain(batch_runner_t *b);
/** Cancels what still runs; it is given back when it has ended. */
void batch_cancel_running(batch_runner_t *b);
/** Items held, waiting, running or to be committed. */
size_t batch_held(batch_runner_t *b);

#endif
