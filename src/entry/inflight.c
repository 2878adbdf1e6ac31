#include "entry/inflight.h"

#include <assert.h>
#include <pthread.h>
#include <stdlib.h>
#include <uthash.h>

typedef struct {
	char *name;
	UT_hash_handle hh;
} inflight_key_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static inflight_key_t *keys;

/* The map key is the caller, a NUL byte and the idempotency key. */
static void write_map_key(buf_t *b, str_t caller, str_t key)
{
	buf_add(b, caller);
	buf_addc(b, 0);
	buf_add(b, key);
}

bool inflight_add(str_t caller, str_t key)
{
	AUTO_BUF name = {0};
	inflight_key_t *h;
	bool ok;

	write_map_key(&name, caller, key);
	pthread_mutex_lock(&lock);
	HASH_FIND(hh, keys, name.p, name.n, h);
	ok = h == NULL;
	if (ok) {
		h = mem_new(sizeof(*h));
		h->name = str_dup(str_buf(&name));
		HASH_ADD_KEYPTR(hh, keys, h->name, name.n, h);
	}
	pthread_mutex_unlock(&lock);
	return ok;
}

void inflight_remove(str_t caller, str_t key)
{
	AUTO_BUF name = {0};
	inflight_key_t *h;

	write_map_key(&name, caller, key);
	pthread_mutex_lock(&lock);
	HASH_FIND(hh, keys, name.p, name.n, h);
	assert(h);
	HASH_DEL(keys, h);
	pthread_mutex_unlock(&lock);
	free(h->name);
	free(h);
}
