/* Dispatcher: what it costs to run a request on a replica, as an estimate in microseconds of the
 * caller's time. Used for services of which a replica states how long work takes; for others
 * placement_cost() in dispatch_pick.c is. */
#include <string.h>
#include "policy/dispatch_internal.h"

/** Cost of the traffic between zones. */
#define OTHER_ZONE_US 8000
/** Cost of a replica whose slots are all in use: each further run makes the steps of all longer. */
#define FULL_US 16000
/** Cost of reading a prompt's shared beginning again on a replica that was not the last to be
 * granted it. */
#define OTHER_PREFIX_US 4000

static int64_t load_cost_us(const replica_t *r)
{
	return (int64_t)FULL_US * (r->online + r->items) / r->slots;
}

int64_t dispatch_cost_us(const dispatch_t *d, const waiter_t *q, const replica_t *r,
			 const replica_t *prefix_holder, str_t zone, deadline_t now)
{
	int64_t us = load_cost_us(r);

	if (!str_eq(str_c(r->zone), zone))
		us += OTHER_ZONE_US;
	if (prefix_holder && prefix_holder != r)
		us += OTHER_PREFIX_US;
	return us;
}
