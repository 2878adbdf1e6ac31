/** Mutations for tests that feed damaged bytes to decoders; seeds are fixed. */
#ifndef AUBURN_FUZZ_KIT_H
#define AUBURN_FUZZ_KIT_H

#include <string.h>
#include "base/prng.h"
#include "base/str.h"

#define MAX_MUTATIONS 6

static uint64_t rng_state;

static inline uint32_t rng(uint32_t below)
{
	return (uint32_t)(prng_next(&rng_state) >> 16) % below;
}

static inline void fuzz_insert(buf_t *b, size_t at, str_t s)
{
	AUTO_BUF tail = {0};

	buf_add(&tail, (str_t){b->p + at, b->n - at});
	b->n = at;
	buf_add(b, s);
	buf_add(b, str_buf(&tail));
}

static inline void fuzz_cut(buf_t *b, size_t at, size_t n)
{
	if (n > b->n - at)
		n = b->n - at;
	memmove(b->p + at, b->p + at + n, b->n - at - n);
	b->n -= n;
}

/* tokens: pieces of the format that are inserted whole. */
static inline void mutate_once(buf_t *b, const char *const *tokens, size_t ntokens)
{
	size_t at = rng((uint32_t)b->n);

	switch (rng(6)) {
	case 0:
		b->p[at] = (char)rng(256);
		break;
	case 1:
		b->p[at] ^= (char)(1 << rng(8));
		break;
	case 2:
		fuzz_cut(b, at, 1 + rng(20));
		break;
	case 3:
		fuzz_insert(b, at, str_c(tokens[rng((uint32_t)ntokens)]));
		break;
	case 4: {
		AUTO_FREE char *copy = str_dup((str_t){b->p + at, b->n - at});

		fuzz_insert(b, rng((uint32_t)b->n), (str_t){copy, rng((uint32_t)(b->n - at + 1))});
		break;
	}
	default:
		b->n = at;
	}
}

static inline void mutate_with(buf_t *b, const char *const *tokens, size_t ntokens)
{
	for (uint32_t i = 1 + rng(MAX_MUTATIONS); i > 0 && b->n > 0; i--)
		mutate_once(b, tokens, ntokens);
}

#endif
