#include "policy/drain.h"

#include <stdlib.h>
#include <uthash.h>
#include "base/str.h"

/** What a request may take longer than the longest of the last ones, in percent of that. */
#define MARGIN_PERCENT 25

typedef struct {
	uint64_t kind;
	int64_t ms[DRAIN_SAMPLES]; /* a ring */
	unsigned n; /* samples ever taken */
	UT_hash_handle hh;
} kind_t;

struct drain {
	kind_t *kinds;
};

drain_t *drain_new(void)
{
	return mem_new(sizeof(drain_t));
}

static void free_kind(drain_t *d, kind_t *k)
{
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): unlinked before free() */
	HASH_DEL(d->kinds, k);
	free(k);
}

void drain_free(drain_t *d)
{
	while (d && d->kinds)
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): nodes are unlinked first */
		free_kind(d, d->kinds);
	free(d);
}

static kind_t *find_kind(const drain_t *d, uint64_t kind)
{
	kind_t *k;

	HASH_FIND(hh, d->kinds, &kind, sizeof(kind), k);
	return k;
}

void drain_ended(drain_t *d, uint64_t kind, int64_t ms)
{
	kind_t *k = find_kind(d, kind);

	if (!k) {
		if (HASH_COUNT(d->kinds) >= DRAIN_KINDS_MAX)
			free_kind(d, d->kinds);
		k = mem_new(sizeof(*k));
		k->kind = kind;
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): unlinked before free() */
		HASH_ADD(hh, d->kinds, kind, sizeof(k->kind), k);
	}
	k->ms[k->n++ % DRAIN_SAMPLES] = ms;
}

int64_t drain_expected_ms(const drain_t *d, uint64_t kind, int64_t unknown_ms)
{
	const kind_t *k = find_kind(d, kind);
	int64_t longest = 0;

	if (!k)
		return unknown_ms;
	for (unsigned i = 0; i < k->n && i < DRAIN_SAMPLES; i++)
		longest = k->ms[i] > longest ? k->ms[i] : longest;
	return longest + longest * MARGIN_PERCENT / 100;
}

bool drain_fits(const drain_t *d, const drain_request_t *r, deadline_t now,
		const drain_stop_t *stop)
{
	if (r->deadline <= stop->exit_by)
		return true;
	return r->received <= stop->known_by &&
	       now + drain_expected_ms(d, r->kind, r->deadline - now) <= stop->exit_by;
}
