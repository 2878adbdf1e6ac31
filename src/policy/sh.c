#include "policy/sh.h"

#include <stdlib.h>

static int compare(const void *x, const void *y)
{
	const sh_point_t *a = x;
	const sh_point_t *b = y;

	if (a->hash != b->hash)
		return a->hash < b->hash ? -1 : 1;
	return a->at < b->at ? -1 : a->at > b->at;
}

void sh_sort(sh_point_t *ring, size_t n)
{
	if (n > 0)
		qsort(ring, n, sizeof(*ring), compare);
}

/* The first point that isn't before hash; n when there is none. */
static size_t first_from(const sh_point_t *ring, size_t n, uint64_t hash)
{
	size_t low = 0;
	size_t high = n;

	while (low < high) {
		size_t mid = low + (high - low) / 2;

		if (ring[mid].hash < hash)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

size_t sh_share(const sh_point_t *ring, size_t n, uint64_t hash, size_t *out, size_t max)
{
	size_t from = first_from(ring, n, hash);
	size_t k;

	for (k = 0; k < n && k < max; k++)
		out[k] = ring[(from + k) % n].at;
	return k;
}
