/* Randomised test of the ledger (state/ledger.h) against the model in ledger_model.h. Guards
 * against faults that only sequences of commands, lost sessions and restarts from snapshots bring
 * about. AUBURN_SEED sets the first seed; loop i of the test runs seed AUBURN_SEED + i - 1. */
#include "ledger_model.h"
#include "suite_kit.h"

#define STEPS	     4000
#define SEEDS	     16
#define RETENTION_MS 400000
#define STEP_MS	     1500

/* ---- requests ---- */

static void step_accept(void)
{
	unsigned k = random_below(KEYS);
	model_request_t *r = &model_requests[k];
	uint64_t digest = 1 + random_below(2);
	uint64_t session = random_session();
	AUTO_RES res = APPLY_BOTH(accept_request(ledger, key_name(k), digest, k % 3 != 0, session));

	if (r->exists && r->digest != digest) {
		ck_assert_int_eq(res.status, STATUS_CONFLICT);
		return;
	}
	if (!r->exists && !is_live(session)) {
		ck_assert_int_eq(res.status, STATUS_CANCELLED);
		return;
	}
	ck_assert_int_eq(res.status, STATUS_OK);
	ck_assert_int_eq(res.record.fresh, !r->exists);
	if (!r->exists)
		*r = (model_request_t){.exists = true,
				       .digest = digest,
				       .repeatable = k % 3 != 0,
				       .deadline_ms = request_deadline_ms(key_name(k)),
				       .session = session};
	check_request(r, &res.record);
}

static void step_attempt(void)
{
	unsigned k = random_below(KEYS);
	model_request_t *r = &model_requests[k];
	uint64_t session = random_below(3) ? r->session : random_session();
	uint64_t token = 1 + random_below(3);
	bool again = r->state == WIRE_ATTEMPTED && r->token == token;
	bool first = r->state == WIRE_ACCEPTED && r->session == session;
	AUTO_RES res = APPLY_BOTH(attempt_request(ledger, key_name(k), token, session));

	if (!r->exists) {
		ck_assert_int_eq(res.status, STATUS_NOT_FOUND);
		return;
	}
	if (session && is_live(session) && !r->repeatable && (again || first)) {
		ck_assert_int_eq(res.status, STATUS_OK);
		ck_assert_int_eq(res.record.fresh, first);
		r->state = WIRE_ATTEMPTED;
		r->token = token;
	} else {
		ck_assert_int_ne(res.status, STATUS_OK);
	}
	check_request(r, &res.record);
}

static void step_finish(void)
{
	unsigned k = random_below(KEYS);
	model_request_t *r = &model_requests[k];
	wire_state_t state = (wire_state_t)(WIRE_DONE + random_below(3));
	uint64_t session = random_below(3) ? r->session : random_session();
	bool allowed =
		session == 0 || session == r->session || (r->repeatable && state == WIRE_DONE);
	bool open = r->state < WIRE_DONE && allowed;
	char result[16];

	snprintf(result, sizeof(result), "r%llu", (unsigned long long)++nresults);
	AUTO_RES res = APPLY_BOTH(finish_request_by(ledger, key_name(k), state, result, session));

	if (!r->exists) {
		ck_assert_int_eq(res.status, STATUS_NOT_FOUND);
		return;
	}
	ck_assert_int_eq(res.record.fresh, open);
	ck_assert_int_eq(res.status, open ? STATUS_OK : STATUS_CONFLICT);
	dropped += !open;
	if (open) {
		end_request(r, state, result);
		r->token = 0;
	}
	check_request(r, &res.record);
}

/* ---- jobs ---- */

