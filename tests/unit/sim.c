/* A run of the simulation: reads and writes of callers, membership changes and faults, then a phase
 * without faults in which all replicas must catch up. */
#include "sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Steps without faults in which the members must catch up. */
#define CALM_STEPS 4000
/* Messages delivered in a step: a random number up to this, and this many without faults. */
#define DELIVERIES_MAX 8

static bool chance(sim_t *s, unsigned per_mille)
{
	return sim_random(s, 1000) < per_mille;
}

static sim_node_t *random_node(sim_t *s)
{
	return &s->nodes[sim_random(s, SIM_ADDRS)];
}

/* Returns a running replica that considers itself leader, or NULL. */
static sim_node_t *random_leader(sim_t *s)
{
	unsigned start = (unsigned)sim_random(s, SIM_ADDRS);

	for (unsigned i = 0; i < SIM_ADDRS; i++) {
		sim_node_t *n = &s->nodes[(start + i) % SIM_ADDRS];

		if (n->raft && !n->frozen_steps && raft_role(n->raft) == RAFT_LEADER)
			return n;
	}
	return NULL;
}

/* Flushes the replica at 70% of the calls, so that inputs are batched at random. */
static void maybe_flush(sim_t *s, sim_node_t *n)
{
	if (n->raft && !n->frozen_steps && chance(s, 700))
		raft_flush(n->raft);
}

static uint64_t new_id(sim_t *s, unsigned addr)
{
	uint64_t id = s->nids + 1;

	s->ids[s->nids].id = id;
	s->ids[s->nids].addr = addr;
	s->ids[s->nids].lost = false;
	s->nids++;
	return id;
}

static bool is_lost(const sim_t *s, uint64_t id)
{
	for (unsigned i = 0; i < s->nids; i++) {
		if (s->ids[i].id == id)
			return s->ids[i].lost;
	}
	return true;
}

/* Starts all replicas; n of them have the first voters as the only entry of their log. */
static void bootstrap(sim_t *s, unsigned n)
{
	raft_members_t members = {.n = n};
	AUTO_BUF b = {0};

	for (unsigned i = 0; i < n; i++)
		members.peers[i] = (group_peer_t){.id = new_id(s, i), .voter = true};
	raft_members_encode(&members, &b);
	for (unsigned i = 0; i < SIM_ADDRS; i++) {
		sim_node_t *node = &s->nodes[i];

		node->sim = s;
		node->addr = i;
		node->id = i < n ? s->ids[i].id : new_id(s, i);
		if (i < n) {
			node->disk.entries = mem_new(sizeof(raft_entry_t));
			node->disk.entries[0].kind = RAFT_ENTRY_MEMBERS;
			node->disk.entries[0].data.data_len = (u_int)b.n;
			node->disk.entries[0].data.data_val = str_dup(str_buf(&b));
			node->disk.n = 1;
		}
		sim_node_start(node);
	}
}

static void start_write(sim_t *s)
{
	sim_node_t *n = random_leader(s);
	sim_cmd_t cmd = {.op = ++s->next_op, .key = (uint32_t)sim_random(s, SIM_KEYS)};
	uint64_t index;

	if (!n)
		return;
	index = raft_propose(n->raft, (str_t){(const char *)&cmd, sizeof(cmd)});
	if (index)
		sim_call_begin(s, n, false, cmd.op, index, cmd.key);
	maybe_flush(s, n);
}

static void start_read(sim_t *s)
{
	sim_node_t *n = random_leader(s);
	uint64_t token = ++s->next_op;

	if (!n)
		return;
	sim_call_begin(s, n, true, token, 0, (uint32_t)sim_random(s, SIM_KEYS));
	if (!raft_read_index(n->raft, token))
		sim_call_read_done(n, token, false);
	maybe_flush(s, n);
}

