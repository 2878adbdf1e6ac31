/* The leader's dispatcher: online requests and items at entries. */
#include <stdlib.h>
#include <string.h>
#include "base/lg.h"
#include "base/mx.h"
#include "control/cn_hub.h"

/** A new leader holds items back for this long, in ms, until entries have told what they run:
 * longer than their search for a leader, shorter than the time after which they give up. */
#define ADOPT_HOLD_MS 800

/* ---- effects of the dispatcher ---- */

static void on_grant(void *ctx, uint64_t entry, uint64_t request, str_t replica)
{
	lw_msg_t m = {.kind = LW_GRANT};
	hub_peer_t *p = hub_peer(ctx, entry);
	const lw_upstream_t *u = hub_replica(ctx, replica);

	if (!p)
		return;
	m.lw_msg_t_u.grant = (lw_grant_t){.request = request, .replica = px_bytes(replica)};
	if (u) {
		m.lw_msg_t_u.grant.addr = u->addr;
		m.lw_msg_t_u.grant.born = u->born;
	}
	hub_send(p, &m);
	MX_COUNT("auburn_granted_total");
}

static void log_refusal(hub_t *h, const hub_peer_t *p, uint64_t number, int64_t retry_ms,
			ds_refusal_t why)
{
	ds_stats_t st;

	ds_stats(h->ds, &st);
	lg(LG_INFO, "place_refused", LG_C("entry", p->name), LG_I("number", number),
	   LG_C("reason", ds_refusal_name(why)), LG_I("retry_ms", retry_ms),
	   LG_I("replicas", st.replicas), LG_I("places", st.slots), LG_I("online", st.online),
	   LG_I("items", st.items), LG_I("waiting", st.asks_waiting),
	   LG_I("list_age_ms", hub_list_age_ms(h)));
}

static void on_refuse(void *ctx, uint64_t entry, uint64_t request, int64_t retry_ms,
		      ds_refusal_t why)
{
	lw_msg_t m = {.kind = LW_REFUSE};
	hub_peer_t *p = hub_peer(ctx, entry);

	if (!p)
		return;
	m.lw_msg_t_u.refuse.request = request;
	m.lw_msg_t_u.refuse.retry_ms = (int)retry_ms;
	hub_send(p, &m);
	log_refusal(ctx, p, request, retry_ms, why);
	MX_COUNT("auburn_refused_total");
}

typedef struct {
	hub_t *h;
	hub_item_t *it;
	hub_peer_t *p;
	str_t replica;
	bool sent;
} run_t;

static void send_run(cn_group_t *g, void *arg)
{
	run_t *r = arg;
	const lo_lot_t *t = lo_find(g->lo, str_c(r->it->lot->id));
	lw_msg_t m = {.kind = LW_ITEM_RUN};
	lw_item_run_t *x = &m.lw_msg_t_u.run;
	const lw_upstream_t *u = hub_replica(r->h, r->replica);
	const lo_item_t *item;

	if (!t || t->ended || t->items[r->it->index].state != LO_OPEN)
		return;
	item = &t->items[r->it->index];
	*x = (lw_item_run_t){
		.job = px_bytes(str_c(t->id)),
		.item = r->it->index,
		.id = px_bytes(str_c(item->id)),
		.host = px_bytes(str_c(t->host)),
		.path = px_bytes(str_c(item->path)),
		.headers = px_bytes((str_t){item->headers, item->headers_n}),
		.body = px_bytes((str_t){item->data, item->data_n}),
		.replica = px_bytes(r->replica),
		.addr = u ? u->addr : (aw_bytes_t){0},
		.born = u ? u->born : 0,
		.text = px_bytes(str_buf(&r->it->text)),
		.events = r->it->events,
		.deadline_ms = (int)(t->drop_wall_ms - clk_wall_ms()),
	};
	hub_send(r->p, &m);
	r->sent = true;
}

static void on_run(void *ctx, void *data, uint64_t entry, str_t replica)
{
	hub_t *h = ctx;
	run_t r = {h, data, hub_peer(h, entry), replica, false};

	r.it->entry = entry;
	if (r.p)
		cn_group_read(&h->cn->groups[0], send_run, &r);
	if (!r.sent) {
		h->lots_at = 0;
		return;
	}
	lg(LG_INFO, "item_run", LG_C("lot", r.it->lot->id), LG_I("item", r.it->index),
	   LG_S("replica", replica), LG_C("entry", r.p->name), LG_I("events", r.it->events),
	   LG_I("failures", r.it->failures));
	MX_COUNT("auburn_item_runs_total");
}

