/* Tests of the speeds of replicas (policy/replica_speed) and of their use by the dispatcher, in a
 * simulated fleet of unequal replicas that share their machines with others. Guard against requests
 * that are late on slow replicas, false figures that are believed, replicas that are given more
 * tokens than they hold, and slots that stay empty while requests wait. */
#include <stdlib.h>
#include "base/prng.h"
#include "dispatch_kit.h"
#include "policy/replica_speed.h"

/* ---- the module ---- */

/* Ends runs of this many ms, one each 100 ms, in a service whose mean is 500. */
static deadline_t end_runs(replica_speed_t *r, unsigned n, int64_t ms, unsigned percent,
			   deadline_t now)
{
	speed_means_t means = {.us_per_run = 500000};

	for (; n > 0; n--, now += 100) {
		speed_run_t run = {now - ms, percent, 0, 0};

		if (percent)
			replica_speed_stated(r, 1, percent, now);
		means.us_per_run = 500000;
		replica_speed_ended(r, &means, &run, now);
	}
	return now;
}

START_TEST(stated_figure_loses_its_weight_within_a_second)
{
	replica_speed_t r = {0};

	replica_speed_stated(&r, 1, 250, 1000);
	ck_assert_int_eq(replica_speed_factor(&r, 1000), 2500);
	ck_assert_int_eq(replica_speed_factor(&r, 1500), 1750);
	ck_assert_int_eq(replica_speed_factor(&r, 2000), SPEED_MEAN);
	replica_speed_stated(&r, 1, 800, 900); /* older: overtaken on its way */
	ck_assert_int_eq(replica_speed_factor(&r, 1000), 2500);
}
END_TEST

START_TEST(runs_show_a_slow_replica_until_it_has_had_none_for_long)
{
	replica_speed_t r = {0};
	deadline_t now = end_runs(&r, 40, 1500, 0, 1000);

	ck_assert_int_gt(replica_speed_factor(&r, now), 2700);
	ck_assert_int_eq(replica_speed_factor(&r, now + 30000), SPEED_MEAN);
}
END_TEST

/* A figure that is stated all the time is part of the speed that runs show: it must not count
 * twice. */
START_TEST(constant_figure_does_not_count_twice)
{
	replica_speed_t r = {0};
	deadline_t now = end_runs(&r, 40, 1000, 200, 1000);

	ck_assert_int_gt(replica_speed_factor(&r, now - 100), 1800);
	ck_assert_int_lt(replica_speed_factor(&r, now - 100), 2200);
}
END_TEST

/* Runs take as long as ever whatever the replica states. */
START_TEST(contradicted_figures_lose_their_weight)
{
	replica_speed_t r = {0};
	speed_means_t means = {0};
	unsigned reports = 0;
	deadline_t now = 1000;

	for (unsigned i = 0; i < 60; i++, now += 50) {
		speed_run_t run = {now - 500, i % 4 ? 25 : 800, 0, 0};

		replica_speed_stated(&r, 1, run.percent_began, now);
		reports += replica_speed_ended(&r, &means, &run, now);
	}
	ck_assert_uint_ge(reports, 1);
	ck_assert_uint_le(reports, 3);
	replica_speed_stated(&r, 1, 800, now);
	ck_assert_int_lt(replica_speed_factor(&r, now), 2000);
}
END_TEST

START_TEST(factor_is_bounded_and_reset_at_a_new_start_time)
{
	replica_speed_t r = {0};
	deadline_t now = end_runs(&r, 40, 50000, 0, 100000);

	replica_speed_stated(&r, 1, 4000000000u, now);
	ck_assert_int_eq(replica_speed_factor(&r, now), SPEED_MAX);
	replica_speed_stated(&r, 2, 100, now);
	ck_assert_int_eq(replica_speed_factor(&r, now), SPEED_MEAN);
	replica_speed_stated(&r, 2, 1, now);
	ck_assert_int_eq(replica_speed_factor(&r, now), SPEED_MIN);
	replica_speed_stated(&r, 1, 800, now + 1); /* of the process before */
	ck_assert_int_eq(replica_speed_factor(&r, now), SPEED_MIN);
}
END_TEST

