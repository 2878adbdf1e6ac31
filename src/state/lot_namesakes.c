#include "state/lot_namesakes.h"

#include <assert.h>
#include <stdlib.h>
#include <utlist.h>

struct lot_namesakes {
	char *id;
	lot_t *lots; /* linked by next_namesake */
	UT_hash_handle hh;
};

static lot_namesakes_t *find(const lot_namesakes_t *table, str_t id)
{
	lot_namesakes_t *n;

	HASH_FIND(hh, table, id.p, id.n, n);
	return n;
}

void lot_namesakes_add(lot_namesakes_t **table, lot_t *lot)
{
	str_t id = lot_id_given(str_c(lot->id));
	lot_namesakes_t *n = find(*table, id);

	if (!n) {
		n = mem_new(sizeof(*n));
		n->id = str_dup(id);
		HASH_ADD_KEYPTR(hh, *table, n->id, id.n, n);
	}
	LL_APPEND2(n->lots, lot, next_namesake);
}

void lot_namesakes_remove(lot_namesakes_t **table, lot_t *lot)
{
	lot_namesakes_t *n = find(*table, lot_id_given(str_c(lot->id)));

	assert(n);
	LL_DELETE2(n->lots, lot, next_namesake);
	if (n->lots)
		return;
	HASH_DEL(*table, n);
	free(n->id);
	free(n);
}

lot_t *lot_namesakes_find(const lot_namesakes_t *table, str_t id)
{
	lot_namesakes_t *n = find(table, id);

	return n ? n->lots : NULL;
}
