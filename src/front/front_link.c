/* The link to the leader: handles the leader's messages. While there is no leader, reads the
 * replica list and stops items. */
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "base/metric.h"
#include "client/directory.h"
#include "front/front.h"

/** After this long without a leader, this process reads the replica list itself, once in each
 * period. The period limits the load that all entries together put on the platform. */
#define LIST_AFTER_MS  1500
#define LIST_PERIOD_MS 2000
/** After this long without a leader, items are stopped, before a new leader runs them elsewhere. */
#define STOP_ITEMS_AFTER_MS (DISPATCH_ADOPT_MS - 400)
/** Maximum number of runs that the hello to a leader reports. */
#define RUNS_MAX 4096

const front_replica_t *front_find_replica(const front_t *f, str_t id)
{
	front_replica_t *r;

	HASH_FIND(hh, f->replicas, id.p, id.n, r);
	return r;
}

/* False if it was known. */
static bool note_leaving(front_t *f, replica_ref_t r, const char *told_by)
{
	if (!leaving_add(f->leaving_replicas, r, clock_now_ms()))
		return false;
	log_event(LOG_LEVEL_INFO, "replica_leaves", LOG_STR("replica", r.id),
		  LOG_INT("born", r.start_time), LOG_CSTR("told_by", told_by));
	if (f->local_dispatch)
		dispatch_replica_leaving(f->local_dispatch, r.id);
	return true;
}

void front_replica_leaving(front_t *f, replica_ref_t r)
{
	link_msg_t m = {.kind = LINK_LEAVING};

	if (!note_leaving(f, r, "replica"))
		return;
	METRIC_INC("auburn_replicas_leaving_total");
	m.link_msg_t_u.leaving_replica = (link_leaving_t){wire_bytes(r.id), r.start_time};
	leader_link_send(f->leader, &m);
}

bool front_replica_leaves(const front_t *f, replica_ref_t r)
{
	return leaving_contains(f->leaving_replicas, r, clock_now_ms());
}

/* Rebuilds the hash of replicas from the view, and updates the local dispatcher. */
static void index_replicas(front_t *f)
{
	front_replica_t *r;
	front_replica_t *next;

	HASH_ITER (hh, f->replicas, r, next) {
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): unlinked before free() */
		HASH_DEL(f->replicas, r);
		free(r->id);
		free(r->addr);
		free(r);
	}
	for (u_int i = 0; i < f->view.upstreams.upstreams_len; i++) {
		const link_upstream_t *u = &f->view.upstreams.upstreams_val[i];

		if (front_find_replica(f, wire_str(u->id)))
			continue;
		r = mem_new(sizeof(*r));
		r->id = str_dup(wire_str(u->id));
		r->addr = str_dup(wire_str(u->addr));
		r->start_time = u->start_time;
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): unlinked before free() */
		HASH_ADD_KEYPTR(hh, f->replicas, r->id, strlen(r->id), r);
	}
	front_slot_set_replicas(f);
}

/* Copies the message into the view: the list of control processes and, if present, the lists of
 * replicas and entries. */
static void update_view(front_t *f, const link_view_t *m)
{
	link_view_t got;
	link_view_t old = f->view;

	wire_dup(XDR_PROC(link_view_t), m, &got, sizeof(got));
	f->view.controls = got.controls;
	got.controls = old.controls;
	if (m->has_upstreams) {
		f->view.upstreams = got.upstreams;
		got.upstreams = old.upstreams;
	}
	if (m->has_entries) {
		f->view.entries = got.entries;
		got.entries = old.entries;
	}
	wire_free(XDR_PROC(link_view_t), &got);
	for (u_int i = 0; i < f->view.controls.controls_len; i++)
		leader_link_add_control(f->leader, wire_str(f->view.controls.controls_val[i]));
	if (m->has_upstreams)
		index_replicas(f);
}

