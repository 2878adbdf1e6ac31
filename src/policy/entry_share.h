/**
 * Selects the entries that a look-up answer names, so that callers, who pick one of them at random,
 * load each entry in proportion to its capacity.
 *
 * Relative to the largest capacity, an entry with share p is named for p of the zones: for its own
 * first, then for others in an order given by a hash of the entry and the zone. The fraction of a
 * zone that is left over is rounded by a hash of the entry. So the choice depends only on the
 * entry, the zone, the list of zones and the largest capacity; another entry that joins or leaves
 * changes nothing else, and callers keep their connections.
 *
 * Pure.
 */
#ifndef AUBURN_ENTRY_SHARE_H
#define AUBURN_ENTRY_SHARE_H

#include <stddef.h>
#include "base/str.h"

/** An answer has at least this many entries if there are as many. */
#define ENTRY_SHARE_MIN 8

typedef struct {
	str_t addr;
	str_t zone;
	unsigned capacity; /* thousandths; 0: unknown */
} entry_share_entry_t;

typedef struct {
	const entry_share_entry_t *entries;
	size_t n;
	str_t zone; /* of the caller; empty: not given */
	size_t max; /* number of entries in an answer; at least ENTRY_SHARE_MIN */
} entry_share_options_t;

/** Writes the addresses of the selected entries, in the order of the list, to out, which has room
 * for max; returns their number. Capacities that are all equal, or one that is unknown: the first
 * max entries. If more than max would be named, a hash selects max of them. */
size_t entry_share_select(const entry_share_options_t *o, str_t *out);

#endif
