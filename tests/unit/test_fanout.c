/* Tests of the fan-out of configs (policy/fanout.h) and of the ring (policy/ring.h). A simulated
 * leader with a link of 600 Mbit/s sends configs to 250 entries with links of 30 Mbit/s, which
 * build a config on a tenth of a core. Guard against a leader that floods its link or its memory
 * when all entries reconnect or configs follow each other quickly, and against an entry that is
 * left with an old config. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/str.h"
#include "policy/ring.h"
#include "policy/fanout.h"
#include "suite_kit.h"

#define ENTRIES		    250
#define CONFIG_BYTES	    60000 /* a whole config: 2,000 routes, compressed */
#define DELTA_BYTES	    600
#define LEADER_BYTES_PER_US 75 /* link of the leader, 600 Mbit/s */
#define ENTRY_BYTES_PER_MS  3750 /* link of an entry, 30 Mbit/s */
#define BUILD_CONFIG_MS	    60 /* to build a whole config on a tenth of a core */
#define BUILD_DELTA_MS	    30
#define TICK_MS		    25
/* Time after which each connected entry must have the newest config. */
#define CONVERGE_MAX_MS 3000

typedef struct {
	fanout_config_id_t config;
	fanout_config_id_t sent_config;
	fanout_config_id_t sent_base;
	deadline_t ack_at; /* when sent_config is acknowledged; 0: none is in flight */
	bool frozen;
	unsigned whole_configs;
	unsigned deltas;
} entry_t;

typedef struct {
	fanout_t *fanout;
	deadline_t now;
	int64_t link_free_us; /* when the leader's link has sent all that is queued */
	fanout_config_id_t config;
	entry_t entries[ENTRIES];
	size_t sent_bytes;
	size_t max_in_flight;
	size_t most_for_one;
	int64_t converged_ms; /* of the newest config; -1: not all entries have it */
} fleet_t;

static fleet_t fleet;

/* Computes when the peer has received the bytes and built the config. */
static size_t on_send(void *ctx, uint64_t peer, fanout_config_id_t base)
{
	entry_t *e = &fleet.entries[peer];
	size_t bytes = base.number ? DELTA_BYTES : CONFIG_BYTES;
	fanout_stats_t st;

	/* At most one config is in flight to an entry. */
	ck_assert_int_eq(e->ack_at, 0);
	if (fleet.link_free_us < fleet.now * 1000)
		fleet.link_free_us = fleet.now * 1000;
	fleet.link_free_us += (int64_t)(bytes / LEADER_BYTES_PER_US);
	e->sent_config = fleet.config;
	e->sent_base = base;
	e->ack_at = fleet.link_free_us / 1000 + (deadline_t)(bytes / ENTRY_BYTES_PER_MS) +
		    (base.number ? BUILD_DELTA_MS : BUILD_CONFIG_MS);
	e->whole_configs += base.number == 0;
	e->deltas += base.number != 0;
	fleet.sent_bytes += bytes;
	fanout_stats(fleet.fanout, &st);
	if (st.in_flight_bytes + bytes > fleet.max_in_flight)
		fleet.max_in_flight = st.in_flight_bytes + bytes;
	return bytes;
}

static void on_converged(void *ctx, fanout_config_id_t config, size_t peers, int64_t ms)
{
	ck_assert(fanout_config_id_eq(config, fleet.config));
	fleet.converged_ms = ms;
}

/* Replaces the leader by a new one, to which no entry is connected. */
static void new_leader_without_config(void)
{
	fanout_callbacks_t cb = {NULL, on_send, on_converged};

	fanout_free(fleet.fanout);
	fleet.fanout = fanout_new(&cb);
	fleet.converged_ms = -1;
}

static void new_leader(void)
{
	new_leader_without_config();
	fanout_set_config(fleet.fanout, fleet.config, fleet.now);
}

/* Connects all entries to the leader; each reports the config that it has. */
static void connect_all(void)
{
	for (uint64_t i = 0; i < ENTRIES; i++) {
		fleet.entries[i].ack_at = 0; /* bytes in flight were lost with the old link */
		fanout_peer_add(fleet.fanout, i, fleet.entries[i].config, fleet.now);
	}
}

