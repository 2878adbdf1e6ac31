/** Idempotency keys that are being worked on in this process. */
#ifndef AUBURN_INFLIGHT_H
#define AUBURN_INFLIGHT_H

#include <stdbool.h>
#include "base/str.h"

/** False if the key is held already. */
bool inflight_add(str_t caller, str_t key);
void inflight_remove(str_t caller, str_t key);

#endif
