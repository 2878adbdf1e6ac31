#include <string.h>
#include "state/ld_core.h"

static void answer(aw_query_res_t *res, status_t st)
{
	res->status = (int)st;
	if (st != ST_OK)
		res->message = px_copy(str_c(st_message()));
}

static void query_request(const ld_t *l, const aw_request_ref_t *q, aw_query_res_t *res)
{
	const ld_request_t *r = ld_request_find(l, px_str(q->caller), px_str(q->key));

	if (!r)
		answer(res, st_fail(ST_NOT_FOUND, "no such request"));
	else
		ld_request_fill(r, &res->record);
}

/** The job that a query names; unsealed ones aren't accepted yet. */
static const ld_job_t *query_job(const ld_t *l, str_t caller, str_t name, aw_query_res_t *res)
{
	const ld_job_t *j = ld_job_find(l, caller, name);

	if (!j)
		answer(res, st_fail(ST_NOT_FOUND, "no such job"));
	return j;
}

static void one_job(const ld_t *l, const aw_job_ref_t *q, aw_query_res_t *res)
{
	const ld_job_t *j = query_job(l, px_str(q->caller), px_str(q->job), res);

	if (!j)
		return;
	res->jobs.jobs_val = mem_new(sizeof(aw_job_t));
	res->jobs.jobs_len = 1;
	ld_job_fill(j, &res->jobs.jobs_val[0]);
}

static uint32_t page(uint32_t asked, uint32_t max)
{
	return asked == 0 || asked > max ? max : asked;
}

static void many_jobs(const ld_t *l, const aw_jobs_ref_t *q, aw_query_res_t *res)
{
	uint32_t max = page(q->max, LD_JOBS_PAGE_MAX);
	str_t name = px_str(q->caller);
	const ld_caller_t *c;
	const ld_job_t *j;

	HASH_FIND(hh, l->callers, name.p, name.n, c);
	j = c ? c->jobs : NULL;
	if (q->after.aw_bytes_t_len) {
		j = query_job(l, name, px_str(q->after), res);
		j = j ? j->caller_next : NULL;
	}
	if (!j)
		return;
	res->jobs.jobs_val = mem_new(max * sizeof(aw_job_t));
	for (; j && res->jobs.jobs_len < max; j = j->caller_next)
		ld_job_fill(j, &res->jobs.jobs_val[res->jobs.jobs_len++]);
}

static aw_state_t public_state(ld_item_state_t st)
{
	switch (st) {
	case LD_DONE:
		return AW_DONE;
	case LD_FAILED:
		return AW_FAILED;
	case LD_DROPPED:
		return AW_CANCELLED;
	default:
		return AW_ACCEPTED;
	}
}

static size_t fill_state(const ld_job_t *j, uint32_t index, aw_item_state_t *out)
{
	ld_item_state_t st = ld_item_state(j, index);
	const ld_item_t *it = &j->items[index];

	out->index = index;
	out->state = public_state(st);
	out->attempts = it->attempts;
	if (st != LD_DONE && st != LD_FAILED)
		return 0;
	out->body = px_copy((str_t){it->data, it->len});
	return it->len;
}

static void results(const ld_t *l, const aw_results_ref_t *q, aw_query_res_t *res)
{
	const ld_job_t *j = query_job(l, px_str(q->caller), px_str(q->job), res);
	uint32_t max = page(q->max, LD_RESULTS_PAGE_MAX);
	size_t bytes = 0;

	if (!j || q->first >= j->received)
		return;
	if (max > j->received - q->first)
		max = j->received - q->first;
	res->items.items_val = mem_new(max * sizeof(aw_item_state_t));
	for (uint32_t i = 0; i < max && bytes < LD_RESULTS_BYTES_MAX; i++)
		bytes += fill_state(j, q->first + i, &res->items.items_val[res->items.items_len++]);
}

void ld_query(const ld_t *l, const aw_query_t *q, aw_query_res_t *res)
{
	memset(res, 0, sizeof(*res));
	switch (q->kind) {
	case AW_QUERY_REQUEST:
		query_request(l, &q->aw_query_t_u.request, res);
		break;
	case AW_QUERY_JOB:
		one_job(l, &q->aw_query_t_u.job, res);
		break;
	case AW_QUERY_JOBS:
		many_jobs(l, &q->aw_query_t_u.jobs, res);
		break;
	case AW_QUERY_RESULTS:
		results(l, &q->aw_query_t_u.results, res);
		break;
	default:
		answer(res, st_fail(ST_INVALID, "not a query of a ledger group"));
	}
}
