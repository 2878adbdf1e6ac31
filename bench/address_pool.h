/** The addresses that the load tool sends to: a fixed list, or the list that the entries answer to
 * GET /v1/addresses, requested again whenever it expires. */
#ifndef AUBURN_ADDRESS_POOL_H
#define AUBURN_ADDRESS_POOL_H

#include <stddef.h>
#include "base/status.h"

#define ADDRESS_BYTES 64

typedef struct address_pool address_pool_t;

/** `list` holds the addresses themselves, `sources` the entries to request them from; each is
 * ip:port,ip:port or NULL. With sources, a thread refreshes the pool, and an expired list stays in
 * use until a source answers. */
address_pool_t *address_pool_new(const char *list, const char *sources);
void address_pool_free(address_pool_t *a);
/** Copies the address that rnd selects; STATUS_UNAVAILABLE if the pool is empty. */
status_t address_pool_pick(address_pool_t *a, unsigned long rnd, char out[ADDRESS_BYTES]);

#endif
