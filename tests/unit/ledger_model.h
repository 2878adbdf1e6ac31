/* Model of what the ledger promises, for its randomised test. */
#ifndef AUBURN_LEDGER_MODEL_H
#define AUBURN_LEDGER_MODEL_H

#include "ledger_kit.h"

#define KEYS	24
#define JOBS	12
#define ITEMS	12
#define CALLERS 3
#define SLOTS	4
#define GIVEN	256

typedef struct {
	uint64_t digest;
	uint64_t session; /* 0: waits, or final */
	uint64_t token;
	int64_t deadline_ms, end_ms;
	wire_state_t state;
	unsigned attempt;
	unsigned fails, deaths;
	bool exists, repeatable;
	char result[16];
} model_request_t;

typedef enum { MODEL_WAITING, MODEL_LEASED, MODEL_DONE, MODEL_FAILED, MODEL_DROPPED } model_state_t;

typedef struct {
	model_state_t state;
	uint64_t session;
	unsigned attempt;
	unsigned fails, deaths;
	char result[16];
} model_item_t;

typedef struct {
	bool exists, sealed, cancelled, ended;
	unsigned count, received;
	int64_t deadline_ms, opened_ms, end_ms;
	model_item_t items[ITEMS];
} model_job_t;

/* Something that LEASE handed out at some time. */
typedef struct {
	bool request;
	unsigned number; /* key or job */
	unsigned index;
	unsigned attempt;
	uint64_t session;
} model_lease_t;

typedef struct {
	uint64_t session;
	uint64_t seq;
	model_lease_t last_leases[LEDGER_LEASE_ITEMS_MAX];
	unsigned nlast_leases;
} model_session_t;

/* The ledger, and a twin that applies the same commands but is never restored. */
static ledger_t *l;
static ledger_t *twin;
static model_request_t reqs[KEYS];
static model_job_t jobs[JOBS];
static model_session_t slots[SLOTS];
static model_lease_t given[GIVEN];
static unsigned ngiven;
static uint64_t last_session;
static uint64_t dropped;
static uint64_t answers; /* counter that makes results unique */
static unsigned long rnd_state;

static unsigned rnd(unsigned below)
{
	rnd_state = rnd_state * 6364136223846793005UL + 1442695040888963407UL;
	return (unsigned)((rnd_state >> 33) % below);
}

/* Runs a call on the twin and then on the ledger; both must answer the same. */
#define BOTH(call)                                                                                 \
	({                                                                                         \
		AUTO_BUF one_ = {0};                                                               \
		AUTO_BUF two_ = {0};                                                               \
		ledger_t *real_ = l;                                                               \
		l = twin;                                                                          \
		AUTO_RES other_ = call;                                                            \
		l = real_;                                                                         \
		wire_ledger_res_t res_ = call;                                                     \
		wire_encode(&one_, XDR_PROC(wire_ledger_res_t), &other_);                          \
		wire_encode(&two_, XDR_PROC(wire_ledger_res_t), &res_);                            \
		ck_assert(str_eq(str_buf(&one_), str_buf(&two_)));                                 \
		res_;                                                                              \
	})

static const char *key_name(unsigned k)
{
	static char name[8];

	snprintf(name, sizeof(name), "k%u", k);
	return name;
}

static const char *job_name(unsigned j)
{
	static char name[8];

	snprintf(name, sizeof(name), "j%u", j);
	return name;
}

static const char *job_caller(unsigned j)
{
	static const char *const names[CALLERS] = {"paper", "hotel", "desk"};

	return names[j % CALLERS];
}

static unsigned number_of(wire_bytes_t name)
{
	return (unsigned)strtoul(name.wire_bytes_t_val + 1, NULL, 10);
}

static bool is_live(uint64_t session)
{
	for (unsigned i = 0; i < SLOTS; i++)
		if (slots[i].session == session)
			return true;
	return false;
}

/* A live session, or now and then one that is lost. */
static uint64_t any_session(void)
{
	if (rnd(8) == 0)
		return 1 + rnd((unsigned)last_session);
	return slots[rnd(SLOTS)].session;
}

static void new_session(model_session_t *s)
{
	*s = (model_session_t){.session = ++last_session};
}

static void end_req(model_request_t *r, wire_state_t state, const char *result)
{
	r->state = state;
	r->session = 0;
	r->end_ms = kit_now_ms;
	snprintf(r->result, sizeof(r->result), "%s", result);
}

static void check_record(const model_request_t *r, const wire_record_t *rec)
{
	ck_assert_int_eq(rec->state, r->state);
	ck_assert(rec->session == r->session);
	if (r->state == WIRE_DONE)
		ck_assert(kit_is(rec->result, r->result));
	if (r->state == WIRE_FAILED && r->token)
		ck_assert_int_eq(rec->verdict, VERDICT_MAY_HAVE_RUN);
}

static unsigned tally(const model_job_t *j, model_state_t state)
{
	unsigned n = 0;

	for (unsigned i = 0; i < j->count; i++)
		n += j->items[i].state == state;
	return n;
}

static void check_job(const model_job_t *j, const wire_job_t *got)
{
	ck_assert_uint_eq(got->count, j->count);
	ck_assert_uint_eq(got->received, j->received);
	ck_assert_int_eq(got->sealed, j->sealed);
	ck_assert_int_eq(got->cancelled, j->cancelled);
	ck_assert_uint_eq(got->waiting, tally(j, MODEL_WAITING));
	ck_assert_uint_eq(got->leased, tally(j, MODEL_LEASED));
	ck_assert_uint_eq(got->done, tally(j, MODEL_DONE));
	ck_assert_uint_eq(got->failed, tally(j, MODEL_FAILED));
	ck_assert_uint_eq(got->dropped, tally(j, MODEL_DROPPED));
}

