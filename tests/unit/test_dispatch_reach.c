/* Plays a fleet whose entries do not reach all replicas against the dispatcher (policy/dispatch.h).
 * Guards against slots that are granted to an entry for a replica it does not reach, and against a
 * replica that is taken from all entries because some do not reach it. */
#include "dispatch_kit.h"

#define ENTRIES	     10
#define REPLICAS     12
#define SLOTS	     4
#define RUN_MS	     60
#define CONNECT_MS   250
#define TRIES_MAX    4
#define PLAY_MS	     6000
#define WARM_MS	     1000 /* until the cut */
#define SETTLED_MS   2000 /* from the beginning: the dispatcher has learned of the cut */
#define REQUESTS_MAX 8192
#define PERIOD_MS    4 /* between two requests of the fleet; half of the slots are busy */

/** How connections fail on a path that is cut. */
typedef enum { HANGS = CONNECT_MS, RESETS = 1 } cut_t;

typedef struct {
	uint64_t entry;
	deadline_t began;
	deadline_t ends; /* of the current try; 0: it waits, or is over */
	bool fails; /* the current try */
	unsigned tries;
	unsigned replica;
	bool over;
	bool served;
} request_t;

typedef struct {
	dispatch_t *d;
	deadline_t now;
	cut_t cut;
	bool reaches[ENTRIES + 1][REPLICAS];
	request_t requests[REQUESTS_MAX];
	size_t nrequests;
	unsigned failed_tries; /* once settled */
} fleet_t;

static fleet_t fleet;

static void on_grant(void *ctx, uint64_t entry, uint64_t number, str_t replica)
{
	request_t *q = &fleet.requests[number];

	q->replica = (unsigned)atoi(replica.p + 1);
	q->fails = fleet.now >= WARM_MS && !fleet.reaches[entry][q->replica];
	q->ends = fleet.now + (q->fails ? fleet.cut : RUN_MS);
	q->tries++;
}

static void on_refuse(void *ctx, uint64_t entry, uint64_t number, int64_t retry_ms,
		      dispatch_refusal_t why)
{
	fleet.requests[number].over = true;
}

static void add(size_t number, const char *avoid)
{
	dispatch_request_t r = make_request(number, fleet.now);

	r.entry = fleet.requests[number].entry;
	r.objective = fleet.requests[number].began + 300;
	if (avoid)
		r.avoid[r.navoid++] = str_c(avoid);
	dispatch_request_add(fleet.d, &r, fleet.now);
}

static void end_try(size_t number)
{
	request_t *q = &fleet.requests[number];
	bool fails = q->fails;
	char avoid[8];

	q->ends = 0;
	q->over = !fails || q->tries >= TRIES_MAX;
	q->served = !fails;
	snprintf(avoid, sizeof(avoid), "r%u", q->replica);
	fleet.failed_tries += fails && fleet.now >= SETTLED_MS;
	dispatch_request_ended(fleet.d, q->entry, number,
			       fails ? DISPATCH_UNREACHABLE : DISPATCH_OK, fleet.now);
	if (!q->over)
		add(number, avoid);
}

/* Begins a play in which all entries reach all replicas. */
static void fleet_init(cut_t cut)
{
	static const dispatch_callbacks_t cb = {NULL, on_grant, on_refuse, record_item_start,
						record_item_stop};
	dispatch_replica_t v[REPLICAS];
	static char ids[REPLICAS][8];

	memset(&fleet, 0, sizeof(fleet));
	fleet.cut = cut;
	fleet.d = dispatch_new(&cb, 5);
	for (unsigned i = 0; i < REPLICAS; i++) {
		snprintf(ids[i], sizeof(ids[i]), "r%u", i);
		v[i] = (dispatch_replica_t){
			str_c(ids[i]), i % 2 ? STR("b") : STR("a"), STR("s"), SLOTS, false, 0};
	}
	for (uint64_t e = 1; e <= ENTRIES; e++) {
		dispatch_entry_add(fleet.d, e, e % 2 ? STR("b") : STR("a"), true);
		for (unsigned i = 0; i < REPLICAS; i++)
			fleet.reaches[e][i] = true;
	}
	dispatch_set_replicas(fleet.d, v, REPLICAS, 0);
}

static void cut_entry(uint64_t e, unsigned from, unsigned to)
{
	for (unsigned i = from; i < to; i++)
		fleet.reaches[e][i] = false;
}

static void play(void)
{
	for (fleet.now = 0; fleet.now < PLAY_MS; fleet.now++) {
		if (fleet.now % PERIOD_MS == 0) {
			size_t n = fleet.nrequests++;

			fleet.requests[n].entry = 1 + n % ENTRIES;
			fleet.requests[n].began = fleet.now;
			add(n, NULL);
		}
		for (size_t i = 0; i < fleet.nrequests; i++) {
			if (fleet.requests[i].ends && fleet.now >= fleet.requests[i].ends)
				end_try(i);
		}
		if (fleet.now % 25 == 0)
			dispatch_tick(fleet.d, fleet.now);
	}
}

