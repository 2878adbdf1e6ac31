/* RPC server: commands, queries, heartbeats, Raft messages, status and events. */
#include <string.h>
#include "base/log.h"
#include "base/metric.h"
#include "base/rpc.h"
#include "control/control.h"
#include "state/config.h"

#define HEARTBEAT_FORWARD_MS 500

static void set_error(wire_exec_res_t *res, status_t st)
{
	res->status = (int)st;
	res->message = wire_copy(str_c(status_message()));
}

static void copy_leader_addr(control_group_t *g, wire_bytes_t *out)
{
	group_status_t st;

	group_get_status(g->raft, &st);
	*out = wire_copy(str_c(st.leader_addr));
}

/* Forwards a call to the leader if the client asked for it and this process does not lead. Returns
 * false if the call is to be executed here: because it need not be forwarded, or because the leader
 * is unknown or did not answer. */
static bool forward_exec(control_t *ctl, control_group_t *g, unsigned proc,
			 const wire_exec_arg_t *arg, wire_exec_res_t *res)
{
	wire_exec_arg_t a = *arg;
	group_status_t st;

	group_get_status(g->raft, &st);
	if (!arg->forward || st.leader || !st.leader_addr[0])
		return false;
	a.forward = false;
	METRIC_INC("auburn_forwarded_total");
	if (control_client_call_at(ctl->client, st.leader_addr, proc, XDR_PROC(wire_exec_arg_t), &a,
				   XDR_PROC(wire_exec_res_t), res,
				   clock_now_ms() + a.wait_ms) == STATUS_OK)
		return true;
	wire_free(XDR_PROC(wire_exec_res_t), res);
	*res = (wire_exec_res_t){0};
	return false;
}

static control_group_t *find_group(control_t *ctl, unsigned n, wire_exec_res_t *res)
{
	if (!ctl->ready) {
		set_error(res, status_fail(STATUS_NOT_LEADER, "starting"));
		return NULL;
	}
	if (n >= ctl->ngroups) {
		set_error(res, status_fail(STATUS_INVALID, "no group %u", n));
		return NULL;
	}
	return &ctl->groups[n];
}

/* Refuses an invalid config before it gets into the replicated log. */
static status_t check_config(const wire_fleet_cmd_t *cmd)
{
	config_t *t = NULL;
	status_t st;

	if (cmd->kind != WIRE_FLEET_CONFIG_SUBMIT)
		return STATUS_OK;
	st = config_parse(wire_str(cmd->wire_fleet_cmd_t_u.submit.text), &t);
	config_free(t);
	return st;
}

static status_t check_command(unsigned group, str_t payload)
{
	wire_ledger_cmd_t l;
	wire_fleet_cmd_t f;
	status_t st;

	if (group > 0) {
		st = wire_decode(payload, XDR_PROC(wire_ledger_cmd_t), &l, sizeof(l));
		wire_free(XDR_PROC(wire_ledger_cmd_t), &l);
		return st == STATUS_OK ? STATUS_OK
				       : status_fail(STATUS_INVALID, "not a ledger command");
	}
	st = wire_decode(payload, XDR_PROC(wire_fleet_cmd_t), &f, sizeof(f));
	st = st == STATUS_OK ? check_config(&f)
			     : status_fail(STATUS_INVALID, "not a fleet command");
	wire_free(XDR_PROC(wire_fleet_cmd_t), &f);
	return st;
}

static void on_exec(void *ctx, const void *arg, void *out)
{
	control_t *ctl = ctx;
	const wire_exec_arg_t *a = arg;
	wire_exec_res_t *res = out;
	control_group_t *g = find_group(ctl, a->group, res);
	AUTO_BUF result = {0};
	status_t st;

	if (!g || forward_exec(ctl, g, AUBURN_EXEC, a, res))
		return;
	st = check_command(a->group, wire_str(a->payload));
	if (st == STATUS_OK)
		st = group_propose(g->raft, wire_str(a->payload), clock_now_ms() + a->wait_ms,
				   &result);
	if (st == STATUS_OK) {
		res->payload = wire_copy(str_buf(&result));
		METRIC_INC("auburn_commands_total");
		return;
	}
	set_error(res, st);
	copy_leader_addr(g, &res->leader);
}

typedef struct {
	const wire_query_t *q;
	wire_query_res_t *res;
} query_t;

static void run_query(control_group_t *g, void *arg)
{
	query_t *q = arg;

	if (g->fleet)
		fleet_query(g->fleet, q->q, q->res);
	else
		ledger_query(g->ledger, q->q, q->res);
}

static bool query_matches_group(unsigned group, wire_query_kind_t kind)
{
	bool fleet = kind == WIRE_QUERY_CONFIG || kind == WIRE_QUERY_VIEW;

	return fleet == (group == 0);
}

