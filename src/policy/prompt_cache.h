/**
 * Belief of which parts of prompts the replicas have cached. A part is identified by its chain, the
 * part together with all parts before it, because an engine reuses a cached part only if all parts
 * before it are cached too. The evidence is the runs granted to a replica; the belief ends by
 * eviction of the least recently used parts beyond the replica's memory, by age, and when the
 * replica restarts, crashes or leaves. The number of parts is bounded over all replicas, and so is
 * the cost of each call, except of those that drop all parts of a replica.
 *
 * Pure: time is an argument. Not thread-safe.
 */
#ifndef AUBURN_PROMPT_CACHE_H
#define AUBURN_PROMPT_CACHE_H

#include "policy/dispatch.h"

/** Maximum number of parts over all replicas. At this size the table takes about 20 MB. */
#define PROMPT_CACHE_PARTS_MAX 100000
/** Assumed memory of a replica that does not state it, in tokens. */
#define PROMPT_CACHE_DEFAULT_TOKENS 100000
/** A part that was not used for this long does not count: evictions that the runs do not show make
 * an old belief unlikely. */
#define PROMPT_CACHE_AGE_MS 300000

/** The chains of a prompt: link i stands for its parts 0 to i. */
typedef struct {
	struct {
		uint64_t chain;
		uint32_t tokens; /* of part i */
	} links[DISPATCH_PARTS_MAX];
	unsigned n;
	uint32_t tokens; /* of all parts */
	uint32_t out; /* expected output; cached with the last part, as a session continues it */
} prompt_chain_t;

typedef struct prompt_cache prompt_cache_t;
/** What one replica has cached. */
typedef struct prompt_store prompt_store_t;

/** Makes the chains of a prompt; none if the tokens of some part are not stated. */
void prompt_chain_init(prompt_chain_t *chain, const dispatch_tokens_t *tokens);

prompt_cache_t *prompt_cache_new(size_t parts_max);
void prompt_cache_free(prompt_cache_t *c);
/** Adds a replica; data is returned by prompt_cache_find(). capacity: its memory in tokens, 0 if
 * unknown. */
prompt_store_t *prompt_cache_add(prompt_cache_t *c, void *data, int64_t capacity);
/** Removes a replica and its parts. */
void prompt_cache_remove(prompt_cache_t *c, prompt_store_t *s);
/** Drops the parts of a replica, which has restarted or crashed. Its running tokens stay until they
 * are released. */
void prompt_cache_forget(prompt_cache_t *c, prompt_store_t *s);
/** Records that a run with this prompt was granted to the replica, and evicts what does not fit. */
void prompt_cache_record(prompt_cache_t *c, prompt_store_t *s, const prompt_chain_t *chain,
			 deadline_t now);
/** Reserves memory of the replica for a running request, in tokens beyond its cached parts, or
 * releases it (tokens below 0). */
void prompt_cache_reserve(prompt_cache_t *c, prompt_store_t *s, int64_t tokens);
/** The number of tokens at the beginning of the prompt that the replica has cached. s: may be NULL.
 */
uint32_t prompt_cache_held(const prompt_cache_t *c, const prompt_store_t *s,
			   const prompt_chain_t *chain, deadline_t now);
/** Finds up to max replicas that have the beginning of the prompt cached, those with the longest
 * match first, unless they lack a part in between; of many with the same match, others at each
 * call. Returns their number. */
unsigned prompt_cache_find(prompt_cache_t *c, const prompt_chain_t *chain, deadline_t now,
			   void **out, unsigned max);
/** Number of parts held, over all replicas. */
size_t prompt_cache_parts(const prompt_cache_t *c);

#endif
