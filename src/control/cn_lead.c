#include "base/lg.h"
#include "base/mx.h"
#include "control/cn.h"
#include "state/tx.h"

#define PROPOSE_MS	 2000
#define SESSIONS_MAX	 4096
#define EXPIRE_PERIOD_MS 5000

typedef struct {
	uint64_t ids[SESSIONS_MAX];
	size_t n;
} session_list_t;

static void list_open(cn_group_t *g, void *arg)
{
	session_list_t *l = arg;

	l->n = fl_sessions(g->fl, l->ids, SESSIONS_MAX);
}

static void list_closed(cn_group_t *g, void *arg)
{
	session_list_t *l = arg;

	l->n = fl_closed(g->fl, l->ids, SESSIONS_MAX);
}

static void close_session(cn_t *cn, uint64_t session)
{
	aw_fleet_cmd_t cmd = {.kind = AW_FLEET_SESSION_CLOSE};
	aw_fleet_res_t res;
	status_t st;

	cmd.aw_fleet_cmd_t_u.close.session = session;
	cmd.aw_fleet_cmd_t_u.close.reason = px_bytes(STR("lease ended"));
	st = cn_fleet(cn, &cmd, &res, clk_now_ms() + PROPOSE_MS);
	px_free(PX(aw_fleet_res_t), &res);
	lg(LG_WARN, "session_closed", LG_I("session", session), LG_C("reason", "lease ended"),
	   LG_C("status", st_name(st)));
	MX_COUNT("auburn_sessions_closed_total");
}

static void close_ended(cn_t *cn, const gr_status_t *st)
{
	static session_list_t open;

	cn_group_read(&cn->groups[0], list_open, &open);
	for (size_t i = 0; i < open.n; i++) {
		if (cn_session_ended(cn, open.ids[i], st->led_since))
			close_session(cn, open.ids[i]);
	}
}

static status_t tell_group(cn_t *cn, unsigned group, session_list_t *lost)
{
	aw_ledger_cmd_t cmd = {.kind = AW_LEDGER_SESSIONS_LOST};
	aw_ledger_res_t res;
	status_t st;

	cmd.aw_ledger_cmd_t_u.lost.sessions.sessions_len = (u_int)lost->n;
	cmd.aw_ledger_cmd_t_u.lost.sessions.sessions_val = (u_quad_t *)lost->ids;
	cmd.aw_ledger_cmd_t_u.lost.now_wall_ms = clk_wall_ms();
	st = cc_ledger_group(cn->cc, group, &cmd, &res, clk_now_ms() + PROPOSE_MS);
	px_free(PX(aw_ledger_res_t), &res);
	return st;
}

static void forget(cn_t *cn, session_list_t *lost)
{
	aw_fleet_cmd_t cmd = {.kind = AW_FLEET_FORGET};
	aw_fleet_res_t res;

	cmd.aw_fleet_cmd_t_u.forget.forget_len = (u_int)lost->n;
	cmd.aw_fleet_cmd_t_u.forget.forget_val = (u_quad_t *)lost->ids;
	cn_fleet(cn, &cmd, &res, clk_now_ms() + PROPOSE_MS);
	px_free(PX(aw_fleet_res_t), &res);
	lg(LG_INFO, "sessions_told_to_ledger", LG_I("count", lost->n), LG_I("first", lost->ids[0]));
}

/* Every ledger group hears of a closed session before group 0 forgets it. */
static void tell_ledger(cn_t *cn)
{
	static session_list_t closed;

	cn_group_read(&cn->groups[0], list_closed, &closed);
	if (closed.n == 0)
		return;
	for (unsigned g = 1; g < cn->ngroups; g++) {
		if (tell_group(cn, g, &closed) != ST_OK)
			return;
	}
	forget(cn, &closed);
}

typedef struct {
	uint64_t number;
	int64_t retention_ms;
} retention_t;

/* Parses the text in force once for each number. */
static void read_retention(cn_group_t *g, void *arg)
{
	retention_t *r = arg;
	aw_query_t q = {.kind = AW_QUERY_CONF};
	aw_query_res_t res = {0};
	tx_text_t *t = NULL;

	if (fl_conf_number(g->fl) == r->number)
		return;
	fl_query(g->fl, &q, &res);
	if (res.status == ST_OK && tx_parse(px_str(res.conf.text), &t) == ST_OK) {
		r->number = res.conf.number;
		r->retention_ms = t->retention_s * 1000;
	}
	tx_free(t);
	px_free(PX(aw_query_res_t), &res);
}

/* The retention bound of the text in force, as far as this replica knows it. */
static void expire_group(cn_t *cn, cn_group_t *g)
{
	aw_ledger_cmd_t cmd = {.kind = AW_LEDGER_EXPIRE};
	static retention_t r;
	AUTO_BUF payload = {0};
	AUTO_BUF result = {0};

	cn_group_read(&cn->groups[0], read_retention, &r);
	if (r.retention_ms == 0)
		return;
	cmd.aw_ledger_cmd_t_u.expire.now_wall_ms = clk_wall_ms();
	cmd.aw_ledger_cmd_t_u.expire.retention_ms = r.retention_ms;
	px_encode(&payload, PX(aw_ledger_cmd_t), &cmd);
	gr_propose(g->gr, str_buf(&payload), clk_now_ms() + PROPOSE_MS, &result);
}

static void expire_round(cn_t *cn)
{
	static deadline_t next;

	if (clk_now_ms() < next)
		return;
	next = clk_now_ms() + EXPIRE_PERIOD_MS;
	for (unsigned n = 1; n < cn->ngroups; n++) {
		gr_status_t st;

		gr_status(cn->groups[n].gr, &st);
		if (st.leader)
			expire_group(cn, &cn->groups[n]);
	}
}

void cn_lead_round(cn_t *cn)
{
	gr_status_t st;

	for (unsigned n = 0; n < cn->ngroups; n++) {
		gr_status(cn->groups[n].gr, &st);
		if (st.leader)
			cn_repair_round(cn, &cn->groups[n], &st);
	}
	expire_round(cn);
	gr_status(cn->groups[0].gr, &st);
	if (!st.leader)
		return;
	close_ended(cn, &st);
	tell_ledger(cn);
	cn_platform_round(cn);
	cn_owner_round(cn);
}
