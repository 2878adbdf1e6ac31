/** POST /internal/v1/run: another entry's attempt on a replica that this entry owns.
 *  POST /internal/v1/cancel: a job was cancelled; its items are stopped here. */
#ifndef AUBURN_IR_H
#define AUBURN_IR_H

#include "entry/hs.h"

int ir_cancel(const struct _u_request *req, struct _u_response *res, void *en);
/** Tells all other entries that a job was cancelled and waits for their answers, for a while. */
void ir_cancel_everywhere(en_t *en, str_t caller, str_t job);
int ir_post(const struct _u_request *req, struct _u_response *res, void *en);

#endif
