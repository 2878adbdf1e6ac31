/** Admission: a rate for each caller, a concurrency for each service. */
#ifndef AUBURN_AD_H
#define AUBURN_AD_H

#include "entry/en.h"

ad_t *ad_new(void);
/** Takes one request of the caller's rate; false and a wait if there is none. */
bool ad_rate(ad_t *a, str_t caller, const tx_limit_t *limit, int64_t *retry_after_ms);
/** Counts a request of the service; false if this entry's share of `bound` is used up. 0 is no
 *  bound. */
bool ad_enter(ad_t *a, str_t service, int64_t bound, unsigned entries);
void ad_leave(ad_t *a, str_t service);

#endif