static void publish_config(void)
{
	fleet.config = (fanout_config_id_t){fleet.config.number + 1, fleet.config.digest * 31 + 7};
	fleet.converged_ms = -1;
	fanout_set_config(fleet.fanout, fleet.config, fleet.now);
}

/* Simulates ms milliseconds: entries that have built a config acknowledge it, unless they are
 * frozen. */
static void run(int64_t ms)
{
	for (deadline_t end = fleet.now + ms; fleet.now < end; fleet.now++) {
		for (uint64_t i = 0; i < ENTRIES; i++) {
			entry_t *e = &fleet.entries[i];

			if (!e->ack_at || fleet.now < e->ack_at || e->frozen)
				continue;
			e->ack_at = 0;
			if (e->sent_base.number == 0 ||
			    fanout_config_id_eq(e->sent_base, e->config))
				e->config = e->sent_config;
			fanout_peer_acked(fleet.fanout, i, e->config, fleet.now);
		}
		if (fleet.now % TICK_MS == 0)
			fanout_tick(fleet.fanout, fleet.now);
	}
}

/* Brings all entries to the first config. */
static void setup(void)
{
	fleet = (fleet_t){.now = 1000, .config = {1, 99}, .converged_ms = -1};
	new_leader();
	connect_all();
	run(CONVERGE_MAX_MS);
	ck_assert_int_ge(fleet.converged_ms, 0);
	ck_assert_uint_eq(fleet.sent_bytes, ENTRIES * CONFIG_BYTES);
	fleet.sent_bytes = 0;
}

static void teardown(void)
{
	fanout_free(fleet.fanout);
	fleet.fanout = NULL;
}

/* When a fleet starts, all entries need a whole config at once, which is 15 MB on the leader's
 * link. */
START_TEST(all_entries_get_a_first_config_in_time_with_bounded_bytes_in_flight)
{
	ck_assert_int_le(fleet.converged_ms, CONVERGE_MAX_MS / 2);
	ck_assert_uint_le(fleet.max_in_flight, FANOUT_IN_FLIGHT_BYTES + CONFIG_BYTES);
}
END_TEST

/* All entries reconnect after each failover. Whole configs for all of them would delay the new
 * leader's heartbeats and so cause the next failover. */
START_TEST(a_new_leader_sends_nothing_to_entries_that_have_the_config)
{
	for (unsigned round = 0; round < 5; round++) {
		new_leader();
		connect_all();
		run(200);
	}
	ck_assert_uint_eq(fleet.sent_bytes, 0);
	ck_assert_int_eq(fleet.converged_ms, 0);
}
END_TEST

START_TEST(entries_with_an_earlier_config_get_only_the_delta)
{
	publish_config();
	run(CONVERGE_MAX_MS);
	ck_assert_int_ge(fleet.converged_ms, 0);
	ck_assert_uint_eq(fleet.sent_bytes, ENTRIES * DELTA_BYTES);
}
END_TEST

/* An operator may publish configs faster than the entries take them. An entry then gets only the
 * newest one, so that nothing queues up. */
START_TEST(an_entry_is_current_once_it_has_the_newest_config)
{
	const fanout_config_id_t configs[] = {{1, 11}, {2, 22}};
	fanout_callbacks_t cb = {NULL, on_send, on_converged};

	memset(&fleet, 0, sizeof(fleet));
	fleet.fanout = fanout_new(&cb);
	fleet.config = configs[0];
	fanout_set_config(fleet.fanout, configs[0], 0);
	ck_assert(!fanout_peer_is_current(fleet.fanout, 1));
	fanout_peer_add(fleet.fanout, 1, configs[0], 0);
	ck_assert(fanout_peer_is_current(fleet.fanout, 1));
	fleet.config = configs[1];
	fanout_set_config(fleet.fanout, configs[1], 1);
	ck_assert(!fanout_peer_is_current(fleet.fanout, 1));
	fanout_peer_acked(fleet.fanout, 1, configs[1], 2);
	ck_assert(fanout_peer_is_current(fleet.fanout, 1));
	fanout_peer_remove(fleet.fanout, 1);
	ck_assert(!fanout_peer_is_current(fleet.fanout, 1));
	fanout_free(fleet.fanout);
	fleet.fanout = NULL;
}
END_TEST

