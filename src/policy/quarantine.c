#include <stdlib.h>
#include "policy/quarantine_internal.h"

/** An answer that ends this soon after a crash, in ms, may have been sent before it. */
#define OVERTAKEN_MS 100
/** Crashes count for this long, in ms. */
#define WINDOW_MS 60000
/** A part is remembered for this long, in ms, after its block ran out. */
#define REMEMBER_MS 7200000
/** Maximum numbers of replicas and of sound parts; beyond them the oldest is dropped. */
#define REPLICAS_MAX 1024
#define SOUND_MAX    8192

quarantine_t *quarantine_new(const quarantine_callbacks_t *cb)
{
	quarantine_t *q = mem_new(sizeof(*q));

	q->cb = *cb;
	return q;
}

static void free_part(quarantine_t *q, part_t *p)
{
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): unlinked before free() */
	HASH_DEL(q->parts, p);
	free(p);
}

static stamp_t *find_stamp(stamp_t *stamps, uint64_t key)
{
	stamp_t *s;

	HASH_FIND(hh, stamps, &key, sizeof(key), s);
	return s;
}

static void remove_stamp(stamp_t **stamps, stamp_t *s)
{
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): unlinked before free() */
	HASH_DEL(*stamps, s);
	free(s);
}

/* Sets the time of a key, which becomes the newest. */
static void set_stamp(stamp_t **stamps, uint64_t key, deadline_t at, unsigned max)
{
	stamp_t *s = find_stamp(*stamps, key);

	if (s)
		HASH_DEL(*stamps, s);
	else if (HASH_COUNT(*stamps) >= max)
		remove_stamp(stamps, *stamps);
	if (!s)
		s = mem_new(sizeof(*s));
	s->key = key;
	s->at = at > s->at ? at : s->at;
	HASH_ADD(hh, *stamps, key, sizeof(s->key), s);
}

void quarantine_free(quarantine_t *q)
{
	if (!q)
		return;
	while (q->parts)
		free_part(q, q->parts);
	while (q->crashed)
		remove_stamp(&q->crashed, q->crashed);
	while (q->sound)
		remove_stamp(&q->sound, q->sound);
	free(q);
}

part_t *quarantine_find_part(const quarantine_t *q, uint64_t part)
{
	part_t *p;

	HASH_FIND(hh, q->parts, &part, sizeof(part), p);
	return p;
}

static quarantine_part_t describe(const part_t *p)
{
	return (quarantine_part_t){
		.part = p->part,
		.blocked = p->until != 0,
		.crashes = p->ncrashes,
		.level = p->level,
		.since = p->until      ? p->since
			 : p->ncrashes ? p->crashes[0].at
				       : 0,
		.until = p->until,
		.group = p->group,
		.group_size = p->group_size,
	};
}

void quarantine_report(quarantine_t *q, quarantine_event_t what, const part_t *p)
{
	quarantine_part_t x = describe(p);

	q->version++;
	q->cb.event(q->cb.ctx, what, &x);
}

/* Adds a part; drops the one that was added first and is not blocked, if there are too many. */
static part_t *get_part(quarantine_t *q, uint64_t part)
{
	part_t *p = quarantine_find_part(q, part);

	if (p)
		return p;
	if (HASH_COUNT(q->parts) >= QUARANTINE_MAX) {
		for (p = q->parts; p && p->until; p = p->hh.next)
			;
		free_part(q, p ? p : q->parts);
	}
	p = mem_new(sizeof(*p));
	p->part = part;
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): unlinked before free() */
	HASH_ADD(hh, q->parts, part, sizeof(p->part), p);
	q->version++;
	return p;
}

static uint64_t replica_key(replica_ref_t r)
{
	return str_hash(r.id) ^ (r.start_time * 0x9e3779b97f4a7c15ULL);
}

static void drop_crash(part_t *p, unsigned i)
{
	p->ncrashes--;
	for (; i < p->ncrashes; i++)
		p->crashes[i] = p->crashes[i + 1];
}

/* The first crashes matter, as they show how long there was no sound answer. */
static void add_crash(quarantine_t *q, part_t *p, const crash_t *c)
{
	for (unsigned i = 0; i < p->ncrashes; i++) {
		crash_t *known = &p->crashes[i];

		if (known->replica != c->replica)
			continue;
		known->began = c->began > known->began ? c->began : known->began;
		return;
	}
	if (p->ncrashes < CRASHES_MAX)
		p->crashes[p->ncrashes++] = *c;
	q->version++;
}

unsigned quarantine_count_serial(const part_t *p, deadline_t until)
{
	crash_series_t series = {0};

	for (unsigned i = 0; i < p->ncrashes; i++) {
		if (p->crashes[i].at <= until)
			crash_series_add(&series, p->crashes[i].began, p->crashes[i].at);
	}
	return series.n;
}

/* A part without crashes is kept only if it was blocked before, or is watched. */
static void settle(quarantine_t *q, part_t *p)
{
	if (p->ncrashes > 0 || p->until || p->level || p->watched_until)
		return;
	q->version++;
	free_part(q, p);
}

