/* Tests of the quarantine of prompt parts (policy/quarantine.h): plays loads of requests at a fleet
 * whose replicas crash or lose connections. Guard against a part that crashes one replica after the
 * other, and against blocks of sound parts. */
#include <stdio.h>
#include <string.h>
#include "base/prng.h"
#include "policy/quarantine.h"
#include "suite_kit.h"

#define REPLICAS     18
#define SLOTS	     8
#define PLAY_MS	     60000
#define CONTACT_MS   3000
#define COMMON_PARTS 6
#define RARE_PARTS   400
#define CRASH_PART   0xdeadULL
#define SEEDS	     20
#define ATTEMPTS     2

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

static void crash(quarantine_t *q, const char *replica, uint64_t request, prompt_parts_t parts,
		  deadline_t now)
{
	quarantine_crash(q, &(quarantine_crash_t){{str_c(replica), 1}, request, false, 0, &parts},
			 now);
}

static void crash_under(quarantine_t *q, const char *replica, uint64_t content,
			prompt_parts_t parts, deadline_t now)
{
	quarantine_crash(q, &(quarantine_crash_t){{str_c(replica), 1}, content, true, 0, &parts},
			 now);
}

static bool blocks(const quarantine_t *q, uint64_t part, deadline_t now)
{
	prompt_parts_t p = {{part}, 1};
	quarantine_part_t out;

	return quarantine_blocks(q, &p, now, &out);
}

START_TEST(part_of_three_crashes_is_blocked)
{
	seen_t s;
	quarantine_t *q = make_quarantine(&s);

	crash(q, "a", 1, parts_of(1, CRASH_PART, 0), 1000);
	crash(q, "b", 2, parts_of(1, CRASH_PART, 0), 1300);
	crash(q, "b", 3, parts_of(1, CRASH_PART, 0), 1301);
	quarantine_sound(q, 1, 1350);
	quarantine_tick(q, 3000);
	ck_assert(!blocks(q, CRASH_PART, 3000));
	crash(q, "c", 3, parts_of(1, CRASH_PART, 0), 3000);
	quarantine_tick(q, 3100);
	ck_assert(!blocks(q, CRASH_PART, 3100)); /* the last one doesn't count yet */
	quarantine_tick(q, 3500);
	ck_assert(blocks(q, CRASH_PART, 3500));
	ck_assert(!blocks(q, 1, 3500));
	quarantine_free(q);
}
END_TEST

START_TEST(parts_of_a_request_that_crashes_replicas_by_itself_are_not_blocked)
{
	seen_t s;
	quarantine_t *q = make_quarantine(&s);

	for (int i = 0; i < 4; i++) {
		const char *const replicas[] = {"a", "b", "c", "d"};

		crash_under(q, replicas[i], 1, parts_of(5, 6, 0), 1000 + i * 300);
		crash_under(q, replicas[i], 10 + (uint64_t)i, parts_of(7, 0, 0), 1000 + i * 300);
	}
	quarantine_explain(q, 1);
	quarantine_tick(q, 2500);
	ck_assert(!blocks(q, 5, 2500));
	ck_assert(!blocks(q, 7, 2500));
	/* One crash of another request with a part of it is no more than chance. */
	crash_under(q, "e", 2, parts_of(6, 0, 0), 3000);
	quarantine_tick(q, 4000);
	ck_assert(!blocks(q, 6, 4000));
	ck_assert_uint_eq(s.blocked_sound, 0);
	quarantine_free(q);
}
END_TEST

START_TEST(part_of_two_requests_that_are_held_is_blocked)
{
	seen_t s;
	quarantine_t *q = make_quarantine(&s);

	for (int i = 0; i < 3; i++) {
		const char *const replicas[] = {"a", "b", "c"};

		crash_under(q, replicas[i], 1, parts_of(5, CRASH_PART, 0), 1000 + i * 300);
	}
	quarantine_explain(q, 1);
	for (int i = 0; i < 3; i++) {
		const char *const replicas[] = {"d", "e", "f"};

		crash_under(q, replicas[i], 2, parts_of(8, CRASH_PART, 0), 3000 + i * 300);
	}
	quarantine_explain(q, 2);
	quarantine_tick(q, 4200);
	ck_assert(blocks(q, CRASH_PART, 4200));
	ck_assert(!blocks(q, 5, 4200));
	ck_assert(!blocks(q, 8, 4200));
	quarantine_free(q);
}
END_TEST

