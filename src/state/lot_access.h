/**
 * Which lots a caller may use.
 *
 * A lot belongs to the customer whose key opened it, or to nobody if it was opened without one. The
 * config may get its first customers, or lose all, while lots are kept, and their callers must find
 * them all the same:
 * - a customer may use its own lots and those of nobody, which anyone may use who knows the id;
 * - without customers in the config callers can't be told apart, and all of them may use all lots.
 *
 * Pure. Not thread-safe.
 */
#ifndef AUBURN_LOT_ACCESS_H
#define AUBURN_LOT_ACCESS_H

#include "state/lots.h"

typedef enum {
	LOT_ACCESS_OWN, /* the config has customers */
	LOT_ACCESS_ALL /* it has none */
} lot_access_t;

/** Returns the lot that a call means, or NULL: the caller's own, else the oldest one with its id
 * that the caller may use. id: as lot_id_make makes it for the caller. */
const lot_t *lot_access_find(const lots_t *l, str_t id, lot_access_t access);
/** Returns the lot that an opening means, or NULL if it is a new one. A lot of another owner is the
 * same one if it has the same items. */
const lot_t *lot_access_find_opened(const lots_t *l, const wire_lot_open_t *o, lot_access_t access);
/** Returns what is left of a route's quota of waiting tokens for the lots of one account, together
 * with those that wait already. Without customers in the config, lots of all owners share it.
 * quota: 0 if there is none, and so is the result; otherwise that is at least 1. */
uint64_t lot_access_quota(const lots_t *l, str_t account, uint64_t quota, lot_access_t access);

#endif