static bool has_crash(const part_t *p, uint64_t replica)
{
	for (unsigned i = 0; i < p->ncrashes; i++) {
		if (p->crashes[i].replica == replica)
			return true;
	}
	return false;
}

void quarantine_attribute_crashes(quarantine_t *q, const part_t *blocked)
{
	part_t *p;
	part_t *next;

	HASH_ITER (hh, q->parts, p, next) {
		if (p->until)
			continue;
		for (unsigned i = p->ncrashes; i > 0; i--) {
			if (has_crash(blocked, p->crashes[i - 1].replica))
				drop_crash(p, i - 1);
		}
		settle(q, p);
	}
}

static bool is_attributed(const quarantine_t *q, uint64_t replica)
{
	for (const part_t *p = q->parts; p; p = p->hh.next) {
		if (p->until && has_crash(p, replica))
			return true;
	}
	return false;
}

/* The part is no longer in its group. */
static void leave_group(quarantine_t *q, part_t *leaver)
{
	uint64_t group = leaver->group;

	leaver->group = 0;
	leaver->group_size = 0;
	for (part_t *p = q->parts; group && p; p = p->hh.next) {
		if (p->group != group)
			continue;
		p->group_size--;
		if (p->group_size == 1)
			p->group = p->group_size = 0;
		q->version++;
	}
}

void quarantine_clear_part(quarantine_t *q, part_t *p)
{
	bool blocked = p->until != 0;

	leave_group(q, p);

	p->ncrashes = 0;
	p->level = 0;
	if (blocked)
		quarantine_report(q, QUARANTINE_CLEARED, p);
	p->until = 0;
	settle(q, p);
}

/* The replica process hasn't crashed. */
static void take_back(quarantine_t *q, uint64_t replica)
{
	part_t *p;
	part_t *next;

	HASH_ITER (hh, q->parts, p, next) {
		unsigned i = 0;

		while (i < p->ncrashes && p->crashes[i].replica != replica)
			i++;
		if (i == p->ncrashes)
			continue;
		drop_crash(p, i);
		quarantine_report(q, QUARANTINE_TAKEN_BACK, p);
		if (p->until && p->level == 0 &&
		    quarantine_count_serial(p, INT64_MAX) < CRASHES_MIN)
			quarantine_clear_part(q, p);
		else
			settle(q, p);
	}
}

void quarantine_alive(quarantine_t *q, replica_ref_t replica, deadline_t now)
{
	uint64_t key = replica_key(replica);
	stamp_t *s = find_stamp(q->crashed, key);

	if (!s || now - s->at <= OVERTAKEN_MS)
		return;
	remove_stamp(&q->crashed, s);
	take_back(q, key);
}

void quarantine_crash(quarantine_t *q, const quarantine_crash_t *c, deadline_t now)
{
	crash_t x = {replica_key(c->replica), c->request, c->is_content, c->began, now};
	stamp_t *known = find_stamp(q->crashed, x.replica);
	quarantine_part_t blocked;

	if (known && now - known->at > CRASH_TOGETHER_MS) {
		/* It has accepted a connection since. */
		take_back(q, x.replica);
		return;
	}
	if (known)
		x.at = known->at;
	else
		set_stamp(&q->crashed, x.replica, now, REPLICAS_MAX);
	if (quarantine_blocks(q, c->parts, now, &blocked)) {
		for (unsigned i = 0; i < c->parts->n; i++) {
			part_t *p = quarantine_find_part(q, c->parts->v[i]);

			if (!p ||
			    (p->part != blocked.part && (!p->group || p->group != blocked.group)))
				continue;
			add_crash(q, p, &x);
			quarantine_attribute_crashes(q, p);
		}
		return;
	}
	if (is_attributed(q, x.replica))
		return;
	for (unsigned i = 0; i < c->parts->n; i++) {
		if (quarantine_sound_at(q, c->parts->v[i]) < x.at)
			add_crash(q, get_part(q, c->parts->v[i]), &x);
	}
}

static bool is_listed(const uint64_t *v, unsigned n, uint64_t x)
{
	for (unsigned i = 0; i < n; i++) {
		if (v[i] == x)
			return true;
	}
	return false;
}

/* The replica processes that crashed under a request, at most max. */
static unsigned list_processes(const quarantine_t *q, uint64_t request, uint64_t *out, unsigned max)
{
	unsigned n = 0;

	for (const part_t *p = q->parts; p; p = p->hh.next) {
		for (unsigned i = 0; i < p->ncrashes && n < max; i++) {
			const crash_t *c = &p->crashes[i];

			if (c->is_content && c->request == request &&
			    !is_listed(out, n, c->replica))
				out[n++] = c->replica;
		}
	}
	return n;
}

