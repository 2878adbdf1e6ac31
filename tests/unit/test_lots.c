/* Tests of the state machine of batch lots (state/lots.h), and of packed strings (state/pack.h).
 * Guard against a lot that is accepted twice, results that change or move after a client has read
 * them, and memory that grows without limit. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "state/lots.h"
#include "state/pack.h"
#include "suite_kit.h"

#define NOW_MS 1000000

static wire_lots_cmd_t cmd;
static wire_lot_open_t lot_opens[4];
static wire_lot_result_t results[8];
static wire_bytes_t lot_ends[4];
static wire_lot_item_t items[4][8];
static wire_fleet_res_t res;

/* Starts a new command, to which add_open, add_result, add_end and add_progress add parts. */
static void begin_cmd(void)
{
	cmd = (wire_lots_cmd_t){.now_wall_ms = NOW_MS};
	cmd.opens.opens_val = lot_opens;
	cmd.results.results_val = results;
	cmd.ends.ends_val = lot_ends;
}

/* Adds the opening of a lot with n items of this many tokens each. */
static void add_open(const char *id, unsigned n, unsigned tokens, uint64_t quota)
{
	u_int k = cmd.opens.opens_len++;
	static char ids[4][8][32];

	lot_opens[k] = (wire_lot_open_t){.lot = wire_bytes(str_c(id)),
					 .route = wire_bytes(STR("h/p/")),
					 .host = wire_bytes(STR("h")),
					 .due_wall_ms = NOW_MS + 18000,
					 .drop_wall_ms = NOW_MS + 60000,
					 .forget_wall_ms = NOW_MS + 120000,
					 .quota = quota};
	lot_opens[k].items.items_val = items[k];
	lot_opens[k].items.items_len = n;
	for (unsigned i = 0; i < n; i++) {
		snprintf(ids[k][i], sizeof(ids[k][i]), "%s-%u", id, i);
		items[k][i] = (wire_lot_item_t){.id = wire_bytes(str_c(ids[k][i])),
						.path = wire_bytes(STR("/p/1")),
						.headers = wire_bytes(STR("A: b\r\n")),
						.body = wire_bytes(STR("body")),
						.tokens = tokens};
	}
}

static void add_result(const char *id, unsigned item, bool dead, const char *text)
{
	results[cmd.results.results_len++] =
		(wire_lot_result_t){wire_bytes(str_c(id)), item, dead, wire_bytes(str_c(text))};
}

static void add_end(const char *id)
{
	lot_ends[cmd.ends.ends_len++] = wire_bytes(str_c(id));
}

static void apply_cmd(lots_t *l)
{
	wire_free(XDR_PROC(wire_fleet_res_t), &res);
	res = (wire_fleet_res_t){0};
	lots_apply_cmd(l, &cmd, &res);
}

static lots_t *new_lots_with(const char *id, unsigned n)
{
	lots_t *l = lots_new();

	begin_cmd();
	add_open(id, n, 100, 0);
	apply_cmd(l);
	return l;
}

/* A client resends a lot whose answer it did not get. */
START_TEST(a_lot_is_accepted_once)
{
	lots_t *l = new_lots_with("a", 3);
	uint64_t serial = lots_find(l, STR("a"))->serial;

	begin_cmd();
	add_open("a", 2, 100, 0);
	apply_cmd(l);
	ck_assert_int_eq(res.opened.opened_val[0], STATUS_OK);
	ck_assert_uint_eq(lots_find(l, STR("a"))->nitems, 3);
	ck_assert_uint_eq(lots_find(l, STR("a"))->serial, serial);
	ck_assert_uint_eq(lots_waiting_tokens(l, STR("h/p/")), 300);
	lots_free(l);
}
END_TEST

/* A client reads results from a position on: a result inserted before that position would be lost
 * to it. */
