/**
 * Quarantine of prompt parts that crash replicas.
 *
 * A prompt is a list of parts that requests share, and a last part of its own. A part may crash
 * each replica that begins an answer to a prompt with it, whatever else the prompt holds. Such a
 * part is found by what happens to requests: the connection to the replica breaks before the answer
 * begins. All requests that wait in that replica end likewise, and so do requests whose answers are
 * lost for other reasons, so a part is blocked only if it was in several requests that were there
 * when several replicas crashed, and no answer to any prompt with it has begun since the first of
 * these crashes. A crash does not count before other processes have had time to report answers of
 * the replica, and no longer once that replica process brings an answer or breaks connections
 * again: then it has not crashed. Of replicas that crash together one counts, as for policy/poison.
 * The crashes under a blocked part count for no other part. Of
 * parts that can't be told apart, only prompts with all of them are blocked. A part
 * with which answers have begun before needs more crashes. A block ends after minutes; the next one
 * of the same part is twice as long and needs one crash.
 *
 * A part is in doubt while enough replicas have crashed under it for a block, but together, or its
 * block has run out and nothing is known of it since. Work that can wait then runs one at a time,
 * until an answer begins or the part is blocked. So does, after some seconds and then ever longer
 * pauses, one piece of work with a blocked part: nothing else could show that it has become sound.
 *
 * The expected load: some thousand requests a second with up to a thousand parts in use, of which
 * one comes with up to a fifth of the requests of its route, at any of 1 to 400 entries; besides,
 * connections and replicas that fail by the dozen for other reasons.
 *
 * Pure: time is an argument. Not thread-safe.
 */
#ifndef AUBURN_QUARANTINE_H
#define AUBURN_QUARANTINE_H

#include <stdbool.h>
#include "base/clock.h"
#include "policy/leaving.h"

/** Maximum number of parts that are considered of one prompt. */
#define PROMPT_PARTS_MAX 16
/** Maximum number of parts that are suspected or blocked at a time. */
#define QUARANTINE_MAX 1024

/** Hashes of the parts of a prompt, in order, without the last one. */
typedef struct {
	uint64_t v[PROMPT_PARTS_MAX];
	unsigned n;
} prompt_parts_t;

typedef struct {
	uint64_t part;
	bool blocked; /* else suspected */
	unsigned crashes; /* that count */
	unsigned level; /* number of earlier blocks that ran out */
	deadline_t since; /* first of these crashes */
	deadline_t until; /* end of the block; 0 if suspected */
	uint64_t group; /* of parts that can't be told apart: only prompts with all of them are
			   blocked; 0: none */
	unsigned group_size;
} quarantine_part_t;

typedef enum {
	QUARANTINE_TAKEN_BACK, /* a crash no longer counts: its replica is alive */
	QUARANTINE_BLOCKED,
	QUARANTINE_CLEARED, /* an answer with the part has begun, or too few crashes count */
	QUARANTINE_EXPIRED /* the block ran out */
} quarantine_event_t;

typedef struct {
	void *ctx;
	void (*event)(void *ctx, quarantine_event_t what, const quarantine_part_t *p);
} quarantine_callbacks_t;

typedef struct {
	replica_ref_t replica;
	uint64_t request; /* hash of its id or, if the process that reports it sends that, of its
			     content */
	bool is_content; /* request is a hash of the content: the same for each repeat */
	deadline_t began; /* the run; 0: unknown */
	const prompt_parts_t *parts;
} quarantine_crash_t;

typedef struct {
	uint64_t part;
	deadline_t probe_at; /* when the next prompt with it may run */
} quarantine_doubt_t;

typedef struct quarantine quarantine_t;

quarantine_t *quarantine_new(const quarantine_callbacks_t *cb);
void quarantine_free(quarantine_t *q);
/** Records that the connection of a request ended before its answer began. */
void quarantine_crash(quarantine_t *q, const quarantine_crash_t *c, deadline_t now);
/** The request with this content is taken for one that crashes replicas by itself. Its crashes no
 * longer count for parts of the requests that ran beside it and, for a part of its own that was in
 * no other crash, count as one. */
void quarantine_explain(quarantine_t *q, uint64_t request);
/** Records that a replica process has brought an answer, or a part of one. */
void quarantine_alive(quarantine_t *q, replica_ref_t replica, deadline_t now);
/** Records that an answer to a prompt with this part began at this time. */
void quarantine_sound(quarantine_t *q, uint64_t part, deadline_t at);
/** When an answer to a prompt with this part last began, as far as known; 0: unknown. */
deadline_t quarantine_sound_at(const quarantine_t *q, uint64_t part);
/** Blocks the parts for which enough crashes count, and ends blocks; to be called periodically. */
void quarantine_tick(quarantine_t *q, deadline_t now);
/** Takes over a block or a suspicion of another process. A suspicion ends as its crashes do,
 * without a further list. */
void quarantine_adopt(quarantine_t *q, const quarantine_part_t *p, deadline_t now);
/** Ends all blocks, and drops all suspicions, that are not in a list. */
void quarantine_retain(quarantine_t *q, const quarantine_part_t *v, size_t n);
/** True if one of the parts is blocked; *out: the one whose block ends last. */
bool quarantine_blocks(const quarantine_t *q, const prompt_parts_t *parts, deadline_t now,
		       quarantine_part_t *out);
/** True if one of the parts is in doubt. */
bool quarantine_doubts(const quarantine_t *q, const prompt_parts_t *parts, deadline_t now);
/** True if one of the parts is blocked and not to be probed now. */
bool quarantine_forbids(const quarantine_t *q, const prompt_parts_t *parts, deadline_t now);
/** Records that a prompt with this part is run to probe it. */
void quarantine_probe(quarantine_t *q, uint64_t part, deadline_t now);
/** Lists the parts in doubt, at most max; returns their number. */
size_t quarantine_list_doubted(const quarantine_t *q, deadline_t now, quarantine_doubt_t *out,
			       size_t max);
/** True if the part is suspected or blocked. */
bool quarantine_has(const quarantine_t *q, uint64_t part);
/** Lists the suspected and blocked parts, at most max; returns their number. */
size_t quarantine_list(const quarantine_t *q, quarantine_part_t *out, size_t max);
/** Name of an event in logs. */
const char *quarantine_event_name(quarantine_event_t what);

#define QUARANTINE_NAME_BYTES 17

/** Formats the hash of a part for logs; returns out. */
const char *quarantine_part_name(uint64_t part, char out[QUARANTINE_NAME_BYTES]);
/** Formats the hashes of parts, separated by commas; returns out. */
const char *quarantine_part_names(const prompt_parts_t *parts,
				  char out[PROMPT_PARTS_MAX * QUARANTINE_NAME_BYTES]);
/** Changes with each change of the list. */
uint64_t quarantine_version(const quarantine_t *q);

#endif
