/* Decisions on the members of a group. */
#include "policy/membership.h"

#include <string.h>

void membership_ban(membership_bans_t *b, uint64_t id, deadline_t now)
{
	unsigned at = 0;

	for (unsigned i = 0; i < MEMBERSHIP_BANS_MAX; i++) {
		if (b->bans[i].id == id) {
			at = i;
			break;
		}
		if (b->bans[i].until < b->bans[at].until)
			at = i;
	}
	b->bans[at].id = id;
	b->bans[at].until = now + MEMBERSHIP_BAN_MS;
}

void membership_unban(membership_bans_t *b, uint64_t id)
{
	for (unsigned i = 0; i < MEMBERSHIP_BANS_MAX; i++) {
		if (b->bans[i].id == id)
			b->bans[i].until = 0;
	}
}

bool membership_is_banned(const membership_bans_t *b, uint64_t id, deadline_t now)
{
	for (unsigned i = 0; i < MEMBERSHIP_BANS_MAX; i++) {
		if (b->bans[i].id == id && now < b->bans[i].until)
			return true;
	}
	return false;
}

static bool is_member(const group_status_t *st, uint64_t id)
{
	for (unsigned i = 0; i < st->npeers; i++) {
		if (st->peers[i].id == id)
			return true;
	}
	return false;
}

static bool has_voter_at(const group_status_t *st, const char *addr)
{
	for (unsigned i = 0; i < st->npeers; i++) {
		if (st->peers[i].voter && strcmp(st->peers[i].addr, addr) == 0)
			return true;
	}
	return false;
}

static unsigned count_zone_voters(const group_status_t *st, const char *zone)
{
	unsigned n = 0;

	for (unsigned i = 0; i < st->npeers; i++)
		n += st->peers[i].voter && strcmp(st->peers[i].zone, zone) == 0;
	return n;
}

bool membership_is_eligible(const membership_view_t *v, const membership_candidate_t *c)
{
	uint64_t id = c->replica.id;

	return id != 0 && !is_member(v->st, id) && !v->is_retired(v->ctx, id) &&
	       !v->is_retired_vm(v->ctx, c->name, c->replica.addr) &&
	       !membership_is_banned(v->bans, id, v->now);
}

bool membership_find_spare(const membership_view_t *v, const char *zone, group_peer_t *out)
{
	bool found = false;

	for (unsigned i = 0; i < v->ncandidates; i++) {
		const group_peer_t *c = &v->candidates[i].replica;
		bool better;

		if (has_voter_at(v->st, c->addr) || !membership_is_eligible(v, &v->candidates[i]))
			continue;
		better = zone ? strcmp(c->zone, zone) == 0
			      : count_zone_voters(v->st, c->zone) <
					 count_zone_voters(v->st, out->zone);
		if (!found || better)
			*out = *c;
		found = true;
	}
	return found;
}

/* True if the process at the address of this replica reports another one, so that the disk is lost,
 * or that its disk refuses writes. */
static bool is_disowned(const membership_view_t *v, const group_peer_t *p)
{
	for (unsigned i = 0; i < v->ncandidates; i++) {
		const group_peer_t *c = &v->candidates[i].replica;

		if (c->id != p->id && strcmp(c->addr, p->addr) == 0)
			return true;
	}
	return false;
}

unsigned membership_count_able(const membership_view_t *v, uint64_t except)
{
	const group_status_t *st = v->st;
	unsigned n = 0;

	for (unsigned i = 0; i < st->npeers; i++) {
		const group_peer_t *p = &st->peers[i];

		n += p->id != except && group_peer_acknowledges(st, i, v->now, v->grace_ms) &&
		     !v->is_retired(v->ctx, p->id) && !is_disowned(v, p);
	}
	for (unsigned i = 0; i < v->ncandidates; i++)
		n += v->candidates[i].replica.id != except &&
		     membership_is_eligible(v, &v->candidates[i]);
	return n;
}

unsigned membership_ids_at(const group_status_t *st, const char *addr, uint64_t current,
			   uint64_t out[GROUP_PEERS_MAX + 1])
{
	unsigned n = 0;

	if (current != 0)
		out[n++] = current;
	for (unsigned i = 0; i < st->npeers; i++) {
		if (st->peers[i].id != current && strcmp(st->peers[i].addr, addr) == 0)
			out[n++] = st->peers[i].id;
	}
	return n;
}

bool membership_keeps_majority(const membership_view_t *v, uint64_t added, uint64_t removed)
{
	const group_status_t *st = v->st;
	unsigned voters = 0;
	unsigned acknowledging = 0;

	for (unsigned i = 0; i < st->npeers; i++) {
		const group_peer_t *p = &st->peers[i];

		if ((!p->voter && p->id != added) || p->id == removed)
			continue;
		voters++;
		acknowledging += group_peer_acknowledges(st, i, v->now, v->grace_ms);
	}
	return acknowledging > voters / 2;
}
