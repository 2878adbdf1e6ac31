/* The hub's event loop: links with other processes, start and end of leading, dispatch of calls. */
#include "control/hub.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include "base/log.h"
#include "client/directory.h"
#include "net/tcp.h"

/** Silence timeout of a linked process, in ms. */
#define PEER_SILENCE_MS 700
/** Time limit of the read barrier of a new leader, in ms. */
#define BARRIER_MS   2000
#define CALL_THREADS 3
/** A process without a leader logs this once in this period, in ms. */
#define NO_LEADER_LOG_MS 1000

hub_peer_t *hub_find_peer(hub_t *h, uint64_t id)
{
	hub_peer_t *p;

	HASH_FIND(hh, h->peers, &id, sizeof(id), p);
	return p;
}

void hub_send(hub_peer_t *p, const link_msg_t *m)
{
	AUTO_BUF b = {0};

	wire_encode(&b, XDR_PROC(link_msg_t), m);
	msgconn_send(p->link, str_buf(&b));
	p->last_sent = clock_now_ms();
}

void hub_reply(hub_t *h, const hub_origin_t *to, link_reply_t *r)
{
	link_msg_t m = {.kind = LINK_REPLY};
	hub_peer_t *p;

	if (to->reply) {
		to->reply(to->ctx, r);
		return;
	}
	p = hub_find_peer(h, to->peer);
	if (!p)
		return;
	r->id = to->call_id;
	m.link_msg_t_u.reply = *r;
	hub_send(p, &m);
}

void hub_reply_status(hub_t *h, const hub_origin_t *to, status_t st)
{
	link_reply_t r = {.status = (int)st};

	if (st != STATUS_OK)
		r.message = wire_bytes(str_c(status_message()));
	hub_reply(h, to, &r);
}

void hub_handle_call(hub_t *h, const hub_origin_t *from, const link_call_arg_t *arg)
{
	if (h->role != HUB_LEADER)
		hub_reply_status(h, from,
				 status_fail(STATUS_UNAVAILABLE, "this process is not the leader"));
	else if (arg->kind == LINK_CALL_CONFIG_SUBMIT || arg->kind == LINK_CALL_CONFIG_GET)
		hub_config_handle_call(h, from, arg);
	else if (arg->kind == LINK_CALL_RETIRE || arg->kind == LINK_CALL_RETIRE_STATUS)
		hub_retire_handle_call(h, from, arg);
	else
		hub_lots_handle_call(h, from, arg);
}

/* ---- candidates for voters ---- */

static void update_candidates(hub_t *h)
{
	pthread_mutex_lock(&h->lock);
	h->ncandidates = 0;
	for (hub_peer_t *p = h->peers; p; p = p->hh.next) {
		membership_candidate_t *c = &h->candidates[h->ncandidates];

		if (!p->rpc_addr[0] || h->ncandidates == CONTROL_CANDIDATES_MAX)
			continue;
		*c = (membership_candidate_t){.replica.id = p->disk_failed ? 0 : p->replica_id};
		snprintf(c->replica.addr, sizeof(c->replica.addr), "%s", p->rpc_addr);
		snprintf(c->replica.zone, sizeof(c->replica.zone), "%s", p->zone);
		snprintf(c->name, sizeof(c->name), "%s", p->name);
		h->ncandidates++;
	}
	pthread_mutex_unlock(&h->lock);
}

unsigned hub_candidates(control_t *ctl, membership_candidate_t out[CONTROL_CANDIDATES_MAX])
{
	hub_t *h = ctl->hub;
	unsigned n;

	pthread_mutex_lock(&h->lock);
	n = h->ncandidates;
	memcpy(out, h->candidates, n * sizeof(*out));
	pthread_mutex_unlock(&h->lock);
	return n;
}

bool hub_is_busy(const control_t *ctl)
{
	return ctl->hub->busy;
}

/* ---- links ---- */

/* Frees the peer but does not close its link. */
static void remove_peer(hub_peer_t *p, const char *reason)
{
	hub_t *h = p->hub;
	bool is_control;

	HASH_DEL(h->peers, p);
	hub_dispatch_forget_ack(h, p);
	if (p->registered)
		log_event(LOG_LEVEL_INFO, "peer_lost", LOG_CSTR("peer", p->name),
			  LOG_CSTR("reason", reason));
	hub_routes_remove_peer(h, p);
	if (h->dispatch)
		dispatch_entry_remove(h->dispatch, p->id, clock_now_ms());
	h->view_changed |= p->registered;
	is_control = p->rpc_addr[0] != 0;
	free(p);
	if (is_control)
		update_candidates(h);
}