/* A replica that gets the long runs is not slow. */
START_TEST(long_runs_with_many_tokens_do_not_count_as_slow)
{
	replica_speed_t r = {0};
	speed_means_t means = {.ns_per_work = 1000000};

	for (deadline_t now = 10000; now < 12000; now += 100) {
		speed_run_t run = {now - 3000, 0, 1000, 200};

		replica_speed_ended(&r, &means, &run, now);
	}
	ck_assert_int_eq(replica_speed_factor(&r, 12000), SPEED_MEAN);
}
END_TEST

/* ---- placement ---- */

/* A dispatcher with a replica r0 that works as usual and r1 that takes three times as long. */
static dispatch_t *new_unequal(unsigned slots, int64_t memory)
{
	dispatch_t *d = new_dispatcher(2, slots);
	dispatch_load_t loads[] = {{STR("r0"), 0, 0, 0, slots, 100, 0},
				   {STR("r1"), 0, 0, 0, slots, 300, 0}};
	dispatch_service_options_t opts = {memory};

	dispatch_set_weighing(d, &(dispatch_weighing_t){true, true});
	dispatch_set_service(d, STR("s"), &opts);
	dispatch_replica_loads(d, loads, 2, 0);
	return d;
}

static const char *start_item(dispatch_t *d, deadline_t due)
{
	dispatch_item_add(d, STR("s"), due, NULL);
	dispatch_tick(d, 0);
	return effects[neffects - 1].replica;
}

/* An item that is due soon must not be late on a slow replica; one that can wait takes what is
 * least loaded, slow or not. */
START_TEST(items_take_fast_replicas_if_their_due_time_requires_it)
{
	dispatch_t *d = new_unequal(4, 0);

	ck_assert_str_eq(start_item(d, 1000), "r0");
	ck_assert_str_eq(start_item(d, 1000), "r0");
	ck_assert_str_eq(start_item(d, 100000), "r1");
	add_request(d, 1, 0);
	ck_assert_str_eq(effects[neffects - 1].replica, "r0");
	dispatch_free(d);
}
END_TEST

/* A replica that is granted a request while it still runs the preempted item would run out of
 * memory. A request that fits nowhere must not keep others waiting. */
START_TEST(tokens_of_a_preempted_item_count_until_it_is_stopped)
{
	dispatch_t *d = new_unequal(1, 1000);
	dispatch_request_t big = make_request(1, 0);
	dispatch_item_t *items[2];

	for (unsigned i = 0; i < 2; i++) {
		items[i] = dispatch_item_add(d, STR("s"), 100000, &items[i]);
		dispatch_item_set_tokens(items[i], &(dispatch_tokens_t){.in = 600});
	}
	dispatch_tick(d, 0);
	ck_assert_int_eq(neffects, 2);
	big.tokens = (dispatch_tokens_t){.in = 300, .out_max = 200};
	dispatch_request_add(d, &big, 0);
	dispatch_tick(d, 1);
	ck_assert_int_eq(neffects, 3);
	ck_assert_int_eq(effects[2].kind, ITEM_STOPPED);
	dispatch_item_requeue(d, *(dispatch_item_t **)effects[2].data, DISPATCH_CANCELLED, 2);
	ck_assert_int_eq(effects[3].kind, GRANTED);
	dispatch_free(d);

	d = new_unequal(1, 1000);
	big.tokens.in = 2000;
	dispatch_request_add(d, &big, 0);
	add_request(d, 2, 0);
	ck_assert_int_eq(effects[neffects - 1].kind, GRANTED);
	ck_assert_uint_eq(effects[neffects - 1].request, 2);
	dispatch_free(d);
}
END_TEST

/* ---- plays of a fleet ---- */

#define SEEDS	     4
#define REPLICAS     71
#define SLOTS	     8
#define RUN_MS	     30000
#define CALLERS_MAX  32768
#define MEMORY	     16000
#define SLOW_FROM_MS 10000
#define SLOW_TO_MS   20000

typedef enum { HONEST, WITHHELD, LYING, STALE } figures_t;

typedef struct {
	figures_t figures;
	bool slow; /* two fifths take four times as long for 10 s */
	bool memory; /* the config states the replicas' memory */
	unsigned load; /* percent of the rate */
	unsigned seed;
} play_options_t;

typedef struct {
	deadline_t asked_at;
	deadline_t first_at; /* of its first event; 0: not granted */
	double work_ms; /* left of the prompt and then of the output, at speed 1 */
	double prompt_ms;
	unsigned replica;
	uint32_t tokens;
	unsigned tries;
	deadline_t retry_at;
	bool running;
	bool over;
} caller_t;

