/** Random numbers for choices that a test must be able to repeat; not for keys. */
#ifndef AUBURN_PRNG_H
#define AUBURN_PRNG_H

#include <stdint.h>

/** The next number of a xorshift generator; *state is its seed and must not be 0. */
uint64_t prng_next(uint64_t *state);

#endif
