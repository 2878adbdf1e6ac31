/* Heartbeats and leases of entries. The time of an entry's last heartbeat is soft state of the
 * leader of group 0; the sessions themselves are replicated in group 0. */
#include <stdlib.h>
#include <uthash.h>
#include "base/metric.h"
#include "control/control.h"

#define HEARTBEAT_MAX_MS 1000

/* State of a session, from the heartbeats that this process has received. */
typedef struct {
	uint64_t session;
	deadline_t last_heartbeat;
	uint64_t view_version; /* version of the view that the entry uses */
	bool drained; /* the planned stop of its entry is recorded in group 0 */
	UT_hash_handle hh;
} session_record_t;

struct control_sessions {
	pthread_mutex_t lock;
	session_record_t *by_session;
};

struct control_sessions *control_sessions_new(void)
{
	struct control_sessions *s = mem_new(sizeof(*s));

	pthread_mutex_init(&s->lock, NULL);
	return s;
}

static session_record_t *find_session(struct control_sessions *s, uint64_t session)
{
	session_record_t *h;

	HASH_FIND(hh, s->by_session, &session, sizeof(session), h);
	return h;
}

static void record_heartbeat(struct control_sessions *s, uint64_t session, deadline_t at,
			     uint64_t view_version)
{
	session_record_t *h;

	pthread_mutex_lock(&s->lock);
	h = find_session(s, session);
	if (!h) {
		h = mem_new(sizeof(*h));
		h->session = session;
		HASH_ADD(hh, s->by_session, session, sizeof(h->session), h);
	}
	if (at > h->last_heartbeat)
		h->last_heartbeat = at;
	if (view_version > h->view_version)
		h->view_version = view_version;
	pthread_mutex_unlock(&s->lock);
}

bool control_session_expired(control_t *ctl, uint64_t session, deadline_t leader_since)
{
	struct control_sessions *s = ctl->sessions;
	deadline_t last_heartbeat = leader_since;
	session_record_t *h;

	/* The previous leader may have renewed the lease until this process became leader. */
	pthread_mutex_lock(&s->lock);
	h = find_session(s, session);
	if (h && h->last_heartbeat > last_heartbeat)
		last_heartbeat = h->last_heartbeat;
	pthread_mutex_unlock(&s->lock);
	return clock_now_ms() > last_heartbeat + ctl->settings.lease_ms + CONTROL_LEASE_MARGIN_MS;
}

bool control_session_has_view(control_t *ctl, uint64_t session, uint64_t view_version)
{
	struct control_sessions *s = ctl->sessions;
	session_record_t *h;
	bool has_view;

	pthread_mutex_lock(&s->lock);
	h = find_session(s, session);
	has_view = h && h->view_version >= view_version;
	pthread_mutex_unlock(&s->lock);
	return has_view;
}

typedef struct {
	const wire_member_t *member;
	uint64_t session;
	uint64_t config_number;
	uint64_t view_version;
} session_lookup_t;

static void lookup_session(control_group_t *g, void *arg)
{
	session_lookup_t *l = arg;

	l->session = fleet_find_session(g->fleet, wire_str(l->member->name), l->member->boot);
	l->config_number = fleet_config_number(g->fleet);
	l->view_version = fleet_view_version(g->fleet);
}

static status_t propose_fleet_cmd(control_t *ctl, const wire_fleet_cmd_t *cmd)
{
	wire_fleet_res_t res;
	status_t st = control_fleet_propose(ctl, cmd, &res, clock_now_ms() + HEARTBEAT_MAX_MS);

	if (st == STATUS_OK)
		st = (status_t)res.status;
	wire_free(XDR_PROC(wire_fleet_res_t), &res);
	return st;
}

static status_t propose_open(control_t *ctl, const wire_member_t *m)
{
	wire_fleet_cmd_t cmd = {.kind = WIRE_FLEET_SESSION_OPEN};

	cmd.wire_fleet_cmd_t_u.open = *m;
	return propose_fleet_cmd(ctl, &cmd);
}

static status_t propose_drain(control_t *ctl, uint64_t session)
{
	wire_fleet_cmd_t cmd = {.kind = WIRE_FLEET_SESSION_DRAIN};

	cmd.wire_fleet_cmd_t_u.drain = session;
	return propose_fleet_cmd(ctl, &cmd);
}

static status_t drain_session_once(control_t *ctl, uint64_t session)
{
	struct control_sessions *s = ctl->sessions;
	status_t st;
	session_record_t *h;
	bool drained;

	pthread_mutex_lock(&s->lock);
	h = find_session(s, session);
	drained = h && h->drained;
	pthread_mutex_unlock(&s->lock);
	if (drained)
		return STATUS_OK;
	st = propose_drain(ctl, session);
	pthread_mutex_lock(&s->lock);
	h = find_session(s, session);
	if (h)
		h->drained = st == STATUS_OK;
	pthread_mutex_unlock(&s->lock);
	return st;
}

void control_heartbeat(control_t *ctl, const wire_heartbeat_arg_t *arg, wire_heartbeat_res_t *res)
{
	deadline_t received = clock_now_ms();
	control_group_t *g = &ctl->groups[0];
	session_lookup_t l = {.member = &arg->member};
	status_t st = group_read_barrier(g->raft, received + HEARTBEAT_MAX_MS);

	if (st == STATUS_OK) {
		control_group_read(g, lookup_session, &l);
		if (!l.session && arg->member.session == 0)
			st = propose_open(ctl, &arg->member);
		else if (l.session && arg->member.draining)
			st = drain_session_once(ctl, l.session);
		control_group_read(g, lookup_session, &l);
	}
	res->status = (int)st;
	if (st != STATUS_OK)
		return;
	if (l.session)
		record_heartbeat(ctl->sessions, l.session, received, arg->view_version);
	res->session = l.session;
	res->lease_ms = l.session ? (u_int)ctl->settings.lease_ms : 0;
	res->conf_number = l.config_number;
	res->view_version = l.view_version;
	METRIC_INC("auburn_heartbeats_total");
}
