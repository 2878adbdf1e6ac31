/** Callers' HTTP API of batch jobs and of stored requests. */
#ifndef AUBURN_JOB_API_H
#define AUBURN_JOB_API_H

#include "entry/httpd.h"

int job_api_submit(const struct _u_request *req, struct _u_response *res, void *en);
int job_api_list(const struct _u_request *req, struct _u_response *res, void *en);
int job_api_get(const struct _u_request *req, struct _u_response *res, void *en);
int job_api_results(const struct _u_request *req, struct _u_response *res, void *en);
int job_api_cancel(const struct _u_request *req, struct _u_response *res, void *en);
/** Handles GET /v1/requests/{key}. */
int job_api_get_request(const struct _u_request *req, struct _u_response *res, void *en);

#endif
