/* Tests of the scheduler of one replica (policy/owner.h). Guard against more streams on a replica
 * than it has slots, online streams that wait behind batch streams, and streams that are queued
 * although they cannot meet their deadline. */
#include <stdlib.h>
#include "base/prng.h"
#include "policy/owner.h"
#include "suite_kit.h"

#define IDS_MAX 40000
#define ROUNDS	60000

typedef enum { NONE, WAITING, RUNNING, CANCELLING, ENDED, REFUSED } state_t;

/** The state of each stream, as the calls to the owner and its callbacks imply. */
typedef struct {
	owner_t *owner;
	state_t state[IDS_MAX];
	owner_class_t cls[IDS_MAX];
	unsigned count[REFUSED + 1];
	unsigned slots;
	uint64_t last_started, last_cancelled;
	int64_t last_retry_ms;
} model_t;

static model_t model;

/* Moves a stream from one state to another and checks that no more streams hold slots than there
 * are. */
static void change_state(uint64_t id, state_t from, state_t to)
{
	ck_assert_msg(model.state[id] == from, "id %d is in state %d, not %d", (int)id,
		      model.state[id], from);
	model.count[from]--;
	model.count[to]++;
	model.state[id] = to;
	ck_assert_uint_le(model.count[RUNNING] + model.count[CANCELLING], model.slots);
}

static void on_start(void *ctx, uint64_t id)
{
	if (model.cls[id] == OWNER_BATCH)
		ck_assert_uint_eq(model.count[WAITING], 0);
	change_state(id, model.state[id] == WAITING ? WAITING : NONE, RUNNING);
	model.last_started = id;
}

static void on_cancel(void *ctx, uint64_t id)
{
	ck_assert_int_eq(model.cls[id], OWNER_BATCH);
	change_state(id, RUNNING, CANCELLING);
	model.last_cancelled = id;
}

static void on_refuse(void *ctx, uint64_t id, int64_t retry_after_ms)
{
	ck_assert_int_gt(retry_after_ms, 0);
	change_state(id, WAITING, REFUSED);
	model.last_retry_ms = retry_after_ms;
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
	model = (model_t){.slots = o->slots};
	model.owner = owner_new(o, 0);
}

static owner_answer_t offer(owner_stream_t s, int64_t now)
{
	int64_t retry;
	owner_answer_t answer;

	model.cls[s.id] = s.cls;
	if (s.cls == OWNER_ONLINE) /* counts as waiting until the answer is known */
		change_state(s.id, NONE, WAITING);
	answer = owner_offer(model.owner, &s, now, &retry);
	if (answer == OWNER_REFUSED && s.cls == OWNER_ONLINE)
		change_state(s.id, WAITING, REFUSED);
	if (answer == OWNER_REFUSED)
		ck_assert_int_gt(retry, 0);
	ck_assert(answer == OWNER_REFUSED ||
		  answer == (model.state[s.id] == WAITING ? OWNER_QUEUED : OWNER_STARTED));
	model.last_retry_ms = retry;
	return answer;
}

static owner_answer_t offer_online(uint64_t id, int64_t deadline, uint64_t caller, int64_t now)
{
	return offer((owner_stream_t){.id = id, .deadline = deadline, .caller = caller}, now);
}

static owner_answer_t offer_batch(uint64_t id, bool alone, int64_t now)
{
	return offer(
		(owner_stream_t){
			.id = id, .cls = OWNER_BATCH, .deadline = DEADLINE_NEVER, .alone = alone},
		now);
}

static void end_stream(uint64_t id, int64_t now)
{
	change_state(id, model.state[id], ENDED);
	owner_stream_ended(model.owner, id, now);
}

START_TEST(online_streams_start_by_deadline)
{
	owner_options_t o = options(1);

	open_owner(&o);
	ck_assert_int_eq(offer_online(1, 9000, 1, 0), OWNER_STARTED);
	ck_assert_int_eq(offer_online(2, 9000, 2, 0), OWNER_QUEUED);
	ck_assert_int_eq(offer_online(3, 5000, 3, 0), OWNER_QUEUED);
	ck_assert_int_eq(offer_online(4, 7000, 4, 0), OWNER_QUEUED);
	end_stream(1, 10);
	ck_assert_uint_eq(model.last_started, 3);
	end_stream(3, 20);
	ck_assert_uint_eq(model.last_started, 4);
	owner_withdraw(model.owner, 2, 20);
	change_state(2, WAITING, ENDED);
	end_stream(4, 30);
	ck_assert_uint_eq(model.count[RUNNING], 0);
	owner_free(model.owner);
}
END_TEST

