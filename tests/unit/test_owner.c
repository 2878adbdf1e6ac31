#include <stdlib.h>
#include "base/prng.h"
#include "policy/owner.h"
#include "suite_kit.h"

#define IDS    40000
#define ROUNDS 60000

typedef enum { NONE, WAITING, RUNNING, CANCELLING, ENDED, REFUSED } state_t;

/** What the owner was told and said; the effects it asked for. */
typedef struct {
	owner_t *owner;
	state_t state[IDS];
	owner_class_t cls[IDS];
	unsigned count[REFUSED + 1];
	unsigned slots;
	uint64_t last_started, last_cancelled;
	int64_t last_retry_ms;
} model_t;

static model_t m;

static void move(uint64_t id, state_t from, state_t to)
{
	ck_assert_msg(m.state[id] == from, "id %d is in state %d, not %d", (int)id, m.state[id],
		      from);
	m.count[from]--;
	m.count[to]++;
	m.state[id] = to;
	ck_assert_uint_le(m.count[RUNNING] + m.count[CANCELLING], m.slots);
}

static void on_start(void *ctx, uint64_t id)
{
	if (m.cls[id] == OWNER_BATCH)
		ck_assert_uint_eq(m.count[WAITING], 0);
	move(id, m.state[id] == WAITING ? WAITING : NONE, RUNNING);
	m.last_started = id;
}

static void on_cancel(void *ctx, uint64_t id)
{
	ck_assert_int_eq(m.cls[id], OWNER_BATCH);
	move(id, RUNNING, CANCELLING);
	m.last_cancelled = id;
}

static void on_refuse(void *ctx, uint64_t id, int64_t retry_after_ms)
{
	ck_assert_int_gt(retry_after_ms, 0);
	move(id, WAITING, REFUSED);
	m.last_retry_ms = retry_after_ms;
}

static owner_options_t options(unsigned slots)
{
	return (owner_options_t){.slots = slots,
				 .preempt = OWNER_PREEMPT_RESUME,
				 .latency_weight = 1,
				 .step_bound_us = 60000,
				 .queue_max = 64,
				 .start = on_start,
				 .cancel = on_cancel,
				 .refuse = on_refuse};
}

static void open_owner(const owner_options_t *o)
{
	m = (model_t){.slots = o->slots};
	m.owner = owner_new(o, 0);
}

static owner_answer_t offer(owner_stream_t s, int64_t now)
{
	int64_t retry;
	owner_answer_t a;

	m.cls[s.id] = s.cls;
	if (s.cls == OWNER_ONLINE) /* it waits until the answer says otherwise */
		move(s.id, NONE, WAITING);
	a = owner_offer(m.owner, &s, now, &retry);
	if (a == OWNER_REFUSED && s.cls == OWNER_ONLINE)
		move(s.id, WAITING, REFUSED);
	if (a == OWNER_REFUSED)
		ck_assert_int_gt(retry, 0);
	ck_assert(a == OWNER_REFUSED ||
		  a == (m.state[s.id] == WAITING ? OWNER_QUEUED : OWNER_STARTED));
	m.last_retry_ms = retry;
	return a;
}

static owner_answer_t online(uint64_t id, int64_t deadline, uint64_t caller, int64_t now)
{
	return offer((owner_stream_t){.id = id, .deadline = deadline, .caller = caller}, now);
}

static owner_answer_t batch(uint64_t id, bool alone, int64_t now)
{
	return offer(
		(owner_stream_t){
			.id = id, .cls = OWNER_BATCH, .deadline = DEADLINE_NEVER, .alone = alone},
		now);
}

static void end(uint64_t id, int64_t now)
{
	move(id, m.state[id], ENDED);
	owner_stream_ended(m.owner, id, now);
}

START_TEST(online_starts_by_deadline)
{
	owner_options_t o = options(1);

	open_owner(&o);
	ck_assert_int_eq(online(1, 9000, 1, 0), OWNER_STARTED);
	ck_assert_int_eq(online(2, 9000, 2, 0), OWNER_QUEUED);
	ck_assert_int_eq(online(3, 5000, 3, 0), OWNER_QUEUED);
	ck_assert_int_eq(online(4, 7000, 4, 0), OWNER_QUEUED);
	end(1, 10);
	ck_assert_uint_eq(m.last_started, 3);
	end(3, 20);
	ck_assert_uint_eq(m.last_started, 4);
	owner_withdraw(m.owner, 2, 20);
	move(2, WAITING, ENDED);
	end(4, 30);
	ck_assert_uint_eq(m.count[RUNNING], 0);
	owner_free(m.owner);
}
END_TEST

