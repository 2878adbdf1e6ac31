#include "proto/wire.h"

#include <assert.h>
#include <string.h>

str_t wire_str(wire_bytes_t b)
{
	return (str_t){b.wire_bytes_t_val ? b.wire_bytes_t_val : "", b.wire_bytes_t_len};
}

wire_bytes_t wire_bytes(str_t s)
{
	return (wire_bytes_t){(u_int)s.n, (char *)s.p};
}

wire_bytes_t wire_copy(str_t s)
{
	return (wire_bytes_t){(u_int)s.n, s.n ? str_dup(s) : NULL};
}

void wire_encode(buf_t *out, xdrproc_t proc, const void *msg)
{
	u_long n = xdr_sizeof(proc, (void *)msg);
	XDR x;
	bool_t ok;

	buf_reserve(out, n);
	xdrmem_create(&x, out->p + out->n, (u_int)n, XDR_ENCODE);
	ok = proc(&x, (void *)msg);
	assert(ok);
	(void)ok;
	out->n += xdr_getpos(&x);
	out->p[out->n] = 0;
	xdr_destroy(&x);
}

status_t wire_decode_first(str_t s, xdrproc_t proc, void *msg, size_t msg_size, str_t *rest)
{
	XDR x;
	bool_t ok;
	u_int used;

	memset(msg, 0, msg_size);
	xdrmem_create(&x, (char *)s.p, (u_int)s.n, XDR_DECODE);
	ok = proc(&x, msg);
	used = xdr_getpos(&x);
	xdr_destroy(&x);
	*rest = (str_t){s.p + used, s.n - used};
	if (!ok)
		return status_fail(STATUS_CORRUPT, "malformed XDR message of %zu bytes", s.n);
	return STATUS_OK;
}

status_t wire_decode(str_t s, xdrproc_t proc, void *msg, size_t msg_size)
{
	str_t rest;
	status_t st = wire_decode_first(s, proc, msg, msg_size, &rest);

	if (st == STATUS_OK && rest.n > 0)
		return status_fail(STATUS_CORRUPT, "%zu bytes after an XDR message of %zu", rest.n,
				   s.n - rest.n);
	return st;
}

void wire_dup(xdrproc_t proc, const void *msg, void *out, size_t msg_size)
{
	AUTO_BUF copy = {0};
	status_t st;

	wire_encode(&copy, proc, msg);
	st = wire_decode(str_buf(&copy), proc, out, msg_size);
	assert(st == STATUS_OK);
	(void)st;
}

void wire_free(xdrproc_t proc, void *msg)
{
	xdr_free(proc, msg);
}

unsigned wire_ledger_group(str_t caller, str_t key, unsigned groups)
{
	unsigned long long h = str_hash(caller) * 31 + str_hash(key);

	assert(groups > 0);
	return 1 + (unsigned)(h % groups);
}