START_TEST(sound_part_of_the_same_first_crashes_is_not_blocked)
{
	seen_t s;
	quarantine_t *q = make_quarantine(&s);

	crash(q, "a", 1, parts_of(1, CRASH_PART, 0), 1000);
	crash(q, "b", 2, parts_of(1, CRASH_PART, 0), 1300);
	crash(q, "c", 3, parts_of(1, CRASH_PART, 0), 1600);
	quarantine_tick(q, 2200);
	ck_assert(!blocks(q, CRASH_PART, 2200));
	crash(q, "d", 4, parts_of(2, CRASH_PART, 0), 2300);
	quarantine_tick(q, 2800);
	ck_assert(blocks(q, CRASH_PART, 2800));
	ck_assert(!blocks(q, 1, 2800));
	quarantine_free(q);
}
END_TEST

static bool blocks_both(const quarantine_t *q, deadline_t now)
{
	prompt_parts_t p = parts_of(1, 3, CRASH_PART);
	quarantine_part_t out;

	return quarantine_blocks(q, &p, now, &out);
}

static quarantine_t *make_group(seen_t *s)
{
	quarantine_t *q = make_quarantine(s);

	for (int i = 0; i < 5; i++)
		crash(q, (const char *[]){"a", "b", "c", "d", "e"}[i], (uint64_t)i,
		      parts_of(1, CRASH_PART, 0), 1000 + i * 300);
	quarantine_tick(q, 2800);
	return q;
}

START_TEST(parts_of_the_same_five_crashes_are_blocked_together)
{
	seen_t s;
	quarantine_t *q = make_group(&s);

	ck_assert(blocks_both(q, 2800));
	ck_assert(!blocks(q, CRASH_PART, 2800));
	ck_assert(!blocks(q, 1, 2800));
	quarantine_sound(q, 1, 2900);
	ck_assert(blocks_both(q, 2900));
	ck_assert(blocks(q, CRASH_PART, 2900));
	ck_assert(!blocks(q, 1, 2900));
	quarantine_free(q);
}
END_TEST

START_TEST(crash_under_one_part_of_a_group_clears_the_others)
{
	seen_t s;
	quarantine_t *q = make_group(&s);

	/* A sound prompt waited where one with all parts caused a crash: tells nothing. */
	crash(q, "f", 6, parts_of(1, 4, 0), 2900);
	crash(q, "f", 7, parts_of(1, CRASH_PART, 0), 2901);
	quarantine_tick(q, 3500);
	ck_assert(blocks_both(q, 3500));
	ck_assert(!blocks(q, 1, 3500));
	ck_assert(!blocks(q, CRASH_PART, 3500));
	crash(q, "g", 8, parts_of(4, CRASH_PART, 0), 3600);
	quarantine_tick(q, 4200);
	ck_assert(blocks(q, CRASH_PART, 4200));
	ck_assert(!blocks(q, 1, 4200));
	quarantine_free(q);
}
END_TEST

START_TEST(crash_of_a_replica_that_answers_later_is_taken_back)
{
	seen_t s;
	quarantine_t *q = make_quarantine(&s);

	crash(q, "a", 1, parts_of(CRASH_PART, 0, 0), 400);
	crash(q, "b", 2, parts_of(CRASH_PART, 0, 0), 700);
	crash(q, "c", 3, parts_of(CRASH_PART, 0, 0), 1000);
	quarantine_alive(q, (replica_ref_t){STR("c"), 1}, 1050); /* may have been sent before */
	quarantine_alive(q, (replica_ref_t){STR("b"), 2}, 1300); /* restarted */
	quarantine_alive(q, (replica_ref_t){STR("a"), 1}, 1300);
	quarantine_tick(q, 2000);
	ck_assert(!blocks(q, CRASH_PART, 2000));
	crash(q, "d", 4, parts_of(CRASH_PART, 0, 0), 2000);
	quarantine_tick(q, 2600);
	ck_assert(blocks(q, CRASH_PART, 2600));
	quarantine_alive(q, (replica_ref_t){STR("d"), 1}, 4000);
	ck_assert(!blocks(q, CRASH_PART, 4000));
	ck_assert_uint_eq(s.released, 1);
	quarantine_free(q);
}
END_TEST

