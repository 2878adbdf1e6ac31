/** Outcomes and times of requests by phase; prints one key=value line for each. */
#ifndef AUBURN_BN_STAT_H
#define AUBURN_BN_STAT_H

#include <stdint.h>
#include <stdio.h>
#include "bn_check.h"
#include "bn_rate.h"

typedef enum {
	BN_OK, /* whole and right */
	BN_REFUSED, /* an answer that says it was not run */
	BN_FAILED, /* another error, or no end in time */
	BN_BROKEN, /* a stream with a fault */
	BN_OUTCOMES
} bn_outcome_t;

/** Values kept one by one, so that quantiles are exact. */
typedef struct {
	double *v;
	size_t n, cap;
} bn_values_t;

typedef struct {
	uint64_t outcome[BN_OUTCOMES];
	uint64_t fault[BN_FAULTS];
	uint64_t resent;
	uint64_t good; /* whole, with the first token in time */
	uint64_t tokens;
	double busy_s; /* time from first token to end, summed */
	bn_values_t first_ms;
	bn_values_t direct_ms; /* the same, of requests that were sent once */
	bn_values_t step_ms;
	bn_values_t refused_ms; /* time until a refusal was said */
} bn_stat_t;

void bn_values_add(bn_values_t *s, double v);
/** Sorts the values; 0 when there are none. */
double bn_values_quantile(bn_values_t *s, double q);
/** Adds the counts and values of one to the other. */
void bn_stat_merge(bn_stat_t *to, const bn_stat_t *from);
void bn_stat_print(FILE *out, const char *phase, bn_stat_t *s, double seconds);
void bn_stat_free(bn_stat_t *s);

#endif
