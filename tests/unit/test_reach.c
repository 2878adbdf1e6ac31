/* Plays an entry that connects to replicas through a path with faults, against its belief about the
 * path (policy/reach.h). Guards against an entry that goes on accepting callers although it reaches
 * no replica, and against one that gives up although it does. */
#include <stdio.h>
#include <stdlib.h>
#include "base/prng.h"
#include "policy/reach.h"
#include "suite_kit.h"

#define REPLICAS      9
#define STEP_MS	      5
#define CONNECT_MS    250 /* timeout of a connection */
#define ROUND_TRIP_MS 2
#define SILENCE_MS    200 /* after which an attempt without an answer ends */
#define CALLS_MAX     256

typedef enum {
	PATH_OPEN,
	PATH_HANGS, /* no packet passes, in both directions or in one */
	PATH_RESETS, /* connections are refused and reset at once */
	PATH_OLD_ONLY, /* old connections live on, new ones are refused */
	PATH_LOSES, /* a connection fails as often as not */
} path_t;

/** One connection, and the attempt or probe that uses it. */
typedef struct {
	unsigned replica;
	bool probe;
	bool old; /* made before: only the answer is awaited */
	deadline_t ends; /* 0: unused */
	bool fails;
} call_t;

typedef struct {
	reach_t *reach;
	uint64_t rnd;
	deadline_t now;
	path_t path[REPLICAS];
	bool silent[REPLICAS]; /* accepts connections but does not answer */
	unsigned pool[REPLICAS]; /* idle connections */
	call_t calls[CALLS_MAX];
	unsigned period_ms; /* between two attempts */
	deadline_t next_attempt;
	unsigned next_probe;
	unsigned first_replica; /* number in the id of replica 0: of those started again it differs
				 */
	unsigned probes;
	deadline_t cut_at; /* when the entry first counted as cut off; 0: never */
	deadline_t back_at; /* when it last counted so no more */
	unsigned cuts;
	bool was_cut;
} play_t;

static void play_init(play_t *p, unsigned period_ms)
{
	*p = (play_t){.reach = reach_new(),
		      .rnd = 11,
		      .now = 10000,
		      .period_ms = period_ms,
		      .next_attempt = 10000};
	reach_set_known(p->reach, REPLICAS);
}

static str_t replica_id(const play_t *p, unsigned i)
{
	static char ids[REPLICAS][16];

	snprintf(ids[i], sizeof(ids[i]), "r%u", p->first_replica + i);
	return str_c(ids[i]);
}

static void begin_call(play_t *p, unsigned replica, bool probe)
{
	bool old = !probe && p->pool[replica] > 0;
	path_t path = p->path[replica];
	call_t c = {.replica = replica, .probe = probe, .old = old, .ends = p->now + ROUND_TRIP_MS};
	bool lost = path == PATH_LOSES && prng_next(&p->rnd) % 2;

	if (path == PATH_HANGS || lost) {
		c.fails = true;
		c.ends = p->now + (old ? SILENCE_MS : CONNECT_MS);
	} else if (path == PATH_RESETS || (path == PATH_OLD_ONLY && !old)) {
		c.fails = true;
	} else if (p->silent[replica] && !probe) {
		c.fails = c.old = true;
		c.ends = p->now + SILENCE_MS;
		reach_connected(p->reach, replica_id(p, replica), false, p->now);
	}
	if (old && c.fails)
		p->pool[replica] = 0;
	for (int i = 0; i < CALLS_MAX; i++) {
		if (!p->calls[i].ends) {
			p->calls[i] = c;
			return;
		}
	}
	ck_abort_msg("too many calls");
}

static void end_call(play_t *p, call_t *c)
{
	str_t id = replica_id(p, c->replica);

	c->ends = 0;
	if (c->fails) {
		reach_failed(p->reach, id,
			     c->old	? REACH_NO_ANSWER
			     : c->probe ? REACH_PROBE_FAILED
					: REACH_NO_CONNECTION,
			     p->now);
		return;
	}
	if (!c->old)
		reach_connected(p->reach, id, c->probe, p->now);
	if (c->probe)
		return;
	reach_heard(p->reach, id, p->now);
	p->pool[c->replica] = 1;
}

static void note_state(play_t *p)
{
	bool cut = reach_state(p->reach, p->now) == REACH_CUT_OFF;

	if (cut && !p->was_cut) {
		p->cuts++;
		if (!p->cut_at)
			p->cut_at = p->now;
	}
	if (!cut && p->was_cut)
		p->back_at = p->now;
	p->was_cut = cut;
}

