/* Plays callers that look up entries of unequal capacity (policy/entry_share.h). Guards against
 * small entries that get as much load as large ones, entries that get none, and answers that change
 * for callers when another entry joins or leaves. */
#include <stdio.h>
#include <string.h>
#include "base/prng.h"
#include "policy/entry_share.h"
#include "suite_kit.h"

#define ENTRIES	   64
#define SMALL	   50
#define ZONES	   3
#define CALLERS	   90
#define STEP_MS	   100
#define PLAY_MS	   60000
#define ANSWER_MAX 64
#define FLEETS	   20 /* sets of addresses, as the choice depends on their hashes */

typedef struct {
	char addrs[ENTRIES + 1][32];
	entry_share_entry_t v[ENTRIES + 1];
} fleet_t;

static const char *const zone_names[ZONES] = {"za", "zb", "zc"};

static void make_fleet(fleet_t *f, unsigned serial)
{
	for (unsigned i = 0; i <= ENTRIES; i++) {
		snprintf(f->addrs[i], sizeof(f->addrs[i]), "10.%u.0.%u:8080", serial, i);
		f->v[i] = (entry_share_entry_t){str_c(f->addrs[i]), str_c(zone_names[i % ZONES]),
						i < SMALL ? 90 : 300};
	}
}

static size_t answer(const fleet_t *f, size_t n, const char *zone, str_t *out)
{
	return entry_share_select(&(entry_share_options_t){f->v, n, str_c(zone), ANSWER_MAX}, out);
}

static bool names(const str_t *v, size_t n, str_t addr)
{
	while (n > 0 && !str_eq(v[n - 1], addr))
		n--;
	return n > 0;
}

/* Counts the requests of each entry. */
static void play(const fleet_t *f, uint64_t seed, double *load)
{
	str_t cached[CALLERS][ANSWER_MAX];
	size_t n[CALLERS] = {0};
	long until[CALLERS] = {0};

	for (long now = 0; now < PLAY_MS; now += STEP_MS) {
		for (size_t c = 0; c < CALLERS; c++) {
			str_t picked;

			if (now >= until[c]) {
				n[c] = answer(f, ENTRIES, zone_names[c % ZONES], cached[c]);
				until[c] = now + 2000 + (long)(prng_next(&seed) % 4001);
			}
			picked = cached[c][prng_next(&seed) % n[c]];
			for (size_t i = 0; i < ENTRIES; i++)
				load[i] += str_eq(f->v[i].addr, picked);
		}
	}
}

START_TEST(load_follows_capacity)
{
	for (unsigned serial = 0; serial < FLEETS; serial++) {
		double load[ENTRIES] = {0};
		double kind[2] = {0};
		double mean = 0;
		fleet_t f;

		make_fleet(&f, serial);
		play(&f, serial + 1, load);
		for (size_t i = 0; i < ENTRIES; i++) {
			kind[i >= SMALL] += load[i];
			mean += load[i] / f.v[i].capacity / ENTRIES;
		}
		for (size_t i = 0; i < ENTRIES; i++) {
			double of = load[i] / f.v[i].capacity / mean;

			ck_assert_msg(of > 0.5 && of < 2, "entry %zu: %.2f of the mean", i, of);
		}
		ck_assert_double_eq_tol(kind[0] / kind[1] / (50 * 0.09 / (14 * 0.3)), 1, 0.15);
	}
}
END_TEST

START_TEST(each_is_named_in_its_zone_and_the_largest_everywhere)
{
	for (unsigned serial = 0; serial < FLEETS; serial++) {
		fleet_t f;

		make_fleet(&f, serial);
		for (size_t z = 0; z < ZONES; z++) {
			str_t v[ANSWER_MAX];
			size_t n = answer(&f, ENTRIES, zone_names[z], v);

			for (size_t i = 0; i < ENTRIES; i++)
				ck_assert(names(v, n, f.v[i].addr) ||
					  (i % ZONES != z && i < SMALL));
		}
	}
}
END_TEST

/* Number of addresses other than `except` that one answer has and the other lacks. */
static size_t differences(const str_t *a, size_t na, const str_t *b, size_t nb, str_t except)
{
	size_t n = 0;

	for (size_t i = 0; i < na; i++)
		n += !str_eq(a[i], except) && !names(b, nb, a[i]);
	for (size_t i = 0; i < nb; i++)
		n += !str_eq(b[i], except) && !names(a, na, b[i]);
	return n;
}

