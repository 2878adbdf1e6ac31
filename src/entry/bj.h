/**
 * Batch: leases items from the ledger for the room that replicas dispatched to from here have,
 * runs them, commits their results in batches. Also finishes requests whose entry was lost.
 */
#ifndef AUBURN_BJ_H
#define AUBURN_BJ_H

#include "entry/en.h"

bj_t *bj_start(en_t *en);
/** Drops a cancelled job's waiting items and cancels its running ones. */
void bj_cancel(bj_t *b, str_t caller, str_t job);
/** No new leases; waiting items are given back. */
void bj_drain(bj_t *b);
/** Cancels what still runs; it is given back when it has ended. */
void bj_stop_running(bj_t *b);
/** Items held, waiting, running or to be committed. */
size_t bj_held(bj_t *b);

#endif
