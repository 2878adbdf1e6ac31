#include "state/lot_id.h"

#include <string.h>

/** Ends the owner in the id of a lot, and the route in an account. Neither ids, which come from
 * headers and paths, nor names of customers contain it. */
#define OWNER_SEPARATOR '\n'

/* Splits s at the first separator; false if there is none. */
static bool split(str_t s, str_t *before, str_t *after)
{
	const char *at = s.n ? memchr(s.p, OWNER_SEPARATOR, s.n) : NULL;

	if (!at)
		return false;
	*before = (str_t){s.p, (size_t)(at - s.p)};
	*after = (str_t){at + 1, s.n - before->n - 1};
	return true;
}

void lot_id_make(buf_t *out, str_t owner, str_t id)
{
	if (owner.n > 0) {
		buf_add(out, owner);
		buf_addc(out, OWNER_SEPARATOR);
	}
	buf_add(out, id);
}

str_t lot_id_owner(str_t id)
{
	str_t owner = {id.p, 0};
	str_t given;

	split(id, &owner, &given);
	return owner;
}

str_t lot_id_given(str_t id)
{
	str_t given = id;
	str_t owner;

	split(id, &owner, &given);
	return given;
}

void lot_account_make(buf_t *route, str_t owner)
{
	if (owner.n == 0)
		return;
	buf_addc(route, OWNER_SEPARATOR);
	buf_add(route, owner);
}

str_t lot_account_route(str_t account)
{
	str_t route = account;
	str_t owner;

	split(account, &route, &owner);
	return route;
}
