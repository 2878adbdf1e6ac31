/* Set of replicas that announced that they leave. */
#include "policy/leaving.h"

#include <stdlib.h>
#include <uthash.h>

typedef struct {
	char *id;
	uint64_t start_time;
	UT_hash_handle hh;
} member_t;

struct leaving {
	member_t *members; /* hash by id; iterated in the order of adding */
};

leaving_t *leaving_new(void)
{
	return mem_new(sizeof(leaving_t));
}

static void remove_member(leaving_t *l, member_t *x)
{
	HASH_DEL(l->members, x);
	free(x->id);
	free(x);
}

void leaving_free(leaving_t *l)
{
	member_t *x;
	member_t *next;

	if (!l)
		return;
	HASH_ITER (hh, l->members, x, next) {
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): unlinked before free() */
		remove_member(l, x);
	}
	free(l);
}

static member_t *find_member(const leaving_t *l, str_t id)
{
	member_t *x;

	HASH_FIND(hh, l->members, id.p, id.n, x);
	return x;
}

bool leaving_add(leaving_t *l, replica_ref_t r)
{
	member_t *x = find_member(l, r.id);

	if (x) {
		bool newer = r.start_time > x->start_time;

		if (newer)
			x->start_time = r.start_time;
		return newer;
	}
	if (HASH_COUNT(l->members) >= LEAVING_MAX)
		remove_member(l, l->members);
	x = mem_new(sizeof(*x));
	x->id = str_dup(r.id);
	x->start_time = r.start_time;
	HASH_ADD_KEYPTR(hh, l->members, x->id, r.id.n, x);
	return true;
}

bool leaving_contains(leaving_t *l, replica_ref_t r)
{
	member_t *x = find_member(l, r.id);

	if (!x)
		return false;
	/* The start time was unknown when the announcement arrived. */
	if (x->start_time == 0)
		x->start_time = r.start_time;
	if (r.start_time <= x->start_time)
		return true;
	remove_member(l, x);
	return false;
}

size_t leaving_list(const leaving_t *l, replica_ref_t *out, size_t max)
{
	size_t n = 0;

	for (member_t *x = l->members; x && n < max; x = x->hh.next)
		out[n++] = (replica_ref_t){str_c(x->id), x->start_time};
	return n;
}
