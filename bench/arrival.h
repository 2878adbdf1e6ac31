/** Arrival times of requests: a Poisson process whose rate has periodic bursts and pauses. */
#ifndef AUBURN_ARRIVAL_H
#define AUBURN_ARRIVAL_H

#include <gsl/gsl_rng.h>
#include <stdbool.h>
#include <stdint.h>
#include "base/status.h"

/** The last for_s seconds of every period of every_s seconds. */
typedef struct {
	double factor; /* of the rate, within a burst; unused for a pause */
	double every_s; /* 0: no such window */
	double for_s;
} arrival_window_t;

typedef struct {
	double per_s; /* outside of bursts and pauses */
	arrival_window_t burst;
	arrival_window_t pause; /* no arrivals; takes precedence over a burst */
} arrival_rate_t;

typedef enum { ARRIVAL_STEADY, ARRIVAL_BURST, ARRIVAL_PAUSE, ARRIVAL_PHASES } arrival_phase_t;

/** Parses "x5:every 5:for 1", or "every 6:for 3" without a factor; both times are seconds. */
status_t arrival_window_parse(const char *text, bool has_factor, arrival_window_t *out);
/** Returns the phase at_s seconds after the start. */
arrival_phase_t arrival_phase_at(const arrival_rate_t *r, double at_s);
/** Returns the time of the first arrival after at_s. */
double arrival_next(const arrival_rate_t *r, double at_s, gsl_rng *rng);

#endif
