/* Helpers for the ledger's tests: each function applies one command and returns its answer, which
 * the caller frees with wire_free (AUTO_RES does). */
#ifndef AUBURN_LEDGER_KIT_H
#define AUBURN_LEDGER_KIT_H

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "state/ledger.h"

#define WALL_START_MS 1000000
#define AUTO_RES      __attribute__((cleanup(free_res))) wire_ledger_res_t
#define AUTO_QRES     __attribute__((cleanup(free_query_res))) wire_query_res_t

/* Time that the commands carry. */
static int64_t wall_now_ms = WALL_START_MS;
/* Share of the caller in the jobs that open_job opens. */
static unsigned caller_share;

static inline void free_res(wire_ledger_res_t *res)
{
	wire_free(XDR_PROC(wire_ledger_res_t), res);
}

static inline void free_query_res(wire_query_res_t *res)
{
	wire_free(XDR_PROC(wire_query_res_t), res);
}

static inline wire_bytes_t bytes_of(const char *c)
{
	return wire_bytes(str_c(c));
}

static inline bool bytes_are(wire_bytes_t b, const char *c)
{
	return str_eq(wire_str(b), str_c(c));
}

/* Deadline of a request, by the last character of its key, so that the order of the deadlines
 * differs from the order of acceptance. */
static inline int64_t request_deadline_ms(const char *key)
{
	return wall_now_ms + 5000 + 10000 * (int64_t)(key[strlen(key) - 1] % 4);
}

static inline wire_ledger_res_t accept_request(ledger_t *l, const char *key, uint64_t digest,
					       bool repeatable, uint64_t session)
{
	wire_ledger_cmd_t cmd = {.kind = WIRE_LEDGER_ACCEPT};
	wire_ledger_res_t res;

	cmd.wire_ledger_cmd_t_u.accept = (wire_accept_t){
		.caller = bytes_of("desk"),
		.key = bytes_of(key),
		.digest = digest,
		.service = bytes_of("llm"),
		.repeatable = repeatable,
		.deadline_wall_ms = request_deadline_ms(key),
		.session = session,
		.path = bytes_of("/v1/x"),
		.body = bytes_of("body"),
		.trace = bytes_of("trace"),
	};
	ledger_apply_cmd(l, &cmd, &res);
	return res;
}

static inline wire_ledger_res_t attempt_request(ledger_t *l, const char *key, uint64_t token,
						uint64_t session)
{
	wire_ledger_cmd_t cmd = {.kind = WIRE_LEDGER_ATTEMPT};
	wire_ledger_res_t res;

	cmd.wire_ledger_cmd_t_u.attempt = (wire_attempt_t){.caller = bytes_of("desk"),
							   .key = bytes_of(key),
							   .token = token,
							   .session = session};
	ledger_apply_cmd(l, &cmd, &res);
	return res;
}

static inline wire_ledger_res_t finish_request_by(ledger_t *l, const char *key, wire_state_t state,
						  const char *result, uint64_t session)
{
	wire_ledger_cmd_t cmd = {.kind = WIRE_LEDGER_FINISH};
	wire_ledger_res_t res;

	cmd.wire_ledger_cmd_t_u.finish = (wire_finish_t){
		.caller = bytes_of("desk"),
		.key = bytes_of(key),
		.state = state,
		.verdict = state == WIRE_DONE ? VERDICT_RAN : VERDICT_NOT_RUN,
		.http_status = 200,
		.result = bytes_of(result),
		.now_wall_ms = wall_now_ms,
		.session = session,
	};
	ledger_apply_cmd(l, &cmd, &res);
	return res;
}

static inline wire_ledger_res_t finish_request(ledger_t *l, const char *key, wire_state_t state,
					       const char *result)
{
	return finish_request_by(l, key, state, result, 0);
}

