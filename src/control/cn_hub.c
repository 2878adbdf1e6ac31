/* The hub's thread: links, roles, and calls that others make on this process. */
#include "control/cn_hub.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include "base/lg.h"
#include "net/sk.h"

/** A linked process that says nothing for this long, in ms, is taken for lost. */
#define PEER_SILENT_MS 700
/** A new leader's first barrier may take this long, in ms. */
#define BARRIER_MS   2000
#define CALL_THREADS 3
/** Control processes that aren't linked are told who leads on this period, in ms. */
#define ANNOUNCE_MS 500

hub_peer_t *hub_peer(hub_t *h, uint64_t id)
{
	hub_peer_t *p;

	HASH_FIND(hh, h->peers, &id, sizeof(id), p);
	return p;
}

void hub_send(hub_peer_t *p, const lw_msg_t *m)
{
	AUTO_BUF b = {0};

	px_encode(&b, PX(lw_msg_t), m);
	lk_send(p->link, str_buf(&b));
	p->sent = clk_now_ms();
}

void hub_reply(hub_t *h, const hub_caller_t *to, lw_reply_t *r)
{
	lw_msg_t m = {.kind = LW_REPLY};
	hub_peer_t *p;

	if (to->reply) {
		to->reply(to->ctx, r);
		return;
	}
	p = hub_peer(h, to->peer);
	if (!p)
		return;
	r->id = to->call;
	m.lw_msg_t_u.reply = *r;
	hub_send(p, &m);
}

void hub_reply_status(hub_t *h, const hub_caller_t *to, status_t st)
{
	lw_reply_t r = {.status = (int)st};

	if (st != ST_OK)
		r.message = px_bytes(str_c(st_message()));
	hub_reply(h, to, &r);
}

void hub_call(hub_t *h, const hub_caller_t *from, const lw_what_t *what)
{
	if (h->role != HUB_LEADS)
		hub_reply_status(h, from, st_fail(ST_UNAVAILABLE, "this process doesn't lead"));
	else if (what->kind == LW_CALL_SUBMIT || what->kind == LW_CALL_CONF)
		hub_text_call(h, from, what);
	else if (what->kind == LW_CALL_RETIRE || what->kind == LW_CALL_RETIRED)
		hub_retire_call(h, from, what);
	else
		hub_lots_call(h, from, what);
}

/* ---- candidates for votes ---- */

static void note_candidates(hub_t *h)
{
	pthread_mutex_lock(&h->lock);
	h->ncandidates = 0;
	for (hub_peer_t *p = h->peers; p; p = p->hh.next) {
		gr_peer_t *c = &h->candidates[h->ncandidates];

		if (!p->control[0] || !p->replica || h->ncandidates == CN_CANDIDATES_MAX)
			continue;
		*c = (gr_peer_t){.id = p->replica};
		snprintf(c->addr, sizeof(c->addr), "%s", p->control);
		snprintf(c->zone, sizeof(c->zone), "%s", p->zone);
		h->ncandidates++;
	}
	pthread_mutex_unlock(&h->lock);
}

unsigned cn_hub_candidates(cn_t *cn, gr_peer_t out[CN_CANDIDATES_MAX])
{
	hub_t *h = cn->hub;
	unsigned n;

	pthread_mutex_lock(&h->lock);
	n = h->ncandidates;
	memcpy(out, h->candidates, n * sizeof(*out));
	pthread_mutex_unlock(&h->lock);
	return n;
}

bool cn_hub_busy(const cn_t *cn)
{
	return cn->hub->busy;
}

/* ---- links ---- */

static void peer_drop(hub_peer_t *p, const char *reason)
{
	hub_t *h = p->h;

	HASH_DEL(h->peers, p);
	if (p->greeted)
		lg(LG_INFO, "peer_lost", LG_C("peer", p->name), LG_C("reason", reason));
	hub_routes_peer_lost(h, p);
	if (h->ds)
		ds_entry_remove(h->ds, p->id, clk_now_ms());
	h->view_changed = true;
	free(p);
	note_candidates(h);
}

static void on_closed(void *ctx, lk_t *l)
{
	peer_drop(lk_data(l), "closed");
}

static void copy(char *out, size_t size, aw_bytes_t b)
{
	snprintf(out, size, "%.*s", STR_ARG(px_str(b)));
}