static bool doubts(const quarantine_t *q, uint64_t part, deadline_t now)
{
	prompt_parts_t p = {{part}, 1};

	return quarantine_doubts(q, &p, now);
}

/* Crashes ten replicas within 100 ms, each under another request. */
static void crash_together(quarantine_t *q, uint64_t part, deadline_t now)
{
	for (int i = 0; i < 10; i++) {
		char name[16];

		snprintf(name, sizeof(name), "%d-%lld", i, (long long)now);
		crash(q, name, (uint64_t)now + (uint64_t)i, parts_of(part, 0, 0), now + i * 10);
	}
}

/* Guards against items that wait for minutes as all replicas crashed once under a part of theirs.
 */
START_TEST(replicas_that_crash_together_block_no_part)
{
	seen_t s;
	quarantine_t *q = make_quarantine(&s);

	quarantine_sound(q, 8, 500);
	crash_together(q, 7, 1000);
	crash_together(q, 8, 1000);
	for (deadline_t now = 1000; now < 9000; now += 25)
		quarantine_tick(q, now);
	ck_assert_uint_eq(s.blocked_sound, 0);
	ck_assert(doubts(q, 7, 9000));
	ck_assert(doubts(q, 8, 9000));
	ck_assert(!doubts(q, 9, 9000));
	quarantine_sound(q, 7, 9000);
	ck_assert(!doubts(q, 7, 9000));
	/* Nothing more is known of it. */
	quarantine_tick(q, 62000);
	ck_assert(!doubts(q, 8, 62000));
	quarantine_free(q);
}
END_TEST

START_TEST(part_that_crashes_replicas_together_and_one_by_one_is_blocked)
{
	seen_t s;
	quarantine_t *q = make_quarantine(&s);
	quarantine_doubt_t d;

	crash_together(q, CRASH_PART, 1000);
	ck_assert_uint_eq(quarantine_list_doubted(q, 1100, &d, 1), 1);
	ck_assert_uint_eq(d.part, CRASH_PART);
	ck_assert_int_ge(d.probe_at, 1500);
	crash(q, "x", 50, parts_of(CRASH_PART, 0, 0), d.probe_at + 20);
	ck_assert_uint_eq(quarantine_list_doubted(q, 1700, &d, 1), 1);
	ck_assert_int_ge(d.probe_at, 2000);
	crash(q, "y", 51, parts_of(CRASH_PART, 0, 0), d.probe_at + 20);
	quarantine_tick(q, 2700);
	ck_assert(blocks(q, CRASH_PART, 2700));
	ck_assert(!doubts(q, CRASH_PART, 2700));
	quarantine_free(q);
}
END_TEST

START_TEST(crash_under_a_run_that_began_after_the_crash_before_counts)
{
	seen_t s;
	quarantine_t *q = make_quarantine(&s);
	prompt_parts_t p = parts_of(CRASH_PART, 0, 0);

	for (int i = 0; i < 3; i++)
		quarantine_crash(q,
				 &(quarantine_crash_t){
					 {str_c((const char *[]){"a", "b", "c"}[i]), 1},
					 (uint64_t)i,
					 false,
					 940 + i * 100,
					 &p,
				 },
				 1000 + i * 100);
	quarantine_tick(q, 1700);
	ck_assert(blocks(q, CRASH_PART, 1700));
	quarantine_free(q);
}
END_TEST

/* Guards against all items with such a part being run at once when its block ends. */
START_TEST(part_whose_block_ran_out_is_in_doubt)
{
	seen_t s;
	quarantine_t *q = make_quarantine(&s);
	prompt_parts_t p = parts_of(CRASH_PART, 0, 0);
	quarantine_part_t x;

	crash(q, "a", 1, p, 400);
	crash(q, "b", 2, p, 700);
	crash(q, "c", 3, p, 1000);
	quarantine_tick(q, 1500);
	ck_assert(quarantine_blocks(q, &p, 1500, &x));
	quarantine_tick(q, x.until);
	ck_assert(doubts(q, CRASH_PART, x.until));
	quarantine_sound(q, CRASH_PART, x.until + 100);
	ck_assert(!doubts(q, CRASH_PART, x.until + 100));
	quarantine_free(q);
}
END_TEST

