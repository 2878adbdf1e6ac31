/** Reads the routes of a text, in the product's own format or in the platform's. */
#ifndef AUBURN_ROUTES_DECODE_H
#define AUBURN_ROUTES_DECODE_H

#include "state/route_table.h"

/** Checks the whole text. The version of a text in the own format is its number. STATUS_INVALID
 * says what is wrong. */
status_t routes_decode(str_t text, uint64_t number, route_table_t **out);

#endif