static void tick_all(sim_t *s)
{
	for (unsigned i = 0; i < SIM_ADDRS; i++) {
		sim_node_t *n = &s->nodes[i];

		if (n->raft && !n->frozen_steps && chance(s, 900))
			raft_tick(n->raft);
		maybe_flush(s, n);
	}
}

static void stop_or_start(sim_t *s, sim_node_t *n)
{
	if (n->raft) {
		sim_node_stop(n);
		s->res->restarts++;
	} else {
		sim_node_start(n);
	}
}

/* Heals all partitions or assigns the replicas to two at random. */
static void change_partitions(sim_t *s)
{
	bool whole = chance(s, 500);

	for (unsigned i = 0; i < SIM_ADDRS; i++)
		s->nodes[i].partition = whole ? 0 : (unsigned)sim_random(s, 2);
}

/* Sets *out to the members in the log of the running replica with the highest commit index. */
static void newest_members(const sim_t *s, raft_members_t *out)
{
	uint64_t best = 0;
	raft_status_t v;

	*out = (raft_members_t){0};
	for (unsigned i = 0; i < SIM_ADDRS; i++) {
		if (!s->nodes[i].raft)
			continue;
		raft_get_status(s->nodes[i].raft, &v);
		if (v.commit >= best) {
			best = v.commit;
			*out = v.members;
		}
	}
}

/* True if a majority of these voters has lost its disk, counting `other` as lost too. */
static bool majority_is_lost(const sim_t *s, const raft_members_t *c, uint64_t other)
{
	unsigned voters = 0;
	unsigned lost = 0;

	for (unsigned i = 0; i < c->n; i++) {
		if (!c->peers[i].voter)
			continue;
		voters++;
		lost += is_lost(s, c->peers[i].id) || c->peers[i].id == other;
	}
	return voters > 0 && lost > (voters - 1) / 2;
}

/* True if a replica is stopped, or if its voters would have lost a majority of their disks. */
static bool is_stuck(const sim_t *s, uint64_t other)
{
	raft_status_t v;

	for (unsigned i = 0; i < SIM_ADDRS; i++) {
		if (!s->nodes[i].raft)
			return true;
		raft_get_status(s->nodes[i].raft, &v);
		if (majority_is_lost(s, &v.members, other))
			return true;
	}
	return false;
}

void sim_lose_disk(sim_t *s, sim_node_t *n)
{
	sim_node_stop(n);
	sim_disk_clear(&n->disk);
	for (unsigned i = 0; i < s->nids; i++)
		s->ids[i].lost |= s->ids[i].id == n->id;
	n->id = new_id(s, n->addr);
	sim_node_start(n);
	s->res->disks_lost++;
}

static void lose_random_disk(sim_t *s)
{
	sim_node_t *n = random_node(s);

	if (s->nids < SIM_IDS_MAX && !is_stuck(s, n->id))
		sim_lose_disk(s, n);
}

/* Tries one membership change at a leader: adds or promotes a random replica. If that changes
 * nothing, removes a replica whose disk was lost; from five members on, none with a lost disk,
 * removes any of them with a chance of 5% each. */
static void change_members(sim_t *s)
{
	sim_node_t *leader = random_leader(s);
	group_peer_t peer = {.id = random_node(s)->id};
	uint64_t index = 0;
	bool may_shrink;
	raft_status_t v;
	int at;

	if (!leader)
		return;
	raft_get_status(leader->raft, &v);
	may_shrink = v.members.n > 4;
	for (unsigned i = 0; i < v.members.n; i++)
		may_shrink &= !is_lost(s, v.members.peers[i].id);
	at = raft_members_find(&v.members, peer.id);
	if (at < 0)
		raft_add_learner(leader->raft, &peer, &index);
	else if (!v.members.peers[at].voter)
		raft_promote(leader->raft, peer.id, &index);
	for (unsigned i = 0; i < v.members.n && !index; i++) {
		if (is_lost(s, v.members.peers[i].id) || (may_shrink && chance(s, 50)))
			raft_remove(leader->raft, v.members.peers[i].id, &index);
	}
	s->res->changes += index != 0;
	maybe_flush(s, leader);
}

