/**
 * Counts crashes of replicas that show one thing each. Replicas that crash together, as in a loss
 * of power, show one cause that need not be what ran there; a crash under a run that began after
 * the crash before shows more.
 *
 * Pure: times are arguments.
 */
#ifndef AUBURN_CRASH_SERIES_H
#define AUBURN_CRASH_SERIES_H

#include "base/clock.h"

/** Crashes within this time, in ms, are together. All connections of a replica that crashes end
 * within it, too. */
#define CRASH_TOGETHER_MS 250
/** Times of different entries may differ by this, in ms, as their reports travel. */
#define CRASH_SKEW_MS 50

typedef struct {
	deadline_t last; /* crash that counted */
	unsigned n; /* crashes that counted */
} crash_series_t;

/** Adds a crash, in the order of the reports. began: the run under which it came; 0: unknown. */
void crash_series_add(crash_series_t *s, deadline_t began, deadline_t at);

#endif
