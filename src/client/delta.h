/**
 * Routes as a message between own processes: the change from the routes of one text to those of
 * another, deflated. Texts of thousands of routes change a few at a time, and a receiver needs no
 * parser of the text's format.
 */
#ifndef AUBURN_DELTA_H
#define AUBURN_DELTA_H

#include "proto/link_xdr.h"
#include "state/route_table.h"

/** Largest change, unpacked, in bytes: some 200,000 routes. */
#define DELTA_SIZE_MAX (32U << 20)

/** Appends the change that makes r of base, which may be NULL; *size: its bytes when unpacked. */
status_t delta_pack(const route_table_t *base, const route_table_t *r, buf_t *out, uint32_t *size);
/** Makes the routes that a change on base leads to; base may be NULL. STATUS_CORRUPT: not a change,
 * or one that leads to routes that can't be in force. */
status_t delta_unpack(str_t change, uint32_t size, const route_table_t *base, route_table_t **out);

#endif