/* Callers take turns in the queue. Strictly by deadline, the 40 earlier requests of one caller
 * would all go first. */
START_TEST(a_flood_from_one_caller_does_not_delay_others)
{
	owner_options_t o = options(1);
	unsigned before = 0;

	open_owner(&o);
	offer_online(1, 100000, 1, 0);
	for (uint64_t id = 2; id < 42; id++)
		ck_assert_int_eq(offer_online(id, 100000, 1, 0), OWNER_QUEUED);
	ck_assert_int_eq(offer_online(50, 100100, 2, 100), OWNER_QUEUED);
	while (model.state[50] == WAITING) {
		end_stream(model.last_started, 100);
		before++;
	}
	ck_assert_uint_le(before, 4);
	owner_free(model.owner);
}
END_TEST

/* The newest batch streams lose the least work. A cancellation that is pending must not be
 * followed by a second one for the same waiting stream. */
START_TEST(an_online_burst_preempts_the_newest_batch_streams)
{
	owner_options_t o = options(4);

	open_owner(&o);
	for (uint64_t id = 1; id <= 4; id++)
		ck_assert_int_eq(offer_batch(id, false, 0), OWNER_STARTED);
	ck_assert_int_eq(offer_online(10, 9000, 1, 0), OWNER_QUEUED);
	ck_assert_uint_eq(model.last_cancelled, 4);
	ck_assert_int_eq(offer_online(11, 9000, 1, 0), OWNER_QUEUED);
	ck_assert_uint_eq(model.last_cancelled, 3);
	ck_assert_uint_eq(model.count[CANCELLING], 2);
	ck_assert_int_eq(offer_batch(5, false, 0), OWNER_REFUSED);
	end_stream(4, 5);
	ck_assert_uint_eq(model.last_started, 10);
	end_stream(1, 6); /* another batch stream ends: its slot serves the second online stream */
	ck_assert_uint_eq(model.last_started, 11);
	ck_assert_int_eq(offer_online(12, 9000, 1, 6), OWNER_QUEUED);
	/* The pending cancellation will free a slot for it. */
	ck_assert_uint_eq(model.count[CANCELLING], 1);
	owner_free(model.owner);
}
END_TEST

START_TEST(without_preemption_no_stream_is_cancelled)
{
	owner_options_t o = options(2);

	o.preempt = OWNER_PREEMPT_NONE;
	open_owner(&o);
	offer_batch(1, false, 0);
	offer_batch(2, false, 0);
	ck_assert_int_eq(offer_online(10, 9000, 1, 0), OWNER_QUEUED);
	ck_assert_uint_eq(model.count[CANCELLING], 0);
	owner_free(model.owner);
}
END_TEST

START_TEST(reserved_slots_are_left_to_online_streams)
{
	owner_options_t o = options(8);

	o.reserve = OWNER_RESERVE_FIXED;
	o.reserved_slots = 2;
	open_owner(&o);
	ck_assert_uint_eq(owner_batch_headroom(model.owner, 0), 6);
	for (uint64_t id = 1; id <= 6; id++)
		ck_assert_int_eq(offer_batch(id, false, 0), OWNER_STARTED);
	ck_assert_int_eq(offer_batch(7, false, 0), OWNER_REFUSED);
	ck_assert_int_eq(offer_online(10, 9000, 1, 0), OWNER_STARTED);
	ck_assert_uint_eq(model.count[CANCELLING], 0);
	owner_free(model.owner);
}
END_TEST