static void welcome(hub_t *h, hub_peer_t *p)
{
	lw_msg_t m = {.kind = LW_WELCOME};
	gr_status_t st;

	gr_status(h->cn->groups[0].gr, &st);
	m.lw_msg_t_u.welcome.leads = h->role == HUB_LEADS;
	m.lw_msg_t_u.welcome.leader = st.leader		  ? px_bytes(STR(""))
				      : st.leader_addr[0] ? px_bytes(str_c(st.leader_addr))
							  : px_bytes(ll_leader(h->leader));
	hub_send(p, &m);
}

static void on_hello(hub_t *h, hub_peer_t *p, const lw_hello_t *m)
{
	bool first = !p->greeted;

	copy(p->name, sizeof(p->name), m->name);
	copy(p->addr, sizeof(p->addr), m->addr);
	copy(p->zone, sizeof(p->zone), m->zone);
	copy(p->control, sizeof(p->control), m->control);
	p->replica = m->replica;
	p->draining = m->draining;
	if (first)
		welcome(h, p);
	if (h->role != HUB_LEADS)
		return;
	if (first)
		lg(LG_INFO, "peer_linked", LG_C("peer", p->name), LG_C("zone", p->zone),
		   LG_I("runs", m->runs.runs_len));
	else if (p->draining)
		lg(LG_INFO, "peer_draining", LG_C("peer", p->name));
	p->greeted = true;
	h->view_changed = true;
	note_candidates(h);
	hub_dispatch_hello(h, p, m);
	hub_routes_peer(h, p, &m->text);
	if (first)
		hub_view_send(h, p);
}

static void on_message(void *ctx, lk_t *l, str_t s)
{
	hub_t *h = ctx;
	hub_peer_t *p = lk_data(l);
	lw_msg_t m;

	if (px_decode(s, PX(lw_msg_t), &m, sizeof(m)) != ST_OK) {
		lg(LG_ERROR, "link_message_malformed", LG_C("peer", p->name), LG_I("bytes", s.n));
		peer_drop(p, "malformed message");
		lk_close(l);
	} else if (m.kind == LW_HELLO) {
		on_hello(h, p, &m.lw_msg_t_u.hello);
	} else if (m.kind == LW_WELCOME) {
		ll_hint(h->leader, px_str(m.lw_msg_t_u.welcome.leader));
	} else if (m.kind == LW_CALL) {
		hub_caller_t from = {.peer = p->id, .call = m.lw_msg_t_u.call.id};

		hub_call(h, &from, &m.lw_msg_t_u.call.what);
	} else if (m.kind == LW_HOLDS) {
		hub_routes_held(h, p, &m.lw_msg_t_u.holds);
	} else if (m.kind != LW_PING && h->role == HUB_LEADS && p->greeted) {
		hub_dispatch_message(h, p, &m);
	}
	px_free(PX(lw_msg_t), &m);
}

static void on_accept(struct ev_loop *loop, ev_io *w, int events)
{
	hub_t *h = w->data;
	lk_options_t o = {loop, h, on_message, on_closed, NULL};
	int fd;

	while ((fd = sk_accept(h->listener)) >= 0) {
		hub_peer_t *p = mem_new(sizeof(*p));

		p->h = h;
		p->id = ++h->peer_id;
		p->link = lk_accepted(fd, &o);
		lk_set_data(p->link, p);
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): what is freed was unlinked */
		HASH_ADD(hh, h->peers, id, sizeof(p->id), p);
	}
}

/* seen: until when what has come is read; what came during a pause of this process may not be. */
static void watch_links(hub_t *h, deadline_t now, deadline_t seen)
{
	hub_peer_t *p;
	hub_peer_t *next;

	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): what is freed was unlinked */
	HASH_ITER (hh, h->peers, p, next) {
		if (seen - lk_heard(p->link) > PEER_SILENT_MS) {
			lk_t *l = p->link;

			peer_drop(p, "silent");
			lk_close(l);
		} else if (now - p->sent >= LL_PING_MS) {
			hub_send(p, &(lw_msg_t){.kind = LW_PING});
		}
	}
}

static void drop_links(hub_t *h)
{
	hub_peer_t *p;
	hub_peer_t *next;

	HASH_ITER (hh, h->peers, p, next) {
		lk_t *l = p->link;

		peer_drop(p, "no longer leads");
		lk_close(l);
	}
}

/* ---- announcements ---- */

