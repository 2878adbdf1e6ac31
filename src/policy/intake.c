#include "policy/intake.h"

#include <stdlib.h>
#include <utlist.h>
#include "base/str.h"

/** Part of the budget that only connections with few bytes may use. */
#define RESERVE_DIVISOR 4
/** Added to the time since the last progress, in ms: a connection that is still being read counts
 * by its size. */
#define PROGRESS_BASE_MS 1000

struct intake {
	intake_options_t o;
	size_t held;
	size_t connections;
	intake_client_t *clients; /* by their last progress, the oldest first */
};

intake_t *intake_new(const intake_options_t *o)
{
	intake_t *in = mem_new(sizeof(*in));

	in->o = *o;
	return in;
}

void intake_free(intake_t *in)
{
	free(in);
}

size_t intake_held(const intake_t *in)
{
	return in->held;
}

size_t intake_connections(const intake_t *in)
{
	return in->connections;
}

void intake_add(intake_t *in, intake_client_t *c, deadline_t now)
{
	c->state = INTAKE_IDLE;
	c->held = 0;
	c->opened = c->progress = now;
	DL_APPEND(in->clients, c);
	in->connections++;
}

void intake_remove(intake_t *in, intake_client_t *c)
{
	DL_DELETE(in->clients, c);
	in->held -= c->held;
	in->connections--;
}

void intake_set_held(intake_t *in, intake_client_t *c, size_t bytes)
{
	in->held = in->held - c->held + bytes;
	c->held = bytes;
}

void intake_advance(intake_t *in, intake_client_t *c, size_t bytes, deadline_t now)
{
	if (bytes == 0)
		return;
	c->advanced += bytes;
	c->progress = now;
	DL_DELETE(in->clients, c);
	DL_APPEND(in->clients, c);
}

void intake_begin_period(intake_client_t *c, int64_t ms, deadline_t now)
{
	c->advanced = 0;
	c->period_end = now + ms;
}

bool intake_is_stalled(intake_client_t *c, int64_t ms, deadline_t now)
{
	if (c->advanced >= INTAKE_PERIOD_BYTES)
		intake_begin_period(c, ms, now);
	return now >= c->period_end;
}

bool intake_fits(const intake_t *in, const intake_client_t *c, size_t bytes)
{
	size_t others = in->held - c->held;
	size_t limit = in->o.budget_bytes;

	if (bytes <= c->held)
		return true;
	if (bytes > INTAKE_SMALL_BYTES)
		limit -= limit / RESERVE_DIVISOR;
	return others + bytes <= limit;
}

static double excess_weight(const intake_client_t *c, size_t bytes, deadline_t now)
{
	return (double)bytes * (double)(now - c->progress + PROGRESS_BASE_MS);
}

intake_client_t *intake_excess(const intake_t *in, intake_client_t *c, size_t bytes, deadline_t now)
{
	intake_client_t *worst = c;
	double worst_weight = excess_weight(c, c->held, now);
	intake_client_t *other;

	if (intake_fits(in, c, bytes))
		return NULL;
	DL_FOREACH (in->clients, other) {
		double weight = excess_weight(other, other->held, now);

		if (other->state != INTAKE_READING && other->state != INTAKE_UNREAD)
			continue;
		if (weight > worst_weight) {
			worst = other;
			worst_weight = weight;
		}
	}
	return worst;
}

intake_client_t *intake_surplus(const intake_t *in, deadline_t now)
{
	intake_client_t *c;

	if (in->connections <= in->o.max_connections)
		return NULL;
	DL_FOREACH (in->clients, c) {
		if (c->state == INTAKE_IDLE || c->state == INTAKE_READING)
			return c;
	}
	DL_FOREACH (in->clients, c) {
		if (c->state == INTAKE_UNREAD && now - c->progress >= INTAKE_UNREAD_MS)
			return c;
	}
	return in->clients->prev;
}