/* Guards against items that wait for minutes with a part that crashes nothing any more. */
START_TEST(blocked_part_is_probed_after_ever_longer_pauses)
{
	seen_t s;
	quarantine_t *q = make_quarantine(&s);
	prompt_parts_t p = parts_of(CRASH_PART, 0, 0);
	quarantine_part_t x;
	deadline_t now = 1500;
	unsigned probes = 0;

	crash(q, "a", 1, p, 400);
	crash(q, "b", 2, p, 700);
	crash(q, "c", 3, p, 1000);
	quarantine_tick(q, now);
	ck_assert(quarantine_blocks(q, &p, now, &x));
	ck_assert(quarantine_forbids(q, &p, now + 5000));
	for (; now < 91500; now += 25) {
		char name[16];

		quarantine_tick(q, now);
		if (!quarantine_doubts(q, &p, now))
			continue;
		ck_assert(!quarantine_forbids(q, &p, now));
		quarantine_probe(q, CRASH_PART, now);
		ck_assert(quarantine_forbids(q, &p, now));
		snprintf(name, sizeof(name), "p%u", probes++);
		crash(q, name, 10 + probes, p, now + 20);
	}
	/* More than three requests with a blocked part in a day of 90 s would be too many. */
	ck_assert_uint_ge(probes, 2);
	ck_assert_uint_le(probes, 3);
	ck_assert(quarantine_blocks(q, &p, now, &x));
	ck_assert_int_eq(x.until, 301500);
	quarantine_sound(q, CRASH_PART, now);
	ck_assert(!quarantine_blocks(q, &p, now, &x));
	ck_assert(!quarantine_doubts(q, &p, now));
	quarantine_free(q);
}
END_TEST

START_TEST(answer_with_the_part_ends_its_block)
{
	seen_t s;
	quarantine_t *q = make_quarantine(&s);

	for (int i = 0; i < 4; i++)
		crash(q, (const char *[]){"a", "b", "c", "d"}[i], (uint64_t)i, parts_of(7, 0, 0),
		      1000 + i * 300);
	quarantine_tick(q, 2400);
	ck_assert(blocks(q, 7, 2400));
	quarantine_sound(q, 7, 900);
	ck_assert(blocks(q, 7, 2500));
	quarantine_sound(q, 7, 1400);
	ck_assert(!blocks(q, 7, 2500));
	ck_assert(!quarantine_has(q, 7));
	quarantine_free(q);
}
END_TEST

START_TEST(next_block_is_twice_as_long_and_needs_one_crash)
{
	seen_t s;
	quarantine_t *q = make_quarantine(&s);
	prompt_parts_t p = parts_of(CRASH_PART, 0, 0);
	quarantine_part_t x;
	deadline_t end;
	int64_t first;

	crash(q, "a", 1, p, 400);
	crash(q, "b", 2, p, 700);
	crash(q, "c", 3, p, 1000);
	quarantine_tick(q, 1500);
	ck_assert(quarantine_blocks(q, &p, 1500, &x));
	first = x.until - 1500;
	ck_assert_int_ge(first, 60000);
	end = x.until;
	quarantine_tick(q, end);
	ck_assert(!quarantine_blocks(q, &p, end, &x));
	crash(q, "d", 4, p, end + 10);
	quarantine_tick(q, end + 600);
	ck_assert(quarantine_blocks(q, &p, end + 600, &x));
	ck_assert_int_eq(x.until - (end + 600), 2 * first);
	quarantine_free(q);
}
END_TEST

START_TEST(blocks_are_taken_over_and_ended_by_the_list_of_another_process)
{
	seen_t s;
	seen_t s2;
	quarantine_t *q = make_quarantine(&s);
	quarantine_t *other = make_quarantine(&s2);
	quarantine_part_t list[QUARANTINE_MAX];
	size_t n;

	crash(q, "a", 1, parts_of(CRASH_PART, 0, 0), 400);
	crash(q, "b", 2, parts_of(CRASH_PART, 0, 0), 700);
	crash(q, "c", 3, parts_of(CRASH_PART, 0, 0), 1000);
	quarantine_tick(q, 1500);
	crash(q, "e", 3, parts_of(9, 0, 0), 1600);
	n = quarantine_list(q, list, QUARANTINE_MAX);
	ck_assert_uint_eq(n, 2);
	for (size_t i = 0; i < n; i++)
		quarantine_adopt(other, &list[i], 1600);
	quarantine_tick(other, 1700);
	ck_assert(blocks(other, CRASH_PART, 1700));
	ck_assert(!blocks(other, 9, 1700));
	ck_assert(quarantine_has(other, 9));
	quarantine_retain(other, NULL, 0);
	ck_assert(!blocks(other, CRASH_PART, 1700));
	ck_assert(!quarantine_has(other, 9));
	quarantine_free(q);
	quarantine_free(other);
}
END_TEST

