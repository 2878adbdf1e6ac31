/** Helpers for the fuzz tests: random mutations of bytes. The generator starts from fixed seeds. */
#ifndef AUBURN_FUZZ_KIT_H
#define AUBURN_FUZZ_KIT_H

#include <string.h>
#include "base/prng.h"
#include "base/str.h"

#define MUTATIONS_MAX 6
/** Deepest nesting that is generated, in levels; twice what jansson decodes. */
#define NESTING_MAX 4096

static uint64_t prng_state;

static inline uint32_t random_below(uint32_t below)
{
	return (uint32_t)(prng_next(&prng_state) >> 16) % below;
}

static inline void insert_bytes(buf_t *b, size_t at, str_t s)
{
	AUTO_BUF tail = {0};

	buf_add(&tail, (str_t){b->p + at, b->n - at});
	b->n = at;
	buf_add(b, s);
	buf_add(b, str_buf(&tail));
}

static inline void remove_bytes(buf_t *b, size_t at, size_t n)
{
	if (n > b->n - at)
		n = b->n - at;
	memmove(b->p + at, b->p + at + n, b->n - at - n);
	b->n -= n;
}

/* Changes, removes, inserts or copies some bytes, or truncates them. tokens: pieces of the format,
 * which are inserted whole. */
static inline void mutate_once(buf_t *b, const char *const *tokens, size_t ntokens)
{
	size_t at = random_below((uint32_t)b->n);

	switch (random_below(6)) {
	case 0:
		b->p[at] = (char)random_below(256);
		break;
	case 1:
		b->p[at] ^= (char)(1 << random_below(8));
		break;
	case 2:
		remove_bytes(b, at, 1 + random_below(20));
		break;
	case 3:
		insert_bytes(b, at, str_c(tokens[random_below((uint32_t)ntokens)]));
		break;
	case 4: {
		AUTO_FREE char *copy = str_dup((str_t){b->p + at, b->n - at});

		insert_bytes(b, random_below((uint32_t)b->n),
			     (str_t){copy, random_below((uint32_t)(b->n - at + 1))});
		break;
	}
	default:
		b->n = at;
	}
}

static inline void mutate_bytes(buf_t *b, const char *const *tokens, size_t ntokens)
{
	for (uint32_t i = 1 + random_below(MUTATIONS_MAX); i > 0 && b->n > 0; i--)
		mutate_once(b, tokens, ntokens);
}

/* Appends nested arrays and objects, sometimes with a bracket too few or too many. */
static inline void add_nesting(buf_t *b)
{
	uint32_t depth = 1 + random_below(NESTING_MAX);
	uint32_t closed = depth - 1 + (random_below(2) ? 1 : random_below(3));
	bool objects = random_below(2);

	for (uint32_t i = 0; i < depth; i++)
		buf_add(b, objects ? STR("{\"a\":") : STR("["));
	buf_addc(b, '1');
	for (uint32_t i = 0; i < closed; i++)
		buf_addc(b, objects ? '}' : ']');
}

/* Appends a JSON object with one further member of a random kind, then damages some of them. */
static inline void add_odd_object(buf_t *b, str_t object, const char *const *tokens, size_t ntokens)
{
	static const char *const values[] = {"99999999999999999999",
					     "-1",
					     "4294967296",
					     "1e999",
					     "0.5",
					     "\"x\"",
					     "null",
					     "[]",
					     "\"10.0.0.1:99999\"",
					     "\"\\u0000\"",
					     "\"\xff\"",
					     "{\"[\":\"}\"}",
					     "tru",
					     "",
					     "\"",
					     "}"};
	static const char *const names[] = {"id", "addr", "slots", "born", "state", "x"};
	size_t from = b->n;

	buf_add(b, (str_t){object.p, object.n - 1});
	buf_addf(b, ",\"%s\":", names[random_below(sizeof(names) / sizeof(names[0]))]);
	if (random_below(8) == 0)
		add_nesting(b);
	else
		buf_add(b, str_c(values[random_below(sizeof(values) / sizeof(values[0]))]));
	buf_addc(b, '}');
	if (random_below(2)) {
		AUTO_BUF damaged = {0};

		buf_add(&damaged, (str_t){b->p + from, b->n - from});
		mutate_bytes(&damaged, tokens, ntokens);
		b->n = from;
		buf_add(b, str_buf(&damaged));
	}
}

#endif
