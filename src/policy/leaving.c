#include "policy/leaving.h"

#include <stdlib.h>
#include <uthash.h>

typedef struct {
	char *id;
	uint64_t start_time;
	UT_hash_handle hh;
} leaver_t;

struct lv {
	leaver_t *leaving_replicas; /* oldest first */
};

leaving_t *leaving_new(void)
{
	return mem_new(sizeof(leaving_t));
}

static void forget(leaving_t *l, leaver_t *x)
{
	HASH_DEL(l->leaving_replicas, x);
	free(x->id);
	free(x);
}

void leaving_free(leaving_t *l)
{
	leaver_t *x;
	leaver_t *next;

	if (!l)
		return;
	HASH_ITER (hh, l->leaving_replicas, x, next) {
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): what is freed was unlinked */
		forget(l, x);
	}
	free(l);
}

static leaver_t *find(const leaving_t *l, str_t id)
{
	leaver_t *x;

	HASH_FIND(hh, l->leaving_replicas, id.p, id.n, x);
	return x;
}

bool leaving_add(leaving_t *l, leaving_replica_t r)
{
	leaver_t *x = find(l, r.id);

	if (x) {
		bool newer = r.start_time > x->start_time;

		if (newer)
			x->start_time = r.start_time;
		return newer;
	}
	if (HASH_COUNT(l->leaving_replicas) >= LEAVING_MAX)
		forget(l, l->leaving_replicas);
	x = mem_new(sizeof(*x));
	x->id = str_dup(r.id);
	x->start_time = r.start_time;
	HASH_ADD_KEYPTR(hh, l->leaving_replicas, x->id, r.id.n, x);
	return true;
}

bool leaving_check(leaving_t *l, leaving_replica_t r)
{
	leaver_t *x = find(l, r.id);

	if (!x)
		return false;
	if (x->start_time == 0)
		x->start_time = r.start_time;
	if (r.start_time <= x->start_time)
		return true;
	forget(l, x);
	return false;
}

size_t leaving_list(const leaving_t *l, leaving_replica_t *out, size_t max)
{
	size_t n = 0;

	for (leaver_t *x = l->leaving_replicas; x && n < max; x = x->hh.next)
		out[n++] = (leaving_replica_t){str_c(x->id), x->start_time};
	return n;
}