static void sync_random_disk(sim_t *s)
{
	sim_node_t *n = random_node(s);

	if (!n->raft || n->frozen_steps)
		return;
	sim_node_sync(n, sim_random(s, 4));
	maybe_flush(s, n);
}

/* Causes some faults at random: crashes and restarts, partitions, freezes, lost disks and
 * messages, and transfers of leadership. */
static void random_fault(sim_t *s)
{
	sim_node_t *n = random_node(s);

	if (chance(s, 6) || (!n->raft && chance(s, 100)))
		stop_or_start(s, n);
	if (n->raft && n->disk.nwrites > 0 && chance(s, 20)) {
		/* A crash while a vote or an acknowledgement may depend on an unsynced write. */
		stop_or_start(s, n);
		stop_or_start(s, n);
	}
	if (chance(s, 8))
		change_partitions(s);
	if (chance(s, 4) && n->raft)
		n->frozen_steps = (unsigned)sim_random(s, 200);
	if (chance(s, 3))
		lose_random_disk(s);
	if (chance(s, 5))
		s->loss_percent = chance(s, 500) ? 0 : (unsigned)sim_random(s, 40);
	if (chance(s, 3)) {
		n = random_leader(s);
		if (n)
			raft_transfer_leadership(n->raft);
	}
}

/* Disk faults, and the loss of a disk soon after another took writes again. */
static void random_disk_fault(sim_t *s)
{
	sim_node_t *n;

	sim_disk_random_fault(s);
	if (s->next_loss == 0 || s->res->step < s->next_loss)
		return;
	s->next_loss = 0;
	n = &s->nodes[sim_disk_random(s, SIM_ADDRS)];
	if (s->nids < SIM_IDS_MAX && !is_stuck(s, n->id))
		sim_lose_disk(s, n);
}

/* One step without new faults: messages, ticks, syncs, calls, a snapshot and a membership change,
 * each with its own chance. */
static void step(sim_t *s)
{
	unsigned n = 1 + (unsigned)sim_random(s, DELIVERIES_MAX);

	for (unsigned i = 0; i < SIM_ADDRS; i++)
		s->nodes[i].frozen_steps -= s->nodes[i].frozen_steps > 0;
	for (unsigned i = 0; i < n; i++)
		sim_deliver(s);
	maybe_flush(s, random_node(s));
	if (chance(s, s->tick_per_mille))
		tick_all(s);
	for (unsigned i = 0; i < s->sync_tries; i++)
		sync_random_disk(s);
	if (chance(s, 300))
		start_write(s);
	if (chance(s, 150))
		start_read(s);
	if (chance(s, 30) && random_node(s)->raft) {
		sim_node_t *node = random_node(s);

		if (node->raft && !node->frozen_steps)
			sim_node_snapshot(node);
	}
	if (chance(s, 40))
		change_members(s);
}

/* True if each member that still has its disk has applied all entries of the reference. */
static bool all_caught_up(const sim_t *s)
{
	raft_members_t members;

	newest_members(s, &members);
	for (unsigned i = 0; i < members.n; i++) {
		int addr = sim_addr_of(s, members.peers[i].id);
		const sim_node_t *n = &s->nodes[addr];

		if (n->id != members.peers[i].id)
			continue;
		if (!n->raft || raft_applied_index(n->raft) != s->reference_last)
			return false;
	}
	return members.n > 0;
}

/* With all replicas running and no faults, the group must commit again and all members must apply
 * the same entries. */
