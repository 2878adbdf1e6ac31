/* Belief of which parts of prompts the replicas have cached. */
#include "policy/prompt_cache.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

/** prompt_cache_find() examines at most this many holders, whether or not they hold all parts
 * before the last. */
#define EXAMINED_MAX 8

typedef struct held held_t;

/** The replicas that hold the last part of a chain. */
typedef struct {
	uint64_t chain;
	held_t *holders;
	UT_hash_handle hh;
} holders_t;

typedef struct {
	uint64_t chain;
	const prompt_store_t *store;
} held_key_t;

/** A part held by a replica. */
struct held {
	held_key_t key;
	prompt_store_t *store;
	holders_t *holders;
	uint32_t tokens;
	deadline_t used_at;
	held_t *prev, *next; /* in holders */
	held_t *store_prev, *store_next; /* in store->parts */
	held_t *all_prev, *all_next; /* in cache->parts */
	UT_hash_handle hh;
};

struct prompt_store {
	void *data;
	int64_t capacity; /* tokens */
	int64_t cached; /* tokens of parts */
	int64_t reserved; /* tokens of running requests beyond their cached parts */
	held_t *parts; /* the least recently used first */
};

struct prompt_cache {
	size_t parts_max;
	held_t *by_key;
	held_t *parts; /* of all replicas, the least recently used first */
	holders_t *chains;
};

/* Mixes a part into the chain before it; the finalizer of splitmix64. */
static uint64_t extend_chain(uint64_t chain, uint64_t part)
{
	uint64_t x = (chain ^ part) + 0x9e3779b97f4a7c15ULL;

	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
	return x ^ (x >> 31);
}

void prompt_chain_init(prompt_chain_t *chain, const dispatch_tokens_t *tokens)
{
	uint64_t hash = 0;

	*chain = (prompt_chain_t){.out = tokens->out};
	for (unsigned i = 0; i < tokens->nparts; i++) {
		if (tokens->parts[i].tokens == 0) {
			*chain = (prompt_chain_t){0};
			return;
		}
		hash = extend_chain(hash, tokens->parts[i].part);
		chain->links[i].chain = hash;
		chain->links[i].tokens = tokens->parts[i].tokens;
		chain->tokens += tokens->parts[i].tokens;
	}
	chain->n = tokens->nparts;
}

prompt_cache_t *prompt_cache_new(size_t parts_max)
{
	prompt_cache_t *c = mem_new(sizeof(*c));

	c->parts_max = parts_max;
	return c;
}

prompt_store_t *prompt_cache_add(prompt_cache_t *c, void *data, int64_t capacity)
{
	prompt_store_t *s = mem_new(sizeof(*s));

	s->data = data;
	s->capacity = capacity > 0 ? capacity : PROMPT_CACHE_DEFAULT_TOKENS;
	return s;
}

static held_t *find_held(const prompt_cache_t *c, const prompt_store_t *s, uint64_t chain)
{
	held_key_t key;
	held_t *h;

	memset(&key, 0, sizeof(key));
	key.chain = chain;
	key.store = s;
	HASH_FIND(hh, c->by_key, &key, sizeof(key), h);
	return h;
}

static void evict(prompt_cache_t *c, held_t *h)
{
	holders_t *of = h->holders;

	DL_DELETE(of->holders, h);
	if (!of->holders) {
		HASH_DEL(c->chains, of);
		free(of);
	}
	DL_DELETE2(h->store->parts, h, store_prev, store_next);
	DL_DELETE2(c->parts, h, all_prev, all_next);
	HASH_DEL(c->by_key, h);
	h->store->cached -= h->tokens;
	free(h);
}

static void evict_excess(prompt_cache_t *c, prompt_store_t *s)
{
	while (s->parts && s->cached + s->reserved > s->capacity)
		evict(c, s->parts);
}

void prompt_cache_forget(prompt_cache_t *c, prompt_store_t *s)
{
	while (s && s->parts)
		evict(c, s->parts);
}

void prompt_cache_remove(prompt_cache_t *c, prompt_store_t *s)
{
	prompt_cache_forget(c, s);
	free(s);
}

void prompt_cache_free(prompt_cache_t *c)
{
	if (!c)
		return;
	while (c->parts)
		evict(c, c->parts);
	free(c);
}

