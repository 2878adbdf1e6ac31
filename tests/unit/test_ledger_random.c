/* Randomised test of the ledger against a model of what it promises. AUBURN_SEED sets the first
 * seed; loop i of the test runs seed AUBURN_SEED + i - 1. */
#include "ledger_kit.h"

#define STEPS	     4000
#define SEEDS	     16
#define KEYS	     24
#define JOBS	     12
#define ITEMS	     12
#define CALLERS	     3
#define SLOTS	     4
#define GIVEN	     256
#define RETENTION_MS 400000
#define STEP_MS	     1500

typedef struct {
	uint64_t digest;
	uint64_t holder; /* 0: waits, or final */
	uint64_t token;
	int64_t deadline_ms, end_ms;
	aw_state_t state;
	unsigned attempt;
	unsigned fails, deaths;
	bool exists, repeatable;
	char result[16];
} mreq_t;

typedef enum { M_WAITING, M_LEASED, M_DONE, M_FAILED, M_DROPPED } mstate_t;

typedef struct {
	mstate_t state;
	uint64_t holder;
	unsigned attempt;
	unsigned fails, deaths;
	char result[16];
} mitem_t;

typedef struct {
	bool exists, sealed, cancelled, ended;
	unsigned count, received;
	int64_t deadline_ms, opened_ms, end_ms;
	mitem_t items[ITEMS];
} mjob_t;

/* Something that LEASE handed out at some time. */
typedef struct {
	bool request;
	unsigned at; /* key or job */
	unsigned index;
	unsigned attempt;
	uint64_t session;
} given_t;

typedef struct {
	uint64_t session;
	uint64_t seq;
	given_t last[LD_LEASE_CHUNK_MAX];
	unsigned nlast;
} slot_t;

/* The ledger, and a twin that applies the same commands but is never restored. */
static ld_t *l;
static ld_t *twin;
static mreq_t reqs[KEYS];
static mjob_t jobs[JOBS];
static slot_t slots[SLOTS];
static given_t given[GIVEN];
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
		ld_t *real_ = l;                                                                   \
		l = twin;                                                                          \
		AUTO_RES other_ = call;                                                            \
		l = real_;                                                                         \
		aw_ledger_res_t res_ = call;                                                       \
		px_encode(&one_, PX(aw_ledger_res_t), &other_);                                    \
		px_encode(&two_, PX(aw_ledger_res_t), &res_);                                      \
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

