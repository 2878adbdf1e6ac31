#include "state/ld_core.h"

/** Books an item's failed run and puts it back, or ends it when its bounds are used up. */
static void item_failed(ld_t *l, ld_job_t *j, uint32_t index, aw_blame_t blame, str_t reason)
{
	ld_item_t *it = &j->items[index];
	bool suspect = blame == AW_BLAME_ITEM;

	if (blame == AW_BLAME_ITEM)
		it->fails++;
	if (blame == AW_BLAME_REPLICA) {
		it->deaths++;
		suspect = it->deaths >= LD_DEATHS_ALONE;
	}
	if (it->fails >= LD_ITEM_ATTEMPTS || it->deaths >= LD_DEATHS_MAX) {
		ld_item_end(l, j, index, LD_FAILED, reason);
		j->failed++;
		return;
	}
	it->state = LD_WAITING;
	j->waiting++;
	ld_queue_push(j, suspect ? &j->retry : &j->back, index);
	ld_job_ready(j);
}

/** Takes a leased item's end; the item is off its hold. */
static void item_result(ld_t *l, ld_job_t *j, const aw_item_result_t *r)
{
	if (j->cancelled) {
		ld_item_end(l, j, r->index, LD_DROPPED, (str_t){0});
		j->dropped++;
		return;
	}
	if (!r->done) {
		item_failed(l, j, r->index, r->blame, px_str(r->body));
		return;
	}
	ld_item_end(l, j, r->index, LD_DONE, px_str(r->body));
	j->done++;
}

static bool holds(const ld_job_t *j, uint64_t session, const aw_item_result_t *r)
{
	const ld_item_t *it;

	if (!j || r->index >= j->received)
		return false;
	it = &j->items[r->index];
	return it->state == LD_LEASED && it->attempts == r->attempt &&
	       j->holds[it->hold]->session->id == session;
}

static bool take_result(ld_t *l, uint64_t session, int64_t now_ms, const aw_item_result_t *r)
{
	ld_job_t *j;
	bool cancelled;

	if (r->job.aw_bytes_t_len == 0)
		return ld_request_result(l, session, now_ms, r);
	j = ld_job_find(l, px_str(r->caller), px_str(r->job));
	if (!holds(j, session, r))
		return false;
	cancelled = j->cancelled;
	ld_hold_drop(l, j, r->index);
	item_result(l, j, r);
	ld_job_settle(l, j, now_ms);
	return !cancelled;
}

void ld_done(ld_t *l, const aw_done_t *c, aw_ledger_res_t *res)
{
	status_t st = ld_check_session(l, c->session);
	ld_session_t *s;

	if (st != ST_OK) {
		l->late_dropped += c->results.results_len;
		ld_answer(res, st);
		return;
	}
	for (uint32_t i = 0; i < c->results.results_len; i++) {
		if (take_result(l, c->session, c->now_wall_ms, &c->results.results_val[i]))
			res->count++;
		else
			l->late_dropped++;
	}
	s = ld_session_find(l, c->session);
	if (s)
		ld_fill_cancelled(s, res);
}

/** Gives a lost session's items of one job back, in the order they were leased. */
static void hold_lost(ld_t *l, ld_hold_t *h, int64_t now_ms)
{
	ld_job_t *j = h->job;
	aw_item_result_t back = {.blame = AW_BLAME_NONE};

	for (uint32_t left = h->n; left > 0; left--) {
		back.index = h->items.head;
		ld_hold_drop(l, j, back.index);
		item_result(l, j, &back);
	}
	ld_job_settle(l, j, now_ms);
}

void ld_sessions_lost(ld_t *l, const aw_sessions_lost_t *c, aw_ledger_res_t *res)
{
	for (uint32_t i = 0; i < c->sessions.sessions_len; i++) {
		ld_session_t *s = ld_session_find(l, c->sessions.sessions_val[i]);

		ld_mark_lost(l, c->sessions.sessions_val[i]);
		res->count++;
		if (!s)
			continue;
		ld_requests_lost(l, s, c->now_wall_ms);
		while (s->holds)
			hold_lost(l, s->holds, c->now_wall_ms);
		while (s->cancelled)
			hold_lost(l, s->cancelled, c->now_wall_ms);
		ld_session_free(l, s);
	}
}