static void on_closed(void *ctx, msgconn_t *l)
{
	remove_peer(msgconn_data(l), "closed");
}

static void copy_str(char *out, size_t size, wire_bytes_t b)
{
	snprintf(out, size, "%.*s", STR_ARG(wire_str(b)));
}

static void send_welcome(hub_t *h, hub_peer_t *p)
{
	link_msg_t m = {.kind = LINK_WELCOME};
	group_status_t st;

	group_get_status(h->control->groups[0].raft, &st);
	m.link_msg_t_u.welcome.leads = h->role == HUB_LEADER;
	m.link_msg_t_u.welcome.leader = st.leader ? wire_bytes(STR(""))
					: st.leader_addr[0]
						? wire_bytes(str_c(st.leader_addr))
						: wire_bytes(leader_link_leader(h->leader_link));
	hub_send(p, &m);
}

static void send_kinds_known(hub_t *h, hub_peer_t *p)
{
	link_msg_t m = {.kind = LINK_KINDS_KNOWN};

	m.link_msg_t_u.last_kind = LEADER_LINK_LAST_KIND;
	hub_send(p, &m);
}

/* A control process whose disk refuses writes says so by id 0, which all builds understand as no
 * candidate. */
static void update_replica(hub_t *h, hub_peer_t *p, uint64_t id)
{
	bool failed = p->rpc_addr[0] && id == 0;

	if (failed != p->disk_failed && h->role == HUB_LEADER)
		log_event(LOG_LEVEL_WARN, failed ? "peer_disk_failed" : "peer_disk_back",
			  LOG_CSTR("peer", p->name));
	if (p->disk_failed && !failed)
		control_disk_is_back(id);
	p->disk_failed = failed;
	if (!failed)
		p->replica_id = id;
}

static void drop_peer(hub_peer_t *p, const char *reason)
{
	msgconn_t *l = p->link;

	remove_peer(p, reason);
	msgconn_close(l);
}

/* Drops all links but the newest of the entry that sends this hello: it has one link, and has given
 * up the others, although their ends may not have been read yet. Returns false if p was dropped. */
static bool drop_former_links(hub_t *h, hub_peer_t *p, const link_hello_t *m)
{
	hub_peer_t *x;
	hub_peer_t *next;

	if (m->addr.wire_bytes_t_len == 0)
		return true;
	HASH_ITER (hh, h->peers, x, next) {
		if (x == p || !x->registered || !str_eq(str_c(x->addr), wire_str(m->addr)) ||
		    !str_eq(str_c(x->name), wire_str(m->name)))
			continue;
		if (x->id > p->id) {
			drop_peer(p, "linked again");
			return false;
		}
		drop_peer(x, "linked again");
	}
	return true;
}

static void on_hello(hub_t *h, hub_peer_t *p, const link_hello_t *m)
{
	bool first = !p->registered;
	bool knew_kinds = p->knows_kinds;

	if (first && h->role == HUB_LEADER && !drop_former_links(h, p, m))
		return;
	copy_str(p->name, sizeof(p->name), m->name);
	copy_str(p->addr, sizeof(p->addr), m->addr);
	copy_str(p->zone, sizeof(p->zone), m->zone);
	copy_str(p->rpc_addr, sizeof(p->rpc_addr), m->control);
	update_replica(h, p, m->replica);
	p->knows_kinds |= p->addr[0] ? m->replica == LINK_ENTRY_KNOWS_KINDS
				     : m->text.digest == LINK_CONTROL_KNOWS_KINDS;
	hub_view_note_reach(h, p, m->replica == LINK_ENTRY_CUT_OFF && p->addr[0]);
	p->draining = m->draining && !p->cut_off;
	if (first)
		send_welcome(h, p);
	if (h->role != HUB_LEADER)
		return;
	if (p->knows_kinds && p->addr[0] && (first || !knew_kinds))
		send_kinds_known(h, p);
	if (first)
		log_event(LOG_LEVEL_INFO, "peer_linked", LOG_CSTR("peer", p->name),
			  LOG_CSTR("zone", p->zone), LOG_INT("runs", m->runs.runs_len),
			  LOG_INT("retired",
				  control_is_retired_vm(h->control, p->name, p->rpc_addr)));
	else if (p->draining)
		log_event(LOG_LEVEL_INFO, "peer_draining", LOG_CSTR("peer", p->name));
	p->registered = true;
	h->view_changed = true;
	if (p->rpc_addr[0])
		update_candidates(h);
	hub_dispatch_hello(h, p, m);
	hub_routes_add_peer(h, p, &m->text);
	if (first) {
		hub_capacity_await(p, clock_now_ms());
		hub_view_send_first(h, p);
	}
}

