/** Replies to callers that look up the addresses of entries. */
#ifndef AUBURN_DIRECTORY_H
#define AUBURN_DIRECTORY_H

#include "net/http_server.h"
#include "proto/link_xdr.h"

/** How long callers may cache the addresses, in ms. Some callers cache them three times as long; a
 * stopping entry serves for even longer. */
#define DIRECTORY_TTL_MS 2000

/** Maximum number of capacities that a process keeps; further ones count as unknown. */
#define DIRECTORY_CAPACITIES_MAX 4096

/** Replies to a look-up with the addresses of the view's entries, selected by their capacities (see
 * policy/entry_share.h). */
void directory_answer(http_conn_t *c, const http_request_t *r, const link_view_t *view,
		      const link_entry_capacities_t *capacities);

/** Finds the capacity of an entry, 0 if it is unknown. *hint: the index at which to look first; set
 * to the one after the entry found, as the lists mostly have the same order. */
unsigned directory_capacity(const link_entry_capacities_t *c, str_t addr, u_int *hint);
/** Replaces the capacities in force by a copy of m. */
void directory_set_capacities(link_entry_capacities_t *own, const link_entry_capacities_t *m);

#endif
