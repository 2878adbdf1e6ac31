#include "entry/filter.h"

#include <inttypes.h>
#include <stdio.h>
#include "entry/inflight.h"

/* Copies the Idempotency-Key header; without one, makes up a random key. Refuses an invalid key,
 * and a missing one if the service is plain and not repeatable. */
static bool read_key(filter_call_t *c)
{
	str_t key = httpd_header(c->req, "Idempotency-Key");

	if (key.n >= sizeof(c->key) || (key.n && !httpd_token_valid(key))) {
		filter_refuse(c, 400, "bad_key",
			      STR("Idempotency-Key is too long or not printable ASCII"), 0);
		return false;
	}
	if (key.n == 0 && c->service->kind == CONFIG_PLAIN && !c->service->repeatable) {
		filter_refuse(c, 400, "key_required",
			      STR("a service that is not repeatable needs an Idempotency-Key"), 0);
		return false;
	}
	if (key.n == 0)
		snprintf(c->key, sizeof(c->key), "made-%016" PRIx64 "%016" PRIx64, entry_random(),
			 entry_random());
	else
		snprintf(c->key, sizeof(c->key), "%.*s", STR_ARG(key));
	return true;
}

/* Digest of service, path and body: a key must not be used again for a different request. */
static uint64_t digest_request(const filter_call_t *c)
{
	AUTO_BUF b = {0};

	buf_add(&b, str_c(c->service->name));
	buf_addc(&b, 0);
	buf_add(&b, c->upstream_path);
	buf_addc(&b, 0);
	buf_add(&b, httpd_body(c->req));
	return str_hash(str_buf(&b));
}

void filter_idempotency(filter_call_t *c, const filter_step_t *next)
{
	if (!read_key(c))
		return;
	u_map_put(c->res->map_header, "Idempotency-Key", c->key);
	c->digest = digest_request(c);
	c->key_held = inflight_add(c->caller, str_c(c->key));
	filter_next(c, next);
}
