/* Set of replicas that announced that they leave. */
#include "policy/leaving.h"

#include <stdlib.h>
#include <uthash.h>

typedef struct {
	char *id;
	uint64_t start_time;
	deadline_t added_at; /* with this start time */
	deadline_t asked_at;
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
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): unlinked before free() */
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

bool leaving_add(leaving_t *l, replica_ref_t r, deadline_t now)
{
	member_t *x = find_member(l, r.id);

	if (x && r.start_time <= x->start_time)
		return false;
	if (x)
		remove_member(l, x);
	else if (HASH_COUNT(l->members) >= LEAVING_MAX)
		remove_member(l, l->members);
	x = mem_new(sizeof(*x));
	x->id = str_dup(r.id);
	x->start_time = r.start_time;
	x->added_at = x->asked_at = now;
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): the freed element was unlinked */
	HASH_ADD_KEYPTR(hh, l->members, x->id, r.id.n, x);
	return true;
}

bool leaving_contains(leaving_t *l, replica_ref_t r, deadline_t now)
{
	member_t *x = find_member(l, r.id);

	if (!x)
		return false;
	/* The start time was unknown when the announcement arrived. */
	if (x->start_time == 0)
		x->start_time = r.start_time;
	x->asked_at = now;
	if (r.start_time <= x->start_time)
		return true;
	remove_member(l, x);
	return false;
}

void leaving_forget(leaving_t *l, deadline_t before)
{
	member_t *x;
	member_t *next;

	HASH_ITER (hh, l->members, x, next) {
		if (x->asked_at < before)
			remove_member(l, x);
	}
}

size_t leaving_list(const leaving_t *l, deadline_t since, replica_ref_t *out, size_t max)
{
	size_t listed = 0;
	size_t n = 0;

	for (const member_t *x = l->members; x; x = x->hh.next)
		listed += x->added_at >= since;
	for (const member_t *x = l->members; x; x = x->hh.next) {
		if (x->added_at < since || listed-- > max)
			continue;
		out[n++] = (replica_ref_t){str_c(x->id), x->start_time};
	}
	return n;
}
