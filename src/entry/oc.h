/** Operators' calls: the text and its numbers. */
#ifndef AUBURN_OC_H
#define AUBURN_OC_H

#include "entry/hs.h"

int oc_get(const struct _u_request *req, struct _u_response *res, void *en);
int oc_put(const struct _u_request *req, struct _u_response *res, void *en);
int oc_check(const struct _u_request *req, struct _u_response *res, void *en);

#endif
