/* Plays loads of requests at a fleet whose replicas crash or lose connections, for the quarantine
 * of prompt parts (policy/quarantine.h). Guard against a part that crashes one replica after the
 * other, and against blocks of sound parts. */
#include "base/prng.h"
#include "quarantine_kit.h"

#define REPLICAS     18
#define SLOTS	     8
#define PLAY_MS	     60000
#define CONTACT_MS   3000
#define COMMON_PARTS 6
#define RARE_PARTS   400
#define SEEDS	     20
#define ATTEMPTS     2

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
	Suite *s = suite_create("quarantine loads");
	TCase *t = tcase_create("quarantine loads");

	tcase_set_timeout(t, 60);
	tcase_add_test(t, part_that_crashes_replicas_is_blocked_in_time);
	tcase_add_test(t, replicas_cut_from_one_entry_block_nothing);
	tcase_add_test(t, replicas_cut_from_all_entries_block_nothing);
	tcase_add_test(t, lost_answers_block_nothing);
	tcase_add_test(t, crashes_of_many_replicas_block_nothing);
	tcase_add_test(t, part_is_blocked_in_time_beside_other_faults);
	suite_add_tcase(s, t);
	return suite_run(s);
}
