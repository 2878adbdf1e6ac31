/**
 * How long a replica may be silent in a run of a batch item.
 *
 * No caller waits for the next event of an item, and what a replica needs before the first one
 * can't be known: it may read the body slowly, or a long prompt. A run that was cut for silence
 * would be cut again, so the next one gets more time. The load: a few items in a hundred have large
 * bodies or prompts; a replica that has really gone silent is left at once by the items that it
 * had, as they start with the shortest time and go elsewhere first.
 *
 * Pure.
 */
#ifndef AUBURN_ITEM_PATIENCE_H
#define AUBURN_ITEM_PATIENCE_H

#include <stdint.h>

/** Of the first run: many times the usual pause between events. */
#define ITEM_PATIENCE_MS 1500
/** Of the fifth run and later ones. */
#define ITEM_PATIENCE_MAX_MS (16 * ITEM_PATIENCE_MS)

/** Returns the longest silence, in ms, of the next run of an item of which this many runs in a row
 * were cut for silence without a new event. */
int64_t item_patience_ms(unsigned silent_runs);

#endif
