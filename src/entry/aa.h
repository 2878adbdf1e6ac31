/** The addresses that callers may use. */
#ifndef AUBURN_AA_H
#define AUBURN_AA_H

#include "entry/hs.h"

/** GET /v1/addresses */
int aa_get(const struct _u_request *req, struct _u_response *res, void *en);
/** Appends the other entries' addresses, comma-separated, nearest zone first. */
void aa_header(en_t *en, buf_t *out);
/** How long an address answer may be kept. */
int64_t aa_ttl_ms(en_t *en);

#endif
