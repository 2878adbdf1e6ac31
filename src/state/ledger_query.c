/* Queries of the ledger's state. */
#include <string.h>
#include "state/ledger_internal.h"

static void set_query_status(wire_query_res_t *res, status_t st)
{
	res->status = (int)st;
	if (st != STATUS_OK)
		res->message = wire_copy(str_c(status_message()));
}

static void query_request(const ledger_t *l, const wire_request_ref_t *q, wire_query_res_t *res)
{
	const ledger_request_t *r = ledger_request_find(l, wire_str(q->caller), wire_str(q->key));

	if (!r)
		set_query_status(res, status_fail(STATUS_NOT_FOUND, "no such request"));
	else
		ledger_request_fill_record(r, &res->record);
}

/** Returns the job named in a query; if there is none, sets STATUS_NOT_FOUND and returns NULL. */
static const ledger_job_t *find_job_or_fail(const ledger_t *l, str_t caller, str_t name,
					    wire_query_res_t *res)
{
	const ledger_job_t *j = ledger_job_find(l, caller, name);

	if (!j)
		set_query_status(res, status_fail(STATUS_NOT_FOUND, "no such job"));
	return j;
}

static void query_job_status(const ledger_t *l, const wire_job_ref_t *q, wire_query_res_t *res)
{
	const ledger_job_t *j = find_job_or_fail(l, wire_str(q->caller), wire_str(q->job), res);

	if (!j)
		return;
	res->jobs.jobs_val = mem_new(sizeof(wire_job_t));
	res->jobs.jobs_len = 1;
	ledger_job_fill_status(j, &res->jobs.jobs_val[0]);
}

/** Size of a page: the one asked for, up to max; 0 asks for max. */
static uint32_t page_size(uint32_t asked, uint32_t max)
{
	return asked == 0 || asked > max ? max : asked;
}

static void query_jobs(const ledger_t *l, const wire_jobs_ref_t *q, wire_query_res_t *res)
{
	uint32_t max = page_size(q->max, LEDGER_JOBS_PAGE_MAX);
	str_t name = wire_str(q->caller);
	const ledger_caller_t *c;
	const ledger_job_t *j;

	HASH_FIND(hh, l->callers, name.p, name.n, c);
	j = c ? c->jobs : NULL;
	if (q->after.wire_bytes_t_len) {
		j = find_job_or_fail(l, name, wire_str(q->after), res);
		j = j ? j->caller_next : NULL;
	}
	if (!j)
		return;
	res->jobs.jobs_val = mem_new(max * sizeof(wire_job_t));
	for (; j && res->jobs.jobs_len < max; j = j->caller_next)
		ledger_job_fill_status(j, &res->jobs.jobs_val[res->jobs.jobs_len++]);
}

/** State of an item as callers see it. */
static wire_state_t public_state(ledger_item_state_t st)
{
	switch (st) {
	case LEDGER_ITEM_DONE:
		return WIRE_DONE;
	case LEDGER_ITEM_FAILED:
		return WIRE_FAILED;
	case LEDGER_ITEM_DROPPED:
		return WIRE_CANCELLED;
	default:
		return WIRE_ACCEPTED;
	}
}

/** Fills in the state of an item and its result; returns the length of the result. */
static size_t fill_item_state(const ledger_job_t *j, uint32_t index, wire_item_state_t *out)
{
	ledger_item_state_t st = ledger_item_state(j, index);
	const ledger_item_t *it = &j->items[index];

	out->index = index;
	out->state = public_state(st);
	out->attempts = it->attempts;
	if (st != LEDGER_ITEM_DONE && st != LEDGER_ITEM_FAILED)
		return 0;
	out->body = wire_copy((str_t){it->data, it->len});
	return it->len;
}

static void query_results(const ledger_t *l, const wire_results_ref_t *q, wire_query_res_t *res)
{
	const ledger_job_t *j = find_job_or_fail(l, wire_str(q->caller), wire_str(q->job), res);
	uint32_t max = page_size(q->max, LEDGER_RESULTS_PAGE_MAX);
	size_t bytes = 0;

	if (!j || q->first >= j->received)
		return;
	if (max > j->received - q->first)
		max = j->received - q->first;
	res->items.items_val = mem_new(max * sizeof(wire_item_state_t));
	for (uint32_t i = 0; i < max && bytes < LEDGER_RESULTS_BYTES_MAX; i++)
		bytes += fill_item_state(j, q->first + i,
					 &res->items.items_val[res->items.items_len++]);
}

void ledger_query(const ledger_t *l, const wire_query_t *q, wire_query_res_t *res)
{
	memset(res, 0, sizeof(*res));
	switch (q->kind) {
	case WIRE_QUERY_REQUEST:
		query_request(l, &q->wire_query_t_u.request, res);
		break;
	case WIRE_QUERY_JOB:
		query_job_status(l, &q->wire_query_t_u.job, res);
		break;
	case WIRE_QUERY_JOBS:
		query_jobs(l, &q->wire_query_t_u.jobs, res);
		break;
	case WIRE_QUERY_RESULTS:
		query_results(l, &q->wire_query_t_u.results, res);
		break;
	default:
		set_query_status(res, status_fail(STATUS_INVALID, "not a query of a ledger group"));
	}
}
