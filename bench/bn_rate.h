/** When requests arrive: a Poisson process whose rate has bursts and pauses. */
#ifndef AUBURN_BN_RATE_H
#define AUBURN_BN_RATE_H

#include <gsl/gsl_rng.h>
#include <stdbool.h>
#include <stdint.h>
#include "base/status.h"

/** A part of every period in which the rate is multiplied. */
typedef struct {
	double factor; /* 0 = pause */
	double every_s; /* 0 = never */
	double for_s;
} bn_window_t;

typedef struct {
	double per_s;
	bn_window_t burst;
	bn_window_t gap;
} bn_rate_t;

typedef enum { BN_STEADY, BN_BURST, BN_GAP, BN_PHASES } bn_phase_t;

/** Parses "x5:every 5:for 1"; a pause has no factor: "every 6:for 3". */
status_t bn_window_parse(const char *text, bool has_factor, bn_window_t *out);
/** The phase at a time after the start. */
bn_phase_t bn_rate_phase(const bn_rate_t *r, double at_s);
/** The first arrival after at_s. */
double bn_rate_next(const bn_rate_t *r, double at_s, gsl_rng *rng);

#endif