/* Per mille of an entry's requests that were served, of those that began once settled. */
static unsigned served(uint64_t first, uint64_t last)
{
	unsigned n = 0;
	unsigned ok = 0;

	for (size_t i = 0; i < fleet.nrequests; i++) {
		const request_t *q = &fleet.requests[i];

		if (q->entry < first || q->entry > last || q->began < SETTLED_MS ||
		    q->began > PLAY_MS - 1000)
			continue;
		n++;
		ok += q->served;
	}
	ck_assert_uint_gt(n, 0);
	return ok * 1000 / n;
}

/* Plays entries 1 to cut without any replica. */
static void play_cut_entries(cut_t how, uint64_t cut)
{
	fleet_init(how);
	for (uint64_t e = 1; e <= cut; e++)
		cut_entry(e, 0, REPLICAS);
	play();
	ck_assert_uint_ge(served(cut + 1, ENTRIES), 990);
	dispatch_free(fleet.d);
}

START_TEST(entries_that_reach_no_replica_take_none_from_the_others)
{
	static const cut_t cuts[] = {HANGS, RESETS};

	for (int i = 0; i < 2; i++) {
		play_cut_entries(cuts[i], ENTRIES / 2);
		play_cut_entries(cuts[i], ENTRIES * 9 / 10);
	}
}
END_TEST

/* The play goes on for 4 s after the cut has settled. */
START_TEST(an_entry_gets_slots_of_the_replicas_that_it_reaches)
{
	static const cut_t cuts[] = {HANGS, RESETS};

	for (int i = 0; i < 2; i++) {
		fleet_init(cuts[i]);
		for (uint64_t e = 1; e <= ENTRIES / 2; e++)
			cut_entry(e, 0, REPLICAS / 2);
		play();
		ck_assert_uint_ge(served(1, ENTRIES / 2), 900);
		ck_assert_uint_ge(served(ENTRIES / 2 + 1, ENTRIES), 990);
		/* Each pair is tried again every few seconds. */
		ck_assert_uint_le(fleet.failed_tries, ENTRIES / 2 * REPLICAS / 2 * 4);
		dispatch_free(fleet.d);
	}
}
END_TEST

/* The other zone of entries does not reach a whole zone of replicas. */
START_TEST(a_zone_of_entries_cut_from_a_zone_of_replicas_uses_the_other)
{
	fleet_init(HANGS);
	for (uint64_t e = 1; e <= ENTRIES; e += 2) {
		for (unsigned i = 0; i < REPLICAS; i += 2)
			fleet.reaches[e][i] = false;
	}
	play();
	ck_assert_uint_ge(served(1, ENTRIES), 950);
	dispatch_free(fleet.d);
}
END_TEST

START_TEST(a_replica_that_no_entry_reaches_is_left_by_all)
{
	fleet_init(RESETS);
	for (uint64_t e = 1; e <= ENTRIES; e++)
		cut_entry(e, 0, 1);
	play();
	ck_assert_uint_ge(served(1, ENTRIES), 990);
	ck_assert_uint_le(fleet.failed_tries, ENTRIES * 4);
	dispatch_free(fleet.d);
}
END_TEST

START_TEST(a_failed_connection_of_one_entry_does_not_end_the_work_of_others_on_a_replica)
{
	dispatch_t *d = new_dispatcher(1, 4);
	dispatch_request_t other = make_request(2, 0);

	add_request(d, 1, 0);
	other.entry = 2;
	dispatch_request_add(d, &other, 0);
	dispatch_request_ended(d, 2, 2, DISPATCH_OK, 100);
	dispatch_request_ended(d, 1, 1, DISPATCH_UNREACHABLE, 110);
	other = make_request(3, 120);
	other.entry = 2;
	dispatch_request_add(d, &other, 120);
	ck_assert_int_eq(neffects, 3);
	ck_assert_int_eq(effects[2].kind, GRANTED);
	ck_assert_uint_eq(effects[2].entry, 2);
	dispatch_free(d);
}
END_TEST

