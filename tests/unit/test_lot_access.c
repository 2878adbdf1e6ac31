/* Tests of which lots a caller may use (state/lot_access.h), and of lots with the same id. Guard
 * against an accepted lot that its caller can't find once the config has its first customers, or
 * none any more, and against one that another customer finds. */
#include <stdio.h>
#include <string.h>
#include "state/lot_access.h"
#include "suite_kit.h"

#define NOBODY ""
#define NONE   NULL
#define NOW_MS 1000000

static wire_lot_item_t items[2];

static wire_lot_open_t make_open(buf_t *id, const char *owner, const char *given, const char *item)
{
	wire_lot_open_t o = {.host = wire_bytes(STR("h"))};
	static char account[32];

	lot_id_make(id, str_c(owner), str_c(given));
	snprintf(account, sizeof(account), "h/p/%s%s", owner[0] ? "\n" : "", owner);
	o.route = wire_bytes(str_c(account));
	o.lot = wire_bytes(str_buf(id));
	o.forget_wall_ms = o.drop_wall_ms = o.due_wall_ms = NOW_MS + 1000;
	items[0] = (wire_lot_item_t){.id = wire_bytes(str_c(item)),
				     .path = wire_bytes(STR("/p/1")),
				     .headers = wire_bytes(STR("")),
				     .body = wire_bytes(STR("body")),
				     .tokens = 10};
	items[1] = items[0];
	items[1].id = wire_bytes(STR("second"));
	o.items.items_val = items;
	o.items.items_len = 2;
	return o;
}

static void apply(lots_t *l, const wire_lot_open_t *open, int64_t now_ms)
{
	wire_lots_cmd_t cmd = {.now_wall_ms = now_ms};
	wire_fleet_res_t res = {0};

	cmd.opens.opens_val = (wire_lot_open_t *)open;
	cmd.opens.opens_len = open ? 1 : 0;
	lots_apply_cmd(l, &cmd, &res);
	wire_free(XDR_PROC(wire_fleet_res_t), &res);
}

static void open_lot(lots_t *l, const char *owner, const char *given, const char *item)
{
	AUTO_BUF id = {0};
	wire_lot_open_t o = make_open(&id, owner, given, item);

	apply(l, &o, NOW_MS);
}

static const lot_t *find(const lots_t *l, const char *caller, lot_access_t access)
{
	AUTO_BUF id = {0};

	lot_id_make(&id, str_c(caller), STR("7f"));
	return lot_access_find(l, str_buf(&id), access);
}

static const lot_t *find_opened(const lots_t *l, const char *caller, const char *item,
				lot_access_t access)
{
	AUTO_BUF id = {0};
	wire_lot_open_t o = make_open(&id, caller, "7f", item);

	return lot_access_find_opened(l, &o, access);
}

static void check_owner(const lot_t *t, const char *owner, const char *what)
{
	if (!owner) {
		ck_assert_msg(!t, "%s: found \"%s\"", what, t ? t->id : "");
		return;
	}
	ck_assert_msg(t != NULL, "%s: not found", what);
	ck_assert_msg(str_eq(lot_id_owner(str_c(t->id)), str_c(owner)), "%s: found \"%s\"", what,
		      t->id);
}

START_TEST(callers_find_their_lots_whatever_became_of_the_customers)
{
	static const struct {
		const char *owners[2]; /* of the lots with the id, the older one first */
		const char *caller;
		const char *with_customers; /* owner of the lot that is found */
		const char *without;
	} rows[] = {
		{{"ada", NONE}, "ada", "ada", "ada"},	  {{"ada", NONE}, "bob", NONE, "ada"},
		{{"ada", NONE}, NOBODY, NONE, "ada"},	  {{NOBODY, NONE}, "ada", NOBODY, NOBODY},
		{{NOBODY, NONE}, NOBODY, NOBODY, NOBODY}, {{NOBODY, "ada"}, "ada", "ada", "ada"},
		{{NOBODY, "ada"}, "bob", NOBODY, NOBODY}, {{"ada", NOBODY}, NOBODY, NOBODY, NOBODY},
		{{"ada", "bob"}, NOBODY, NONE, "ada"},	  {{"bob", "ada"}, NOBODY, NONE, "bob"},
		{{"bob", "ada"}, "ada", "ada", "ada"},
	};

	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		lots_t *l = lots_new();
		char what[64];

		open_lot(l, "ada", "other id", "a");
		for (int k = 0; k < 2 && rows[i].owners[k]; k++)
			open_lot(l, rows[i].owners[k], "7f", "a");
		snprintf(what, sizeof(what), "row %zu, caller \"%s\"", i, rows[i].caller);
		check_owner(find(l, rows[i].caller, LOT_ACCESS_OWN), rows[i].with_customers, what);
		check_owner(find(l, rows[i].caller, LOT_ACCESS_ALL), rows[i].without, what);
		lots_free(l);
	}
}
END_TEST