static void on_stop(void *ctx, void *data, uint64_t entry)
{
	hub_t *h = ctx;
	hub_item_t *it = data;
	hub_peer_t *p = hub_peer(h, entry);
	lw_msg_t m = {.kind = LW_ITEM_STOP};

	if (!p)
		return;
	m.lw_msg_t_u.stop.job = px_bytes(str_c(it->lot->id));
	m.lw_msg_t_u.stop.item = it->index;
	hub_send(p, &m);
	lg(LG_INFO, "item_stop", LG_C("lot", it->lot->id), LG_I("item", it->index),
	   LG_C("entry", p->name));
	MX_COUNT("auburn_item_stops_total");
}

/* ---- lots ---- */

/* Where an item goes by the text in force; no service when its route has gone. */
static const char *route_item(hub_t *h, const lo_lot_t *t, hub_item_t *it)
{
	const lo_item_t *item = &t->items[it->index];
	const ru_route_t *r = NULL;

	if (h->routes)
		r = ru_match(h->routes, str_c(t->host), str_c(item->path));
	if (!r)
		return "";
	it->attempts = (uint32_t)r->attempts;
	return ru_pick(r, str_hash(str_c(item->id)));
}

typedef struct {
	hub_t *h;
	deadline_t now;
} sync_t;

static hub_lot_t *lot_new(hub_t *h, const lo_lot_t *t)
{
	hub_lot_t *lot = mem_new(sizeof(*lot));

	lot->h = h;
	lot->id = str_dup(str_c(t->id));
	lot->nitems = t->nitems;
	lot->items = mem_new((t->nitems + 1) * sizeof(*lot->items));
	HASH_ADD_KEYPTR(hh, h->lots, lot->id, strlen(lot->id), lot);
	return lot;
}

static void take_new(cn_group_t *g, void *arg)
{
	sync_t *s = arg;
	hub_t *h = s->h;
	int64_t wall = clk_wall_ms();

	for (const lo_lot_t *t = lo_first(g->lo); t; t = t->hh.next) {
		hub_lot_t *lot;

		if (t->serial <= h->lots_seen)
			continue;
		h->lots_seen = t->serial;
		if (t->ended || t->nlisted == t->nitems)
			continue;
		lot = lot_new(h, t);
		for (uint32_t i = 0; i < t->nitems; i++) {
			hub_item_t *it = &lot->items[i];

			it->lot = lot;
			it->index = i;
			if (t->items[i].state != LO_OPEN)
				continue;
			lot->left++;
			buf_add(&it->text, (str_t){t->items[i].made, t->items[i].made_n});
			it->events = it->saved_events = t->items[i].events;
			it->saved_n = t->items[i].made_n;
			it->run = ds_item_add(h->ds, str_c(route_item(h, t, it)),
					      s->now + t->due_wall_ms - wall, it);
		}
	}
}

static void item_finish(hub_item_t *it, bool ended)
{
	hub_lot_t *lot = it->lot;
	ds_item_t *run = it->run;

	if (!run)
		return;
	it->run = NULL;
	buf_free(&it->text);
	it->text = (buf_t){0};
	lot->left--;
	ds_item_remove(lot->h->ds, run, ended, clk_now_ms());
}

static void lot_free(hub_t *h, hub_lot_t *lot)
{
	HASH_DEL(h->lots, lot);
	for (uint32_t i = 0; i < lot->nitems; i++)
		buf_free(&lot->items[i].text);
	free(lot->items);
	free(lot->id);
	free(lot);
}

typedef struct {
	const hub_lot_t *lot;
	bool gone; /* ended or forgotten */
	bool *listed;
} look_t;

static void look(cn_group_t *g, void *arg)
{
	look_t *l = arg;
	const lo_lot_t *t = lo_find(g->lo, str_c(l->lot->id));

	l->gone = !t || t->ended;
	for (uint32_t i = 0; t && i < t->nitems; i++)
		l->listed[i] = t->items[i].state != LO_OPEN;
}

