#include "policy/replica_speed.h"

/** A new sample moves a mean by 1/RUN_DIVISOR (replica) or 1/SERVICE_DIVISOR of its distance. */
#define RUN_DIVISOR	16
#define SERVICE_DIVISOR 64
/** Time without a run after which the means of a replica begin to lose their weight, and after
 * which they have none: a replica that is taken for slow gets few runs that could show otherwise.
 */
#define MEANS_FRESH_MS 4000
#define MEANS_GONE_MS  20000
/** Change of distrust by a run. Distrust falls more slowly than it rises, so that false figures
 * among right ones count little. */
#define DISTRUST_UP   200
#define DISTRUST_DOWN 50
/** Stated figures count as contradicted from here on. */
#define DISTRUSTED 600
/** Figures differ if they are more than this many thousandths apart: lengths of outputs are often
 * far off, so that smaller differences show nothing. */
#define DIFFERENCE	 1300
#define REPORT_PERIOD_MS 1000
/** Work of an output token in input tokens. */
#define OUTPUT_WORK 10

static int64_t clamp_factor(int64_t f)
{
	if (f < SPEED_MIN)
		return SPEED_MIN;
	return f > SPEED_MAX ? SPEED_MAX : f;
}

/* How many times larger one is than the other, in thousandths, at least 1000. */
static int64_t apart(int64_t a, int64_t b)
{
	return a > b ? a * 1000 / b : b * 1000 / a;
}

void replica_speed_restarted(replica_speed_t *r, uint64_t start_time)
{
	*r = (replica_speed_t){.start_time = start_time};
}

void replica_speed_stated(replica_speed_t *r, uint64_t start_time, unsigned percent, deadline_t at)
{
	if (start_time && start_time < r->start_time)
		return;
	if (r->start_time && start_time > r->start_time)
		replica_speed_restarted(r, start_time);
	if (at < r->stated_at)
		return;
	if (start_time)
		r->start_time = start_time;
	r->percent = percent;
	r->stated_at = at;
}

unsigned replica_speed_percent(const replica_speed_t *r, deadline_t now)
{
	return now - r->stated_at < SPEED_STATED_MS ? r->percent : 0;
}

static void move_mean(int64_t *mean, int64_t sample)
{
	*mean = *mean ? *mean + (sample - *mean) / RUN_DIVISOR
		      : SPEED_MEAN + (sample - SPEED_MEAN) / RUN_DIVISOR;
}

bool replica_speed_ran(replica_speed_t *r, int64_t factor, unsigned percent_began, deadline_t now)
{
	unsigned percent_ended = replica_speed_percent(r, now);
	int64_t percent = 100;
	bool was = r->distrust >= DISTRUSTED;

	if (percent_began && percent_ended)
		percent = ((int64_t)percent_began + percent_ended) / 2;
	else if (percent_began || percent_ended)
		percent = percent_began + percent_ended;
	factor = clamp_factor(factor);
	if (r->mean && (percent_began || percent_ended)) {
		int64_t by_stated = clamp_factor(r->base * percent / 100);

		/* Says something only where the two expectations differ. */
		if (apart(by_stated, r->mean) > DIFFERENCE) {
			if (apart(factor, by_stated) > apart(factor, r->mean))
				r->distrust += DISTRUST_UP;
			else
				r->distrust -=
					r->distrust < DISTRUST_DOWN ? r->distrust : DISTRUST_DOWN;
		}
		if (r->distrust > SPEED_MEAN)
			r->distrust = SPEED_MEAN;
	}
	move_mean(&r->mean, factor);
	move_mean(&r->base, clamp_factor(factor * 100 / percent));
	r->ended_at = now;
	if (was || r->distrust < DISTRUSTED || now < r->next_report)
		return false;
	r->next_report = now + REPORT_PERIOD_MS;
	return true;
}

bool replica_speed_ended(replica_speed_t *r, speed_means_t *s, const speed_run_t *run,
			 deadline_t now)
{
	int64_t us = (now - run->began) * 1000;
	int64_t work = run->tokens_in + (int64_t)OUTPUT_WORK * run->tokens_out;
	int64_t *mean = run->tokens_out ? &s->ns_per_work : &s->us_per_run;
	int64_t sample = run->tokens_out ? us * 1000 / work : us;
	int64_t factor;

	if (sample <= 0)
		return false;
	if (!*mean)
		*mean = sample;
	factor = clamp_factor(sample * SPEED_MEAN / *mean);
	*mean += (sample - *mean) / SERVICE_DIVISOR;
	return replica_speed_ran(r, factor, run->percent_began, now);
}

/* The factor, less the part of its distance from the mean that age has taken. */
static int64_t faded(const replica_speed_t *r, int64_t factor, deadline_t now)
{
	int64_t age = now - r->ended_at - MEANS_FRESH_MS;
	int64_t span = MEANS_GONE_MS - MEANS_FRESH_MS;

	if (!factor || age >= span)
		return SPEED_MEAN;
	return age <= 0 ? factor : SPEED_MEAN + (factor - SPEED_MEAN) * (span - age) / span;
}

int64_t replica_speed_factor(const replica_speed_t *r, deadline_t now)
{
	int64_t mean = faded(r, r->mean, now);
	int64_t by_stated;
	int64_t weight;
	int64_t age = now - r->stated_at;

	if (!replica_speed_percent(r, now))
		return clamp_factor(mean);
	by_stated = clamp_factor(faded(r, r->base, now) * r->percent / 100);
	weight = (SPEED_MEAN - (int64_t)r->distrust) * (SPEED_STATED_MS - (age > 0 ? age : 0)) /
		 SPEED_STATED_MS;
	return clamp_factor(mean + (by_stated - mean) * weight / SPEED_MEAN);
}