static void step_open(void)
{
	unsigned n = random_below(JOBS);
	model_job_t *j = &model_jobs[n];
	unsigned count = 1 + n % ITEMS;
	int64_t deadline_ms = wall_now_ms + (random_below(6) - 1) * (int64_t)LEDGER_BAND_MS;
	uint64_t digest = items_digest(count) + (random_below(6) == 0);

	caller_share = random_below(4);
	AUTO_RES res = APPLY_BOTH(
		open_job(ledger, job_caller(n), job_name(n), count, digest, deadline_ms));

	if (j->exists && digest != items_digest(count)) {
		ck_assert_int_eq(res.status, STATUS_CONFLICT);
		return;
	}
	ck_assert_int_eq(res.status, STATUS_OK);
	ck_assert_int_eq(res.job.fresh, !j->exists);
	if (!j->exists && digest != items_digest(count)) {
		/* The digest is wrong, so the job can't be sealed: the attempt removes it. */
		AUTO_RES fill =
			APPLY_BOTH(upload_items(ledger, job_caller(n), job_name(n), 0, count));
		AUTO_RES seal = APPLY_BOTH(
			apply_job_cmd(ledger, WIRE_LEDGER_JOB_SEAL, job_caller(n), job_name(n)));

		ck_assert_int_eq(seal.status, STATUS_INVALID);
		return;
	}
	if (!j->exists)
		*j = (model_job_t){.exists = true,
				   .count = count,
				   .deadline_ms = deadline_ms,
				   .opened_ms = wall_now_ms};
	check_job(j, &res.job);
}

static void step_items(void)
{
	unsigned n = random_below(JOBS);
	model_job_t *j = &model_jobs[n];
	unsigned first = random_below(ITEMS);
	unsigned many = 1 + random_below(ITEMS);
	AUTO_RES res = APPLY_BOTH(upload_items(ledger, job_caller(n), job_name(n), first, many));

	if (!j->exists) {
		ck_assert_int_eq(res.status, STATUS_NOT_FOUND);
		return;
	}
	if (first + many <= j->count && first <= j->received && !j->cancelled &&
	    first + many > j->received)
		j->received = first + many;
	check_job(j, &res.job);
}

static void step_seal(void)
{
	unsigned n = random_below(JOBS);
	model_job_t *j = &model_jobs[n];
	bool full = j->exists && j->received == j->count && !j->cancelled;
	AUTO_RES res =
		APPLY_BOTH(apply_job_cmd(ledger, WIRE_LEDGER_JOB_SEAL, job_caller(n), job_name(n)));

	if (!j->exists) {
		ck_assert_int_eq(res.status, STATUS_NOT_FOUND);
		return;
	}
	ck_assert_int_eq(res.status == STATUS_OK, full || j->sealed);
	ck_assert_int_eq(res.job.fresh, full && !j->sealed);
	j->sealed |= full;
	check_job(j, &res.job);
}

static void step_cancel(void)
{
	unsigned n = random_below(JOBS);
	model_job_t *j = &model_jobs[n];
	AUTO_RES res = APPLY_BOTH(
		apply_job_cmd(ledger, WIRE_LEDGER_JOB_CANCEL, job_caller(n), job_name(n)));

	if (!j->exists) {
		ck_assert_int_eq(res.status, STATUS_NOT_FOUND);
		return;
	}
	if (count_items(j, MODEL_WAITING) || count_items(j, MODEL_LEASED)) {
		j->cancelled = true;
		for (unsigned i = 0; i < j->count; i++)
			if (j->items[i].state == MODEL_WAITING)
				j->items[i].state = MODEL_DROPPED;
		end_job_if_done(j);
	}
	check_job(j, &res.job);
}

/* ---- leases and results ---- */

static void record_lease(model_lease_t lease, model_session_t *s)
{
	leases[nleases++ % LEASES] = lease;
	s->last_leases[s->nlast_leases++] = lease;
}

