/** Decodes the routes of an operators' config, in auburnwing's own format or in the platform's. */
#ifndef AUBURN_ROUTES_DECODE_H
#define AUBURN_ROUTES_DECODE_H

#include "state/route_table.h"

/** Decodes and checks a whole config. In the own format its number serves as the version.
 * STATUS_INVALID: the status message names the error. */
status_t routes_decode(str_t text, uint64_t number, route_table_t **out);

#endif
