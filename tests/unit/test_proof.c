/* Randomised test of proofs that a config is the newest (policy/proof.h), against a model that
 * knows when each config was acknowledged. Guards against an entry that goes on accepting a revoked
 * key: one that was cut off, frozen or slow, or that asked a deposed leader or one with an old
 * disk. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/prng.h"
#include "policy/proof.h"
#include "suite_kit.h"

#define SEEDS	    10000
#define STEPS	    400
#define VALIDITY_MS 5000
#define CONFIGS_MAX 256
#define QUEUE_MAX   512
#define LEADERS	    3

/** Faults that a play can have; each takes out one guard. */
typedef enum {
	SOUND,
	ANSWER_WITHOUT_QUORUM, /* the leader answers from what it knows */
	PROOF_FROM_ANSWER, /* the proof counts from the arrival of the answer */
	ANY_ANSWER_PROVES, /* also one that names another config than the one in force */
} fault_t;

typedef struct {
	deadline_t at; /* when it arrives */
	uint64_t newest; /* answers: the config that is named; 0: not confirmed */
} message_t;

typedef struct {
	uint64_t rnd;
	fault_t fault;
	deadline_t now;
	deadline_t acked_at[CONFIGS_MAX]; /* of config i, from 1 */
	uint64_t newest; /* acknowledged */
	uint64_t known[LEADERS]; /* newest config that each control process has applied */
	unsigned leader; /* that a majority follows */
	/* The entry. */
	proof_t proof;
	uint64_t config; /* in force */
	unsigned linked_to;
	deadline_t frozen_until;
	message_t questions[QUEUE_MAX];
	size_t nquestions;
	message_t answers[QUEUE_MAX];
	size_t nanswers;
} play_t;

static uint64_t below(play_t *p, uint64_t n)
{
	return prng_next(&p->rnd) % n;
}

static void acknowledge_config(play_t *p)
{
	if (p->newest + 1 >= CONFIGS_MAX)
		return;
	p->acked_at[++p->newest] = p->now;
	p->known[p->leader] = p->newest;
}

static void change_leader(play_t *p)
{
	p->leader = (unsigned)below(p, LEADERS);
	p->known[p->leader] = p->newest; /* it leads only after its read barrier */
}

static void relink(play_t *p)
{
	p->linked_to = (unsigned)below(p, LEADERS);
	p->nquestions = p->nanswers = 0;
	proof_link_lost(&p->proof);
}

static void ask(play_t *p)
{
	deadline_t last = p->nquestions ? p->questions[p->nquestions - 1].at : 0;
	deadline_t at = p->now + (deadline_t)below(p, 800);

	if (p->nquestions == QUEUE_MAX)
		return;
	proof_asked(&p->proof, p->now);
	p->questions[p->nquestions++] = (message_t){at > last ? at : last, 0};
}

/* The control process that the entry is linked to answers the questions that have arrived: with the
 * newest config if a majority still follows it, or else that it cannot confirm one. */
static void answer_questions(play_t *p)
{
	size_t n = 0;

	while (n < p->nquestions && p->questions[n].at <= p->now) {
		bool leads = p->linked_to == p->leader || p->fault == ANSWER_WITHOUT_QUORUM;
		deadline_t last = p->nanswers ? p->answers[p->nanswers - 1].at : 0;
		deadline_t at = p->now + (deadline_t)below(p, 800);

		if (p->nanswers < QUEUE_MAX)
			p->answers[p->nanswers++] = (message_t){at > last ? at : last,
								leads ? p->known[p->linked_to] : 0};
		n++;
	}
	p->nquestions -= n;
	memmove(p->questions, p->questions + n, p->nquestions * sizeof(p->questions[0]));
}

static void read_answers(play_t *p)
{
	size_t n = 0;

	while (n < p->nanswers && p->answers[n].at <= p->now) {
		if (p->fault == PROOF_FROM_ANSWER && p->proof.answered < p->proof.asked)
			p->proof.asked_at[p->proof.answered % PROOF_QUESTIONS_MAX] = p->now;
		proof_answered(&p->proof,
			       p->answers[n].newest && (p->answers[n].newest == p->config ||
							p->fault == ANY_ANSWER_PROVES));
		n++;
	}
	p->nanswers -= n;
	memmove(p->answers, p->answers + n, p->nanswers * sizeof(p->answers[0]));
}

/* True if the entry would serve with a config that was replaced too long ago. */
static bool serves_revoked_key(const play_t *p)
{
	return p->now >= p->frozen_until && proof_is_valid(&p->proof, p->now) &&
	       p->config < p->newest && p->now > p->acked_at[p->config + 1] + VALIDITY_MS;
}

