/* Tests of the search for the leader (policy/leader_search.h): plays a process that searches among
 * control processes with given response times. Guards against a search that never ends because the
 * leader answers later than a try lasts, and against dark processes that hold up the others. */
#include "base/prng.h"
#include "policy/leader_search.h"
#include "suite_kit.h"

#define TICK_MS	  25
#define PLAY_MS	  60000
#define TRIES_MAX 64
#define NEVER	  (-1)

typedef struct {
	int rtt_ms; /* of connection and of hello alike; NEVER: dark */
	int leads_at; /* NEVER: does not lead */
	int loss_percent; /* of the packets that open a connection */
	int connections; /* tried */
	int hellos; /* that it got */
	int open_hellos; /* that it has not answered yet */
} peer_t;

typedef struct {
	int at; /* 0: free */
	size_t control;
	bool greeted;
	int give_up_at;
} try_t;

typedef struct {
	peer_t peers[LEADER_SEARCH_CONTROLS_MAX];
	size_t npeers;
	try_t tries[TRIES_MAX];
	leader_search_t search;
	uint64_t rnd;
	int most_tries; /* open at the same time */
} play_t;

static void end_tries_of(play_t *p, size_t control)
{
	for (int i = 0; i < TRIES_MAX; i++) {
		if (p->tries[i].control == control)
			p->tries[i].at = 0;
	}
}

static void start_try(play_t *p, size_t control, int now)
{
	peer_t *peer = &p->peers[control];
	int open = 0;
	bool lost = peer->rtt_ms == NEVER || (int)(prng_next(&p->rnd) % 100) < peer->loss_percent;

	peer->connections++;
	for (int i = 0; i < TRIES_MAX; i++) {
		if (p->tries[i].at) {
			open++;
		} else {
			p->tries[i] = (try_t){lost ? PLAY_MS * 2 : now + peer->rtt_ms, control,
					      false, now + LEADER_SEARCH_TRY_MS};
			break;
		}
	}
	if (open + 1 > p->most_tries)
		p->most_tries = open + 1;
}

/* Handles what is due at a try. Returns true if it found the leader. */
static bool advance_try(play_t *p, try_t *t, int now)
{
	peer_t *peer = &p->peers[t->control];
	size_t control = t->control;

	if (t->at <= now && t->greeted) {
		peer->open_hellos--;
		t->at = 0;
		if (peer->leads_at != NEVER && now >= peer->leads_at)
			return true;
		leader_search_answered(&p->search, control, now);
	} else if (t->at <= now) {
		end_tries_of(p, control);
		*t = (try_t){now + peer->rtt_ms, control, true, t->give_up_at};
		leader_search_greeted(&p->search, control);
		peer->hellos++;
		ck_assert_int_le(++peer->open_hellos, 1);
	} else if (t->give_up_at <= now) {
		leader_search_given_up(&p->search, control, t->greeted);
		peer->open_hellos -= t->greeted;
		t->at = 0;
	}
	return false;
}

/* Plays a search; returns the time until the leader was found, NEVER if it wasn't. */
static int search(play_t *p)
{
	size_t i;

	for (i = 0; i < p->npeers; i++)
		leader_search_add(&p->search);
	leader_search_restart(&p->search, 0);
	for (int now = 1; now < PLAY_MS; now++) {
		for (int n = 0; n < TRIES_MAX && now > 0; n++) {
			if (p->tries[n].at && advance_try(p, &p->tries[n], now))
				return now;
		}
		if (now % TICK_MS == 0 && leader_search_next(&p->search, now, &i))
			start_try(p, i, now);
	}
	return NEVER;
}

/* Three control processes, the last of which leads from the start. */
static play_t *play_of_three(int rtt_ms)
{
	play_t *p = calloc(1, sizeof(*p));

	p->rnd = 1;
	p->npeers = 3;
	for (int i = 0; i < 3; i++)
		p->peers[i] = (peer_t){rtt_ms, i == 2 ? 0 : NEVER, 0, 0, 0, 0};
	return p;
}

START_TEST(a_leader_that_answers_late_is_found)
{
	static const int rtts[] = {1, 50, 100, 160, 200, 400, 800, 990};

	for (size_t i = 0; i < sizeof(rtts) / sizeof(rtts[0]); i++) {
		play_t *p = play_of_three(rtts[i]);
		int took = search(p);

		ck_assert_int_ne(took, NEVER);
		ck_assert_int_le(took, 2 * rtts[i] + 2 * LEADER_SEARCH_STAGGER_MS + 3 * TICK_MS);
		ck_assert_int_eq(p->peers[2].hellos, 1);
		free(p);
	}
}
END_TEST

