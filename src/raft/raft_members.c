/* Members of a group: encoding, look-up and the changes that a leader may propose. */
#include "raft/raft_internal.h"

#include <stdio.h>
#include <string.h>
#include "proto/wire.h"

void raft_members_encode(const raft_members_t *c, buf_t *out)
{
	raft_wire_peer_t peers[GROUP_PEERS_MAX];
	raft_wire_members_t wire = {{c->n, peers}};

	for (unsigned i = 0; i < c->n; i++)
		peers[i] = (raft_wire_peer_t){c->peers[i].id, (char *)c->peers[i].addr,
					      (char *)c->peers[i].zone, c->peers[i].voter};
	wire_encode(out, XDR_PROC(raft_wire_members_t), &wire);
}

status_t raft_members_decode(str_t s, raft_members_t *out)
{
	raft_wire_members_t wire;
	status_t st = wire_decode(s, XDR_PROC(raft_wire_members_t), &wire, sizeof(wire));

	*out = (raft_members_t){0};
	if (st == STATUS_OK && wire.peers.peers_len > GROUP_PEERS_MAX)
		st = status_fail(STATUS_CORRUPT, "too many members in a group: %u",
				 wire.peers.peers_len);
	for (unsigned i = 0; st == STATUS_OK && i < wire.peers.peers_len; i++) {
		const raft_wire_peer_t *w = &wire.peers.peers_val[i];
		group_peer_t *p = &out->peers[out->n++];

		p->id = w->id;
		p->voter = w->voter;
		snprintf(p->addr, sizeof(p->addr), "%s", w->addr);
		snprintf(p->zone, sizeof(p->zone), "%s", w->zone);
	}
	wire_free(XDR_PROC(raft_wire_members_t), &wire);
	return st;
}

int raft_members_find(const raft_members_t *c, uint64_t id)
{
	for (unsigned i = 0; i < c->n; i++) {
		if (c->peers[i].id == id)
			return (int)i;
	}
	return -1;
}

/* Members change one at a time, and only after the leader has committed an entry of its own
 * term. */
static status_t check_may_change(const raft_t *r)
{
	if (r->role != RAFT_LEADER || r->transfer_to)
		return status_fail(STATUS_NOT_LEADER, "this replica is not the leader");
	if (r->commit < r->term_start)
		return status_fail(STATUS_LIMIT, "no entry of this term is committed yet");
	if (r->members_index > r->commit)
		return status_fail(STATUS_LIMIT, "another membership change is in progress");
	return STATUS_OK;
}

/* Rejects a new set of members if no majority of its voters is live: it could not commit the
 * change. */
static status_t check_live_majority(const raft_t *r, const raft_members_t *members)
{
	if (raft_leader_has_live_majority(r, members))
		return STATUS_OK;
	return status_fail(STATUS_LIMIT,
			   "no majority of the new voters answered within the election timeout");
}

static uint64_t propose_members(raft_t *r, const raft_members_t *members)
{
	AUTO_BUF b = {0};
	raft_entry_t e = {.term = r->term, .kind = RAFT_ENTRY_MEMBERS};

	raft_members_encode(members, &b);
	e.data.data_len = (u_int)b.n;
	e.data.data_val = str_dup(str_buf(&b));
	raft_log_append(r, e);
	return raft_last_index(r);
}

status_t raft_add_learner(raft_t *r, const group_peer_t *peer, uint64_t *index)
{
	raft_members_t members = r->members;
	status_t st = check_may_change(r);
	int at = raft_members_find(&members, peer->id);

	*index = 0;
	if (st != STATUS_OK)
		return st;
	if (peer->id == 0)
		return status_fail(STATUS_INVALID, "replica id 0 is not valid");
	if (at < 0 && members.n == GROUP_PEERS_MAX)
		return status_fail(STATUS_LIMIT, "a group has at most %d members", GROUP_PEERS_MAX);
	if (at < 0) {
		at = (int)members.n++;
		members.peers[at] = (group_peer_t){.id = peer->id};
	}
	/* Adding a member again updates its address and availability zone. */
	memcpy(members.peers[at].addr, peer->addr, sizeof(peer->addr));
	memcpy(members.peers[at].zone, peer->zone, sizeof(peer->zone));
	*index = propose_members(r, &members);
	return STATUS_OK;
}

status_t raft_promote(raft_t *r, uint64_t id, uint64_t *index)
{
	raft_members_t members = r->members;
	status_t st = check_may_change(r);
	int at = raft_members_find(&members, id);

	*index = 0;
	if (st != STATUS_OK)
		return st;
	if (at < 0)
		return status_fail(STATUS_NOT_FOUND, "no such member");
	if (members.peers[at].voter)
		return STATUS_OK;
	if (r->progress[at].match < r->commit)
		return status_fail(STATUS_LIMIT,
				   "learner has synced up to index %lu, committed is %lu",
				   (unsigned long)r->progress[at].match, (unsigned long)r->commit);
	members.peers[at].voter = true;
	st = check_live_majority(r, &members);
	if (st != STATUS_OK)
		return st;
	*index = propose_members(r, &members);
	return STATUS_OK;
}

static unsigned count_voters(const raft_members_t *c)
{
	unsigned n = 0;

	for (unsigned i = 0; i < c->n; i++)
		n += c->peers[i].voter;
	return n;
}

status_t raft_remove(raft_t *r, uint64_t id, uint64_t *index)
{
	raft_members_t members = r->members;
	status_t st = check_may_change(r);
	int at = raft_members_find(&members, id);

	*index = 0;
	if (st != STATUS_OK)
		return st;
	if (at < 0)
		return STATUS_OK;
	if (members.peers[at].voter && count_voters(&members) == 1)
		return status_fail(STATUS_INVALID, "cannot remove the last voter");
	members.n--;
	memmove(&members.peers[at], &members.peers[at + 1],
		(members.n - (unsigned)at) * sizeof(group_peer_t));
	st = check_live_majority(r, &members);
	if (st != STATUS_OK)
		return st;
	*index = propose_members(r, &members);
	return STATUS_OK;
}