typedef struct {
	play_options_t opts;
	dispatch_t *dispatch;
	deadline_t now;
	uint64_t random;
	caller_t callers[CALLERS_MAX];
	unsigned n;
	unsigned oldest;
	unsigned used[REPLICAS];
	uint64_t tokens[REPLICAS];
	unsigned noise[REPLICAS]; /* percent now */
	unsigned noise_before[REPLICAS]; /* 100 ms ago */
	unsigned in_time, late, lost, held, overfull, over_memory, idle_ms;
	int64_t took_ms; /* by all that were answered whole */
	unsigned whole;
	unsigned slow_grants; /* to replicas of which the figures say that work takes long */
} play_t;

static unsigned replica_of(str_t id)
{
	return (unsigned)atoi(id.p + 1);
}

static void on_grant(void *ctx, uint64_t entry, uint64_t request, str_t replica)
{
	play_t *p = ctx;
	caller_t *c = &p->callers[request];

	c->replica = replica_of(replica);
	c->running = true;
	p->used[c->replica]++;
	p->tokens[c->replica] += c->tokens;
	p->overfull += p->used[c->replica] > SLOTS;
	p->over_memory += p->tokens[c->replica] > MEMORY;
	p->slow_grants += p->noise[c->replica] > 100;
}

static void on_refuse(void *ctx, uint64_t entry, uint64_t request, int64_t retry_ms,
		      dispatch_refusal_t why)
{
	play_t *p = ctx;
	caller_t *c = &p->callers[request];

	c->retry_at = p->now + retry_ms;
	if (c->tries < 2)
		return;
	c->over = true;
	p->lost++;
}

static void ask(play_t *p, unsigned i)
{
	caller_t *c = &p->callers[i];
	dispatch_request_t req = make_request(i, p->now);

	req.deadline = c->asked_at + 5000;
	req.returning = c->tries++ > 0;
	req.tokens = (dispatch_tokens_t){
		.in = c->tokens / 2, .out = c->tokens / 4, .out_max = c->tokens - c->tokens / 2};
	c->retry_at = 0;
	dispatch_request_add(p->dispatch, &req, p->now);
}

static void arrive(play_t *p)
{
	caller_t *c = &p->callers[p->n];
	uint32_t x = (uint32_t)(prng_next(&p->random) % 1000);

	/* The stated tokens are right but for a fifth either way. */
	c->asked_at = p->now;
	c->prompt_ms = 30;
	c->work_ms = 150 + 0.7 * x;
	c->tokens = (uint32_t)((1000 + 3 * x) * (80 + prng_next(&p->random) % 41) / 100);
	ask(p, p->n++);
}

/* How fast a replica works: by its machine, what others do there, and the fault. */
static double speed_of(const play_t *p, unsigned i)
{
	bool slow = p->opts.slow && i % 5 < 2 && p->now >= SLOW_FROM_MS && p->now < SLOW_TO_MS;

	return (i % 4 ? 1.2 : 0.55) * 100 / p->noise[i] / (slow ? 4 : 1);
}

/* Ends the run of a caller, if any. */
static void leave(play_t *p, unsigned i, dispatch_outcome_t how)
{
	caller_t *c = &p->callers[i];

	c->over = true;
	if (!c->running) {
		dispatch_request_withdraw(p->dispatch, 1, i);
		return;
	}
	p->used[c->replica]--;
	p->tokens[c->replica] -= c->tokens;
	c->running = false;
	p->whole += how == DISPATCH_OK;
	p->took_ms += how == DISPATCH_OK ? p->now - c->asked_at : 0;
	dispatch_request_ended(p->dispatch, 1, i, how, p->now);
}

static void work(play_t *p)
{
	for (unsigned i = p->oldest; i < p->n; i++) {
		caller_t *c = &p->callers[i];

		if (c->over) {
			p->oldest += i == p->oldest;
		} else if (c->retry_at && p->now >= c->retry_at) {
			ask(p, i);
		} else if (p->now >= c->asked_at + 5000) {
			p->held++;
			leave(p, i, DISPATCH_CANCELLED);
		} else if (c->running) {
			double done = speed_of(p, c->replica);

			c->prompt_ms -= done;
			if (c->prompt_ms <= 0 && !c->first_at) {
				c->first_at = p->now;
				p->in_time += p->now - c->asked_at <= 300;
				p->late += p->now - c->asked_at > 300;
			}
			c->work_ms -= c->first_at ? done : 0;
			if (c->work_ms <= 0)
				leave(p, i, DISPATCH_OK);
		}
	}
}

