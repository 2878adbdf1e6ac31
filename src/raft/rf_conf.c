/* Members of a group: encoding, look-up and the changes that a leader may propose. */
#include "raft/rf_int.h"

#include <stdio.h>
#include <string.h>
#include "proto/px.h"

void rf_conf_encode(const rf_conf_t *c, buf_t *out)
{
	rf_wire_peer_t peers[GR_PEERS_MAX];
	rf_wire_conf_t wire = {{c->n, peers}};

	for (unsigned i = 0; i < c->n; i++)
		peers[i] = (rf_wire_peer_t){c->peers[i].id, (char *)c->peers[i].addr,
					    (char *)c->peers[i].zone, c->peers[i].voter};
	px_encode(out, PX(rf_wire_conf_t), &wire);
}

status_t rf_conf_decode(str_t s, rf_conf_t *out)
{
	rf_wire_conf_t wire;
	status_t st = px_decode(s, PX(rf_wire_conf_t), &wire, sizeof(wire));

	*out = (rf_conf_t){0};
	if (st == ST_OK && wire.peers.peers_len > GR_PEERS_MAX)
		st = st_fail(ST_CORRUPT, "%u members in a group", wire.peers.peers_len);
	for (unsigned i = 0; st == ST_OK && i < wire.peers.peers_len; i++) {
		const rf_wire_peer_t *w = &wire.peers.peers_val[i];
		gr_peer_t *p = &out->peers[out->n++];

		p->id = w->id;
		p->voter = w->voter;
		snprintf(p->addr, sizeof(p->addr), "%s", w->addr);
		snprintf(p->zone, sizeof(p->zone), "%s", w->zone);
	}
	px_free(PX(rf_wire_conf_t), &wire);
	return st;
}

int rf_conf_find(const rf_conf_t *c, uint64_t id)
{
	for (unsigned i = 0; i < c->n; i++) {
		if (c->peers[i].id == id)
			return (int)i;
	}
	return -1;
}

/* A leader may change members only after an entry of its term is committed, one at a time. */
static status_t check_change(const rf_t *r)
{
	if (r->role != RF_LEADER || r->transfer_to)
		return st_fail(ST_NOT_LEADER, "this replica doesn't lead");
	if (r->commit < r->term_start)
		return st_fail(ST_LIMIT, "no entry of this term is committed yet");
	if (r->conf_index > r->commit)
		return st_fail(ST_LIMIT, "another change of members is under way");
	return ST_OK;
}

/* Refuses members of whom a majority of voters is silent: they couldn't commit their own entry. */
static status_t check_live(const rf_t *r, const rf_conf_t *conf)
{
	if (rf_lead_has_live_majority(r, conf))
		return ST_OK;
	return st_fail(ST_LIMIT, "no majority of these voters has answered lately");
}

static uint64_t propose_conf(rf_t *r, const rf_conf_t *conf)
{
	AUTO_BUF b = {0};
	rf_entry_t e = {.term = r->term, .kind = RF_CONF};

	rf_conf_encode(conf, &b);
	e.data.data_len = (u_int)b.n;
	e.data.data_val = str_dup(str_buf(&b));
	rf_log_append(r, e);
	return rf_last(r);
}

status_t rf_add_learner(rf_t *r, const gr_peer_t *peer, uint64_t *index)
{
	rf_conf_t conf = r->conf;
	status_t st = check_change(r);
	int at = rf_conf_find(&conf, peer->id);

	*index = 0;
	if (st != ST_OK)
		return st;
	if (peer->id == 0)
		return st_fail(ST_INVALID, "a replica's id is never 0");
	if (at < 0 && conf.n == GR_PEERS_MAX)
		return st_fail(ST_LIMIT, "a group has at most %d members", GR_PEERS_MAX);
	if (at < 0) {
		at = (int)conf.n++;
		conf.peers[at] = (gr_peer_t){.id = peer->id};
	}
	/* Naming a member again renews its address and availability zone. */
	memcpy(conf.peers[at].addr, peer->addr, sizeof(peer->addr));
	memcpy(conf.peers[at].zone, peer->zone, sizeof(peer->zone));
	*index = propose_conf(r, &conf);
	return ST_OK;
}

status_t rf_promote(rf_t *r, uint64_t id, uint64_t *index)
{
	rf_conf_t conf = r->conf;
	status_t st = check_change(r);
	int at = rf_conf_find(&conf, id);

	*index = 0;
	if (st != ST_OK)
		return st;
	if (at < 0)
		return st_fail(ST_NOT_FOUND, "no such member");
	if (conf.peers[at].voter)
		return ST_OK;
	if (r->progress[at].match < r->commit)
		return st_fail(ST_LIMIT, "the learner has synced %lu of %lu",
			       (unsigned long)r->progress[at].match, (unsigned long)r->commit);
	conf.peers[at].voter = true;
	st = check_live(r, &conf);
	if (st != ST_OK)
		return st;
	*index = propose_conf(r, &conf);
	return ST_OK;
}

static unsigned count_voters(const rf_conf_t *c)
{
	unsigned n = 0;

	for (unsigned i = 0; i < c->n; i++)
		n += c->peers[i].voter;
	return n;
}

status_t rf_remove(rf_t *r, uint64_t id, uint64_t *index)
{
	rf_conf_t conf = r->conf;
	status_t st = check_change(r);
	int at = rf_conf_find(&conf, id);

	*index = 0;
	if (st != ST_OK)
		return st;
	if (at < 0)
		return ST_OK;
	if (conf.peers[at].voter && count_voters(&conf) == 1)
		return st_fail(ST_INVALID, "the last voter can't be removed");
	conf.n--;
	memmove(&conf.peers[at], &conf.peers[at + 1], (conf.n - (unsigned)at) * sizeof(gr_peer_t));
	st = check_live(r, &conf);
	if (st != ST_OK)
		return st;
	*index = propose_conf(r, &conf);
	return ST_OK;
}