static void on_query(void *ctx, const void *arg, void *out)
{
	control_t *ctl = ctx;
	const wire_exec_arg_t *a = arg;
	wire_exec_res_t *res = out;
	control_group_t *g = find_group(ctl, a->group, res);
	wire_query_t q;
	wire_query_res_t answer = {0};
	AUTO_BUF payload = {0};
	status_t st;

	if (!g || forward_exec(ctl, g, AUBURN_QUERY, a, res))
		return;
	st = wire_decode(wire_str(a->payload), XDR_PROC(wire_query_t), &q, sizeof(q));
	if (st != STATUS_OK || !query_matches_group(a->group, q.kind))
		st = status_fail(STATUS_INVALID, "not a query of group %u", a->group);
	else
		st = group_read_barrier(g->raft, clock_now_ms() + a->wait_ms);
	if (st == STATUS_OK) {
		control_group_read(g, run_query, &(query_t){&q, &answer});
		wire_encode(&payload, XDR_PROC(wire_query_res_t), &answer);
		wire_free(XDR_PROC(wire_query_res_t), &answer);
		res->payload = wire_copy(str_buf(&payload));
		METRIC_INC("auburn_queries_total");
	} else {
		set_error(res, st);
		copy_leader_addr(g, &res->leader);
	}
	wire_free(XDR_PROC(wire_query_t), &q);
}

/* Like forward_exec. */
static bool forward_heartbeat(control_t *ctl, const wire_heartbeat_arg_t *arg,
			      wire_heartbeat_res_t *res)
{
	wire_heartbeat_arg_t a = *arg;
	group_status_t st;

	group_get_status(ctl->groups[0].raft, &st);
	if (!arg->forward || st.leader || !st.leader_addr[0])
		return false;
	a.forward = false;
	METRIC_INC("auburn_forwarded_total");
	if (control_client_call_at(ctl->client, st.leader_addr, AUBURN_HEARTBEAT,
				   XDR_PROC(wire_heartbeat_arg_t), &a,
				   XDR_PROC(wire_heartbeat_res_t), res,
				   clock_now_ms() + HEARTBEAT_FORWARD_MS) == STATUS_OK)
		return true;
	wire_free(XDR_PROC(wire_heartbeat_res_t), res);
	*res = (wire_heartbeat_res_t){0};
	return false;
}

static void on_heartbeat(void *ctx, const void *arg, void *out)
{
	control_t *ctl = ctx;
	wire_heartbeat_res_t *res = out;

	if (!ctl->ready) {
		res->status = STATUS_NOT_LEADER;
		return;
	}
	if (forward_heartbeat(ctl, arg, res))
		return;
	control_heartbeat(ctl, arg, res);
	if (res->status != STATUS_OK)
		copy_leader_addr(&ctl->groups[0], &res->leader);
}

static void on_raft(void *ctx, const void *arg, void *out)
{
	control_t *ctl = ctx;
	const wire_raft_arg_t *a = arg;

	if (!ctl->ready)
		return;
	for (u_int i = 0; i < a->msgs.msgs_len; i++) {
		const wire_raft_msg_t *m = &a->msgs.msgs_val[i];

		if (m->group < ctl->ngroups)
			group_receive(ctl->groups[m->group].raft, wire_str(m->payload));
	}
}

static void on_status(void *ctx, const void *arg, void *out)
{
	AUTO_BUF b = {0};

	control_status_json(ctx, &b);
	((wire_text_t *)out)->text = wire_copy(str_buf(&b));
}

static void on_events(void *ctx, const void *arg, void *out)
{
	const wire_events_arg_t *a = arg;
	AUTO_BUF b = {0};

	log_find(&b, wire_str(a->needle), a->max);
	((wire_text_t *)out)->text = wire_copy(str_buf(&b));
}

static const rpc_proc_t procs[] = {
	{AUBURN_EXEC, XDR_PROC(wire_exec_arg_t), sizeof(wire_exec_arg_t), XDR_PROC(wire_exec_res_t),
	 sizeof(wire_exec_res_t), on_exec},
	{AUBURN_QUERY, XDR_PROC(wire_exec_arg_t), sizeof(wire_exec_arg_t),
	 XDR_PROC(wire_exec_res_t), sizeof(wire_exec_res_t), on_query},
	{AUBURN_HEARTBEAT, XDR_PROC(wire_heartbeat_arg_t), sizeof(wire_heartbeat_arg_t),
	 XDR_PROC(wire_heartbeat_res_t), sizeof(wire_heartbeat_res_t), on_heartbeat},
	{AUBURN_RAFT, XDR_PROC(wire_raft_arg_t), sizeof(wire_raft_arg_t), rpc_xdr_void, 1, on_raft},
	{AUBURN_STATUS, rpc_xdr_void, 1, XDR_PROC(wire_text_t), sizeof(wire_text_t), on_status},
	{AUBURN_EVENTS, XDR_PROC(wire_events_arg_t), sizeof(wire_events_arg_t),
	 XDR_PROC(wire_text_t), sizeof(wire_text_t), on_events},
	{0},
};

status_t control_rpc_start(control_t *ctl)
{
	rpc_server_options_t o = {ctl->settings.listen, AUBURN_CONTROL, AUBURN_CONTROL_V1, procs,
				  ctl};

	return rpc_serve(&o);
}
