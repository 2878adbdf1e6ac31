/* Assigns each upstream to an owner: the one entry that starts streams on the upstream and counts
 * them, so that they never exceed its slots. Runs while this process leads group 0. */
#include "base/log.h"
#include "base/metric.h"
#include "control/control.h"

#define CHANGES_MAX 256
#define PROPOSE_MS  2000

typedef struct {
	control_t *ctl;
	wire_fleet_cmd_t cmd;
	size_t n;
} plan_t;

static bool session_has_view(void *ctx, uint64_t session, uint64_t view_version)
{
	return control_session_has_view(ctx, session, view_version);
}

static void plan_changes(control_group_t *g, void *arg)
{
	plan_t *p = arg;
	fleet_plan_options_t plan = {CHANGES_MAX, session_has_view, p->ctl};

	p->n = fleet_plan_owners_with(g->fleet, &plan, &p->cmd);
}

static void log_changes(const plan_t *p)
{
	for (size_t i = 0; i < p->n; i++) {
		const wire_owner_change_t *c = &p->cmd.wire_fleet_cmd_t_u.own.own_val[i];

		log_event(LOG_LEVEL_INFO, c->session ? "owner_set" : "owner_released",
			  LOG_STR("upstream", wire_str(c->id)), LOG_INT("session", c->session),
			  LOG_INT("was_fence", c->was_fence));
		METRIC_INC("auburn_owner_changes_total");
	}
}

void control_owner_round(control_t *ctl)
{
	plan_t p = {.ctl = ctl};
	wire_fleet_res_t res = {0};

	control_group_read(&ctl->groups[0], plan_changes, &p);
	if (p.n > 0 &&
	    control_fleet_propose(ctl, &p.cmd, &res, clock_now_ms() + PROPOSE_MS) == STATUS_OK)
		log_changes(&p);
	wire_free(XDR_PROC(wire_fleet_res_t), &res);
	wire_free(XDR_PROC(wire_fleet_cmd_t), &p.cmd);
}
