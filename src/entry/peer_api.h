/** POST /internal/v1/run: another entry's attempt on a replica that this entry owns.
 *  POST /internal/v1/cancel: a job was cancelled; its items are stopped here. */
#ifndef AUBURN_PEER_API_H
#define AUBURN_PEER_API_H

#include "entry/httpd.h"

int peer_api_cancel(const struct _u_request *req, struct _u_response *res, void *en);
/** Tells all other entries that a job was cancelled and waits for their answers, for a while. */
void peer_api_broadcast_cancel(entry_ctx_t *en, str_t caller, str_t job);
int peer_api_run(const struct _u_request *req, struct _u_response *res, void *en);

#endif
