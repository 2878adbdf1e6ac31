/* Retires control processes for operators: group 0 records the VM and its Raft replicas as retired,
 * and the repair (control_repair.c) replaces them in the group. Calls name the process by its
 * "node" (VM). */
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "control/hub.h"

/** Time limit of a call, in ms. After it the outcome is unclear; operators may repeat the call. */
#define RETIRE_MS 2000
/** Time in ms in which the other control processes link to a new leader; the slowest measured took
 * 1.8 s. */
#define PEERS_LINK_MS 3000

typedef struct {
	worker_task_t task;
	hub_t *h;
	hub_origin_t from;
	char *node; /* name of the control process */
	char addr[64]; /* its RPC address */
	uint64_t replica_ids[GROUP_PEERS_MAX + 1]; /* to retire */
	unsigned nreplicas; /* 0: the call asks whether the retired process is empty */
	status_t st;
	char message[128];
	bool empty; /* see check_empty */
} retire_task_t;

typedef struct {
	str_t node;
	group_status_t st;
	bool retired;
	unsigned members; /* that are replicas of the retired process */
} retired_lookup_t;

static void count_retired_members(control_group_t *g, void *arg)
{
	retired_lookup_t *f = arg;

	f->retired = fleet_has_retired(g->fleet, f->node);
	for (unsigned i = 0; i < f->st.npeers; i++)
		f->members += fleet_is_retired_as(g->fleet, f->node, f->st.peers[i].id);
}

/* Checks whether a retired process is empty: no replica of it is a member of group 0 any more. The
 * VM can be removed then, as the members hold all of its data, synced, and the repair adds none of
 * its replicas again. Checks no ledger group. */
static void check_empty(retire_task_t *o)
{
	control_group_t *g = &o->h->control->groups[0];
	retired_lookup_t f = {.node = str_c(o->node)};

	o->st = group_read_barrier(g->raft, clock_now_ms() + RETIRE_MS);
	if (o->st != STATUS_OK)
		return;
	group_get_status(g->raft, &f.st);
	control_group_read(g, count_retired_members, &f);
	if (!f.retired)
		o->st = status_fail(STATUS_NOT_FOUND, "%s is not retired", o->node);
	o->empty = f.retired && f.members == 0;
}

/* Commits that the replica is retired, under the name or the address of its VM. */
static status_t commit_retired(hub_t *h, const char *key, uint64_t replica_id, deadline_t deadline)
{
	wire_fleet_cmd_t cmd = {.kind = WIRE_FLEET_RETIRE};
	wire_fleet_res_t res;
	status_t st;

	cmd.wire_fleet_cmd_t_u.retire.key = wire_bytes(str_c(key));
	cmd.wire_fleet_cmd_t_u.retire.replica = replica_id;
	st = control_fleet_propose(h->control, &cmd, &res, deadline);
	if (st == STATUS_OK)
		st = (status_t)res.status;
	wire_free(XDR_PROC(wire_fleet_res_t), &res);
	return st;
}

/* An order whose commands were committed in part only is unclear to its operator, who repeats it.
 */
static void retire_replicas(retire_task_t *o)
{
	deadline_t deadline = clock_now_ms() + RETIRE_MS;

	for (unsigned i = 0; i < o->nreplicas && o->st == STATUS_OK; i++)
		o->st = commit_retired(o->h, o->node, o->replica_ids[i], deadline);
	if (o->st == STATUS_OK)
		o->st = commit_retired(o->h, o->addr, o->replica_ids[0], deadline);
}

static void retire_work(worker_task_t *task)
{
	retire_task_t *o = (retire_task_t *)task;

	if (o->nreplicas > 0)
		retire_replicas(o);
	else
		check_empty(o);
	snprintf(o->message, sizeof(o->message), "%s", o->st == STATUS_OK ? "" : status_message());
}

static void retire_done(worker_task_t *task)
{
	retire_task_t *o = (retire_task_t *)task;
	link_reply_t r = {
		.status = (int)o->st, .message = wire_bytes(str_c(o->message)), .empty = o->empty};

	log_event(LOG_LEVEL_INFO, o->nreplicas > 0 ? "retire_ordered" : "retire_asked",
		  LOG_CSTR("node", o->node), LOG_CSTR("addr", o->addr),
		  LOG_INT("replicas", o->nreplicas), LOG_CSTR("status", status_name(o->st)),
		  LOG_INT("empty", o->empty));
	hub_reply(o->h, &o->from, &r);
	free(o->node);
	free(o);
}

static bool is_linked(const hub_t *h, const char *rpc_addr)
{
	for (const hub_peer_t *p = h->peers; p; p = p->hh.next) {
		if (strcmp(p->rpc_addr, rpc_addr) == 0)
			return true;
	}
	return false;
}

/* True if a member is neither linked nor this process: its name is not known. */
static bool has_nameless_member(const hub_t *h, const group_status_t *st)
{
	for (unsigned i = 0; i < st->npeers; i++) {
		if (st->peers[i].id != st->self && !is_linked(h, st->peers[i].addr))
			return true;
	}
	return false;
}

