/** Outcomes and times of requests by phase; prints one key=value line for each. */
#ifndef AUBURN_LOAD_STAT_H
#define AUBURN_LOAD_STAT_H

#include <stdint.h>
#include <stdio.h>
#include "answer_check.h"
#include "arrival.h"

typedef enum {
	LOAD_OK, /* whole and right */
	LOAD_REFUSED, /* an answer that says it was not run */
	LOAD_FAILED, /* another error, or no end in time */
	LOAD_BROKEN, /* a stream with a fault */
	LOAD_OUTCOMES
} load_outcome_t;

/** Values kept one by one, so that quantiles are exact. */
typedef struct {
	double *v;
	size_t n, cap;
} samples_t;

typedef struct {
	uint64_t outcome[LOAD_OUTCOMES];
	uint64_t fault[ANSWER_FAULTS];
	uint64_t resends;
	uint64_t within_goal; /* whole, with the first token in time */
	uint64_t tokens;
	double streaming_s; /* time from first token to end, summed */
	samples_t first_token_ms;
	samples_t first_token_unresent_ms; /* the same, of requests that were sent once */
	samples_t token_gap_ms;
	samples_t refused_ms; /* time until a refusal was said */
} load_stat_t;

void samples_add(samples_t *s, double v);
/** Sorts the values; 0 when there are none. */
double samples_quantile(samples_t *s, double q);
/** Adds the counts and values of one to the other. */
void load_stat_merge(load_stat_t *to, const load_stat_t *from);
void load_stat_print(FILE *out, const char *phase, load_stat_t *s, double seconds);
void load_stat_free(load_stat_t *s);

#endif