/*
 * Entries that have restarted know only the seeds. When these aren't members, because they were
 * replaced or lost their disks, nobody tells them who leads: so the leader does.
 */
static void announce_closed(void *ctx, lk_t *l)
{
	hub_t *h = ctx;

	for (size_t i = 0; i < h->nannounced; i++) {
		if (h->announced[i] == l)
			h->announced[i] = NULL;
	}
}

static void announce_message(void *ctx, lk_t *l, str_t s)
{
}

static void announce_open(void *ctx, lk_t *l)
{
	hub_t *h = ctx;
	lw_msg_t m = {.kind = LW_WELCOME};
	AUTO_BUF b = {0};

	m.lw_msg_t_u.welcome.leads = true;
	m.lw_msg_t_u.welcome.leader = px_bytes(str_c(h->cn->s.listen));
	px_encode(&b, PX(lw_msg_t), &m);
	lk_send(l, str_buf(&b));
}

static bool is_linked(hub_t *h, str_t control)
{
	for (hub_peer_t *p = h->peers; p; p = p->hh.next) {
		if (str_eq(str_c(p->control), control))
			return true;
	}
	return str_eq(str_c(h->cn->s.listen), control);
}

static void announce_end(hub_t *h)
{
	for (size_t i = 0; i < h->nannounced; i++) {
		if (h->announced[i])
			lk_close(h->announced[i]);
	}
	h->nannounced = 0;
}

static void announce(hub_t *h, deadline_t now)
{
	lk_options_t o = {h->loop, h, announce_message, announce_closed, announce_open};
	str_t controls[HUB_ANNOUNCE_MAX];
	size_t n;

	if (now < h->announce_at)
		return;
	h->announce_at = now + ANNOUNCE_MS;
	announce_end(h);
	n = ll_controls(h->leader, controls, HUB_ANNOUNCE_MAX);
	for (size_t i = 0; i < n; i++) {
		char addr[LL_ADDR_BYTES];

		if (is_linked(h, controls[i]) ||
		    ll_link_addr(controls[i], (unsigned)h->cn->s.link_port, addr) != ST_OK)
			continue;
		h->announced[h->nannounced] = lk_connect(addr, &o);
		h->nannounced += h->announced[h->nannounced] != NULL;
	}
}

/* ---- roles ---- */

static void lead_begin(hub_t *h)
{
	lg(LG_INFO, "dispatch_begins", LG_I("term", h->term));
	ll_set_idle(h->leader, true);
	hub_routes_begin(h);
	hub_dispatch_begin(h);
	hub_view_begin(h);
}

static void lead_end(hub_t *h)
{
	bool led = h->role == HUB_LEADS;

	h->role = HUB_FOLLOWS;
	if (!led)
		return;
	lg(LG_WARN, "dispatch_ends", LG_I("term", h->term));
	announce_end(h);
	hub_lots_drop(h);
	hub_dispatch_end(h);
	hub_routes_end(h);
	drop_links(h);
	ll_set_idle(h->leader, false);
}

typedef struct {
	wk_job_t job;
	hub_t *h;
	uint64_t term;
	status_t st;
} start_t;

static void start_work(wk_job_t *j)
{
	start_t *s = (start_t *)j;

	s->st = gr_barrier(s->h->cn->groups[0].gr, clk_now_ms() + BARRIER_MS);
}

static void start_done(wk_job_t *j)
{
	start_t *s = (start_t *)j;
	hub_t *h = s->h;

	if (h->role == HUB_STARTS && h->term == s->term) {
		h->role = s->st == ST_OK ? HUB_LEADS : HUB_FOLLOWS;
		if (h->role == HUB_LEADS)
			lead_begin(h);
	}
	free(s);
}

static void check_role(hub_t *h)
{
	gr_status_t st;
	start_t *s;

	gr_status(h->cn->groups[0].gr, &st);
	if (h->role != HUB_FOLLOWS && (!st.leader || st.term != h->term))
		lead_end(h);
	if (h->role != HUB_FOLLOWS || !st.leader)
		return;
	h->role = HUB_STARTS;
	h->term = st.term;
	s = mem_new(sizeof(*s));
	*s = (start_t){.job = {start_work, start_done, NULL}, .h = h, .term = st.term};
	wk_submit(h->calls, &s->job);
}

