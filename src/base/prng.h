/** Pseudo-random numbers for choices that a test must be able to repeat; not for keys. */
#ifndef AUBURN_PRNG_H
#define AUBURN_PRNG_H

#include <stdint.h>

/** Next number of a xorshift64 generator. *state is the seed at first and must not be 0. */
uint64_t prng_next(uint64_t *state);

#endif
