/**
 * Customers of the operators' config: who may call, with which API keys, and within which quota.
 * A table holds keyed hashes of the API keys, never the keys themselves.
 */
#ifndef AUBURN_CUSTOMERS_H
#define AUBURN_CUSTOMERS_H

#include <stdint.h>
#include "base/status.h"
#include "base/str.h"

/** Longest API key and longest customer name, in bytes. */
#define CUSTOMER_KEY_BYTES_MAX	256
#define CUSTOMER_NAME_BYTES_MAX 128

/** Keyed hash (BLAKE2b, 128 bits) of an API key. */
typedef struct {
	unsigned char bytes[16];
} customer_key_t;

typedef struct {
	char *name;
	customer_key_t *keys;
	size_t nkeys;
	int64_t rate_per_s; /* online requests over all entries; 0: no quota */
	int64_t burst; /* requests beyond the rate */
	int64_t priority; /* of its requests, before that of the route; CUSTOMER_NO_PRIORITY */
} customer_t;

/** The customer has no priority of its own: that of the route applies. */
#define CUSTOMER_NO_PRIORITY (-1)

typedef struct customers customers_t;

/** Hashes an API key. The hash is the same in all processes, so that it can be sent in place of the
 * key. */
customer_key_t customer_key_hash(str_t key);
bool customer_eq(const customer_t *a, const customer_t *b);
void customer_copy(customer_t *to, const customer_t *from);
void customer_free_contents(customer_t *c);

customers_t *customers_new(void);
void customers_free(customers_t *t);
/** Adds a customer and takes over its contents, also after an error. STATUS_INVALID with a message
 * that names the customers and never a key: a name that is empty, taken, too long or not plain
 * ASCII, a negative rate or burst, a key of another customer. */
status_t customers_add(customers_t *t, customer_t *c);
size_t customers_count(const customers_t *t);
/** Returns customer i; its address is valid until the next customers_add. */
const customer_t *customers_at(const customers_t *t, size_t i);
/** Returns the customer that holds the key, or NULL. The time does not depend on how much of a hash
 * matches. */
const customer_t *customers_by_key(const customers_t *t, const customer_key_t *key);
/** Returns the customer with this name, or NULL. */
const customer_t *customers_by_name(const customers_t *t, str_t name);

#endif