START_TEST(results_are_listed_in_the_order_of_their_arrival)
{
	lots_t *l = new_lots_with("a", 3);
	const lot_t *lot;

	begin_cmd();
	add_result("a", 2, false, "two");
	add_result("a", 0, true, "");
	apply_cmd(l);
	lot = lots_find(l, STR("a"));
	ck_assert_uint_eq(lot->nfinished, 2);
	ck_assert_uint_eq(lot->finished[0], 2);
	ck_assert_uint_eq(lot->finished[1], 0);
	ck_assert_int_eq(lot->items[2].state, LOT_ITEM_DONE);
	ck_assert_int_eq(lot->items[0].state, LOT_ITEM_DEAD);
	ck_assert_int_eq(memcmp(lot->items[2].data, "two", 3), 0);
	lots_free(l);
}
END_TEST

START_TEST(the_first_result_of_an_item_is_kept)
{
	lots_t *l = new_lots_with("a", 2);
	const lot_t *lot;

	begin_cmd();
	add_result("a", 1, false, "first");
	add_result("a", 1, false, "second");
	add_result("a", 9, false, "no such item");
	add_result("b", 0, false, "no such lot");
	apply_cmd(l);
	lot = lots_find(l, STR("a"));
	ck_assert_uint_eq(lot->nfinished, 1);
	ck_assert_uint_eq(lot->items[1].data_n, 5);
	lots_free(l);
}
END_TEST

START_TEST(the_quota_counts_the_tokens_of_open_items)
{
	lots_t *l = lots_new();

	begin_cmd();
	add_open("a", 3, 100, 500);
	add_open("b", 3, 100, 500);
	apply_cmd(l);
	ck_assert_int_eq(res.opened.opened_val[0], STATUS_OK);
	ck_assert_int_eq(res.opened.opened_val[1], STATUS_LIMIT);
	ck_assert_ptr_null(lots_find(l, STR("b")));
	/* A result in the same command frees quota for the opening. */
	begin_cmd();
	add_result("a", 0, false, "x");
	add_open("b", 3, 100, 500);
	apply_cmd(l);
	ck_assert_int_eq(res.opened.opened_val[0], STATUS_OK);
	ck_assert_uint_eq(lots_waiting_tokens(l, STR("h/p/")), 500);
	lots_free(l);
}
END_TEST

START_TEST(an_ended_lot_frees_its_quota_and_keeps_its_results)
{
	lots_t *l = new_lots_with("a", 3);
	const lot_t *lot;

	begin_cmd();
	add_result("a", 1, false, "one");
	apply_cmd(l);
	begin_cmd();
	add_end("a");
	add_end("unknown");
	apply_cmd(l);
	begin_cmd();
	add_result("a", 2, false, "late");
	apply_cmd(l);
	lot = lots_find(l, STR("a"));
	ck_assert(lot->ended);
	ck_assert_uint_eq(lot->nfinished, 1);
	ck_assert_int_eq(memcmp(lot->items[1].data, "one", 3), 0);
	ck_assert_uint_eq(lots_waiting_tokens(l, STR("h/p/")), 0);
	lots_free(l);
}
END_TEST

/* The opening may still be pending at a leader that was lost when the end is applied. Run then, the
 * lot would use slots for results that nobody reads. */
START_TEST(a_lot_ended_before_its_opening_is_never_run)
{
	lots_t *l = lots_new();
	lots_t *copy = lots_new();
	AUTO_BUF snap = {0};
	const lot_t *lot;

	begin_cmd();
	add_end("a");
	add_end("a");
	apply_cmd(l);
	lots_snapshot(l, &snap);
	ck_assert_uint_ge(lots_bytes(l), snap.n);
	ck_assert_int_eq(lots_restore(copy, str_buf(&snap)), STATUS_OK);
	begin_cmd();
	add_open("a", 3, 100, 10);
	apply_cmd(copy);
	ck_assert_int_eq(res.opened.opened_val[0], STATUS_OK);
	lot = lots_find(copy, STR("a"));
	ck_assert_ptr_nonnull(lot);
	ck_assert(lot->ended);
	ck_assert_uint_eq(lot->nitems, 3);
	ck_assert_ptr_null(lot->items[0].data);
	ck_assert_uint_eq(lots_waiting_tokens(copy, STR("h/p/")), 0);
	lots_free(copy);
	lots_free(l);
}
END_TEST

/* The end of a lot that is not known is stored in case the opening follows; clients that send many
 * must not fill the memory. */