static void on_tick(struct ev_loop *loop, ev_timer *w, int events)
{
	hub_t *h = w->data;
	deadline_t now = clk_now_ms();

	h->busy = (h->operators && hl_pending(h->operators)) ||
		  (h->directory && hl_pending(h->directory));
	check_role(h);
	watch_links(h, now, now < h->ticked + HUB_TICK_MS ? now : h->ticked + HUB_TICK_MS);
	h->ticked = now;
	if (h->role != HUB_LEADS)
		return;
	announce(h, now);
	hub_routes_tick(h, now);
	hub_view_tick(h, now);
	hub_lots_tick(h, now);
	ds_tick(h->ds, now);
}

/* ---- the link to the leader ---- */

typedef struct {
	wk_job_t job;
	hub_t *h;
	char **addrs;
	size_t n;
} controls_t;

static void controls_work(wk_job_t *j)
{
}

static void controls_done(wk_job_t *j)
{
	controls_t *c = (controls_t *)j;

	for (size_t i = 0; i < c->n; i++) {
		ll_add_control(c->h->leader, str_c(c->addrs[i]));
		free(c->addrs[i]);
	}
	free(c->addrs);
	free(c);
}

void cn_hub_add_controls(cn_t *cn, const cf_strs_t *addrs)
{
	controls_t *c = mem_new(sizeof(*c));

	c->job = (wk_job_t){controls_work, controls_done, NULL};
	c->h = cn->hub;
	c->n = addrs->n;
	c->addrs = mem_new((addrs->n + 1) * sizeof(*c->addrs));
	for (size_t i = 0; i < addrs->n; i++)
		c->addrs[i] = str_dup(str_c(addrs->v[i]));
	wk_submit(cn->hub->calls, &c->job);
}

static void fill_hello(void *ctx, lw_hello_t *out)
{
	hub_t *h = ctx;
	gr_status_t st;

	gr_status(h->cn->groups[0].gr, &st);
	*out = (lw_hello_t){
		.name = px_bytes(str_c(h->cn->s.name)),
		.zone = px_bytes(str_c(h->cn->s.zone)),
		.control = px_bytes(str_c(h->cn->s.listen)),
		.replica = st.self,
	};
}

static void on_leader_message(void *ctx, const lw_msg_t *m)
{
	hub_t *h = ctx;

	if (m->kind == LW_VIEW)
		hub_view_learn(h, &m->lw_msg_t_u.view);
}

static void on_link_change(void *ctx)
{
}

static void *run(void *arg)
{
	hub_t *h = arg;

	ev_run(h->loop, 0);
	return NULL;
}

static status_t listen_links(hub_t *h)
{
	char addr[LL_ADDR_BYTES];

	if (ll_link_addr(str_c(h->cn->s.listen), (unsigned)h->cn->s.link_port, addr) != ST_OK)
		return ST_INVALID;
	h->listener = sk_listen(addr);
	if (h->listener < 0)
		return ST_IO;
	ev_io_init(&h->accept, on_accept, h->listener, EV_READ);
	h->accept.data = h;
	ev_io_start(h->loop, &h->accept);
	return ST_OK;
}

status_t cn_hub_start(cn_t *cn)
{
	hub_t *h = mem_new(sizeof(*h));
	pthread_t t;

	h->cn = cn;
	h->loop = ev_loop_new(EVFLAG_AUTO);
	pthread_mutex_init(&h->lock, NULL);
	h->http = hu_new(h->loop);
	h->commits = wk_new(h->loop, 1);
	h->calls = wk_new(h->loop, CALL_THREADS);
	h->leader = ll_new(&(ll_options_t){
		.loop = h->loop,
		.controls = (const char *const *)cn->s.controls.v,
		.ncontrols = cn->s.controls.n,
		.link_port = (unsigned)cn->s.link_port,
		.ctx = h,
		.hello = fill_hello,
		.message = on_leader_message,
		.up = on_link_change,
		.down = on_link_change,
	});
	hub_view_start(h);
	if (listen_links(h) != ST_OK || hub_http_start(h) != ST_OK)
		return ST_IO;
	ev_timer_init(&h->tick, on_tick, 0.0, HUB_TICK_MS / 1000.0);
	ev_set_priority(&h->tick, EV_MINPRI); /* behind the reads of its turn */
	h->tick.data = h;
	ev_timer_start(h->loop, &h->tick);
	cn->hub = h;
	if (pthread_create(&t, NULL, run, h) != 0)
		return st_fail(ST_IO, "no thread for the hub");
	pthread_detach(t);
	return ST_OK;
}