static void step(play_t *p)
{
	p->now += 1 + (deadline_t)below(p, 120);
	if (below(p, 12) == 0)
		acknowledge_config(p);
	if (below(p, 25) == 0)
		change_leader(p);
	answer_questions(p);
	if (p->now < p->frozen_until)
		return;
	if (below(p, 80) == 0) {
		p->frozen_until = p->now + (deadline_t)below(p, 12000);
		return;
	}
	read_answers(p);
	if (below(p, 50) == 0)
		relink(p);
	if (below(p, 3) == 0 && p->known[p->linked_to] > p->config)
		p->config = p->known[p->linked_to];
	if (below(p, 4) == 0)
		ask(p);
}

/* Plays one seed; returns the number of times at which the entry had a proof, -1 if it served a
 * revoked key. */
static int play(uint64_t seed, fault_t fault)
{
	play_t p = {.rnd = seed * 2 + 1, .fault = fault, .now = 1000};
	int proved = 0;

	proof_init(&p.proof, VALIDITY_MS);
	acknowledge_config(&p);
	for (unsigned i = 0; i < STEPS; i++) {
		step(&p);
		if (serves_revoked_key(&p))
			return -1;
		proved += p.now >= p.frozen_until && proof_is_valid(&p.proof, p.now);
	}
	return proved;
}

START_TEST(no_proof_outlives_a_revocation)
{
	long proved = 0;

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		int n = play(seed, SOUND);

		ck_assert_msg(n >= 0, "seed %llu: served a revoked key", (unsigned long long)seed);
		proved += n;
	}
	/* The play is of use only if proofs are common in it. */
	ck_assert_int_gt(proved, (long)SEEDS * STEPS / 10);
}
END_TEST

START_TEST(each_guard_is_needed)
{
	static const fault_t faults[] = {ANSWER_WITHOUT_QUORUM, PROOF_FROM_ANSWER,
					 ANY_ANSWER_PROVES};

	for (size_t i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
		uint64_t seed = 1;

		while (seed <= SEEDS && play(seed, faults[i]) >= 0)
			seed++;
		ck_assert_msg(seed <= SEEDS, "fault %d was not found", (int)faults[i]);
	}
}
END_TEST

START_TEST(the_proof_lasts_from_the_question)
{
	proof_t p;

	proof_init(&p, 5000);
	ck_assert(!proof_is_valid(&p, 1));
	proof_asked(&p, 1000);
	proof_asked(&p, 2000);
	ck_assert(proof_answered(&p, true));
	ck_assert(proof_is_valid(&p, 5899));
	ck_assert(!proof_is_valid(&p, 5900));
	ck_assert(!proof_answered(&p, false));
	ck_assert(!proof_answered(&p, true)); /* no question is open */
	ck_assert(!proof_is_valid(&p, 5900));
}
END_TEST

/* An old leader that answers nothing leaves many questions open. */
START_TEST(an_answer_to_a_forgotten_question_proves_nothing)
{
	proof_t p;

	proof_init(&p, 5000);
	for (deadline_t t = 0; t < PROOF_QUESTIONS_MAX + 1; t++)
		proof_asked(&p, 1000 + t);
	ck_assert(!proof_answered(&p, true));
	ck_assert(proof_answered(&p, true));
	ck_assert(proof_is_valid(&p, 1001));
	ck_assert(!proof_is_valid(&p, 1001 + 4900));
}
END_TEST

START_TEST(answers_on_a_new_link_belong_to_its_questions)
{
	proof_t p;

	proof_init(&p, 5000);
	proof_asked(&p, 1000);
	proof_link_lost(&p);
	ck_assert(!proof_answered(&p, true));
	proof_asked(&p, 9000);
	ck_assert(proof_answered(&p, true));
	ck_assert(proof_is_valid(&p, 13899));
}
END_TEST

int main(void)
{
	Suite *s = suite_create("proof");
	TCase *t = tcase_create("proof");

	suite_add_tcase(s, t);
	tcase_add_test(t, no_proof_outlives_a_revocation);
	tcase_add_test(t, each_guard_is_needed);
	tcase_add_test(t, the_proof_lasts_from_the_question);
	tcase_add_test(t, answers_on_a_new_link_belong_to_its_questions);
	tcase_add_test(t, an_answer_to_a_forgotten_question_proves_nothing);
	return suite_run(s);
}
