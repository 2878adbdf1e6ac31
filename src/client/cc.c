#include "client/cc.h"

#include <assert.h>
#include <pthread.h>
#include <stdlib.h>
#include "base/rp.h"

/* A control process that doesn't answer within this is passed over for another. */
#define TRY_MAX_MS 700
#define PAUSE_MS   20
/* How long calls go on through another process after the leader itself wasn't reached. */
#define FORWARD_MS   5000
#define POOL_MAX     64
#define GROUPS_MAX   64
#define CONTROLS_MAX 18

/* Idle connections to one control process. */
typedef struct {
	char *addr;
	rp_client_t *idle[POOL_MAX];
	size_t n;
} pool_t;

struct cc {
	pthread_mutex_t lock;
	pool_t pools[CONTROLS_MAX];
	size_t n;
	unsigned groups;
	size_t leader[GROUPS_MAX + 1]; /* guess for each group */
	deadline_t forward[GROUPS_MAX + 1];
};

cc_t *cc_new(const char *const *addrs, size_t n, unsigned ledger_groups)
{
	cc_t *c = mem_new(sizeof(*c));

	assert(n > 0 && n <= CONTROLS_MAX && ledger_groups > 0 && ledger_groups <= GROUPS_MAX);
	pthread_mutex_init(&c->lock, NULL);
	c->n = n;
	c->groups = ledger_groups;
	for (size_t i = 0; i < n; i++)
		c->pools[i].addr = str_dup(str_c(addrs[i]));
	return c;
}

void cc_free(cc_t *c)
{
	if (!c)
		return;
	for (size_t i = 0; i < c->n; i++) {
		while (c->pools[i].n > 0)
			rp_client_free(c->pools[i].idle[--c->pools[i].n]);
		free(c->pools[i].addr);
	}
	pthread_mutex_destroy(&c->lock);
	free(c);
}

const char *cc_addr(const cc_t *c, size_t i)
{
	return c->pools[i].addr;
}

unsigned cc_groups(const cc_t *c)
{
	return c->groups;
}

unsigned cc_group(const cc_t *c, str_t caller, str_t key)
{
	return px_group(caller, key, c->groups);
}

static rp_client_t *take(cc_t *c, size_t i)
{
	rp_client_t *r = NULL;

	pthread_mutex_lock(&c->lock);
	if (c->pools[i].n > 0)
		r = c->pools[i].idle[--c->pools[i].n];
	pthread_mutex_unlock(&c->lock);
	return r ? r : rp_client_new(c->pools[i].addr, AUBURN_CONTROL, AUBURN_CONTROL_V1);
}

static void give(cc_t *c, size_t i, rp_client_t *r)
{
	pthread_mutex_lock(&c->lock);
	if (c->pools[i].n < POOL_MAX) {
		c->pools[i].idle[c->pools[i].n++] = r;
		r = NULL;
	}
	pthread_mutex_unlock(&c->lock);
	rp_client_free(r);
}

static status_t call(cc_t *c, size_t i, unsigned proc, xdrproc_t xa, const void *arg, xdrproc_t xr,
		     void *res, deadline_t deadline)
{
	deadline_t cap = clk_now_ms() + TRY_MAX_MS;
	rp_client_t *r = take(c, i);
	status_t st = rp_call(r, proc, xa, arg, xr, res, deadline < cap ? deadline : cap);

	give(c, i, r);
	return st;
}

static size_t leader_of(cc_t *c, unsigned group)
{
	size_t i;

	pthread_mutex_lock(&c->lock);
	i = c->leader[group];
	pthread_mutex_unlock(&c->lock);
	return i;
}

status_t cc_call_at(cc_t *c, const char *addr, unsigned proc, xdrproc_t xdr_arg, const void *arg,
		    xdrproc_t xdr_res, void *res, deadline_t deadline)
{
	for (size_t i = 0; i < c->n; i++) {
		if (str_eq(str_c(c->pools[i].addr), str_c(addr)))
			return call(c, i, proc, xdr_arg, arg, xdr_res, res, deadline);
	}
	return st_fail(ST_UNAVAILABLE, "%s is no known control process", addr);
}

