/** When requests arrive: a Poisson process whose rate has bursts and pauses. */
#ifndef AUBURN_ARRIVAL_H
#define AUBURN_ARRIVAL_H

#include <gsl/gsl_rng.h>
#include <stdbool.h>
#include <stdint.h>
#include "base/status.h"

/** A part of every period in which the rate is multiplied. */
typedef struct {
	double factor; /* 0 = pause */
	double every_s; /* 0 = never */
	double for_s;
} arrival_window_t;

typedef struct {
	double per_s;
	arrival_window_t burst;
	arrival_window_t pause;
} arrival_rate_t;

typedef enum { ARRIVAL_STEADY, ARRIVAL_BURST, ARRIVAL_PAUSE, ARRIVAL_PHASES } arrival_phase_t;

/** Parses "x5:every 5:for 1"; a pause has no factor: "every 6:for 3". */
status_t arrival_window_parse(const char *text, bool has_factor, arrival_window_t *out);
/** The phase at a time after the start. */
arrival_phase_t arrival_phase_at(const arrival_rate_t *r, double at_s);
/** The first arrival after at_s. */
double arrival_next(const arrival_rate_t *r, double at_s, gsl_rng *rng);

#endif