/* Reports a session as lost. */
static inline wire_ledger_res_t lose_session(ledger_t *l, uint64_t session)
{
	wire_ledger_cmd_t cmd = {.kind = WIRE_LEDGER_SESSIONS_LOST};
	wire_ledger_res_t res;
	u_quad_t one = session;

	cmd.wire_ledger_cmd_t_u.lost.sessions.sessions_len = 1;
	cmd.wire_ledger_cmd_t_u.lost.sessions.sessions_val = &one;
	cmd.wire_ledger_cmd_t_u.lost.now_wall_ms = wall_now_ms;
	ledger_apply_cmd(l, &cmd, &res);
	return res;
}

static inline wire_ledger_res_t lease_items(ledger_t *l, uint64_t session, uint64_t seq,
					    unsigned max)
{
	wire_ledger_cmd_t cmd = {.kind = WIRE_LEDGER_LEASE};
	wire_ledger_res_t res;

	cmd.wire_ledger_cmd_t_u.lease = (wire_lease_t){.session = session,
						       .seq = seq,
						       .service = bytes_of("llm"),
						       .max = max,
						       .now_wall_ms = wall_now_ms};
	ledger_apply_cmd(l, &cmd, &res);
	return res;
}

/* Makes a result of a leased item. */
static inline wire_item_result_t make_result(const wire_item_t *it, bool done, wire_blame_t blame,
					     const char *body)
{
	return (wire_item_result_t){
		.caller = it->caller,
		.job = it->job,
		.key = it->key,
		.index = it->index,
		.attempt = it->attempt,
		.done = done,
		.blame = blame,
		.body = bytes_of(body),
	};
}

static inline wire_ledger_res_t commit_results(ledger_t *l, uint64_t session, wire_item_result_t *v,
					       unsigned n)
{
	wire_ledger_cmd_t cmd = {.kind = WIRE_LEDGER_DONE};
	wire_ledger_res_t res;

	cmd.wire_ledger_cmd_t_u.done.session = session;
	cmd.wire_ledger_cmd_t_u.done.now_wall_ms = wall_now_ms;
	cmd.wire_ledger_cmd_t_u.done.results.results_len = n;
	cmd.wire_ledger_cmd_t_u.done.results.results_val = v;
	ledger_apply_cmd(l, &cmd, &res);
	return res;
}

/* Commits one result; returns the number of results that the ledger stored, 0 or 1. */
static inline unsigned commit_one(ledger_t *l, uint64_t session, const wire_item_t *it, bool done,
				  wire_blame_t blame, const char *body)
{
	wire_item_result_t r = make_result(it, done, blame, body);
	AUTO_RES res = commit_results(l, session, &r, 1);

	return res.count;
}

/* Digest of a job with the items that upload_items sends. */
static inline uint64_t items_digest(unsigned count)
{
	uint64_t digest = 0;
	char body[32];

	for (unsigned i = 0; i < count; i++) {
		snprintf(body, sizeof(body), "item %u", i);
		digest = ledger_digest_step(digest, str_c(body));
	}
	return digest;
}

static inline wire_ledger_res_t open_job(ledger_t *l, const char *caller, const char *job,
					 unsigned count, uint64_t digest, int64_t deadline_ms)
{
	wire_ledger_cmd_t cmd = {.kind = WIRE_LEDGER_JOB_OPEN};
	wire_ledger_res_t res;

	cmd.wire_ledger_cmd_t_u.open = (wire_job_open_t){
		.caller = bytes_of(caller),
		.job = bytes_of(job),
		.digest = digest,
		.service = bytes_of("llm"),
		.deadline_wall_ms = deadline_ms,
		.count = count,
		.now_wall_ms = wall_now_ms,
		.share = caller_share,
	};
	ledger_apply_cmd(l, &cmd, &res);
	return res;
}