START_TEST(added_slots_go_to_queued_streams_first)
{
	owner_options_t o = options(1);

	open_owner(&o);
	offer_online(10, 9000, 1, 0);
	offer_online(11, 9000, 1, 0);
	o.slots = model.slots = 3;
	owner_update(model.owner, &o);
	ck_assert_uint_eq(owner_batch_headroom(model.owner, 0), 0);
	ck_assert_int_eq(offer_batch(1, false, 0), OWNER_STARTED);
	ck_assert_int_eq(model.state[11], RUNNING);
	o.slots = 1; /* running streams stay */
	owner_update(model.owner, &o);
	ck_assert_int_eq(offer_online(12, 9000, 1, 0), OWNER_QUEUED);
	end_stream(1, 0);
	end_stream(10, 0);
	ck_assert_int_eq(model.state[12], WAITING);
	end_stream(11, 0);
	ck_assert_int_eq(model.state[12], RUNNING);
	owner_free(model.owner);
}
END_TEST

/* The reserve must shrink again after the peak, or batch would lose the slots for ever. */
START_TEST(the_reserve_follows_the_peak_of_arrivals)
{
	owner_options_t o = options(8);

	o.reserve = OWNER_RESERVE_PEAK;
	open_owner(&o);
	ck_assert_uint_eq(owner_batch_headroom(model.owner, 0), 8);
	for (uint64_t id = 1; id <= 3; id++)
		offer_online(id, 9000, id, 10);
	for (uint64_t id = 1; id <= 3; id++)
		end_stream(id, 20);
	owner_tick(model.owner, 1000);
	ck_assert_uint_eq(owner_batch_headroom(model.owner, 1000), 5);
	owner_tick(model.owner, 200000);
	ck_assert_uint_eq(owner_batch_headroom(model.owner, 200000), 8);
	owner_free(model.owner);
}
END_TEST

/* Records a token every 10 ms for this long; returns the time after it. */
static int64_t record_tokens(uint64_t id, int64_t step_us, int64_t from_ms, int64_t ms)
{
	int64_t now = from_ms;

	for (; now < from_ms + ms; now += 10)
		owner_record_token(model.owner, id, step_us, now);
	return now;
}

/* More streams on an engine make each step slower. Batch must shrink while steps are over the
 * limit, and come back slowly, so that it does not oscillate. */
START_TEST(batch_headroom_follows_the_time_between_tokens)
{
	owner_options_t o = options(8);
	owner_stats_t st;
	unsigned headroom;
	int64_t now;

	open_owner(&o);
	for (uint64_t id = 1; id <= 4; id++)
		offer_batch(id, false, 0);
	now = record_tokens(1, 70000, 0, 9000);
	owner_stats(model.owner, now, &st);
	ck_assert_int_eq(st.step_us, 70000);
	end_stream(2, now);
	end_stream(3, now);
	end_stream(4, now);
	headroom = owner_batch_headroom(model.owner, now);
	ck_assert_uint_eq(headroom, 0);
	now = record_tokens(1, 20000, now, 7000);
	ck_assert_uint_gt(owner_batch_headroom(model.owner, now), headroom);
	ck_assert_uint_lt(owner_batch_headroom(model.owner, now), 4); /* it grows slowly */
	now = record_tokens(1, 20000, now, 14000);
	ck_assert_uint_eq(owner_batch_headroom(model.owner, now), 7);
	owner_free(model.owner);
}
END_TEST

/* A suspect item may crash the replica: no other stream must be lost then. */
START_TEST(a_suspect_item_runs_alone)
{
	owner_options_t o = options(4);
	int64_t now = 0;

	open_owner(&o);
	offer_batch(1, false, now);
	ck_assert_int_eq(offer_batch(2, true, now), OWNER_REFUSED);
	/* No other batch stream starts, so that the suspect can run. */
	ck_assert_int_eq(offer_batch(3, false, now), OWNER_REFUSED);
	end_stream(1, now);
	ck_assert_int_eq(offer_batch(2, true, now), OWNER_STARTED);
	ck_assert_int_eq(offer_batch(3, false, now), OWNER_REFUSED);
	ck_assert_int_eq(offer_online(10, 9000, 1, now), OWNER_QUEUED);
	ck_assert_uint_eq(model.last_cancelled, 2);
	ck_assert_uint_eq(model.count[RUNNING], 0);
	end_stream(2, now);
	ck_assert_uint_eq(model.last_started, 10);
	owner_free(model.owner);
}
END_TEST