/* Stops what the log says is over; frees lots that have nothing left. */
static void drop_over(hub_t *h)
{
	hub_lot_t *lot;
	hub_lot_t *next;

	HASH_ITER (hh, h->lots, lot, next) {
		look_t l = {.lot = lot, .listed = mem_new(lot->nitems + 1)};

		cn_group_read(&h->cn->groups[0], look, &l);
		for (uint32_t i = 0; i < lot->nitems; i++) {
			if (l.gone || l.listed[i])
				item_finish(&lot->items[i], false);
		}
		free(l.listed);
		if (lot->left == 0)
			lot_free(h, lot);
	}
}

void hub_lots_sync(hub_t *h)
{
	sync_t s = {h, clk_now_ms()};

	cn_group_read(&h->cn->groups[0], take_new, &s);
	drop_over(h);
	ds_tick(h->ds, clk_now_ms());
}

typedef struct {
	hub_t *h;
	hub_lot_t *lot;
} route_t;

static void set_services(cn_group_t *g, void *arg)
{
	route_t *r = arg;
	const lo_lot_t *t = lo_find(g->lo, str_c(r->lot->id));

	for (uint32_t i = 0; t && i < t->nitems; i++) {
		hub_item_t *it = &r->lot->items[i];

		if (it->run)
			ds_item_service(r->h->ds, it->run, str_c(route_item(r->h, t, it)));
	}
}

/* Items whose route has gone can't be run. */
void hub_dispatch_routes(hub_t *h)
{
	for (hub_lot_t *lot = h->lots; lot; lot = lot->hh.next)
		cn_group_read(&h->cn->groups[0], set_services, &(route_t){h, lot});
	for (hub_lot_t *lot = h->lots; lot; lot = lot->hh.next) {
		for (uint32_t i = 0; i < lot->nitems; i++) {
			hub_item_t *it = &lot->items[i];

			if (it->run && ds_item_is_waiting(it->run) &&
			    !ds_item_has_service(it->run)) {
				lg(LG_WARN, "item_dead", LG_C("lot", lot->id), LG_I("item", i),
				   LG_C("reason", "its route was removed"));
				hub_lots_result(h, it, true, (str_t){"", 0});
				item_finish(it, false);
			}
		}
	}
	hub_commit(h);
}

/* ---- messages of entries ---- */

static hub_item_t *find_item(hub_t *h, aw_bytes_t lot_id, u_int index)
{
	str_t id = px_str(lot_id);
	hub_lot_t *lot;

	HASH_FIND(hh, h->lots, id.p, id.n, lot);
	return lot && index < lot->nitems && lot->items[index].run ? &lot->items[index] : NULL;
}

static void adopt(hub_t *h, hub_peer_t *p, const lw_run_t *r)
{
	lw_msg_t stop = {.kind = LW_ITEM_STOP};
	hub_item_t *it;

	if (r->request) {
		ds_adopt(h->ds, p->id, r->request, px_str(r->replica), clk_now_ms());
		return;
	}
	it = find_item(h, r->job, r->item);
	if (it && ds_item_may_adopt(it->run, clk_now_ms())) {
		it->entry = p->id;
		ds_item_adopt(h->ds, it->run, p->id, px_str(r->replica), clk_now_ms());
		return;
	}
	stop.lw_msg_t_u.stop.job = r->job;
	stop.lw_msg_t_u.stop.item = r->item;
	hub_send(p, &stop);
}

void hub_dispatch_hello(hub_t *h, hub_peer_t *p, const lw_hello_t *hello)
{
	if (!p->addr[0])
		return;
	ds_entry_add(h->ds, p->id, str_c(p->zone), !p->draining);
	for (u_int i = 0; i < hello->leavers.leavers_len; i++)
		hub_view_leaver(h, p, &hello->leavers.leavers_val[i]);
	for (u_int i = 0; i < hello->runs.runs_len; i++)
		adopt(h, p, &hello->runs.runs_val[i]);
}

static void on_ask(hub_t *h, hub_peer_t *p, const lw_ask_t *m)
{
	deadline_t now = clk_now_ms();
	ds_ask_t a = {
		.entry = p->id,
		.request = m->request,
		.service = px_str(m->service),
		.priority = m->priority,
		.resumed = m->resumed,
		.returning = m->returning,
		.objective = now + m->objective_ms,
		.deadline = now + m->deadline_ms,
		.leaves = now + m->leaves_ms,
		.prefix = m->prefix,
	};

	for (u_int i = 0; i < m->avoid.avoid_len && i < DS_AVOID_MAX; i++)
		a.avoid[a.navoid++] = px_str(m->avoid.avoid_val[i]);
	ds_ask(h->ds, &a, now);
	/* A request that waits for a place shows its entry that this process is there. */
	if (p->sent < now)
		hub_send(p, &(lw_msg_t){.kind = LW_PING});
}

