/** Admission: a rate for each caller, a concurrency for each service. */
#ifndef AUBURN_ADMISSION_H
#define AUBURN_ADMISSION_H

#include "entry/entry.h"

admission_t *admission_new(void);
/** Takes one request of the caller's rate; false and a wait if there is none. */
bool admission_take_rate(admission_t *a, str_t caller, const config_limit_t *limit,
			 int64_t *retry_after_ms);
/** Counts a request of the service; false if this entry's share of `bound` is used up. 0 is no
 *  bound. */
bool admission_enter(admission_t *a, str_t service, int64_t bound, unsigned entries);
void admission_leave(admission_t *a, str_t service);

#endif
