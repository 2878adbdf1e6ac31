#include "arrival.h"

#include <gsl/gsl_randist.h>
#include <math.h>
#include <stdio.h>

status_t arrival_window_parse(const char *text, bool has_factor, arrival_window_t *out)
{
	int used = 0;
	int got;

	*out = (arrival_window_t){0};
	if (has_factor)
		got = sscanf(text, "x%lf:every %lf:for %lf%n", &out->factor, &out->every_s,
			     &out->for_s, &used) -
		      1;
	else
		got = sscanf(text, "every %lf:for %lf%n", &out->every_s, &out->for_s, &used);
	if (got != 2 || text[used] || out->factor < 0 || out->for_s <= 0 ||
	    out->every_s <= out->for_s)
		return status_fail(STATUS_INVALID, "%s is not %severy S:for S", text,
				   has_factor ? "xF:" : "");
	return STATUS_OK;
}

/** A window is the last part of its period, so that a run starts outside it. */
static bool inside(const arrival_window_t *w, double at_s)
{
	return w->every_s > 0 && fmod(at_s, w->every_s) >= w->every_s - w->for_s;
}

arrival_phase_t arrival_phase_at(const arrival_rate_t *r, double at_s)
{
	if (inside(&r->pause, at_s))
		return ARRIVAL_PAUSE;
	return inside(&r->burst, at_s) ? ARRIVAL_BURST : ARRIVAL_STEADY;
}

double arrival_next(const arrival_rate_t *r, double at_s, gsl_rng *rng)
{
	double peak = r->burst.factor > 1 ? r->burst.factor : 1;

	/* Arrivals at the peak rate, thinned to the rate of the moment. */
	for (;;) {
		arrival_phase_t phase;
		double share = 1 / peak;

		at_s += gsl_ran_exponential(rng, 1 / (r->per_s * peak));
		phase = arrival_phase_at(r, at_s);
		if (phase == ARRIVAL_BURST)
			share = r->burst.factor / peak;
		if (phase != ARRIVAL_PAUSE && gsl_rng_uniform(rng) < share)
			return at_s;
	}
}
