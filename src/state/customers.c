/* Customers, indexed by the hashes of their API keys and by name. */
#include "state/customers.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

typedef struct {
	/* Hash of the key's hash with a random secret of this table: a caller cannot learn the
	 * stored hashes from the time that a look-up takes. */
	unsigned char slot[crypto_shorthash_BYTES];
	customer_key_t key;
	size_t customer;
	UT_hash_handle hh;
} key_node_t;

typedef struct {
	char *name;
	size_t customer;
	UT_hash_handle hh;
} name_node_t;

struct customers {
	customer_t *v;
	size_t n;
	size_t cap;
	unsigned char secret[crypto_shorthash_KEYBYTES];
	key_node_t *by_key;
	name_node_t *by_name;
};

customer_key_t customer_key_hash(str_t key)
{
	static const unsigned char domain[] = "auburnwing API key";
	customer_key_t h;

	crypto_generichash(h.bytes, sizeof(h.bytes), (const unsigned char *)key.p, key.n, domain,
			   sizeof(domain));
	return h;
}

void customer_free_contents(customer_t *c)
{
	free(c->name);
	free(c->keys);
	*c = (customer_t){0};
}

void customer_copy(customer_t *to, const customer_t *from)
{
	*to = *from;
	to->name = str_dup(str_c(from->name));
	to->keys = mem_new((from->nkeys + 1) * sizeof(*to->keys));
	memcpy(to->keys, from->keys, from->nkeys * sizeof(*to->keys));
}

bool customer_eq(const customer_t *a, const customer_t *b)
{
	return strcmp(a->name, b->name) == 0 && a->nkeys == b->nkeys &&
	       memcmp(a->keys, b->keys, a->nkeys * sizeof(*a->keys)) == 0 &&
	       a->rate_per_s == b->rate_per_s && a->burst == b->burst && a->priority == b->priority;
}

customers_t *customers_new(void)
{
	customers_t *t = mem_new(sizeof(*t));

	crypto_shorthash_keygen(t->secret);
	return t;
}

void customers_free(customers_t *t)
{
	key_node_t *k;
	name_node_t *n;

	if (!t)
		return;
	while ((k = t->by_key)) {
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): unlinked before free() */
		HASH_DEL(t->by_key, k);
		free(k);
	}
	while ((n = t->by_name)) {
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): unlinked before free() */
		HASH_DEL(t->by_name, n);
		free(n);
	}
	for (size_t i = 0; i < t->n; i++)
		customer_free_contents(&t->v[i]);
	free(t->v);
	free(t);
}

static const key_node_t *find_key(const customers_t *t, const customer_key_t *key)
{
	unsigned char slot[crypto_shorthash_BYTES];
	key_node_t *node;

	crypto_shorthash(slot, key->bytes, sizeof(key->bytes), t->secret);
	HASH_FIND(hh, t->by_key, slot, sizeof(slot), node);
	if (!node || sodium_memcmp(node->key.bytes, key->bytes, sizeof(key->bytes)) != 0)
		return NULL;
	return node;
}

static const name_node_t *find_name(const customers_t *t, str_t name)
{
	name_node_t *node;

	HASH_FIND(hh, t->by_name, name.p, name.n, node);
	return node;
}

const customer_t *customers_by_key(const customers_t *t, const customer_key_t *key)
{
	const key_node_t *node = find_key(t, key);

	return node ? &t->v[node->customer] : NULL;
}

const customer_t *customers_by_name(const customers_t *t, str_t name)
{
	const name_node_t *node = find_name(t, name);

	return node ? &t->v[node->customer] : NULL;
}

size_t customers_count(const customers_t *t)
{
	return t->n;
}

const customer_t *customers_at(const customers_t *t, size_t i)
{
	return &t->v[i];
}

/* The name is sent as a header and is part of the ids of lots, so it has only printable ASCII
 * characters without spaces. */
static bool is_plain_name(str_t name)
{
	for (size_t i = 0; i < name.n; i++) {
		if (name.p[i] <= ' ' || name.p[i] > '~')
			return false;
	}
	return name.n > 0 && name.n <= CUSTOMER_NAME_BYTES_MAX;
}

static status_t check_customer(const customers_t *t, const customer_t *c)
{
	if (!is_plain_name(str_c(c->name)))
		return status_fail(STATUS_INVALID,
				   "customer %zu: the name is empty, longer than %d bytes or has a "
				   "character other than printable ASCII",
				   t->n + 1, CUSTOMER_NAME_BYTES_MAX);
	if (find_name(t, str_c(c->name)))
		return status_fail(STATUS_INVALID, "customer \"%s\": the name stands twice",
				   c->name);
	if (c->rate_per_s < 0 || c->burst < 0)
		return status_fail(STATUS_INVALID, "customer \"%s\": rate or burst is negative",
				   c->name);
	for (size_t i = 0; i < c->nkeys; i++) {
		const key_node_t *other = find_key(t, &c->keys[i]);

		if (other)
			return status_fail(STATUS_INVALID,
					   "customers \"%s\" and \"%s\" share a key",
					   t->v[other->customer].name, c->name);
	}
	return STATUS_OK;
}

static void index_keys(customers_t *t, size_t i)
{
	for (size_t k = 0; k < t->v[i].nkeys; k++) {
		const customer_key_t *key = &t->v[i].keys[k];
		key_node_t *node;

		if (find_key(t, key))
			continue; /* the customer lists the key twice */
		node = mem_new(sizeof(*node));
		node->key = *key;
		node->customer = i;
		crypto_shorthash(node->slot, key->bytes, sizeof(key->bytes), t->secret);
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): unlinked before free() */
		HASH_ADD(hh, t->by_key, slot, sizeof(node->slot), node);
	}
}

status_t customers_add(customers_t *t, customer_t *c)
{
	status_t st = check_customer(t, c);
	name_node_t *node;

	if (st != STATUS_OK) {
		customer_free_contents(c);
		return st;
	}
	if (t->n == t->cap) {
		t->cap = t->cap ? t->cap * 2 : 16;
		t->v = mem_grow(t->v, t->cap * sizeof(*t->v));
	}
	t->v[t->n] = *c;
	*c = (customer_t){0};
	node = mem_new(sizeof(*node));
	node->name = t->v[t->n].name;
	node->customer = t->n;
	HASH_ADD_KEYPTR(hh, t->by_name, node->name, strlen(node->name), node);
	index_keys(t, t->n++);
	return STATUS_OK;
}
