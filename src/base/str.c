#include "base/str.h"

#include <assert.h>
#include <malloc.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sodium.h>
#include <xxhash.h>
#include "base/utf8.h"

#define BUF_MIN_BYTES	  64
#define LARGE_BLOCK_BYTES (128 << 10)
#define HEAP_SPARE_BYTES  (1 << 20)
#define REPLACEMENT	  STR("\xef\xbf\xbd") /* U+FFFD */

str_t str_c(const char *c)
{
	return (str_t){c ? c : "", c ? strlen(c) : 0};
}

str_t str_buf(const buf_t *b)
{
	return (str_t){b->p ? b->p : "", b->n};
}

bool str_eq(str_t a, str_t b)
{
	return a.n == b.n && (a.n == 0 || memcmp(a.p, b.p, a.n) == 0);
}

bool str_starts(str_t s, str_t prefix)
{
	return s.n >= prefix.n && (prefix.n == 0 || memcmp(s.p, prefix.p, prefix.n) == 0);
}

long str_find(str_t s, str_t needle)
{
	const char *at;

	if (needle.n == 0)
		return 0;
	if (s.n < needle.n)
		return -1;
	at = memmem(s.p, s.n, needle.p, needle.n);
	return at ? at - s.p : -1;
}

bool str_eq_secret(str_t a, str_t b)
{
	return a.n == b.n && (a.n == 0 || sodium_memcmp(a.p, b.p, a.n) == 0);
}

char *str_dup(str_t s)
{
	char *c = mem_new(s.n + 1);

	if (s.n)
		memcpy(c, s.p, s.n);
	c[s.n] = 0;
	return c;
}

unsigned long long str_hash(str_t s)
{
	return XXH3_64bits(s.p, s.n);
}

void buf_reserve(buf_t *b, size_t more)
{
	size_t need = b->n + more + 1;

	if (need <= b->cap)
		return;
	b->cap = need < BUF_MIN_BYTES ? BUF_MIN_BYTES : need + need / 2;
	b->p = mem_grow(b->p, b->cap);
}

void buf_reserve_exact(buf_t *b, size_t more)
{
	if (b->n + more + 1 <= b->cap)
		return;
	b->cap = b->n + more + 1;
	b->p = mem_grow(b->p, b->cap);
}

void buf_add(buf_t *b, str_t s)
{
	buf_reserve(b, s.n);
	if (s.n)
		memcpy(b->p + b->n, s.p, s.n);
	b->n += s.n;
	b->p[b->n] = 0;
}

void buf_addc(buf_t *b, char c)
{
	buf_add(b, (str_t){&c, 1});
}

void buf_addf(buf_t *b, const char *fmt, ...)
{
	va_list ap;
	va_list again;
	int n;

	va_start(ap, fmt);
	va_copy(again, ap);
	n = vsnprintf(NULL, 0, fmt, ap);
	va_end(ap);
	assert(n >= 0);
	buf_reserve(b, (size_t)n);
	vsnprintf(b->p + b->n, (size_t)n + 1, fmt, again);
	va_end(again);
	b->n += (size_t)n;
}

static bool json_is_escaped(unsigned char c)
{
	return c == '"' || c == '\\' || c < 0x20;
}

static void add_json_escape(buf_t *b, unsigned char c)
{
	if (c == '"' || c == '\\')
		buf_addf(b, "\\%c", c);
	else if (c == '\n')
		buf_add(b, STR("\\n"));
	else
		buf_addf(b, "\\u%04x", c);
}

/* Bytes up to `from` have been added. Those from there on are added in one piece up to the next one
 * that can't stay as it is. */
void buf_add_json(buf_t *b, str_t s)
{
	utf8_t u = {0};
	size_t from = 0;
	size_t begin = 0; /* of the current character */
	size_t i = 0;

	buf_addc(b, '"');
	while (i < s.n) {
		unsigned char c = (unsigned char)s.p[i];
		bool cut = !utf8_is_whole(&u);

		if (!cut)
			begin = i;
		if (!utf8_next(&u, c)) {
			buf_add(b, (str_t){s.p + from, begin - from});
			buf_add(b, REPLACEMENT);
			/* The byte that cuts a character may begin another one. */
			from = i = cut ? i : i + 1;
			u = (utf8_t){0};
		} else if (json_is_escaped(c)) {
			buf_add(b, (str_t){s.p + from, i - from});
			add_json_escape(b, c);
			from = ++i;
		} else {
			i++;
		}
	}
	if (utf8_is_whole(&u)) {
		buf_add(b, (str_t){s.p + from, s.n - from});
	} else {
		buf_add(b, (str_t){s.p + from, begin - from});
		buf_add(b, REPLACEMENT);
	}
	buf_addc(b, '"');
}

void buf_drop_front(buf_t *b, size_t n)
{
	assert(n <= b->n);
	if (n == 0)
		return;
	memmove(b->p, b->p + n, b->n - n);
	b->n -= n;
	b->p[b->n] = 0;
}

void buf_shrink(buf_t *b)
{
	if (b->n == 0 && b->cap > BUF_SPARE_BYTES)
		buf_free(b);
}

void buf_clear(buf_t *b)
{
	b->n = 0;
	buf_shrink(b);
}

void buf_free(buf_t *b)
{
	free(b->p);
	*b = (buf_t){0};
}

void str_cleanup_free(void *pp)
{
	free(*(void **)pp);
}

void mem_setup(void)
{
	/* Setting the threshold stops glibc from raising it to the size of freed blocks, after
	 * which blocks of that size would stay in the heaps of the threads that freed them. */
	mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES);
	mallopt(M_TRIM_THRESHOLD, HEAP_SPARE_BYTES);
}

void *mem_new(size_t n)
{
	void *p = calloc(1, n ? n : 1);

	if (!p)
		abort();
	return p;
}

void *mem_grow(void *p, size_t n)
{
	void *q = realloc(p, n);

	if (!q)
		abort();
	return q;
}
