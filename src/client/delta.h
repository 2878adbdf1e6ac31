/**
 * Route deltas: the compressed difference between the route tables of two configs, as the leader
 * sends it to entries. A config has thousands of routes, of which few change at a time, and the
 * receiver needs no parser of the config's format.
 */
#ifndef AUBURN_DELTA_H
#define AUBURN_DELTA_H

#include "proto/link_xdr.h"
#include "state/route_table.h"

/** Maximum size of a delta before compression, in bytes: some 200,000 routes. */
#define DELTA_SIZE_MAX (32U << 20)

/** Appends to out the compressed delta that turns base (NULL: an empty table) into r. *size: bytes
 * of the delta before compression. */
status_t delta_pack(const route_table_t *base, const route_table_t *r, buf_t *out, uint32_t *size);
/** Applies a delta to a copy of base (NULL: an empty table). size: as set by delta_pack.
 * STATUS_CORRUPT: the delta is malformed, or the resulting route table is invalid. */
status_t delta_unpack(str_t delta, uint32_t size, const route_table_t *base, route_table_t **out);

#endif
