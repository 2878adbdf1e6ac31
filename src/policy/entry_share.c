/* Selection of the entries in a look-up answer by capacity. */
#include "policy/entry_share.h"

#include <math.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>

/** Zones beyond this number are treated like a zone without entries. */
#define ZONES_MAX 16

typedef struct {
	str_t names[ZONES_MAX];
	uint64_t hashes[ZONES_MAX];
	size_t n;
} zones_t;

/** An entry in the order in which an answer that is too short or too long takes them. */
typedef struct {
	double key; /* below 1: selected */
	size_t index;
} candidate_t;

/* The finalizer of MurmurHash3: all bits of the result depend on all bits of x. */
static uint64_t mix(uint64_t x)
{
	x = (x ^ (x >> 33)) * 0xff51afd7ed558ccdULL;
	x = (x ^ (x >> 33)) * 0xc4ceb9fe1a85ec53ULL;
	return x ^ (x >> 33);
}

static uint64_t pair_hash(uint64_t entry, uint64_t zone)
{
	return mix(entry ^ mix(zone));
}

/* A number in [0, 1). */
static double unit(uint64_t hash)
{
	return (double)(hash >> 11) / (double)(1ULL << 53);
}

/* Index of the zone; z->n if it is not in the list. */
static size_t find_zone(const zones_t *z, str_t name)
{
	size_t i = 0;

	while (i < z->n && !str_eq(z->names[i], name))
		i++;
	return i;
}

static void list_zones(const entry_share_options_t *o, zones_t *z)
{
	z->n = 0;
	for (size_t i = 0; i < o->n; i++) {
		if (find_zone(z, o->entries[i].zone) < z->n || z->n == ZONES_MAX)
			continue;
		z->names[z->n] = o->entries[i].zone;
		z->hashes[z->n++] = str_hash(o->entries[i].zone);
	}
}

/* Largest capacity; 0 if the capacities are equal or one is unknown. */
static unsigned largest_capacity(const entry_share_options_t *o)
{
	unsigned most = 0;
	bool equal = true;

	for (size_t i = 0; i < o->n; i++) {
		unsigned c = o->entries[i].capacity;

		if (c == 0)
			return 0;
		equal = equal && c == o->entries[0].capacity;
		most = c > most ? c : most;
	}
	return equal ? 0 : most;
}

/* True if the entry, of which share is the capacity relative to the largest, is named for the zone
 * with index `to`. */
static bool is_named(const zones_t *z, const entry_share_entry_t *e, double share, size_t to)
{
	uint64_t entry = str_hash(e->addr);
	size_t own = find_zone(z, e->zone);
	uint64_t hash;
	size_t count;
	size_t rank = 1; /* of the zone `to` in the entry's order */

	if (to == z->n)
		return unit(pair_hash(entry, 0)) < share;
	if (to == own)
		return true;
	count = (size_t)((double)z->n * share + unit(mix(entry)));
	hash = pair_hash(entry, z->hashes[to]);
	for (size_t i = 0; i < z->n; i++)
		rank += i != own && i != to && pair_hash(entry, z->hashes[i]) < hash;
	return rank < count;
}

static int compare_candidates(const void *x, const void *y)
{
	const candidate_t *a = x;
	const candidate_t *b = y;

	if (a->key != b->key)
		return a->key < b->key ? -1 : 1;
	return a->index < b->index ? -1 : a->index > b->index;
}

static int compare_indexes(const void *x, const void *y)
{
	const candidate_t *a = x;
	const candidate_t *b = y;

	return a->index < b->index ? -1 : a->index > b->index;
}

/* Key of a candidate. Entries that are not selected follow the selected ones in the order of a
 * weighted draw: the chance to be the next is proportional to the share. */
static double candidate_key(const entry_share_entry_t *e, uint64_t zone, double share, bool named)
{
	double u = unit(pair_hash(str_hash(e->addr), mix(zone + 1)));

	return named ? u : 1 - log1p(-u) / share;
}

size_t entry_share_select(const entry_share_options_t *o, str_t *out)
{
	unsigned most = largest_capacity(o);
	uint64_t zone = str_hash(o->zone);
	size_t min = o->n < ENTRY_SHARE_MIN ? o->n : ENTRY_SHARE_MIN;
	size_t n = 0;
	zones_t zones;
	candidate_t *v;
	size_t to;

	if (most == 0 || o->n <= ENTRY_SHARE_MIN) {
		for (; n < o->n && n < o->max; n++)
			out[n] = o->entries[n].addr;
		return n;
	}
	list_zones(o, &zones);
	to = o->zone.n ? find_zone(&zones, o->zone) : zones.n;
	v = mem_new(o->n * sizeof(*v));
	for (size_t i = 0; i < o->n; i++) {
		const entry_share_entry_t *e = &o->entries[i];
		double share = (double)e->capacity / most;
		bool named = is_named(&zones, e, share, to);

		v[i] = (candidate_t){candidate_key(e, zone, share, named), i};
		n += named;
	}
	n = n < min ? min : n;
	n = n > o->max ? o->max : n;
	qsort(v, o->n, sizeof(*v), compare_candidates);
	qsort(v, n, sizeof(*v), compare_indexes);
	for (size_t i = 0; i < n; i++)
		out[i] = o->entries[v[i].index].addr;
	free(v);
	return n;
}
