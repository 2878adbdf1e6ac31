#include "client/control_client.h"

#include <assert.h>
#include <pthread.h>
#include <stdlib.h>
#include "base/rpc.h"

/* Time limit of a call to one control process, in ms. Commands, queries and heartbeats then try
 * another one. */
#define ATTEMPT_MAX_MS 700
#define RETRY_PAUSE_MS 20
/* For this long, in ms, after the assumed leader did not answer a call, or answered that the call
 * timed out, calls ask other processes to forward them. */
#define FORWARD_MS   5000
#define POOL_MAX     64 /* idle connections to one control process */
#define GROUPS_MAX   64
#define CONTROLS_MAX 18

/* Idle connections to one control process. */
typedef struct {
	char *addr;
	rpc_client_t *idle[POOL_MAX];
	size_t n;
} pool_t;

struct control_client {
	pthread_mutex_t lock;
	pool_t pools[CONTROLS_MAX];
	size_t n;
	unsigned groups;
	size_t leader[GROUPS_MAX + 1]; /* assumed leader of each group, an index into pools */
	deadline_t forward_until[GROUPS_MAX + 1];
};

control_client_t *control_client_new(const char *const *addrs, size_t n, unsigned ledger_groups)
{
	control_client_t *c = mem_new(sizeof(*c));

	assert(n > 0 && n <= CONTROLS_MAX && ledger_groups > 0 && ledger_groups <= GROUPS_MAX);
	pthread_mutex_init(&c->lock, NULL);
	c->n = n;
	c->groups = ledger_groups;
	for (size_t i = 0; i < n; i++)
		c->pools[i].addr = str_dup(str_c(addrs[i]));
	return c;
}

void control_client_free(control_client_t *c)
{
	if (!c)
		return;
	for (size_t i = 0; i < c->n; i++) {
		while (c->pools[i].n > 0)
			rpc_client_free(c->pools[i].idle[--c->pools[i].n]);
		free(c->pools[i].addr);
	}
	pthread_mutex_destroy(&c->lock);
	free(c);
}

const char *control_client_addr(const control_client_t *c, size_t i)
{
	return c->pools[i].addr;
}

unsigned control_client_groups(const control_client_t *c)
{
	return c->groups;
}

unsigned control_client_group(const control_client_t *c, str_t caller, str_t key)
{
	return wire_ledger_group(caller, key, c->groups);
}

/* Takes an idle connection or makes a new one. */
static rpc_client_t *take_connection(control_client_t *c, size_t i)
{
	rpc_client_t *r = NULL;

	pthread_mutex_lock(&c->lock);
	if (c->pools[i].n > 0)
		r = c->pools[i].idle[--c->pools[i].n];
	pthread_mutex_unlock(&c->lock);
	return r ? r : rpc_client_new(c->pools[i].addr, AUBURN_CONTROL, AUBURN_CONTROL_V1);
}

static void return_connection(control_client_t *c, size_t i, rpc_client_t *r)
{
	pthread_mutex_lock(&c->lock);
	if (c->pools[i].n < POOL_MAX) {
		c->pools[i].idle[c->pools[i].n++] = r;
		r = NULL;
	}
	pthread_mutex_unlock(&c->lock);
	rpc_client_free(r);
}

static status_t call_control(control_client_t *c, size_t i, unsigned proc, xdrproc_t xa,
			     const void *arg, xdrproc_t xr, void *res, deadline_t deadline)
{
	deadline_t cap = clock_now_ms() + ATTEMPT_MAX_MS;
	rpc_client_t *r = take_connection(c, i);
	status_t st = rpc_client_call(r, proc, xa, arg, xr, res, deadline < cap ? deadline : cap);

	return_connection(c, i, r);
	return st;
}

static size_t get_leader_index(control_client_t *c, unsigned group)
{
	size_t i;

	pthread_mutex_lock(&c->lock);
	i = c->leader[group];
	pthread_mutex_unlock(&c->lock);
	return i;
}

status_t control_client_call_at(control_client_t *c, const char *addr, unsigned proc,
				xdrproc_t xdr_arg, const void *arg, xdrproc_t xdr_res, void *res,
				deadline_t deadline)
{
	for (size_t i = 0; i < c->n; i++) {
		if (str_eq(str_c(c->pools[i].addr), str_c(addr)))
			return call_control(c, i, proc, xdr_arg, arg, xdr_res, res, deadline);
	}
	return status_fail(STATUS_UNAVAILABLE, "unknown control process %s", addr);
}

