/* Status of the process and its groups as JSON. */
#include <jansson.h>
#include "control/control.h"

/* Log entries of a founded group before its first command: the first members and the no-op of the
 * first leader. A group that has committed more counts as used, even if it was only the no-op of
 * another leader. */
#define FOUNDING_ENTRIES 2

/* Adds what only the leader knows: whether the peer acknowledges, and for how long it has not. */
static void add_acknowledgement(const control_t *ctl, json_t *peer, const group_status_t *st,
				unsigned i)
{
	deadline_t now = clock_now_ms();
	bool self = st->peers[i].id == st->self;

	json_object_set_new(
		peer, "acknowledges",
		json_boolean(!group_peer_is_silent(st, i, now, ctl->settings.replace_grace_ms)));
	json_object_set_new(peer, "unacknowledged_ms",
			    json_integer(self ? 0 : (json_int_t)(now - st->ack_awaited[i])));
}

static json_t *peers_json(const control_t *ctl, const group_status_t *st)
{
	json_t *a = json_array();

	for (unsigned i = 0; i < st->npeers; i++) {
		const group_peer_t *p = &st->peers[i];

		json_array_append_new(
			a, json_pack("{s:s,s:s,s:s,s:b,s:I,s:I}", "id", "", "addr", p->addr, "zone",
				     p->zone, "voter", p->voter, "match", (json_int_t)st->match[i],
				     "silent_ms",
				     (json_int_t)(st->leader && st->last_answer[i]
							  ? clock_now_ms() - st->last_answer[i]
							  : -1)));
		json_object_set_new(json_array_get(a, i), "id",
				    json_sprintf("%016llx", (unsigned long long)p->id));
		if (st->leader)
			add_acknowledgement(ctl, json_array_get(a, i), st, i);
	}
	return a;
}

static json_t *group_json(const control_t *ctl, control_group_t *g, const group_status_t *st)
{
	return json_pack("{s:i,s:o,s:b,s:b,s:s,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:o}", "group",
			 (int)g->number, "id",
			 json_sprintf("%016llx", (unsigned long long)st->self), "leader",
			 st->leader, "failed", st->failed, "leader_addr", st->leader_addr, "term",
			 (json_int_t)st->term, "commit", (json_int_t)st->commit, "applied",
			 (json_int_t)st->applied, "first", (json_int_t)st->first_index, "last",
			 (json_int_t)st->last_index, "snapshot", (json_int_t)st->snapshot_index,
			 "syncs", (json_int_t)st->syncs, "sync_us", (json_int_t)st->sync_us,
			 "peers", peers_json(ctl, st));
}

static void add_fleet(control_group_t *g, void *arg)
{
	json_t *o = arg;

	json_object_set_new(o, "conf_number",
			    json_integer((json_int_t)fleet_config_number(g->fleet)));
	json_object_set_new(o, "view_version",
			    json_integer((json_int_t)fleet_view_version(g->fleet)));
}

static void add_ledger(control_group_t *g, void *arg)
{
	json_t *o = arg;
	ledger_stats_t s;

	ledger_get_stats(g->ledger, &s);
	json_object_set_new(o, "requests", json_integer((json_int_t)s.requests));
	json_object_set_new(o, "jobs", json_integer((json_int_t)s.jobs));
	json_object_set_new(o, "items", json_integer((json_int_t)s.items));
	json_object_set_new(o, "leased", json_integer((json_int_t)s.leased));
	json_object_set_new(o, "late_dropped", json_integer((json_int_t)s.late_dropped));
	json_object_set_new(o, "bytes", json_integer((json_int_t)s.bytes));
}

/* Adds the groups to root. Returns true if one of them is used, see FOUNDING_ENTRIES. */
static bool add_groups(control_t *ctl, json_t *root)
{
	json_t *groups = json_array();
	bool used = false;

	for (unsigned n = 0; n < ctl->ngroups; n++) {
		control_group_t *g = &ctl->groups[n];
		group_status_t st;
		json_t *o;

		group_get_status(g->raft, &st);
		o = group_json(ctl, g, &st);
		used = used || st.commit > FOUNDING_ENTRIES;
		control_group_read(g, g->fleet ? add_fleet : add_ledger, g->fleet ? root : o);
		json_array_append_new(groups, o);
	}
	json_object_set_new(root, "groups", groups);
	return used;
}

void control_status_json(control_t *ctl, buf_t *out)
{
	json_t *root = json_pack("{s:s,s:s,s:s}", "name", ctl->settings.name, "addr",
				 ctl->settings.listen, "zone", ctl->settings.zone);
	const char *state = "fresh";
	char *text;

	/* "fresh": the groups are not open yet. "seeded": they are open, and none is used.
	 * "member": a group is used, so this process may hold state and no new fleet must be
	 * founded. */
	if (ctl->ready)
		state = add_groups(ctl, root) ? "member" : "seeded";
	json_object_set_new(root, "state", json_string(state));
	text = json_dumps(root, JSON_COMPACT);
	buf_add(out, str_c(text));
	free(text);
	json_decref(root);
}
