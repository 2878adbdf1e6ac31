/** Replies to callers that look up the addresses of entries. */
#ifndef AUBURN_DIRECTORY_H
#define AUBURN_DIRECTORY_H

#include "net/http_server.h"
#include "proto/link_xdr.h"

/** How long callers may cache the addresses, in ms. Some callers cache them three times as long; a
 * stopping entry serves for even longer. */
#define DIRECTORY_TTL_MS 2000

/** Replies to a look-up with the addresses of the view's entries. */
void directory_answer(http_conn_t *c, const http_request_t *r, const link_view_t *view);

#endif