/* An entry that is cut off ends its old runs one after the other. */
START_TEST(runs_that_break_at_an_entry_that_is_cut_off_do_not_count_against_their_replicas)
{
	static const dispatch_outcome_t outcomes[] = {DISPATCH_BROKEN, DISPATCH_SILENT,
						      DISPATCH_UNREACHABLE};

	for (int i = 0; i < 3; i++) {
		dispatch_t *d = new_dispatcher(1, 4);
		dispatch_request_t other = make_request(2, 1000);

		add_request(d, 1, 0);
		dispatch_entry_set_cut_off(d, 1, true, 500);
		dispatch_request_ended(d, 1, 1, outcomes[i], 1000);
		other.entry = 2;
		dispatch_request_add(d, &other, 1000);
		ck_assert_int_eq(neffects, 2);
		ck_assert_int_eq(effects[1].kind, GRANTED);
		dispatch_free(d);
	}
}
END_TEST

static void end_run(dispatch_t *d, uint64_t entry, uint64_t request, const char *replica,
		    dispatch_outcome_t how, deadline_t now)
{
	dispatch_request_adopt(d, entry, request, str_c(replica), now);
	dispatch_request_ended(d, entry, request, how, now);
}

/* An entry may not be sent to a replica again for long that it once didn't reach: there are others
 * in its zone, or many. */
START_TEST(connections_that_failed_long_ago_do_not_hide_that_a_replica_has_crashed)
{
	static const char *const others[] = {"r1", "r2", "r3", "r4"};
	dispatch_t *d = new_dispatcher(5, 2);

	for (uint64_t i = 0; i < 4; i++) {
		end_run(d, 1, 1 + i, others[i], DISPATCH_UNREACHABLE, 1000);
		end_run(d, 2, 1 + i, others[i], DISPATCH_OK, 1400);
	}
	for (deadline_t now = 1000; now < 60000; now += 25)
		dispatch_tick(d, now);
	end_run(d, 1, 10, "r0", DISPATCH_UNREACHABLE, 60000);
	for (uint64_t i = 0; i < 10; i++) {
		dispatch_request_t q = make_request(20 + i, 60010);

		q.entry = 2;
		dispatch_request_add(d, &q, 60010);
	}
	for (int i = 0; i < neffects; i++)
		ck_assert_str_ne(effects[i].replica, "r0");
	dispatch_free(d);
}
END_TEST

START_TEST(an_item_moves_to_an_entry_that_reaches_the_replica)
{
	dispatch_t *d = new_dispatcher(1, 1);
	int data;
	dispatch_item_t *it = dispatch_item_add(d, STR("s"), 60000, &data);
	uint64_t first;

	dispatch_tick(d, 0);
	ck_assert_int_eq(effects[0].kind, ITEM_STARTED);
	first = effects[0].entry;
	dispatch_item_requeue(d, it, DISPATCH_UNREACHABLE, 250);
	for (deadline_t now = 275; neffects < 2 && now < 5000; now += 25)
		dispatch_tick(d, now);
	ck_assert_int_eq(effects[1].kind, ITEM_STARTED);
	ck_assert_uint_ne(effects[1].entry, first);
	dispatch_free(d);
}
END_TEST

START_TEST(an_entry_that_is_cut_off_gets_no_slot_and_no_item)
{
	dispatch_t *d = new_dispatcher(2, 2);
	int data;

	dispatch_entry_set_cut_off(d, 1, true, 0);
	add_request(d, 1, 0);
	ck_assert_int_eq(neffects, 1);
	ck_assert_int_eq(effects[0].kind, REFUSED);
	ck_assert_int_eq(effects[0].why, DISPATCH_ENTRY_CUT_OFF);
	dispatch_item_add(d, STR("s"), 60000, &data);
	dispatch_tick(d, 0);
	ck_assert_int_eq(effects[1].kind, ITEM_STARTED);
	ck_assert_uint_eq(effects[1].entry, 2);
	dispatch_entry_set_cut_off(d, 1, false, 10);
	add_request(d, 2, 10);
	ck_assert_int_eq(effects[2].kind, GRANTED);
	dispatch_free(d);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("dispatch_reach");
	TCase *t = tcase_create("reach");

	tcase_add_test(t, entries_that_reach_no_replica_take_none_from_the_others);
	tcase_add_test(t, an_entry_gets_slots_of_the_replicas_that_it_reaches);
	tcase_add_test(t, a_zone_of_entries_cut_from_a_zone_of_replicas_uses_the_other);
	tcase_add_test(t, a_replica_that_no_entry_reaches_is_left_by_all);
	tcase_add_test(
		t, a_failed_connection_of_one_entry_does_not_end_the_work_of_others_on_a_replica);
	tcase_add_test(
		t, runs_that_break_at_an_entry_that_is_cut_off_do_not_count_against_their_replicas);
	tcase_add_test(t, connections_that_failed_long_ago_do_not_hide_that_a_replica_has_crashed);
	tcase_add_test(t, an_item_moves_to_an_entry_that_reaches_the_replica);
	tcase_add_test(t, an_entry_that_is_cut_off_gets_no_slot_and_no_item);
	suite_add_tcase(s, t);
	return suite_run(s);
}