static void play_ms(play_t *p, int64_t ms)
{
	for (deadline_t end = p->now + ms; p->now < end; p->now += STEP_MS) {
		for (int i = 0; i < CALLS_MAX; i++) {
			if (p->calls[i].ends && p->now >= p->calls[i].ends)
				end_call(p, &p->calls[i]);
		}
		note_state(p);
		for (unsigned n = reach_take_probes(p->reach, p->now); n > 0; n--) {
			p->probes++;
			begin_call(p, p->next_probe++ % REPLICAS, true);
		}
		if (p->now < p->next_attempt)
			continue;
		p->next_attempt = p->now + p->period_ms;
		if (reach_state(p->reach, p->now) != REACH_CUT_OFF)
			begin_call(p, (unsigned)(prng_next(&p->rnd) % REPLICAS), false);
	}
}

static void set_path(play_t *p, unsigned from, unsigned to, path_t path)
{
	for (unsigned i = from; i < to; i++)
		p->path[i] = path;
}

/** Plays a cut of all replicas for 4 s, then 4 s without; returns the time to notice it. */
static int64_t play_cut(path_t path, unsigned period_ms)
{
	play_t p;
	deadline_t cut;
	deadline_t healed;
	int64_t noticed_ms;

	play_init(&p, period_ms);
	play_ms(&p, 3000);
	ck_assert_uint_eq(p.cuts, 0);
	cut = p.now;
	set_path(&p, 0, REPLICAS, path);
	play_ms(&p, 4000);
	ck_assert_msg(p.was_cut, "the cut was not noticed");
	healed = p.now;
	set_path(&p, 0, REPLICAS, PATH_OPEN);
	play_ms(&p, 4000);
	ck_assert_uint_eq(p.cuts, 1);
	ck_assert(!p.was_cut);
	ck_assert_int_le(p.back_at - healed, 1000);
	noticed_ms = p.cut_at - cut;
	ck_assert_int_gt(noticed_ms, 0);
	reach_free(p.reach);
	return noticed_ms;
}

START_TEST(an_entry_that_reaches_no_replica_is_cut_off_within_a_second_and_back_within_one)
{
	ck_assert_int_le(play_cut(PATH_HANGS, 20), 1000);
	ck_assert_int_le(play_cut(PATH_RESETS, 20), 1000);
}
END_TEST

/* The one replica that is reached must not make it accept callers again and again. */
START_TEST(an_entry_that_reaches_one_replica_of_nine_is_cut_off_until_it_reaches_others)
{
	static const path_t paths[] = {PATH_HANGS, PATH_RESETS};

	for (unsigned k = 0; k < sizeof(paths) / sizeof(paths[0]); k++) {
		play_t p;
		deadline_t healed;

		play_init(&p, 20);
		play_ms(&p, 3000);
		set_path(&p, 1, REPLICAS, paths[k]);
		play_ms(&p, 6000);
		ck_assert_uint_eq(p.cuts, 1);
		ck_assert(p.was_cut);
		ck_assert_int_le(p.cut_at, 10000 + 3000 + 1500);
		healed = p.now;
		set_path(&p, 0, REPLICAS, PATH_OPEN);
		play_ms(&p, 3000);
		ck_assert(!p.was_cut);
		ck_assert_uint_eq(p.cuts, 1);
		ck_assert_int_le(p.back_at - healed, 1000);
		reach_free(p.reach);
	}
}
END_TEST

START_TEST(an_entry_is_not_cut_off_for_good_when_all_replicas_come_back_under_new_ids)
{
	play_t p;
	deadline_t healed;

	play_init(&p, 20);
	play_ms(&p, 3000);
	set_path(&p, 0, REPLICAS, PATH_RESETS);
	play_ms(&p, 2000);
	ck_assert(p.was_cut);
	healed = p.now;
	p.first_replica = REPLICAS;
	set_path(&p, 0, REPLICAS, PATH_OPEN);
	play_ms(&p, 4000);
	ck_assert(!p.was_cut);
	ck_assert_uint_eq(p.cuts, 1);
	ck_assert_int_le(p.back_at - healed, 1000);
	reach_free(p.reach);
}
END_TEST

START_TEST(an_entry_with_few_callers_notices_a_cut_too)
{
	ck_assert_int_le(play_cut(PATH_HANGS, 300), 2500);
	ck_assert_int_le(play_cut(PATH_RESETS, 300), 2500);
}
END_TEST

START_TEST(an_entry_whose_old_connections_live_is_cut_off_once_new_ones_fail_for_long)
{
	play_t p;

	play_init(&p, 20);
	play_ms(&p, 3000);
	set_path(&p, 0, REPLICAS, PATH_OLD_ONLY);
	for (unsigned i = 0; i < REPLICAS; i += 2)
		p.pool[i] = 0;
	play_ms(&p, 1000);
	ck_assert_uint_eq(p.cuts, 0);
	for (int i = 0; i < 60; i++) {
		for (unsigned k = 0; k < REPLICAS; k += 2)
			p.pool[k] = 0;
		play_ms(&p, 50);
	}
	ck_assert_uint_eq(p.cuts, 1);
	reach_free(p.reach);
}
END_TEST

