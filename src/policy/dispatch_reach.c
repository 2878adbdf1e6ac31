/* Dispatcher: which entries do not reach which replicas. */
#include <stdlib.h>
#include <string.h>
#include "policy/dispatch_internal.h"

/** Back-off of a pair after a failed connection, doubled with each further one up to the maximum.
 */
#define PAIR_MS		 500
#define PAIR_MAX_DOUBLES 3
/** A pair that isn't tried again for this long after its back-off, in ms, is forgotten. */
#define PAIR_UNTRIED_MS 10000
/** Maximum number of pairs; beyond it the one that was added first is dropped. */
#define PAIRS_MAX 4096
/** An answer to another entry within this time shows that the replica is sound, in ms: shorter than
 * the connect timeout, so that a replica whose VM has lost power is not taken for sound. */
#define HEARD_MS 200
/** The failed connections of an entry say nothing about the replica once it does not reach this
 * many others. */
#define UNREACHED_MAX 3

static pair_t *find_pair(const dispatch_t *d, uint64_t entry, const replica_t *r)
{
	pair_key_t key;
	pair_t *p;

	if (!d->pairs)
		return NULL;
	memset(&key, 0, sizeof(key));
	key.entry = entry;
	key.replica = r;
	HASH_FIND(hh, d->pairs, &key, sizeof(key), p);
	return p;
}

static entry_t *find_entry(const dispatch_t *d, uint64_t id)
{
	entry_t *e;

	HASH_FIND(hh, d->entries, &id, sizeof(id), e);
	return e;
}

static void pair_free(dispatch_t *d, pair_t *p)
{
	entry_t *e = find_entry(d, p->key.entry);

	if (e)
		e->pairs--;
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): unlinked before free() */
	HASH_DEL(d->pairs, p);
	free(p);
}

void dispatch_pairs_forget(dispatch_t *d, uint64_t entry, const replica_t *r)
{
	pair_t *p;
	pair_t *next;

	HASH_ITER (hh, d->pairs, p, next) {
		if ((r && p->key.replica == r) || (!r && p->key.entry == entry))
			pair_free(d, p);
	}
}

void dispatch_pairs_free(dispatch_t *d)
{
	while (d->pairs)
		pair_free(d, d->pairs);
}

void dispatch_pairs_tick(dispatch_t *d, deadline_t now)
{
	pair_t *p;
	pair_t *next;

	HASH_ITER (hh, d->pairs, p, next) {
		if (now - p->until > PAIR_UNTRIED_MS)
			pair_free(d, p);
	}
}

void dispatch_note_heard(dispatch_t *d, uint64_t entry, replica_t *r, deadline_t now)
{
	pair_t *p = find_pair(d, entry, r);

	if (p)
		pair_free(d, p);
	if (r->heard[0].entry != entry)
		r->heard[1] = r->heard[0];
	r->heard[0] = (heard_t){entry, now};
}

bool dispatch_answers(const replica_t *r, deadline_t now)
{
	return now >= r->suspect_until && r->heard[0].at && now - r->heard[0].at < HEARD_MS;
}

bool dispatch_note_unreached(dispatch_t *d, uint64_t entry, replica_t *r, deadline_t now)
{
	pair_t *p = find_pair(d, entry, r);
	entry_t *e = find_entry(d, entry);

	if (!p) {
		if (HASH_COUNT(d->pairs) >= PAIRS_MAX)
			pair_free(d, d->pairs);
		p = mem_new(sizeof(*p));
		p->key.entry = entry;
		p->key.replica = r;
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): the freed element was unlinked */
		HASH_ADD(hh, d->pairs, key, sizeof(p->key), p);
		if (e)
			e->pairs++;
	}
	p->until = now + ((int64_t)PAIR_MS << p->failures);
	if (p->failures < PAIR_MAX_DOUBLES)
		p->failures++;
	for (int i = 0; i < 2; i++) {
		if (r->heard[i].at && r->heard[i].entry != entry && now - r->heard[i].at < HEARD_MS)
			return true;
	}
	return e && e->pairs > UNREACHED_MAX;
}

void dispatch_pair_tried(dispatch_t *d, uint64_t entry, const replica_t *r, deadline_t now)
{
	pair_t *p = find_pair(d, entry, r);

	if (p)
		p->until = now + PAIR_MS;
}

bool dispatch_reaches(const dispatch_t *d, const entry_t *e, const replica_t *r, deadline_t now)
{
	const pair_t *p = e ? find_pair(d, e->id, r) : NULL;

	return !e || (!e->cut_off && (!p || now >= p->until));
}

bool dispatch_reaches_all(const dispatch_t *d, uint64_t entry)
{
	const entry_t *e = find_entry(d, entry);

	return !e || e->pairs == 0;
}
