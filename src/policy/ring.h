/**
 * Consistent hashing: gives each reader of a long list a share of the list, at most a fixed
 * number of its members. Members are points on a ring of hashes; a reader gets the members
 * whose points follow its own hash. A member that joins or leaves changes only the shares of the
 * readers just before it on the ring. If the readers are the members themselves, each member is in
 * the same number of shares.
 *
 * Pure.
 */
#ifndef AUBURN_RING_H
#define AUBURN_RING_H

#include <stddef.h>
#include <stdint.h>

typedef struct {
	uint64_t hash;
	size_t index; /* of the member in the list */
} ring_point_t;

/** Sorts the points into ring order. */
void ring_sort(ring_point_t *ring, size_t n);
/** Writes the list indexes of up to max points in ring order, beginning with the first point at or
 * after this hash; returns their number. */
size_t ring_successors(const ring_point_t *ring, size_t n, uint64_t hash, size_t *out, size_t max);

#endif
