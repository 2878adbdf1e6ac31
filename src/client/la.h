/** Answers callers that look for an entry, from the newest view. */
#ifndef AUBURN_LA_H
#define AUBURN_LA_H

#include "net/hl.h"
#include "proto/lw_xdr.h"

/** Callers keep the answer this long, in ms; some keep it three times as long, which is still less
 * than an entry that stops goes on serving. */
#define LA_KEEP_MS 2000

void la_answer(hl_conn_t *c, const hl_request_t *r, const lw_view_t *view);

#endif