START_TEST(ends_of_unknown_lots_are_bounded_and_expire)
{
	lots_t *l = lots_new();
	size_t empty = lots_bytes(l);
	char id[32];

	for (int i = 0; i < 10000; i++) {
		snprintf(id, sizeof(id), "unknown-%d", i);
		begin_cmd();
		add_end(id);
		apply_cmd(l);
	}
	ck_assert_uint_le(lots_bytes(l), empty + 8192 * 40);
	begin_cmd();
	cmd.now_wall_ms = NOW_MS + 60000;
	apply_cmd(l);
	ck_assert_uint_eq(lots_bytes(l), empty);
	lots_free(l);
}
END_TEST

START_TEST(items_are_given_up_and_lots_removed_in_time)
{
	lots_t *l = new_lots_with("a", 2);

	begin_cmd();
	cmd.now_wall_ms = NOW_MS + 60000;
	apply_cmd(l);
	ck_assert_uint_eq(lots_find(l, STR("a"))->nfinished, 2);
	ck_assert_int_eq(lots_find(l, STR("a"))->items[0].state, LOT_ITEM_DEAD);
	begin_cmd();
	cmd.now_wall_ms = NOW_MS + 119999;
	apply_cmd(l);
	ck_assert_ptr_nonnull(lots_find(l, STR("a")));
	begin_cmd();
	cmd.now_wall_ms = NOW_MS + 120000;
	apply_cmd(l);
	ck_assert_ptr_null(lots_find(l, STR("a")));
	ck_assert_uint_eq(lots_waiting_tokens(l, STR("h/p/")), 0);
	lots_free(l);
}
END_TEST

/* Guards against items and lots that outlive their time because no command comes. A command at the
 * next expiry makes it later. */
START_TEST(the_next_expiry_is_that_of_open_items_then_of_the_lot)
{
	lots_t *l = lots_new();

	ck_assert_int_eq(lots_next_expiry(l), INT64_MAX);
	begin_cmd();
	add_open("a", 2, 100, 0);
	apply_cmd(l);
	ck_assert_int_eq(lots_next_expiry(l), NOW_MS + 60000);
	begin_cmd();
	cmd.now_wall_ms = NOW_MS + 60000;
	apply_cmd(l);
	ck_assert_int_eq(lots_next_expiry(l), NOW_MS + 120000);
	begin_cmd();
	cmd.now_wall_ms = NOW_MS + 120000;
	apply_cmd(l);
	ck_assert_int_eq(lots_next_expiry(l), INT64_MAX);
	lots_free(l);
}
END_TEST

START_TEST(an_ended_lot_and_an_early_end_expire)
{
	lots_t *l = new_lots_with("a", 2);
	int64_t early;

	begin_cmd();
	add_end("a");
	apply_cmd(l);
	ck_assert_int_eq(lots_next_expiry(l), NOW_MS + 120000);
	begin_cmd();
	add_end("unknown");
	apply_cmd(l);
	early = lots_next_expiry(l);
	ck_assert_int_lt(early, NOW_MS + 120000);
	begin_cmd();
	cmd.now_wall_ms = early;
	apply_cmd(l);
	ck_assert_int_eq(lots_next_expiry(l), NOW_MS + 120000);
	lots_free(l);
}
END_TEST

static void add_progress(const char *id, unsigned item, unsigned from, unsigned events,
			 const char *text)
{
	static wire_lot_progress_t v[4];

	cmd.progress.progress_val = v;
	v[cmd.progress.progress_len++] = (wire_lot_progress_t){wire_bytes(str_c(id)), item, from,
							       events, wire_bytes(str_c(text))};
}

/* A preempted or interrupted item resumes after the events that it has already produced, also
 * under a new leader. Progress that does not continue the stored text is ignored. */
