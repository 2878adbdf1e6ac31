#include "state/pack.h"

#define VARINT_BYTES_MAX 10
#define VARINT_BITS	 7
#define VARINT_MORE	 0x80U

void pack_u64(buf_t *out, uint64_t v)
{
	char tmp[VARINT_BYTES_MAX];
	size_t n = 0;

	while (v >= VARINT_MORE) {
		tmp[n++] = (char)(v | VARINT_MORE);
		v >>= VARINT_BITS;
	}
	tmp[n++] = (char)v;
	buf_add(out, (str_t){tmp, n});
}

void pack_i64(buf_t *out, int64_t v)
{
	uint64_t twice = (uint64_t)v << 1;

	pack_u64(out, v < 0 ? ~twice : twice);
}

void pack_str(buf_t *out, str_t s)
{
	pack_u64(out, s.n);
	buf_add(out, s);
}

/* Reserves the longest encoding of the length, since the length is not known yet; pack_end_str pads
 * it with continuation bytes. */
size_t pack_begin_str(buf_t *out)
{
	static const char reserved[VARINT_BYTES_MAX];

	buf_add(out, (str_t){reserved, sizeof(reserved)});
	return out->n;
}

void pack_end_str(buf_t *out, size_t start)
{
	uint64_t n = out->n - start;
	char *at = out->p + start - VARINT_BYTES_MAX;

	for (int i = 0; i < VARINT_BYTES_MAX - 1; i++, n >>= VARINT_BITS)
		at[i] = (char)(n | VARINT_MORE);
	at[VARINT_BYTES_MAX - 1] = (char)n;
}

uint64_t unpack_u64(unpacker_t *r)
{
	uint64_t v = 0;

	for (size_t i = 0; i < VARINT_BYTES_MAX && i < r->left.n; i++) {
		unsigned char c = (unsigned char)r->left.p[i];

		v |= (uint64_t)(c & (VARINT_MORE - 1)) << (VARINT_BITS * i);
		if (c & VARINT_MORE)
			continue;
		r->left.p += i + 1;
		r->left.n -= i + 1;
		return v;
	}
	r->bad = true;
	r->left.n = 0;
	return 0;
}

int64_t unpack_i64(unpacker_t *r)
{
	uint64_t v = unpack_u64(r);

	return (int64_t)(v >> 1) ^ -(int64_t)(v & 1);
}

uint64_t unpack_u64_max(unpacker_t *r, uint64_t max)
{
	uint64_t v = unpack_u64(r);

	if (v <= max)
		return v;
	r->bad = true;
	r->left.n = 0;
	return 0;
}

str_t unpack_str(unpacker_t *r)
{
	uint64_t n = unpack_u64_max(r, r->left.n);
	str_t s;

	if (n > r->left.n) {
		r->bad = true;
		n = 0;
	}
	s = (str_t){r->left.p, n};
	r->left.p += n;
	r->left.n -= n;
	return s;
}

status_t unpack_end(const unpacker_t *r, const char *what)
{
	if (r->bad || r->left.n)
		return status_fail(STATUS_CORRUPT, "%s snapshot is malformed", what);
	return STATUS_OK;
}
