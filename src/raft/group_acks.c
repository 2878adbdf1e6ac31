/* When each member last acknowledged something to the leader. A member that answers but syncs
 * nothing, for example while its disk hangs, acknowledges nothing. */
#include "raft/group_internal.h"

/* Position of a member's record; a->n if there is none. */
static unsigned find_ack(const group_acks_t *a, uint64_t id)
{
	unsigned i = 0;

	while (i < a->n && a->members[i].id != id)
		i++;
	return i;
}

void group_acks_set_members(group_acks_t *a, const raft_members_t *members, deadline_t leader_since,
			    deadline_t now)
{
	group_acks_t old = *a;

	if (leader_since != old.leader_since)
		old.n = 0;
	*a = (group_acks_t){.leader_since = leader_since};
	for (unsigned i = 0; i < members->n && leader_since; i++) {
		unsigned k = find_ack(&old, members->peers[i].id);
		bool led = leader_since == old.leader_since;

		a->members[a->n++] = k < old.n ? old.members[k]
					       : (group_ack_t){.id = members->peers[i].id,
							       .since = led ? now : leader_since};
	}
}

static bool is_further(const raft_member_progress_t *p, const raft_member_progress_t *most)
{
	if (p->match != most->match)
		return p->match > most->match;
	if (p->snap_index != most->snap_index)
		return p->snap_index > most->snap_index && p->snap_offset > 0;
	return p->snap_offset > most->snap_offset;
}

void group_acks_record(group_acks_t *a, uint64_t id, const raft_member_progress_t *p,
		       uint64_t commit, deadline_t now)
{
	unsigned at = find_ack(a, id);
	group_ack_t *k;

	if (at == a->n)
		return;
	k = &a->members[at];
	if (p->match < commit && !is_further(p, &k->most))
		return;
	k->last = now;
	if (is_further(p, &k->most))
		k->most = *p;
}

void group_acks_publish(const group_acks_t *a, group_status_t *st)
{
	for (unsigned i = 0; i < st->npeers; i++) {
		unsigned at = find_ack(a, st->peers[i].id);
		const group_ack_t *k;

		if (at == a->n)
			continue;
		k = &a->members[at];
		st->last_ack[i] = k->last;
		st->ack_awaited[i] = k->last ? k->last : k->since;
	}
}

bool group_peer_is_silent(const group_status_t *st, unsigned i, deadline_t now, int64_t ms)
{
	return st->leader && st->peers[i].id != st->self && now - st->ack_awaited[i] > ms;
}

bool group_peer_acknowledges(const group_status_t *st, unsigned i, deadline_t now, int64_t ms)
{
	if (!st->leader)
		return false;
	return st->peers[i].id == st->self || (st->last_ack[i] && now - st->last_ack[i] <= ms);
}

unsigned group_count_acknowledging(const group_status_t *st, deadline_t now, int64_t ms)
{
	unsigned n = 0;

	for (unsigned i = 0; i < st->npeers; i++)
		n += st->peers[i].voter && group_peer_acknowledges(st, i, now, ms);
	return n;
}