static void on_message(void *ctx, msgconn_t *l, str_t s)
{
	hub_t *h = ctx;
	hub_peer_t *p = msgconn_data(l);
	link_msg_t m;
	uint32_t kind;

	if (leader_link_kind_is_newer(s, &kind)) {
		if (!p->skipped_newer)
			log_event(LOG_LEVEL_WARN, "link_message_skipped", LOG_CSTR("peer", p->name),
				  LOG_INT("kind", kind));
		p->skipped_newer = true;
		return;
	}
	if (wire_decode(s, XDR_PROC(link_msg_t), &m, sizeof(m)) != STATUS_OK) {
		log_event(LOG_LEVEL_ERROR, "link_message_malformed", LOG_CSTR("peer", p->name),
			  LOG_INT("bytes", s.n));
		drop_peer(p, "malformed message");
	} else if (m.kind == LINK_HELLO) {
		on_hello(h, p, &m.link_msg_t_u.hello);
	} else if (m.kind == LINK_WELCOME) {
		leader_link_hint(h->leader_link, wire_str(m.link_msg_t_u.welcome.leader));
	} else if (m.kind == LINK_CALL) {
		hub_origin_t from = {.peer = p->id, .call_id = m.link_msg_t_u.call.id};

		hub_handle_call(h, &from, &m.link_msg_t_u.call.what);
	} else if (m.kind == LINK_CONFIG_IN_FORCE) {
		hub_routes_ack(h, p, &m.link_msg_t_u.holds);
		hub_dispatch_note_config(h, p, &m.link_msg_t_u.holds);
		if (h->role == HUB_LEADER && p->registered && p->addr[0])
			hub_proof_question(h, p);
	} else if (m.kind == LINK_ENTRY_CAPACITIES) {
		hub_capacity_note(h, p, &m.link_msg_t_u.capacities);
	} else if (m.kind != LINK_PING && h->role == HUB_LEADER && p->registered) {
		hub_dispatch_message(h, p, &m);
	}
	wire_free(XDR_PROC(link_msg_t), &m);
}

static void on_accept(struct ev_loop *loop, ev_io *w, int events)
{
	hub_t *h = w->data;
	msgconn_options_t o = {loop, h, on_message, on_closed, NULL};
	int fd;

	while ((fd = tcp_accept(h->listener, TCP_UNTAKEN_MAX_MS)) >= 0) {
		hub_peer_t *p = mem_new(sizeof(*p));

		p->hub = h;
		p->id = ++h->peer_id;
		p->link = msgconn_from_fd(fd, &o);
		msgconn_set_data(p->link, p);
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): nodes are unlinked first */
		HASH_ADD(hh, h->peers, id, sizeof(p->id), p);
	}
}

/* Drops silent peers and pings the others. Silence counts only up to read_until, as data that
 * arrived while this process was paused may still be unread. */
static void check_links(hub_t *h, deadline_t now, deadline_t read_until)
{
	hub_peer_t *p;
	hub_peer_t *next;

	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): nodes are unlinked first */
	HASH_ITER (hh, h->peers, p, next) {
		if (read_until - msgconn_last_received(p->link) > PEER_SILENCE_MS) {
			drop_peer(p, "silent");
		} else if (now - p->last_sent >= LEADER_LINK_PING_MS) {
			hub_send(p, &(link_msg_t){.kind = LINK_PING});
		}
	}
}

static void close_links(hub_t *h)
{
	hub_peer_t *p;
	hub_peer_t *next;

	HASH_ITER (hh, h->peers, p, next) {
		drop_peer(p, "leadership lost");
	}
}

/* ---- roles ---- */

static void start_leading(hub_t *h)
{
	log_event(LOG_LEVEL_INFO, "dispatch_begins", LOG_INT("term", h->term));
	leader_link_set_idle(h->leader_link, true);
	hub_routes_start_leading(h);
	hub_quota_start_leading(h);
	hub_quarantine_start_leading(h);
	hub_poison_start_leading(h);
	hub_dispatch_start_leading(h);
	hub_view_start_leading(h);
	hub_http_retry(h);
}

static void stop_leading(hub_t *h)
{
	bool led = h->role == HUB_LEADER;

	h->role = HUB_FOLLOWER;
	if (!led)
		return;
	log_event(LOG_LEVEL_WARN, "dispatch_ends", LOG_INT("term", h->term));
	hub_announce_stop(h);
	hub_lots_stop_leading(h);
	hub_dispatch_stop_leading(h);
	hub_quarantine_stop_leading(h);
	hub_poison_stop_leading(h);
	hub_quota_stop_leading(h);
	hub_routes_stop_leading(h);
	close_links(h);
	leader_link_set_idle(h->leader_link, false);
}