static void run_calm_phase(sim_t *s)
{
	uint64_t writes = s->res->writes;

	s->loss_percent = 0;
	for (unsigned i = 0; i < SIM_ADDRS; i++) {
		s->nodes[i].partition = 0;
		s->nodes[i].frozen_steps = 0;
		s->nodes[i].disk.fault_until = 0;
		if (!s->nodes[i].raft)
			sim_node_start(&s->nodes[i]);
	}
	for (unsigned i = 0; i < CALM_STEPS && !s->res->violated; i++) {
		bool enough_writes = s->res->writes > writes + 3;

		for (unsigned k = 0; k < DELIVERIES_MAX; k++)
			sim_deliver(s);
		if (chance(s, 150))
			tick_all(s);
		for (unsigned k = 0; k < SIM_ADDRS; k++) {
			sim_node_sync(&s->nodes[k], SIZE_MAX);
			raft_flush(s->nodes[k].raft);
		}
		if (!enough_writes && chance(s, 100))
			start_write(s);
		if (enough_writes && all_caught_up(s))
			return;
	}
	/* A removal that was pending when a disk was lost can leave voters without a majority. */
	if (is_stuck(s, 0))
		s->res->stuck++;
	else if (!s->res->violated)
		sim_report_violation(s, "members have not caught up after %d steps without faults",
				     CALM_STEPS);
}

/* Checks that each member that still has its disk has the leader's last write to each register, and
 * no lower version than any caller has seen. */
static void check_final(sim_t *s)
{
	raft_members_t members;

	newest_members(s, &members);
	for (unsigned i = 0; i < members.n; i++) {
		const sim_node_t *n = &s->nodes[sim_addr_of(s, members.peers[i].id)];

		for (unsigned k = 0; k < SIM_KEYS && n->id == members.peers[i].id; k++) {
			if (n->state.version[k] < s->seen_version[k])
				sim_report_violation(
					s, "replica at address %u lost an acknowledged write",
					n->addr);
			if (n->state.op[k] != random_leader(s)->state.op[k])
				sim_report_violation(
					s, "replica at address %u differs from the leader",
					n->addr);
		}
	}
}

sim_t *sim_new(uint64_t seed, unsigned voters, sim_result_t *res)
{
	sim_t *s = mem_new(sizeof(*s));

	*res = (sim_result_t){0};
	s->res = res;
	s->random = (seed + 1) * 0x9e3779b97f4a7c15ull;
	s->disk_random = s->random ^ 0xd15c;
	bootstrap(s, voters ? voters : 3 + (unsigned)sim_random(s, 3));
	return s;
}

void sim_free(sim_t *s)
{
	for (unsigned i = 0; i < SIM_ADDRS; i++)
		sim_node_free(&s->nodes[i]);
	while (s->npackets)
		buf_free(&s->packets[--s->npackets].bytes);
	free(s->calls);
	free(s);
}

void sim_settle(sim_t *s)
{
	bool busy = true;

	while (busy) {
		busy = false;
		while (s->npackets)
			sim_deliver(s);
		for (unsigned i = 0; i < SIM_ADDRS; i++) {
			sim_node_t *n = &s->nodes[i];

			if (!n->raft)
				continue;
			raft_flush(n->raft);
			busy |= n->disk.nwrites > 0;
			sim_node_sync(n, SIZE_MAX);
		}
		busy |= s->npackets > 0;
	}
}

static void check_logs(sim_t *s)
{
	for (unsigned i = 0; i < SIM_ADDRS; i++) {
		if (s->nodes[i].raft)
			sim_check_log_bytes(&s->nodes[i]);
	}
}

bool sim_run(const sim_options_t *o, sim_result_t *res)
{
	sim_t *s = sim_new(o->seed, 0, res);

	s->tick_per_mille = 100 + (unsigned)sim_random(s, 500);
	s->sync_tries = 1 + (unsigned)sim_random(s, 4);
	for (res->step = 0; res->step < o->steps && !res->violated; res->step++) {
		step(s);
		random_fault(s);
		if (o->disk_faults)
			random_disk_fault(s);
		check_logs(s);
	}
	if (!res->violated)
		run_calm_phase(s);
	if (!res->violated && !res->stuck && random_leader(s))
		check_final(s);
	sim_free(s);
	return !res->violated;
}
