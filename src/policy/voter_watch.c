/* Which voters acknowledge nothing to the leader of a group. */
#include "policy/voter_watch.h"

typedef struct {
	const group_status_t *st;
	deadline_t now;
	int64_t grace_ms;
	void (*on_event)(void *ctx, const voter_event_t *e);
	void *ctx;
} update_t;

static void report(const update_t *u, unsigned i, voter_change_t change, int64_t ms, uint64_t match)
{
	voter_event_t e = {.change = change,
			   .voter = &u->st->peers[i],
			   .ms = ms,
			   .match = match,
			   .commit = u->st->commit};

	u->on_event(u->ctx, &e);
}

static void update_voter(const update_t *u, voter_watch_voter_t *v, unsigned i)
{
	const group_status_t *st = u->st;

	if (group_peer_is_silent(st, i, u->now, u->grace_ms)) {
		v->back_at = 0;
		v->match = st->match[i];
		if (v->silent_since)
			return;
		v->silent_since = st->ack_awaited[i];
		report(u, i, VOTER_SILENT, u->now - v->silent_since, v->match);
		return;
	}
	if (v->silent_since) {
		v->back_at = st->last_ack[i];
		v->target = st->commit;
		report(u, i, VOTER_ACKNOWLEDGES, v->back_at - v->silent_since, v->match);
		v->silent_since = 0;
	}
	if (v->back_at && st->match[i] >= v->target) {
		report(u, i, VOTER_CAUGHT_UP, u->now - v->back_at, st->match[i]);
		v->back_at = 0;
	}
}

static voter_watch_voter_t find_voter(const voter_watch_t *w, uint64_t id)
{
	for (unsigned i = 0; i < w->n; i++) {
		if (w->voters[i].id == id)
			return w->voters[i];
	}
	return (voter_watch_voter_t){.id = id};
}

void voter_watch_update(voter_watch_t *w, const group_status_t *st, deadline_t now,
			int64_t grace_ms, void (*on_event)(void *ctx, const voter_event_t *e),
			void *ctx)
{
	update_t u = {st, now, grace_ms, on_event, ctx};
	voter_watch_t next = {.leader_since = st->leader_since};

	if (w->leader_since != st->leader_since)
		w->n = 0;
	for (unsigned i = 0; i < st->npeers && st->leader; i++) {
		voter_watch_voter_t *v;

		if (!st->peers[i].voter || st->peers[i].id == st->self)
			continue;
		v = &next.voters[next.n++];
		*v = find_voter(w, st->peers[i].id);
		update_voter(&u, v, i);
	}
	*w = next;
}