/* True while calls of the group ask processes that do not lead it to forward them. */
static bool is_forwarding(control_client_t *c, unsigned group)
{
	bool on;

	pthread_mutex_lock(&c->lock);
	on = clock_now_ms() < c->forward_until[group];
	pthread_mutex_unlock(&c->lock);
	return on;
}

static void start_forwarding(control_client_t *c, unsigned group)
{
	pthread_mutex_lock(&c->lock);
	c->forward_until[group] = clock_now_ms() + FORWARD_MS;
	pthread_mutex_unlock(&c->lock);
}

/* After a failed call: assumes that the hinted process leads the group or, without a usable hint,
 * the next one in order. Returns true if the hint was used. */
static bool advance_leader(control_client_t *c, unsigned group, size_t tried, str_t hint)
{
	size_t next = (tried + 1) % c->n;
	bool hinted = false;

	for (size_t i = 0; i < c->n; i++) {
		if (hint.n && i != tried && str_eq(hint, str_c(c->pools[i].addr))) {
			next = i;
			hinted = true;
		}
	}
	pthread_mutex_lock(&c->lock);
	if (c->leader[group] == tried)
		c->leader[group] = next;
	pthread_mutex_unlock(&c->lock);
	return hinted;
}

/* Sends a command or query to the group's leader; retries until it is executed or refused, or the
 * deadline passes. */
static status_t exec_on_leader(control_client_t *c, unsigned group, unsigned proc, str_t payload,
			       wire_exec_res_t *res, deadline_t deadline)
{
	status_t result = STATUS_UNAVAILABLE;

	while (clock_left_ms(deadline) > 0) {
		size_t i = get_leader_index(c, group);
		wire_exec_arg_t arg = {group, (u_int)clock_left_ms(deadline),
				       is_forwarding(c, group), wire_bytes(payload)};
		status_t st;

		if (arg.wait_ms > ATTEMPT_MAX_MS)
			arg.wait_ms = ATTEMPT_MAX_MS;
		*res = (wire_exec_res_t){0};
		st = call_control(c, i, proc, XDR_PROC(wire_exec_arg_t), &arg,
				  XDR_PROC(wire_exec_res_t), res, deadline);
		if (st == STATUS_OK)
			st = (status_t)res->status;
		if (st == STATUS_OK)
			return STATUS_OK;
		if (st == STATUS_INVALID || st == STATUS_LIMIT)
			return status_fail(st, "%.*s", STR_ARG(wire_str(res->message)));
		if (st == STATUS_TIMEOUT || st == STATUS_IO)
			result = STATUS_TIMEOUT;
		if (st == STATUS_TIMEOUT || st == STATUS_UNAVAILABLE)
			start_forwarding(c, group);
		if (!advance_leader(c, group, i, wire_str(res->leader)))
			clock_sleep_ms(RETRY_PAUSE_MS);
		wire_free(XDR_PROC(wire_exec_res_t), res);
	}
	return status_fail(result, "the leader of group %u did not answer before the deadline",
			   group);
}

/* Encodes a command or query, executes it on the leader and decodes the answer. */
static status_t exec_typed(control_client_t *c, unsigned group, unsigned proc, xdrproc_t xcmd,
			   const void *cmd, xdrproc_t xres, void *res, size_t res_size,
			   deadline_t deadline)
{
	AUTO_BUF payload = {0};
	wire_exec_res_t er = {0};
	status_t st;

	wire_encode(&payload, xcmd, cmd);
	st = exec_on_leader(c, group, proc, str_buf(&payload), &er, deadline);
	if (st == STATUS_OK)
		st = wire_decode(wire_str(er.payload), xres, res, res_size);
	wire_free(XDR_PROC(wire_exec_res_t), &er);
	return st;
}

status_t control_client_fleet(control_client_t *c, const wire_fleet_cmd_t *cmd,
			      wire_fleet_res_t *res, deadline_t deadline)
{
	*res = (wire_fleet_res_t){0};
	return exec_typed(c, 0, AUBURN_EXEC, XDR_PROC(wire_fleet_cmd_t), cmd,
			  XDR_PROC(wire_fleet_res_t), res, sizeof(*res), deadline);
}

status_t control_client_ledger_group(control_client_t *c, unsigned group,
				     const wire_ledger_cmd_t *cmd, wire_ledger_res_t *res,
				     deadline_t deadline)
{
	*res = (wire_ledger_res_t){0};
	return exec_typed(c, group, AUBURN_EXEC, XDR_PROC(wire_ledger_cmd_t), cmd,
			  XDR_PROC(wire_ledger_res_t), res, sizeof(*res), deadline);
}

