/** Helpers for the tests of the quarantine: record what it reports, and make lists of parts. */
#ifndef AUBURN_QUARANTINE_KIT_H
#define AUBURN_QUARANTINE_KIT_H

#include <stdio.h>
#include <string.h>
#include "policy/quarantine.h"
#include "suite_kit.h"

/** The part that crashes replicas. */
#define CRASH_PART 0xdeadULL

typedef struct {
	unsigned crashes;
	unsigned blocked_sound; /* blocks of parts that crash nothing */
	unsigned released;
	deadline_t blocked_at; /* of CRASH_PART; 0: not blocked */
} seen_t;

static deadline_t play_now;

static void on_event(void *ctx, quarantine_event_t what, const quarantine_part_t *p)
{
	seen_t *s = ctx;

	if (what == QUARANTINE_BLOCKED && p->part != CRASH_PART)
		s->blocked_sound++;
	if (what == QUARANTINE_BLOCKED && p->part == CRASH_PART && !s->blocked_at)
		s->blocked_at = play_now;
	s->released += what == QUARANTINE_CLEARED;
}

static quarantine_t *make_quarantine(seen_t *s)
{
	memset(s, 0, sizeof(*s));
	return quarantine_new(&(quarantine_callbacks_t){s, on_event});
}

static prompt_parts_t parts_of(uint64_t a, uint64_t b, uint64_t c)
{
	prompt_parts_t p = {{a, b, c}, 3};

	while (p.n > 0 && p.v[p.n - 1] == 0)
		p.n--;
	return p;
}

#endif
