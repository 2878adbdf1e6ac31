/** HTTP endpoints for operation: status, events, metrics, health. */
#ifndef AUBURN_STATUS_API_H
#define AUBURN_STATUS_API_H

#include "entry/httpd.h"

int status_api_status(const struct _u_request *req, struct _u_response *res, void *en);
int status_api_events(const struct _u_request *req, struct _u_response *res, void *en);
int status_api_metrics(const struct _u_request *req, struct _u_response *res, void *en);
int status_api_healthz(const struct _u_request *req, struct _u_response *res, void *en);
int status_api_readyz(const struct _u_request *req, struct _u_response *res, void *en);

#endif
