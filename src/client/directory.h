/** Answers callers that look for an entry, from the newest view. */
#ifndef AUBURN_DIRECTORY_H
#define AUBURN_DIRECTORY_H

#include "net/http_server.h"
#include "proto/link_xdr.h"

/** Callers keep the answer this long, in ms; some keep it three times as long, which is still less
 * than an entry that stops goes on serving. */
#define DIRECTORY_TTL_MS 2000

void directory_answer(http_conn_t *c, const http_request_t *r, const link_view_t *view);

#endif