START_TEST(the_partial_text_of_an_item_is_kept_until_its_result)
{
	lots_t *l = new_lots_with("a", 2);
	lots_t *copy = lots_new();
	const lot_item_t *item;
	buf_t snap = {0};

	begin_cmd();
	add_progress("a", 1, 0, 2, "one\ntwo");
	add_progress("a", 1, 1, 3, "not behind what is held");
	add_progress("a", 1, 2, 3, "\nthree");
	add_progress("zz", 0, 0, 1, "no such lot");
	apply_cmd(l);
	lots_snapshot(l, &snap);
	ck_assert_int_eq(lots_restore(copy, str_buf(&snap)), STATUS_OK);
	item = &lots_find(copy, STR("a"))->items[1];
	ck_assert_uint_eq(item->partial_events, 3);
	ck_assert(str_eq((str_t){item->partial_text, item->partial_n}, STR("one\ntwo\nthree")));
	begin_cmd();
	add_result("a", 1, false, "one\ntwo\nthree\nfour");
	apply_cmd(l);
	item = &lots_find(l, STR("a"))->items[1];
	ck_assert_uint_eq(item->partial_events, 0);
	ck_assert_ptr_null(item->partial_text);
	buf_free(&snap);
	lots_free(copy);
	lots_free(l);
}
END_TEST

/* The leader refuses new lots by this count. If it were too low, snapshots would grow beyond the
 * limit. */
START_TEST(the_byte_count_is_at_least_the_size_of_a_snapshot)
{
	lots_t *l = lots_new();
	static char text[20000];
	AUTO_BUF snap = {0};

	memset(text, 'x', sizeof(text) - 1);
	begin_cmd();
	add_open("a", 8, 10, 0);
	add_open("b", 8, 10, 0);
	apply_cmd(l);
	begin_cmd();
	add_result("a", 0, false, text);
	add_result("a", 1, false, text);
	add_result("b", 0, true, "");
	apply_cmd(l);
	lots_snapshot(l, &snap);
	ck_assert_uint_ge(lots_bytes(l), snap.n);
	ck_assert_uint_le(lots_bytes(l), snap.n + snap.n / 10);
	/* 13 items are open, and the results so far are 19,999 bytes long. */
	ck_assert_uint_eq(lots_bytes_expected(l), lots_bytes(l) + 13 * (sizeof(text) - 1));
	begin_cmd();
	add_end("a");
	apply_cmd(l);
	ck_assert_uint_eq(lots_bytes_expected(l), lots_bytes(l) + 7 * (sizeof(text) - 1));
	lots_free(l);
}
END_TEST

START_TEST(strings_packed_in_pieces_are_read_whole)
{
	AUTO_BUF out = {0};
	unpacker_t in;
	size_t begun;

	pack_u64(&out, 7);
	begun = pack_begin_str(&out);
	for (int i = 0; i < 300; i++)
		buf_add(&out, STR("piece"));
	pack_end_str(&out, begun);
	begun = pack_begin_str(&out);
	pack_end_str(&out, begun);
	pack_u64(&out, 8);
	in = (unpacker_t){str_buf(&out), false};
	ck_assert_uint_eq(unpack_u64(&in), 7);
	ck_assert_uint_eq(unpack_str(&in).n, 1500);
	ck_assert_uint_eq(unpack_str(&in).n, 0);
	ck_assert_uint_eq(unpack_u64(&in), 8);
	ck_assert_int_eq(unpack_end(&in, "test"), STATUS_OK);
}
END_TEST

START_TEST(a_snapshot_restores_everything)
{
	lots_t *l = new_lots_with("a", 3);
	lots_t *copy = lots_new();
	buf_t one = {0};
	buf_t two = {0};

	begin_cmd();
	add_open("b", 2, 50, 0);
	add_result("a", 1, false, "text\nof it");
	add_end("b");
	apply_cmd(l);
	lots_snapshot(l, &one);
	ck_assert_int_eq(lots_restore(copy, str_buf(&one)), STATUS_OK);
	lots_snapshot(copy, &two);
	ck_assert(str_eq(str_buf(&one), str_buf(&two)));
	ck_assert_uint_eq(lots_waiting_tokens(copy, STR("h/p/")),
			  lots_waiting_tokens(l, STR("h/p/")));
	ck_assert_int_eq(lot_find_item(lots_find(copy, STR("a")), STR("a-2")), 2);
	ck_assert_int_eq(lot_find_item(lots_find(copy, STR("a")), STR("zz")), -1);
	buf_free(&one);
	buf_free(&two);
	lots_free(copy);
	lots_free(l);
}
END_TEST