/* The leader that listed it may be lost, and the next one know of no crash. */
START_TEST(suspicion_of_another_process_ends_without_a_further_list)
{
	seen_t s;
	quarantine_t *q = make_quarantine(&s);
	quarantine_part_t x = {.part = 7, .crashes = 2, .since = 1000};

	quarantine_adopt(q, &x, 1500);
	quarantine_tick(q, 61000);
	ck_assert(quarantine_has(q, 7));
	quarantine_tick(q, 62000);
	ck_assert(!quarantine_has(q, 7));
	quarantine_free(q);
}
END_TEST

START_TEST(tables_are_bounded)
{
	seen_t s;
	quarantine_t *q = make_quarantine(&s);
	static quarantine_part_t list[QUARANTINE_MAX + 1];

	for (unsigned i = 0; i < 20000; i++) {
		char name[16];

		snprintf(name, sizeof(name), "r%u", i);
		crash(q, name, i, parts_of(i * 2 + 1, i * 2 + 2, 0), 1000 + i);
		quarantine_sound(q, i * 7 + 1, 1000 + i);
	}
	ck_assert_uint_le(quarantine_list(q, list, QUARANTINE_MAX + 1), QUARANTINE_MAX);
	quarantine_free(q);
}
END_TEST

/* ---- loads ---- */

typedef struct {
	prompt_parts_t parts;
	uint64_t id;
	deadline_t started;
	deadline_t begins; /* its answer */
	deadline_t ends;
	unsigned entry;
	unsigned attempt;
	bool running;
	bool began;
} run_t;

typedef struct {
	char id[16];
	unsigned incarnation;
	deadline_t down_until;
	run_t runs[SLOTS];
} replica_t;

/** What goes wrong. Times are in ms from the start. */
typedef struct {
	unsigned tainted_percent; /* of requests, from 4 s to the end */
	unsigned entries;
	bool cut_one_entry; /* from all replicas, from 10 s to 20 s */
	bool cut_all; /* half of the replicas from all entries, from 10 s to 15 s */
	unsigned lose_percent; /* of answers, from 10 s to 40 s */
	unsigned mass_crashes; /* from 10 s to 40 s, evenly */
} load_t;

typedef struct {
	const load_t *l;
	quarantine_t *q;
	replica_t replicas[REPLICAS];
	uint64_t random;
	uint64_t ids;
	deadline_t crash_times[4096];
	unsigned ncrashes;
	unsigned reached_late;
	unsigned sound_refused;
	seen_t seen;
} play_t;

static uint64_t draw(play_t *p, uint64_t below)
{
	return prng_next(&p->random) % below;
}

static replica_ref_t ref_of(const replica_t *r)
{
	return (replica_ref_t){str_c(r->id), 1000 + r->incarnation};
}

static bool has_part(const prompt_parts_t *p, uint64_t part)
{
	for (unsigned i = 0; i < p->n; i++) {
		if (p->v[i] == part)
			return true;
	}
	return false;
}

static void break_run(play_t *p, replica_t *r, run_t *x, deadline_t now)
{
	x->running = false;
	if (!x->began)
		quarantine_crash(
			p->q, &(quarantine_crash_t){ref_of(r), x->id, false, x->started, &x->parts},
			now);
}

static void crash_replica(play_t *p, replica_t *r, deadline_t now)
{
	p->crash_times[p->ncrashes++ % 4096] = now;
	for (unsigned i = 0; i < SLOTS; i++) {
		if (r->runs[i].running)
			break_run(p, r, &r->runs[i], now);
	}
	r->incarnation++;
	r->down_until = now + 3000;
}

static bool is_cut(const play_t *p, const replica_t *r, const run_t *x, deadline_t now)
{
	bool in_cut = now >= 10000 && now < 20000;

	if (p->l->cut_one_entry && in_cut && x->entry == 0)
		return true;
	return p->l->cut_all && now >= 10000 && now < 15000 && (r - p->replicas) % 2 == 0;
}