/* True while calls of the group are to be passed on by processes that don't lead it. */
static bool forwards(cc_t *c, unsigned group)
{
	bool on;

	pthread_mutex_lock(&c->lock);
	on = clk_now_ms() < c->forward[group];
	pthread_mutex_unlock(&c->lock);
	return on;
}

static void start_forward(cc_t *c, unsigned group)
{
	pthread_mutex_lock(&c->lock);
	c->forward[group] = clk_now_ms() + FORWARD_MS;
	pthread_mutex_unlock(&c->lock);
}

/* Follows a hint, or goes on to the next one. False when there is no hint to follow. */
static bool move_on(cc_t *c, unsigned group, size_t tried, str_t hint)
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

/* Sends to the group's leader until it answers or the deadline passes. */
static status_t exec(cc_t *c, unsigned group, unsigned proc, str_t payload, aw_exec_res_t *res,
		     deadline_t deadline)
{
	status_t end = ST_UNAVAILABLE;

	while (clk_left_ms(deadline) > 0) {
		size_t i = leader_of(c, group);
		aw_exec_arg_t arg = {group, (u_int)clk_left_ms(deadline), forwards(c, group),
				     px_bytes(payload)};
		status_t st;

		if (arg.wait_ms > TRY_MAX_MS)
			arg.wait_ms = TRY_MAX_MS;
		*res = (aw_exec_res_t){0};
		st = call(c, i, proc, PX(aw_exec_arg_t), &arg, PX(aw_exec_res_t), res, deadline);
		if (st == ST_OK)
			st = (status_t)res->status;
		if (st == ST_OK)
			return ST_OK;
		if (st == ST_INVALID || st == ST_LIMIT)
			return st_fail(st, "%.*s", STR_ARG(px_str(res->message)));
		if (st == ST_TIMEOUT || st == ST_IO)
			end = ST_TIMEOUT;
		if (st == ST_TIMEOUT || st == ST_UNAVAILABLE)
			start_forward(c, group);
		if (!move_on(c, group, i, px_str(res->leader)))
			clk_sleep_ms(PAUSE_MS);
		px_free(PX(aw_exec_res_t), res);
	}
	return st_fail(end, "no answer from the leader of group %u in time", group);
}

static status_t exec_typed(cc_t *c, unsigned group, unsigned proc, xdrproc_t xcmd, const void *cmd,
			   xdrproc_t xres, void *res, size_t res_size, deadline_t deadline)
{
	AUTO_BUF payload = {0};
	aw_exec_res_t er = {0};
	status_t st;

	px_encode(&payload, xcmd, cmd);
	st = exec(c, group, proc, str_buf(&payload), &er, deadline);
	if (st == ST_OK)
		st = px_decode(px_str(er.payload), xres, res, res_size);
	px_free(PX(aw_exec_res_t), &er);
	return st;
}

status_t cc_fleet(cc_t *c, const aw_fleet_cmd_t *cmd, aw_fleet_res_t *res, deadline_t deadline)
{
	*res = (aw_fleet_res_t){0};
	return exec_typed(c, 0, AUBURN_EXEC, PX(aw_fleet_cmd_t), cmd, PX(aw_fleet_res_t), res,
			  sizeof(*res), deadline);
}

status_t cc_ledger_group(cc_t *c, unsigned group, const aw_ledger_cmd_t *cmd, aw_ledger_res_t *res,
			 deadline_t deadline)
{
	*res = (aw_ledger_res_t){0};
	return exec_typed(c, group, AUBURN_EXEC, PX(aw_ledger_cmd_t), cmd, PX(aw_ledger_res_t), res,
			  sizeof(*res), deadline);
}