START_TEST(a_suspect_online_stream_runs_alone)
{
	owner_options_t o = options(4);
	owner_stream_t suspect = {.id = 2, .deadline = 9000, .alone = true};

	open_owner(&o);
	offer_batch(1, false, 0);
	ck_assert_int_eq(offer(suspect, 0), OWNER_REFUSED);
	ck_assert_int_eq(offer_batch(3, false, 0), OWNER_REFUSED);
	end_stream(1, 0);
	suspect.id = 4;
	ck_assert_int_eq(offer(suspect, 0), OWNER_STARTED);
	ck_assert_int_eq(offer_online(10, 9000, 1, 0), OWNER_QUEUED);
	ck_assert_uint_eq(model.count[CANCELLING], 0);
	end_stream(4, 0);
	ck_assert_uint_eq(model.last_started, 10);
	owner_free(model.owner);
}
END_TEST

/* Waiting would only cost the caller the time in which it could try elsewhere. Queued streams are
 * refused as soon as their deadline cannot be met. */
START_TEST(a_stream_that_cannot_make_its_deadline_is_refused_at_once)
{
	owner_options_t o = options(2);
	uint64_t id = 1;

	open_owner(&o);
	for (int i = 0; i < 40; i++, id++) { /* the estimated hold time becomes 1 s */
		ck_assert_int_eq(offer_online(id, DEADLINE_NEVER, 1, i * 1000), OWNER_STARTED);
		end_stream(id, i * 1000 + 1000);
	}
	for (int i = 0; i < 6; i++, id++)
		offer_online(id, DEADLINE_NEVER, id, 50000);
	ck_assert_uint_eq(model.count[WAITING], 4);
	/* Four streams wait, and a slot becomes free every 0.5 s. */
	/* This stream has the earliest deadline, so it goes before the four. */
	ck_assert_int_eq(offer_online(id++, 51000, 90, 50000), OWNER_QUEUED);
	ck_assert_int_eq(offer_online(id++, 50400, 91, 50000), OWNER_REFUSED);
	ck_assert_int_eq(model.last_retry_ms, 500);
	owner_tick(model.owner, 50400);
	ck_assert_uint_eq(model.count[REFUSED], 1);
	owner_tick(model.owner, 50600);
	ck_assert_uint_eq(model.count[REFUSED], 2);
	owner_free(model.owner);
}
END_TEST

START_TEST(a_closed_owner_refuses_new_and_queued_streams)
{
	owner_options_t o = options(2);

	open_owner(&o);
	offer_batch(1, false, 0);
	offer_online(10, 9000, 1, 0);
	offer_online(11, 9000, 1, 0);
	owner_close(model.owner, true, 0);
	ck_assert_int_eq(model.state[11], REFUSED);
	ck_assert_int_eq(model.state[1], CANCELLING);
	ck_assert_int_eq(model.state[10], RUNNING);
	ck_assert_int_eq(offer_online(12, 9000, 1, 0), OWNER_REFUSED);
	ck_assert_int_eq(offer_batch(2, false, 0), OWNER_REFUSED);
	ck_assert_uint_eq(owner_batch_headroom(model.owner, 0), 0);
	end_stream(1, 1);
	end_stream(10, 1);
	owner_free(model.owner);
}
END_TEST

/** Returns one of the newest streams that is in one of two states, or 0; draw selects it. */
static uint64_t find_stream(state_t a, state_t b, uint64_t newest, uint64_t draw)
{
	uint64_t span = newest < 200 ? newest : 200;

	for (uint64_t i = 0; i < span; i++) {
		uint64_t id = newest - (draw + i) % span;

		if (model.state[id] == a || model.state[id] == b)
			return id;
	}
	return 0;
}

