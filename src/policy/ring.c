/* Consistent hashing. */
#include "policy/ring.h"

#include <stdlib.h>

static int compare_points(const void *x, const void *y)
{
	const ring_point_t *a = x;
	const ring_point_t *b = y;

	if (a->hash != b->hash)
		return a->hash < b->hash ? -1 : 1;
	return a->index < b->index ? -1 : a->index > b->index;
}

void ring_sort(ring_point_t *ring, size_t n)
{
	if (n > 0)
		qsort(ring, n, sizeof(*ring), compare_points);
}

/* Binary search for the first point at or after hash; n if there is none. */
static size_t find_first(const ring_point_t *ring, size_t n, uint64_t hash)
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

size_t ring_successors(const ring_point_t *ring, size_t n, uint64_t hash, size_t *out, size_t max)
{
	size_t from = find_first(ring, n, hash);
	size_t k;

	for (k = 0; k < n && k < max; k++)
		out[k] = ring[(from + k) % n].index;
	return k;
}
