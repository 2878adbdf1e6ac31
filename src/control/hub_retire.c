/* Emptying a control process: group 0 remembers which one, the repair replaces its voter. */
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "control/hub.h"

/** An order that takes longer, in ms, gets no clear answer: it may be sent again. */
#define ORDER_MS 2000
/** Control processes are linked to a new leader by then, in ms: the worst seen took 1.8 s. */
#define LINKED_MS 3000

typedef struct {
	worker_task_t job;
	hub_t *h;
	hub_origin_t from;
	char *node;
	uint64_t replica; /* to retire; 0: asks how far it is */
	status_t st;
	char message[128];
	bool empty;
} order_t;

typedef struct {
	str_t node;
	uint64_t replica;
} find_t;

static void find_retired(control_group_t *g, void *arg)
{
	find_t *f = arg;

	f->replica = fleet_retired_replica(g->fleet, f->node);
}

/* Empty once it is no member: what it held, the others hold synced. */
static void ask_state(order_t *o)
{
	control_group_t *g = &o->h->control->groups[0];
	find_t f = {.node = str_c(o->node)};
	group_status_t st;

	o->st = group_read_barrier(g->raft, clock_now_ms() + ORDER_MS);
	if (o->st != STATUS_OK)
		return;
	control_group_read(g, find_retired, &f);
	if (!f.replica) {
		o->st = status_fail(STATUS_NOT_FOUND, "%s isn't being emptied", o->node);
		return;
	}
	group_get_status(g->raft, &st);
	o->empty = true;
	for (unsigned i = 0; i < st.npeers; i++)
		o->empty &= st.peers[i].id != f.replica;
}

static void order_work(worker_task_t *j)
{
	order_t *o = (order_t *)j;
	wire_fleet_cmd_t cmd = {.kind = WIRE_FLEET_RETIRE};
	wire_fleet_res_t res;

	if (!o->replica) {
		ask_state(o);
	} else {
		cmd.wire_fleet_cmd_t_u.retire.name = wire_bytes(str_c(o->node));
		cmd.wire_fleet_cmd_t_u.retire.replica = o->replica;
		o->st = control_fleet_propose(o->h->control, &cmd, &res, clock_now_ms() + ORDER_MS);
		if (o->st == STATUS_OK)
			o->st = (status_t)res.status;
		wire_free(XDR_PROC(wire_fleet_res_t), &res);
	}
	snprintf(o->message, sizeof(o->message), "%s", o->st == STATUS_OK ? "" : status_message());
}

static void order_done(worker_task_t *j)
{
	order_t *o = (order_t *)j;
	link_reply_t r = {
		.status = (int)o->st, .message = wire_bytes(str_c(o->message)), .empty = o->empty};

	log_event(LOG_LEVEL_INFO, o->replica ? "retire_ordered" : "retire_asked",
		  LOG_CSTR("node", o->node), LOG_CSTR("status", status_name(o->st)),
		  LOG_INT("empty", o->empty));
	hub_reply(o->h, &o->from, &r);
	free(o->node);
	free(o);
}

/* The replica of the control process with this name; 0 when none is known. */
static uint64_t replica_of(hub_t *h, str_t node)
{
	group_status_t st;

	if (str_eq(str_c(h->control->settings.name), node)) {
		group_get_status(h->control->groups[0].raft, &st);
		return st.self;
	}
	for (hub_peer_t *p = h->peers; p; p = p->hh.next) {
		if (p->rpc_addr[0] && str_eq(str_c(p->name), node))
			return p->replica;
	}
	return 0;
}

/* Control processes that would be left to vote. */
static unsigned left_without(hub_t *h, uint64_t replica)
{
	group_status_t st;
	unsigned n;

	group_get_status(h->control->groups[0].raft, &st);
	n = st.self != replica && !control_is_retired(h->control, st.self);
	for (hub_peer_t *p = h->peers; p; p = p->hh.next)
		n += p->rpc_addr[0] && p->replica != replica &&
		     !control_is_retired(h->control, p->replica);
	return n;
}

/* A new leader knows the others only once they have linked to it, so it can't be sure yet that a VM
 * is unknown or that too few would be left. */
static bool knows_all(hub_t *h)
{
	group_status_t st;

	group_get_status(h->control->groups[0].raft, &st);
	return clock_now_ms() - st.leader_since > LINKED_MS;
}

static void refuse(hub_t *h, const hub_origin_t *from, str_t node, status_t st)
{
	if (!knows_all(h))
		st = status_fail(STATUS_UNAVAILABLE, "this process leads since a moment only");
	log_event(LOG_LEVEL_INFO, "retire_refused", LOG_STR("node", node),
		  LOG_CSTR("status", status_name(st)), LOG_CSTR("message", status_message()));
	hub_reply_status(h, from, st);
}

void hub_retire_handle_call(hub_t *h, const hub_origin_t *from, const link_call_arg_t *what)
{
	str_t node = wire_str(what->link_call_arg_t_u.node);
	uint64_t replica = 0;
	order_t *o;

	if (what->kind == LINK_CALL_RETIRE) {
		replica = replica_of(h, node);
		if (!replica) {
			refuse(h, from, node,
			       status_fail(STATUS_NOT_FOUND, "no VM with this name is known"));
			return;
		}
		if (!control_is_retired(h->control, replica) &&
		    left_without(h, replica) < control_voter_target(h->control)) {
			refuse(h, from, node,
			       status_fail(STATUS_CONFLICT, "too few VMs would be left"));
			return;
		}
	}
	o = mem_new(sizeof(*o));
	o->job = (worker_task_t){order_work, order_done, NULL};
	o->h = h;
	o->from = *from;
	o->node = str_dup(node);
	o->replica = replica;
	worker_pool_submit(h->call_workers, &o->job);
}
