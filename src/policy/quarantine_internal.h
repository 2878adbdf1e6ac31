/** Internals of the quarantine, shared by quarantine*.c. */
#ifndef AUBURN_QUARANTINE_INTERNAL_H
#define AUBURN_QUARANTINE_INTERNAL_H

#include <uthash.h>
#include "policy/crash_series.h"
#include "policy/quarantine.h"

/** A crash counts after this long, in ms, within which other entries report answers of the replica.
 */
#define CONFIRM_MS 500
/** Number of crashes from which a part is blocked. */
#define CRASHES_MIN 3
/** Maximum number of crashes that are recorded of one part. */
#define CRASHES_MAX 32
/** Maximum number of earlier blocks of a part that make its next one longer. */
#define LEVEL_MAX 4
/** One prompt with a blocked part may run this long after the block began, in ms; each further one
 * after PROBE_TIMES the time before. */
#define PROBE_MS    15000
#define PROBE_TIMES 3

typedef struct {
	uint64_t replica; /* hash of id and start time */
	uint64_t request;
	bool is_content;
	deadline_t began; /* the run; 0: unknown */
	deadline_t at;
} crash_t;

typedef struct {
	uint64_t part;
	crash_t crashes[CRASHES_MAX];
	unsigned ncrashes;
	deadline_t since; /* as in quarantine_part_t, while blocked */
	deadline_t until; /* 0: not blocked */
	deadline_t forget_at; /* after a block */
	unsigned level;
	deadline_t probe_at; /* while blocked: when a prompt with it may run */
	int64_t probe_ms; /* until the probe after that */
	uint64_t group; /* as in quarantine_part_t, while blocked */
	unsigned group_size;
	deadline_t watched_until; /* suspected by another process; 0: not */
	UT_hash_handle hh;
} part_t;

/** A time by a hash; iterated in the order of the last change. */
typedef struct {
	uint64_t key;
	deadline_t at;
	UT_hash_handle hh;
} stamp_t;

struct quarantine {
	quarantine_callbacks_t cb;
	part_t *parts;
	stamp_t *crashed; /* replica processes, and when they crashed */
	stamp_t *sound; /* parts, and when an answer last began */
	uint64_t version;
};

part_t *quarantine_find_part(const quarantine_t *q, uint64_t part);
/** Number of crashes of a part that came one after the other until this time. */
unsigned quarantine_count_serial(const part_t *p, deadline_t until);
void quarantine_report(quarantine_t *q, quarantine_event_t what, const part_t *p);
/** The crashes under a blocked part count for no other part. */
void quarantine_attribute_crashes(quarantine_t *q, const part_t *blocked);
/** Ends the block of a part, and forgets its crashes. */
void quarantine_clear_part(quarantine_t *q, part_t *p);

/* quarantine_block.c */

/** Number of crashes from which the part is blocked. */
unsigned quarantine_least_crashes(const quarantine_t *q, const part_t *p, deadline_t now);
/** Blocks the parts for which enough crashes count. */
void quarantine_block_suspected(quarantine_t *q, deadline_t now);

#endif
