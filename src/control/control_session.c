#include <stdlib.h>
#include <uthash.h>
#include "base/metric.h"
#include "control/control.h"

#define BEAT_MAX_MS 1000

/* When a session was last heard by this process. */
typedef struct {
	uint64_t session;
	deadline_t heard;
	uint64_t view_version; /* that its entry works by */
	bool drained; /* its planned stop is committed */
	UT_hash_handle hh;
} heard_t;

struct control_sessions {
	pthread_mutex_t lock;
	heard_t *by_session;
};

struct control_sessions *control_sessions_new(void)
{
	struct control_sessions *s = mem_new(sizeof(*s));

	pthread_mutex_init(&s->lock, NULL);
	return s;
}

static heard_t *find_heard(struct control_sessions *s, uint64_t session)
{
	heard_t *h;

	HASH_FIND(hh, s->by_session, &session, sizeof(session), h);
	return h;
}

static void note_heard(struct control_sessions *s, uint64_t session, deadline_t at,
		       uint64_t view_version)
{
	heard_t *h;

	pthread_mutex_lock(&s->lock);
	h = find_heard(s, session);
	if (!h) {
		h = mem_new(sizeof(*h));
		h->session = session;
		HASH_ADD(hh, s->by_session, session, sizeof(h->session), h);
	}
	if (at > h->heard)
		h->heard = at;
	if (view_version > h->view_version)
		h->view_version = view_version;
	pthread_mutex_unlock(&s->lock);
}

bool control_session_expired(control_t *cn, uint64_t session, deadline_t led_since)
{
	struct control_sessions *s = cn->sessions;
	deadline_t heard = led_since;
	heard_t *h;

	/* The leader before may have renewed until this one began to lead. */
	pthread_mutex_lock(&s->lock);
	h = find_heard(s, session);
	if (h && h->heard > heard)
		heard = h->heard;
	pthread_mutex_unlock(&s->lock);
	return clock_now_ms() > heard + cn->settings.lease_ms + CONTROL_LEASE_MARGIN_MS;
}

bool control_session_has_view(control_t *cn, uint64_t session, uint64_t view_version)
{
	struct control_sessions *s = cn->sessions;
	heard_t *h;
	bool seen;

	pthread_mutex_lock(&s->lock);
	h = find_heard(s, session);
	seen = h && h->view_version >= view_version;
	pthread_mutex_unlock(&s->lock);
	return seen;
}

typedef struct {
	const wire_member_t *member;
	uint64_t session;
	uint64_t conf_number;
	uint64_t view_version;
} look_t;

static void look_up(control_group_t *g, void *arg)
{
	look_t *l = arg;

	l->session = fleet_find_session(g->fleet, wire_str(l->member->name), l->member->boot);
	l->conf_number = fleet_config_number(g->fleet);
	l->view_version = fleet_view_version(g->fleet);
}

static status_t propose(control_t *cn, const wire_fleet_cmd_t *cmd)
{
	wire_fleet_res_t res;
	status_t st = control_fleet_propose(cn, cmd, &res, clock_now_ms() + BEAT_MAX_MS);

	if (st == STATUS_OK)
		st = (status_t)res.status;
	wire_free(XDR_PROC(wire_fleet_res_t), &res);
	return st;
}

static status_t open_session(control_t *cn, const wire_member_t *m)
{
	wire_fleet_cmd_t cmd = {.kind = WIRE_FLEET_SESSION_OPEN};

	cmd.wire_fleet_cmd_t_u.open = *m;
	return propose(cn, &cmd);
}

static status_t drain_session(control_t *cn, uint64_t session)
{
	wire_fleet_cmd_t cmd = {.kind = WIRE_FLEET_SESSION_DRAIN};

	cmd.wire_fleet_cmd_t_u.drain = session;
	return propose(cn, &cmd);
}

static status_t drain_once(control_t *cn, uint64_t session)
{
	struct control_sessions *s = cn->sessions;
	status_t st;
	heard_t *h;
	bool drained;

	pthread_mutex_lock(&s->lock);
	h = find_heard(s, session);
	drained = h && h->drained;
	pthread_mutex_unlock(&s->lock);
	if (drained)
		return STATUS_OK;
	st = drain_session(cn, session);
	pthread_mutex_lock(&s->lock);
	h = find_heard(s, session);
	if (h)
		h->drained = st == STATUS_OK;
	pthread_mutex_unlock(&s->lock);
	return st;
}

void control_heartbeat(control_t *cn, const wire_heartbeat_arg_t *arg, wire_heartbeat_res_t *res)
{
	deadline_t received = clock_now_ms();
	control_group_t *g = &cn->groups[0];
	look_t l = {.member = &arg->member};
	status_t st = group_read_barrier(g->raft, received + BEAT_MAX_MS);

	if (st == STATUS_OK) {
		control_group_read(g, look_up, &l);
		if (!l.session && arg->member.session == 0)
			st = open_session(cn, &arg->member);
		else if (l.session && arg->member.draining)
			st = drain_once(cn, l.session);
		control_group_read(g, look_up, &l);
	}
	res->status = (int)st;
	if (st != STATUS_OK)
		return;
	if (l.session)
		note_heard(cn->sessions, l.session, received, arg->view_version);
	res->session = l.session;
	res->lease_ms = l.session ? (u_int)cn->settings.lease_ms : 0;
	res->conf_number = l.conf_number;
	res->view_version = l.view_version;
	METRIC_INC("auburn_heartbeats_total");
}
