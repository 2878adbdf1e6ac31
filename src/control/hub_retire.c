/* Retires control processes for operators: group 0 records the process's Raft replica as retired,
 * and the repair (control_repair.c) replaces it in the group. Calls name the process by its "node"
 * (VM). */
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
	uint64_t replica_id; /* to retire; 0: the call asks whether the retired process is empty */
	status_t st;
	char message[128];
	bool empty; /* see check_empty */
} retire_task_t;

typedef struct {
	str_t node;
	uint64_t replica_id;
} retired_lookup_t;

static void find_retired_replica(control_group_t *g, void *arg)
{
	retired_lookup_t *f = arg;

	f->replica_id = fleet_retired_replica(g->fleet, f->node);
}

/* Checks whether a retired process is empty: its replica is no longer a member of group 0. The VM
 * can be removed then, as the members hold all of its data, synced. Checks no ledger group. */
static void check_empty(retire_task_t *o)
{
	control_group_t *g = &o->h->control->groups[0];
	retired_lookup_t f = {.node = str_c(o->node)};
	group_status_t st;

	o->st = group_read_barrier(g->raft, clock_now_ms() + RETIRE_MS);
	if (o->st != STATUS_OK)
		return;
	control_group_read(g, find_retired_replica, &f);
	if (!f.replica_id) {
		o->st = status_fail(STATUS_NOT_FOUND, "%s is not retired", o->node);
		return;
	}
	group_get_status(g->raft, &st);
	o->empty = true;
	for (unsigned i = 0; i < st.npeers; i++)
		o->empty &= st.peers[i].id != f.replica_id;
}

static void retire_work(worker_task_t *task)
{
	retire_task_t *o = (retire_task_t *)task;
	wire_fleet_cmd_t cmd = {.kind = WIRE_FLEET_RETIRE};
	wire_fleet_res_t res;

	if (!o->replica_id) {
		check_empty(o);
	} else {
		cmd.wire_fleet_cmd_t_u.retire.name = wire_bytes(str_c(o->node));
		cmd.wire_fleet_cmd_t_u.retire.replica = o->replica_id;
		o->st = control_fleet_propose(o->h->control, &cmd, &res,
					      clock_now_ms() + RETIRE_MS);
		if (o->st == STATUS_OK)
			o->st = (status_t)res.status;
		wire_free(XDR_PROC(wire_fleet_res_t), &res);
	}
	snprintf(o->message, sizeof(o->message), "%s", o->st == STATUS_OK ? "" : status_message());
}

static void retire_done(worker_task_t *task)
{
	retire_task_t *o = (retire_task_t *)task;
	link_reply_t r = {
		.status = (int)o->st, .message = wire_bytes(str_c(o->message)), .empty = o->empty};

	log_event(LOG_LEVEL_INFO, o->replica_id ? "retire_ordered" : "retire_asked",
		  LOG_CSTR("node", o->node), LOG_CSTR("status", status_name(o->st)),
		  LOG_INT("empty", o->empty));
	hub_reply(o->h, &o->from, &r);
	free(o->node);
	free(o);
}

/* Returns the id of the member at this address; 0 if there is none. A process whose disk refuses
 * writes links without an id. */
static uint64_t find_member_at(hub_t *h, const char *addr)
{
	group_status_t st;

	group_get_status(h->control->groups[0].raft, &st);
	for (unsigned i = 0; i < st.npeers; i++) {
		if (strcmp(st.peers[i].addr, addr) == 0)
			return st.peers[i].id;
	}
	return 0;
}

/* Returns the replica id of the control process with this name; 0 if it is neither linked nor this
 * process. */
static uint64_t find_replica_id(hub_t *h, str_t node)
{
	group_status_t st;

	if (str_eq(str_c(h->control->settings.name), node)) {
		group_get_status(h->control->groups[0].raft, &st);
		return st.self;
	}
	for (hub_peer_t *p = h->peers; p; p = p->hh.next) {
		if (p->rpc_addr[0] && str_eq(str_c(p->name), node))
			return p->replica_id ? p->replica_id : find_member_at(h, p->rpc_addr);
	}
	return 0;
}

/* Before the other control processes have had time to link, a new leader cannot tell whether a VM
 * is unknown or too few VMs would remain. */
static bool peers_had_time_to_link(hub_t *h)
{
	group_status_t st;

	group_get_status(h->control->groups[0].raft, &st);
	return clock_now_ms() - st.leader_since > PEERS_LINK_MS;
}

/* Refuses to retire a control process: with status st, or as "unavailable" while st may be wrong
 * because others have not linked yet. */
static void refuse_retire(hub_t *h, const hub_origin_t *from, str_t node, status_t st)
{
	if (!peers_had_time_to_link(h))
		st = status_fail(STATUS_UNAVAILABLE, "this process became leader only moments ago");
	log_event(LOG_LEVEL_INFO, "retire_refused", LOG_STR("node", node),
		  LOG_CSTR("status", status_name(st)), LOG_CSTR("message", status_message()));
	hub_reply_status(h, from, st);
}

void hub_retire_handle_call(hub_t *h, const hub_origin_t *from, const link_call_arg_t *arg)
{
	str_t node = wire_str(arg->link_call_arg_t_u.node);
	uint64_t replica_id = 0;
	retire_task_t *o;

	if (arg->kind == LINK_CALL_RETIRE) {
		replica_id = find_replica_id(h, node);
		if (!replica_id) {
			refuse_retire(
				h, from, node,
				status_fail(STATUS_NOT_FOUND, "no VM with this name is linked"));
			return;
		}
		if (!control_is_retired(h->control, replica_id) &&
		    control_count_able(h->control, replica_id) < control_voter_target(h->control)) {
			refuse_retire(
				h, from, node,
				status_fail(STATUS_CONFLICT, "too few VMs would remain to vote"));
			return;
		}
	}
	o = mem_new(sizeof(*o));
	o->task = (worker_task_t){retire_work, retire_done, NULL};
	o->h = h;
	o->from = *from;
	o->node = str_dup(node);
	o->replica_id = replica_id;
	worker_pool_submit(h->call_workers, &o->task);
}
