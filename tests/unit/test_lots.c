/* Unit tests of the state machine of batch lots. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "state/lots.h"
#include "state/pack.h"
#include "suite_kit.h"

#define NOW 1000000

static wire_lots_cmd_t cmd;
static wire_lot_open_t opens[4];
static wire_lot_result_t results[8];
static wire_bytes_t ends[4];
static wire_lot_item_t items[4][8];
static wire_fleet_res_t res;

static void begin(void)
{
	cmd = (wire_lots_cmd_t){.now_wall_ms = NOW};
	cmd.opens.opens_val = opens;
	cmd.results.results_val = results;
	cmd.ends.ends_val = ends;
}

static void add_open(const char *id, unsigned n, unsigned tokens, uint64_t quota)
{
	u_int k = cmd.opens.opens_len++;
	static char ids[4][8][32];

	opens[k] = (wire_lot_open_t){.lot = wire_bytes(str_c(id)),
				     .route = wire_bytes(STR("h/p/")),
				     .host = wire_bytes(STR("h")),
				     .due_wall_ms = NOW + 18000,
				     .drop_wall_ms = NOW + 60000,
				     .forget_wall_ms = NOW + 120000,
				     .quota = quota};
	opens[k].items.items_val = items[k];
	opens[k].items.items_len = n;
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
	ends[cmd.ends.ends_len++] = wire_bytes(str_c(id));
}

static void apply(lots_t *l)
{
	wire_free(XDR_PROC(wire_fleet_res_t), &res);
	res = (wire_fleet_res_t){0};
	lots_apply_cmd(l, &cmd, &res);
}

static lots_t *with_lot(const char *id, unsigned n)
{
	lots_t *l = lots_new();

	begin();
	add_open(id, n, 100, 0);
	apply(l);
	return l;
}

START_TEST(a_lot_is_accepted_once)
{
	lots_t *l = with_lot("a", 3);
	uint64_t serial = lots_find(l, STR("a"))->serial;

	begin();
	add_open("a", 2, 100, 0);
	apply(l);
	ck_assert_int_eq(res.opened.opened_val[0], STATUS_OK);
	ck_assert_uint_eq(lots_find(l, STR("a"))->nitems, 3);
	ck_assert_uint_eq(lots_find(l, STR("a"))->serial, serial);
	ck_assert_uint_eq(lots_waiting_tokens(l, STR("h/p/")), 300);
	lots_free(l);
}
END_TEST

START_TEST(results_stand_in_the_order_in_which_they_came)
{
	lots_t *l = with_lot("a", 3);
	const lot_t *t;

	begin();
	add_result("a", 2, false, "two");
	add_result("a", 0, true, "");
	apply(l);
	t = lots_find(l, STR("a"));
	ck_assert_uint_eq(t->nfinished, 2);
	ck_assert_uint_eq(t->finished[0], 2);
	ck_assert_uint_eq(t->finished[1], 0);
	ck_assert_int_eq(t->items[2].state, LOT_ITEM_DONE);
	ck_assert_int_eq(t->items[0].state, LOT_ITEM_DEAD);
	ck_assert_int_eq(memcmp(t->items[2].data, "two", 3), 0);
	lots_free(l);
}
END_TEST

START_TEST(the_first_result_of_an_item_stands)
{
	lots_t *l = with_lot("a", 2);
	const lot_t *t;

	begin();
	add_result("a", 1, false, "first");
	add_result("a", 1, false, "second");
	add_result("a", 9, false, "no such item");
	add_result("b", 0, false, "no such lot");
	apply(l);
	t = lots_find(l, STR("a"));
	ck_assert_uint_eq(t->nfinished, 1);
	ck_assert_uint_eq(t->items[1].data_n, 5);
	lots_free(l);
}
END_TEST

START_TEST(the_quota_counts_what_waits)
{
	lots_t *l = lots_new();

	begin();
	add_open("a", 3, 100, 500);
	add_open("b", 3, 100, 500);
	apply(l);
	ck_assert_int_eq(res.opened.opened_val[0], STATUS_OK);
	ck_assert_int_eq(res.opened.opened_val[1], STATUS_LIMIT);
	ck_assert_ptr_null(lots_find(l, STR("b")));
	/* What is finished makes room in the same commit. */
	begin();
	add_result("a", 0, false, "x");
	add_open("b", 3, 100, 500);
	apply(l);
	ck_assert_int_eq(res.opened.opened_val[0], STATUS_OK);
	ck_assert_uint_eq(lots_waiting_tokens(l, STR("h/p/")), 500);
	lots_free(l);
}
END_TEST

