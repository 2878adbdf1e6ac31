#include "state/ledger_internal.h"

/** Books an item's failed run and puts it back, or ends it when its bounds are used up. */
static void item_failed(ledger_t *l, ledger_job_t *j, uint32_t index, wire_blame_t blame,
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
	ledger_item_queue_push(j, suspect ? &j->retry : &j->back, index);
	ledger_job_enqueue(j);
}

/** Takes a leased item's end; the item is off its hold. */
static void item_result(ledger_t *l, ledger_job_t *j, const wire_item_result_t *r)
{
	if (j->cancelled) {
		ledger_item_finalize(l, j, r->index, LEDGER_ITEM_DROPPED, (str_t){0});
		j->dropped++;
		return;
	}
	if (!r->done) {
		item_failed(l, j, r->index, r->blame, wire_str(r->body));
		return;
	}
	ledger_item_finalize(l, j, r->index, LEDGER_ITEM_DONE, wire_str(r->body));
	j->done++;
}

static bool holds(const ledger_job_t *j, uint64_t session, const wire_item_result_t *r)
{
	const ledger_item_t *it;

	if (!j || r->index >= j->received)
		return false;
	it = &j->items[r->index];
	return it->state == LEDGER_ITEM_LEASED && it->attempts == r->attempt &&
	       j->holds[it->hold]->session->id == session;
}

static bool take_result(ledger_t *l, uint64_t session, int64_t now_ms, const wire_item_result_t *r)
{
	ledger_job_t *j;
	bool cancelled;

	if (r->job.wire_bytes_t_len == 0)
		return ledger_request_take_result(l, session, now_ms, r);
	j = ledger_job_find(l, wire_str(r->caller), wire_str(r->job));
	if (!holds(j, session, r))
		return false;
	cancelled = j->cancelled;
	ledger_job_lease_remove_item(l, j, r->index);
	item_result(l, j, r);
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
		if (take_result(l, c->session, c->now_wall_ms, &c->results.results_val[i]))
			res->count++;
		else
			l->late_dropped++;
	}
	s = ledger_find_session(l, c->session);
	if (s)
		ledger_fill_cancelled_jobs(s, res);
}

/** Gives a lost session's items of one job back, in the order they were leased. */
static void hold_lost(ledger_t *l, ledger_job_lease_t *h, int64_t now_ms)
{
	ledger_job_t *j = h->job;
	wire_item_result_t back = {.blame = WIRE_BLAME_NONE};

	for (uint32_t left = h->n; left > 0; left--) {
		back.index = h->items.head;
		ledger_job_lease_remove_item(l, j, back.index);
		item_result(l, j, &back);
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
		while (s->holds)
			hold_lost(l, s->holds, c->now_wall_ms);
		while (s->cancelled)
			hold_lost(l, s->cancelled, c->now_wall_ms);
		ledger_session_free(l, s);
	}
}
