/** Token buckets: the rate limit of each caller of an entry, and quotas. Pure. */
#ifndef AUBURN_BUCKET_H
#define AUBURN_BUCKET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct {
	int64_t millitokens; /* thousandths of a token */
	int64_t refilled_ms; /* time of the last refill; 0: none yet, the first fills the bucket */
} bucket_t;

/** Takes one token. If there is none, returns false and sets *retry_after_ms to the time until
 * there is one, INT64_MAX if the rate or the burst is 0. burst: the bucket's capacity in tokens. A
 * zeroed bucket starts full. */
bool bucket_take(bucket_t *t, int64_t rate_per_s, int64_t burst, int64_t now_ms,
		 int64_t *retry_after_ms);

/** Takes n tokens at once, like bucket_take; burst must be at least n. Tokens that will be there
 * within max_wait_ms may be taken in advance: *wait_ms is the time until then. */
bool bucket_take_n(bucket_t *t, int64_t n, int64_t rate_per_s, int64_t burst, int64_t now_ms,
		   int64_t max_wait_ms, int64_t *wait_ms);
/** Gives a bucket this many tokens as of now_ms, which must not be 0. */
void bucket_init(bucket_t *t, int64_t tokens, int64_t now_ms);
/** Whole tokens in a bucket as of its last take; negative if some were taken in advance. */
int64_t bucket_level(const bucket_t *t);
/** Puts tokens back that were taken; the next take cuts off what exceeds the burst. */
void bucket_return(bucket_t *t, int64_t n);

/** Buckets by caller; at the maximum size, the least recently used bucket is evicted. */
typedef struct bucket_map bucket_map_t;
bucket_map_t *bucket_map_new(size_t max);
void bucket_map_free(bucket_map_t *m);
/** Returns the bucket of a caller (the hash of its name), adding it if needed. now_ms is unused. */
bucket_t *bucket_map_get(bucket_map_t *m, uint64_t caller, int64_t now_ms);
/** Memory used by the map, in bytes; for tests. */
size_t bucket_map_bytes(const bucket_map_t *m);

#endif