static held_t *add_held(prompt_cache_t *c, prompt_store_t *s, uint64_t chain)
{
	held_t *h = mem_new(sizeof(*h));

	h->key = (held_key_t){chain, s};
	h->store = s;
	HASH_FIND(hh, c->chains, &chain, sizeof(chain), h->holders);
	if (!h->holders) {
		h->holders = mem_new(sizeof(*h->holders));
		h->holders->chain = chain;
		HASH_ADD(hh, c->chains, chain, sizeof(chain), h->holders);
	}
	DL_APPEND(h->holders->holders, h);
	DL_APPEND2(s->parts, h, store_prev, store_next);
	DL_APPEND2(c->parts, h, all_prev, all_next);
	HASH_ADD(hh, c->by_key, key, sizeof(h->key), h);
	return h;
}

/* Marks a part as the most recently used. */
static void touch(prompt_cache_t *c, held_t *h, deadline_t now)
{
	h->used_at = now;
	DL_DELETE2(h->store->parts, h, store_prev, store_next);
	DL_APPEND2(h->store->parts, h, store_prev, store_next);
	DL_DELETE2(c->parts, h, all_prev, all_next);
	DL_APPEND2(c->parts, h, all_prev, all_next);
}

void prompt_cache_record(prompt_cache_t *c, prompt_store_t *s, const prompt_chain_t *chain,
			 deadline_t now)
{
	/* The first part is touched last: it is of no less use than those that need it. */
	for (unsigned i = chain->n; i-- > 0;) {
		uint32_t tokens = chain->links[i].tokens + (i + 1 == chain->n ? chain->out : 0);
		held_t *h = find_held(c, s, chain->links[i].chain);

		if (!h) {
			if (HASH_COUNT(c->by_key) >= c->parts_max)
				evict(c, c->parts);
			h = add_held(c, s, chain->links[i].chain);
		}
		s->cached += (int64_t)tokens - h->tokens;
		h->tokens = tokens;
		touch(c, h, now);
	}
	evict_excess(c, s);
	/* Two for each part at most, so that the cost of a call stays bounded. */
	for (unsigned i = 0; i < 2 * chain->n && c->parts; i++) {
		if (now - c->parts->used_at <= PROMPT_CACHE_AGE_MS)
			break;
		evict(c, c->parts);
	}
}

void prompt_cache_reserve(prompt_cache_t *c, prompt_store_t *s, int64_t tokens)
{
	s->reserved += tokens;
	assert(s->reserved >= 0);
	evict_excess(c, s);
}

uint32_t prompt_cache_held(const prompt_cache_t *c, const prompt_store_t *s,
			   const prompt_chain_t *chain, deadline_t now)
{
	uint32_t sum = 0;

	for (unsigned i = 0; s && s->parts && i < chain->n; i++) {
		const held_t *h = find_held(c, s, chain->links[i].chain);

		if (!h || now - h->used_at > PROMPT_CACHE_AGE_MS)
			break;
		if (h->tokens < chain->links[i].tokens)
			return sum + h->tokens;
		sum += chain->links[i].tokens;
	}
	return sum;
}

static bool contains(void *const *v, unsigned n, const void *p)
{
	for (unsigned i = 0; i < n; i++) {
		if (v[i] == p)
			return true;
	}
	return false;
}

unsigned prompt_cache_find(prompt_cache_t *c, const prompt_chain_t *chain, deadline_t now,
			   void **out, unsigned max)
{
	unsigned examined = 0;
	unsigned n = 0;

	for (unsigned i = chain->n; i-- > 0 && n < max && examined < EXAMINED_MAX;) {
		holders_t *of;
		held_t *last;
		held_t *h = NULL;

		HASH_FIND(hh, c->chains, &chain->links[i].chain, sizeof(uint64_t), of);
		if (!of)
			continue;
		last = of->holders->prev;
		while (h != last && n < max && examined++ < EXAMINED_MAX) {
			h = of->holders;
			/* Rotates the list, so that the next call finds others. */
			DL_DELETE(of->holders, h);
			DL_APPEND(of->holders, h);
			if (find_held(c, h->store, chain->links[0].chain) &&
			    !contains(out, n, h->store->data))
				out[n++] = h->store->data;
		}
	}
	return n;
}

size_t prompt_cache_parts(const prompt_cache_t *c)
{
	return HASH_COUNT(c->by_key);
}
