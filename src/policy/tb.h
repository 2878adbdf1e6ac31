/** Token buckets, one for each caller, and the admission decision of an entry. Pure. */
#ifndef AUBURN_TB_H
#define AUBURN_TB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct {
	int64_t milli; /* tokens, in thousandths */
	int64_t last_ms; /* when it was filled last */
} tb_t;

/** Takes one token; if there is none returns false and in how many ms there is one. A bucket of
 *  all zeroes starts full. */
bool tb_take(tb_t *t, int64_t rate_per_s, int64_t burst, int64_t now_ms, int64_t *retry_after_ms);

/** Buckets by caller, bounded; the one idle for longest goes first. */
typedef struct tb_map tb_map_t;
tb_map_t *tb_map_new(size_t max);
void tb_map_free(tb_map_t *m);
tb_t *tb_map_get(tb_map_t *m, uint64_t caller, int64_t now_ms);
size_t tb_map_bytes(const tb_map_t *m);

#endif
