/* The commands JOB_OPEN, JOB_ITEMS, JOB_SEAL, JOB_CANCEL and EXPIRE. */
#include <assert.h>
#include <stdlib.h>
#include <utlist.h>
#include "state/ledger_internal.h"

/** Fills in the job of an answer. fresh: this command opened, sealed or cancelled the job. */
static void fill_job_result(wire_ledger_res_t *res, const ledger_job_t *j, bool fresh)
{
	ledger_job_fill_status(j, &res->job);
	res->job.fresh = fresh;
}

static status_t check_job_open(const wire_job_open_t *c)
{
	if (c->caller.wire_bytes_t_len == 0 || c->job.wire_bytes_t_len == 0 ||
	    c->service.wire_bytes_t_len == 0)
		return status_fail(STATUS_INVALID, "caller, job and service must be set");
	if (c->count == 0 || c->count > LEDGER_JOB_ITEMS_MAX)
		return status_fail(STATUS_INVALID, "a job holds 1 to %d items, not %u",
				   LEDGER_JOB_ITEMS_MAX, c->count);
	return STATUS_OK;
}

static ledger_job_t *create_job(ledger_t *l, const wire_job_open_t *c)
{
	ledger_job_t *j = mem_new(sizeof(*j));

	j->id = ledger_id_new(wire_str(c->caller), wire_str(c->job));
	j->serial = ++l->serial;
	j->digest = c->digest;
	j->deadline_ms = c->deadline_wall_ms;
	j->service = ledger_get_service(l, wire_str(c->service));
	j->trace = ledger_copy_bytes(wire_str(c->trace));
	j->trace_n = c->trace.wire_bytes_t_len;
	j->share = c->share ? c->share : 1;
	j->count = c->count;
	j->waiting = c->count;
	ledger_job_add(l, j);
	j->expiry_node.key = c->now_wall_ms;
	j->expiry_node.serial = j->serial;
	ledger_heap_push(&l->unsealed_jobs, &j->expiry_node);
	return j;
}

/** Returns true if JOB_OPEN has the digest, count and service of this job: it counts as a resend.
 */
static bool same_job(const ledger_job_t *j, const wire_job_open_t *c)
{
	str_t service = {j->service->name, j->service->name_n};

	return j->digest == c->digest && j->count == c->count &&
	       str_eq(service, wire_str(c->service));
}

void ledger_job_open(ledger_t *l, const wire_job_open_t *c, wire_ledger_res_t *res)
{
	ledger_job_t *j = ledger_job_find(l, wire_str(c->caller), wire_str(c->job));
	status_t st = check_job_open(c);

	if (st == STATUS_OK && j && !same_job(j, c))
		st = status_fail(STATUS_CONFLICT, "the job id is in use for other items");
	if (st != STATUS_OK) {
		ledger_set_status(res, st);
		return;
	}
	if (j) {
		fill_job_result(res, j, false);
		return;
	}
	fill_job_result(res, create_job(l, c), true);
}

/** Returns the job named in a command; if there is none, sets STATUS_NOT_FOUND and returns NULL. */
static ledger_job_t *find_job_or_fail(const ledger_t *l, str_t caller, str_t name,
				      wire_ledger_res_t *res)
{
	ledger_job_t *j = ledger_job_find(l, caller, name);

	if (!j)
		ledger_set_status(res, status_fail(STATUS_NOT_FOUND, "no such job"));
	return j;
}

/** Adds the items that were not received yet. */
static status_t receive_items(ledger_t *l, ledger_job_t *j, const wire_job_items_t *c)
{
	uint64_t end = (uint64_t)c->first + c->bodies.bodies_len;
	uint32_t skip;

	if (end > j->count)
		return status_fail(STATUS_INVALID, "items %u to %llu are outside a job of %u items",
				   c->first, (unsigned long long)end, j->count);
	if (end <= j->received)
		return STATUS_OK;
	if (j->cancelled)
		return status_fail(STATUS_CANCELLED, "the job is cancelled");
	if (c->first > j->received)
		return status_fail(STATUS_INVALID, "items from %u on are missing", j->received);
	skip = j->received - c->first;
	for (uint32_t i = skip; i < c->bodies.bodies_len; i++)
		j->running_digest =
			ledger_digest_step(j->running_digest, wire_str(c->bodies.bodies_val[i]));
	ledger_job_add_bodies(l, j, c->bodies.bodies_val + skip, c->bodies.bodies_len - skip);
	return STATUS_OK;
}