/* Checks an item in a LEASE answer against the model, and records the lease. */
static void check_leased_item(model_session_t *s, const wire_item_t *it)
{
	unsigned n = name_number(it->job);
	model_job_t *j = &model_jobs[n];
	model_item_t *m = &j->items[it->index];
	int64_t band = j->deadline_ms / LEDGER_BAND_MS;
	char body[16];

	snprintf(body, sizeof(body), "item %u", it->index);
	ck_assert(bytes_are(it->body, body));
	ck_assert(j->exists && j->sealed && !j->cancelled);
	ck_assert_int_eq(m->state, MODEL_WAITING);
	ck_assert(band == earliest_band(true) || band == earliest_band(false));
	ck_assert_uint_eq(it->attempt, m->attempt + 1);
	ck_assert_int_eq(it->alone, m->deaths >= LEDGER_DEATHS_ALONE_MIN);
	m->state = MODEL_LEASED;
	m->session = s->session;
	m->attempt = it->attempt;
	record_lease((model_lease_t){false, n, it->index, it->attempt, s->session}, s);
}

/* Checks a request in a LEASE answer: it must be the waiting one with the earliest deadline. */
static void check_leased_request(model_session_t *s, const wire_item_t *it)
{
	unsigned k = name_number(it->key);
	model_request_t *r = &model_requests[k];

	ck_assert(r->exists && r->state == WIRE_ACCEPTED && r->session == 0);
	for (unsigned i = 0; i < KEYS; i++)
		ck_assert(!model_requests[i].exists || model_requests[i].state != WIRE_ACCEPTED ||
			  model_requests[i].session ||
			  model_requests[i].deadline_ms >= r->deadline_ms);
	ck_assert_uint_eq(it->attempt, r->attempt + 1);
	r->session = s->session;
	r->attempt = it->attempt;
	record_lease((model_lease_t){true, k, 0, it->attempt, s->session}, s);
}

/* A resent LEASE must return the items of the last answer that the session still holds, and drop
 * those of cancelled jobs. */
static void check_resend(model_session_t *s, const wire_ledger_res_t *res)
{
	unsigned at = 0;

	for (unsigned i = 0; i < s->nlast_leases; i++) {
		const model_lease_t *lease = &s->last_leases[i];
		const wire_item_t *it = &res->items.items_val[at];

		if (!is_leased_to(s->session, lease))
			continue;
		if (!lease->request && model_jobs[lease->number].cancelled) {
			model_jobs[lease->number].items[lease->index].state = MODEL_DROPPED;
			end_job_if_done(&model_jobs[lease->number]);
			continue;
		}
		ck_assert_uint_lt(at, res->items.items_len);
		ck_assert_uint_eq(name_number(lease->request ? it->key : it->job), lease->number);
		ck_assert_uint_eq(it->index, lease->index);
		ck_assert_uint_eq(it->attempt, lease->attempt);
		at++;
	}
	ck_assert_uint_eq(at, res->items.items_len);
}

/* Sends a LEASE with a new seq, or a resend if seq is that of the last one, and checks the
 * answer. */
static void send_lease(model_session_t *s, uint64_t seq, unsigned max)
{
	AUTO_RES res = APPLY_BOTH(lease_items(ledger, s->session, seq, max));

	ck_assert_int_eq(res.status, STATUS_OK);
	if (seq == s->seq) {
		check_resend(s, &res);
	} else {
		s->seq = seq;
		s->nlast_leases = 0;
		ck_assert_uint_le(res.items.items_len, max);
		for (unsigned i = 0; i < res.items.items_len; i++) {
			const wire_item_t *it = &res.items.items_val[i];

			if (it->job.wire_bytes_t_len)
				check_leased_item(s, it);
			else
				check_leased_request(s, it);
		}
		if (res.items.items_len < max)
			ck_assert(earliest_band(true) == INT64_MAX &&
				  earliest_band(false) == INT64_MAX);
	}
	check_cancelled(s->session, &res);
}

