/* Tests of policy/intake.h: plays crowds of clients. Guard against a process that exceeds its
 * memory or its descriptors, and against ordinary clients that lose to a crowd. */
#include <string.h>
#include "policy/intake.h"
#include "suite_kit.h"

#define MIB	   ((size_t)1 << 20)
#define BUDGET	   (24 * MIB)
#define BODY	   (4 * MIB)
#define READ_BYTES 16384
#define PERIOD_MS  15000
#define CROWD	   60

static intake_t *new_intake(size_t connections)
{
	return intake_new(&(intake_options_t){BUDGET, connections});
}

static void open_client(intake_t *in, intake_client_t *c, intake_state_t state, deadline_t now)
{
	*c = (intake_client_t){.conn = c};
	intake_add(in, c, now);
	c->state = state;
}

/* Lets a client hold this much more, as a connection does that has read or written. Returns false
 * if the client itself is the one to give up; others that are to be given up are closed. */
static bool grow(intake_t *in, intake_client_t *c, size_t more, deadline_t now)
{
	intake_client_t *excess;

	while ((excess = intake_excess(in, c, c->held + more, now))) {
		if (excess == c)
			return false;
		intake_remove(in, excess);
		memset(excess, 0, sizeof(*excess));
	}
	intake_set_held(in, c, c->held + more);
	intake_advance(in, c, more, now);
	return true;
}

START_TEST(crowd_of_stopped_bodies_stays_within_the_budget)
{
	intake_t *in = new_intake(1000);
	intake_client_t crowd[CROWD];
	intake_client_t small;
	intake_client_t large;
	deadline_t now = 1000;

	for (int i = 0; i < CROWD; i++) {
		open_client(in, &crowd[i], INTAKE_READING, now);
		for (size_t n = 0; n < BODY - READ_BYTES; n += READ_BYTES) {
			if (!grow(in, &crowd[i], READ_BYTES, now)) {
				intake_remove(in, &crowd[i]);
				break;
			}
			ck_assert_uint_le(intake_held(in), BUDGET - BUDGET / 4 + READ_BYTES);
		}
	}
	/* A request of an ordinary size and a body of legal size still arrive whole. */
	now += 100;
	open_client(in, &small, INTAKE_READING, now);
	ck_assert(grow(in, &small, INTAKE_SMALL_BYTES, now));
	open_client(in, &large, INTAKE_READING, now);
	for (size_t n = 0; n < BODY; n += READ_BYTES)
		ck_assert(grow(in, &large, READ_BYTES, now += 1));
	ck_assert_uint_eq(small.held, INTAKE_SMALL_BYTES);
	ck_assert_uint_le(intake_held(in), BUDGET);
	intake_free(in);
}
END_TEST

START_TEST(reserve_is_left_to_small_requests_while_all_else_is_being_served)
{
	intake_t *in = new_intake(1000);
	intake_client_t served[8];
	intake_client_t small[40];
	intake_client_t large;
	size_t n = 0;

	while (n < 8) {
		open_client(in, &served[n], INTAKE_READING, 0);
		if (!grow(in, &served[n], BODY, 0))
			break;
		served[n++].state = INTAKE_SERVED;
	}
	ck_assert_uint_eq(n, 4);
	open_client(in, &large, INTAKE_READING, 0);
	ck_assert(!grow(in, &large, BODY, 0));
	for (int i = 0; i < 40; i++) {
		open_client(in, &small[i], INTAKE_READING, 0);
		ck_assert(grow(in, &small[i], INTAKE_SMALL_BYTES, 0));
	}
	for (size_t i = 0; i < n; i++)
		ck_assert_uint_eq(served[i].held, BODY);
	intake_free(in);
}
END_TEST

START_TEST(largest_and_least_recently_advanced_is_given_up_first)
{
	intake_t *in = new_intake(1000);
	intake_client_t stopped;
	intake_client_t active;
	intake_client_t unread;
	intake_client_t c;

	open_client(in, &stopped, INTAKE_READING, 0);
	open_client(in, &active, INTAKE_READING, 0);
	open_client(in, &unread, INTAKE_UNREAD, 0);
	ck_assert(grow(in, &stopped, 4 * MIB, 0));
	ck_assert(grow(in, &unread, 6 * MIB, 0));
	ck_assert(grow(in, &active, 8 * MIB, 10000));
	open_client(in, &c, INTAKE_READING, 10000);
	ck_assert_ptr_eq(intake_excess(in, &c, MIB, 10000), &unread);
	intake_advance(in, &unread, 1, 10000);
	ck_assert_ptr_eq(intake_excess(in, &c, MIB, 10000), &stopped);
	intake_remove(in, &stopped);
	ck_assert_ptr_null(intake_excess(in, &c, MIB, 10000));
	intake_free(in);
}
END_TEST

