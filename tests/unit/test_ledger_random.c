/* Randomised test of the ledger against a model of what it promises. AUBURN_SEED sets the first
 * seed; loop i of the test runs seed AUBURN_SEED + i - 1. */
#include "ledger_model.h"
#include "suite_kit.h"

#define STEPS	     4000
#define SEEDS	     16
#define RETENTION_MS 400000
#define STEP_MS	     1500

/* ---- requests ---- */

static void step_accept(void)
{
	unsigned k = rnd(KEYS);
	model_request_t *r = &reqs[k];
	uint64_t digest = 1 + rnd(2);
	uint64_t session = any_session();
	AUTO_RES res = BOTH(kit_accept(l, key_name(k), digest, k % 3 != 0, session));

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
			      .deadline_ms = kit_deadline_ms(key_name(k)),
			      .session = session};
	check_record(r, &res.record);
}

static void step_attempt(void)
{
	unsigned k = rnd(KEYS);
	model_request_t *r = &reqs[k];
	uint64_t session = rnd(3) ? r->session : any_session();
	uint64_t token = 1 + rnd(3);
	bool again = r->state == WIRE_ATTEMPTED && r->token == token;
	bool first = r->state == WIRE_ACCEPTED && r->session == session;
	AUTO_RES res = BOTH(kit_attempt(l, key_name(k), token, session));

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
	check_record(r, &res.record);
}

static void step_finish(void)
{
	unsigned k = rnd(KEYS);
	model_request_t *r = &reqs[k];
	wire_state_t state = (wire_state_t)(WIRE_DONE + rnd(3));
	uint64_t session = rnd(3) ? r->session : any_session();
	bool may = session == 0 || session == r->session || (r->repeatable && state == WIRE_DONE);
	bool open = r->state < WIRE_DONE && may;
	char result[16];

	snprintf(result, sizeof(result), "r%llu", (unsigned long long)++answers);
	AUTO_RES res = BOTH(kit_finish_by(l, key_name(k), state, result, session));

	if (!r->exists) {
		ck_assert_int_eq(res.status, STATUS_NOT_FOUND);
		return;
	}
	ck_assert_int_eq(res.record.fresh, open);
	ck_assert_int_eq(res.status, open ? STATUS_OK : STATUS_CONFLICT);
	dropped += !open;
	if (open) {
		end_req(r, state, result);
		r->token = 0;
	}
	check_record(r, &res.record);
}

/* ---- jobs ---- */

static void step_open(void)
{
	unsigned n = rnd(JOBS);
	model_job_t *j = &jobs[n];
	unsigned count = 1 + n % ITEMS;
	int64_t deadline_ms = kit_now_ms + (rnd(6) - 1) * (int64_t)LEDGER_BAND_MS;
	uint64_t digest = kit_digest(count) + (rnd(6) == 0);

	kit_share = rnd(4);
	AUTO_RES res = BOTH(kit_open(l, job_caller(n), job_name(n), count, digest, deadline_ms));

	if (j->exists && digest != kit_digest(count)) {
		ck_assert_int_eq(res.status, STATUS_CONFLICT);
		return;
	}
	ck_assert_int_eq(res.status, STATUS_OK);
	ck_assert_int_eq(res.job.fresh, !j->exists);
	if (!j->exists && digest != kit_digest(count)) {
		/* A job that can't be sealed: it goes away when that is tried. */
		AUTO_RES fill = BOTH(kit_items(l, job_caller(n), job_name(n), 0, count));
		AUTO_RES seal = BOTH(kit_ref(l, WIRE_LEDGER_JOB_SEAL, job_caller(n), job_name(n)));

		ck_assert_int_eq(seal.status, STATUS_INVALID);
		return;
	}
	if (!j->exists)
		*j = (model_job_t){.exists = true,
			      .count = count,
			      .deadline_ms = deadline_ms,
			      .opened_ms = kit_now_ms};
	check_job(j, &res.job);
}