static unsigned number_of(aw_bytes_t name)
{
	return (unsigned)strtoul(name.aw_bytes_t_val + 1, NULL, 10);
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

static void new_session(slot_t *s)
{
	*s = (slot_t){.session = ++last_session};
}

/* ---- requests ---- */

static void end_req(mreq_t *r, aw_state_t state, const char *result)
{
	r->state = state;
	r->holder = 0;
	r->end_ms = kit_now_ms;
	snprintf(r->result, sizeof(r->result), "%s", result);
}

static void check_record(const mreq_t *r, const aw_record_t *rec)
{
	ck_assert_int_eq(rec->state, r->state);
	ck_assert(rec->session == r->holder);
	if (r->state == AW_DONE)
		ck_assert(kit_is(rec->result, r->result));
	if (r->state == AW_FAILED && r->token)
		ck_assert_int_eq(rec->verdict, VERDICT_MAY_HAVE_RUN);
}

static void step_accept(void)
{
	unsigned k = rnd(KEYS);
	mreq_t *r = &reqs[k];
	uint64_t digest = 1 + rnd(2);
	uint64_t session = any_session();
	AUTO_RES res = BOTH(kit_accept(l, key_name(k), digest, k % 3 != 0, session));

	if (r->exists && r->digest != digest) {
		ck_assert_int_eq(res.status, ST_CONFLICT);
		return;
	}
	if (!r->exists && !is_live(session)) {
		ck_assert_int_eq(res.status, ST_CANCELLED);
		return;
	}
	ck_assert_int_eq(res.status, ST_OK);
	ck_assert_int_eq(res.record.fresh, !r->exists);
	if (!r->exists)
		*r = (mreq_t){.exists = true,
			      .digest = digest,
			      .repeatable = k % 3 != 0,
			      .deadline_ms = kit_deadline_ms(key_name(k)),
			      .holder = session};
	check_record(r, &res.record);
}

static void step_attempt(void)
{
	unsigned k = rnd(KEYS);
	mreq_t *r = &reqs[k];
	uint64_t session = rnd(3) ? r->holder : any_session();
	uint64_t token = 1 + rnd(3);
	bool again = r->state == AW_ATTEMPTED && r->token == token;
	bool first = r->state == AW_ACCEPTED && r->holder == session;
	AUTO_RES res = BOTH(kit_attempt(l, key_name(k), token, session));

	if (!r->exists) {
		ck_assert_int_eq(res.status, ST_NOT_FOUND);
		return;
	}
	if (session && is_live(session) && !r->repeatable && (again || first)) {
		ck_assert_int_eq(res.status, ST_OK);
		ck_assert_int_eq(res.record.fresh, first);
		r->state = AW_ATTEMPTED;
		r->token = token;
	} else {
		ck_assert_int_ne(res.status, ST_OK);
	}
	check_record(r, &res.record);
}

static void step_finish(void)
{
	unsigned k = rnd(KEYS);
	mreq_t *r = &reqs[k];
	aw_state_t state = (aw_state_t)(AW_DONE + rnd(3));
	uint64_t session = rnd(3) ? r->holder : any_session();
	bool may = session == 0 || session == r->holder || (r->repeatable && state == AW_DONE);
	bool open = r->state < AW_DONE && may;
	char result[16];

	snprintf(result, sizeof(result), "r%llu", (unsigned long long)++answers);
	AUTO_RES res = BOTH(kit_finish_by(l, key_name(k), state, result, session));

	if (!r->exists) {
		ck_assert_int_eq(res.status, ST_NOT_FOUND);
		return;
	}
	ck_assert_int_eq(res.record.fresh, open);
	ck_assert_int_eq(res.status, open ? ST_OK : ST_CONFLICT);
	dropped += !open;
	if (open) {
		end_req(r, state, result);
		r->token = 0;
	}
	check_record(r, &res.record);
}

/* ---- jobs ---- */

static unsigned tally(const mjob_t *j, mstate_t state)
{
	unsigned n = 0;

	for (unsigned i = 0; i < j->count; i++)
		n += j->items[i].state == state;
	return n;
}

static void check_job(const mjob_t *j, const aw_job_t *got)
{
	ck_assert_uint_eq(got->count, j->count);
	ck_assert_uint_eq(got->received, j->received);
	ck_assert_int_eq(got->sealed, j->sealed);
	ck_assert_int_eq(got->cancelled, j->cancelled);
	ck_assert_uint_eq(got->waiting, tally(j, M_WAITING));
	ck_assert_uint_eq(got->leased, tally(j, M_LEASED));
	ck_assert_uint_eq(got->done, tally(j, M_DONE));
	ck_assert_uint_eq(got->failed, tally(j, M_FAILED));
	ck_assert_uint_eq(got->dropped, tally(j, M_DROPPED));
}

static void settle(mjob_t *j)
{
	bool open = tally(j, M_WAITING) || tally(j, M_LEASED);

	if (j->ended || open || !(j->sealed || j->cancelled))
		return;
	j->ended = true;
	j->end_ms = kit_now_ms;
}

static void step_open(void)
{
	unsigned n = rnd(JOBS);
	mjob_t *j = &jobs[n];
	unsigned count = 1 + n % ITEMS;
	int64_t deadline_ms = kit_now_ms + (rnd(6) - 1) * (int64_t)LD_BAND_MS;
	uint64_t digest = kit_digest(count) + (rnd(6) == 0);

	kit_share = rnd(4);
	AUTO_RES res = BOTH(kit_open(l, job_caller(n), job_name(n), count, digest, deadline_ms));

	if (j->exists && digest != kit_digest(count)) {
		ck_assert_int_eq(res.status, ST_CONFLICT);
		return;
	}
	ck_assert_int_eq(res.status, ST_OK);
	ck_assert_int_eq(res.job.fresh, !j->exists);
	if (!j->exists && digest != kit_digest(count)) {
		/* A job that can't be sealed: it goes away when that is tried. */
		AUTO_RES fill = BOTH(kit_items(l, job_caller(n), job_name(n), 0, count));
		AUTO_RES seal = BOTH(kit_ref(l, AW_LEDGER_JOB_SEAL, job_caller(n), job_name(n)));

		ck_assert_int_eq(seal.status, ST_INVALID);
		return;
	}
	if (!j->exists)
		*j = (mjob_t){.exists = true,
			      .count = count,
			      .deadline_ms = deadline_ms,
			      .opened_ms = kit_now_ms};
	check_job(j, &res.job);
}

static void step_items(void)
{
	unsigned n = rnd(JOBS);
	mjob_t *j = &jobs[n];
	unsigned first = rnd(ITEMS);
	unsigned many = 1 + rnd(ITEMS);
	AUTO_RES res = BOTH(kit_items(l, job_caller(n), job_name(n), first, many));

	if (!j->exists) {
		ck_assert_int_eq(res.status, ST_NOT_FOUND);
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
	mjob_t *j = &jobs[n];
	bool full = j->exists && j->received == j->count && !j->cancelled;
	AUTO_RES res = BOTH(kit_ref(l, AW_LEDGER_JOB_SEAL, job_caller(n), job_name(n)));

	if (!j->exists) {
		ck_assert_int_eq(res.status, ST_NOT_FOUND);
		return;
	}
	ck_assert_int_eq(res.status == ST_OK, full || j->sealed);
	ck_assert_int_eq(res.job.fresh, full && !j->sealed);
	j->sealed |= full;
	check_job(j, &res.job);
}

static void step_cancel(void)
{
	unsigned n = rnd(JOBS);
	mjob_t *j = &jobs[n];
	AUTO_RES res = BOTH(kit_ref(l, AW_LEDGER_JOB_CANCEL, job_caller(n), job_name(n)));

	if (!j->exists) {
		ck_assert_int_eq(res.status, ST_NOT_FOUND);
		return;
	}
	if (tally(j, M_WAITING) || tally(j, M_LEASED)) {
		j->cancelled = true;
		for (unsigned i = 0; i < j->count; i++)
			if (j->items[i].state == M_WAITING)
				j->items[i].state = M_DROPPED;
		settle(j);
	}
	check_job(j, &res.job);
}

/* ---- leases and results ---- */

/* Earliest deadline band with a waiting item, of overdue or other work; INT64_MAX when none. */
static int64_t first_band(bool overdue)
{
	int64_t best = INT64_MAX;

	for (unsigned n = 0; n < JOBS; n++) {
		int64_t band = jobs[n].deadline_ms / LD_BAND_MS;
		bool over = (band + 1) * LD_BAND_MS <= kit_now_ms;

		if (jobs[n].exists && jobs[n].sealed && tally(&jobs[n], M_WAITING) &&
		    over == overdue && band < best)
			best = band;
	}
	return best;
}

static void note_given(given_t g, slot_t *s)
{
	given[ngiven++ % GIVEN] = g;
	s->last[s->nlast++] = g;
}

static void take_item(slot_t *s, const aw_item_t *it)
{
	unsigned n = number_of(it->job);
	mjob_t *j = &jobs[n];
	mitem_t *m = &j->items[it->index];
	int64_t band = j->deadline_ms / LD_BAND_MS;
	char body[16];

	snprintf(body, sizeof(body), "item %u", it->index);
	ck_assert(kit_is(it->body, body));
	ck_assert(j->exists && j->sealed && !j->cancelled);
	ck_assert_int_eq(m->state, M_WAITING);
	ck_assert(band == first_band(true) || band == first_band(false));
	ck_assert_uint_eq(it->attempt, m->attempt + 1);
	ck_assert_int_eq(it->alone, m->deaths >= LD_DEATHS_ALONE);
	m->state = M_LEASED;
	m->holder = s->session;
	m->attempt = it->attempt;
	note_given((given_t){false, n, it->index, it->attempt, s->session}, s);
}

static void take_orphan(slot_t *s, const aw_item_t *it)
{
	unsigned k = number_of(it->key);
	mreq_t *r = &reqs[k];

	ck_assert(r->exists && r->state == AW_ACCEPTED && r->holder == 0);
	for (unsigned i = 0; i < KEYS; i++)
		ck_assert(!reqs[i].exists || reqs[i].state != AW_ACCEPTED || reqs[i].holder ||
			  reqs[i].deadline_ms >= r->deadline_ms);
	ck_assert_uint_eq(it->attempt, r->attempt + 1);
	r->holder = s->session;
	r->attempt = it->attempt;
	note_given((given_t){true, k, 0, it->attempt, s->session}, s);
}

/* True when session holds what g names, under the same attempt. */
static bool leased_to(uint64_t session, const given_t *g)
{
	const mreq_t *r = &reqs[g->at];
	const mitem_t *m;

	if (g->request)
		return r->exists && r->holder == session && r->attempt == g->attempt;
	m = &jobs[g->at].items[g->index];
	return jobs[g->at].exists && m->state == M_LEASED && m->holder == session &&
	       m->attempt == g->attempt;
}

/* A resend gives what the session still holds of the last answer and drops what was cancelled. */
static void check_resend(slot_t *s, const aw_ledger_res_t *res)
{
	unsigned at = 0;

	for (unsigned i = 0; i < s->nlast; i++) {
		const given_t *g = &s->last[i];
		const aw_item_t *it = &res->items.items_val[at];

		if (!leased_to(s->session, g))
			continue;
		if (!g->request && jobs[g->at].cancelled) {
			jobs[g->at].items[g->index].state = M_DROPPED;
			settle(&jobs[g->at]);
			continue;
		}
		ck_assert_uint_lt(at, res->items.items_len);
		ck_assert_uint_eq(number_of(g->request ? it->key : it->job), g->at);
		ck_assert_uint_eq(it->index, g->index);
		ck_assert_uint_eq(it->attempt, g->attempt);
		at++;
	}
	ck_assert_uint_eq(at, res->items.items_len);
}

static void check_cancelled(uint64_t session, const aw_ledger_res_t *res)
{
	unsigned n = 0;

	for (unsigned j = 0; j < JOBS; j++) {
		unsigned held = 0;

		for (unsigned i = 0; i < jobs[j].count; i++)
			held += jobs[j].items[i].state == M_LEASED &&
				jobs[j].items[i].holder == session;
		n += jobs[j].exists && jobs[j].cancelled && held;
	}
	ck_assert_uint_eq(res->cancelled.cancelled_len, n);
}

static void lease(slot_t *s, uint64_t seq, unsigned max)
{
	AUTO_RES res = BOTH(kit_lease(l, s->session, seq, max));

	ck_assert_int_eq(res.status, ST_OK);
	if (seq == s->seq) {
		check_resend(s, &res);
	} else {
		s->seq = seq;
		s->nlast = 0;
		ck_assert_uint_le(res.items.items_len, max);
		for (unsigned i = 0; i < res.items.items_len; i++) {
			const aw_item_t *it = &res.items.items_val[i];

			if (it->job.aw_bytes_t_len)
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
	slot_t *s = &slots[rnd(SLOTS)];
	uint64_t lost = 1 + rnd((unsigned)last_session);

	if (!is_live(lost) && rnd(4) == 0) {
		AUTO_RES res = BOTH(kit_lease(l, lost, 1000, 5));

		ck_assert_int_eq(res.status, ST_CANCELLED);
		ck_assert_uint_eq(res.items.items_len, 0);
		return;
	}
	lease(s, s->seq && rnd(4) == 0 ? s->seq : s->seq + 1, 1 + rnd(8));
}

static bool used_up(unsigned *fails, unsigned *deaths, aw_blame_t blame)
{
	*fails += blame == AW_BLAME_ITEM;
	*deaths += blame == AW_BLAME_REPLICA;
	return *fails >= LD_ITEM_ATTEMPTS || *deaths >= LD_DEATHS_MAX;
}

static void model_req_result(mreq_t *r, const aw_item_result_t *v, const char *body)
{
	if (v->done)
		end_req(r, AW_DONE, body);
	else if (r->state == AW_ATTEMPTED || used_up(&r->fails, &r->deaths, v->blame))
		end_req(r, AW_FAILED, body);
	else
		r->holder = 0;
	if (r->state == AW_DONE)
		r->token = 0;
}

static void model_item_result(mjob_t *j, mitem_t *m, const aw_item_result_t *v, const char *body)
{
	if (j->cancelled)
		m->state = M_DROPPED;
	else if (v->done)
		m->state = M_DONE;
	else if (used_up(&m->fails, &m->deaths, v->blame))
		m->state = M_FAILED;
	else
		m->state = M_WAITING;
	if (m->state == M_DONE || m->state == M_FAILED)
		snprintf(m->result, sizeof(m->result), "%s", body);
	settle(j);
}

/* Delivers a result for g as session says; the model decides if it counts. */
static void deliver(const given_t *g, uint64_t session, bool done, aw_blame_t blame)
{
	char body[16];
	char name[8];
	aw_item_result_t v = {.caller = kit_b(g->request ? "desk" : job_caller(g->at)),
			      .index = g->index,
			      .attempt = g->attempt,
			      .done = done,
			      .blame = blame,
			      .body = {0, body}};
	bool counts = is_live(session) && leased_to(session, g);
	bool taken = counts && (g->request || !jobs[g->at].cancelled);

	snprintf(name, sizeof(name), "%s", g->request ? key_name(g->at) : job_name(g->at));
	*(g->request ? &v.key : &v.job) = kit_b(name);
	snprintf(body, sizeof(body), "r%llu", (unsigned long long)++answers);
	v.body = kit_b(body);
	AUTO_RES res = BOTH(kit_done(l, session, &v, 1));

	ck_assert_uint_eq(res.count, taken);
	dropped += !taken;
	if (counts && g->request)
		model_req_result(&reqs[g->at], &v, body);
	else if (counts)
		model_item_result(&jobs[g->at], &jobs[g->at].items[g->index], &v, body);
	if (is_live(session))
		check_cancelled(session, &res);
	else
		ck_assert_int_eq(res.status, ST_CANCELLED);
}

static void step_done(void)
{
	unsigned have = ngiven < GIVEN ? ngiven : GIVEN;
	const given_t *g;

	if (have == 0)
		return;
	g = &given[rnd(have)];
	deliver(g, rnd(5) ? g->session : any_session(), rnd(3) > 0, (aw_blame_t)rnd(3));
}

static void step_lost(void)
{
	slot_t *s = &slots[rnd(SLOTS)];
	AUTO_RES res = BOTH(kit_lost(l, s->session));

	ck_assert_int_eq(res.status, ST_OK);
	for (unsigned k = 0; k < KEYS; k++) {
		if (!reqs[k].exists || reqs[k].state >= AW_DONE || reqs[k].holder != s->session)
			continue;
		reqs[k].holder = 0;
		if (reqs[k].state == AW_ATTEMPTED)
			end_req(&reqs[k], AW_FAILED, "");
	}
	for (unsigned j = 0; j < JOBS; j++) {
		for (unsigned i = 0; i < jobs[j].count; i++) {
			mitem_t *m = &jobs[j].items[i];

			if (m->state == M_LEASED && m->holder == s->session)
				m->state = jobs[j].cancelled ? M_DROPPED : M_WAITING;
		}
		settle(&jobs[j]);
	}
	new_session(s);
}

static aw_ledger_res_t expire(ld_t *at)
{
	aw_ledger_cmd_t cmd = {.kind = AW_LEDGER_EXPIRE};
	aw_ledger_res_t res;

	cmd.aw_ledger_cmd_t_u.expire = (aw_expire_t){kit_now_ms, RETENTION_MS};
	ld_apply(at, &cmd, &res);
	return res;
}

static void step_expire(void)
{
	AUTO_RES res = BOTH(expire(l));
	unsigned n = 0;

	for (unsigned k = 0; k < KEYS; k++) {
		mreq_t *r = &reqs[k];

		if (r->exists && r->state >= AW_DONE && r->end_ms + RETENTION_MS <= kit_now_ms) {
			*r = (mreq_t){0};
			n++;
		}
	}
	for (unsigned i = 0; i < JOBS; i++) {
		mjob_t *j = &jobs[i];
		bool unsealed = j->exists && !j->sealed && !j->cancelled;

		if ((j->ended && j->end_ms + RETENTION_MS <= kit_now_ms) ||
		    (unsealed && j->opened_ms + LD_UNSEALED_MAX_MS <= kit_now_ms)) {
			*j = (mjob_t){0};
			n++;
		}
	}
	ck_assert_uint_eq(res.count, n);
}

static void check_all(void)
{
	ld_stats_t st;

	ld_stats(l, &st);
	ck_assert_uint_eq(st.late_dropped, dropped);
	for (unsigned n = 0; n < JOBS; n++) {
		AUTO_QRES q = kit_query_job(l, job_caller(n), job_name(n));
		AUTO_QRES r = kit_query_results(l, job_caller(n), job_name(n), 0, ITEMS);

		ck_assert_int_eq(q.status, jobs[n].exists ? ST_OK : ST_NOT_FOUND);
		if (jobs[n].exists)
			check_job(&jobs[n], &q.jobs.jobs_val[0]);
		for (unsigned i = 0; i < r.items.items_len; i++) {
			const mitem_t *m = &jobs[n].items[i];

			ck_assert_uint_eq(r.items.items_val[i].attempts, m->attempt);
			if (m->state == M_DONE || m->state == M_FAILED)
				ck_assert(kit_is(r.items.items_val[i].body, m->result));
		}
	}
}

static void check_twin(void)
{
	AUTO_BUF a = {0};
	AUTO_BUF b = {0};

	ld_snapshot(l, &a);
	ld_snapshot(twin, &b);
	ck_assert(str_eq(str_buf(&a), str_buf(&b)));
}

/* After all faults every item of a sealed job and every orphan ends exactly once. */
static void drain(void)
{
	slot_t *s = &slots[0];

	for (unsigned i = 1; i < SLOTS; i++) {
		AUTO_RES res = BOTH(kit_lost(l, slots[i].session));
	}
	for (unsigned i = 1; i < SLOTS; i++)
		slots[i].session = 0;
	AUTO_RES own = BOTH(kit_lost(l, s->session));

	new_session(s);
	do {
		lease(s, s->seq + 1, 8);
		for (unsigned i = 0; i < s->nlast; i++) {
			const given_t g = s->last[i];

			if (leased_to(s->session, &g))
				deliver(&g, s->session, true, AW_BLAME_NONE);
		}
	} while (s->nlast);
}

/* The model's side of the losses that drain brings about. */
static void model_all_lost(void)
{
	for (unsigned k = 0; k < KEYS; k++) {
		if (reqs[k].exists && reqs[k].state == AW_ATTEMPTED)
			end_req(&reqs[k], AW_FAILED, "");
		reqs[k].holder = 0;
	}
	for (unsigned j = 0; j < JOBS; j++) {
		for (unsigned i = 0; i < jobs[j].count; i++)
			if (jobs[j].items[i].state == M_LEASED)
				jobs[j].items[i].state = jobs[j].cancelled ? M_DROPPED : M_WAITING;
		settle(&jobs[j]);
	}
}

static void check_drained(void)
{
	for (unsigned k = 0; k < KEYS; k++)
		ck_assert(!reqs[k].exists || reqs[k].state >= AW_DONE);
	for (unsigned j = 0; j < JOBS; j++)
		ck_assert(!jobs[j].sealed || jobs[j].ended);
	check_all();
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
	l = ld_new();
	twin = ld_new();
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
	ld_free(l);
	ld_free(twin);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("ledger_random");
	TCase *t = tcase_create("ledger_random");
	SRunner *r = srunner_create(s);
	int failed;

	suite_add_tcase(s, t);
	tcase_add_loop_test(t, random_commands_keep_the_promises, 1, 1 + SEEDS);
	srunner_run_all(r, CK_ENV);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