START_TEST(configs_in_quick_succession_are_skipped_not_queued)
{
	for (unsigned i = 0; i < 25; i++) {
		publish_config();
		run(60);
	}
	run(CONVERGE_MAX_MS);
	ck_assert_int_ge(fleet.converged_ms, 0);
	ck_assert_int_le(fleet.converged_ms, 300);
	for (unsigned i = 0; i < ENTRIES; i++) {
		ck_assert_uint_eq(fleet.entries[i].whole_configs, 1);
		ck_assert_uint_le(fleet.entries[i].deltas, 26);
	}
}
END_TEST

/* A frozen entry acknowledges nothing. Its bytes must not use up the limit of bytes in flight for
 * ever. */
START_TEST(frozen_entries_do_not_delay_others)
{
	for (unsigned i = 0; i < ENTRIES; i++) {
		fleet.entries[i].frozen = i % 3 == 0;
		fleet.entries[i].config = (fanout_config_id_t){0, 0};
	}
	new_leader();
	connect_all();
	run(CONVERGE_MAX_MS);
	for (unsigned i = 0; i < ENTRIES; i++)
		ck_assert(fleet.entries[i].frozen ||
			  fanout_config_id_eq(fleet.entries[i].config, fleet.config));
	ck_assert_int_eq(fleet.converged_ms, -1);
	for (unsigned i = 0; i < ENTRIES; i++)
		fleet.entries[i].frozen = false;
	run(10);
	ck_assert_int_ge(fleet.converged_ms, 0);
}
END_TEST

/* Some entries have the new config and others the old one when they connect to the next leader. */
START_TEST(a_leader_lost_during_a_fan_out_is_replaced_by_the_next)
{
	publish_config();
	run(20);
	new_leader();
	connect_all();
	run(30);
	publish_config();
	publish_config();
	new_leader();
	connect_all();
	run(CONVERGE_MAX_MS);
	ck_assert_int_ge(fleet.converged_ms, 0);
	ck_assert_int_le(fleet.converged_ms, CONVERGE_MAX_MS / 2);
}
END_TEST

/* An entry without a config can answer no caller; the others still work with their old one. */
START_TEST(entries_without_a_config_are_served_first)
{
	unsigned first = ENTRIES - FANOUT_IN_FLIGHT_BYTES / CONFIG_BYTES;

	for (unsigned i = first; i < ENTRIES; i++)
		fleet.entries[i].config = (fanout_config_id_t){0, 0};
	new_leader_without_config();
	connect_all();
	publish_config();
	for (unsigned i = first; i < ENTRIES; i++)
		ck_assert_int_gt(fleet.entries[i].ack_at, 0);
	run(CONVERGE_MAX_MS);
	ck_assert_int_ge(fleet.converged_ms, 0);
}
END_TEST

/* A fan-out that took an entry for its earlier process would send deltas from a config that the
 * entry no longer has, or wait for acknowledgements that never come. */
START_TEST(a_restarted_entry_is_a_new_peer_without_a_config)
{
	fanout_stats_t st;

	publish_config();
	for (uint64_t i = 0; i < ENTRIES; i += 5) {
		fanout_peer_remove(fleet.fanout, i);
		fleet.entries[i].ack_at = 0;
		fleet.entries[i].config = (fanout_config_id_t){0, 0};
		fanout_peer_add(fleet.fanout, i, fleet.entries[i].config, fleet.now);
	}
	run(CONVERGE_MAX_MS);
	fanout_stats(fleet.fanout, &st);
	ck_assert_uint_eq(st.behind, 0);
	ck_assert_uint_eq(st.in_flight_bytes, 0);
	ck_assert_uint_eq(st.peers, ENTRIES);
}
END_TEST

/* ---- ring ---- */

#define SHARE_MAX 64