START_TEST(a_truncated_snapshot_is_an_error_and_changes_nothing)
{
	lots_t *l = new_lots_with("a", 3);
	lots_t *other = new_lots_with("keep", 1);
	buf_t one = {0};

	lots_snapshot(l, &one);
	for (size_t n = 0; n < one.n; n++) {
		ck_assert_int_eq(lots_restore(other, (str_t){one.p, n}), STATUS_CORRUPT);
		ck_assert_ptr_nonnull(lots_find(other, STR("keep")));
	}
	buf_free(&one);
	lots_free(other);
	lots_free(l);
}
END_TEST

/* After any commands the counts must add up, a result must keep its position, and a restored copy
 * must behave like the original. */
START_TEST(random_commands_keep_the_invariants)
{
	lots_t *l = lots_new();
	unsigned seed = 4711;
	uint32_t first_seen[8][8];
	uint32_t nfirst_seen[8] = {0};

	for (int step = 0; step < 3000; step++) {
		char id[16];
		unsigned k = (unsigned)rand_r(&seed) % 8;
		uint64_t waiting = 0;

		snprintf(id, sizeof(id), "lot%u", k);
		begin_cmd();
		switch (rand_r(&seed) % 4) {
		case 0:
			add_open(id, 1 + (unsigned)rand_r(&seed) % 7, 10, 300);
			break;
		case 1:
			if (rand_r(&seed) % 40 == 0)
				add_end(id);
			break;
		default:
			add_result(id, (unsigned)rand_r(&seed) % 8, rand_r(&seed) % 9 == 0, "t");
			break;
		}
		apply_cmd(l);
		if (step % 100 == 0) {
			buf_t b = {0};
			lots_t *copy = lots_new();

			lots_snapshot(l, &b);
			ck_assert_int_eq(lots_restore(copy, str_buf(&b)), STATUS_OK);
			lots_free(l);
			l = copy;
			buf_free(&b);
		}
		for (const lot_t *lot = lots_first(l); lot; lot = lot->hh.next) {
			unsigned open = 0;
			unsigned n = (unsigned)(lot->id[3] - '0');

			for (uint32_t i = 0; i < lot->nitems; i++)
				open += lot->items[i].state == LOT_ITEM_OPEN;
			ck_assert_uint_eq(open + lot->nfinished, lot->nitems);
			waiting += lot->ended ? 0 : open * 10;
			for (uint32_t i = 0; i < nfirst_seen[n]; i++)
				ck_assert_uint_eq(lot->finished[i], first_seen[n][i]);
			for (; nfirst_seen[n] < lot->nfinished; nfirst_seen[n]++)
				first_seen[n][nfirst_seen[n]] = lot->finished[nfirst_seen[n]];
		}
		ck_assert_uint_eq(lots_waiting_tokens(l, STR("h/p/")), waiting);
		ck_assert_uint_le(waiting, 300);
	}
	lots_free(l);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("lots");
	TCase *t = tcase_create("all");

	tcase_add_test(t, a_lot_is_accepted_once);
	tcase_add_test(t, results_are_listed_in_the_order_of_their_arrival);
	tcase_add_test(t, the_first_result_of_an_item_is_kept);
	tcase_add_test(t, the_quota_counts_the_tokens_of_open_items);
	tcase_add_test(t, an_ended_lot_frees_its_quota_and_keeps_its_results);
	tcase_add_test(t, a_lot_ended_before_its_opening_is_never_run);
	tcase_add_test(t, ends_of_unknown_lots_are_bounded_and_expire);
	tcase_add_test(t, items_are_given_up_and_lots_removed_in_time);
	tcase_add_test(t, the_next_expiry_is_that_of_open_items_then_of_the_lot);
	tcase_add_test(t, an_ended_lot_and_an_early_end_expire);
	tcase_add_test(t, the_partial_text_of_an_item_is_kept_until_its_result);
	tcase_add_test(t, the_byte_count_is_at_least_the_size_of_a_snapshot);
	tcase_add_test(t, strings_packed_in_pieces_are_read_whole);
	tcase_add_test(t, a_snapshot_restores_everything);
	tcase_add_test(t, a_truncated_snapshot_is_an_error_and_changes_nothing);
	tcase_add_test(t, random_commands_keep_the_invariants);
	suite_add_tcase(s, t);
	return suite_run(s);
}