START_TEST(a_join_or_leave_changes_no_other_address)
{
	const char *const callers[] = {"za", "zb", "zc", "", "elsewhere"};
	fleet_t f;

	make_fleet(&f, 1);
	for (size_t c = 0; c < 5; c++) {
		str_t before[ANSWER_MAX];
		str_t after[ANSWER_MAX];
		size_t nb = answer(&f, ENTRIES, callers[c], before);
		size_t na = answer(&f, ENTRIES + 1, callers[c], after);

		ck_assert_uint_eq(differences(before, nb, after, na, f.v[ENTRIES].addr), 0);
		na = answer(&f, ENTRIES - 1, callers[c], after);
		ck_assert_uint_eq(differences(before, nb, after, na, f.v[ENTRIES - 1].addr), 0);
	}
}
END_TEST

START_TEST(equal_or_unknown_capacities_and_few_entries_are_all_named_in_order)
{
	str_t v[ANSWER_MAX];
	fleet_t f;

	make_fleet(&f, 1);
	f.v[40].capacity = 0;
	ck_assert_uint_eq(answer(&f, ENTRIES, "za", v), ENTRIES);
	for (size_t i = 0; i < ENTRIES; i++)
		ck_assert(str_eq(v[i], f.v[i].addr));
	ck_assert_uint_eq(answer(&f, ENTRIES + 1, "za", v), ANSWER_MAX);
	ck_assert_uint_eq(answer(&f, 40, "za", v), 40);
	f.v[1].capacity = 300;
	for (size_t n = 0; n <= ENTRY_SHARE_MIN; n++)
		ck_assert_uint_eq(answer(&f, n, "za", v), n);
	for (size_t n = ENTRY_SHARE_MIN; n < 40; n++)
		ck_assert_uint_ge(answer(&f, n, "za", v), ENTRY_SHARE_MIN);
}
END_TEST

/* Without a zone of an entry: an answer that is a mix by capacity, too. */
START_TEST(caller_without_a_known_zone_gets_a_mix)
{
	double small = 0;

	for (unsigned serial = 0; serial < FLEETS; serial++) {
		str_t v[ANSWER_MAX];
		fleet_t f;
		size_t n;

		make_fleet(&f, serial);
		n = answer(&f, ENTRIES, serial % 2 ? "" : "elsewhere", v);
		for (size_t i = SMALL; i < ENTRIES; i++)
			ck_assert(names(v, n, f.v[i].addr));
		small += (double)(n - (ENTRIES - SMALL)) / FLEETS;
	}
	ck_assert_double_eq_tol(small, SMALL * 0.3, 3);
}
END_TEST

START_TEST(long_list_is_thinned_to_the_limit)
{
	static char addrs[300][32];
	static entry_share_entry_t e[300];
	str_t v[ANSWER_MAX];
	size_t large = 0;
	size_t n;

	for (unsigned i = 0; i < 300; i++) {
		snprintf(addrs[i], sizeof(addrs[i]), "10.1.%u.%u:80", i / 100, i % 100);
		e[i] = (entry_share_entry_t){str_c(addrs[i]), str_c(zone_names[i % ZONES]),
					     i < 234 ? 90 : 300};
	}
	n = entry_share_select(&(entry_share_options_t){e, 300, STR("zb"), ANSWER_MAX}, v);
	ck_assert_uint_eq(n, ANSWER_MAX);
	for (size_t i = 234; i < 300; i++)
		large += names(v, n, e[i].addr);
	/* Of 144 candidates 66 are large. */
	ck_assert_uint_ge(large, 20);
	ck_assert_uint_le(large, 38);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("entry_share");
	TCase *t = tcase_create("all");

	tcase_add_test(t, load_follows_capacity);
	tcase_add_test(t, each_is_named_in_its_zone_and_the_largest_everywhere);
	tcase_add_test(t, a_join_or_leave_changes_no_other_address);
	tcase_add_test(t, equal_or_unknown_capacities_and_few_entries_are_all_named_in_order);
	tcase_add_test(t, caller_without_a_known_zone_gets_a_mix);
	tcase_add_test(t, long_list_is_thinned_to_the_limit);
	suite_add_tcase(s, t);
	return suite_run(s);
}
