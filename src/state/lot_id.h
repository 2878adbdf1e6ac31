/** Ids of lots, and the accounts that lots are counted against: what tells owners apart. */
#ifndef AUBURN_LOT_ID_H
#define AUBURN_LOT_ID_H

#include "base/str.h"

/** Appends the id under which a lot is stored: each owner has ids of its own, so that no customer
 * can take the id of another's lot. owner: name of a customer; empty: the lot belongs to nobody. */
void lot_id_make(buf_t *out, str_t owner, str_t id);
/** Owner of the lot that is stored under this id; empty: none. */
str_t lot_id_owner(str_t id);
/** The id that the caller gave. */
str_t lot_id_given(str_t id);
/** Appends the owner to the route that a lot counts against: each customer has its own quota of
 * waiting tokens on a route. */
void lot_account_make(buf_t *route, str_t owner);
/** The route of an account. */
str_t lot_account_route(str_t account);

#endif
