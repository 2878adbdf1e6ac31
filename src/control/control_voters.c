/* Log lines of a group's leader on voters that acknowledge nothing and on those that do so again.
 */
#include <stdio.h>
#include <string.h>
#include "base/log.h"
#include "control/control.h"
#include "policy/voter_watch.h"

typedef struct {
	control_t *ctl;
	unsigned group;
} log_context_t;

/* True if the process at addr is linked to this leader's hub. */
static bool is_linked(control_t *ctl, const char *addr)
{
	membership_candidate_t v[CONTROL_CANDIDATES_MAX];
	unsigned n = ctl->hub ? hub_candidates(ctl, v) : 0;

	for (unsigned i = 0; i < n; i++) {
		if (strcmp(v[i].replica.addr, addr) == 0)
			return true;
	}
	return false;
}

static void log_change(void *ctx, const voter_event_t *e)
{
	static const char *const names[] = {
		[VOTER_SILENT] = "voter_silent",
		[VOTER_ACKNOWLEDGES] = "voter_acknowledges",
		[VOTER_CAUGHT_UP] = "voter_caught_up",
	};
	const log_context_t *c = ctx;
	char id[32];

	snprintf(id, sizeof(id), "%016lx", (unsigned long)e->voter->id);
	log_event(e->change == VOTER_CAUGHT_UP ? LOG_LEVEL_INFO : LOG_LEVEL_WARN, names[e->change],
		  LOG_INT("group", c->group), LOG_CSTR("addr", e->voter->addr),
		  LOG_CSTR("replica", id), LOG_INT("ms", e->ms), LOG_INT("match", e->match),
		  LOG_INT("commit", e->commit),
		  LOG_INT("behind", e->commit > e->match ? e->commit - e->match : 0),
		  LOG_INT("linked", is_linked(c->ctl, e->voter->addr)));
}

void control_voters_round(control_t *ctl, control_group_t *g, const group_status_t *st)
{
	static voter_watch_t watches[CONTROL_GROUPS_MAX];
	log_context_t c = {ctl, g->number};

	voter_watch_update(&watches[g->number], st, clock_now_ms(), ctl->settings.replace_grace_ms,
			   log_change, &c);
}
