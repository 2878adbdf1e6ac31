#include "base/log.h"
#include "base/metric.h"
#include "control/control.h"
#include "state/config.h"

#define PROPOSE_MS	 2000
#define SESSIONS_MAX	 4096
#define EXPIRE_PERIOD_MS 5000

typedef struct {
	uint64_t ids[SESSIONS_MAX];
	size_t n;
} session_list_t;

static void list_open(control_group_t *g, void *arg)
{
	session_list_t *l = arg;

	l->n = fleet_open_sessions(g->fleet, l->ids, SESSIONS_MAX);
}

static void list_closed(control_group_t *g, void *arg)
{
	session_list_t *l = arg;

	l->n = fleet_closed_sessions(g->fleet, l->ids, SESSIONS_MAX);
}

static void close_session(control_t *cn, uint64_t session)
{
	wire_fleet_cmd_t cmd = {.kind = WIRE_FLEET_SESSION_CLOSE};
	wire_fleet_res_t res;
	status_t st;

	cmd.wire_fleet_cmd_t_u.close.session = session;
	cmd.wire_fleet_cmd_t_u.close.reason = wire_bytes(STR("lease ended"));
	st = control_fleet_propose(cn, &cmd, &res, clock_now_ms() + PROPOSE_MS);
	wire_free(XDR_PROC(wire_fleet_res_t), &res);
	log_event(LOG_LEVEL_WARN, "session_closed", LOG_INT("session", session),
		  LOG_CSTR("reason", "lease ended"), LOG_CSTR("status", status_name(st)));
	METRIC_INC("auburn_sessions_closed_total");
}

static void close_ended(control_t *cn, const group_status_t *st)
{
	static session_list_t open;

	control_group_read(&cn->groups[0], list_open, &open);
	for (size_t i = 0; i < open.n; i++) {
		if (control_session_expired(cn, open.ids[i], st->leader_since))
			close_session(cn, open.ids[i]);
	}
}

static status_t tell_group(control_t *cn, unsigned group, session_list_t *lost)
{
	wire_ledger_cmd_t cmd = {.kind = WIRE_LEDGER_SESSIONS_LOST};
	wire_ledger_res_t res;
	status_t st;

	cmd.wire_ledger_cmd_t_u.lost.sessions.sessions_len = (u_int)lost->n;
	cmd.wire_ledger_cmd_t_u.lost.sessions.sessions_val = (u_quad_t *)lost->ids;
	cmd.wire_ledger_cmd_t_u.lost.now_wall_ms = clock_wall_ms();
	st = control_client_ledger_group(cn->client, group, &cmd, &res,
					 clock_now_ms() + PROPOSE_MS);
	wire_free(XDR_PROC(wire_ledger_res_t), &res);
	return st;
}

static void forget(control_t *cn, session_list_t *lost)
{
	wire_fleet_cmd_t cmd = {.kind = WIRE_FLEET_FORGET};
	wire_fleet_res_t res;

	cmd.wire_fleet_cmd_t_u.forget.forget_len = (u_int)lost->n;
	cmd.wire_fleet_cmd_t_u.forget.forget_val = (u_quad_t *)lost->ids;
	control_fleet_propose(cn, &cmd, &res, clock_now_ms() + PROPOSE_MS);
	wire_free(XDR_PROC(wire_fleet_res_t), &res);
	log_event(LOG_LEVEL_INFO, "sessions_told_to_ledger", LOG_INT("count", lost->n),
		  LOG_INT("first", lost->ids[0]));
}

/* Every ledger group hears of a closed session before group 0 forgets it. */
static void tell_ledger(control_t *cn)
{
	static session_list_t closed;

	control_group_read(&cn->groups[0], list_closed, &closed);
	if (closed.n == 0)
		return;
	for (unsigned g = 1; g < cn->ngroups; g++) {
		if (tell_group(cn, g, &closed) != STATUS_OK)
			return;
	}
	forget(cn, &closed);
}

typedef struct {
	uint64_t number;
	int64_t retention_ms;
} retention_t;

/* Parses the text in force once for each number. */
static void read_retention(control_group_t *g, void *arg)
{
	retention_t *r = arg;
	wire_query_t q = {.kind = WIRE_QUERY_CONFIG};
	wire_query_res_t res = {0};
	config_t *t = NULL;

	if (fleet_config_number(g->fleet) == r->number)
		return;
	fleet_query(g->fleet, &q, &res);
	if (res.status == STATUS_OK && config_parse(wire_str(res.conf.text), &t) == STATUS_OK) {
		r->number = res.conf.number;
		r->retention_ms = t->retention_s * 1000;
	}
	config_free(t);
	wire_free(XDR_PROC(wire_query_res_t), &res);
}

/* The retention bound of the text in force, as far as this replica knows it. */
static void expire_group(control_t *cn, control_group_t *g)
{
	wire_ledger_cmd_t cmd = {.kind = WIRE_LEDGER_EXPIRE};
	static retention_t r;
	AUTO_BUF payload = {0};
	AUTO_BUF result = {0};

	control_group_read(&cn->groups[0], read_retention, &r);
	if (r.retention_ms == 0)
		return;
	cmd.wire_ledger_cmd_t_u.expire.now_wall_ms = clock_wall_ms();
	cmd.wire_ledger_cmd_t_u.expire.retention_ms = r.retention_ms;
	wire_encode(&payload, XDR_PROC(wire_ledger_cmd_t), &cmd);
	group_propose(g->raft, str_buf(&payload), clock_now_ms() + PROPOSE_MS, &result);
}

static void expire_round(control_t *cn)
{
	static deadline_t next;

	if (clock_now_ms() < next)
		return;
	next = clock_now_ms() + EXPIRE_PERIOD_MS;
	for (unsigned n = 1; n < cn->ngroups; n++) {
		group_status_t st;

		group_get_status(cn->groups[n].raft, &st);
		if (st.leader)
			expire_group(cn, &cn->groups[n]);
	}
}

void control_leader_round(control_t *cn)
{
	group_status_t st;

	for (unsigned n = 0; n < cn->ngroups; n++) {
		group_get_status(cn->groups[n].raft, &st);
		if (st.leader)
			control_repair_round(cn, &cn->groups[n], &st);
	}
	expire_round(cn);
	group_get_status(cn->groups[0].raft, &st);
	if (!st.leader)
		return;
	close_ended(cn, &st);
	tell_ledger(cn);
	control_platform_round(cn);
	control_owner_round(cn);
}
