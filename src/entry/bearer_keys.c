#include "entry/bearer_keys.h"

#include <assert.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/* Keys are hashed with a random secret of the process, then compared in constant time, so that
 * response times reveal nothing about them. */
typedef struct {
	unsigned char hash[crypto_shorthash_BYTES];
	const entry_identity_t *id;
	UT_hash_handle hh;
} key_entry_t;

struct bearer_keys {
	unsigned char secret[crypto_shorthash_KEYBYTES];
	key_entry_t *entries;
};

static void hash_key(const bearer_keys_t *k, str_t key, unsigned char out[crypto_shorthash_BYTES])
{
	crypto_shorthash(out, (const unsigned char *)key.p, key.n, k->secret);
}

bearer_keys_t *bearer_keys_new(const entry_identity_t *ids, size_t n)
{
	bearer_keys_t *k = mem_new(sizeof(*k));

	crypto_shorthash_keygen(k->secret);
	for (size_t i = 0; i < n; i++) {
		key_entry_t *e = mem_new(sizeof(*e));

		hash_key(k, str_c(ids[i].key), e->hash);
		e->id = &ids[i];
		HASH_ADD(hh, k->entries, hash, sizeof(e->hash), e);
	}
	return k;
}

bool bearer_keys_find(const bearer_keys_t *k, str_t key, str_t *name)
{
	unsigned char hash[crypto_shorthash_BYTES];
	key_entry_t *e;

	hash_key(k, key, hash);
	HASH_FIND(hh, k->entries, hash, sizeof(hash), e);
	if (!e || !str_eq_secret(str_c(e->id->key), key))
		return false;
	*name = str_c(e->id->name);
	return true;
}
