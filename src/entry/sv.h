/** What a process says about itself: status, events, metrics, health. */
#ifndef AUBURN_SV_H
#define AUBURN_SV_H

#include "entry/hs.h"

int sv_status(const struct _u_request *req, struct _u_response *res, void *en);
int sv_events(const struct _u_request *req, struct _u_response *res, void *en);
int sv_metrics(const struct _u_request *req, struct _u_response *res, void *en);
int sv_healthz(const struct _u_request *req, struct _u_response *res, void *en);
int sv_readyz(const struct _u_request *req, struct _u_response *res, void *en);

#endif
