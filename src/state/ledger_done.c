/* The commands DONE and SESSIONS_LOST. */
#include "state/ledger_internal.h"

/** Counts a run without a result by its blame, then queues the item again, or ends it as failed if
 * it has reached a limit. */
static void handle_item_failure(ledger_t *l, ledger_job_t *j, uint32_t index, wire_blame_t blame,
				str_t reason)
{
	ledger_item_t *it = &j->items[index];
	bool suspect = blame == WIRE_BLAME_ITEM;

	if (blame == WIRE_BLAME_ITEM)
		it->fails++;
	if (blame == WIRE_BLAME_REPLICA) {
		it->deaths++;
		suspect = it->deaths >= LEDGER_DEATHS_ALONE_MIN;
	}
	if (it->fails >= LEDGER_ITEM_FAILS_MAX || it->deaths >= LEDGER_DEATHS_MAX) {
		ledger_item_finalize(l, j, index, LEDGER_ITEM_FAILED, reason);
		j->failed++;
		return;
	}
	it->state = LEDGER_ITEM_WAITING;
	j->waiting++;
	ledger_item_queue_push(j, suspect ? &j->retry : &j->returned, index);
	ledger_job_enqueue(j);
}

/** Applies a result to an item that was just taken from its lease. With r->done false the item has
 * no result and may run again. */
static void apply_item_result(ledger_t *l, ledger_job_t *j, const wire_item_result_t *r)
{
	if (j->cancelled) {
		ledger_item_finalize(l, j, r->index, LEDGER_ITEM_DROPPED, (str_t){0});
		j->dropped++;
		return;
	}
	if (!r->done) {
		handle_item_failure(l, j, r->index, r->blame, wire_str(r->body));
		return;
	}
	ledger_item_finalize(l, j, r->index, LEDGER_ITEM_DONE, wire_str(r->body));
	j->done++;
}

/** Returns true if the session holds the item under the attempt of the result. */
static bool is_leased_to(const ledger_job_t *j, uint64_t session, const wire_item_result_t *r)
{
	const ledger_item_t *it;

	if (!j || r->index >= j->received)
		return false;
	it = &j->items[r->index];
	return it->state == LEDGER_ITEM_LEASED && it->attempts == r->attempt &&
	       j->job_leases[it->job_lease]->session->id == session;
}

/** Applies one result; returns false if it must be counted as dropped. */
static bool apply_result(ledger_t *l, uint64_t session, int64_t now_ms, const wire_item_result_t *r)
{
	ledger_job_t *j;
	bool cancelled;

	if (r->job.wire_bytes_t_len == 0)
		return ledger_request_take_result(l, session, now_ms, r);
	j = ledger_job_find(l, wire_str(r->caller), wire_str(r->job));
	if (!is_leased_to(j, session, r))
		return false;
	cancelled = j->cancelled;
	ledger_job_lease_remove_item(l, j, r->index);
	apply_item_result(l, j, r);
	ledger_job_check_end(l, j, now_ms);
	return !cancelled;
}

void ledger_done(ledger_t *l, const wire_done_t *c, wire_ledger_res_t *res)
{
	status_t st = ledger_check_session(l, c->session);
	ledger_session_t *s;

	if (st != STATUS_OK) {
		l->late_dropped += c->results.results_len;
		ledger_set_status(res, st);
		return;
	}
	for (uint32_t i = 0; i < c->results.results_len; i++) {
		if (apply_result(l, c->session, c->now_wall_ms, &c->results.results_val[i]))
			res->count++;
		else
			l->late_dropped++;
	}
	s = ledger_find_session(l, c->session);
	if (s)
		ledger_fill_cancelled_jobs(s, res);
}

/** Takes the items of one job from a lost session: they wait again, in the order in which they were
 * leased, or are dropped if the job is cancelled. */
static void return_job_lease(ledger_t *l, ledger_job_lease_t *jl, int64_t now_ms)
{
	ledger_job_t *j = jl->job;
	wire_item_result_t no_result = {.blame = WIRE_BLAME_NONE};

	for (uint32_t left = jl->n; left > 0; left--) {
		no_result.index = jl->items.head;
		ledger_job_lease_remove_item(l, j, no_result.index);
		apply_item_result(l, j, &no_result);
	}
	ledger_job_check_end(l, j, now_ms);
}

void ledger_sessions_lost(ledger_t *l, const wire_sessions_lost_t *c, wire_ledger_res_t *res)
{
	for (uint32_t i = 0; i < c->sessions.sessions_len; i++) {
		ledger_session_t *s = ledger_find_session(l, c->sessions.sessions_val[i]);

		ledger_mark_session_lost(l, c->sessions.sessions_val[i]);
		res->count++;
		if (!s)
			continue;
		ledger_requests_lost(l, s, c->now_wall_ms);
		while (s->job_leases)
			return_job_lease(l, s->job_leases, c->now_wall_ms);
		while (s->cancelled_leases)
			return_job_lease(l, s->cancelled_leases, c->now_wall_ms);
		ledger_session_free(l, s);
	}
}
