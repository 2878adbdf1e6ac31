/**
 * How often items have failed, as an entry has reported it to leaders. A leader counts the failures
 * of an item only since it leads; a new one asks the entries what they have reported before, so
 * that an item is not tried again as often as it may fail with each leader.
 *
 * The expected load: a few items in a hundred fail, each at most ten times; leaders change a few
 * times an hour.
 *
 * Pure: time is an argument.
 */
#ifndef AUBURN_ITEM_FAILURES_H
#define AUBURN_ITEM_FAILURES_H

#include "base/clock.h"
#include "base/str.h"

/** Maximum number of items in a table; the one that failed first is dropped for another. */
#define ITEM_FAILURES_MAX 1024

typedef struct item_failures item_failures_t;

typedef struct {
	str_t lot;
	uint32_t item;
	uint32_t failures;
} item_failures_entry_t;

item_failures_t *item_failures_new(void);
void item_failures_free(item_failures_t *t);

/** Counts a failure that is reported on the current link. keep_until: the item is given up then. */
void item_failures_add(item_failures_t *t, str_t lot, uint32_t item, deadline_t keep_until);
/** Forgets an item that has a result. */
void item_failures_forget(item_failures_t *t, str_t lot, uint32_t item);
/** A new link begins: what was counted so far was reported on earlier ones. */
void item_failures_new_link(item_failures_t *t);
/** Writes the failures that were reported on earlier links, at most max items, and returns their
 * number. The views are valid until the next call. */
size_t item_failures_list(item_failures_t *t, deadline_t now, item_failures_entry_t *out,
			  size_t max);

#endif
