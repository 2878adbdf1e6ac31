/** Answers callers that look for an entry, from the newest view. */
#ifndef AUBURN_LA_H
#define AUBURN_LA_H

#include "net/hl.h"
#include "proto/lw_xdr.h"

/** Callers keep the answer this long, in ms: the longest that the platform lets count. A caller
 * then seldom meets a directory that has just gone dark; an entry that stops serves on for longer.
 */
#define LA_KEEP_MS 5000

void la_answer(hl_conn_t *c, const hl_request_t *r, const lw_view_t *view);

#endif
