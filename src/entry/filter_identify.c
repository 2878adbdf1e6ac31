#include "entry/filter.h"

#include "entry/addresses.h"

#define RETRY_AFTER_MS 1000

void filter_identify(filter_call_t *c, const filter_step_t *next)
{
	if (!httpd_auth_caller(c->en, c->req, c->res, &c->caller))
		return;
	if (!httpd_check_body_size(c->en, c->req, c->res))
		return;
	filter_next(c, next);
}

/* Refuses the request and names other entries: without a lease this entry's config may be outdated,
 * and late in a drain this entry takes no new requests. */
static void refuse_with_addresses(filter_call_t *c)
{
	AUTO_BUF others = {0};

	addresses_list_others(c->en, &others);
	if (others.n)
		u_map_put(c->res->map_header, "X-Auburn-Addresses", others.p);
	filter_refuse(c, 503, "no_lease",
		      STR("no valid lease: the control has not answered this entry in time"),
		      RETRY_AFTER_MS);
}

void filter_check_lease(filter_call_t *c, const filter_step_t *next)
{
	if (!entry_lease_valid(c->en->snapshot)) {
		refuse_with_addresses(c);
		return;
	}
	if (atomic_load(&c->en->closing)) {
		refuse_with_addresses(c);
		return;
	}
	c->config = entry_config_get(c->en->snapshot);
	if (!c->config) {
		filter_refuse(c, 503, "no_text", STR("no operator config is in force"),
			      RETRY_AFTER_MS);
		return;
	}
	filter_next(c, next);
}
