/* The fan-out of texts to hundreds of entries: a played fleet with links of 30 Mbit/s behind the
 * leader's of 600 Mbit/s, and entries that put a text together on a tenth of a core. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/str.h"
#include "policy/ring.h"
#include "policy/fanout.h"
#include "suite_kit.h"

#define ENTRIES	     250
#define WHOLE_BYTES  60000 /* 2,000 routes, packed */
#define CHANGE_BYTES 600
#define LEADER_BYTES 75 /* a us */
#define ENTRY_BYTES  3750 /* a ms */
#define WHOLE_MS     60 /* to put them together on a tenth of a core */
#define CHANGE_MS    30
#define TICK_MS	     25
/* No entry may fall behind by more, in ms, by the platform's rules. */
#define APPLY_MS 3000

typedef struct {
	fanout_config_id_t config;
	fanout_config_id_t sent_config;
	fanout_config_id_t sent_base;
	deadline_t ack_at; /* 0: nothing is coming */
	bool frozen;
	unsigned whole_configs;
	unsigned deltas;
} entry_t;

typedef struct {
	fanout_t *fanout;
	deadline_t now;
	int64_t link_free_us; /* when the leader's link has sent what was given to it */
	fanout_config_id_t config;
	entry_t entries[ENTRIES];
	size_t sent_bytes;
	size_t max_in_flight;
	size_t most_for_one;
	int64_t converged_ms; /* of the newest text; -1: not all hold it */
} fleet_t;

static fleet_t fl;

static size_t on_send(void *ctx, uint64_t peer, fanout_config_id_t base)
{
	entry_t *e = &fl.entries[peer];
	size_t bytes = base.number ? CHANGE_BYTES : WHOLE_BYTES;
	fanout_stats_t st;

	/* At most one text is on its way to an entry. */
	ck_assert_int_eq(e->ack_at, 0);
	if (fl.link_free_us < fl.now * 1000)
		fl.link_free_us = fl.now * 1000;
	fl.link_free_us += (int64_t)(bytes / LEADER_BYTES);
	e->sent_config = fl.config;
	e->sent_base = base;
	e->ack_at = fl.link_free_us / 1000 + (deadline_t)(bytes / ENTRY_BYTES) +
		      (base.number ? CHANGE_MS : WHOLE_MS);
	e->whole_configs += base.number == 0;
	e->deltas += base.number != 0;
	fl.sent_bytes += bytes;
	fanout_stats(fl.fanout, &st);
	if (st.in_flight_bytes + bytes > fl.max_in_flight)
		fl.max_in_flight = st.in_flight_bytes + bytes;
	return bytes;
}

static void on_held(void *ctx, fanout_config_id_t text, size_t peers, int64_t ms)
{
	ck_assert(fanout_config_id_eq(text, fl.config));
	fl.converged_ms = ms;
}

static void lead_without_text(void)
{
	fanout_callbacks_t cb = {NULL, on_send, on_held};

	fanout_free(fl.fanout);
	fl.fanout = fanout_new(&cb);
	fl.converged_ms = -1;
}

static void lead(void)
{
	lead_without_text();
	fanout_set_config(fl.fanout, fl.config, fl.now);
}

static void link_all(void)
{
	for (uint64_t i = 0; i < ENTRIES; i++) {
		fl.entries[i].ack_at = 0; /* what was on its way went with the old link */
		fanout_peer_add(fl.fanout, i, fl.entries[i].config, fl.now);
	}
}

static void submit(void)
{
	fl.config = (fanout_config_id_t){fl.config.number + 1, fl.config.digest * 31 + 7};
	fl.converged_ms = -1;
	fanout_set_config(fl.fanout, fl.config, fl.now);
}

static void play(int64_t ms)
{
	for (deadline_t end = fl.now + ms; fl.now < end; fl.now++) {
		for (uint64_t i = 0; i < ENTRIES; i++) {
			entry_t *e = &fl.entries[i];

			if (!e->ack_at || fl.now < e->ack_at || e->frozen)
				continue;
			e->ack_at = 0;
			if (e->sent_base.number == 0 || fanout_config_id_eq(e->sent_base, e->config))
				e->config = e->sent_config;
			fanout_peer_acked(fl.fanout, i, e->config, fl.now);
		}
		if (fl.now % TICK_MS == 0)
			fanout_tick(fl.fanout, fl.now);
	}
}