static void step_items(void)
{
	unsigned n = rnd(JOBS);
	model_job_t *j = &jobs[n];
	unsigned first = rnd(ITEMS);
	unsigned many = 1 + rnd(ITEMS);
	AUTO_RES res = BOTH(kit_items(l, job_caller(n), job_name(n), first, many));

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
	unsigned n = rnd(JOBS);
	model_job_t *j = &jobs[n];
	bool full = j->exists && j->received == j->count && !j->cancelled;
	AUTO_RES res = BOTH(kit_ref(l, WIRE_LEDGER_JOB_SEAL, job_caller(n), job_name(n)));

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
	unsigned n = rnd(JOBS);
	model_job_t *j = &jobs[n];
	AUTO_RES res = BOTH(kit_ref(l, WIRE_LEDGER_JOB_CANCEL, job_caller(n), job_name(n)));

	if (!j->exists) {
		ck_assert_int_eq(res.status, STATUS_NOT_FOUND);
		return;
	}
	if (tally(j, MODEL_WAITING) || tally(j, MODEL_LEASED)) {
		j->cancelled = true;
		for (unsigned i = 0; i < j->count; i++)
			if (j->items[i].state == MODEL_WAITING)
				j->items[i].state = MODEL_DROPPED;
		settle(j);
	}
	check_job(j, &res.job);
}

/* ---- leases and results ---- */

static void note_given(model_lease_t g, model_session_t *s)
{
	given[ngiven++ % GIVEN] = g;
	s->last_leases[s->nlast_leases++] = g;
}

static void take_item(model_session_t *s, const wire_item_t *it)
{
	unsigned n = number_of(it->job);
	model_job_t *j = &jobs[n];
	model_item_t *m = &j->items[it->index];
	int64_t band = j->deadline_ms / LEDGER_BAND_MS;
	char body[16];

	snprintf(body, sizeof(body), "item %u", it->index);
	ck_assert(kit_is(it->body, body));
	ck_assert(j->exists && j->sealed && !j->cancelled);
	ck_assert_int_eq(m->state, MODEL_WAITING);
	ck_assert(band == first_band(true) || band == first_band(false));
	ck_assert_uint_eq(it->attempt, m->attempt + 1);
	ck_assert_int_eq(it->alone, m->deaths >= LEDGER_DEATHS_ALONE_MIN);
	m->state = MODEL_LEASED;
	m->session = s->session;
	m->attempt = it->attempt;
	note_given((model_lease_t){false, n, it->index, it->attempt, s->session}, s);
}

static void take_orphan(model_session_t *s, const wire_item_t *it)
{
	unsigned k = number_of(it->key);
	model_request_t *r = &reqs[k];

	ck_assert(r->exists && r->state == WIRE_ACCEPTED && r->session == 0);
	for (unsigned i = 0; i < KEYS; i++)
		ck_assert(!reqs[i].exists || reqs[i].state != WIRE_ACCEPTED || reqs[i].session ||
			  reqs[i].deadline_ms >= r->deadline_ms);
	ck_assert_uint_eq(it->attempt, r->attempt + 1);
	r->session = s->session;
	r->attempt = it->attempt;
	note_given((model_lease_t){true, k, 0, it->attempt, s->session}, s);
}

/* A resend gives what the session still holds of the last answer and drops what was cancelled. */
static void check_resend(model_session_t *s, const wire_ledger_res_t *res)
{
	unsigned at = 0;

	for (unsigned i = 0; i < s->nlast_leases; i++) {
		const model_lease_t *g = &s->last_leases[i];
		const wire_item_t *it = &res->items.items_val[at];

		if (!leased_to(s->session, g))
			continue;
		if (!g->request && jobs[g->number].cancelled) {
			jobs[g->number].items[g->index].state = MODEL_DROPPED;
			settle(&jobs[g->number]);
			continue;
		}
		ck_assert_uint_lt(at, res->items.items_len);
		ck_assert_uint_eq(number_of(g->request ? it->key : it->job), g->number);
		ck_assert_uint_eq(it->index, g->index);
		ck_assert_uint_eq(it->attempt, g->attempt);
		at++;
	}
	ck_assert_uint_eq(at, res->items.items_len);
}

