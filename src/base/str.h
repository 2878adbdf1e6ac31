/** Length-counted strings: borrowed views (str_t) and owned, growing buffers (buf_t); allocation.
 */
#ifndef AUBURN_STR_H
#define AUBURN_STR_H

#include <stdbool.h>
#include <stddef.h>

/** A borrowed view of bytes; not zero-terminated, may contain zero bytes. */
typedef struct {
	const char *p;
	size_t n;
} str_t;

/** An owned buffer, initialised with {0}. p[n] is 0 once something was added. */
typedef struct {
	char *p;
	size_t n;
	size_t cap;
} buf_t;

/** Most memory that an empty buffer keeps for its next use. */
#define BUF_SPARE_BYTES 32768

/** A view of a string literal. */
#define STR(lit) ((str_t){(lit), sizeof(lit) - 1})
/** Arguments for "%.*s". */
#define STR_ARG(s) (int)(s).n, (s).p

/** The whole C string; empty if c is NULL. */
str_t str_c(const char *c);
str_t str_buf(const buf_t *b);
bool str_eq(str_t a, str_t b);
bool str_starts(str_t s, str_t prefix);
/** Offset of the first needle in s, or -1. */
long str_find(str_t s, str_t needle);
/** Like str_eq, but the time does not depend on the bytes, only on the lengths; for secrets. */
bool str_eq_secret(str_t a, str_t b);
/** A zero-terminated copy that the caller frees. */
char *str_dup(str_t s);
/** 64-bit hash of the bytes. */
unsigned long long str_hash(str_t s);

void buf_add(buf_t *b, str_t s);
/** Makes room for this many more bytes and a final 0. */
void buf_reserve(buf_t *b, size_t more);
/** Like buf_reserve, without the spare room that it allocates; for a large buffer that is filled
 * piece by piece. */
void buf_reserve_exact(buf_t *b, size_t more);
void buf_addc(buf_t *b, char c);
void buf_addf(buf_t *b, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
/** Appends s as a JSON string with its quotes. What is no UTF-8 in it is replaced by U+FFFD, one
 * for each longest beginning of a character, as the decoders of the Encoding Standard do. */
void buf_add_json(buf_t *b, str_t s);
void buf_drop_front(buf_t *b, size_t n);
/** Frees the memory of an empty buffer if it is more than BUF_SPARE_BYTES. */
void buf_shrink(buf_t *b);
/** Empties a buffer that is about to be filled again, and shrinks it. */
void buf_clear(buf_t *b);
void buf_free(buf_t *b);

void str_cleanup_free(void *pp);
/** Attributes of a variable that is freed at the end of its scope: a buf_t, a malloc'ed pointer. */
#define AUTO_BUF  __attribute__((cleanup(buf_free))) buf_t
#define AUTO_FREE __attribute__((cleanup(str_cleanup_free)))

/** Has the allocator return the memory of large blocks to the system as soon as they are freed; for
 * main, before other threads start. */
void mem_setup(void);
/** Zeroed allocation, and realloc; both abort the program when out of memory. */
void *mem_new(size_t n);
void *mem_grow(void *p, size_t n);

#endif