void ledger_job_add_items(ledger_t *l, const wire_job_items_t *c, wire_ledger_res_t *res)
{
	ledger_job_t *j = find_job_or_fail(l, wire_str(c->caller), wire_str(c->job), res);

	if (!j)
		return;
	ledger_set_status(res, receive_items(l, j, c));
	fill_job_result(res, j, false);
}

void ledger_job_seal(ledger_t *l, const wire_job_ref_t *c, wire_ledger_res_t *res)
{
	ledger_job_t *j = find_job_or_fail(l, wire_str(c->caller), wire_str(c->job), res);

	if (!j)
		return;
	if (j->sealed) {
		fill_job_result(res, j, false);
		return;
	}
	if (j->cancelled) {
		ledger_set_status(res, status_fail(STATUS_CANCELLED, "the job is cancelled"));
		fill_job_result(res, j, false);
		return;
	}
	if (j->received < j->count) {
		ledger_set_status(res, status_fail(STATUS_INVALID, "%u of %u items were received",
						   j->received, j->count));
		fill_job_result(res, j, false);
		return;
	}
	if (j->running_digest != j->digest) {
		ledger_job_free(l, j);
		ledger_set_status(res,
				  status_fail(STATUS_INVALID, "digest does not match the items"));
		return;
	}
	ledger_heap_remove(&l->unsealed_jobs, &j->expiry_node);
	j->sealed = true;
	ledger_job_join_lane(j);
	ledger_job_enqueue(j);
	ledger_job_check_end(l, j, c->now_wall_ms);
	fill_job_result(res, j, true);
}

/** Moves the leases of the job to the cancelled leases of their sessions. */
static void cancel_job_leases(ledger_job_t *j)
{
	for (uint16_t i = 0; i < j->njob_leases; i++) {
		ledger_job_lease_t *jl = j->job_leases[i];

		if (!jl)
			continue;
		DL_DELETE(jl->session->job_leases, jl);
		DL_APPEND(jl->session->cancelled_leases, jl);
	}
}

void ledger_job_cancel(ledger_t *l, const wire_job_ref_t *c, wire_ledger_res_t *res)
{
	ledger_job_t *j = find_job_or_fail(l, wire_str(c->caller), wire_str(c->job), res);
	bool ended;

	if (!j)
		return;
	ended = j->waiting == 0 && j->leased == 0;
	if (j->cancelled || ended) {
		fill_job_result(res, j, false);
		return;
	}
	if (!j->sealed)
		ledger_heap_remove(&l->unsealed_jobs, &j->expiry_node);
	cancel_job_leases(j);
	ledger_job_dequeue(j);
	j->cancelled = true;
	j->dropped += j->waiting;
	j->waiting = 0;
	ledger_job_check_end(l, j, c->now_wall_ms);
	fill_job_result(res, j, true);
}

/** Returns the heap's smallest node if its time is at or before up_to_ms, else NULL. */
static ledger_heap_node_t *oldest_up_to(const ledger_heap_t *h, int64_t up_to_ms)
{
	ledger_heap_node_t *n = ledger_heap_min(h);

	return n && n->key <= up_to_ms ? n : NULL;
}

void ledger_expire(ledger_t *l, const wire_expire_t *c, wire_ledger_res_t *res)
{
	int64_t up_to_ms = c->now_wall_ms - c->retention_ms;
	int64_t unsealed_ms = c->now_wall_ms - LEDGER_UNSEALED_MAX_MS;
	ledger_heap_node_t *n;

	while (res->count < LEDGER_EXPIRE_MAX && (n = oldest_up_to(&l->ended_requests, up_to_ms))) {
		ledger_request_free(l, LEDGER_CONTAINER_OF(n, ledger_request_t, expiry_node));
		res->count++;
	}
	while (res->count < LEDGER_EXPIRE_MAX && (n = oldest_up_to(&l->ended_jobs, up_to_ms))) {
		ledger_job_free(l, LEDGER_CONTAINER_OF(n, ledger_job_t, expiry_node));
		res->count++;
	}
	while (res->count < LEDGER_EXPIRE_MAX &&
	       (n = oldest_up_to(&l->unsealed_jobs, unsealed_ms))) {
		ledger_job_free(l, LEDGER_CONTAINER_OF(n, ledger_job_t, expiry_node));
		res->count++;
	}
}
