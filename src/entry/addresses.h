/** Addresses of entries for callers: the endpoint, and the list that an entry sends when it refuses
 * a request. */
#ifndef AUBURN_ADDRESSES_H
#define AUBURN_ADDRESSES_H

#include "entry/httpd.h"

/** Handles GET /v1/addresses: entries that are not draining, first those of the zone in the query,
 * by default of this entry's zone. */
int addresses_get(const struct _u_request *req, struct _u_response *res, void *en);
/** Appends "addr, addr, ..." of the other entries that are not draining, own zone first. */
void addresses_list_others(entry_ctx_t *en, buf_t *out);
/** Time for which a caller may cache addresses: from the config, else from the settings. */
int64_t addresses_ttl_ms(entry_ctx_t *en);

#endif