static unsigned group_of_cmd(const control_client_t *c, const wire_ledger_cmd_t *cmd)
{
	switch (cmd->kind) {
	case WIRE_LEDGER_ACCEPT:
		return control_client_group(c, wire_str(cmd->wire_ledger_cmd_t_u.accept.caller),
					    wire_str(cmd->wire_ledger_cmd_t_u.accept.key));
	case WIRE_LEDGER_ATTEMPT:
		return control_client_group(c, wire_str(cmd->wire_ledger_cmd_t_u.attempt.caller),
					    wire_str(cmd->wire_ledger_cmd_t_u.attempt.key));
	case WIRE_LEDGER_FINISH:
		return control_client_group(c, wire_str(cmd->wire_ledger_cmd_t_u.finish.caller),
					    wire_str(cmd->wire_ledger_cmd_t_u.finish.key));
	case WIRE_LEDGER_JOB_OPEN:
		return control_client_group(c, wire_str(cmd->wire_ledger_cmd_t_u.open.caller),
					    wire_str(cmd->wire_ledger_cmd_t_u.open.job));
	case WIRE_LEDGER_JOB_ITEMS:
		return control_client_group(c, wire_str(cmd->wire_ledger_cmd_t_u.items.caller),
					    wire_str(cmd->wire_ledger_cmd_t_u.items.job));
	case WIRE_LEDGER_JOB_SEAL:
	case WIRE_LEDGER_JOB_CANCEL:
		return control_client_group(c, wire_str(cmd->wire_ledger_cmd_t_u.seal.caller),
					    wire_str(cmd->wire_ledger_cmd_t_u.seal.job));
	default:
		assert(!"the command names no key");
		return 1;
	}
}

status_t control_client_ledger(control_client_t *c, const wire_ledger_cmd_t *cmd,
			       wire_ledger_res_t *res, deadline_t deadline)
{
	return control_client_ledger_group(c, group_of_cmd(c, cmd), cmd, res, deadline);
}

status_t control_client_query(control_client_t *c, unsigned group, const wire_query_t *q,
			      wire_query_res_t *res, deadline_t deadline)
{
	*res = (wire_query_res_t){0};
	return exec_typed(c, group, AUBURN_QUERY, XDR_PROC(wire_query_t), q,
			  XDR_PROC(wire_query_res_t), res, sizeof(*res), deadline);
}

status_t control_client_heartbeat(control_client_t *c, const wire_heartbeat_arg_t *arg,
				  wire_heartbeat_res_t *res, deadline_t deadline)
{
	status_t st = STATUS_UNAVAILABLE;

	while (clock_left_ms(deadline) > 0) {
		size_t i = get_leader_index(c, 0);
		wire_heartbeat_arg_t a = *arg;

		a.forward = is_forwarding(c, 0);
		*res = (wire_heartbeat_res_t){0};
		st = call_control(c, i, AUBURN_HEARTBEAT, XDR_PROC(wire_heartbeat_arg_t), &a,
				  XDR_PROC(wire_heartbeat_res_t), res, deadline);
		if (st == STATUS_OK && res->status == STATUS_OK)
			return STATUS_OK;
		if (st != STATUS_OK)
			start_forwarding(c, 0);
		if (!advance_leader(c, 0, i, wire_str(res->leader)))
			clock_sleep_ms(RETRY_PAUSE_MS);
		wire_free(XDR_PROC(wire_heartbeat_res_t), res);
	}
	return status_fail(STATUS_UNAVAILABLE,
			   "no control process renewed the lease before the deadline");
}

static status_t call_for_text(control_client_t *c, size_t i, unsigned proc, xdrproc_t xa,
			      const void *arg, buf_t *out, deadline_t deadline)
{
	wire_text_t t = {0};
	status_t st = call_control(c, i, proc, xa, arg, XDR_PROC(wire_text_t), &t, deadline);

	if (st == STATUS_OK)
		buf_add(out, wire_str(t.text));
	wire_free(XDR_PROC(wire_text_t), &t);
	return st;
}

status_t control_client_status(control_client_t *c, size_t i, buf_t *out, deadline_t deadline)
{
	return call_for_text(c, i, AUBURN_STATUS, rpc_xdr_void, NULL, out, deadline);
}

status_t control_client_events(control_client_t *c, size_t i, str_t needle, unsigned max,
			       buf_t *out, deadline_t deadline)
{
	wire_events_arg_t arg = {wire_bytes(needle), max};

	return call_for_text(c, i, AUBURN_EVENTS, XDR_PROC(wire_events_arg_t), &arg, out, deadline);
}