START_TEST(an_ended_lot_frees_its_quota_and_keeps_what_is_listed)
{
	lots_t *l = with_lot("a", 3);
	const lot_t *t;

	begin();
	add_result("a", 1, false, "one");
	apply(l);
	begin();
	add_end("a");
	add_end("unknown");
	apply(l);
	begin();
	add_result("a", 2, false, "late");
	apply(l);
	t = lots_find(l, STR("a"));
	ck_assert(t->ended);
	ck_assert_uint_eq(t->nfinished, 1);
	ck_assert_int_eq(memcmp(t->items[1].data, "one", 3), 0);
	ck_assert_uint_eq(lots_waiting_tokens(l, STR("h/p/")), 0);
	lots_free(l);
}
END_TEST

/* The opening may still be under way, at a leader that was lost, when the end of the lot comes. */
START_TEST(a_lot_that_was_ended_before_it_was_opened_is_never_run)
{
	lots_t *l = lots_new();
	lots_t *copy = lots_new();
	AUTO_BUF snap = {0};
	const lot_t *t;

	begin();
	add_end("a");
	add_end("a");
	apply(l);
	lots_snapshot(l, &snap);
	ck_assert_uint_ge(lots_bytes(l), snap.n);
	ck_assert_int_eq(lots_restore(copy, str_buf(&snap)), STATUS_OK);
	begin();
	add_open("a", 3, 100, 10);
	apply(copy);
	ck_assert_int_eq(res.opened.opened_val[0], STATUS_OK);
	t = lots_find(copy, STR("a"));
	ck_assert_ptr_nonnull(t);
	ck_assert(t->ended);
	ck_assert_uint_eq(t->nitems, 3);
	ck_assert_ptr_null(t->items[0].data);
	ck_assert_uint_eq(lots_waiting_tokens(copy, STR("h/p/")), 0);
	lots_free(copy);
	lots_free(l);
}
END_TEST

START_TEST(ends_of_lots_that_never_come_are_forgotten_and_bounded)
{
	lots_t *l = lots_new();
	size_t empty = lots_bytes(l);
	char id[32];

	for (int i = 0; i < 10000; i++) {
		snprintf(id, sizeof(id), "unknown-%d", i);
		begin();
		add_end(id);
		apply(l);
	}
	ck_assert_uint_le(lots_bytes(l), empty + 8192 * 40);
	begin();
	cmd.now_wall_ms = NOW + 60000;
	apply(l);
	ck_assert_uint_eq(lots_bytes(l), empty);
	lots_free(l);
}
END_TEST