static void item_over(hub_t *h, hub_item_t *it, bool dead, str_t text, const char *reason)
{
	lg(dead ? LG_WARN : LG_INFO, dead ? "item_dead" : "item_done", LG_C("lot", it->lot->id),
	   LG_I("item", it->index), LG_I("events", it->events), LG_I("failures", it->failures),
	   LG_C("reason", reason));
	hub_lots_result(h, it, dead, text);
	item_finish(it, true);
	hub_commit(h);
}

static void on_item_ended(hub_t *h, hub_peer_t *p, const lw_item_ended_t *m)
{
	hub_item_t *it = find_item(h, m->job, m->item);

	if (!it || (it->entry != p->id && m->end != LW_ITEM_DONE))
		return;
	switch (m->end) {
	case LW_ITEM_DONE:
		it->events = m->events;
		item_over(h, it, false, px_str(m->text), "complete");
		return;
	case LW_ITEM_IMPOSSIBLE:
		item_over(h, it, true, (str_t){"", 0}, "the replica says it can't be done");
		return;
	case LW_ITEM_FAILED:
		if (++it->failures >= it->attempts) {
			item_over(h, it, true, (str_t){"", 0}, "failed at every attempt");
			return;
		}
		ds_item_avoid(it->run, px_str(m->replica));
		break;
	default:
		break;
	}
	if (m->events > it->events) {
		it->events = m->events;
		it->text.n = 0;
		buf_add(&it->text, px_str(m->text));
		hub_lots_progress(h, it);
	}
	lg(LG_INFO, "item_back", LG_C("lot", it->lot->id), LG_I("item", it->index),
	   LG_C("outcome", ds_outcome_name((ds_outcome_t)m->outcome)),
	   LG_S("replica", px_str(m->replica)), LG_I("events", it->events),
	   LG_I("failures", it->failures));
	ds_item_back(h->ds, it->run, (ds_outcome_t)m->outcome, clk_now_ms());
}

static void on_item_progress(hub_t *h, hub_peer_t *p, const lw_item_progress_t *m)
{
	hub_item_t *it = find_item(h, m->job, m->item);

	if (!it || it->entry != p->id || m->from != it->events || m->events <= m->from)
		return;
	buf_add(&it->text, px_str(m->text));
	it->events = m->events;
	hub_lots_progress(h, it);
}

void hub_dispatch_message(hub_t *h, hub_peer_t *p, const lw_msg_t *m)
{
	switch (m->kind) {
	case LW_ASK:
		on_ask(h, p, &m->lw_msg_t_u.ask);
		break;
	case LW_DROP:
		ds_drop(h->ds, p->id, m->lw_msg_t_u.request);
		break;
	case LW_ENDED:
		ds_ended(h->ds, p->id, m->lw_msg_t_u.ended.request,
			 (ds_outcome_t)m->lw_msg_t_u.ended.outcome, clk_now_ms());
		break;
	case LW_LEAVER:
		hub_view_leaver(h, p, &m->lw_msg_t_u.leaver);
		break;
	case LW_ITEM_PROGRESS:
		on_item_progress(h, p, &m->lw_msg_t_u.progress);
		break;
	case LW_ITEM_ENDED:
		on_item_ended(h, p, &m->lw_msg_t_u.item_ended);
		break;
	default:
		break;
	}
}

void hub_dispatch_begin(hub_t *h)
{
	ds_callbacks_t cb = {h, on_grant, on_refuse, on_run, on_stop};

	h->ds = ds_new(&cb, (uint64_t)clk_now_us());
	h->lots_seen = 0;
	ds_hold_items(h->ds, clk_now_ms() + ADOPT_HOLD_MS);
	hub_lots_sync(h);
}

void hub_dispatch_end(hub_t *h)
{
	while (h->lots)
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): what is freed was unlinked */
		lot_free(h, h->lots);
	ds_free(h->ds);
	h->ds = NULL;
}
