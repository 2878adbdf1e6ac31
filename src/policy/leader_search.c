#include "policy/leader_search.h"

#include <assert.h>

void leader_search_restart(leader_search_t *s, deadline_t now)
{
	for (size_t i = 0; i < s->ncontrols; i++)
		s->controls[i] = (leader_search_control_t){0};
	s->hint = LEADER_SEARCH_CONTROLS_MAX;
	s->next_at = now + LEADER_SEARCH_PAUSE_MS;
}

size_t leader_search_add(leader_search_t *s)
{
	assert(s->ncontrols < LEADER_SEARCH_CONTROLS_MAX);
	s->controls[s->ncontrols] = (leader_search_control_t){0};
	return s->ncontrols++;
}

void leader_search_replace(leader_search_t *s, size_t i)
{
	s->controls[i] = (leader_search_control_t){0};
	if (s->hint == i)
		s->hint = LEADER_SEARCH_CONTROLS_MAX;
}

void leader_search_hint(leader_search_t *s, size_t i)
{
	s->hint = i;
}

static bool may_try(const leader_search_t *s, size_t i, deadline_t now)
{
	return !s->controls[i].greeted && now >= s->controls[i].try_at;
}

/* Takes the hint, else the next process in turn that may be tried. */
static bool pick(leader_search_t *s, deadline_t now, size_t *i)
{
	size_t hint = s->hint;

	s->hint = LEADER_SEARCH_CONTROLS_MAX;
	if (hint < s->ncontrols && may_try(s, hint, now)) {
		*i = hint;
		return true;
	}
	for (size_t n = 0; n < s->ncontrols; n++) {
		*i = s->next++ % s->ncontrols;
		if (may_try(s, *i, now))
			return true;
	}
	return false;
}

bool leader_search_next(leader_search_t *s, deadline_t now, size_t *i)
{
	leader_search_control_t *c;
	int64_t interval = LEADER_SEARCH_STAGGER_MS;

	if (now < s->next_at || !pick(s, now, i))
		return false;
	c = &s->controls[*i];
	s->next_at = now + (c->unanswered ? LEADER_SEARCH_PAUSE_MS : LEADER_SEARCH_STAGGER_MS);
	for (unsigned n = 0; n < c->unanswered && interval < LEADER_SEARCH_INTERVAL_MAX_MS; n++)
		interval *= 2;
	c->unanswered++;
	c->try_at = now + interval;
	return true;
}

void leader_search_greeted(leader_search_t *s, size_t i)
{
	s->controls[i].greeted = true;
}

void leader_search_answered(leader_search_t *s, size_t i, deadline_t now)
{
	s->controls[i] = (leader_search_control_t){.try_at = now + LEADER_SEARCH_PAUSE_MS};
	if (s->next_at > now + LEADER_SEARCH_PAUSE_MS)
		s->next_at = now + LEADER_SEARCH_PAUSE_MS;
}

void leader_search_given_up(leader_search_t *s, size_t i, bool greeted)
{
	if (greeted)
		s->controls[i].greeted = false;
}

int64_t leader_search_ack_ms(int64_t rtt_ms, int64_t max_ms)
{
	int64_t ms = 3 * rtt_ms;

	if (ms < LEADER_SEARCH_ACK_MIN_MS)
		return LEADER_SEARCH_ACK_MIN_MS;
	return ms < max_ms ? ms : max_ms;
}
