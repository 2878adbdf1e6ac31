/** The entries to call: a fixed list, or what the system answers, kept until that expires. */
#ifndef AUBURN_ADDRESS_POOL_H
#define AUBURN_ADDRESS_POOL_H

#include <stddef.h>
#include "base/status.h"

#define ADDRESS_BYTES 64

typedef struct address_pool address_pool_t;

/** One of list (comma between ip:port) and ask (the same, entries to ask) is given. */
address_pool_t *address_pool_new(const char *list, const char *ask);
void address_pool_free(address_pool_t *a);
/** Copies one of the addresses, chosen by rnd; STATUS_UNAVAILABLE when none is known. */
status_t address_pool_pick(address_pool_t *a, unsigned long rnd, char out[ADDRESS_BYTES]);

#endif
