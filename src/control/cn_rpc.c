#include <string.h>
#include "base/lg.h"
#include "base/mx.h"
#include "base/rp.h"
#include "control/cn.h"
#include "state/tx.h"

#define BEAT_FORWARD_MS 500

static void fail(aw_exec_res_t *res, status_t st)
{
	res->status = (int)st;
	res->message = px_copy(str_c(st_message()));
}

static void add_leader(cn_group_t *g, aw_bytes_t *out)
{
	gr_status_t st;

	gr_status(g->gr, &st);
	*out = px_copy(str_c(st.leader_addr));
}

/* Passes a call on to the leader for a caller that can't reach it. False when that can't be done.
 */
static bool pass_on(cn_t *cn, cn_group_t *g, unsigned proc, const aw_exec_arg_t *arg,
		    aw_exec_res_t *res)
{
	aw_exec_arg_t a = *arg;
	gr_status_t st;

	gr_status(g->gr, &st);
	if (!arg->forward || st.leader || !st.leader_addr[0])
		return false;
	a.forward = false;
	MX_COUNT("auburn_forwarded_total");
	if (cc_call_at(cn->cc, st.leader_addr, proc, PX(aw_exec_arg_t), &a, PX(aw_exec_res_t), res,
		       clk_now_ms() + a.wait_ms) == ST_OK)
		return true;
	px_free(PX(aw_exec_res_t), res);
	*res = (aw_exec_res_t){0};
	return false;
}

static cn_group_t *group_of(cn_t *cn, unsigned n, aw_exec_res_t *res)
{
	if (!cn->ready) {
		fail(res, st_fail(ST_NOT_LEADER, "starting"));
		return NULL;
	}
	if (n >= cn->ngroups) {
		fail(res, st_fail(ST_INVALID, "no group %u", n));
		return NULL;
	}
	return &cn->groups[n];
}

/* A text that breaks the rules never reaches the log. */
static status_t check_text(const aw_fleet_cmd_t *cmd)
{
	tx_text_t *t = NULL;
	status_t st;

	if (cmd->kind != AW_FLEET_CONF_SUBMIT)
		return ST_OK;
	st = tx_parse(px_str(cmd->aw_fleet_cmd_t_u.submit.text), &t);
	tx_free(t);
	return st;
}

static status_t check_command(unsigned group, str_t payload)
{
	aw_ledger_cmd_t l;
	aw_fleet_cmd_t f;
	status_t st;

	if (group > 0) {
		st = px_decode(payload, PX(aw_ledger_cmd_t), &l, sizeof(l));
		px_free(PX(aw_ledger_cmd_t), &l);
		return st == ST_OK ? ST_OK : st_fail(ST_INVALID, "not a ledger command");
	}
	st = px_decode(payload, PX(aw_fleet_cmd_t), &f, sizeof(f));
	st = st == ST_OK ? check_text(&f) : st_fail(ST_INVALID, "not a fleet command");
	px_free(PX(aw_fleet_cmd_t), &f);
	return st;
}

static void on_exec(void *ctx, const void *arg, void *out)
{
	cn_t *cn = ctx;
	const aw_exec_arg_t *a = arg;
	aw_exec_res_t *res = out;
	cn_group_t *g = group_of(cn, a->group, res);
	AUTO_BUF result = {0};
	status_t st;

	if (!g || pass_on(cn, g, AUBURN_EXEC, a, res))
		return;
	st = check_command(a->group, px_str(a->payload));
	if (st == ST_OK)
		st = gr_propose(g->gr, px_str(a->payload), clk_now_ms() + a->wait_ms, &result);
	if (st == ST_OK) {
		res->payload = px_copy(str_buf(&result));
		MX_COUNT("auburn_commands_total");
		return;
	}
	fail(res, st);
	add_leader(g, &res->leader);
}

typedef struct {
	const aw_query_t *q;
	aw_query_res_t *res;
} query_t;

static void run_query(cn_group_t *g, void *arg)
{
	query_t *q = arg;

	if (g->fl)
		fl_query(g->fl, q->q, q->res);
	else
		ld_query(g->ld, q->q, q->res);
}

static bool query_fits(unsigned group, aw_query_kind_t kind)
{
	bool fleet = kind == AW_QUERY_CONF || kind == AW_QUERY_VIEW;

	return fleet == (group == 0);
}

