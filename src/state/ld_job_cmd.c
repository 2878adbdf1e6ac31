#include <assert.h>
#include <stdlib.h>
#include <utlist.h>
#include "state/ld_core.h"

/** Fills the job of an answer whose status is set. */
static void fill_job(aw_ledger_res_t *res, const ld_job_t *j, bool fresh)
{
	ld_job_fill(j, &res->job);
	res->job.fresh = fresh;
}

static status_t check_open(const aw_job_open_t *c)
{
	if (c->caller.aw_bytes_t_len == 0 || c->job.aw_bytes_t_len == 0 ||
	    c->service.aw_bytes_t_len == 0)
		return st_fail(ST_INVALID, "caller, job and service must be set");
	if (c->count == 0 || c->count > LD_JOB_ITEMS_MAX)
		return st_fail(ST_INVALID, "a job holds 1 to %d items, not %u", LD_JOB_ITEMS_MAX,
			       c->count);
	return ST_OK;
}

static ld_job_t *make_job(ld_t *l, const aw_job_open_t *c)
{
	ld_job_t *j = mem_new(sizeof(*j));

	j->id = ld_id_new(px_str(c->caller), px_str(c->job));
	j->serial = ++l->serial;
	j->digest = c->digest;
	j->deadline_ms = c->deadline_wall_ms;
	j->service = ld_service(l, px_str(c->service));
	j->trace = ld_copy(px_str(c->trace));
	j->trace_n = c->trace.aw_bytes_t_len;
	j->share = c->share ? c->share : 1;
	j->count = c->count;
	j->waiting = c->count;
	ld_job_add(l, j);
	j->end.key = c->now_wall_ms;
	j->end.serial = j->serial;
	ld_heap_push(&l->unsealed_jobs, &j->end);
	return j;
}

static bool same_job(const ld_job_t *j, const aw_job_open_t *c)
{
	str_t service = {j->service->name, j->service->name_n};

	return j->digest == c->digest && j->count == c->count &&
	       str_eq(service, px_str(c->service));
}

void ld_job_open(ld_t *l, const aw_job_open_t *c, aw_ledger_res_t *res)
{
	ld_job_t *j = ld_job_find(l, px_str(c->caller), px_str(c->job));
	status_t st = check_open(c);

	if (st == ST_OK && j && !same_job(j, c))
		st = st_fail(ST_CONFLICT, "the job id stands for other items");
	if (st != ST_OK) {
		ld_answer(res, st);
		return;
	}
	if (j) {
		fill_job(res, j, false);
		return;
	}
	fill_job(res, make_job(l, c), true);
}

/** The job that a command names; sets the answer's status when there is none. */
static ld_job_t *named_job(const ld_t *l, str_t caller, str_t name, aw_ledger_res_t *res)
{
	ld_job_t *j = ld_job_find(l, caller, name);

	if (!j)
		ld_answer(res, st_fail(ST_NOT_FOUND, "no such job"));
	return j;
}

static status_t take_items(ld_t *l, ld_job_t *j, const aw_job_items_t *c)
{
	uint64_t end = (uint64_t)c->first + c->bodies.bodies_len;
	uint32_t skip;

	if (end > j->count)
		return st_fail(ST_INVALID, "items %u to %llu of a job of %u", c->first,
			       (unsigned long long)end, j->count);
	if (end <= j->received)
		return ST_OK;
	if (j->cancelled)
		return st_fail(ST_CANCELLED, "the job is cancelled");
	if (c->first > j->received)
		return st_fail(ST_INVALID, "items from %u on are missing", j->received);
	skip = j->received - c->first;
	for (uint32_t i = skip; i < c->bodies.bodies_len; i++)
		j->running_digest =
			ld_digest_step(j->running_digest, px_str(c->bodies.bodies_val[i]));
	ld_job_take_bodies(l, j, c->bodies.bodies_val + skip, c->bodies.bodies_len - skip);
	return ST_OK;
}

void ld_job_items(ld_t *l, const aw_job_items_t *c, aw_ledger_res_t *res)
{
	ld_job_t *j = named_job(l, px_str(c->caller), px_str(c->job), res);

	if (!j)
		return;
	ld_answer(res, take_items(l, j, c));
	fill_job(res, j, false);
}

void ld_job_seal(ld_t *l, const aw_job_ref_t *c, aw_ledger_res_t *res)
{
	ld_job_t *j = named_job(l, px_str(c->caller), px_str(c->job), res);

	if (!j)
		return;
	if (j->sealed) {
		fill_job(res, j, false);
		return;
	}
	if (j->cancelled) {
		ld_answer(res, st_fail(ST_CANCELLED, "the job is cancelled"));
		fill_job(res, j, false);
		return;
	}
	if (j->received < j->count) {
		ld_answer(res, st_fail(ST_INVALID, "%u of %u items were received", j->received,
				       j->count));
		fill_job(res, j, false);
		return;
	}
	if (j->running_digest != j->digest) {
		ld_job_free(l, j);
		ld_answer(res, st_fail(ST_INVALID, "the digest is not that of the items"));
		return;
	}
	ld_heap_remove(&l->unsealed_jobs, &j->end);
	j->sealed = true;
	ld_job_enlist(j);
	ld_job_ready(j);
	ld_job_settle(l, j, c->now_wall_ms);
	fill_job(res, j, true);
}

static void cancel_holds(ld_job_t *j)
{
	for (uint16_t i = 0; i < j->nholds; i++) {
		ld_hold_t *h = j->holds[i];

		if (!h)
			continue;
		DL_DELETE(h->session->holds, h);
		DL_APPEND(h->session->cancelled, h);
	}
}

void ld_job_cancel(ld_t *l, const aw_job_ref_t *c, aw_ledger_res_t *res)
{
	ld_job_t *j = named_job(l, px_str(c->caller), px_str(c->job), res);
	bool ended;

	if (!j)
		return;
	ended = j->waiting == 0 && j->leased == 0;
	if (j->cancelled || ended) {
		fill_job(res, j, false);
		return;
	}
	if (!j->sealed)
		ld_heap_remove(&l->unsealed_jobs, &j->end);
	cancel_holds(j);
	ld_job_unready(j);
	j->cancelled = true;
	j->dropped += j->waiting;
	j->waiting = 0;
	ld_job_settle(l, j, c->now_wall_ms);
	fill_job(res, j, true);
}

/** True when the heap's smallest node is older than the bound. */
static ld_node_t *older(const ld_heap_t *h, int64_t before_ms)
{
	ld_node_t *n = ld_heap_min(h);

	return n && n->key <= before_ms ? n : NULL;
}

void ld_expire(ld_t *l, const aw_expire_t *c, aw_ledger_res_t *res)
{
	int64_t before_ms = c->now_wall_ms - c->retention_ms;
	int64_t unsealed_ms = c->now_wall_ms - LD_UNSEALED_MAX_MS;
	ld_node_t *n;

	while (res->count < LD_EXPIRE_MAX && (n = older(&l->ended_requests, before_ms))) {
		ld_request_free(l, LD_CONTAINER(n, ld_request_t, end));
		res->count++;
	}
	while (res->count < LD_EXPIRE_MAX && (n = older(&l->ended_jobs, before_ms))) {
		ld_job_free(l, LD_CONTAINER(n, ld_job_t, end));
		res->count++;
	}
	while (res->count < LD_EXPIRE_MAX && (n = older(&l->unsealed_jobs, unsealed_ms))) {
		ld_job_free(l, LD_CONTAINER(n, ld_job_t, end));
		res->count++;
	}
}