START_TEST(a_flood_from_one_caller_leaves_turns_to_others)
{
	owner_options_t o = options(1);
	unsigned before = 0;

	open_owner(&o);
	online(1, 100000, 1, 0);
	for (uint64_t id = 2; id < 42; id++)
		ck_assert_int_eq(online(id, 100000, 1, 0), OWNER_QUEUED);
	ck_assert_int_eq(online(50, 100100, 2, 100), OWNER_QUEUED);
	while (m.state[50] == WAITING) {
		end(m.last_started, 100);
		before++;
	}
	ck_assert_uint_le(before, 4);
	owner_free(m.owner);
}
END_TEST

START_TEST(an_online_burst_cancels_the_youngest_batch_streams)
{
	owner_options_t o = options(4);

	open_owner(&o);
	for (uint64_t id = 1; id <= 4; id++)
		ck_assert_int_eq(batch(id, false, 0), OWNER_STARTED);
	ck_assert_int_eq(online(10, 9000, 1, 0), OWNER_QUEUED);
	ck_assert_uint_eq(m.last_cancelled, 4);
	ck_assert_int_eq(online(11, 9000, 1, 0), OWNER_QUEUED);
	ck_assert_uint_eq(m.last_cancelled, 3);
	ck_assert_uint_eq(m.count[CANCELLING], 2);
	ck_assert_int_eq(batch(5, false, 0), OWNER_REFUSED);
	end(4, 5);
	ck_assert_uint_eq(m.last_started, 10);
	end(1, 6); /* another ends of itself: the second one needn't wait for the cancelled one */
	ck_assert_uint_eq(m.last_started, 11);
	ck_assert_int_eq(online(12, 9000, 1, 6), OWNER_QUEUED);
	ck_assert_uint_eq(m.count[CANCELLING], 1); /* the cancel under way serves it */
	owner_free(m.owner);
}
END_TEST

START_TEST(without_preemption_nothing_is_cancelled)
{
	owner_options_t o = options(2);

	o.preempt = OWNER_PREEMPT_NONE;
	open_owner(&o);
	batch(1, false, 0);
	batch(2, false, 0);
	ck_assert_int_eq(online(10, 9000, 1, 0), OWNER_QUEUED);
	ck_assert_uint_eq(m.count[CANCELLING], 0);
	owner_free(m.owner);
}
END_TEST

START_TEST(kept_slots_are_left_to_online)
{
	owner_options_t o = options(8);

	o.reserve = OWNER_RESERVE_FIXED;
	o.reserved_slots = 2;
	open_owner(&o);
	ck_assert_uint_eq(owner_batch_headroom(m.owner, 0), 6);
	for (uint64_t id = 1; id <= 6; id++)
		ck_assert_int_eq(batch(id, false, 0), OWNER_STARTED);
	ck_assert_int_eq(batch(7, false, 0), OWNER_REFUSED);
	ck_assert_int_eq(online(10, 9000, 1, 0), OWNER_STARTED);
	ck_assert_uint_eq(m.count[CANCELLING], 0);
	owner_free(m.owner);
}
END_TEST

START_TEST(slots_given_go_to_what_waits_first)
{
	owner_options_t o = options(1);

	open_owner(&o);
	online(10, 9000, 1, 0);
	online(11, 9000, 1, 0);
	o.slots = m.slots = 3;
	owner_update(m.owner, &o);
	ck_assert_uint_eq(owner_batch_headroom(m.owner, 0), 0);
	ck_assert_int_eq(batch(1, false, 0), OWNER_STARTED);
	ck_assert_int_eq(m.state[11], RUNNING);
	o.slots = 1; /* what runs stays */
	owner_update(m.owner, &o);
	ck_assert_int_eq(online(12, 9000, 1, 0), OWNER_QUEUED);
	end(1, 0);
	end(10, 0);
	ck_assert_int_eq(m.state[12], WAITING);
	end(11, 0);
	ck_assert_int_eq(m.state[12], RUNNING);
	owner_free(m.owner);
}
END_TEST

START_TEST(room_kept_follows_the_peak_of_arrivals)
{
	owner_options_t o = options(8);

	o.reserve = OWNER_RESERVE_PEAK;
	open_owner(&o);
	ck_assert_uint_eq(owner_batch_headroom(m.owner, 0), 8);
	for (uint64_t id = 1; id <= 3; id++)
		online(id, 9000, id, 10);
	for (uint64_t id = 1; id <= 3; id++)
		end(id, 20);
	owner_tick(m.owner, 1000);
	ck_assert_uint_eq(owner_batch_headroom(m.owner, 1000), 5);
	owner_tick(m.owner, 200000);
	ck_assert_uint_eq(owner_batch_headroom(m.owner, 200000), 8);
	owner_free(m.owner);
}
END_TEST

static int64_t run_steps(uint64_t id, int64_t step_us, int64_t from_ms, int64_t ms)
{
	int64_t now = from_ms;

	for (; now < from_ms + ms; now += 10)
		owner_record_token(m.owner, id, step_us, now);
	return now;
}

