#include "arrival.h"

#include <gsl/gsl_randist.h>
#include <math.h>
#include <stdio.h>

status_t arrival_window_parse(const char *text, bool has_factor, arrival_window_t *out)
{
	int used = 0;
	int parsed;

	*out = (arrival_window_t){0};
	if (has_factor)
		parsed = sscanf(text, "x%lf:every %lf:for %lf%n", &out->factor, &out->every_s,
				&out->for_s, &used) -
			 1;
	else
		parsed = sscanf(text, "every %lf:for %lf%n", &out->every_s, &out->for_s, &used);
	if (parsed != 2 || text[used] || out->factor < 0 || out->for_s <= 0 ||
	    out->every_s <= out->for_s)
		return status_fail(STATUS_INVALID, "\"%s\" is not of the form %severy S:for S",
				   text, has_factor ? "xF:" : "");
	return STATUS_OK;
}

/* The window is the end of its period, so that a run starts outside of it. */
static bool in_window(const arrival_window_t *w, double at_s)
{
	return w->every_s > 0 && fmod(at_s, w->every_s) >= w->every_s - w->for_s;
}

arrival_phase_t arrival_phase_at(const arrival_rate_t *r, double at_s)
{
	if (in_window(&r->pause, at_s))
		return ARRIVAL_PAUSE;
	return in_window(&r->burst, at_s) ? ARRIVAL_BURST : ARRIVAL_STEADY;
}

double arrival_next(const arrival_rate_t *r, double at_s, gsl_rng *rng)
{
	double peak = r->burst.factor > 1 ? r->burst.factor : 1;

	/* Thinning: candidates arrive at the peak rate, and each is accepted with the probability
	 * that the rate at its time bears to the peak. */
	for (;;) {
		arrival_phase_t phase;
		double accept = 1 / peak;

		at_s += gsl_ran_exponential(rng, 1 / (r->per_s * peak));
		phase = arrival_phase_at(r, at_s);
		if (phase == ARRIVAL_BURST)
			accept = r->burst.factor / peak;
		if (phase != ARRIVAL_PAUSE && gsl_rng_uniform(rng) < accept)
			return at_s;
	}
}
