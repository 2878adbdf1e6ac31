#include "proto/px_grow.h"

#include <assert.h>
#include <string.h>
#include "base/str.h"

#undef xdr_array
#undef xdr_bytes

#define FIRST_ITEMS 16
#define FIRST_BYTES 65536 /* a multiple of 4, so that only the last part has padding */

/* The next capacity: first, then doubled each time, but at most n, the length that the message
 * claims. */
static u_int next_cap(u_int cap, u_int first, u_int n)
{
	u_int next = cap ? cap * 2 : first;

	return next > n || next < cap ? n : next;
}

static bool_t decode_array(XDR *x, caddr_t *items, u_int *n, u_int max, u_int item_size,
			   xdrproc_t proc)
{
	u_int claimed;
	u_int cap = 0;

	assert(!*items);
	*n = 0;
	if (!xdr_u_int(x, &claimed) || claimed > max)
		return FALSE;
	while (*n < claimed) {
		if (*n == cap) {
			cap = next_cap(cap, FIRST_ITEMS, claimed);
			*items = mem_grow(*items, (size_t)cap * item_size);
			memset(*items + (size_t)*n * item_size, 0, (size_t)(cap - *n) * item_size);
		}
		(*n)++;
		if (!proc(x, *items + (size_t)(*n - 1) * item_size))
			return FALSE;
	}
	return TRUE;
}

bool_t wire_xdr_array(XDR *x, caddr_t *items, u_int *n, u_int max, u_int item_size, xdrproc_t proc)
{
	if (x->x_op != XDR_DECODE)
		return xdr_array(x, items, n, max, item_size, proc);
	return decode_array(x, items, n, max, item_size, proc);
}

static bool_t decode_bytes(XDR *x, char **bytes, u_int *n, u_int max)
{
	u_int claimed;
	u_int cap = 0;

	assert(!*bytes);
	*n = 0;
	if (!xdr_u_int(x, &claimed) || claimed > max)
		return FALSE;
	while (*n < claimed) {
		cap = next_cap(cap, FIRST_BYTES, claimed);
		*bytes = mem_grow(*bytes, cap);
		if (!xdr_opaque(x, *bytes + *n, cap - *n))
			return FALSE;
		*n = cap;
	}
	return TRUE;
}

bool_t wire_xdr_bytes(XDR *x, char **bytes, u_int *n, u_int max)
{
	if (x->x_op != XDR_DECODE)
		return xdr_bytes(x, bytes, n, max);
	return decode_bytes(x, bytes, n, max);
}
