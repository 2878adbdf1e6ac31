/** Encoding of the list of poison requests in messages on links. */
#ifndef AUBURN_POISON_LIST_H
#define AUBURN_POISON_LIST_H

#include "policy/poison.h"
#include "proto/link_xdr.h"

/** Maximum number of requests in a message. */
#define POISON_LIST_MAX 512

/** Encodes n requests, at most POISON_LIST_MAX, into a message; its list is valid until the next
 * call. */
void poison_list_encode(const poison_state_t *v, size_t n, deadline_t now, link_poisons_t *out);
/** Decodes at most POISON_LIST_MAX requests; returns their number. */
size_t poison_list_decode(const link_poisons_t *m, deadline_t now, poison_state_t *out);

#endif