START_TEST(room_for_batch_follows_the_time_between_tokens)
{
	owner_options_t o = options(8);
	owner_stats_t st;
	unsigned shrunk;
	int64_t now;

	open_owner(&o);
	for (uint64_t id = 1; id <= 4; id++)
		batch(id, false, 0);
	now = run_steps(1, 70000, 0, 9000);
	owner_stats(m.owner, now, &st);
	ck_assert_int_eq(st.step_us, 70000);
	end(2, now);
	end(3, now);
	end(4, now);
	shrunk = owner_batch_headroom(m.owner, now);
	ck_assert_uint_eq(shrunk, 0);
	now = run_steps(1, 20000, now, 7000);
	ck_assert_uint_gt(owner_batch_headroom(m.owner, now), shrunk);
	ck_assert_uint_lt(owner_batch_headroom(m.owner, now), 4); /* slowly */
	now = run_steps(1, 20000, now, 14000);
	ck_assert_uint_eq(owner_batch_headroom(m.owner, now), 7);
	owner_free(m.owner);
}
END_TEST

START_TEST(a_suspect_item_runs_alone)
{
	owner_options_t o = options(4);
	int64_t now = 0;

	open_owner(&o);
	batch(1, false, now);
	ck_assert_int_eq(batch(2, true, now), OWNER_REFUSED);
	ck_assert_int_eq(batch(3, false, now), OWNER_REFUSED); /* others hold off for it */
	end(1, now);
	ck_assert_int_eq(batch(2, true, now), OWNER_STARTED);
	ck_assert_int_eq(batch(3, false, now), OWNER_REFUSED);
	ck_assert_int_eq(online(10, 9000, 1, now), OWNER_QUEUED);
	ck_assert_uint_eq(m.last_cancelled, 2);
	ck_assert_uint_eq(m.count[RUNNING], 0);
	end(2, now);
	ck_assert_uint_eq(m.last_started, 10);
	owner_free(m.owner);
}
END_TEST

START_TEST(a_suspect_online_stream_runs_alone)
{
	owner_options_t o = options(4);
	owner_stream_t suspect = {.id = 2, .deadline = 9000, .alone = true};

	open_owner(&o);
	batch(1, false, 0);
	ck_assert_int_eq(offer(suspect, 0), OWNER_REFUSED);
	ck_assert_int_eq(batch(3, false, 0), OWNER_REFUSED);
	end(1, 0);
	suspect.id = 4;
	ck_assert_int_eq(offer(suspect, 0), OWNER_STARTED);
	ck_assert_int_eq(online(10, 9000, 1, 0), OWNER_QUEUED);
	ck_assert_uint_eq(m.count[CANCELLING], 0);
	end(4, 0);
	ck_assert_uint_eq(m.last_started, 10);
	owner_free(m.owner);
}
END_TEST

START_TEST(a_stream_that_cannot_make_its_deadline_is_refused_at_once)
{
	owner_options_t o = options(2);
	uint64_t id = 1;

	open_owner(&o);
	for (int i = 0; i < 40; i++, id++) { /* each holds its slot for a second */
		ck_assert_int_eq(online(id, DEADLINE_NEVER, 1, i * 1000), OWNER_STARTED);
		end(id, i * 1000 + 1000);
	}
	for (int i = 0; i < 6; i++, id++)
		online(id, DEADLINE_NEVER, id, 50000);
	ck_assert_uint_eq(m.count[WAITING], 4);
	/* four before it, one slot free each half second */
	ck_assert_int_eq(online(id++, 51000, 90, 50000), OWNER_QUEUED); /* goes first */
	ck_assert_int_eq(online(id++, 50400, 91, 50000), OWNER_REFUSED);
	ck_assert_int_eq(m.last_retry_ms, 500);
	owner_tick(m.owner, 50400);
	ck_assert_uint_eq(m.count[REFUSED], 1);
	owner_tick(m.owner, 50600);
	ck_assert_uint_eq(m.count[REFUSED], 2);
	owner_free(m.owner);
}
END_TEST

START_TEST(a_closed_owner_refuses_and_ends)
{
	owner_options_t o = options(2);

	open_owner(&o);
	batch(1, false, 0);
	online(10, 9000, 1, 0);
	online(11, 9000, 1, 0);
	owner_close(m.owner, true, 0);
	ck_assert_int_eq(m.state[11], REFUSED);
	ck_assert_int_eq(m.state[1], CANCELLING);
	ck_assert_int_eq(m.state[10], RUNNING);
	ck_assert_int_eq(online(12, 9000, 1, 0), OWNER_REFUSED);
	ck_assert_int_eq(batch(2, false, 0), OWNER_REFUSED);
	ck_assert_uint_eq(owner_batch_headroom(m.owner, 0), 0);
	end(1, 1);
	end(10, 1);
	owner_free(m.owner);
}
END_TEST

