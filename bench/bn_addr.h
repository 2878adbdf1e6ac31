/** The entries to call: a fixed list, or what the system answers, kept until that expires. */
#ifndef AUBURN_BN_ADDR_H
#define AUBURN_BN_ADDR_H

#include <stddef.h>
#include "base/status.h"

#define BN_ADDR_BYTES 64

typedef struct bn_addr bn_addr_t;

/** One of list (comma between ip:port) and ask (the same, entries to ask) is given. */
bn_addr_t *bn_addr_new(const char *list, const char *ask);
void bn_addr_free(bn_addr_t *a);
/** Copies one of the addresses, chosen by rnd; STATUS_UNAVAILABLE when none is known. */
status_t bn_addr_pick(bn_addr_t *a, unsigned long rnd, char out[BN_ADDR_BYTES]);

#endif
