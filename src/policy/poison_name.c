/* Key of a request, and names of keys and events in logs. */
#include <sodium.h>
#include "policy/poison.h"

poison_key_t poison_key(const poison_content_t *c)
{
	const str_t fields[] = {c->customer, c->method, c->host, c->target, c->body};
	crypto_generichash_state state;
	poison_key_t key;

	crypto_generichash_init(&state, NULL, 0, sizeof(key.v));
	for (size_t i = 0; i < sizeof(fields) / sizeof(fields[0]); i++) {
		uint64_t n = fields[i].n;

		crypto_generichash_update(&state, (const unsigned char *)&n, sizeof(n));
		crypto_generichash_update(&state, (const unsigned char *)fields[i].p, n);
	}
	crypto_generichash_final(&state, key.v, sizeof(key.v));
	return key;
}

const char *poison_key_name(const poison_key_t *key, char out[POISON_NAME_BYTES])
{
	return sodium_bin2hex(out, POISON_NAME_BYTES, key->v, sizeof(key->v));
}

const char *poison_event_name(poison_event_t what)
{
	static const char *const names[] = {
		[POISON_HELD] = "request_held",
		[POISON_RELEASED] = "request_released",
		[POISON_TAKEN_BACK] = "request_crash_taken_back",
		[POISON_EXPIRED] = "request_hold_expired",
	};

	return names[what];
}
