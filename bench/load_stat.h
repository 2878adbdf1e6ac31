/** Outcomes and latencies of the requests of one phase, printed as a line of key=value pairs. */
#ifndef AUBURN_LOAD_STAT_H
#define AUBURN_LOAD_STAT_H

#include <stdint.h>
#include <stdio.h>
#include "answer_check.h"
#include "arrival.h"

typedef enum {
	LOAD_OK, /* complete and correct */
	LOAD_REFUSED, /* the error says that the request was not run */
	LOAD_FAILED, /* any other error, or no end before the load tool gave up */
	LOAD_BROKEN, /* an event stream with a fault, or one that broke off on the last attempt */
	LOAD_OUTCOMES
} load_outcome_t;

/** All values are stored, so that quantiles are exact. */
typedef struct {
	double *v;
	size_t n, cap;
} samples_t;

/** Latencies start at the scheduled arrival of the request, not at the time it was sent. */
typedef struct {
	uint64_t outcome[LOAD_OUTCOMES];
	/* first fault of each broken answer; ANSWER_FAULT_NONE, which is not printed, if the
	 * connection failed */
	uint64_t fault[ANSWER_FAULTS];
	uint64_t resends;
	uint64_t within_goal; /* complete, with the first token within the goal */
	uint64_t tokens; /* of complete answers */
	double streaming_s; /* sum over complete answers, first token to last; printed as busy_s */
	samples_t first_token_ms;
	samples_t first_token_unresent_ms; /* of requests without a resend; printed as direct_* */
	samples_t token_gap_ms; /* between consecutive tokens of one attempt; printed as step_* */
	samples_t refused_ms; /* until the refusal */
} load_stat_t;

void samples_add(samples_t *s, double v);
/** Returns the q-quantile, 0 if there are no values. Sorts the values. */
double samples_quantile(samples_t *s, double q);
/** Adds the counts and samples of `from` to `to`. */
void load_stat_merge(load_stat_t *to, const load_stat_t *from);
void load_stat_print(FILE *out, const char *phase, load_stat_t *s, double seconds);
void load_stat_free(load_stat_t *s);

#endif