START_TEST(dark_processes_hold_up_the_search_once)
{
	play_t *p = play_of_three(1);
	int took;

	p->peers[0].rtt_ms = p->peers[1].rtt_ms = NEVER;
	p->peers[2].leads_at = 1000;
	took = search(p);
	ck_assert_int_ge(took, 1000);
	/* The tries at a dark process after the first delay the others by a pause only. */
	ck_assert_int_le(took, 1000 + 3 * 2 * TICK_MS);
	free(p);
}
END_TEST

START_TEST(a_dead_leader_costs_one_stagger)
{
	play_t *p = play_of_three(1);
	int took;

	p->peers[0].rtt_ms = NEVER;
	took = search(p);
	ck_assert_int_le(took, LEADER_SEARCH_STAGGER_MS + 5 * TICK_MS);
	free(p);
}
END_TEST

START_TEST(a_process_that_is_slow_gets_one_hello_at_a_time)
{
	play_t *p = play_of_three(900);

	p->peers[2].leads_at = NEVER;
	ck_assert_int_eq(search(p), NEVER);
	for (int i = 0; i < 3; i++) {
		ck_assert_int_ge(p->peers[i].hellos, PLAY_MS / 2000 - 1);
		ck_assert_int_le(p->peers[i].hellos, PLAY_MS / 900 + 1);
	}
	ck_assert_int_le(p->most_tries, 3 * 6);
	free(p);
}
END_TEST

START_TEST(a_dark_process_is_tried_all_the_time_at_a_bounded_rate)
{
	play_t *p = play_of_three(NEVER);

	ck_assert_int_eq(search(p), NEVER);
	for (int i = 0; i < 3; i++) {
		ck_assert_int_ge(p->peers[i].connections, PLAY_MS / 1000);
		ck_assert_int_le(p->peers[i].connections,
				 PLAY_MS / LEADER_SEARCH_INTERVAL_MAX_MS + 4);
	}
	ck_assert_int_le(p->most_tries, 3 * 6);
	free(p);
}
END_TEST

START_TEST(lost_packets_that_open_a_connection_are_made_up_for)
{
	int late = 0;

	for (uint64_t seed = 1; seed <= 1000; seed++) {
		play_t *p = play_of_three(2);

		p->rnd = seed;
		for (int i = 0; i < 3; i++)
			p->peers[i].loss_percent = 40;
		late += search(p) > 1000;
		free(p);
	}
	/* A connection alone, with the kernel's first retransmission after 1 s, would be late in
	 * 400 of them. */
	ck_assert_int_le(late, 80);
}
END_TEST

START_TEST(a_named_leader_is_tried_next)
{
	leader_search_t s = {0};
	size_t i;

	for (int n = 0; n < 8; n++)
		leader_search_add(&s);
	leader_search_restart(&s, 0);
	ck_assert(leader_search_next(&s, 100, &i));
	leader_search_answered(&s, i, 101);
	leader_search_hint(&s, 6);
	ck_assert(leader_search_next(&s, 125, &i));
	ck_assert_uint_eq(i, 6);
}
END_TEST

START_TEST(acknowledgements_have_time_for_the_round_trip_of_the_link)
{
	ck_assert_int_eq(leader_search_ack_ms(0, 500), LEADER_SEARCH_ACK_MIN_MS);
	ck_assert_int_eq(leader_search_ack_ms(50, 500), LEADER_SEARCH_ACK_MIN_MS);
	ck_assert_int_eq(leader_search_ack_ms(100, 500), 300);
	ck_assert_int_eq(leader_search_ack_ms(1000, 500), 500);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("leader_search");
	TCase *t = tcase_create("search");

	tcase_set_timeout(t, 60);
	tcase_add_test(t, a_leader_that_answers_late_is_found);
	tcase_add_test(t, dark_processes_hold_up_the_search_once);
	tcase_add_test(t, a_dead_leader_costs_one_stagger);
	tcase_add_test(t, a_process_that_is_slow_gets_one_hello_at_a_time);
	tcase_add_test(t, a_dark_process_is_tried_all_the_time_at_a_bounded_rate);
	tcase_add_test(t, lost_packets_that_open_a_connection_are_made_up_for);
	tcase_add_test(t, a_named_leader_is_tried_next);
	tcase_add_test(t, acknowledgements_have_time_for_the_round_trip_of_the_link);
	suite_add_tcase(s, t);
	return suite_run(s);
}