/* Guards against items that run a second time because their lot comes again under another owner. */
START_TEST(a_lot_that_comes_again_is_known_by_its_items)
{
	lots_t *l = lots_new();

	open_lot(l, NOBODY, "7f", "a");
	check_owner(find_opened(l, "ada", "a", LOT_ACCESS_OWN), NOBODY, "same items");
	check_owner(find_opened(l, "ada", "b", LOT_ACCESS_OWN), NONE, "other items");
	check_owner(find_opened(l, NOBODY, "b", LOT_ACCESS_OWN), NOBODY, "same owner");
	open_lot(l, "bob", "7f", "b");
	check_owner(find_opened(l, "ada", "b", LOT_ACCESS_OWN), NONE, "lot of a customer");
	check_owner(find_opened(l, "ada", "b", LOT_ACCESS_ALL), "bob", "no customers any more");
	open_lot(l, "ada", "7f", "a");
	check_owner(find_opened(l, "ada", "a", LOT_ACCESS_OWN), "ada", "its own first");
	lots_free(l);
}
END_TEST

/* Guards against a quota that each former customer has once more. */
START_TEST(without_customers_the_lots_of_all_owners_share_a_quota)
{
	lots_t *l = lots_new();
	static const char *const owners[] = {"ada", "bob", NOBODY};

	for (int i = 0; i < 3; i++)
		open_lot(l, owners[i], "7f", "a"); /* 20 tokens each */
	for (int i = 0; i < 3; i++) {
		AUTO_BUF account = {0};
		str_t a;

		buf_add(&account, STR("h/p/"));
		lot_account_make(&account, str_c(owners[i]));
		a = str_buf(&account);
		ck_assert_uint_eq(lot_access_quota(l, a, 100, LOT_ACCESS_OWN), 100);
		ck_assert_uint_eq(lot_access_quota(l, a, 100, LOT_ACCESS_ALL), 60);
		ck_assert_uint_eq(lot_access_quota(l, a, 30, LOT_ACCESS_ALL), 1);
		ck_assert_uint_eq(lot_access_quota(l, a, 0, LOT_ACCESS_ALL), 0);
	}
	ck_assert_uint_eq(lot_access_quota(l, STR("h/q/"), 100, LOT_ACCESS_ALL), 100);
	lots_free(l);
}
END_TEST

START_TEST(lots_of_the_same_id_are_listed_in_order_until_they_are_removed)
{
	lots_t *l = lots_new();
	lots_t *copy = lots_new();
	AUTO_BUF snapshot = {0};

	open_lot(l, "ada", "7f", "a");
	open_lot(l, NOBODY, "7f", "a");
	open_lot(l, "bob", "7f", "a");
	lots_snapshot(l, &snapshot);
	ck_assert_int_eq(lots_restore(copy, str_buf(&snapshot)), STATUS_OK);
	for (int i = 0; i < 2; i++) {
		const lot_t *t = lots_find_namesakes(i ? copy : l, STR("7f"));

		ck_assert_str_eq(t->id, "ada\n7f");
		ck_assert_str_eq(t->next_namesake->id, "7f");
		ck_assert_str_eq(t->next_namesake->next_namesake->id, "bob\n7f");
		ck_assert_ptr_null(t->next_namesake->next_namesake->next_namesake);
	}
	ck_assert_ptr_null(lots_find_namesakes(l, STR("ada\n7f")));
	apply(l, NULL, NOW_MS + 1000);
	ck_assert_ptr_null(lots_find_namesakes(l, STR("7f")));
	lots_free(l);
	lots_free(copy);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("lot_access");
	TCase *t = tcase_create("all");

	tcase_add_test(t, callers_find_their_lots_whatever_became_of_the_customers);
	tcase_add_test(t, a_lot_that_comes_again_is_known_by_its_items);
	tcase_add_test(t, without_customers_the_lots_of_all_owners_share_a_quota);
	tcase_add_test(t, lots_of_the_same_id_are_listed_in_order_until_they_are_removed);
	suite_add_tcase(s, t);
	return suite_run(s);
}