static void carry_out_grant(front_t *f, const link_grant_t *m)
{
	front_request_t *q = front_request_find(f, m->request);
	replica_ref_t r = {wire_str(m->replica), m->start_time};
	link_msg_t end = {.kind = LINK_ENDED};

	if (q && front_request_is_waiting(q)) {
		front_request_granted(q, r, wire_str(m->addr));
	} else if (!q) {
		/* The request ended while the grant was in transit: releases the slot. */
		end.link_msg_t_u.ended.request = m->request;
		end.link_msg_t_u.ended.outcome = LINK_OUTCOME_CANCELLED;
		leader_link_send(f->leader, &end);
	}
}

void front_link_carry_out(front_t *f, const link_msg_t *m)
{
	if (m->kind == LINK_GRANT)
		carry_out_grant(f, &m->link_msg_t_u.grant);
	else
		front_item_run(f, &m->link_msg_t_u.run);
}

static void on_message(void *ctx, const link_msg_t *m)
{
	front_t *f = ctx;
	front_request_t *q;

	if (front_pause_holds(f, m))
		return;
	switch (m->kind) {
	case LINK_CONFIG:
		front_routes_update(f, &m->link_msg_t_u.conf);
		break;
	case LINK_VIEW:
		update_view(f, &m->link_msg_t_u.view);
		break;
	case LINK_GRANT:
	case LINK_ITEM_RUN:
		front_link_carry_out(f, m);
		break;
	case LINK_REFUSE:
		q = front_request_find(f, m->link_msg_t_u.refuse.request);
		if (q && front_request_is_waiting(q))
			front_request_refused(q, m->link_msg_t_u.refuse.retry_ms);
		break;
	case LINK_CONFIG_IN_FORCE:
		front_customer_newest(f, &m->link_msg_t_u.holds);
		break;
	case LINK_LEAVING:
		note_leaving(f,
			     (replica_ref_t){wire_str(m->link_msg_t_u.leaving_replica.replica),
					     m->link_msg_t_u.leaving_replica.start_time},
			     "leader");
		break;
	case LINK_OVER_QUOTA:
		front_quota_exceeded(f, &m->link_msg_t_u.over_quota);
		break;
	case LINK_FLEET_ENTRIES:
		f->fleet_entries = m->link_msg_t_u.entries;
		break;
	case LINK_ENTRY_CAPACITIES:
		directory_set_capacities(&f->capacities, &m->link_msg_t_u.capacities);
		break;
	case LINK_PROMPT_PARTS:
		front_quarantine_update(f, &m->link_msg_t_u.prompt_parts);
		break;
	case LINK_POISONS:
		front_poison_update(f, &m->link_msg_t_u.poisons);
		break;
	case LINK_KINDS_KNOWN:
		f->leader_last_kind = m->link_msg_t_u.last_kind;
		if (f->settings.capacity > 0)
			front_link_report_capacity(f);
		break;
	case LINK_ASK_ITEM_FAILURES:
		front_item_report_failures(f);
		break;
	case LINK_ITEM_PATIENCE:
		front_item_set_patience(f, &m->link_msg_t_u.patience);
		break;
	case LINK_ITEM_STOP:
		front_item_stop(f, &m->link_msg_t_u.stop);
		break;
	default:
		break;
	}
}

bool front_leader_knows(const front_t *f, link_kind_t kind)
{
	return (u_int)kind <= f->leader_last_kind;
}

void front_link_report_capacity(front_t *f)
{
	double thousandths = f->settings.capacity * 1000;
	link_entry_capacity_t own = {.addr = wire_bytes(str_c(f->settings.listen))};
	link_msg_t m = {.kind = LINK_ENTRY_CAPACITIES};

	if (!front_leader_knows(f, m.kind))
		return;
	/* 0 would say that the capacity is unknown. */
	if (thousandths > 0)
		own.capacity = thousandths < 1 ? 1 : (u_int)lround(thousandths);
	m.link_msg_t_u.capacities.entries.entries_len = 1;
	m.link_msg_t_u.capacities.entries.entries_val = &own;
	leader_link_send(f->leader, &m);
}