/* Makes the ring of n entries but the one at left_out; returns the number of points. */
static size_t make_ring(ring_point_t *ring, size_t n, size_t left_out)
{
	size_t k = 0;

	for (size_t i = 0; i < n; i++) {
		char addr[48];

		snprintf(addr, sizeof(addr), "10.1.0.%zu:8161", i);
		if (i != left_out)
			ring[k++] = (ring_point_t){str_hash(str_c(addr)), i};
	}
	ring_sort(ring, k);
	return k;
}

static uint64_t entry_hash(size_t i)
{
	char addr[48];

	snprintf(addr, sizeof(addr), "10.1.0.%zu:8161", i);
	return str_hash(str_c(addr));
}

START_TEST(each_entry_is_in_the_same_number_of_shares)
{
	static ring_point_t ring[ENTRIES];
	unsigned nshares[ENTRIES] = {0};
	size_t share[SHARE_MAX];
	size_t n = make_ring(ring, ENTRIES, ENTRIES);

	for (size_t i = 0; i < ENTRIES; i++) {
		ck_assert_uint_eq(ring_successors(ring, n, entry_hash(i), share, SHARE_MAX),
				  SHARE_MAX);
		ck_assert_uint_eq(share[0], i);
		for (size_t k = 0; k < SHARE_MAX; k++)
			nshares[share[k]]++;
	}
	for (size_t i = 0; i < ENTRIES; i++)
		ck_assert_uint_eq(nshares[i], SHARE_MAX);
}
END_TEST

START_TEST(an_entry_that_leaves_changes_only_the_shares_that_held_it)
{
	static ring_point_t ring[ENTRIES];
	static ring_point_t smaller_ring[ENTRIES];
	size_t a[SHARE_MAX];
	size_t b[SHARE_MAX];
	size_t n = make_ring(ring, ENTRIES, ENTRIES);
	size_t m = make_ring(smaller_ring, ENTRIES, 17);
	unsigned changed = 0;

	ck_assert_uint_eq(m, n - 1);
	for (size_t i = 0; i < ENTRIES; i++) {
		ring_successors(ring, n, entry_hash(i), a, SHARE_MAX);
		ring_successors(smaller_ring, m, entry_hash(i), b, SHARE_MAX);
		changed += memcmp(a, b, sizeof(a)) != 0;
	}
	ck_assert_uint_eq(changed, SHARE_MAX);
}
END_TEST

START_TEST(a_list_shorter_than_a_share_is_returned_whole)
{
	ring_point_t ring[5];
	size_t share[SHARE_MAX];
	size_t n = make_ring(ring, 5, 5);
	unsigned sum = 0;

	ck_assert_uint_eq(ring_successors(ring, n, UINT64_MAX, share, SHARE_MAX), 5);
	for (size_t k = 0; k < 5; k++)
		sum += 1U << share[k];
	ck_assert_uint_eq(sum, 31);
	ck_assert_uint_eq(ring_successors(ring, 0, 7, share, SHARE_MAX), 0);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("fanout");
	TCase *t = tcase_create("all");
	TCase *shares;

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, all_entries_get_a_first_config_in_time_with_bounded_bytes_in_flight);
	tcase_add_test(t, a_new_leader_sends_nothing_to_entries_that_have_the_config);
	tcase_add_test(t, entries_with_an_earlier_config_get_only_the_delta);
	tcase_add_test(t, an_entry_is_current_once_it_has_the_newest_config);
	tcase_add_test(t, configs_in_quick_succession_are_skipped_not_queued);
	tcase_add_test(t, frozen_entries_do_not_delay_others);
	tcase_add_test(t, a_leader_lost_during_a_fan_out_is_replaced_by_the_next);
	tcase_add_test(t, entries_without_a_config_are_served_first);
	tcase_add_test(t, a_restarted_entry_is_a_new_peer_without_a_config);
	suite_add_tcase(s, t);
	shares = tcase_create("shares");
	tcase_add_test(shares, each_entry_is_in_the_same_number_of_shares);
	tcase_add_test(shares, an_entry_that_leaves_changes_only_the_shares_that_held_it);
	tcase_add_test(shares, a_list_shorter_than_a_share_is_returned_whole);
	suite_add_tcase(s, shares);
	return suite_run(s);
}
