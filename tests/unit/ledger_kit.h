/* Short calls on a ledger for its tests; answers are freed by the caller with px_free. */
#ifndef AUBURN_LEDGER_KIT_H
#define AUBURN_LEDGER_KIT_H

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "state/ld.h"

#define KIT_NOW_MS 1000000
#define AUTO_RES   __attribute__((cleanup(kit_res_free))) aw_ledger_res_t
#define AUTO_QRES  __attribute__((cleanup(kit_qres_free))) aw_query_res_t

/* Wall clock of the commands. */
static int64_t kit_now_ms = KIT_NOW_MS;
/* Share of the callers whose jobs are opened. */
static unsigned kit_share;

static inline void kit_res_free(aw_ledger_res_t *res)
{
	px_free(PX(aw_ledger_res_t), res);
}

static inline void kit_qres_free(aw_query_res_t *res)
{
	px_free(PX(aw_query_res_t), res);
}

static inline aw_bytes_t kit_b(const char *c)
{
	return px_bytes(str_c(c));
}

static inline bool kit_is(aw_bytes_t b, const char *c)
{
	return str_eq(px_str(b), str_c(c));
}

/* Deadline of a request that is accepted now: not in the order of acceptance. */
static inline int64_t kit_deadline_ms(const char *key)
{
	return kit_now_ms + 5000 + 10000 * (int64_t)(key[strlen(key) - 1] % 4);
}

static inline aw_ledger_res_t kit_accept(ld_t *l, const char *key, uint64_t digest, bool repeatable,
					 uint64_t session)
{
	aw_ledger_cmd_t cmd = {.kind = AW_LEDGER_ACCEPT};
	aw_ledger_res_t res;

	cmd.aw_ledger_cmd_t_u.accept = (aw_accept_t){
		.caller = kit_b("desk"),
		.key = kit_b(key),
		.digest = digest,
		.service = kit_b("llm"),
		.repeatable = repeatable,
		.deadline_wall_ms = kit_deadline_ms(key),
		.session = session,
		.path = kit_b("/v1/x"),
		.body = kit_b("body"),
		.trace = kit_b("trace"),
	};
	ld_apply(l, &cmd, &res);
	return res;
}

static inline aw_ledger_res_t kit_attempt(ld_t *l, const char *key, uint64_t token,
					  uint64_t session)
{
	aw_ledger_cmd_t cmd = {.kind = AW_LEDGER_ATTEMPT};
	aw_ledger_res_t res;

	cmd.aw_ledger_cmd_t_u.attempt = (aw_attempt_t){
		.caller = kit_b("desk"), .key = kit_b(key), .token = token, .session = session};
	ld_apply(l, &cmd, &res);
	return res;
}

static inline aw_ledger_res_t kit_finish_by(ld_t *l, const char *key, aw_state_t state,
					    const char *result, uint64_t session)
{
	aw_ledger_cmd_t cmd = {.kind = AW_LEDGER_FINISH};
	aw_ledger_res_t res;

	cmd.aw_ledger_cmd_t_u.finish = (aw_finish_t){
		.caller = kit_b("desk"),
		.key = kit_b(key),
		.state = state,
		.verdict = state == AW_DONE ? VERDICT_RAN : VERDICT_NOT_RUN,
		.http_status = 200,
		.result = kit_b(result),
		.now_wall_ms = kit_now_ms,
		.session = session,
	};
	ld_apply(l, &cmd, &res);
	return res;
}

static inline aw_ledger_res_t kit_finish(ld_t *l, const char *key, aw_state_t state,
					 const char *result)
{
	return kit_finish_by(l, key, state, result, 0);
}

static inline aw_ledger_res_t kit_lost(ld_t *l, uint64_t session)
{
	aw_ledger_cmd_t cmd = {.kind = AW_LEDGER_SESSIONS_LOST};
	aw_ledger_res_t res;
	u_quad_t one = session;

	cmd.aw_ledger_cmd_t_u.lost.sessions.sessions_len = 1;
	cmd.aw_ledger_cmd_t_u.lost.sessions.sessions_val = &one;
	cmd.aw_ledger_cmd_t_u.lost.now_wall_ms = kit_now_ms;
	ld_apply(l, &cmd, &res);
	return res;
}

static inline aw_ledger_res_t kit_lease(ld_t *l, uint64_t session, uint64_t seq, unsigned max)
{
	aw_ledger_cmd_t cmd = {.kind = AW_LEDGER_LEASE};
	aw_ledger_res_t res;

	cmd.aw_ledger_cmd_t_u.lease = (aw_lease_t){.session = session,
						   .seq = seq,
						   .service = kit_b("llm"),
						   .max = max,
						   .now_wall_ms = kit_now_ms};
	ld_apply(l, &cmd, &res);
	return res;
}

/* A result for an item that LEASE gave out. */
static inline aw_item_result_t kit_result(const aw_item_t *it, bool done, aw_blame_t blame,
					  const char *body)
{
	return (aw_item_result_t){
		.caller = it->caller,
		.job = it->job,
		.key = it->key,
		.index = it->index,
		.attempt = it->attempt,
		.done = done,
		.blame = blame,
		.body = kit_b(body),
	};
}

static inline aw_ledger_res_t kit_done(ld_t *l, uint64_t session, aw_item_result_t *v, unsigned n)
{
	aw_ledger_cmd_t cmd = {.kind = AW_LEDGER_DONE};
	aw_ledger_res_t res;

	cmd.aw_ledger_cmd_t_u.done.session = session;
	cmd.aw_ledger_cmd_t_u.done.now_wall_ms = kit_now_ms;
	cmd.aw_ledger_cmd_t_u.done.results.results_len = n;
	cmd.aw_ledger_cmd_t_u.done.results.results_val = v;
	ld_apply(l, &cmd, &res);
	return res;
}