static void lease(model_session_t *s, uint64_t seq, unsigned max)
{
	AUTO_RES res = BOTH(kit_lease(l, s->session, seq, max));

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
				take_item(s, it);
			else
				take_orphan(s, it);
		}
		if (res.items.items_len < max)
			ck_assert(first_band(true) == INT64_MAX && first_band(false) == INT64_MAX);
	}
	check_cancelled(s->session, &res);
}

static void step_lease(void)
{
	model_session_t *s = &slots[rnd(SLOTS)];
	uint64_t lost = 1 + rnd((unsigned)last_session);

	if (!is_live(lost) && rnd(4) == 0) {
		AUTO_RES res = BOTH(kit_lease(l, lost, 1000, 5));

		ck_assert_int_eq(res.status, STATUS_CANCELLED);
		ck_assert_uint_eq(res.items.items_len, 0);
		return;
	}
	lease(s, s->seq && rnd(4) == 0 ? s->seq : s->seq + 1, 1 + rnd(8));
}

/* Delivers a result for g as session says; the model decides if it counts. */
static void deliver(const model_lease_t *g, uint64_t session, bool done, wire_blame_t blame)
{
	char body[16];
	char name[8];
	wire_item_result_t v = {.caller = kit_b(g->request ? "desk" : job_caller(g->number)),
				.index = g->index,
				.attempt = g->attempt,
				.done = done,
				.blame = blame,
				.body = {0, body}};
	bool counts = is_live(session) && leased_to(session, g);
	bool taken = counts && (g->request || !jobs[g->number].cancelled);

	snprintf(name, sizeof(name), "%s", g->request ? key_name(g->number) : job_name(g->number));
	*(g->request ? &v.key : &v.job) = kit_b(name);
	snprintf(body, sizeof(body), "r%llu", (unsigned long long)++answers);
	v.body = kit_b(body);
	AUTO_RES res = BOTH(kit_done(l, session, &v, 1));

	ck_assert_uint_eq(res.count, taken);
	dropped += !taken;
	if (counts && g->request)
		model_req_result(&reqs[g->number], &v, body);
	else if (counts)
		model_item_result(&jobs[g->number], &jobs[g->number].items[g->index], &v, body);
	if (is_live(session))
		check_cancelled(session, &res);
	else
		ck_assert_int_eq(res.status, STATUS_CANCELLED);
}

static void step_done(void)
{
	unsigned have = ngiven < GIVEN ? ngiven : GIVEN;
	const model_lease_t *g;

	if (have == 0)
		return;
	g = &given[rnd(have)];
	deliver(g, rnd(5) ? g->session : any_session(), rnd(3) > 0, (wire_blame_t)rnd(3));
}

static void step_lost(void)
{
	model_session_t *s = &slots[rnd(SLOTS)];
	AUTO_RES res = BOTH(kit_lost(l, s->session));

	ck_assert_int_eq(res.status, STATUS_OK);
	for (unsigned k = 0; k < KEYS; k++) {
		if (!reqs[k].exists || reqs[k].state >= WIRE_DONE || reqs[k].session != s->session)
			continue;
		reqs[k].session = 0;
		if (reqs[k].state == WIRE_ATTEMPTED)
			end_req(&reqs[k], WIRE_FAILED, "");
	}
	for (unsigned j = 0; j < JOBS; j++) {
		for (unsigned i = 0; i < jobs[j].count; i++) {
			model_item_t *m = &jobs[j].items[i];

			if (m->state == MODEL_LEASED && m->session == s->session)
				m->state = jobs[j].cancelled ? MODEL_DROPPED : MODEL_WAITING;
		}
		settle(&jobs[j]);
	}
	new_session(s);
}

