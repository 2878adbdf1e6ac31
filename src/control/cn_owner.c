#include "base/lg.h"
#include "base/mx.h"
#include "control/cn.h"

#define CHANGES_MAX 256
#define PROPOSE_MS  2000

typedef struct {
	cn_t *cn;
	aw_fleet_cmd_t cmd;
	size_t n;
} plan_t;

static bool seen(void *ctx, uint64_t session, uint64_t view_version)
{
	return cn_session_seen(ctx, session, view_version);
}

static void make_plan(cn_group_t *g, void *arg)
{
	plan_t *p = arg;
	fl_plan_t plan = {CHANGES_MAX, seen, p->cn};

	p->n = fl_plan_owners_seen(g->fl, &plan, &p->cmd);
}

static void log_changes(const plan_t *p)
{
	for (size_t i = 0; i < p->n; i++) {
		const aw_own_change_t *c = &p->cmd.aw_fleet_cmd_t_u.own.own_val[i];

		lg(LG_INFO, c->session ? "owner_set" : "owner_released",
		   LG_S("upstream", px_str(c->id)), LG_I("session", c->session),
		   LG_I("was_fence", c->was_fence));
		MX_COUNT("auburn_owner_changes_total");
	}
}

void cn_owner_round(cn_t *cn)
{
	plan_t p = {.cn = cn};
	aw_fleet_res_t res = {0};

	cn_group_read(&cn->groups[0], make_plan, &p);
	if (p.n > 0 && cn_fleet(cn, &p.cmd, &res, clk_now_ms() + PROPOSE_MS) == ST_OK)
		log_changes(&p);
	px_free(PX(aw_fleet_res_t), &res);
	px_free(PX(aw_fleet_cmd_t), &p.cmd);
}
