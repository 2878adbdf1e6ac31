#include <stdlib.h>
#include <string.h>
#include "entry/upstream_internal.h"

static int compare_hashes(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

void upstream_set_prefixes(upstream_t *u, const uint64_t *hashes, size_t n)
{
	uint64_t *copy = mem_new(n * sizeof(*copy));

	if (n)
		memcpy(copy, hashes, n * sizeof(*copy));
	qsort(copy, n, sizeof(*copy), compare_hashes);
	pthread_mutex_lock(&u->lock);
	free(u->prefixes);
	u->prefixes = copy;
	u->nprefixes = n;
	pthread_mutex_unlock(&u->lock);
}

static size_t find_position(const upstream_t *u, uint64_t hash)
{
	size_t i = 0;

	while (i < u->nprefixes && u->prefixes[i] < hash)
		i++;
	return i;
}

void upstream_update_prefix(upstream_t *u, uint64_t hash, bool added)
{
	size_t i;
	bool known;

	pthread_mutex_lock(&u->lock);
	i = find_position(u, hash);
	known = i < u->nprefixes && u->prefixes[i] == hash;
	if (added && !known) {
		u->prefixes = mem_grow(u->prefixes, (u->nprefixes + 1) * sizeof(hash));
		memmove(u->prefixes + i + 1, u->prefixes + i, (u->nprefixes - i) * sizeof(hash));
		u->prefixes[i] = hash;
		u->nprefixes++;
	} else if (!added && known) {
		u->nprefixes--;
		memmove(u->prefixes + i, u->prefixes + i + 1, (u->nprefixes - i) * sizeof(hash));
	}
	pthread_mutex_unlock(&u->lock);
}

void upstream_clear_prefixes(upstream_t *u)
{
	upstream_set_prefixes(u, NULL, 0);
}

size_t upstream_copy_prefixes(upstream_t *u, uint64_t **out)
{
	size_t n;

	pthread_mutex_lock(&u->lock);
	n = u->nprefixes;
	*out = mem_new(n * sizeof(**out));
	if (n)
		memcpy(*out, u->prefixes, n * sizeof(**out));
	pthread_mutex_unlock(&u->lock);
	return n;
}
