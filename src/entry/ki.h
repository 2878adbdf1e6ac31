/** Bearer keys: whose they are, found without telling by its time how much of a key was right. */
#ifndef AUBURN_KI_H
#define AUBURN_KI_H

#include "entry/en_settings.h"

typedef struct ki ki_t;

/** The identities must outlive it. */
ki_t *ki_new(const en_identity_t *ids, size_t n);
bool ki_find(const ki_t *k, str_t key, str_t *name);

#endif