static void settle(model_job_t *j)
{
	bool open = tally(j, MODEL_WAITING) || tally(j, MODEL_LEASED);

	if (j->ended || open || !(j->sealed || j->cancelled))
		return;
	j->ended = true;
	j->end_ms = kit_now_ms;
}

/* Earliest deadline band with a waiting item, of overdue or other work; INT64_MAX when none. */
static int64_t first_band(bool overdue)
{
	int64_t best = INT64_MAX;

	for (unsigned n = 0; n < JOBS; n++) {
		int64_t band = jobs[n].deadline_ms / LEDGER_BAND_MS;
		bool over = (band + 1) * LEDGER_BAND_MS <= kit_now_ms;

		if (jobs[n].exists && jobs[n].sealed && tally(&jobs[n], MODEL_WAITING) &&
		    over == overdue && band < best)
			best = band;
	}
	return best;
}

/* True when session holds what g names, under the same attempt. */
static bool leased_to(uint64_t session, const model_lease_t *g)
{
	const model_request_t *r = &reqs[g->number];
	const model_item_t *m;

	if (g->request)
		return r->exists && r->session == session && r->attempt == g->attempt;
	m = &jobs[g->number].items[g->index];
	return jobs[g->number].exists && m->state == MODEL_LEASED && m->session == session &&
	       m->attempt == g->attempt;
}

static void check_cancelled(uint64_t session, const wire_ledger_res_t *res)
{
	unsigned n = 0;

	for (unsigned j = 0; j < JOBS; j++) {
		unsigned held = 0;

		for (unsigned i = 0; i < jobs[j].count; i++)
			held += jobs[j].items[i].state == MODEL_LEASED &&
				jobs[j].items[i].session == session;
		n += jobs[j].exists && jobs[j].cancelled && held;
	}
	ck_assert_uint_eq(res->cancelled.cancelled_len, n);
}

static bool used_up(unsigned *fails, unsigned *deaths, wire_blame_t blame)
{
	*fails += blame == WIRE_BLAME_ITEM;
	*deaths += blame == WIRE_BLAME_REPLICA;
	return *fails >= LEDGER_ITEM_FAILS_MAX || *deaths >= LEDGER_DEATHS_MAX;
}

static void model_req_result(model_request_t *r, const wire_item_result_t *v, const char *body)
{
	if (v->done)
		end_req(r, WIRE_DONE, body);
	else if (r->state == WIRE_ATTEMPTED || used_up(&r->fails, &r->deaths, v->blame))
		end_req(r, WIRE_FAILED, body);
	else
		r->session = 0;
	if (r->state == WIRE_DONE)
		r->token = 0;
}

static void model_item_result(model_job_t *j, model_item_t *m, const wire_item_result_t *v, const char *body)
{
	if (j->cancelled)
		m->state = MODEL_DROPPED;
	else if (v->done)
		m->state = MODEL_DONE;
	else if (used_up(&m->fails, &m->deaths, v->blame))
		m->state = MODEL_FAILED;
	else
		m->state = MODEL_WAITING;
	if (m->state == MODEL_DONE || m->state == MODEL_FAILED)
		snprintf(m->result, sizeof(m->result), "%s", body);
	settle(j);
}

/* The model's side of the losses that drain brings about. */
static void model_all_lost(void)
{
	for (unsigned k = 0; k < KEYS; k++) {
		if (reqs[k].exists && reqs[k].state == WIRE_ATTEMPTED)
			end_req(&reqs[k], WIRE_FAILED, "");
		reqs[k].session = 0;
	}
	for (unsigned j = 0; j < JOBS; j++) {
		for (unsigned i = 0; i < jobs[j].count; i++)
			if (jobs[j].items[i].state == MODEL_LEASED)
				jobs[j].items[i].state = jobs[j].cancelled ? MODEL_DROPPED : MODEL_WAITING;
		settle(&jobs[j]);
	}
}

static void check_all(void)
{
	ledger_stats_t st;

	ledger_get_stats(l, &st);
	ck_assert_uint_eq(st.late_dropped, dropped);
	for (unsigned n = 0; n < JOBS; n++) {
		AUTO_QRES q = kit_query_job(l, job_caller(n), job_name(n));
		AUTO_QRES r = kit_query_results(l, job_caller(n), job_name(n), 0, ITEMS);

		ck_assert_int_eq(q.status, jobs[n].exists ? STATUS_OK : STATUS_NOT_FOUND);
		if (jobs[n].exists)
			check_job(&jobs[n], &q.jobs.jobs_val[0]);
		for (unsigned i = 0; i < r.items.items_len; i++) {
			const model_item_t *m = &jobs[n].items[i];

			ck_assert_uint_eq(r.items.items_val[i].attempts, m->attempt);
			if (m->state == MODEL_DONE || m->state == MODEL_FAILED)
				ck_assert(kit_is(r.items.items_val[i].body, m->result));
		}
	}
}

static void check_twin(void)
{
	AUTO_BUF a = {0};
	AUTO_BUF b = {0};

	ledger_snapshot(l, &a);
	ledger_snapshot(twin, &b);
	ck_assert(str_eq(str_buf(&a), str_buf(&b)));
}

static void check_drained(void)
{
	for (unsigned k = 0; k < KEYS; k++)
		ck_assert(!reqs[k].exists || reqs[k].state >= WIRE_DONE);
	for (unsigned j = 0; j < JOBS; j++)
		ck_assert(!jobs[j].sealed || jobs[j].ended);
	check_all();
}

#endif