static void setup(void)
{
	fl = (fleet_t){.now = 1000, .config = {1, 99}, .converged_ms = -1};
	lead();
	link_all();
	play(APPLY_MS);
	ck_assert_int_ge(fl.converged_ms, 0);
	ck_assert_uint_eq(fl.sent_bytes, ENTRIES * WHOLE_BYTES);
	fl.sent_bytes = 0;
}

static void teardown(void)
{
	fanout_free(fl.fanout);
	fl.fanout = NULL;
}

START_TEST(all_entries_get_a_first_text_in_time_with_bounded_bytes_on_the_way)
{
	ck_assert_int_le(fl.converged_ms, APPLY_MS / 2);
	ck_assert_uint_le(fl.max_in_flight, FANOUT_IN_FLIGHT_BYTES + WHOLE_BYTES);
}
END_TEST

START_TEST(a_new_leader_sends_nothing_to_entries_that_hold_the_text)
{
	for (unsigned round = 0; round < 5; round++) {
		lead();
		link_all();
		play(200);
	}
	ck_assert_uint_eq(fl.sent_bytes, 0);
	ck_assert_int_eq(fl.converged_ms, 0);
}
END_TEST

START_TEST(holders_of_an_earlier_text_get_the_change_only)
{
	submit();
	play(APPLY_MS);
	ck_assert_int_ge(fl.converged_ms, 0);
	ck_assert_uint_eq(fl.sent_bytes, ENTRIES * CHANGE_BYTES);
}
END_TEST

START_TEST(texts_in_quick_succession_are_skipped_not_queued)
{
	for (unsigned i = 0; i < 25; i++) {
		submit();
		play(60);
	}
	play(APPLY_MS);
	ck_assert_int_ge(fl.converged_ms, 0);
	ck_assert_int_le(fl.converged_ms, 300);
	for (unsigned i = 0; i < ENTRIES; i++) {
		ck_assert_uint_eq(fl.entries[i].whole_configs, 1);
		ck_assert_uint_le(fl.entries[i].deltas, 26);
	}
}
END_TEST

START_TEST(frozen_entries_hold_up_no_others)
{
	for (unsigned i = 0; i < ENTRIES; i++) {
		fl.entries[i].frozen = i % 3 == 0;
		fl.entries[i].config = (fanout_config_id_t){0, 0};
	}
	lead();
	link_all();
	play(APPLY_MS);
	for (unsigned i = 0; i < ENTRIES; i++)
		ck_assert(fl.entries[i].frozen || fanout_config_id_eq(fl.entries[i].config, fl.config));
	ck_assert_int_eq(fl.converged_ms, -1);
	for (unsigned i = 0; i < ENTRIES; i++)
		fl.entries[i].frozen = false;
	play(10);
	ck_assert_int_ge(fl.converged_ms, 0);
}
END_TEST

START_TEST(a_leader_lost_in_the_midst_is_made_up_for_by_the_next)
{
	submit();
	play(20);
	lead();
	link_all();
	play(30);
	submit();
	submit();
	lead();
	link_all();
	play(APPLY_MS);
	ck_assert_int_ge(fl.converged_ms, 0);
	ck_assert_int_le(fl.converged_ms, APPLY_MS / 2);
}
END_TEST

START_TEST(entries_without_a_text_come_first)
{
	unsigned first = ENTRIES - FANOUT_IN_FLIGHT_BYTES / WHOLE_BYTES;

	for (unsigned i = first; i < ENTRIES; i++)
		fl.entries[i].config = (fanout_config_id_t){0, 0};
	lead_without_text();
	link_all();
	submit();
	for (unsigned i = first; i < ENTRIES; i++)
		ck_assert_int_gt(fl.entries[i].ack_at, 0);
	play(APPLY_MS);
	ck_assert_int_ge(fl.converged_ms, 0);
}
END_TEST

/* An entry that starts again is another peer, which holds nothing. */
START_TEST(entries_that_restart_are_forgotten)
{
	fanout_stats_t st;

	submit();
	for (uint64_t i = 0; i < ENTRIES; i += 5) {
		fanout_peer_remove(fl.fanout, i);
		fl.entries[i].ack_at = 0;
		fl.entries[i].config = (fanout_config_id_t){0, 0};
		fanout_peer_add(fl.fanout, i, fl.entries[i].config, fl.now);
	}
	play(APPLY_MS);
	fanout_stats(fl.fanout, &st);
	ck_assert_uint_eq(st.behind, 0);
	ck_assert_uint_eq(st.in_flight_bytes, 0);
	ck_assert_uint_eq(st.peers, ENTRIES);
}
END_TEST

