/** Operators' HTTP API of the config: read the config in force, or the one with a given number;
 * submit a new one; check one without submitting it. */
#ifndef AUBURN_CONFIG_API_H
#define AUBURN_CONFIG_API_H

#include "entry/httpd.h"

int config_api_get(const struct _u_request *req, struct _u_response *res, void *en);
int config_api_put(const struct _u_request *req, struct _u_response *res, void *en);
int config_api_check(const struct _u_request *req, struct _u_response *res, void *en);

#endif