static unsigned stated(const play_t *p, unsigned i)
{
	bool slow = p->opts.slow && i % 5 < 2 && p->now >= SLOW_FROM_MS + 100 &&
		    p->now < SLOW_TO_MS + 100;

	/* A quarter lie: they say the opposite of what is. */
	if (p->opts.figures == LYING && i % 4 == 1)
		return p->noise[i] > 100 || slow ? 40 : 250;
	return p->noise_before[i] * (slow ? 4 : 1);
}

static void state_loads(play_t *p)
{
	for (unsigned i = 0; i < REPLICAS; i++) {
		char id[16];
		dispatch_load_t load = {.slots = SLOTS, .at = p->now - 20, .percent = 100};

		snprintf(id, sizeof(id), "r%u", i);
		load.replica = str_c(id);
		/* Some replica must state a figure for the service to be placed by estimates; it is
		 * too old to count. */
		if (p->opts.figures == WITHHELD)
			load.at = p->now - SPEED_STATED_MS;
		else
			load.percent = stated(p, i);
		if (p->opts.figures == STALE && p->now % 5000 > 100)
			continue;
		dispatch_replica_loads(p->dispatch, &load, 1, p->now);
	}
}

static void change_noise(play_t *p)
{
	/* The machines differ in when they change. */
	for (unsigned i = 0; i < REPLICAS; i++) {
		if ((p->now + i * 37) % 600 == 0)
			p->noise[i] = prng_next(&p->random) % 100 < 15 ? 250 : 100;
		if ((p->now + i * 37) % 600 == 100)
			p->noise_before[i] = p->noise[i];
	}
}

/* True if a slot is free that is not on a slow replica while a request waits. */
static bool has_idle_slots(const play_t *p)
{
	dispatch_stats_t st;

	dispatch_stats(p->dispatch, &st);
	for (unsigned i = 0; st.requests_waiting > 0 && i < REPLICAS; i++) {
		if (p->used[i] < SLOTS && speed_of(p, i) > 0.5)
			return true;
	}
	return false;
}

static play_t *play(play_options_t opts)
{
	play_t *p = calloc(1, sizeof(*p));
	dispatch_callbacks_t cb = {p, on_grant, on_refuse, record_item_start, record_item_stop};
	dispatch_service_options_t service = {opts.memory ? MEMORY : 0};
	dispatch_replica_t v[REPLICAS];
	static char ids[REPLICAS][16];
	double owed = 0;

	p->opts = opts;
	p->random = 5 + opts.seed;
	p->dispatch = dispatch_new(&cb, 3);
	dispatch_set_weighing(p->dispatch, &(dispatch_weighing_t){true, true});
	for (unsigned i = 0; i < REPLICAS; i++) {
		snprintf(ids[i], sizeof(ids[i]), "r%u", i);
		v[i] = (dispatch_replica_t){str_c(ids[i]), STR("a"), STR("s"), SLOTS, false, 0};
		p->noise[i] = p->noise_before[i] = 100;
	}
	dispatch_entry_add(p->dispatch, 1, STR("a"), true);
	dispatch_set_service(p->dispatch, STR("s"), &service);
	dispatch_set_replicas(p->dispatch, v, REPLICAS, 0);
	for (p->now = 1; p->now < RUN_MS; p->now++) {
		change_noise(p);
		if (p->now % 100 == 1)
			state_loads(p);
		owed += 0.330 * opts.load / 100 * (p->now % 5200 < 2200 ? 1.85 : 0.378);
		work(p);
		while (owed >= 1) {
			arrive(p);
			owed -= 1;
		}
		dispatch_tick(p->dispatch, p->now);
		p->idle_ms += has_idle_slots(p);
	}
	printf("figures %d slow %d memory %d load %u%%: %u callers, in time %u, late %u, lost %u, "
	       "held %u, mean %.0f ms, over memory %u, idle %u ms, granted in noise %u\n",
	       opts.figures, opts.slow, opts.memory, opts.load, p->n, p->in_time, p->late, p->lost,
	       p->held, (double)p->took_ms / p->whole, p->over_memory, p->idle_ms, p->slow_grants);
	ck_assert_uint_eq(p->overfull, 0);
	return p;
}

