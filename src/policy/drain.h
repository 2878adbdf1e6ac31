/**
 * Which requests an entry that stops still serves. A request that came before callers could know of
 * the stop is served if it can end before the entry does, as far as the last requests of its kind
 * show: callers have no other address yet. How long others took is no bound, so a later request is
 * served only if its own deadline ends it in time, or its longest answer does at half the pace of
 * the slowest of the last ones. All others are refused at once, as not run, so that their callers
 * go to another entry.
 *
 * The expected load: grace times of 1 to 30 s, requests of 0.2 to 20 s on some thousand connections
 * that stay open.
 *
 * Pure: time is an argument. Not thread-safe.
 */
#ifndef AUBURN_DRAIN_H
#define AUBURN_DRAIN_H

#include <stdbool.h>
#include "base/clock.h"

/** Number of the last requests of a kind that count. */
#define DRAIN_SAMPLES 64
/** Maximum number of kinds; beyond it the one that was added first is dropped. */
#define DRAIN_KINDS_MAX 4096

typedef struct drain drain_t;

drain_t *drain_new(void);
void drain_free(drain_t *d);
/** Records that a request of this kind has ended whole after this long, in ms. */
void drain_ended(drain_t *d, uint64_t kind, int64_t ms);
/** Time in ms within which a request of this kind ends: the longest of the last ones and a quarter
 * more; unknown_ms if there were none. */
int64_t drain_expected_ms(const drain_t *d, uint64_t kind, int64_t unknown_ms);
typedef struct {
	deadline_t known_by; /* callers that look up addresses know of the stop from then on */
	deadline_t exit_by; /* the process ends */
} drain_stop_t;

typedef struct {
	uint64_t kind;
	deadline_t received;
	deadline_t deadline; /* by which it has ended, with or without an answer */
} drain_request_t;

/** True if a request is to be served that begins now, during a stop. */
bool drain_fits(const drain_t *d, const drain_request_t *r, deadline_t now,
		const drain_stop_t *stop);

#endif
