/* Linearizable reads (read index): a read completes once a majority has confirmed the leader in a
 * round of messages begun after the read, and the read's index is applied. */
#include "raft/raft_internal.h"

#include <string.h>

bool raft_read_index(raft_t *r, uint64_t token)
{
	uint64_t index = r->commit > r->term_start ? r->commit : r->term_start;

	if (r->role != RAFT_LEADER || r->failed)
		return false;
	if (r->nreads == r->reads_cap) {
		r->reads_cap = r->reads_cap ? r->reads_cap * 2 : 16;
		r->reads = mem_grow(r->reads, r->reads_cap * sizeof(*r->reads));
	}
	/* A leader knows the full commit index only once an entry of its own term is committed, so
	 * reads wait at least for the first entry of the term. */
	r->reads[r->nreads++] = (raft_pending_read_t){token, 0, index};
	return true;
}

void raft_reads_begin_round(raft_t *r)
{
	if (r->nreads == 0 || r->reads[r->nreads - 1].round != 0)
		return;
	r->round++;
	for (size_t i = r->nreads; i > 0 && r->reads[i - 1].round == 0; i--)
		r->reads[i - 1].round = r->round;
}

static bool acked_round(const raft_t *r, unsigned i, uint64_t round)
{
	return r->members.peers[i].id == r->self || r->progress[i].round_acked >= round;
}

void raft_reads_complete(raft_t *r)
{
	size_t done = 0;

	while (done < r->nreads) {
		const raft_pending_read_t *rd = &r->reads[done];

		if (rd->round == 0 || rd->index > r->applied)
			break;
		if (!raft_has_quorum(r, acked_round, rd->round))
			break;
		done++;
	}
	if (done == 0)
		return;
	for (size_t i = 0; i < done; i++)
		r->cb.read_done(r->cb.ctx, r->reads[i].token, true);
	r->nreads -= done;
	memmove(r->reads, r->reads + done, r->nreads * sizeof(*r->reads));
}

void raft_reads_fail(raft_t *r)
{
	size_t n = r->nreads;

	r->nreads = 0;
	for (size_t i = 0; i < n; i++)
		r->cb.read_done(r->cb.ctx, r->reads[i].token, false);
}
