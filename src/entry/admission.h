/** Admission control: a request rate per caller and a concurrency limit per service. */
#ifndef AUBURN_ADMISSION_H
#define AUBURN_ADMISSION_H

#include "entry/entry.h"

admission_t *admission_new(void);
/** Takes a token from the caller's bucket. If the bucket is empty, returns false and sets
 * *retry_after_ms. */
bool admission_take_rate(admission_t *a, str_t caller, const config_limit_t *limit,
			 int64_t *retry_after_ms);
/** Counts a running request of the service; returns false instead if this entry already runs its
 * share of `bound`, which is divided evenly among `entries`. A bound of 0 means no limit. */
bool admission_enter(admission_t *a, str_t service, int64_t bound, unsigned entries);
/** Ends a request counted by admission_enter. */
void admission_leave(admission_t *a, str_t service);

#endif
