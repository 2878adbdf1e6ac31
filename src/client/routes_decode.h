/** Decodes the routes of an operators' config, which is in auburnwing's own format (TOML) or in the
 * platform's (JSON). */
#ifndef AUBURN_ROUTES_DECODE_H
#define AUBURN_ROUTES_DECODE_H

#include "state/route_table.h"

/** Decodes and checks a whole config. number: the version for a config in auburnwing's own format;
 * the platform's format contains a version. STATUS_INVALID: status_message names the error. */
status_t routes_decode(str_t text, uint64_t number, route_table_t **out);

#endif