static void step_lease(void)
{
	model_session_t *s = &sessions[random_below(SESSIONS)];
	uint64_t lost = 1 + random_below((unsigned)last_session);

	if (!is_live(lost) && random_below(4) == 0) {
		AUTO_RES res = APPLY_BOTH(lease_items(ledger, lost, 1000, 5));

		ck_assert_int_eq(res.status, STATUS_CANCELLED);
		ck_assert_uint_eq(res.items.items_len, 0);
		return;
	}
	send_lease(s, s->seq && random_below(4) == 0 ? s->seq : s->seq + 1, 1 + random_below(8));
}

/* Commits a result of a leased item or request as this session. The model decides whether the
 * ledger must store it. */
static void commit_result(const model_lease_t *lease, uint64_t session, bool done,
			  wire_blame_t blame)
{
	char body[16];
	char name[8];
	wire_item_result_t v = {
		.caller = bytes_of(lease->request ? "desk" : job_caller(lease->number)),
		.index = lease->index,
		.attempt = lease->attempt,
		.done = done,
		.blame = blame,
		.body = {0, body}};
	bool counts = is_live(session) && is_leased_to(session, lease);
	bool taken = counts && (lease->request || !model_jobs[lease->number].cancelled);

	snprintf(name, sizeof(name), "%s",
		 lease->request ? key_name(lease->number) : job_name(lease->number));
	*(lease->request ? &v.key : &v.job) = bytes_of(name);
	snprintf(body, sizeof(body), "r%llu", (unsigned long long)++nresults);
	v.body = bytes_of(body);
	AUTO_RES res = APPLY_BOTH(commit_results(ledger, session, &v, 1));

	ck_assert_uint_eq(res.count, taken);
	dropped += !taken;
	if (counts && lease->request)
		apply_request_result(&model_requests[lease->number], &v, body);
	else if (counts)
		apply_item_result(&model_jobs[lease->number],
				  &model_jobs[lease->number].items[lease->index], &v, body);
	if (is_live(session))
		check_cancelled(session, &res);
	else
		ck_assert_int_eq(res.status, STATUS_CANCELLED);
}

static void step_done(void)
{
	unsigned have = nleases < LEASES ? nleases : LEASES;
	const model_lease_t *lease;

	if (have == 0)
		return;
	lease = &leases[random_below(have)];
	commit_result(lease, random_below(5) ? lease->session : random_session(),
		      random_below(3) > 0, (wire_blame_t)random_below(3));
}

static void step_lost(void)
{
	model_session_t *s = &sessions[random_below(SESSIONS)];
	AUTO_RES res = APPLY_BOTH(lose_session(ledger, s->session));

	ck_assert_int_eq(res.status, STATUS_OK);
	for (unsigned k = 0; k < KEYS; k++) {
		if (!model_requests[k].exists || model_requests[k].state >= WIRE_DONE ||
		    model_requests[k].session != s->session)
			continue;
		model_requests[k].session = 0;
		if (model_requests[k].state == WIRE_ATTEMPTED)
			end_request(&model_requests[k], WIRE_FAILED, "");
	}
	for (unsigned j = 0; j < JOBS; j++) {
		for (unsigned i = 0; i < model_jobs[j].count; i++) {
			model_item_t *m = &model_jobs[j].items[i];

			if (m->state == MODEL_LEASED && m->session == s->session)
				m->state = model_jobs[j].cancelled ? MODEL_DROPPED : MODEL_WAITING;
		}
		end_job_if_done(&model_jobs[j]);
	}
	new_session(s);
}

static wire_ledger_res_t expire(ledger_t *at)
{
	wire_ledger_cmd_t cmd = {.kind = WIRE_LEDGER_EXPIRE};
	wire_ledger_res_t res;

	cmd.wire_ledger_cmd_t_u.expire = (wire_expire_t){wall_now_ms, RETENTION_MS};
	ledger_apply_cmd(at, &cmd, &res);
	return res;
}

