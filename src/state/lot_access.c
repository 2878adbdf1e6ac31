#include "state/lot_access.h"

static bool may_use(str_t owner, lot_access_t access)
{
	return access == LOT_ACCESS_ALL || owner.n == 0;
}

const lot_t *lot_access_find(const lots_t *l, str_t id, lot_access_t access)
{
	const lot_t *t = lots_find(l, id);

	if (t)
		return t;
	for (t = lots_find_namesakes(l, lot_id_given(id)); t; t = t->next_namesake) {
		if (may_use(lot_id_owner(str_c(t->id)), access))
			return t;
	}
	return NULL;
}

static bool has_items_of(const lot_t *t, const wire_lot_open_t *o)
{
	if (t->nitems != o->items.items_len || !str_eq(str_c(t->host), wire_str(o->host)))
		return false;
	for (uint32_t i = 0; i < t->nitems; i++) {
		const wire_lot_item_t *it = &o->items.items_val[i];

		if (!str_eq(str_c(t->items[i].id), wire_str(it->id)) ||
		    !str_eq(str_c(t->items[i].path), wire_str(it->path)))
			return false;
	}
	return true;
}

const lot_t *lot_access_find_opened(const lots_t *l, const wire_lot_open_t *o, lot_access_t access)
{
	const lot_t *t = lots_find(l, wire_str(o->lot));

	if (t)
		return t;
	for (t = lots_find_namesakes(l, lot_id_given(wire_str(o->lot))); t; t = t->next_namesake) {
		if (may_use(lot_id_owner(str_c(t->id)), access) && has_items_of(t, o))
			return t;
	}
	return NULL;
}

uint64_t lot_access_quota(const lots_t *l, str_t account, uint64_t quota, lot_access_t access)
{
	uint64_t others;

	if (quota == 0 || access == LOT_ACCESS_OWN)
		return quota;
	others = lots_waiting_tokens_of_all(l, lot_account_route(account)) -
		 lots_waiting_tokens(l, account);
	return others < quota ? quota - others : 1;
}