static wire_ledger_res_t expire(ledger_t *at)
{
	wire_ledger_cmd_t cmd = {.kind = WIRE_LEDGER_EXPIRE};
	wire_ledger_res_t res;

	cmd.wire_ledger_cmd_t_u.expire = (wire_expire_t){kit_now_ms, RETENTION_MS};
	ledger_apply_cmd(at, &cmd, &res);
	return res;
}

static void step_expire(void)
{
	AUTO_RES res = BOTH(expire(l));
	unsigned n = 0;

	for (unsigned k = 0; k < KEYS; k++) {
		model_request_t *r = &reqs[k];

		if (r->exists && r->state >= WIRE_DONE && r->end_ms + RETENTION_MS <= kit_now_ms) {
			*r = (model_request_t){0};
			n++;
		}
	}
	for (unsigned i = 0; i < JOBS; i++) {
		model_job_t *j = &jobs[i];
		bool unsealed = j->exists && !j->sealed && !j->cancelled;

		if ((j->ended && j->end_ms + RETENTION_MS <= kit_now_ms) ||
		    (unsealed && j->opened_ms + LEDGER_UNSEALED_MAX_MS <= kit_now_ms)) {
			*j = (model_job_t){0};
			n++;
		}
	}
	ck_assert_uint_eq(res.count, n);
}

/* After all faults every item of a sealed job and every orphan ends exactly once. */
static void drain(void)
{
	model_session_t *s = &slots[0];

	for (unsigned i = 1; i < SLOTS; i++) {
		AUTO_RES res = BOTH(kit_lost(l, slots[i].session));
	}
	for (unsigned i = 1; i < SLOTS; i++)
		slots[i].session = 0;
	AUTO_RES own = BOTH(kit_lost(l, s->session));

	new_session(s);
	do {
		lease(s, s->seq + 1, 8);
		for (unsigned i = 0; i < s->nlast_leases; i++) {
			const model_lease_t g = s->last_leases[i];

			if (leased_to(s->session, &g))
				deliver(&g, s->session, true, WIRE_BLAME_NONE);
		}
	} while (s->nlast_leases);
}

static void one_step(void)
{
	static void (*const steps[])(void) = {
		step_accept, step_accept, step_attempt, step_finish, step_open,	 step_items,
		step_items,  step_seal,	  step_seal,	step_lease,  step_lease, step_lease,
		step_done,   step_done,	  step_done,	step_done,   step_done,	 step_done,
	};

	kit_now_ms += rnd(STEP_MS);
	switch (rnd(60)) {
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
		kit_reload(&l);
		break;
	default:
		steps[rnd(sizeof(steps) / sizeof(steps[0]))]();
	}
}

static void reset(unsigned long seed)
{
	memset(reqs, 0, sizeof(reqs));
	memset(jobs, 0, sizeof(jobs));
	ngiven = 0;
	last_session = 0;
	dropped = 0;
	answers = 0;
	kit_now_ms = KIT_NOW_MS;
	rnd_state = seed;
	l = ledger_new();
	twin = ledger_new();
	for (unsigned i = 0; i < SLOTS; i++)
		new_session(&slots[i]);
}

START_TEST(random_commands_keep_the_promises)
{
	const char *seed = getenv("AUBURN_SEED");

	reset((seed ? strtoul(seed, NULL, 10) : 1) + (unsigned long)_i - 1);
	for (unsigned i = 0; i < STEPS; i++) {
		one_step();
		if (i % 50 == 0)
			check_all();
		if (i % 200 == 0)
			check_twin();
	}
	model_all_lost();
	drain();
	check_drained();
	check_twin();
	ledger_free(l);
	ledger_free(twin);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("ledger_random");
	TCase *t = tcase_create("ledger_random");

	suite_add_tcase(s, t);
	tcase_add_loop_test(t, random_commands_keep_the_promises, 1, 1 + SEEDS);
	return suite_run(s);
}
