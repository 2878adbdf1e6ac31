/* Periodic work of a leader: closes expired sessions, removes old ledger records, and calls the
 * rounds of repair, upstreams and owners. */
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

static void list_open_sessions(control_group_t *g, void *arg)
{
	session_list_t *l = arg;

	l->n = fleet_open_sessions(g->fleet, l->ids, SESSIONS_MAX);
}

static void list_closed_sessions(control_group_t *g, void *arg)
{
	session_list_t *l = arg;

	l->n = fleet_closed_sessions(g->fleet, l->ids, SESSIONS_MAX);
}

static void close_session(control_t *ctl, uint64_t session)
{
	wire_fleet_cmd_t cmd = {.kind = WIRE_FLEET_SESSION_CLOSE};
	wire_fleet_res_t res;
	status_t st;

	cmd.wire_fleet_cmd_t_u.close.session = session;
	cmd.wire_fleet_cmd_t_u.close.reason = wire_bytes(STR("lease ended"));
	st = control_fleet_propose(ctl, &cmd, &res, clock_now_ms() + PROPOSE_MS);
	wire_free(XDR_PROC(wire_fleet_res_t), &res);
	log_event(LOG_LEVEL_WARN, "session_closed", LOG_INT("session", session),
		  LOG_CSTR("reason", "lease ended"), LOG_CSTR("status", status_name(st)));
	METRIC_INC("auburn_sessions_closed_total");
}

static void close_expired_sessions(control_t *ctl, const group_status_t *st)
{
	static session_list_t open;

	control_group_read(&ctl->groups[0], list_open_sessions, &open);
	for (size_t i = 0; i < open.n; i++) {
		if (control_session_expired(ctl, open.ids[i], st->leader_since))
			close_session(ctl, open.ids[i]);
	}
}

static status_t send_lost_sessions(control_t *ctl, unsigned group, session_list_t *lost)
{
	wire_ledger_cmd_t cmd = {.kind = WIRE_LEDGER_SESSIONS_LOST};
	wire_ledger_res_t res;
	status_t st;

	cmd.wire_ledger_cmd_t_u.lost.sessions.sessions_len = (u_int)lost->n;
	cmd.wire_ledger_cmd_t_u.lost.sessions.sessions_val = (u_quad_t *)lost->ids;
	cmd.wire_ledger_cmd_t_u.lost.now_wall_ms = clock_wall_ms();
	st = control_client_ledger_group(ctl->client, group, &cmd, &res,
					 clock_now_ms() + PROPOSE_MS);
	wire_free(XDR_PROC(wire_ledger_res_t), &res);
	return st;
}

static void forget_sessions(control_t *ctl, session_list_t *lost)
{
	wire_fleet_cmd_t cmd = {.kind = WIRE_FLEET_FORGET};
	wire_fleet_res_t res;

	cmd.wire_fleet_cmd_t_u.forget.forget_len = (u_int)lost->n;
	cmd.wire_fleet_cmd_t_u.forget.forget_val = (u_quad_t *)lost->ids;
	control_fleet_propose(ctl, &cmd, &res, clock_now_ms() + PROPOSE_MS);
	wire_free(XDR_PROC(wire_fleet_res_t), &res);
	log_event(LOG_LEVEL_INFO, "sessions_told_to_ledger", LOG_INT("count", lost->n),
		  LOG_INT("first", lost->ids[0]));
}

/* Reports closed sessions to the ledger groups as lost, which then hand the work of these sessions
 * to other entries or end it as failed. Group 0 forgets the sessions only once all ledger groups
 * have recorded them. */
static void report_lost_sessions(control_t *ctl)
{
	static session_list_t closed;

	control_group_read(&ctl->groups[0], list_closed_sessions, &closed);
	if (closed.n == 0)
		return;
	for (unsigned g = 1; g < ctl->ngroups; g++) {
		if (send_lost_sessions(ctl, g, &closed) != STATUS_OK)
			return;
	}
	forget_sessions(ctl, &closed);
}

typedef struct {
	uint64_t number;
	int64_t retention_ms;
} retention_t;

/* Reads the retention time from the newest config, unless it is known from this config already. */
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

/* Proposes to remove ledger records that are older than the retention time. The time comes from the
 * newest config in this process's replica of group 0, which may lag behind. */
static void propose_expire(control_t *ctl, control_group_t *g)
{
	wire_ledger_cmd_t cmd = {.kind = WIRE_LEDGER_EXPIRE};
	static retention_t r;
	AUTO_BUF payload = {0};
	AUTO_BUF result = {0};

	control_group_read(&ctl->groups[0], read_retention, &r);
	if (r.retention_ms == 0)
		return;
	cmd.wire_ledger_cmd_t_u.expire.now_wall_ms = clock_wall_ms();
	cmd.wire_ledger_cmd_t_u.expire.retention_ms = r.retention_ms;
	wire_encode(&payload, XDR_PROC(wire_ledger_cmd_t), &cmd);
	group_propose(g->raft, str_buf(&payload), clock_now_ms() + PROPOSE_MS, &result);
}

static void expire_round(control_t *ctl)
{
	static deadline_t next;

	if (clock_now_ms() < next)
		return;
	next = clock_now_ms() + EXPIRE_PERIOD_MS;
	for (unsigned n = 1; n < ctl->ngroups; n++) {
		group_status_t st;

		group_get_status(ctl->groups[n].raft, &st);
		if (st.leader)
			propose_expire(ctl, &ctl->groups[n]);
	}
}

void control_leader_round(control_t *ctl)
{
	group_status_t st;

	for (unsigned n = 0; n < ctl->ngroups; n++) {
		group_get_status(ctl->groups[n].raft, &st);
		if (!st.leader)
			continue;
		control_voters_round(ctl, &ctl->groups[n], &st);
		control_repair_round(ctl, &ctl->groups[n], &st);
	}
	expire_round(ctl);
	group_get_status(ctl->groups[0].raft, &st);
	if (!st.leader)
		return;
	close_expired_sessions(ctl, &st);
	report_lost_sessions(ctl);
	control_platform_round(ctl);
	control_owner_round(ctl);
}
