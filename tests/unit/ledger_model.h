/* Model of the ledger for its randomised test: a plain table of requests and jobs that each
 * command changes as state/ledger.h specifies. The test compares the ledger's answers with the
 * model, and the ledger with a second one, `twin`, that applies the same commands but is never
 * restored from a snapshot. */
#ifndef AUBURN_LEDGER_MODEL_H
#define AUBURN_LEDGER_MODEL_H

#include "ledger_kit.h"

#define KEYS	 24
#define JOBS	 12
#define ITEMS	 12
#define CALLERS	 3
#define SESSIONS 4
#define LEASES	 256

typedef struct {
	uint64_t digest;
	uint64_t session; /* that holds the request; 0: none */
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

/* An item or request that LEASE handed out, now or earlier. */
typedef struct {
	bool request;
	unsigned number; /* of the key or the job */
	unsigned index;
	unsigned attempt;
	uint64_t session;
} model_lease_t;

typedef struct {
	uint64_t session;
	uint64_t seq; /* of the last LEASE */
	model_lease_t last_leases[LEDGER_LEASE_ITEMS_MAX]; /* its answer */
	unsigned nlast_leases;
} model_session_t;

static ledger_t *ledger;
static ledger_t *twin;
static model_request_t model_requests[KEYS];
static model_job_t model_jobs[JOBS];
static model_session_t sessions[SESSIONS];
static model_lease_t leases[LEASES];
static unsigned nleases;
static uint64_t last_session;
static uint64_t dropped; /* expected late_dropped */
static uint64_t nresults; /* makes the text of each result unique */
static unsigned long random_state;

static unsigned random_below(unsigned below)
{
	random_state = random_state * 6364136223846793005UL + 1442695040888963407UL;
	return (unsigned)((random_state >> 33) % below);
}

/* Applies a command to the twin and then to the ledger; their answers must be equal. The call names
 * the ledger as `ledger`. */
#define APPLY_BOTH(call)                                                                           \
	({                                                                                         \
		AUTO_BUF one_ = {0};                                                               \
		AUTO_BUF two_ = {0};                                                               \
		ledger_t *real_ = ledger;                                                          \
		ledger = twin;                                                                     \
		AUTO_RES other_ = call;                                                            \
		ledger = real_;                                                                    \
		wire_ledger_res_t res_ = call;                                                     \
		wire_encode(&one_, XDR_PROC(wire_ledger_res_t), &other_);                          \
		wire_encode(&two_, XDR_PROC(wire_ledger_res_t), &res_);                            \
		ck_assert(str_eq(str_buf(&one_), str_buf(&two_)));                                 \
		res_;                                                                              \
	})

/* The name is valid until the next call. */
static const char *key_name(unsigned k)
{
	static char name[8];

	snprintf(name, sizeof(name), "k%u", k);
	return name;
}

/* The name is valid until the next call. */
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

static unsigned name_number(wire_bytes_t name)
{
	return (unsigned)strtoul(name.wire_bytes_t_val + 1, NULL, 10);
}

static bool is_live(uint64_t session)
{
	for (unsigned i = 0; i < SESSIONS; i++)
		if (sessions[i].session == session)
			return true;
	return false;
}

/* Returns a live session, or with a chance of 1/8 any session, which may be lost. */
static uint64_t random_session(void)
{
	if (random_below(8) == 0)
		return 1 + random_below((unsigned)last_session);
	return sessions[random_below(SESSIONS)].session;
}

static void new_session(model_session_t *s)
{
	*s = (model_session_t){.session = ++last_session};
}

static void end_request(model_request_t *r, wire_state_t state, const char *result)
{
	r->state = state;
	r->session = 0;
	r->end_ms = wall_now_ms;
	snprintf(r->result, sizeof(r->result), "%s", result);
}

static void check_request(const model_request_t *r, const wire_record_t *rec)
{
	ck_assert_int_eq(rec->state, r->state);
	ck_assert(rec->session == r->session);
	if (r->state == WIRE_DONE)
		ck_assert(bytes_are(rec->result, r->result));
	if (r->state == WIRE_FAILED && r->token)
		ck_assert_int_eq(rec->verdict, VERDICT_MAY_HAVE_RUN);
}

static unsigned count_items(const model_job_t *j, model_state_t state)
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
	ck_assert_uint_eq(got->waiting, count_items(j, MODEL_WAITING));
	ck_assert_uint_eq(got->leased, count_items(j, MODEL_LEASED));
	ck_assert_uint_eq(got->done, count_items(j, MODEL_DONE));
	ck_assert_uint_eq(got->failed, count_items(j, MODEL_FAILED));
	ck_assert_uint_eq(got->dropped, count_items(j, MODEL_DROPPED));
}

/* Ends a sealed or cancelled job without waiting or leased items. */
static void end_job_if_done(model_job_t *j)
{
	bool open = count_items(j, MODEL_WAITING) || count_items(j, MODEL_LEASED);

	if (j->ended || open || !(j->sealed || j->cancelled))
		return;
	j->ended = true;
	j->end_ms = wall_now_ms;
}

/* Returns the earliest deadline band with a waiting item, among the bands that are overdue or among
 * the others; INT64_MAX if there is none. */