START_TEST(items_are_given_up_and_lots_forgotten_in_time)
{
	lots_t *l = with_lot("a", 2);

	begin();
	cmd.now_wall_ms = NOW + 60000;
	apply(l);
	ck_assert_uint_eq(lots_find(l, STR("a"))->nfinished, 2);
	ck_assert_int_eq(lots_find(l, STR("a"))->items[0].state, LOT_ITEM_DEAD);
	begin();
	cmd.now_wall_ms = NOW + 119999;
	apply(l);
	ck_assert_ptr_nonnull(lots_find(l, STR("a")));
	begin();
	cmd.now_wall_ms = NOW + 120000;
	apply(l);
	ck_assert_ptr_null(lots_find(l, STR("a")));
	ck_assert_uint_eq(lots_waiting_tokens(l, STR("h/p/")), 0);
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

START_TEST(what_an_item_has_made_is_kept_until_it_is_listed)
{
	lots_t *l = with_lot("a", 2);
	lots_t *copy = lots_new();
	const lot_item_t *it;
	buf_t snap = {0};

	begin();
	add_progress("a", 1, 0, 2, "one\ntwo");
	add_progress("a", 1, 1, 3, "not behind what is held");
	add_progress("a", 1, 2, 3, "\nthree");
	add_progress("zz", 0, 0, 1, "no such lot");
	apply(l);
	lots_snapshot(l, &snap);
	ck_assert_int_eq(lots_restore(copy, str_buf(&snap)), STATUS_OK);
	it = &lots_find(copy, STR("a"))->items[1];
	ck_assert_uint_eq(it->partial_events, 3);
	ck_assert(str_eq((str_t){it->partial_text, it->partial_n}, STR("one\ntwo\nthree")));
	begin();
	add_result("a", 1, false, "one\ntwo\nthree\nfour");
	apply(l);
	it = &lots_find(l, STR("a"))->items[1];
	ck_assert_uint_eq(it->partial_events, 0);
	ck_assert_ptr_null(it->partial_text);
	buf_free(&snap);
	lots_free(copy);
	lots_free(l);
}
END_TEST

START_TEST(bytes_are_those_of_a_snapshot_or_some_more)
{
	lots_t *l = lots_new();
	static char text[20000];
	AUTO_BUF snap = {0};

	memset(text, 'x', sizeof(text) - 1);
	begin();
	add_open("a", 8, 10, 0);
	add_open("b", 8, 10, 0);
	apply(l);
	begin();
	add_result("a", 0, false, text);
	add_result("a", 1, false, text);
	add_result("b", 0, true, "");
	apply(l);
	lots_snapshot(l, &snap);
	ck_assert_uint_ge(lots_bytes(l), snap.n);
	ck_assert_uint_le(lots_bytes(l), snap.n + snap.n / 10);
	/* 13 items are open, and texts are 19,999 bytes long. */
	ck_assert_uint_eq(lots_bytes_expected(l), lots_bytes(l) + 13 * (sizeof(text) - 1));
	begin();
	add_end("a");
	apply(l);
	ck_assert_uint_eq(lots_bytes_expected(l), lots_bytes(l) + 7 * (sizeof(text) - 1));
	lots_free(l);
}
END_TEST

START_TEST(strings_written_piece_by_piece_are_read_whole)
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
	lots_t *l = with_lot("a", 3);
	lots_t *copy = lots_new();
	buf_t one = {0};
	buf_t two = {0};

	begin();
	add_open("b", 2, 50, 0);
	add_result("a", 1, false, "text\nof it");
	add_end("b");
	apply(l);
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

START_TEST(a_cut_snapshot_is_an_error_and_changes_nothing)
{
	lots_t *l = with_lot("a", 3);
	lots_t *other = with_lot("keep", 1);
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

/* Random commands: counts add up, positions never change, a restored copy behaves alike. */
START_TEST(random_commands_keep_the_promises)
{
	lots_t *l = lots_new();
	unsigned seed = 4711;
	uint32_t seen[8][8];
	uint32_t nseen[8] = {0};

	for (int step = 0; step < 3000; step++) {
		char id[16];
		unsigned k = (unsigned)rand_r(&seed) % 8;
		uint64_t waiting = 0;

		snprintf(id, sizeof(id), "lot%u", k);
		begin();
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
		apply(l);
		if (step % 100 == 0) {
			buf_t b = {0};
			lots_t *copy = lots_new();

			lots_snapshot(l, &b);
			ck_assert_int_eq(lots_restore(copy, str_buf(&b)), STATUS_OK);
			lots_free(l);
			l = copy;
			buf_free(&b);
		}
		for (const lot_t *t = lots_first(l); t; t = t->hh.next) {
			unsigned open = 0;
			unsigned n = (unsigned)(t->id[3] - '0');

			for (uint32_t i = 0; i < t->nitems; i++)
				open += t->items[i].state == LOT_ITEM_OPEN;
			ck_assert_uint_eq(open + t->nfinished, t->nitems);
			waiting += t->ended ? 0 : open * 10;
			for (uint32_t i = 0; i < nseen[n]; i++)
				ck_assert_uint_eq(t->finished[i], seen[n][i]);
			for (; nseen[n] < t->nfinished; nseen[n]++)
				seen[n][nseen[n]] = t->finished[nseen[n]];
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
	tcase_add_test(t, results_stand_in_the_order_in_which_they_came);
	tcase_add_test(t, the_first_result_of_an_item_stands);
	tcase_add_test(t, the_quota_counts_what_waits);
	tcase_add_test(t, an_ended_lot_frees_its_quota_and_keeps_what_is_listed);
	tcase_add_test(t, a_lot_that_was_ended_before_it_was_opened_is_never_run);
	tcase_add_test(t, ends_of_lots_that_never_come_are_forgotten_and_bounded);
	tcase_add_test(t, items_are_given_up_and_lots_forgotten_in_time);
	tcase_add_test(t, what_an_item_has_made_is_kept_until_it_is_listed);
	tcase_add_test(t, bytes_are_those_of_a_snapshot_or_some_more);
	tcase_add_test(t, strings_written_piece_by_piece_are_read_whole);
	tcase_add_test(t, a_snapshot_restores_everything);
	tcase_add_test(t, a_cut_snapshot_is_an_error_and_changes_nothing);
	tcase_add_test(t, random_commands_keep_the_promises);
	suite_add_tcase(s, t);
	return suite_run(s);
}