/* One result for the first item of a lease answer; returns how many were taken. */
static inline unsigned kit_done_one(ld_t *l, uint64_t session, const aw_item_t *it, bool done,
				    aw_blame_t blame, const char *body)
{
	aw_item_result_t r = kit_result(it, done, blame, body);
	AUTO_RES res = kit_done(l, session, &r, 1);

	return res.count;
}

static inline uint64_t kit_digest(unsigned count)
{
	uint64_t digest = 0;
	char body[32];

	for (unsigned i = 0; i < count; i++) {
		snprintf(body, sizeof(body), "item %u", i);
		digest = ld_digest_step(digest, str_c(body));
	}
	return digest;
}

static inline aw_ledger_res_t kit_open(ld_t *l, const char *caller, const char *job, unsigned count,
				       uint64_t digest, int64_t deadline_ms)
{
	aw_ledger_cmd_t cmd = {.kind = AW_LEDGER_JOB_OPEN};
	aw_ledger_res_t res;

	cmd.aw_ledger_cmd_t_u.open = (aw_job_open_t){
		.caller = kit_b(caller),
		.job = kit_b(job),
		.digest = digest,
		.service = kit_b("llm"),
		.deadline_wall_ms = deadline_ms,
		.count = count,
		.now_wall_ms = kit_now_ms,
		.share = kit_share,
	};
	ld_apply(l, &cmd, &res);
	return res;
}

static inline aw_ledger_res_t kit_items(ld_t *l, const char *caller, const char *job,
					unsigned first, unsigned n)
{
	aw_ledger_cmd_t cmd = {.kind = AW_LEDGER_JOB_ITEMS};
	aw_job_items_t *c = &cmd.aw_ledger_cmd_t_u.items;
	aw_ledger_res_t res;
	char body[32];

	*c = (aw_job_items_t){.caller = kit_b(caller), .job = kit_b(job), .first = first};
	c->bodies.bodies_len = n;
	c->bodies.bodies_val = mem_new(n * sizeof(aw_bytes_t));
	for (unsigned i = 0; i < n; i++) {
		snprintf(body, sizeof(body), "item %u", first + i);
		c->bodies.bodies_val[i] = px_copy(str_c(body));
	}
	ld_apply(l, &cmd, &res);
	for (unsigned i = 0; i < n; i++)
		free(c->bodies.bodies_val[i].aw_bytes_t_val);
	free(c->bodies.bodies_val);
	return res;
}

static inline aw_ledger_res_t kit_ref(ld_t *l, aw_ledger_kind_t kind, const char *caller,
				      const char *job)
{
	aw_ledger_cmd_t cmd = {.kind = kind};
	aw_ledger_res_t res;

	cmd.aw_ledger_cmd_t_u.seal = (aw_job_ref_t){kit_b(caller), kit_b(job), kit_now_ms};
	ld_apply(l, &cmd, &res);
	return res;
}

/* Opens, fills and seals a job. */
static inline void kit_job(ld_t *l, const char *caller, const char *job, unsigned count,
			   int64_t deadline_ms)
{
	AUTO_RES open = kit_open(l, caller, job, count, kit_digest(count), deadline_ms);
	AUTO_RES items = kit_items(l, caller, job, 0, count);
	AUTO_RES seal = kit_ref(l, AW_LEDGER_JOB_SEAL, caller, job);

	ck_assert_int_eq(open.status, ST_OK);
	ck_assert_int_eq(items.status, ST_OK);
	ck_assert_int_eq(seal.status, ST_OK);
}

static inline unsigned kit_expire(ld_t *l, int64_t now_ms, int64_t retention_ms)
{
	aw_ledger_cmd_t cmd = {.kind = AW_LEDGER_EXPIRE};
	AUTO_RES res;

	cmd.aw_ledger_cmd_t_u.expire = (aw_expire_t){now_ms, retention_ms};
	ld_apply(l, &cmd, &res);
	return res.count;
}

static inline aw_query_res_t kit_query_job(const ld_t *l, const char *caller, const char *job)
{
	aw_query_t q = {.kind = AW_QUERY_JOB};
	aw_query_res_t res;

	q.aw_query_t_u.job = (aw_job_ref_t){kit_b(caller), kit_b(job), kit_now_ms};
	ld_query(l, &q, &res);
	return res;
}

static inline aw_query_res_t kit_query_results(const ld_t *l, const char *caller, const char *job,
					       unsigned first, unsigned max)
{
	aw_query_t q = {.kind = AW_QUERY_RESULTS};
	aw_query_res_t res;

	q.aw_query_t_u.results = (aw_results_ref_t){kit_b(caller), kit_b(job), first, max};
	ld_query(l, &q, &res);
	return res;
}

/* Replaces a ledger by one restored from its snapshot, which must give the same bytes again. */
static inline void kit_reload(ld_t **l)
{
	AUTO_BUF a = {0};
	AUTO_BUF b = {0};
	ld_t *fresh = ld_new();

	ld_snapshot(*l, &a);
	ck_assert_msg(ld_restore(fresh, str_buf(&a)) == ST_OK, "%s", st_message());
	ld_snapshot(fresh, &b);
	ck_assert(str_eq(str_buf(&a), str_buf(&b)));
	ld_free(*l);
	*l = fresh;
}

#endif