static unsigned group_of_cmd(const cc_t *c, const aw_ledger_cmd_t *cmd)
{
	switch (cmd->kind) {
	case AW_LEDGER_ACCEPT:
		return cc_group(c, px_str(cmd->aw_ledger_cmd_t_u.accept.caller),
				px_str(cmd->aw_ledger_cmd_t_u.accept.key));
	case AW_LEDGER_ATTEMPT:
		return cc_group(c, px_str(cmd->aw_ledger_cmd_t_u.attempt.caller),
				px_str(cmd->aw_ledger_cmd_t_u.attempt.key));
	case AW_LEDGER_FINISH:
		return cc_group(c, px_str(cmd->aw_ledger_cmd_t_u.finish.caller),
				px_str(cmd->aw_ledger_cmd_t_u.finish.key));
	case AW_LEDGER_JOB_OPEN:
		return cc_group(c, px_str(cmd->aw_ledger_cmd_t_u.open.caller),
				px_str(cmd->aw_ledger_cmd_t_u.open.job));
	case AW_LEDGER_JOB_ITEMS:
		return cc_group(c, px_str(cmd->aw_ledger_cmd_t_u.items.caller),
				px_str(cmd->aw_ledger_cmd_t_u.items.job));
	case AW_LEDGER_JOB_SEAL:
	case AW_LEDGER_JOB_CANCEL:
		return cc_group(c, px_str(cmd->aw_ledger_cmd_t_u.seal.caller),
				px_str(cmd->aw_ledger_cmd_t_u.seal.job));
	default:
		assert(!"the command names no key");
		return 1;
	}
}

status_t cc_ledger(cc_t *c, const aw_ledger_cmd_t *cmd, aw_ledger_res_t *res, deadline_t deadline)
{
	return cc_ledger_group(c, group_of_cmd(c, cmd), cmd, res, deadline);
}

status_t cc_query(cc_t *c, unsigned group, const aw_query_t *q, aw_query_res_t *res,
		  deadline_t deadline)
{
	*res = (aw_query_res_t){0};
	return exec_typed(c, group, AUBURN_QUERY, PX(aw_query_t), q, PX(aw_query_res_t), res,
			  sizeof(*res), deadline);
}

status_t cc_beat(cc_t *c, const aw_beat_arg_t *arg, aw_beat_res_t *res, deadline_t deadline)
{
	status_t st = ST_UNAVAILABLE;

	while (clk_left_ms(deadline) > 0) {
		size_t i = leader_of(c, 0);
		aw_beat_arg_t a = *arg;

		a.forward = forwards(c, 0);
		*res = (aw_beat_res_t){0};
		st = call(c, i, AUBURN_BEAT, PX(aw_beat_arg_t), &a, PX(aw_beat_res_t), res,
			  deadline);
		if (st == ST_OK && res->status == ST_OK)
			return ST_OK;
		if (st != ST_OK)
			start_forward(c, 0);
		if (!move_on(c, 0, i, px_str(res->leader)))
			clk_sleep_ms(PAUSE_MS);
		px_free(PX(aw_beat_res_t), res);
	}
	return st_fail(ST_UNAVAILABLE, "no control process renewed the lease in time");
}

static status_t fetch_text(cc_t *c, size_t i, unsigned proc, xdrproc_t xa, const void *arg,
			   buf_t *out, deadline_t deadline)
{
	aw_text_t t = {0};
	status_t st = call(c, i, proc, xa, arg, PX(aw_text_t), &t, deadline);

	if (st == ST_OK)
		buf_add(out, px_str(t.text));
	px_free(PX(aw_text_t), &t);
	return st;
}

status_t cc_status(cc_t *c, size_t i, buf_t *out, deadline_t deadline)
{
	return fetch_text(c, i, AUBURN_STATUS, rp_xdr_void, NULL, out, deadline);
}

status_t cc_events(cc_t *c, size_t i, str_t needle, unsigned max, buf_t *out, deadline_t deadline)
{
	aw_events_arg_t arg = {px_bytes(needle), max};

	return fetch_text(c, i, AUBURN_EVENTS, PX(aw_events_arg_t), &arg, out, deadline);
}