static void read_has_retired(control_group_t *g, void *arg)
{
	retired_lookup_t *f = arg;

	f->retired = fleet_has_retired(g->fleet, f->node);
}

/* Judges an order for a name that no linked process has: it may be repeated after the VM was
 * removed, or name a VM that is down. */
static status_t judge_unlinked(hub_t *h, const char *node, const group_status_t *st)
{
	retired_lookup_t f = {.node = str_c(node)};

	if (has_nameless_member(h, st))
		return status_fail(STATUS_UNAVAILABLE,
				   "no VM named %s is linked, and one is not linked", node);
	control_group_read(&h->control->groups[0], read_has_retired, &f);
	if (f.retired)
		return STATUS_OK;
	return status_fail(STATUS_NOT_FOUND, "no VM named %s is known", node);
}

/* Finds the process with this name, its address and the ids of its replicas: of the linked one, and
 * of members that had this address before its disk was lost. Leaves the address empty and returns
 * what the order is answered with if the process is neither linked nor this one. A process whose
 * disk refuses writes links without an id. */
static status_t find_process(hub_t *h, retire_task_t *o)
{
	str_t node = str_c(o->node);
	uint64_t current = 0;
	group_status_t st;

	group_get_status(h->control->groups[0].raft, &st);
	if (str_eq(str_c(h->control->settings.name), node)) {
		current = st.self;
		for (unsigned i = 0; i < st.npeers; i++) {
			if (st.peers[i].id == st.self)
				snprintf(o->addr, sizeof(o->addr), "%s", st.peers[i].addr);
		}
	}
	for (hub_peer_t *p = h->peers; p && !o->addr[0]; p = p->hh.next) {
		if (!p->rpc_addr[0] || !str_eq(str_c(p->name), node))
			continue;
		current = p->replica_id;
		snprintf(o->addr, sizeof(o->addr), "%s", p->rpc_addr);
	}
	if (!o->addr[0])
		return judge_unlinked(h, o->node, &st);
	o->nreplicas = membership_ids_at(&st, o->addr, current, o->replica_ids);
	if (o->nreplicas == 0)
		return status_fail(STATUS_UNAVAILABLE,
				   "the disk of %s refuses writes, its replica is unknown",
				   o->node);
	return STATUS_OK;
}

/* Refuses to retire a VM if too few would remain to vote, unless it was ordered before: an order
 * that was accepted is accepted again, also if the VM has lost its disk since. */
static status_t check_order(hub_t *h, const retire_task_t *o)
{
	control_t *ctl = h->control;

	if (control_is_retired(ctl, o->replica_ids[0]) ||
	    control_is_retired_vm(ctl, o->node, o->addr) ||
	    control_count_able(ctl, o->replica_ids[0]) >= control_voter_target(ctl))
		return STATUS_OK;
	return status_fail(STATUS_CONFLICT, "too few VMs would remain to vote");
}

/* Before the other control processes have had time to link, a new leader cannot tell whether a VM
 * is unknown or too few VMs would remain. */
static bool peers_had_time_to_link(hub_t *h)
{
	group_status_t st;

	group_get_status(h->control->groups[0].raft, &st);
	return clock_now_ms() - st.leader_since > PEERS_LINK_MS;
}

/* Answers an order without a commit: it was accepted before, or is refused with status st, or as
 * "unavailable" while st may be wrong because others have not linked yet. */
static void answer_retire(hub_t *h, const hub_origin_t *from, const char *node, status_t st)
{
	if (st != STATUS_OK && !peers_had_time_to_link(h))
		st = status_fail(STATUS_UNAVAILABLE, "this process became leader only moments ago");
	log_event(LOG_LEVEL_INFO, st == STATUS_OK ? "retire_repeated" : "retire_refused",
		  LOG_CSTR("node", node), LOG_CSTR("status", status_name(st)),
		  LOG_CSTR("message", st == STATUS_OK ? "" : status_message()));
	hub_reply_status(h, from, st);
}

void hub_retire_handle_call(hub_t *h, const hub_origin_t *from, const link_call_arg_t *arg)
{
	retire_task_t *o = mem_new(sizeof(*o));
	status_t st = STATUS_OK;

	o->task = (worker_task_t){retire_work, retire_done, NULL};
	o->h = h;
	o->from = *from;
	o->node = str_dup(wire_str(arg->link_call_arg_t_u.node));
	if (arg->kind == LINK_CALL_RETIRE) {
		st = find_process(h, o);
		if (st == STATUS_OK && o->addr[0])
			st = check_order(h, o);
	}
	if (st != STATUS_OK || (arg->kind == LINK_CALL_RETIRE && !o->addr[0])) {
		answer_retire(h, from, o->node, st);
		free(o->node);
		free(o);
		return;
	}
	worker_pool_submit(h->call_workers, &o->task);
}