/** A random stream among the newest that is in one of two states, or 0. */
static uint64_t any_in(state_t a, state_t b, uint64_t newest, uint64_t rnd)
{
	uint64_t span = newest < 200 ? newest : 200;

	for (uint64_t i = 0; i < span; i++) {
		uint64_t id = newest - (rnd + i) % span;

		if (m.state[id] == a || m.state[id] == b)
			return id;
	}
	return 0;
}

static void random_step(uint64_t *rnd, uint64_t *newest, int64_t now)
{
	uint64_t r = prng_next(rnd);
	unsigned under_way = m.count[CANCELLING];
	uint64_t id;

	switch (r % 10) {
	case 0 ... 2:
		if (*newest + 1 < IDS)
			offer((owner_stream_t){.id = ++*newest,
					       .deadline = now + (int64_t)(r >> 8) % 4000,
					       .caller = (r >> 32) % 5,
					       .alone = (r >> 40) % 50 == 0},
			      now);
		break;
	case 3 ... 4:
		if (*newest + 1 < IDS)
			batch(++*newest, (r >> 8) % 20 == 0, now);
		break;
	case 5 ... 7:
		id = any_in(RUNNING, CANCELLING, *newest, r >> 8);
		if (id)
			end(id, now);
		break;
	case 8:
		id = any_in(WAITING, WAITING, *newest, r >> 8);
		if (id && (r >> 40) % 4 == 0) {
			move(id, WAITING, ENDED);
			owner_withdraw(m.owner, id, now);
		}
		break;
	default:
		id = any_in(RUNNING, RUNNING, *newest, r >> 8);
		if (id)
			owner_record_token(m.owner, id, 1 + (int64_t)(r >> 8) % 90000, now);
		owner_tick(m.owner, now);
		break;
	}
	if (m.count[CANCELLING] > under_way)
		ck_assert_uint_le(m.count[CANCELLING], m.count[WAITING]);
}

static void check_counts(int64_t now)
{
	owner_stats_t st;

	owner_stats(m.owner, now, &st);
	ck_assert_uint_eq(st.queued, m.count[WAITING]);
	ck_assert_uint_eq(st.cancelling, m.count[CANCELLING]);
	ck_assert_uint_eq(st.running_online + st.running_batch, m.count[RUNNING]);
	ck_assert(m.count[WAITING] == 0 || m.count[RUNNING] + m.count[CANCELLING] > 0);
	if (m.count[WAITING] > 0 && st.running_batch > 0)
		ck_assert_uint_ge(m.count[CANCELLING], m.count[WAITING]);
}

START_TEST(random_calls_keep_the_invariants)
{
	const char *s = getenv("AUBURN_SEED");
	uint64_t rnd = s ? strtoull(s, NULL, 10) : 11 + (uint64_t)_i;
	owner_options_t o = options(1 + _i % 8);
	uint64_t newest = 0;
	int64_t now = 1;

	o.reserve = (owner_reserve_t)(_i % 3);
	o.reserved_slots = o.reserve ? 1 : 0;
	o.queue_max = 5 + _i;
	open_owner(&o);
	for (int i = 0; i < ROUNDS; i++) {
		now += (int64_t)(prng_next(&rnd) % 20);
		random_step(&rnd, &newest, now);
		check_counts(now);
	}
	owner_close(m.owner, true, now);
	for (uint64_t id = 1; id <= newest; id++) {
		if (m.state[id] == RUNNING || m.state[id] == CANCELLING)
			end(id, now);
	}
	ck_assert_uint_eq(m.count[RUNNING] + m.count[CANCELLING] + m.count[WAITING], 0);
	owner_free(m.owner);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("owner");
	TCase *t = tcase_create("owner");

	suite_add_tcase(s, t);
	tcase_add_test(t, online_starts_by_deadline);
	tcase_add_test(t, a_flood_from_one_caller_leaves_turns_to_others);
	tcase_add_test(t, an_online_burst_cancels_the_youngest_batch_streams);
	tcase_add_test(t, without_preemption_nothing_is_cancelled);
	tcase_add_test(t, kept_slots_are_left_to_online);
	tcase_add_test(t, slots_given_go_to_what_waits_first);
	tcase_add_test(t, room_kept_follows_the_peak_of_arrivals);
	tcase_add_test(t, room_for_batch_follows_the_time_between_tokens);
	tcase_add_test(t, a_suspect_item_runs_alone);
	tcase_add_test(t, a_suspect_online_stream_runs_alone);
	tcase_add_test(t, a_stream_that_cannot_make_its_deadline_is_refused_at_once);
	tcase_add_test(t, a_closed_owner_refuses_and_ends);
	tcase_add_loop_test(t, random_calls_keep_the_invariants, 0, 12);
	return suite_run(s);
}