typedef struct {
	worker_task_t task;
	hub_t *h;
	uint64_t term;
	deadline_t since;
	status_t st;
} barrier_task_t;

static void barrier_work(worker_task_t *task)
{
	barrier_task_t *s = (barrier_task_t *)task;

	s->st = group_read_barrier(s->h->control->groups[0].raft, clock_now_ms() + BARRIER_MS);
}

static void barrier_done(worker_task_t *task)
{
	barrier_task_t *s = (barrier_task_t *)task;
	hub_t *h = s->h;

	if (s->st != STATUS_OK)
		log_event(LOG_LEVEL_WARN, "dispatch_delayed", LOG_INT("term", s->term),
			  LOG_INT("ms", clock_now_ms() - s->since),
			  LOG_CSTR("status", status_name(s->st)));
	if (h->role == HUB_STARTING && h->term == s->term) {
		h->role = s->st == STATUS_OK ? HUB_LEADER : HUB_FOLLOWER;
		if (h->role == HUB_LEADER)
			start_leading(h);
	}
	free(s);
}

/* Logs that this process knows of no leader, by its replica and by its link. */
static void log_no_leader(hub_t *h, const group_status_t *st, deadline_t now)
{
	deadline_t down_since = leader_link_down_since(h->leader_link);

	if (h->role != HUB_FOLLOWER || !down_since || now - down_since < NO_LEADER_LOG_MS ||
	    now < h->next_no_leader_log)
		return;
	h->next_no_leader_log = now + NO_LEADER_LOG_MS;
	log_event(LOG_LEVEL_WARN, "no_leader", LOG_INT("ms", now - down_since),
		  LOG_INT("term", st->term), LOG_CSTR("elected", st->leader_addr),
		  LOG_INT("disk_failed", st->failed));
}

/* Follows the Raft role. A new leader starts to dispatch after a read barrier, when it has applied
 * all commands that former leaders committed. */
static void update_role(hub_t *h)
{
	group_status_t st;
	barrier_task_t *s;

	group_get_status(h->control->groups[0].raft, &st);
	if (h->role != HUB_FOLLOWER && (!st.leader || st.term != h->term))
		stop_leading(h);
	log_no_leader(h, &st, clock_now_ms());
	if (h->role != HUB_FOLLOWER || !st.leader)
		return;
	h->role = HUB_STARTING;
	h->term = st.term;
	s = mem_new(sizeof(*s));
	*s = (barrier_task_t){.task = {barrier_work, barrier_done, NULL},
			      .h = h,
			      .term = st.term,
			      .since = clock_now_ms()};
	worker_pool_submit(h->role_worker, &s->task);
}

/* Tells the leader when this process's disk begins or ends to refuse writes. */
static void report_disk(hub_t *h)
{
	group_status_t st;

	group_get_status(h->control->groups[0].raft, &st);
	if (st.failed != h->disk_failed)
		leader_link_resend_hello(h->leader_link);
	h->disk_failed = st.failed;
}

static void on_tick(struct ev_loop *loop, ev_timer *w, int events)
{
	hub_t *h = w->data;
	deadline_t now = clock_now_ms();

	h->busy = (h->operators && http_server_pending(h->operators)) ||
		  (h->directory && http_server_pending(h->directory));
	update_role(h);
	check_links(h, now, now < h->last_tick + HUB_TICK_MS ? now : h->last_tick + HUB_TICK_MS);
	h->last_tick = now;
	report_disk(h);
	hub_http_tick(h, now);
	if (h->role != HUB_LEADER)
		return;
	hub_announce_tick(h, now);
	hub_routes_tick(h, now);
	hub_dispatch_speeds_tick(h, now);
	hub_view_tick(h, now);
	hub_proof_tick(h, now);
	hub_quota_tick(h, now);
	hub_quarantine_tick(h, now);
	hub_poison_tick(h, now);
	hub_lots_tick(h, now);
	dispatch_tick(h->dispatch, now);
}

/* ---- link to the leader ---- */

typedef struct {
	worker_task_t task;
	hub_t *h;
	char **addrs;
	size_t n;
} add_controls_task_t;

/* Empty: the task only moves the addresses to the hub's thread, which calls add_controls_done. */
static void add_controls_work(worker_task_t *task)
{
}

