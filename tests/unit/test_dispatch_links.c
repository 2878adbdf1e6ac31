/* Plays entries that lose their links to the leader and link again, against a dispatcher
 * (policy/dispatch.h) with many waiting items. Guards against work for each link that grows with
 * the number of items: a leader that is short of processor time then loses links sooner than it
 * can take new ones. */
#include "dispatch_kit.h"

#define ENTRIES	    250
#define REPLICAS    128
#define SLOTS	    7
#define WAITING	    3000
#define ITEMS_MAX   (REPLICAS * SLOTS + WAITING)
#define ITEM_DUE_MS 18000
/** Limits for the mean over the entries; an entry runs 3 or 4 items. */
#define EXAMINED_PER_LINK_MAX	 100
#define EXAMINED_PER_REQUEST_MAX 100

typedef struct {
	dispatch_item_t *ref;
	uint64_t entry;
	char replica[8];
	bool running;
} item_t;

static item_t items[ITEMS_MAX];

static void on_start(void *ctx, void *data, uint64_t entry, str_t replica)
{
	item_t *it = data;

	it->running = true;
	it->entry = entry;
	snprintf(it->replica, sizeof(it->replica), "%.*s", STR_ARG(replica));
}

static void on_stop(void *ctx, void *data, uint64_t entry)
{
	((item_t *)data)->running = false;
}

static void ignore_grant(void *ctx, uint64_t entry, uint64_t request, str_t replica)
{
}

static void ignore_refusal(void *ctx, uint64_t entry, uint64_t request, int64_t retry_ms,
			   dispatch_refusal_t why)
{
}

/* A dispatcher whose slots are all taken by items that can meet their due time, as can WAITING
 * others. */
static dispatch_t *new_busy_dispatcher(deadline_t now)
{
	static const dispatch_callbacks_t cb = {NULL, ignore_grant, ignore_refusal, on_start,
						on_stop};
	static char ids[REPLICAS][8];
	dispatch_replica_t v[REPLICAS];
	dispatch_t *d = dispatch_new(&cb, 7);

	memset(items, 0, sizeof(items));
	for (uint64_t e = 1; e <= ENTRIES; e++)
		dispatch_entry_add(d, e, STR("a"), true);
	for (unsigned i = 0; i < REPLICAS; i++) {
		snprintf(ids[i], sizeof(ids[i]), "r%u", i);
		v[i] = (dispatch_replica_t){str_c(ids[i]), STR("a"), STR("s"), SLOTS, false, 0};
	}
	dispatch_set_replicas(d, v, REPLICAS, now);
	for (unsigned i = 0; i < ITEMS_MAX; i++)
		items[i].ref = dispatch_item_add(d, STR("s"), now + ITEM_DUE_MS + i, &items[i]);
	dispatch_tick(d, now);
	return d;
}

static uint64_t examined(const dispatch_t *d)
{
	dispatch_stats_t st;

	dispatch_stats(d, &st);
	return st.items_examined;
}

static unsigned running(const dispatch_t *d)
{
	dispatch_stats_t st;

	dispatch_stats(d, &st);
	return st.items;
}

/* The link of entry e is lost; it links again as entry e + ENTRIES and reports its items. */
static void link_again(dispatch_t *d, uint64_t e, deadline_t now)
{
	dispatch_entry_remove(d, e, now);
	dispatch_entry_add(d, e + ENTRIES, STR("a"), true);
	for (unsigned i = 0; i < ITEMS_MAX; i++) {
		if (!items[i].running || items[i].entry != e)
			continue;
		ck_assert(dispatch_item_is_adoptable(items[i].ref, now));
		items[i].entry = e + ENTRIES;
		dispatch_item_adopt(d, items[i].ref, e + ENTRIES, str_c(items[i].replica), now);
	}
}

START_TEST(links_are_taken_again_without_a_walk_over_all_items)
{
	dispatch_t *d = new_busy_dispatcher(1000);
	uint64_t before = examined(d);
	uint64_t each;

	ck_assert(running(d) == REPLICAS * SLOTS);
	for (uint64_t e = 1; e <= ENTRIES; e++)
		link_again(d, e, 1000 + (deadline_t)e);
	ck_assert(running(d) == REPLICAS * SLOTS);
	each = (examined(d) - before) / ENTRIES;
	ck_assert_uint_le(each, EXAMINED_PER_LINK_MAX);
	dispatch_free(d);
}
END_TEST

START_TEST(requests_that_preempt_items_are_placed_without_a_walk_over_all_items)
{
	dispatch_t *d = new_busy_dispatcher(1000);
	uint64_t before = examined(d);
	uint64_t each;

	for (uint64_t n = 1; n <= 1000; n++) {
		deadline_t now = 1000 + (deadline_t)n;
		dispatch_request_t req = make_request(n, now);

		req.entry = 1 + n % ENTRIES;
		dispatch_request_add(d, &req, now);
		if (n > 100)
			dispatch_request_ended(d, 1 + (n - 100) % ENTRIES, n - 100, DISPATCH_OK,
					       now);
	}
	each = (examined(d) - before) / 1000;
	ck_assert_uint_le(each, EXAMINED_PER_REQUEST_MAX);
	dispatch_free(d);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("dispatch-links");
	TCase *t = tcase_create("links");

	tcase_add_test(t, links_are_taken_again_without_a_walk_over_all_items);
	tcase_add_test(t, requests_that_preempt_items_are_placed_without_a_walk_over_all_items);
	suite_add_tcase(s, t);
	return suite_run(s);
}