void quarantine_explain(quarantine_t *q, uint64_t request)
{
	uint64_t processes[CRASHES_MAX];
	unsigned n = list_processes(q, request, processes, CRASHES_MAX);
	part_t *p;
	part_t *next;

	HASH_ITER (hh, q->parts, p, next) {
		unsigned others = 0;
		unsigned own = 0;

		if (p->until)
			continue;
		for (unsigned i = 0; i < p->ncrashes; i++)
			others += !is_listed(processes, n, p->crashes[i].replica);
		for (unsigned i = 0; i < p->ncrashes;) {
			const crash_t *c = &p->crashes[i];
			bool is_own = c->is_content && c->request == request;
			bool explained = is_listed(processes, n, c->replica);

			own += is_own;
			if (explained && (!is_own || (others == 0 && own > 1))) {
				drop_crash(p, i);
				q->version++;
				continue;
			}
			i++;
		}
		settle(q, p);
	}
}

void quarantine_sound(quarantine_t *q, uint64_t part, deadline_t at)
{
	part_t *p = quarantine_find_part(q, part);

	set_stamp(&q->sound, part, at, SOUND_MAX);
	if (!p)
		return;
	if (p->until) {
		if (at > p->since + OVERTAKEN_MS)
			quarantine_clear_part(q, p);
		return;
	}
	for (unsigned i = p->ncrashes; i > 0; i--) {
		if (p->crashes[i - 1].at <= at)
			drop_crash(p, i - 1);
	}
	if (p->ncrashes == 0)
		quarantine_clear_part(q, p);
}

deadline_t quarantine_sound_at(const quarantine_t *q, uint64_t part)
{
	stamp_t *s = find_stamp(q->sound, part);

	return s ? s->at : 0;
}

static void drop_old(quarantine_t *q, deadline_t now)
{
	part_t *p;
	part_t *next;

	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): nodes are unlinked first */
	while (q->crashed && q->crashed->at + WINDOW_MS < now)
		remove_stamp(&q->crashed, q->crashed);
	HASH_ITER (hh, q->parts, p, next) {
		while (!p->until && p->ncrashes > 0 && p->crashes[0].at + WINDOW_MS < now)
			drop_crash(p, 0);
		if (p->until && p->until <= now) {
			quarantine_report(q, QUARANTINE_EXPIRED, p);
			leave_group(q, p);
			p->until = 0;
			p->ncrashes = 0;
			p->level += p->level < LEVEL_MAX;
			p->forget_at = now + REMEMBER_MS;
		}
		if (p->watched_until <= now)
			p->watched_until = 0;
		if (p->level && !p->until && p->forget_at <= now)
			p->level = 0;
		settle(q, p);
	}
}

void quarantine_tick(quarantine_t *q, deadline_t now)
{
	drop_old(q, now);
	quarantine_block_suspected(q, now);
}

void quarantine_adopt(quarantine_t *q, const quarantine_part_t *x, deadline_t now)
{
	part_t *p = get_part(q, x->part);
	bool was_blocked = p->until != 0;

	if (!x->blocked) {
		p->watched_until = now + WINDOW_MS;
		return;
	}
	p->since = x->since;
	p->until = x->until > p->until ? x->until : p->until;
	if (!was_blocked) {
		p->probe_ms = PROBE_MS;
		p->probe_at = now + PROBE_MS;
	}
	p->level = x->level > p->level ? x->level : p->level;
	p->group = x->group;
	p->group_size = x->group_size;
	if (!was_blocked)
		quarantine_report(q, QUARANTINE_BLOCKED, p);
}

static bool contains(const quarantine_part_t *v, size_t n, const part_t *p)
{
	for (size_t i = 0; i < n; i++) {
		if (v[i].part == p->part)
			return v[i].blocked || !p->until;
	}
	return false;
}

void quarantine_retain(quarantine_t *q, const quarantine_part_t *v, size_t n)
{
	part_t *p;
	part_t *next;

	HASH_ITER (hh, q->parts, p, next) {
		if (contains(v, n, p))
			continue;
		p->watched_until = 0;
		quarantine_clear_part(q, p);
	}
}

/* True if the prompt has all parts of the group. */
static bool has_group(const quarantine_t *q, const prompt_parts_t *parts, uint64_t group,
		      unsigned size)
{
	unsigned n = 0;

	for (unsigned i = 0; i < parts->n; i++) {
		const part_t *p = quarantine_find_part(q, parts->v[i]);

		n += p && p->group == group;
	}
	return n >= size;
}

bool quarantine_blocks(const quarantine_t *q, const prompt_parts_t *parts, deadline_t now,
		       quarantine_part_t *out)
{
	bool found = false;

	for (unsigned i = 0; q->parts && i < parts->n; i++) {
		const part_t *p = quarantine_find_part(q, parts->v[i]);

		if (!p || p->until <= now || (found && p->until <= out->until) ||
		    (p->group && !has_group(q, parts, p->group, p->group_size)))
			continue;
		found = true;
		*out = describe(p);
	}
	return found;
}

bool quarantine_has(const quarantine_t *q, uint64_t part)
{
	return quarantine_find_part(q, part) != NULL;
}

size_t quarantine_list(const quarantine_t *q, quarantine_part_t *out, size_t max)
{
	size_t n = 0;

	for (const part_t *p = q->parts; p && n < max; p = p->hh.next) {
		if (p->ncrashes > 0 || p->until || p->watched_until)
			out[n++] = describe(p);
	}
	return n;
}

uint64_t quarantine_version(const quarantine_t *q)
{
	return q->version;
}