static void start_request(play_t *p, prompt_parts_t parts, uint64_t id, unsigned entry,
			  unsigned attempt, deadline_t now)
{
	quarantine_part_t by;
	bool tainted = has_part(&parts, CRASH_PART);

	if (attempt > ATTEMPTS)
		return;
	if (quarantine_blocks(p->q, &parts, now, &by)) {
		p->sound_refused += !tainted;
		return;
	}
	for (unsigned tries = 0; tries < 40; tries++) {
		replica_t *r = &p->replicas[draw(p, REPLICAS)];
		unsigned i = 0;

		while (i < SLOTS && r->runs[i].running)
			i++;
		if (r->down_until > now || i == SLOTS)
			continue;
		r->runs[i] = (run_t){.parts = parts,
				     .id = id,
				     .started = now,
				     .begins = now + 50 + (deadline_t)draw(p, 250),
				     .entry = entry,
				     .attempt = attempt,
				     .running = true};
		r->runs[i].ends = r->runs[i].begins + 500 + (deadline_t)draw(p, 2000);
		if (tainted && p->ncrashes >= 5 && now > p->crash_times[4] + CONTACT_MS)
			p->reached_late++;
		return;
	}
}

static void step_run(play_t *p, replica_t *r, run_t *x, deadline_t now)
{
	if (is_cut(p, r, x, now)) {
		run_t copy = *x;

		break_run(p, r, x, now);
		if (!copy.began)
			start_request(p, copy.parts, copy.id, copy.entry, copy.attempt + 1, now);
		return;
	}
	if (!x->began && now >= x->begins) {
		if (has_part(&x->parts, CRASH_PART)) {
			run_t copy = *x;

			crash_replica(p, r, now);
			if (draw(p, 2))
				start_request(p, copy.parts, copy.id, copy.entry, copy.attempt + 1,
					      now);
			return;
		}
		if (now >= 10000 && now < 40000 && draw(p, 100) < p->l->lose_percent) {
			break_run(p, r, x, now);
			return;
		}
		x->began = true;
		for (unsigned i = 0; i < x->parts.n; i++)
			quarantine_sound(p->q, x->parts.v[i], now);
		quarantine_alive(p->q, ref_of(r), now);
	}
	if (now >= x->ends) {
		x->running = false;
		quarantine_alive(p->q, ref_of(r), now);
	}
}

static void step_replicas(play_t *p, deadline_t now)
{
	for (unsigned i = 0; i < REPLICAS; i++) {
		for (unsigned j = 0; j < SLOTS; j++) {
			replica_t *r = &p->replicas[i];

			if (r->runs[j].running && r->down_until <= now)
				step_run(p, r, &r->runs[j], now);
		}
	}
	if (p->l->mass_crashes && now >= 10000 && now < 40000 &&
	    now % (30000 / p->l->mass_crashes) == 0)
		crash_replica(p, &p->replicas[draw(p, REPLICAS)], now);
}

static void play_load(play_t *p, const load_t *l, uint64_t seed)
{
	*p = (play_t){.l = l, .random = seed * 7919 + 1};
	p->q = make_quarantine(&p->seen);
	for (unsigned i = 0; i < REPLICAS; i++)
		snprintf(p->replicas[i].id, sizeof(p->replicas[i].id), "r%u", i);
	for (deadline_t now = 1; now < PLAY_MS; now++) {
		play_now = now;
		if (now % 15 == 0) {
			uint64_t common = 1 + draw(p, COMMON_PARTS);
			uint64_t rare = 1000 + draw(p, RARE_PARTS);
			bool tainted = now > 4000 && draw(p, 100) < l->tainted_percent;

			start_request(p,
				      tainted ? parts_of(common, CRASH_PART, rare)
					      : parts_of(common, rare, 0),
				      ++p->ids, (unsigned)draw(p, l->entries), 1, now);
		}
		step_replicas(p, now);
		if (now % 25 == 0)
			quarantine_tick(p->q, now);
	}
}

START_TEST(part_that_crashes_replicas_is_blocked_in_time)
{
	static const unsigned percents[] = {1, 5, 20};
	unsigned blocked_sound = 0;

	for (unsigned i = 0; i < 3; i++) {
		for (uint64_t seed = 1; seed <= SEEDS; seed++) {
			load_t l = {.tainted_percent = percents[i], .entries = 6};
			static play_t p;

			play_load(&p, &l, seed);
			ck_assert_msg(p.seen.blocked_at > 0, "%u%%, seed %llu: not blocked",
				      percents[i], (unsigned long long)seed);
			ck_assert_msg(p.reached_late <= 3, "%u%%, seed %llu: %u reached",
				      percents[i], (unsigned long long)seed, p.reached_late);
			blocked_sound += p.seen.blocked_sound;
			quarantine_free(p.q);
		}
	}
	ck_assert_uint_eq(blocked_sound, 0);
}
END_TEST

