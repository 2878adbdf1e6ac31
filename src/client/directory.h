/** Replies to callers that look up the addresses of entries. */
#ifndef AUBURN_DIRECTORY_H
#define AUBURN_DIRECTORY_H

#include "net/http_server.h"
#include "proto/link_xdr.h"

/** How long callers may cache the addresses, in ms. Some cache them three times as long, which is
 * still less than the time that a stopping entry continues to serve. */
#define DIRECTORY_TTL_MS 2000

/** Replies with the entries of a view. */
void directory_answer(http_conn_t *c, const http_request_t *r, const link_view_t *view);

#endif