static void step_expire(void)
{
	AUTO_RES res = APPLY_BOTH(expire(ledger));
	unsigned n = 0;

	for (unsigned k = 0; k < KEYS; k++) {
		model_request_t *r = &model_requests[k];

		if (r->exists && r->state >= WIRE_DONE && r->end_ms + RETENTION_MS <= wall_now_ms) {
			*r = (model_request_t){0};
			n++;
		}
	}
	for (unsigned i = 0; i < JOBS; i++) {
		model_job_t *j = &model_jobs[i];
		bool unsealed = j->exists && !j->sealed && !j->cancelled;

		if ((j->ended && j->end_ms + RETENTION_MS <= wall_now_ms) ||
		    (unsealed && j->opened_ms + LEDGER_UNSEALED_MAX_MS <= wall_now_ms)) {
			*j = (model_job_t){0};
			n++;
		}
	}
	ck_assert_uint_eq(res.count, n);
}

/* Loses all sessions, then leases and finishes all work in a new one: every item of a sealed job
 * and every waiting request must end, and none twice. */
static void finish_all_work(void)
{
	model_session_t *s = &sessions[0];

	for (unsigned i = 1; i < SESSIONS; i++) {
		AUTO_RES res = APPLY_BOTH(lose_session(ledger, sessions[i].session));
	}
	for (unsigned i = 1; i < SESSIONS; i++)
		sessions[i].session = 0;
	AUTO_RES own = APPLY_BOTH(lose_session(ledger, s->session));

	new_session(s);
	do {
		send_lease(s, s->seq + 1, 8);
		for (unsigned i = 0; i < s->nlast_leases; i++) {
			const model_lease_t lease = s->last_leases[i];

			if (is_leased_to(s->session, &lease))
				commit_result(&lease, s->session, true, WIRE_BLAME_NONE);
		}
	} while (s->nlast_leases);
}

static void random_step(void)
{
	static void (*const steps[])(void) = {
		step_accept, step_accept, step_attempt, step_finish, step_open,	 step_items,
		step_items,  step_seal,	  step_seal,	step_lease,  step_lease, step_lease,
		step_done,   step_done,	  step_done,	step_done,   step_done,	 step_done,
	};

	wall_now_ms += random_below(STEP_MS);
	switch (random_below(60)) {
	case 0:
		step_lost();
		break;
	case 1:
		step_cancel();
		break;
	case 2:
		step_expire();
		break;
	case 3:
		restore_from_snapshot(&ledger);
		break;
	default:
		steps[random_below(sizeof(steps) / sizeof(steps[0]))]();
	}
}

/* Makes a new ledger, twin and model, and opens the sessions. */
static void start_run(unsigned long seed)
{
	memset(model_requests, 0, sizeof(model_requests));
	memset(model_jobs, 0, sizeof(model_jobs));
	nleases = 0;
	last_session = 0;
	dropped = 0;
	nresults = 0;
	wall_now_ms = WALL_START_MS;
	random_state = seed;
	ledger = ledger_new();
	twin = ledger_new();
	for (unsigned i = 0; i < SESSIONS; i++)
		new_session(&sessions[i]);
}

START_TEST(random_commands_agree_with_the_model)
{
	const char *seed = getenv("AUBURN_SEED");

	start_run((seed ? strtoul(seed, NULL, 10) : 1) + (unsigned long)_i - 1);
	for (unsigned i = 0; i < STEPS; i++) {
		random_step();
		if (i % 50 == 0)
			check_jobs();
		if (i % 200 == 0)
			check_twin();
	}
	lose_all_sessions();
	finish_all_work();
	check_drained();
	check_twin();
	ledger_free(ledger);
	ledger_free(twin);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("ledger_random");
	TCase *t = tcase_create("ledger_random");

	suite_add_tcase(s, t);
	tcase_add_loop_test(t, random_commands_agree_with_the_model, 1, 1 + SEEDS);
	return suite_run(s);
}