/* ---- shares of the lists ---- */

#define SHARE 64

static size_t ring_of(ring_point_t *ring, size_t n, size_t without)
{
	size_t k = 0;

	for (size_t i = 0; i < n; i++) {
		char addr[48];

		snprintf(addr, sizeof(addr), "10.1.0.%zu:8161", i);
		if (i != without)
			ring[k++] = (ring_point_t){str_hash(str_c(addr)), i};
	}
	ring_sort(ring, k);
	return k;
}

static uint64_t hash_of(size_t i)
{
	char addr[48];

	snprintf(addr, sizeof(addr), "10.1.0.%zu:8161", i);
	return str_hash(str_c(addr));
}

START_TEST(each_entry_is_in_as_many_shares_as_any_other)
{
	static ring_point_t ring[ENTRIES];
	unsigned in[ENTRIES] = {0};
	size_t out[SHARE];
	size_t n = ring_of(ring, ENTRIES, ENTRIES);

	for (size_t i = 0; i < ENTRIES; i++) {
		ck_assert_uint_eq(ring_successors(ring, n, hash_of(i), out, SHARE), SHARE);
		ck_assert_uint_eq(out[0], i);
		for (size_t k = 0; k < SHARE; k++)
			in[out[k]]++;
	}
	for (size_t i = 0; i < ENTRIES; i++)
		ck_assert_uint_eq(in[i], SHARE);
}
END_TEST

START_TEST(an_entry_that_goes_changes_the_shares_of_those_that_had_it_only)
{
	static ring_point_t ring[ENTRIES];
	static ring_point_t less[ENTRIES];
	size_t a[SHARE];
	size_t b[SHARE];
	size_t n = ring_of(ring, ENTRIES, ENTRIES);
	size_t m = ring_of(less, ENTRIES, 17);
	unsigned changed = 0;

	ck_assert_uint_eq(m, n - 1);
	for (size_t i = 0; i < ENTRIES; i++) {
		ring_successors(ring, n, hash_of(i), a, SHARE);
		ring_successors(less, m, hash_of(i), b, SHARE);
		changed += memcmp(a, b, sizeof(a)) != 0;
	}
	ck_assert_uint_eq(changed, SHARE);
}
END_TEST

START_TEST(a_short_list_is_told_whole)
{
	ring_point_t ring[5];
	size_t out[SHARE];
	size_t n = ring_of(ring, 5, 5);
	unsigned sum = 0;

	ck_assert_uint_eq(ring_successors(ring, n, UINT64_MAX, out, SHARE), 5);
	for (size_t k = 0; k < 5; k++)
		sum += 1U << out[k];
	ck_assert_uint_eq(sum, 31);
	ck_assert_uint_eq(ring_successors(ring, 0, 7, out, SHARE), 0);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("fanout");
	TCase *t = tcase_create("all");
	TCase *shares;

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, all_entries_get_a_first_text_in_time_with_bounded_bytes_on_the_way);
	tcase_add_test(t, a_new_leader_sends_nothing_to_entries_that_hold_the_text);
	tcase_add_test(t, holders_of_an_earlier_text_get_the_change_only);
	tcase_add_test(t, texts_in_quick_succession_are_skipped_not_queued);
	tcase_add_test(t, frozen_entries_hold_up_no_others);
	tcase_add_test(t, a_leader_lost_in_the_midst_is_made_up_for_by_the_next);
	tcase_add_test(t, entries_without_a_text_come_first);
	tcase_add_test(t, entries_that_restart_are_forgotten);
	suite_add_tcase(s, t);
	shares = tcase_create("shares");
	tcase_add_test(shares, each_entry_is_in_as_many_shares_as_any_other);
	tcase_add_test(shares, an_entry_that_goes_changes_the_shares_of_those_that_had_it_only);
	tcase_add_test(shares, a_short_list_is_told_whole);
	suite_add_tcase(s, shares);
	return suite_run(s);
}
