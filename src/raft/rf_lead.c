/* The leader's side: what each member has, commit by majority, check-quorum, transfer. */
#include "raft/rf_int.h"

#include <assert.h>

static uint64_t max_u64(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

bool rf_quorum(const rf_t *r, bool (*has)(const rf_t *r, unsigned i, uint64_t arg), uint64_t arg)
{
	unsigned voters = 0;
	unsigned yes = 0;

	for (unsigned i = 0; i < r->conf.n; i++) {
		if (!r->conf.peers[i].voter)
			continue;
		voters++;
		if (has(r, i, arg))
			yes++;
	}
	return yes > voters / 2;
}

static rf_progress_t *find_progress(rf_t *r, uint64_t id)
{
	int at = rf_conf_find(&r->conf, id);

	return at < 0 || id == r->self ? NULL : &r->progress[at];
}

/* Gives each member of the present configuration its progress, keeping what is known. */
void rf_lead_rebuild_progress(rf_t *r)
{
	rf_progress_t old[GR_PEERS_MAX];
	unsigned nold = 0;

	while (nold < GR_PEERS_MAX && r->progress[nold].id != 0) {
		old[nold] = r->progress[nold];
		nold++;
	}
	for (unsigned i = 0; i < GR_PEERS_MAX; i++) {
		rf_progress_t *p = &r->progress[i];

		*p = (rf_progress_t){0};
		if (i >= r->conf.n)
			continue;
		p->id = r->conf.peers[i].id;
		p->next = rf_last(r) + 1;
		for (unsigned k = 0; k < nold; k++) {
			if (old[k].id == p->id)
				*p = old[k];
		}
	}
}

void rf_become_leader(rf_t *r)
{
	assert(r->role == RF_CANDIDATE && r->term_leader == 0);
	assert(r->synced_seq >= r->hard_seq);
	assert(rf_last(r) >= r->commit); /* leader completeness */
	r->role = RF_LEADER;
	r->leader = r->self;
	r->term_leader = r->self;
	r->elapsed = 0;
	r->heartbeat_elapsed = 0;
	r->round = 0;
	r->transfer_to = 0;
	for (unsigned i = 0; i < GR_PEERS_MAX; i++)
		r->progress[i] = (rf_progress_t){0};
	rf_lead_rebuild_progress(r);
	rf_log_append(r, (rf_entry_t){.term = r->term, .kind = RF_NOOP});
	r->term_start = rf_last(r);
	r->cb.role(r->cb.ctx, RF_LEADER, r->term);
	rf_flush(r);
}

static bool is_live(const rf_t *r, uint64_t id)
{
	int at = rf_conf_find(&r->conf, id);

	if (id == r->self)
		return true;
	return at >= 0 && r->progress[at].silent_ticks < r->election_ticks;
}

bool rf_lead_has_live_majority(const rf_t *r, const rf_conf_t *conf)
{
	unsigned voters = 0;
	unsigned live = 0;

	for (unsigned i = 0; i < conf->n; i++) {
		if (!conf->peers[i].voter)
			continue;
		voters++;
		live += is_live(r, conf->peers[i].id);
	}
	return live > voters / 2;
}

static void tick_peers(rf_t *r, bool heartbeat)
{
	for (unsigned i = 0; i < r->conf.n; i++) {
		rf_progress_t *p = &r->progress[i];

		if (p->id == r->self)
			continue;
		p->silent_ticks++;
		if (p->flow == RF_SNAPSHOT && ++p->snap_wait_ticks >= r->election_ticks)
			p->snap_sent = false;
		if (!heartbeat)
			continue;
		p->probing = false;
		rf_send_append(r, p, true);
	}
}

void rf_lead_tick(rf_t *r)
{
	bool heartbeat = ++r->heartbeat_elapsed >= r->heartbeat_ticks;

	/* Check-quorum: without a majority, another leader may be at work already. */
	if (!rf_lead_has_live_majority(r, &r->conf)) {
		rf_become_follower(r, r->term, 0);
		return;
	}
	if (r->transfer_to && ++r->transfer_ticks >= r->election_ticks)
		r->transfer_to = 0;
	if (heartbeat)
		r->heartbeat_elapsed = 0;
	tick_peers(r, heartbeat);
}

void rf_lead_flush(rf_t *r)
{
	rf_reads_begin_round(r);
	for (unsigned i = 0; i < r->conf.n; i++) {
		if (r->progress[i].id != r->self)
			rf_send_append(r, &r->progress[i], false);
	}
	rf_reads_answer(r);
}

static bool has_synced(const rf_t *r, unsigned i, uint64_t index)
{
	if (r->conf.peers[i].id == r->self)
		return r->synced >= index;
	return r->progress[i].match >= index;
}

/* The highest index that some member is known to have synced. */
static uint64_t highest_match(const rf_t *r)
{
	uint64_t high = r->synced;

	for (unsigned i = 0; i < r->conf.n; i++)
		high = max_u64(high, r->progress[i].match);
	return high;
}

static bool still_voter(const rf_t *r)
{
	int at = rf_conf_find(&r->conf, r->self);

	return at >= 0 && r->conf.peers[at].voter;
}

/* The highest index that a majority of voters has synced. */
static uint64_t majority_match(const rf_t *r)
{
	uint64_t low = r->commit;
	uint64_t high = highest_match(r);

	while (low < high) {
		uint64_t mid = low + (high - low + 1) / 2;

		if (rf_quorum(r, has_synced, mid))
			low = mid;
		else
			high = mid - 1;
	}
	return low;
}

void rf_lead_update_commit(rf_t *r)
{
	uint64_t index = majority_match(r);

	/* Entries of earlier terms are committed only together with one of this term. */
	if (index <= r->commit || index < r->term_start)
		return;
	rf_log_commit(r, index);
	if (r->conf_index <= r->commit && !still_voter(r)) {
		rf_become_follower(r, r->term, 0);
		return;
	}
	rf_reads_answer(r);
}

static void pop_inflight(rf_progress_t *p)
{
	while (p->inflight_n && p->inflight[p->inflight_head] <= p->match) {
		p->inflight_head = (p->inflight_head + 1) % RF_INFLIGHT_MAX;
		p->inflight_n--;
	}
}

static void start_probe(rf_progress_t *p, uint64_t next)
{
	p->flow = RF_PROBE;
	p->next = next;
	p->probing = false;
	p->inflight_n = 0;
}

static void handle_reject(rf_t *r, rf_progress_t *p, const rf_msg_t *m)
{
	uint64_t next = m->index < m->hint + 1 ? m->index : m->hint + 1;

	if (p->flow == RF_SNAPSHOT || m->index <= p->match || m->index >= p->next)
		return;
	start_probe(p, max_u64(next, p->match + 1));
	rf_send_append(r, p, false);
}

/* Sends the transfer's target on its way once it has the whole log. */
static void try_transfer(rf_t *r, const rf_progress_t *p)
{
	rf_msg_t m = {.type = RF_TIMEOUT_NOW};

	if (r->transfer_to == p->id && p->match == rf_last(r))
		rf_send(r, &m, p->id);
}

void rf_handle_append_resp(rf_t *r, const rf_msg_t *m)
{
	rf_progress_t *p = find_progress(r, m->from);

	if (r->role != RF_LEADER || !p)
		return;
	p->silent_ticks = 0;
	p->round = max_u64(p->round, m->round);
	if (m->reject) {
		handle_reject(r, p, m);
		rf_reads_answer(r);
		return;
	}
	assert(m->index <= rf_last(r)); /* log matching: it has verified no more than we hold */
	p->match = max_u64(p->match, m->index);
	pop_inflight(p);
	if (p->flow == RF_PROBE || (p->flow == RF_SNAPSHOT && p->match >= p->snap_index)) {
		p->flow = RF_REPLICATE;
		p->probing = false;
		p->next = p->match + 1;
		p->inflight_n = 0;
	}
	p->next = max_u64(p->next, p->match + 1);
	rf_lead_update_commit(r);
	if (r->role != RF_LEADER)
		return;
	rf_reads_answer(r);
	rf_send_append(r, p, false);
	try_transfer(r, p);
}

void rf_handle_snap_resp(rf_t *r, const rf_msg_t *m)
{
	rf_progress_t *p = find_progress(r, m->from);

	if (r->role != RF_LEADER || !p)
		return;
	p->silent_ticks = 0;
	if (p->flow != RF_SNAPSHOT || m->index != p->snap_index)
		return;
	p->snap_offset = m->hint;
	p->snap_sent = false;
	rf_send_chunk(r, p);
}

bool rf_sending_snapshot(const rf_t *r)
{
	for (unsigned i = 0; i < r->conf.n && r->role == RF_LEADER; i++) {
		if (r->progress[i].flow == RF_SNAPSHOT && is_live(r, r->progress[i].id))
			return true;
	}
	return false;
}

/* The other voter that has synced most, or NULL. */
static const rf_progress_t *most_advanced(const rf_t *r)
{
	const rf_progress_t *best = NULL;

	for (unsigned i = 0; i < r->conf.n; i++) {
		const rf_progress_t *p = &r->progress[i];

		if (p->id == r->self || !r->conf.peers[i].voter)
			continue;
		if (!best || p->match > best->match)
			best = p;
	}
	return best;
}

bool rf_transfer(rf_t *r)
{
	const rf_progress_t *best;

	if (r->role != RF_LEADER)
		return false;
	best = most_advanced(r);
	if (!best)
		return false;
	r->transfer_to = best->id;
	r->transfer_ticks = 0;
	try_transfer(r, best);
	return true;
}

void rf_lead_abandon(rf_t *r)
{
	const rf_progress_t *best = most_advanced(r);
	rf_msg_t m = {.type = RF_TIMEOUT_NOW};

	if (best)
		rf_send(r, &m, best->id);
}
