/** Look-up of a caller or operator by bearer key, in a time that does not depend on how much of the
 * key is right. */
#ifndef AUBURN_BEARER_KEYS_H
#define AUBURN_BEARER_KEYS_H

#include "entry/entry_settings.h"

typedef struct bearer_keys bearer_keys_t;

/** `ids` must outlive the table. */
bearer_keys_t *bearer_keys_new(const entry_identity_t *ids, size_t n);
/** Sets *name to the caller or operator whose key this is; returns false if the key is unknown. */
bool bearer_keys_find(const bearer_keys_t *k, str_t key, str_t *name);

#endif
