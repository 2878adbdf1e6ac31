/* Quarantine: which parts are blocked, by their crashes. */
#include "policy/quarantine_internal.h"

/** A part with which answers have begun within this time, in ms, is known as sound. */
#define SOUND_MS 600000
/** CRASHES_MIN if all crashes are under one item, which is run again. One online request that comes
 * again is held by itself (policy/poison.h), so its crashes alone block no part. */
#define CRASHES_ALONE_MIN 4
/** CRASHES_MIN for parts that were in the same crashes: a further crash may tell them apart. */
#define CRASHES_TIED_MIN 5
/** CRASHES_MIN for a part that is known as sound. */
#define CRASHES_SOUND_MIN 6
/** Duration of the first block, in ms; each further one is twice as long, up to LEVEL_MAX times. */
#define BLOCK_MS 300000

static bool is_known_sound(const quarantine_t *q, const part_t *p, deadline_t now)
{
	deadline_t at = quarantine_sound_at(q, p->part);

	return at && at + SOUND_MS > now;
}

unsigned quarantine_least_crashes(const quarantine_t *q, const part_t *p, deadline_t now)
{
	return p->level ? 1 : is_known_sound(q, p, now) ? CRASHES_SOUND_MIN : CRASHES_MIN;
}

/* Number of crashes that count; 0 if they are too few for a block. */
static unsigned weigh(const quarantine_t *q, const part_t *p, deadline_t now)
{
	unsigned least = quarantine_least_crashes(q, p, now);
	unsigned n = quarantine_count_serial(p, now - CONFIRM_MS);
	bool several = p->level > 0;

	if (p->until)
		return 0;
	for (unsigned i = 0; i < p->ncrashes; i++) {
		if (p->crashes[i].at + CONFIRM_MS > now)
			continue;
		several |= p->crashes[i].request != p->crashes[0].request;
	}
	if (!several && p->ncrashes > 0 && p->crashes[0].is_content)
		return 0;
	if (!several && least < CRASHES_ALONE_MIN)
		least = CRASHES_ALONE_MIN;
	return n >= least ? n : 0;
}

static void block(quarantine_t *q, part_t *p, deadline_t now)
{
	p->since = p->crashes[0].at;
	p->until = now + ((int64_t)BLOCK_MS << p->level);
	p->probe_ms = PROBE_MS;
	p->probe_at = now + PROBE_MS;
	quarantine_report(q, QUARANTINE_BLOCKED, p);
}

/* Blocks the part with the most crashes among those that are known as sound, or are not; several,
 * if they have been together all the time. */
static bool block_most_suspected(quarantine_t *q, bool known_sound, deadline_t now)
{
	unsigned most = 0;
	unsigned tied = 0;
	uint64_t group = 0;
	part_t *p;

	for (p = q->parts; p; p = p->hh.next) {
		unsigned n = is_known_sound(q, p, now) == known_sound ? weigh(q, p, now) : 0;

		if (n > most)
			tied = group = 0;
		most = n > most ? n : most;
		tied += n > 0 && n == most;
		group ^= n > 0 && n == most ? p->part : 0;
	}
	if (most == 0 || (tied > 1 && most < CRASHES_TIED_MIN))
		return false;
	for (p = q->parts; p; p = p->hh.next) {
		if (is_known_sound(q, p, now) != known_sound || weigh(q, p, now) != most)
			continue;
		p->group = tied > 1 ? group : 0;
		p->group_size = tied > 1 ? tied : 0;
		block(q, p, now);
	}
	for (p = q->parts; p; p = p->hh.next) {
		if (p->until)
			quarantine_attribute_crashes(q, p);
	}
	return true;
}

static unsigned count_settled(const part_t *p, deadline_t now)
{
	unsigned n = 0;

	for (unsigned i = 0; i < p->ncrashes; i++)
		n += p->crashes[i].at + CONFIRM_MS <= now;
	return n;
}

/* A crash under some parts of a group clears the others. */
static void narrow_groups(quarantine_t *q, deadline_t now)
{
	part_t *p;
	part_t *next;

	HASH_ITER (hh, q->parts, p, next) {
		unsigned most = 0;

		for (const part_t *x = q->parts; p->group && x; x = x->hh.next) {
			unsigned n = x->group == p->group ? count_settled(x, now) : 0;

			most = n > most ? n : most;
		}
		if (p->group && count_settled(p, now) < most)
			quarantine_clear_part(q, p);
	}
}

void quarantine_block_suspected(quarantine_t *q, deadline_t now)
{
	narrow_groups(q, now);
	while (block_most_suspected(q, false, now))
		;
	while (block_most_suspected(q, true, now))
		;
}
