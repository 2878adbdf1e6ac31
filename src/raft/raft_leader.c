/* Leader: progress of each member, commit by majority, check-quorum, leadership transfer. */
#include "raft/raft_internal.h"

#include <assert.h>

static uint64_t max_u64(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

bool raft_has_quorum(const raft_t *r, bool (*has)(const raft_t *r, unsigned i, uint64_t arg),
		     uint64_t arg)
{
	unsigned voters = 0;
	unsigned yes = 0;

	for (unsigned i = 0; i < r->members.n; i++) {
		if (!r->members.peers[i].voter)
			continue;
		voters++;
		if (has(r, i, arg))
			yes++;
	}
	return yes > voters / 2;
}

static raft_progress_t *find_progress(raft_t *r, uint64_t id)
{
	int at = raft_members_find(&r->members, id);

	return at < 0 || id == r->self ? NULL : &r->progress[at];
}

void raft_leader_rebuild_progress(raft_t *r)
{
	raft_progress_t old[GROUP_PEERS_MAX];
	unsigned nold = 0;

	while (nold < GROUP_PEERS_MAX && r->progress[nold].id != 0) {
		old[nold] = r->progress[nold];
		nold++;
	}
	for (unsigned i = 0; i < GROUP_PEERS_MAX; i++) {
		raft_progress_t *p = &r->progress[i];

		*p = (raft_progress_t){0};
		if (i >= r->members.n)
			continue;
		p->id = r->members.peers[i].id;
		p->next = raft_last_index(r) + 1;
		for (unsigned k = 0; k < nold; k++) {
			if (old[k].id == p->id)
				*p = old[k];
		}
	}
}

void raft_become_leader(raft_t *r)
{
	assert(r->role == RAFT_CANDIDATE && r->term_leader == 0);
	assert(r->synced_seq >= r->hard_state_seq);
	assert(raft_last_index(r) >= r->commit); /* has all committed entries */
	r->role = RAFT_LEADER;
	r->leader = r->self;
	r->term_leader = r->self;
	r->election_elapsed = 0;
	r->heartbeat_elapsed = 0;
	r->round = 0;
	r->transfer_to = 0;
	for (unsigned i = 0; i < GROUP_PEERS_MAX; i++)
		r->progress[i] = (raft_progress_t){0};
	raft_leader_rebuild_progress(r);
	raft_log_append(r, (raft_entry_t){.term = r->term, .kind = RAFT_ENTRY_NOOP});
	r->term_start = raft_last_index(r);
	r->cb.role(r->cb.ctx, RAFT_LEADER, r->term);
	raft_flush(r);
}

/* True for this replica itself, and for a member that answered within the election timeout. */
static bool is_live(const raft_t *r, uint64_t id)
{
	int at = raft_members_find(&r->members, id);

	if (id == r->self)
		return true;
	return at >= 0 && r->progress[at].silent_ticks < r->election_ticks;
}

bool raft_leader_has_live_majority(const raft_t *r, const raft_members_t *members)
{
	unsigned voters = 0;
	unsigned live = 0;

	for (unsigned i = 0; i < members->n; i++) {
		if (!members->peers[i].voter)
			continue;
		voters++;
		live += is_live(r, members->peers[i].id);
	}
	return live > voters / 2;
}

static void tick_followers(raft_t *r, bool heartbeat)
{
	for (unsigned i = 0; i < r->members.n; i++) {
		raft_progress_t *p = &r->progress[i];

		if (p->id == r->self)
			continue;
		p->silent_ticks++;
		if (p->mode == RAFT_MODE_SNAPSHOT && ++p->snap_wait_ticks >= r->election_ticks)
			p->snap_sent = false;
		if (!heartbeat)
			continue;
		p->probe_pending = false;
		raft_send_append(r, p, true);
	}
}

/* True while a new leader cannot have an answer from a majority yet, over a slow path or from slow
 * disks. */
static bool awaits_first_answers(const raft_t *r)
{
	return r->commit < r->term_start && r->election_elapsed < 2 * raft_election_ticks(r);
}

void raft_leader_tick(raft_t *r)
{
	bool heartbeat = ++r->heartbeat_elapsed >= r->heartbeat_ticks;

	r->election_elapsed++;
	/* Check-quorum: if no majority answers, another leader may have been elected. */
	if (!raft_leader_has_live_majority(r, &r->members) && !awaits_first_answers(r)) {
		raft_become_follower(r, r->term, 0);
		return;
	}
	if (r->transfer_to && ++r->transfer_ticks >= r->election_ticks)
		r->transfer_to = 0;
	if (heartbeat)
		r->heartbeat_elapsed = 0;
	tick_followers(r, heartbeat);
}

void raft_leader_flush(raft_t *r)
{
	raft_reads_begin_round(r);
	for (unsigned i = 0; i < r->members.n; i++) {
		if (r->progress[i].id != r->self)
			raft_send_append(r, &r->progress[i], false);
	}
	raft_reads_complete(r);
}

static bool has_synced(const raft_t *r, unsigned i, uint64_t index)
{
	if (r->members.peers[i].id == r->self)
		return r->synced >= index;
	return r->progress[i].match >= index;
}

/* Highest index that any member has synced. */
static uint64_t highest_match(const raft_t *r)
{
	uint64_t high = r->synced;

	for (unsigned i = 0; i < r->members.n; i++)
		high = max_u64(high, r->progress[i].match);
	return high;
}

static bool is_self_voter(const raft_t *r)
{
	int at = raft_members_find(&r->members, r->self);

	return at >= 0 && r->members.peers[at].voter;
}

/* Highest index that a majority of voters has synced. */
static uint64_t majority_match(const raft_t *r)
{
	uint64_t low = r->commit;
	uint64_t high = highest_match(r);

	while (low < high) {
		uint64_t mid = low + (high - low + 1) / 2;

		if (raft_has_quorum(r, has_synced, mid))
			low = mid;
		else
			high = mid - 1;
	}
	return low;
}

void raft_leader_update_commit(raft_t *r)
{
	uint64_t index = majority_match(r);

	/* Entries of earlier terms are committed only together with one of this term: a majority
	 * holding an old entry does not prevent another leader from overwriting it. */
	if (index <= r->commit || index < r->term_start)
		return;
	r->elections = 0;
	raft_log_commit(r, index);
	if (r->members_index <= r->commit && !is_self_voter(r)) {
		raft_become_follower(r, r->term, 0);
		return;
	}
	raft_reads_complete(r);
}

static void remove_acked_inflight(raft_progress_t *p)
{
	while (p->inflight_n && p->inflight[p->inflight_head].last <= p->match) {
		p->inflight_bytes -= p->inflight[p->inflight_head].bytes;
		p->inflight_head = (p->inflight_head + 1) % RAFT_INFLIGHT_MAX;
		p->inflight_n--;
	}
}

static void forget_inflight(raft_progress_t *p)
{
	p->inflight_n = 0;
	p->inflight_bytes = 0;
}

static void start_probe(raft_progress_t *p, uint64_t next)
{
	p->mode = RAFT_MODE_PROBE;
	p->next = next;
	p->probe_pending = false;
	forget_inflight(p);
}

static void handle_append_reject(raft_t *r, raft_progress_t *p, const raft_msg_t *m)
{
	/* The hint is the highest index at which the follower's log may match. */
	uint64_t next = m->index < m->hint + 1 ? m->index : m->hint + 1;

	if (p->mode == RAFT_MODE_SNAPSHOT || m->index <= p->match || m->index >= p->next)
		return;
	start_probe(p, max_u64(next, p->match + 1));
	raft_send_append(r, p, false);
}

/* Sends TIMEOUT_NOW to the transfer target once it has the whole log. */
static void send_timeout_now_if_caught_up(raft_t *r, const raft_progress_t *p)
{
	raft_msg_t m = {.type = RAFT_TIMEOUT_NOW};

	if (r->transfer_to == p->id && p->match == raft_last_index(r))
		raft_send_msg(r, &m, p->id);
}

/* Sends a snapshot chunk again that was sent while the member took no part. A transfer that has not
 * got anywhere begins with the newest snapshot. */
static void resume_snapshot(raft_t *r, raft_progress_t *p)
{
	if (p->mode != RAFT_MODE_SNAPSHOT)
		return;
	if (p->snap_offset == 0)
		p->snap_index = 0;
	p->snap_sent = false;
	raft_send_snap_chunk(r, p);
}

void raft_handle_append_resp(raft_t *r, const raft_msg_t *m)
{
	raft_progress_t *p = find_progress(r, m->from);
	bool was_silent;

	if (r->role != RAFT_LEADER || !p)
		return;
	was_silent = p->silent_ticks >= r->election_ticks;
	p->silent_ticks = 0;
	if (was_silent)
		resume_snapshot(r, p);
	p->round_acked = max_u64(p->round_acked, m->round);
	if (m->reject) {
		handle_append_reject(r, p, m);
		raft_reads_complete(r);
		return;
	}
	/* A follower acknowledges only entries that it has matched with this log. */
	assert(m->index <= raft_last_index(r));
	p->match = max_u64(p->match, m->index);
	remove_acked_inflight(p);
	if (p->mode == RAFT_MODE_PROBE ||
	    (p->mode == RAFT_MODE_SNAPSHOT && p->match >= p->snap_index)) {
		p->mode = RAFT_MODE_REPLICATE;
		p->probe_pending = false;
		p->next = p->match + 1;
		forget_inflight(p);
	}
	p->next = max_u64(p->next, p->match + 1);
	raft_leader_update_commit(r);
	if (r->role != RAFT_LEADER)
		return;
	raft_reads_complete(r);
	raft_send_append(r, p, false);
	send_timeout_now_if_caught_up(r, p);
}

void raft_handle_snap_resp(raft_t *r, const raft_msg_t *m)
{
	raft_progress_t *p = find_progress(r, m->from);

	if (r->role != RAFT_LEADER || !p)
		return;
	p->silent_ticks = 0;
	if (p->mode != RAFT_MODE_SNAPSHOT || m->index != p->snap_index)
		return;
	p->snap_offset = m->hint;
	p->snap_sent = false;
	raft_send_snap_chunk(r, p);
}

bool raft_sending_snapshot(const raft_t *r)
{
	for (unsigned i = 0; i < r->members.n && r->role == RAFT_LEADER; i++) {
		if (r->progress[i].mode == RAFT_MODE_SNAPSHOT && is_live(r, r->progress[i].id))
			return true;
	}
	return false;
}

/* Returns the other voter that has synced the most entries; NULL if there is no other voter. */
static const raft_progress_t *most_advanced_voter(const raft_t *r)
{
	const raft_progress_t *best = NULL;

	for (unsigned i = 0; i < r->members.n; i++) {
		const raft_progress_t *p = &r->progress[i];

		if (p->id == r->self || !r->members.peers[i].voter)
			continue;
		if (!best || p->match > best->match)
			best = p;
	}
	return best;
}

bool raft_transfer_leadership(raft_t *r)
{
	const raft_progress_t *best;

	if (r->role != RAFT_LEADER)
		return false;
	best = most_advanced_voter(r);
	if (!best)
		return false;
	r->transfer_to = best->id;
	r->transfer_ticks = 0;
	send_timeout_now_if_caught_up(r, best);
	return true;
}

void raft_leader_hand_over(raft_t *r)
{
	const raft_progress_t *best = most_advanced_voter(r);
	raft_msg_t m = {.type = RAFT_TIMEOUT_NOW};

	if (best)
		raft_send_msg(r, &m, best->id);
}