/* Uploads items `first` to first + n - 1. */
static inline wire_ledger_res_t upload_items(ledger_t *l, const char *caller, const char *job,
					     unsigned first, unsigned n)
{
	wire_ledger_cmd_t cmd = {.kind = WIRE_LEDGER_JOB_ITEMS};
	wire_job_items_t *c = &cmd.wire_ledger_cmd_t_u.items;
	wire_ledger_res_t res;
	char body[32];

	*c = (wire_job_items_t){.caller = bytes_of(caller), .job = bytes_of(job), .first = first};
	c->bodies.bodies_len = n;
	c->bodies.bodies_val = mem_new(n * sizeof(wire_bytes_t));
	for (unsigned i = 0; i < n; i++) {
		snprintf(body, sizeof(body), "item %u", first + i);
		c->bodies.bodies_val[i] = wire_copy(str_c(body));
	}
	ledger_apply_cmd(l, &cmd, &res);
	for (unsigned i = 0; i < n; i++)
		free(c->bodies.bodies_val[i].wire_bytes_t_val);
	free(c->bodies.bodies_val);
	return res;
}

/* Applies a command that only names a job: JOB_SEAL or JOB_CANCEL. */
static inline wire_ledger_res_t apply_job_cmd(ledger_t *l, wire_ledger_kind_t kind,
					      const char *caller, const char *job)
{
	wire_ledger_cmd_t cmd = {.kind = kind};
	wire_ledger_res_t res;

	cmd.wire_ledger_cmd_t_u.seal =
		(wire_job_ref_t){bytes_of(caller), bytes_of(job), wall_now_ms};
	ledger_apply_cmd(l, &cmd, &res);
	return res;
}

/* Opens a job, uploads its items and seals it. */
static inline void submit_job(ledger_t *l, const char *caller, const char *job, unsigned count,
			      int64_t deadline_ms)
{
	AUTO_RES open = open_job(l, caller, job, count, items_digest(count), deadline_ms);
	AUTO_RES items = upload_items(l, caller, job, 0, count);
	AUTO_RES seal = apply_job_cmd(l, WIRE_LEDGER_JOB_SEAL, caller, job);

	ck_assert_int_eq(open.status, STATUS_OK);
	ck_assert_int_eq(items.status, STATUS_OK);
	ck_assert_int_eq(seal.status, STATUS_OK);
}

static inline unsigned expire_records(ledger_t *l, int64_t now_ms, int64_t retention_ms)
{
	wire_ledger_cmd_t cmd = {.kind = WIRE_LEDGER_EXPIRE};
	AUTO_RES res;

	cmd.wire_ledger_cmd_t_u.expire = (wire_expire_t){now_ms, retention_ms};
	ledger_apply_cmd(l, &cmd, &res);
	return res.count;
}

static inline wire_query_res_t query_job(const ledger_t *l, const char *caller, const char *job)
{
	wire_query_t q = {.kind = WIRE_QUERY_JOB};
	wire_query_res_t res;

	q.wire_query_t_u.job = (wire_job_ref_t){bytes_of(caller), bytes_of(job), wall_now_ms};
	ledger_query(l, &q, &res);
	return res;
}

static inline wire_query_res_t query_results(const ledger_t *l, const char *caller, const char *job,
					     unsigned first, unsigned max)
{
	wire_query_t q = {.kind = WIRE_QUERY_RESULTS};
	wire_query_res_t res;

	q.wire_query_t_u.results =
		(wire_results_ref_t){bytes_of(caller), bytes_of(job), first, max};
	ledger_query(l, &q, &res);
	return res;
}

/* Replaces a ledger by one restored from its snapshot. The new one must give the same snapshot. */
static inline void restore_from_snapshot(ledger_t **l)
{
	AUTO_BUF a = {0};
	AUTO_BUF b = {0};
	ledger_t *fresh = ledger_new();

	ledger_snapshot(*l, &a);
	ck_assert_msg(ledger_restore(fresh, str_buf(&a)) == STATUS_OK, "%s", status_message());
	ledger_snapshot(fresh, &b);
	ck_assert(str_eq(str_buf(&a), str_buf(&b)));
	ledger_free(*l);
	*l = fresh;
}

#endif
