#include "policy/lv.h"

#include <stdlib.h>
#include <uthash.h>

typedef struct {
	char *id;
	uint64_t born;
	UT_hash_handle hh;
} leaver_t;

struct lv {
	leaver_t *leavers; /* oldest first */
};

lv_t *lv_new(void)
{
	return mem_new(sizeof(lv_t));
}

static void forget(lv_t *l, leaver_t *x)
{
	HASH_DEL(l->leavers, x);
	free(x->id);
	free(x);
}

void lv_free(lv_t *l)
{
	leaver_t *x;
	leaver_t *next;

	if (!l)
		return;
	HASH_ITER (hh, l->leavers, x, next) {
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): what is freed was unlinked */
		forget(l, x);
	}
	free(l);
}

static leaver_t *find(const lv_t *l, str_t id)
{
	leaver_t *x;

	HASH_FIND(hh, l->leavers, id.p, id.n, x);
	return x;
}

bool lv_note(lv_t *l, lv_replica_t r)
{
	leaver_t *x = find(l, r.id);

	if (x) {
		bool newer = r.born > x->born;

		if (newer)
			x->born = r.born;
		return newer;
	}
	if (HASH_COUNT(l->leavers) >= LV_MAX)
		forget(l, l->leavers);
	x = mem_new(sizeof(*x));
	x->id = str_dup(r.id);
	x->born = r.born;
	HASH_ADD_KEYPTR(hh, l->leavers, x->id, r.id.n, x);
	return true;
}

bool lv_leaves(lv_t *l, lv_replica_t r)
{
	leaver_t *x = find(l, r.id);

	if (!x)
		return false;
	if (x->born == 0)
		x->born = r.born;
	if (r.born <= x->born)
		return true;
	forget(l, x);
	return false;
}

size_t lv_all(const lv_t *l, lv_replica_t *out, size_t max)
{
	size_t n = 0;

	for (leaver_t *x = l->leavers; x && n < max; x = x->hh.next)
		out[n++] = (lv_replica_t){str_c(x->id), x->born};
	return n;
}
