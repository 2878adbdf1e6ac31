#include <stdlib.h>
#include <uthash.h>
#include "base/mx.h"
#include "control/cn.h"

#define BEAT_MAX_MS 1000

/* When a session was last heard by this process. */
typedef struct {
	uint64_t session;
	deadline_t heard;
	uint64_t view_version; /* that its entry works by */
	bool drained; /* its planned stop is committed */
	UT_hash_handle hh;
} heard_t;

struct cn_sessions {
	pthread_mutex_t lock;
	heard_t *by_session;
};

struct cn_sessions *cn_sessions_new(void)
{
	struct cn_sessions *s = mem_new(sizeof(*s));

	pthread_mutex_init(&s->lock, NULL);
	return s;
}

static heard_t *find_heard(struct cn_sessions *s, uint64_t session)
{
	heard_t *h;

	HASH_FIND(hh, s->by_session, &session, sizeof(session), h);
	return h;
}

static void note_heard(struct cn_sessions *s, uint64_t session, deadline_t at,
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

bool cn_session_ended(cn_t *cn, uint64_t session, deadline_t led_since)
{
	struct cn_sessions *s = cn->sessions;
	deadline_t heard = led_since;
	heard_t *h;

	/* The leader before may have renewed until this one began to lead. */
	pthread_mutex_lock(&s->lock);
	h = find_heard(s, session);
	if (h && h->heard > heard)
		heard = h->heard;
	pthread_mutex_unlock(&s->lock);
	return clk_now_ms() > heard + cn->s.lease_ms + CN_LEASE_MARGIN_MS;
}

bool cn_session_seen(cn_t *cn, uint64_t session, uint64_t view_version)
{
	struct cn_sessions *s = cn->sessions;
	heard_t *h;
	bool seen;

	pthread_mutex_lock(&s->lock);
	h = find_heard(s, session);
	seen = h && h->view_version >= view_version;
	pthread_mutex_unlock(&s->lock);
	return seen;
}

typedef struct {
	const aw_member_t *member;
	uint64_t session;
	uint64_t conf_number;
	uint64_t view_version;
} look_t;

static void look_up(cn_group_t *g, void *arg)
{
	look_t *l = arg;

	l->session = fl_session_of(g->fl, px_str(l->member->name), l->member->boot);
	l->conf_number = fl_conf_number(g->fl);
	l->view_version = fl_view_version(g->fl);
}

static status_t propose(cn_t *cn, const aw_fleet_cmd_t *cmd)
{
	aw_fleet_res_t res;
	status_t st = cn_fleet(cn, cmd, &res, clk_now_ms() + BEAT_MAX_MS);

	if (st == ST_OK)
		st = (status_t)res.status;
	px_free(PX(aw_fleet_res_t), &res);
	return st;
}

static status_t open_session(cn_t *cn, const aw_member_t *m)
{
	aw_fleet_cmd_t cmd = {.kind = AW_FLEET_SESSION_OPEN};

	cmd.aw_fleet_cmd_t_u.open = *m;
	return propose(cn, &cmd);
}

static status_t drain_session(cn_t *cn, uint64_t session)
{
	aw_fleet_cmd_t cmd = {.kind = AW_FLEET_SESSION_DRAIN};

	cmd.aw_fleet_cmd_t_u.drain = session;
	return propose(cn, &cmd);
}

static status_t drain_once(cn_t *cn, uint64_t session)
{
	struct cn_sessions *s = cn->sessions;
	status_t st;
	heard_t *h;
	bool drained;

	pthread_mutex_lock(&s->lock);
	h = find_heard(s, session);
	drained = h && h->drained;
	pthread_mutex_unlock(&s->lock);
	if (drained)
		return ST_OK;
	st = drain_session(cn, session);
	pthread_mutex_lock(&s->lock);
	h = find_heard(s, session);
	if (h)
		h->drained = st == ST_OK;
	pthread_mutex_unlock(&s->lock);
	return st;
}

void cn_beat(cn_t *cn, const aw_beat_arg_t *arg, aw_beat_res_t *res)
{
	deadline_t received = clk_now_ms();
	cn_group_t *g = &cn->groups[0];
	look_t l = {.member = &arg->member};
	status_t st = gr_barrier(g->gr, received + BEAT_MAX_MS);

	if (st == ST_OK) {
		cn_group_read(g, look_up, &l);
		if (!l.session && arg->member.session == 0)
			st = open_session(cn, &arg->member);
		else if (l.session && arg->member.draining)
			st = drain_once(cn, l.session);
		cn_group_read(g, look_up, &l);
	}
	res->status = (int)st;
	if (st != ST_OK)
		return;
	if (l.session)
		note_heard(cn->sessions, l.session, received, arg->view_version);
	res->session = l.session;
	res->lease_ms = l.session ? (u_int)cn->s.lease_ms : 0;
	res->conf_number = l.conf_number;
	res->view_version = l.view_version;
	MX_COUNT("auburn_heartbeats_total");
}