static void on_query(void *ctx, const void *arg, void *out)
{
	cn_t *cn = ctx;
	const aw_exec_arg_t *a = arg;
	aw_exec_res_t *res = out;
	cn_group_t *g = group_of(cn, a->group, res);
	aw_query_t q;
	aw_query_res_t answer = {0};
	AUTO_BUF payload = {0};
	status_t st;

	if (!g || pass_on(cn, g, AUBURN_QUERY, a, res))
		return;
	st = px_decode(px_str(a->payload), PX(aw_query_t), &q, sizeof(q));
	if (st != ST_OK || !query_fits(a->group, q.kind))
		st = st_fail(ST_INVALID, "not a query of group %u", a->group);
	else
		st = gr_barrier(g->gr, clk_now_ms() + a->wait_ms);
	if (st == ST_OK) {
		cn_group_read(g, run_query, &(query_t){&q, &answer});
		px_encode(&payload, PX(aw_query_res_t), &answer);
		px_free(PX(aw_query_res_t), &answer);
		res->payload = px_copy(str_buf(&payload));
		MX_COUNT("auburn_queries_total");
	} else {
		fail(res, st);
		add_leader(g, &res->leader);
	}
	px_free(PX(aw_query_t), &q);
}

static bool pass_beat_on(cn_t *cn, const aw_beat_arg_t *arg, aw_beat_res_t *res)
{
	aw_beat_arg_t a = *arg;
	gr_status_t st;

	gr_status(cn->groups[0].gr, &st);
	if (!arg->forward || st.leader || !st.leader_addr[0])
		return false;
	a.forward = false;
	MX_COUNT("auburn_forwarded_total");
	if (cc_call_at(cn->cc, st.leader_addr, AUBURN_BEAT, PX(aw_beat_arg_t), &a,
		       PX(aw_beat_res_t), res, clk_now_ms() + BEAT_FORWARD_MS) == ST_OK)
		return true;
	px_free(PX(aw_beat_res_t), res);
	*res = (aw_beat_res_t){0};
	return false;
}

static void on_beat(void *ctx, const void *arg, void *out)
{
	cn_t *cn = ctx;
	aw_beat_res_t *res = out;

	if (!cn->ready) {
		res->status = ST_NOT_LEADER;
		return;
	}
	if (pass_beat_on(cn, arg, res))
		return;
	cn_beat(cn, arg, res);
	if (res->status != ST_OK)
		add_leader(&cn->groups[0], &res->leader);
}

static void on_raft(void *ctx, const void *arg, void *out)
{
	cn_t *cn = ctx;
	const aw_raft_arg_t *a = arg;

	if (!cn->ready)
		return;
	for (u_int i = 0; i < a->msgs.msgs_len; i++) {
		const aw_raft_msg_t *m = &a->msgs.msgs_val[i];

		if (m->group < cn->ngroups)
			gr_receive(cn->groups[m->group].gr, px_str(m->payload));
	}
}

static void on_status(void *ctx, const void *arg, void *out)
{
	AUTO_BUF b = {0};

	cn_status_json(ctx, &b);
	((aw_text_t *)out)->text = px_copy(str_buf(&b));
}

static void on_events(void *ctx, const void *arg, void *out)
{
	const aw_events_arg_t *a = arg;
	AUTO_BUF b = {0};

	lg_find(&b, px_str(a->needle), a->max);
	((aw_text_t *)out)->text = px_copy(str_buf(&b));
}

static const rp_proc_t procs[] = {
	{AUBURN_EXEC, PX(aw_exec_arg_t), sizeof(aw_exec_arg_t), PX(aw_exec_res_t),
	 sizeof(aw_exec_res_t), on_exec},
	{AUBURN_QUERY, PX(aw_exec_arg_t), sizeof(aw_exec_arg_t), PX(aw_exec_res_t),
	 sizeof(aw_exec_res_t), on_query},
	{AUBURN_BEAT, PX(aw_beat_arg_t), sizeof(aw_beat_arg_t), PX(aw_beat_res_t),
	 sizeof(aw_beat_res_t), on_beat},
	{AUBURN_RAFT, PX(aw_raft_arg_t), sizeof(aw_raft_arg_t), rp_xdr_void, 1, on_raft},
	{AUBURN_STATUS, rp_xdr_void, 1, PX(aw_text_t), sizeof(aw_text_t), on_status},
	{AUBURN_EVENTS, PX(aw_events_arg_t), sizeof(aw_events_arg_t), PX(aw_text_t),
	 sizeof(aw_text_t), on_events},
	{0},
};

status_t cn_rpc_start(cn_t *cn)
{
	rp_server_options_t o = {cn->s.listen, AUBURN_CONTROL, AUBURN_CONTROL_V1, procs, cn};

	return rp_serve(&o);
}