static void play_free(play_t *p)
{
	dispatch_free(p->dispatch);
	free(p);
}

typedef struct {
	unsigned in_time;
	unsigned held;
	int64_t mean_ms; /* of whole answers */
} outcome_t;

/* The outcome of plays with several seeds together. */
static outcome_t outcome(play_options_t opts)
{
	outcome_t o = {0};

	for (opts.seed = 0; opts.seed < SEEDS; opts.seed++) {
		play_t *p = play(opts);

		o.in_time += p->in_time;
		o.held += p->held;
		o.mean_ms += p->took_ms / p->whole / SEEDS;
		play_free(p);
	}
	return o;
}

START_TEST(figures_serve_no_fewer_in_time_than_none)
{
	for (unsigned i = 0; i < 6; i++) {
		play_options_t with = {HONEST, i % 2, false, 100 + i / 2 * 60, 0};
		play_options_t without = {WITHHELD, i % 2, false, 100 + i / 2 * 60, 0};
		outcome_t a = outcome(with);
		outcome_t b = outcome(without);

		printf("%u%% slow %u: with figures in time %u, held %u, mean %d ms; without %u, "
		       "%u, %d\n",
		       with.load, i % 2, a.in_time, a.held, (int)a.mean_ms, b.in_time, b.held,
		       (int)b.mean_ms);
		ck_assert_uint_ge(a.in_time, b.in_time);
	}
}
END_TEST

START_TEST(at_most_40_requests_are_held_until_their_deadline)
{
	play_t *p = play((play_options_t){HONEST, true, false, 100, 0});

	ck_assert_uint_le(p->held, 40);
	play_free(p);
}
END_TEST

/* What false or old figures cost, in requests in time, against honest ones: at most 5%. */
START_TEST(false_and_stale_figures_cost_a_bounded_share)
{
	for (unsigned i = 0; i < 4; i++) {
		play_options_t o = {HONEST, i % 2, false, i < 2 ? 100 : 220, 0};
		unsigned honest = outcome(o).in_time;

		o.figures = LYING;
		ck_assert_uint_ge(outcome(o).in_time * 100, honest * 95);
		o.figures = STALE;
		ck_assert_uint_ge(outcome(o).in_time * 100, honest * 95);
	}
}
END_TEST

START_TEST(no_replica_is_given_more_tokens_than_it_holds)
{
	play_t *p = play((play_options_t){HONEST, true, true, 160, 0});
	play_t *unlimited = play((play_options_t){HONEST, true, false, 160, 0});

	ck_assert_uint_eq(p->over_memory, 0);
	/* Otherwise the play would not reach the limit. */
	ck_assert_uint_gt(unlimited->over_memory, 0);
	play_free(p);
	play_free(unlimited);
}
END_TEST

START_TEST(slots_are_not_left_empty_while_requests_wait)
{
	play_t *p = play((play_options_t){HONEST, true, false, 220, 0});

	ck_assert_uint_le(p->idle_ms, RUN_MS / 100);
	play_free(p);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("replica_speed");
	TCase *t = tcase_create("all");

	tcase_set_timeout(t, 300);
	tcase_add_test(t, stated_figure_loses_its_weight_within_a_second);
	tcase_add_test(t, runs_show_a_slow_replica_until_it_has_had_none_for_long);
	tcase_add_test(t, constant_figure_does_not_count_twice);
	tcase_add_test(t, contradicted_figures_lose_their_weight);
	tcase_add_test(t, factor_is_bounded_and_reset_at_a_new_start_time);
	tcase_add_test(t, long_runs_with_many_tokens_do_not_count_as_slow);
	tcase_add_test(t, items_take_fast_replicas_if_their_due_time_requires_it);
	tcase_add_test(t, tokens_of_a_preempted_item_count_until_it_is_stopped);
	tcase_add_test(t, figures_serve_no_fewer_in_time_than_none);
	tcase_add_test(t, at_most_40_requests_are_held_until_their_deadline);
	tcase_add_test(t, false_and_stale_figures_cost_a_bounded_share);
	tcase_add_test(t, no_replica_is_given_more_tokens_than_it_holds);
	tcase_add_test(t, slots_are_not_left_empty_while_requests_wait);
	suite_add_tcase(s, t);
	return suite_run(s);
}
