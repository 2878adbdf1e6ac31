/** Idempotency keys that are being worked on in this process. */
#ifndef AUBURN_RK_H
#define AUBURN_RK_H

#include <stdbool.h>
#include "base/str.h"

/** False if the key is held already. */
bool rk_hold(str_t caller, str_t key);
void rk_drop(str_t caller, str_t key);

#endif
