/* Quarantine: parts of which one prompt at a time may run. */
#include "policy/quarantine_internal.h"

static bool is_doubted(const quarantine_t *q, const part_t *p, deadline_t now)
{
	if (p->until)
		return p->probe_at <= now;
	return p->level || p->ncrashes >= quarantine_least_crashes(q, p, now);
}

bool quarantine_doubts(const quarantine_t *q, const prompt_parts_t *parts, deadline_t now)
{
	for (unsigned i = 0; q->parts && i < parts->n; i++) {
		const part_t *p = quarantine_find_part(q, parts->v[i]);

		if (p && is_doubted(q, p, now))
			return true;
	}
	return false;
}

bool quarantine_forbids(const quarantine_t *q, const prompt_parts_t *parts, deadline_t now)
{
	quarantine_part_t by;

	if (!quarantine_blocks(q, parts, now, &by))
		return false;
	for (unsigned i = 0; i < parts->n; i++) {
		const part_t *p = quarantine_find_part(q, parts->v[i]);

		if (p && p->until > now && p->probe_at > now)
			return true;
	}
	return false;
}

void quarantine_probe(quarantine_t *q, uint64_t part, deadline_t now)
{
	part_t *p = quarantine_find_part(q, part);

	if (!p || !p->until)
		return;
	p->probe_ms *= PROBE_TIMES;
	p->probe_at = now + p->probe_ms;
}

static deadline_t next_probe(const part_t *p, deadline_t now)
{
	if (p->until)
		return p->probe_at;
	return p->ncrashes ? p->crashes[p->ncrashes - 1].at + CONFIRM_MS : now;
}

size_t quarantine_list_doubted(const quarantine_t *q, deadline_t now, quarantine_doubt_t *out,
			       size_t max)
{
	size_t n = 0;

	for (const part_t *p = q->parts; p && n < max; p = p->hh.next) {
		if (is_doubted(q, p, now))
			out[n++] = (quarantine_doubt_t){p->part, next_probe(p, now)};
	}
	return n;
}