static void on_up(void *ctx)
{
	front_t *f = ctx;

	front_customer_link_up(f);
	front_slot_leader_up(f);
	front_item_leader_up(f);
}

static void on_down(void *ctx)
{
	((front_t *)ctx)->leader_last_kind = 0;
	front_pause_link_down(ctx);
	front_customer_link_down(ctx);
	front_quarantine_link_down(ctx);
	front_poison_link_down(ctx);
	front_slot_leader_down(ctx);
}

/* Value of replica in the hello: what the leader is to know of this entry. Leaders of older builds
 * compare it with LINK_ENTRY_CUT_OFF only. */
static uint64_t entry_flags(const front_t *f)
{
	return !front_is_stopping(f) && front_is_cut_off(f) ? LINK_ENTRY_CUT_OFF
							    : LINK_ENTRY_KNOWS_KINDS;
}

/* Fills the hello that opens a link: this entry, its running requests and items (RUNS_MAX at most),
 * its config, and the leaving replicas. */
static void fill_hello(void *ctx, link_hello_t *out)
{
	static link_run_t runs[RUNS_MAX];
	front_t *f = ctx;
	size_t n = 0;

	for (front_request_t *q = f->requests; q && n < RUNS_MAX; q = q->hh.next) {
		if (!front_request_is_waiting(q))
			runs[n++] = (link_run_t){.request = q->number,
						 .replica = wire_bytes(str_c(q->replica))};
	}
	n += front_item_runs(f, runs + n, RUNS_MAX - n);
	*out = (link_hello_t){
		.name = wire_bytes(str_c(f->settings.name)),
		.addr = wire_bytes(str_c(f->settings.listen)),
		.zone = wire_bytes(str_c(f->settings.zone)),
		.draining = front_is_stopping(f) || front_is_cut_off(f),
		.replica = entry_flags(f),
		.text = f->config_id,
	};
	out->runs.runs_len = (u_int)n;
	out->runs.runs_val = runs;
	leader_link_report_leaving(out, f->leaving_replicas);
}

/* This process has read the replica list; ignored if a leader has connected meanwhile. */
static void on_list(void *ctx, link_view_t *v)
{
	front_t *f = ctx;
	link_view_t old = {.upstreams = f->view.upstreams};

	if (!f->local_dispatch)
		return;
	f->view.upstreams = v->upstreams;
	v->upstreams = old.upstreams;
	index_replicas(f);
}

void front_link_tick(front_t *f, deadline_t now)
{
	deadline_t since = leader_link_down_since(f->leader);

	if (!f->local_dispatch)
		return;
	dispatch_tick(f->local_dispatch, now);
	if (now - since > STOP_ITEMS_AFTER_MS)
		front_item_stop_all(f);
	if (!f->upstream_list || now - since < LIST_AFTER_MS || now < f->next_list_read)
		return;
	f->next_list_read = now + LIST_PERIOD_MS;
	upstream_list_read(f->upstream_list);
}

void front_link_start(front_t *f)
{
	f->leaving_replicas = leaving_new();
	front_pause_start(f);
	front_reach_start(f);
	front_customer_start(f);
	front_quarantine_start(f);
	front_poison_start(f);
	front_routes_start(f);
	front_item_start(f);
	f->leader = leader_link_new(&(leader_link_options_t){
		.loop = f->loop,
		.controls = (const char *const *)f->settings.controls.v,
		.ncontrols = f->settings.controls.n,
		.link_port = (unsigned)f->settings.link_port,
		.ctx = f,
		.hello = fill_hello,
		.message = on_message,
		.up = on_up,
		.down = on_down,
	});
	if (f->settings.upstream_list)
		f->upstream_list = upstream_list_new(
			&(upstream_list_options_t){.loop = f->loop,
						   .http = f->http,
						   .addr = f->settings.upstream_list,
						   .ctx = f,
						   .list = on_list});
	front_slot_leader_down(f);
}