static int64_t earliest_band(bool overdue)
{
	int64_t best = INT64_MAX;

	for (unsigned n = 0; n < JOBS; n++) {
		int64_t band = model_jobs[n].deadline_ms / LEDGER_BAND_MS;
		bool over = (band + 1) * LEDGER_BAND_MS <= wall_now_ms;

		if (model_jobs[n].exists && model_jobs[n].sealed &&
		    count_items(&model_jobs[n], MODEL_WAITING) && over == overdue && band < best)
			best = band;
	}
	return best;
}

/* True if the session still holds this item or request under the same attempt. */
static bool is_leased_to(uint64_t session, const model_lease_t *lease)
{
	const model_request_t *r = &model_requests[lease->number];
	const model_item_t *m;

	if (lease->request)
		return r->exists && r->session == session && r->attempt == lease->attempt;
	m = &model_jobs[lease->number].items[lease->index];
	return model_jobs[lease->number].exists && m->state == MODEL_LEASED &&
	       m->session == session && m->attempt == lease->attempt;
}

/* The answer must list each cancelled job of which the session still holds an item. */
static void check_cancelled(uint64_t session, const wire_ledger_res_t *res)
{
	unsigned n = 0;

	for (unsigned j = 0; j < JOBS; j++) {
		unsigned held = 0;

		for (unsigned i = 0; i < model_jobs[j].count; i++)
			held += model_jobs[j].items[i].state == MODEL_LEASED &&
				model_jobs[j].items[i].session == session;
		n += model_jobs[j].exists && model_jobs[j].cancelled && held;
	}
	ck_assert_uint_eq(res->cancelled.cancelled_len, n);
}

/* Counts a failure; true if the request or item must end as failed. */
static bool attempts_used_up(unsigned *fails, unsigned *deaths, wire_blame_t blame)
{
	*fails += blame == WIRE_BLAME_ITEM;
	*deaths += blame == WIRE_BLAME_REPLICA;
	return *fails >= LEDGER_ITEM_FAILS_MAX || *deaths >= LEDGER_DEATHS_MAX;
}

static void apply_request_result(model_request_t *r, const wire_item_result_t *v, const char *body)
{
	if (v->done)
		end_request(r, WIRE_DONE, body);
	else if (r->state == WIRE_ATTEMPTED || attempts_used_up(&r->fails, &r->deaths, v->blame))
		end_request(r, WIRE_FAILED, body);
	else
		r->session = 0;
	if (r->state == WIRE_DONE)
		r->token = 0;
}

static void apply_item_result(model_job_t *j, model_item_t *m, const wire_item_result_t *v,
			      const char *body)
{
	if (j->cancelled)
		m->state = MODEL_DROPPED;
	else if (v->done)
		m->state = MODEL_DONE;
	else if (attempts_used_up(&m->fails, &m->deaths, v->blame))
		m->state = MODEL_FAILED;
	else
		m->state = MODEL_WAITING;
	if (m->state == MODEL_DONE || m->state == MODEL_FAILED)
		snprintf(m->result, sizeof(m->result), "%s", body);
	end_job_if_done(j);
}

/* Applies the loss of all sessions to the model; finish_all_work() applies it to the ledger. */
static void lose_all_sessions(void)
{
	for (unsigned k = 0; k < KEYS; k++) {
		if (model_requests[k].exists && model_requests[k].state == WIRE_ATTEMPTED)
			end_request(&model_requests[k], WIRE_FAILED, "");
		model_requests[k].session = 0;
	}
	for (unsigned j = 0; j < JOBS; j++) {
		for (unsigned i = 0; i < model_jobs[j].count; i++)
			if (model_jobs[j].items[i].state == MODEL_LEASED)
				model_jobs[j].items[i].state =
					model_jobs[j].cancelled ? MODEL_DROPPED : MODEL_WAITING;
		end_job_if_done(&model_jobs[j]);
	}
}

/* Compares all jobs and their results with the model. */
static void check_jobs(void)
{
	ledger_stats_t st;

	ledger_get_stats(ledger, &st);
	ck_assert_uint_eq(st.late_dropped, dropped);
	for (unsigned n = 0; n < JOBS; n++) {
		AUTO_QRES q = query_job(ledger, job_caller(n), job_name(n));
		AUTO_QRES r = query_results(ledger, job_caller(n), job_name(n), 0, ITEMS);

		ck_assert_int_eq(q.status, model_jobs[n].exists ? STATUS_OK : STATUS_NOT_FOUND);
		if (model_jobs[n].exists)
			check_job(&model_jobs[n], &q.jobs.jobs_val[0]);
		for (unsigned i = 0; i < r.items.items_len; i++) {
			const model_item_t *m = &model_jobs[n].items[i];

			ck_assert_uint_eq(r.items.items_val[i].attempts, m->attempt);
			if (m->state == MODEL_DONE || m->state == MODEL_FAILED)
				ck_assert(bytes_are(r.items.items_val[i].body, m->result));
		}
	}
}

static void check_twin(void)
{
	AUTO_BUF a = {0};
	AUTO_BUF b = {0};

	ledger_snapshot(ledger, &a);
	ledger_snapshot(twin, &b);
	ck_assert(str_eq(str_buf(&a), str_buf(&b)));
}

/* All work must have ended. */
static void check_drained(void)
{
	for (unsigned k = 0; k < KEYS; k++)
		ck_assert(!model_requests[k].exists || model_requests[k].state >= WIRE_DONE);
	for (unsigned j = 0; j < JOBS; j++)
		ck_assert(!model_jobs[j].sealed || model_jobs[j].ended);
	check_jobs();
}

#endif