/* A replica that pauses, or all of them at once, is not a path that is cut. */
START_TEST(silence_of_sound_replicas_does_not_cut_off_an_entry)
{
	for (unsigned silent = 1; silent <= REPLICAS; silent++) {
		play_t p;

		play_init(&p, 10);
		play_ms(&p, 1000);
		for (unsigned i = 0; i < silent; i++)
			p.silent[i] = true;
		play_ms(&p, 1500);
		for (unsigned i = 0; i < silent; i++)
			p.silent[i] = false;
		play_ms(&p, 1000);
		ck_assert_uint_eq(p.cuts, 0);
		reach_free(p.reach);
	}
}
END_TEST

START_TEST(a_cut_of_some_replicas_does_not_cut_off_an_entry)
{
	static const path_t paths[] = {PATH_HANGS, PATH_RESETS, PATH_LOSES};

	for (unsigned k = 0; k < sizeof(paths) / sizeof(paths[0]); k++) {
		for (unsigned n = 1; n <= REPLICAS * 2 / 3; n++) {
			play_t p;

			play_init(&p, 10);
			play_ms(&p, 1000);
			set_path(&p, 0, n, paths[k]);
			play_ms(&p, 5000);
			ck_assert_msg(p.cuts == 0, "path %d of %u replicas", paths[k], n);
			reach_free(p.reach);
		}
	}
}
END_TEST

START_TEST(a_path_that_loses_packets_does_not_cut_off_an_entry_for_long)
{
	play_t p;
	deadline_t from;
	int64_t cut_ms = 0;

	play_init(&p, 20);
	play_ms(&p, 1000);
	set_path(&p, 0, REPLICAS, PATH_LOSES);
	for (from = p.now; p.now < from + 10000;) {
		play_ms(&p, 50);
		cut_ms += p.was_cut ? 50 : 0;
	}
	ck_assert_int_le(cut_ms, 1000);
	reach_free(p.reach);
}
END_TEST

START_TEST(probes_are_paced_and_stop_once_a_connection_is_made)
{
	play_t p;
	unsigned before;

	play_init(&p, 20);
	set_path(&p, 0, REPLICAS, PATH_HANGS);
	play_ms(&p, 10000);
	ck_assert_uint_le(p.probes, 10000 / REACH_PROBE_PERIOD_MS * REACH_PROBES_MAX);
	set_path(&p, 0, REPLICAS, PATH_OPEN);
	play_ms(&p, 1000);
	before = p.probes;
	play_ms(&p, 5000);
	ck_assert_uint_eq(p.probes, before);
	reach_free(p.reach);
}
END_TEST

START_TEST(an_entry_that_knows_one_replica_is_never_cut_off)
{
	play_t p;

	play_init(&p, 20);
	reach_set_known(p.reach, 1);
	set_path(&p, 0, REPLICAS, PATH_RESETS);
	play_ms(&p, 5000);
	ck_assert_uint_eq(p.cuts, 0);
	reach_free(p.reach);
}
END_TEST

START_TEST(failures_of_any_number_of_replicas_take_bounded_memory)
{
	reach_t *r = reach_new();
	reach_evidence_t e;

	reach_set_known(r, 10000);
	for (unsigned i = 0; i < 10000; i++) {
		char id[16];

		snprintf(id, sizeof(id), "r%u", i);
		reach_failed(r, str_c(id), REACH_PROBE_FAILED, 1000);
	}
	reach_evidence(r, 1300, &e);
	ck_assert_uint_eq(e.replicas_failed, REACH_REPLICAS_MAX);
	ck_assert_int_eq(reach_state(r, 1300), REACH_CUT_OFF);
	reach_free(r);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("reach");
	TCase *t = tcase_create("reach");

	tcase_add_test(
		t, an_entry_that_reaches_no_replica_is_cut_off_within_a_second_and_back_within_one);
	tcase_add_test(
		t, an_entry_that_reaches_one_replica_of_nine_is_cut_off_until_it_reaches_others);
	tcase_add_test(t,
		       an_entry_is_not_cut_off_for_good_when_all_replicas_come_back_under_new_ids);
	tcase_add_test(t, an_entry_with_few_callers_notices_a_cut_too);
	tcase_add_test(t,
		       an_entry_whose_old_connections_live_is_cut_off_once_new_ones_fail_for_long);
	tcase_add_test(t, silence_of_sound_replicas_does_not_cut_off_an_entry);
	tcase_add_test(t, a_cut_of_some_replicas_does_not_cut_off_an_entry);
	tcase_add_test(t, a_path_that_loses_packets_does_not_cut_off_an_entry_for_long);
	tcase_add_test(t, probes_are_paced_and_stop_once_a_connection_is_made);
	tcase_add_test(t, an_entry_that_knows_one_replica_is_never_cut_off);
	tcase_add_test(t, failures_of_any_number_of_replicas_take_bounded_memory);
	suite_add_tcase(s, t);
	return suite_run(s);
}
