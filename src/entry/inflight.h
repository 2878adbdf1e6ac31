/** Table of the idempotency keys, by caller, of the requests that run in this process, so that none
 * runs twice at the same time here. */
#ifndef AUBURN_INFLIGHT_H
#define AUBURN_INFLIGHT_H

#include <stdbool.h>
#include "base/str.h"

/** Adds a key; false if it is already there. */
bool inflight_add(str_t caller, str_t key);
/** Removes a key, which must be there. */
void inflight_remove(str_t caller, str_t key);

#endif
