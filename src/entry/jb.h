/** Callers' calls on batch jobs and stored requests. */
#ifndef AUBURN_JB_H
#define AUBURN_JB_H

#include "entry/hs.h"

int jb_post(const struct _u_request *req, struct _u_response *res, void *en);
int jb_list(const struct _u_request *req, struct _u_response *res, void *en);
int jb_get(const struct _u_request *req, struct _u_response *res, void *en);
int jb_results(const struct _u_request *req, struct _u_response *res, void *en);
int jb_delete(const struct _u_request *req, struct _u_response *res, void *en);
/** GET /v1/requests/{key} */
int jb_request(const struct _u_request *req, struct _u_response *res, void *en);

#endif