static void check_none_blocked(const load_t *l)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		static play_t p;

		play_load(&p, l, seed);
		ck_assert_msg(p.seen.blocked_sound == 0, "seed %llu: %u parts blocked, %u refused",
			      (unsigned long long)seed, p.seen.blocked_sound, p.sound_refused);
		quarantine_free(p.q);
	}
}

START_TEST(replicas_cut_from_one_entry_block_nothing)
{
	check_none_blocked(&(load_t){.entries = 6, .cut_one_entry = true});
	check_none_blocked(&(load_t){.entries = 60, .cut_one_entry = true});
}
END_TEST

START_TEST(replicas_cut_from_all_entries_block_nothing)
{
	check_none_blocked(&(load_t){.entries = 6, .cut_all = true});
}
END_TEST

START_TEST(lost_answers_block_nothing)
{
	check_none_blocked(&(load_t){.entries = 6, .lose_percent = 20});
}
END_TEST

START_TEST(crashes_of_many_replicas_block_nothing)
{
	check_none_blocked(&(load_t){.entries = 6, .mass_crashes = 20});
	check_none_blocked(&(load_t){.entries = 6, .mass_crashes = 60});
}
END_TEST

START_TEST(part_is_blocked_in_time_beside_other_faults)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		load_t l = {.tainted_percent = 5,
			    .entries = 6,
			    .cut_one_entry = true,
			    .lose_percent = 5,
			    .mass_crashes = 20};
		static play_t p;

		play_load(&p, &l, seed);
		ck_assert_uint_gt(p.seen.blocked_at, 0);
		ck_assert_msg(p.reached_late <= 3, "seed %llu: %u reached",
			      (unsigned long long)seed, p.reached_late);
		ck_assert_uint_eq(p.seen.blocked_sound, 0);
		quarantine_free(p.q);
	}
}
END_TEST

int main(void)
{
	Suite *s = suite_create("quarantine");
	TCase *t = tcase_create("quarantine");

	tcase_set_timeout(t, 60);
	tcase_add_test(t, part_of_three_crashes_is_blocked);
	tcase_add_test(t, parts_of_a_request_that_crashes_replicas_by_itself_are_not_blocked);
	tcase_add_test(t, part_of_two_requests_that_are_held_is_blocked);
	tcase_add_test(t, sound_part_of_the_same_first_crashes_is_not_blocked);
	tcase_add_test(t, parts_of_the_same_five_crashes_are_blocked_together);
	tcase_add_test(t, crash_under_one_part_of_a_group_clears_the_others);
	tcase_add_test(t, crash_of_a_replica_that_answers_later_is_taken_back);
	tcase_add_test(t, replicas_that_crash_together_block_no_part);
	tcase_add_test(t, part_that_crashes_replicas_together_and_one_by_one_is_blocked);
	tcase_add_test(t, crash_under_a_run_that_began_after_the_crash_before_counts);
	tcase_add_test(t, part_whose_block_ran_out_is_in_doubt);
	tcase_add_test(t, blocked_part_is_probed_after_ever_longer_pauses);
	tcase_add_test(t, answer_with_the_part_ends_its_block);
	tcase_add_test(t, next_block_is_twice_as_long_and_needs_one_crash);
	tcase_add_test(t, blocks_are_taken_over_and_ended_by_the_list_of_another_process);
	tcase_add_test(t, suspicion_of_another_process_ends_without_a_further_list);
	tcase_add_test(t, tables_are_bounded);
	tcase_add_test(t, part_that_crashes_replicas_is_blocked_in_time);
	tcase_add_test(t, replicas_cut_from_one_entry_block_nothing);
	tcase_add_test(t, replicas_cut_from_all_entries_block_nothing);
	tcase_add_test(t, lost_answers_block_nothing);
	tcase_add_test(t, crashes_of_many_replicas_block_nothing);
	tcase_add_test(t, part_is_blocked_in_time_beside_other_faults);
	suite_add_tcase(s, t);
	return suite_run(s);
}