/* Guards against a connection that is given up again and again in one search for room. */
START_TEST(connection_that_was_given_up_is_not_selected_again)
{
	intake_t *in = new_intake(1000);
	intake_client_t gone;
	intake_client_t c;

	open_client(in, &gone, INTAKE_READING, 0);
	ck_assert(grow(in, &gone, BUDGET / 2, 0));
	gone.state = INTAKE_CLOSING;
	open_client(in, &c, INTAKE_READING, 0);
	ck_assert_ptr_eq(intake_excess(in, &c, BUDGET / 2, 0), &c);
	intake_free(in);
}
END_TEST

START_TEST(body_must_advance_within_each_period)
{
	intake_client_t c = {0};
	intake_t *in = new_intake(10);

	open_client(in, &c, INTAKE_READING, 0);
	intake_begin_period(&c, PERIOD_MS, 0);
	ck_assert(!intake_is_stalled(&c, PERIOD_MS, PERIOD_MS - 1));
	ck_assert(intake_is_stalled(&c, PERIOD_MS, PERIOD_MS));
	/* Enough bytes, also one by one, begin the next period. */
	for (int i = 0; i < INTAKE_PERIOD_BYTES; i++)
		intake_advance(in, &c, 1, i / 2);
	ck_assert(!intake_is_stalled(&c, PERIOD_MS, PERIOD_MS - 1));
	ck_assert_int_eq(c.period_end, 2 * PERIOD_MS - 1);
	/* A byte now and then does not. */
	for (deadline_t now = PERIOD_MS; now < 2 * PERIOD_MS - 1; now += 100) {
		intake_advance(in, &c, 1, now);
		ck_assert(!intake_is_stalled(&c, PERIOD_MS, now));
	}
	ck_assert(intake_is_stalled(&c, PERIOD_MS, 2 * PERIOD_MS - 1));
	intake_free(in);
}
END_TEST

START_TEST(idle_connection_silent_longest_is_closed_beyond_the_bound)
{
	intake_t *in = new_intake(4);
	intake_client_t c[6];

	open_client(in, &c[0], INTAKE_SERVED, 0);
	open_client(in, &c[1], INTAKE_IDLE, 1);
	open_client(in, &c[2], INTAKE_READING, 2);
	open_client(in, &c[3], INTAKE_UNREAD, 3);
	ck_assert_ptr_null(intake_surplus(in, 3));
	intake_advance(in, &c[1], 10, 4);
	open_client(in, &c[4], INTAKE_IDLE, 5);
	ck_assert_ptr_eq(intake_surplus(in, 5), &c[2]);
	intake_remove(in, &c[2]);
	ck_assert_ptr_null(intake_surplus(in, 5));
	open_client(in, &c[5], INTAKE_IDLE, 6);
	ck_assert_ptr_eq(intake_surplus(in, 6), &c[1]);
	/* Without an idle one: a long unread answer, else the newest connection. */
	c[1].state = c[4].state = c[5].state = INTAKE_SERVED;
	ck_assert_ptr_eq(intake_surplus(in, 6), &c[5]);
	ck_assert_ptr_eq(intake_surplus(in, 3 + INTAKE_UNREAD_MS), &c[3]);
	intake_free(in);
}
END_TEST

START_TEST(removed_connections_hold_nothing)
{
	intake_t *in = new_intake(10);
	intake_client_t c;

	open_client(in, &c, INTAKE_READING, 0);
	intake_set_held(in, &c, 5000);
	intake_set_held(in, &c, 100);
	ck_assert_uint_eq(intake_held(in), 100);
	intake_remove(in, &c);
	ck_assert_uint_eq(intake_held(in), 0);
	ck_assert_uint_eq(intake_connections(in), 0);
	intake_free(in);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("intake");
	TCase *t = tcase_create("intake");

	tcase_add_test(t, crowd_of_stopped_bodies_stays_within_the_budget);
	tcase_add_test(t, reserve_is_left_to_small_requests_while_all_else_is_being_served);
	tcase_add_test(t, largest_and_least_recently_advanced_is_given_up_first);
	tcase_add_test(t, connection_that_was_given_up_is_not_selected_again);
	tcase_add_test(t, body_must_advance_within_each_period);
	tcase_add_test(t, idle_connection_silent_longest_is_closed_beyond_the_bound);
	tcase_add_test(t, removed_connections_hold_nothing);
	suite_add_tcase(s, t);
	return suite_run(s);
}