/* One random call: offers, ends or withdraws a stream, records a token or ticks. */
static void random_step(uint64_t *prng, uint64_t *newest, int64_t now)
{
	uint64_t draw = prng_next(prng);
	unsigned cancelling = model.count[CANCELLING];
	uint64_t id;

	switch (draw % 10) {
	case 0 ... 2:
		if (*newest + 1 < IDS_MAX)
			offer((owner_stream_t){.id = ++*newest,
					       .deadline = now + (int64_t)(draw >> 8) % 4000,
					       .caller = (draw >> 32) % 5,
					       .alone = (draw >> 40) % 50 == 0},
			      now);
		break;
	case 3 ... 4:
		if (*newest + 1 < IDS_MAX)
			offer_batch(++*newest, (draw >> 8) % 20 == 0, now);
		break;
	case 5 ... 7:
		id = find_stream(RUNNING, CANCELLING, *newest, draw >> 8);
		if (id)
			end_stream(id, now);
		break;
	case 8:
		id = find_stream(WAITING, WAITING, *newest, draw >> 8);
		if (id && (draw >> 40) % 4 == 0) {
			change_state(id, WAITING, ENDED);
			owner_withdraw(model.owner, id, now);
		}
		break;
	default:
		id = find_stream(RUNNING, RUNNING, *newest, draw >> 8);
		if (id)
			owner_record_token(model.owner, id, 1 + (int64_t)(draw >> 8) % 90000, now);
		owner_tick(model.owner, now);
		break;
	}
	if (model.count[CANCELLING] > cancelling)
		ck_assert_uint_le(model.count[CANCELLING], model.count[WAITING]);
}

/* The owner's counts must match the model's; no stream may wait while a slot is free, and batch
 * streams must yield to waiting ones. */
static void check_counts(int64_t now)
{
	owner_stats_t st;

	owner_stats(model.owner, now, &st);
	ck_assert_uint_eq(st.queued, model.count[WAITING]);
	ck_assert_uint_eq(st.cancelling, model.count[CANCELLING]);
	ck_assert_uint_eq(st.running_online + st.running_batch, model.count[RUNNING]);
	ck_assert(model.count[WAITING] == 0 || model.count[RUNNING] + model.count[CANCELLING] > 0);
	if (model.count[WAITING] > 0 && st.running_batch > 0)
		ck_assert_uint_ge(model.count[CANCELLING], model.count[WAITING]);
}

START_TEST(random_calls_keep_the_invariants)
{
	const char *s = getenv("AUBURN_SEED");
	uint64_t prng = s ? strtoull(s, NULL, 10) : 11 + (uint64_t)_i;
	owner_options_t o = options(1 + _i % 8);
	uint64_t newest = 0;
	int64_t now = 1;

	o.reserve = (owner_reserve_t)(_i % 3);
	o.reserved_slots = o.reserve ? 1 : 0;
	o.queue_max = 5 + _i;
	open_owner(&o);
	for (int i = 0; i < ROUNDS; i++) {
		now += (int64_t)(prng_next(&prng) % 20);
		random_step(&prng, &newest, now);
		check_counts(now);
	}
	owner_close(model.owner, true, now);
	for (uint64_t id = 1; id <= newest; id++) {
		if (model.state[id] == RUNNING || model.state[id] == CANCELLING)
			end_stream(id, now);
	}
	ck_assert_uint_eq(model.count[RUNNING] + model.count[CANCELLING] + model.count[WAITING], 0);
	owner_free(model.owner);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("owner");
	TCase *t = tcase_create("owner");

	suite_add_tcase(s, t);
	tcase_add_test(t, online_streams_start_by_deadline);
	tcase_add_test(t, a_flood_from_one_caller_does_not_delay_others);
	tcase_add_test(t, an_online_burst_preempts_the_newest_batch_streams);
	tcase_add_test(t, without_preemption_no_stream_is_cancelled);
	tcase_add_test(t, reserved_slots_are_left_to_online_streams);
	tcase_add_test(t, added_slots_go_to_queued_streams_first);
	tcase_add_test(t, the_reserve_follows_the_peak_of_arrivals);
	tcase_add_test(t, batch_headroom_follows_the_time_between_tokens);
	tcase_add_test(t, a_suspect_item_runs_alone);
	tcase_add_test(t, a_suspect_online_stream_runs_alone);
	tcase_add_test(t, a_stream_that_cannot_make_its_deadline_is_refused_at_once);
	tcase_add_test(t, a_closed_owner_refuses_new_and_queued_streams);
	tcase_add_loop_test(t, random_calls_keep_the_invariants, 0, 12);
	return suite_run(s);
}
