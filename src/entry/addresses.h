/** The addresses that callers may use. */
#ifndef AUBURN_ADDRESSES_H
#define AUBURN_ADDRESSES_H

#include "entry/httpd.h"

/** GET /v1/addresses */
int addresses_get(const struct _u_request *req, struct _u_response *res, void *en);
/** Appends the other entries' addresses, comma-separated, nearest zone first. */
void addresses_list_others(entry_ctx_t *en, buf_t *out);
/** How long an address answer may be kept. */
int64_t addresses_ttl_ms(entry_ctx_t *en);

#endif
