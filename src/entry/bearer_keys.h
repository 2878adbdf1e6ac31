/** Bearer keys: whose they are, found without telling by its time how much of a key was right. */
#ifndef AUBURN_BEARER_KEYS_H
#define AUBURN_BEARER_KEYS_H

#include "entry/entry_settings.h"

typedef struct bearer_keys bearer_keys_t;

/** The identities must outlive it. */
bearer_keys_t *bearer_keys_new(const entry_identity_t *ids, size_t n);
bool bearer_keys_find(const bearer_keys_t *k, str_t key, str_t *name);

#endif
