/** Token buckets, one for each caller, and the admission decision of an entry. Pure. */
#ifndef AUBURN_BUCKET_H
#define AUBURN_BUCKET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct {
	int64_t millitokens; /* tokens, in thousandths */
	int64_t refilled_ms; /* when it was filled last */
} bucket_t;

/** Takes one token; if there is none returns false and in how many ms there is one. A bucket of
 *  all zeroes starts full. */
bool bucket_take(bucket_t *t, int64_t rate_per_s, int64_t burst, int64_t now_ms,
		 int64_t *retry_after_ms);

/** Buckets by caller, bounded; the one idle for longest goes first. */
typedef struct bucket_map bucket_map_t;
bucket_map_t *bucket_map_new(size_t max);
void bucket_map_free(bucket_map_t *m);
bucket_t *bucket_map_get(bucket_map_t *m, uint64_t caller, int64_t now_ms);
size_t bucket_map_bytes(const bucket_map_t *m);

#endif
