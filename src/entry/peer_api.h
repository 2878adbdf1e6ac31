/** HTTP API between entries. */
#ifndef AUBURN_PEER_API_H
#define AUBURN_PEER_API_H

#include "entry/httpd.h"

/** Handles POST /internal/v1/cancel: cancels the items of a cancelled job in this entry. */
int peer_api_cancel(const struct _u_request *req, struct _u_response *res, void *en);
/** Cancels the items of a cancelled job in all entries of the view, this one included. Waits at
 * most 1 s for the answers of the others. */
void peer_api_broadcast_cancel(entry_ctx_t *en, str_t caller, str_t job);
/** Handles POST /internal/v1/run: runs another entry's attempt on a replica that this entry
 * owns. */
int peer_api_run(const struct _u_request *req, struct _u_response *res, void *en);

#endif