static void add_controls_done(worker_task_t *task)
{
	add_controls_task_t *c = (add_controls_task_t *)task;

	for (size_t i = 0; i < c->n; i++) {
		leader_link_add_control(c->h->leader_link, str_c(c->addrs[i]));
		free(c->addrs[i]);
	}
	free(c->addrs);
	free(c);
}

void hub_add_controls(control_t *ctl, const toml_strs_t *addrs)
{
	add_controls_task_t *c = mem_new(sizeof(*c));

	c->task = (worker_task_t){add_controls_work, add_controls_done, NULL};
	c->h = ctl->hub;
	c->n = addrs->n;
	c->addrs = mem_new((addrs->n + 1) * sizeof(*c->addrs));
	for (size_t i = 0; i < addrs->n; i++)
		c->addrs[i] = str_dup(str_c(addrs->v[i]));
	worker_pool_submit(ctl->hub->call_workers, &c->task);
}

static void fill_hello(void *ctx, link_hello_t *out)
{
	hub_t *h = ctx;
	group_status_t st;

	group_get_status(h->control->groups[0].raft, &st);
	h->disk_failed = st.failed;
	*out = (link_hello_t){
		.name = wire_bytes(str_c(h->control->settings.name)),
		.zone = wire_bytes(str_c(h->control->settings.zone)),
		.control = wire_bytes(str_c(h->control->settings.listen)),
		.replica = st.failed ? 0 : st.self,
		.text.digest = LINK_CONTROL_KNOWS_KINDS,
	};
	leader_link_report_leaving(out, h->leaving_replicas);
}

static void on_leader_message(void *ctx, const link_msg_t *m)
{
	hub_t *h = ctx;

	if (m->kind == LINK_VIEW)
		hub_view_adopt(h, &m->link_msg_t_u.view);
	else if (m->kind == LINK_LEAVING)
		hub_view_adopt_leaving(h, &m->link_msg_t_u.leaving_replica);
	else if (m->kind == LINK_ENTRY_CAPACITIES)
		directory_set_capacities(&h->capacities, &m->link_msg_t_u.capacities);
}

static void on_leader_up(void *ctx)
{
	hub_http_retry(ctx);
}

static void on_leader_down(void *ctx)
{
}

static void *run_loop(void *arg)
{
	hub_t *h = arg;

	ev_run(h->loop, 0);
	return NULL;
}

static status_t listen_links(hub_t *h)
{
	char addr[LEADER_LINK_ADDR_BYTES];

	if (leader_link_make_addr(str_c(h->control->settings.listen),
				  (unsigned)h->control->settings.link_port, addr) != STATUS_OK)
		return STATUS_INVALID;
	h->listener = tcp_listen(addr);
	if (h->listener < 0)
		return STATUS_IO;
	ev_io_init(&h->accept_watcher, on_accept, h->listener, EV_READ);
	h->accept_watcher.data = h;
	ev_io_start(h->loop, &h->accept_watcher);
	return STATUS_OK;
}

status_t hub_start(control_t *ctl)
{
	hub_t *h = mem_new(sizeof(*h));
	pthread_t t;

	h->control = ctl;
	h->loop = ev_loop_new(EVFLAG_AUTO);
	pthread_mutex_init(&h->lock, NULL);
	h->http = http_client_new(h->loop);
	h->commit_worker = worker_pool_new(h->loop, 1);
	h->call_workers = worker_pool_new(h->loop, CALL_THREADS);
	h->role_worker = worker_pool_new(h->loop, 1);
	h->leader_link = leader_link_new(&(leader_link_options_t){
		.loop = h->loop,
		.controls = (const char *const *)ctl->settings.controls.v,
		.ncontrols = ctl->settings.controls.n,
		.link_port = (unsigned)ctl->settings.link_port,
		.ctx = h,
		.hello = fill_hello,
		.message = on_leader_message,
		.up = on_leader_up,
		.down = on_leader_down,
	});
	hub_view_init(h);
	hub_dispatch_init(h);
	if (listen_links(h) != STATUS_OK || hub_http_start(h) != STATUS_OK)
		return STATUS_IO;
	ev_timer_init(&h->tick, on_tick, 0.0, HUB_TICK_MS / 1000.0);
	ev_set_priority(&h->tick, EV_MINPRI); /* after the reads of the same loop iteration */
	h->tick.data = h;
	ev_timer_start(h->loop, &h->tick);
	ctl->hub = h;
	if (pthread_create(&t, NULL, run_loop, h) != 0)
		return status_fail(STATUS_IO, "cannot create the hub thread");
	pthread_detach(t);
	return STATUS_OK;
}
