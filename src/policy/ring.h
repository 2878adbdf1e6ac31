/**
 * Shares of a list that is too long to tell all of it to everybody: each of n members gets the ones
 * that follow it on a ring of hashes. One that comes or goes changes the shares of those before it
 * on the ring only, and each is in as many shares as any other.
 *
 * Pure.
 */
#ifndef AUBURN_RING_H
#define AUBURN_RING_H

#include <stddef.h>
#include <stdint.h>

typedef struct {
	uint64_t hash;
	size_t index; /* place in the list */
} ring_point_t;

/** Puts the points in the order of the ring. */
void ring_sort(ring_point_t *ring, size_t n);
/** Places in the list of up to max points, from the one with this hash, or the next, on; returns
 * how many. */
size_t ring_successors(const ring_point_t *ring, size_t n, uint64_t hash, size_t *out, size_t max);

#endif
