/* The items of lots in the leader's dispatcher: brings it in line with the lots in group 0, routes
 * items, gives them up, and handles the ends of their runs. */
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "base/metric.h"
#include "control/hub.h"
#include "platform/platform.h"

/** A new leader starts no items for this long, in ms, so that entries can first report the items
 * that they run. Longer than an entry usually searches for the leader; shorter than the time after
 * which an entry without a leader stops its items (STOP_ITEMS_AFTER_MS), as then it has none to
 * report. */
#define ADOPT_HOLD_MS 800

static bool has_failed_for_good(const hub_item_t *it)
{
	return it->attempts_max > 0 && it->failures >= it->attempts_max;
}

/* Returns the service of an item by the routes in force, and sets its attempts_max and held. Empty
 * if it is held or has failed for good, or if no route matches because its route was removed. */
static const char *find_item_service(hub_t *h, const lot_t *t, hub_item_t *it)
{
	const lot_item_t *item = &t->items[it->index];
	const route_spec_t *r = NULL;

	it->held = false;
	if (h->routes)
		r = route_table_match(h->routes, str_c(t->host), str_c(item->path));
	if (!r)
		return "";
	it->attempts_max = r->attempts > 1 ? (uint32_t)r->attempts : 1;
	it->held = hub_quarantine_holds(h, it);
	if (it->held || has_failed_for_good(it))
		return "";
	return route_pick_service(r, str_hash(str_c(item->id)));
}

typedef struct {
	hub_t *h;
	deadline_t now;
} new_lots_t;

static hub_lot_t *lot_new(hub_t *h, const lot_t *t)
{
	hub_lot_t *lot = mem_new(sizeof(*lot));

	lot->hub = h;
	lot->id = str_dup(str_c(t->id));
	lot->nitems = t->nitems;
	lot->items = mem_new((t->nitems + 1) * sizeof(*lot->items));
	HASH_ADD_KEYPTR(hh, h->lots, lot->id, strlen(lot->id), lot);
	return lot;
}

static void set_parts(hub_item_t *it, str_t headers)
{
	prompt_parts_t p;

	platform_item_prompt_decode(headers, &p);
	it->nparts = p.n;
	it->parts = p.n ? mem_new(p.n * sizeof(*it->parts)) : NULL;
	for (unsigned i = 0; i < p.n; i++)
		it->parts[i] = p.v[i];
}

static void set_tokens(const hub_item_t *it, str_t headers)
{
	dispatch_tokens_t tokens;

	platform_item_tokens_decode(headers, &tokens);
	dispatch_item_set_tokens(it->dispatch_ref, &tokens);
}

/* Adds the lots accepted since the last call to the dispatcher, with their open items. */
static void add_new_lots(control_group_t *g, void *arg)
{
	new_lots_t *s = arg;
	hub_t *h = s->h;
	int64_t wall = clock_wall_ms();

	for (const lot_t *t = lots_first(g->lots); t; t = t->hh.next) {
		hub_lot_t *lot;

		if (t->serial <= h->last_lot_serial)
			continue;
		h->last_lot_serial = t->serial;
		if (t->ended || t->nfinished == t->nitems)
			continue;
		lot = lot_new(h, t);
		for (uint32_t i = 0; i < t->nitems; i++) {
			hub_item_t *it = &lot->items[i];

			it->lot = lot;
			it->index = i;
			set_parts(it, (str_t){t->items[i].headers, t->items[i].headers_n});
			if (t->items[i].state != LOT_ITEM_OPEN)
				continue;
			lot->unfinished++;
			item_output_init(&it->output,
					 (str_t){t->items[i].partial_text, t->items[i].partial_n},
					 t->items[i].partial_events);
			it->dispatch_ref =
				dispatch_item_add(h->dispatch, str_c(find_item_service(h, t, it)),
						  s->now + t->due_wall_ms - wall, it);
			set_tokens(it, (str_t){t->items[i].headers, t->items[i].headers_n});
		}
	}
}

/* Removes an item from the dispatcher. ended: its run has ended, so no entry is told to stop it. */
static void finish_item(hub_item_t *it, bool ended)
{
	hub_lot_t *lot = it->lot;
	dispatch_item_t *ref = it->dispatch_ref;

	if (!ref)
		return;
	it->dispatch_ref = NULL;
	item_output_free(&it->output);
	lot->unfinished--;
	dispatch_item_remove(lot->hub->dispatch, ref, ended, clock_now_ms());
}

static void lot_free(hub_t *h, hub_lot_t *lot)
{
	HASH_DEL(h->lots, lot);
	for (uint32_t i = 0; i < lot->nitems; i++) {
		item_output_free(&lot->items[i].output);
		free(lot->items[i].parts);
	}
	free(lot->items);
	free(lot->id);
	free(lot);
}

/* Returns why a waiting item is not to be run any more; NULL if it is. */
static const char *reason_to_give_up(const hub_item_t *it)
{
	if (!it->dispatch_ref || !dispatch_item_is_waiting(it->dispatch_ref))
		return NULL;
	if (has_failed_for_good(it))
		return "failed at every attempt";
	if (!it->held && !dispatch_item_has_service(it->dispatch_ref))
		return "route removed from the config";
	return NULL;
}

/* Gives up the items that wait and are not to be run any more, however they came to wait: their
 * runs may have ended after the change of the config, or before this leader knew their routes. It
 * has to know first which items have a route, by the newest config, and which ones run. */
static void give_up_items(hub_t *h)
{
	unsigned given_up = 0;

	if (clock_now_ms() < h->items_known_from || !hub_routes_are_newest(h))
		return;
	for (hub_lot_t *lot = h->lots; lot; lot = lot->hh.next) {
		for (uint32_t i = 0; i < lot->nitems; i++) {
			hub_item_t *it = &lot->items[i];
			const char *reason = reason_to_give_up(it);

			if (!reason)
				continue;
			log_event(LOG_LEVEL_WARN, "item_dead", LOG_CSTR("lot", lot->id),
				  LOG_INT("item", i), LOG_INT("events", it->output.events),
				  LOG_INT("failures", it->failures), LOG_CSTR("reason", reason));
			hub_lots_add_result(h, it, true, (str_t){"", 0});
			finish_item(it, false);
			given_up++;
		}
	}
	if (given_up > 0)
		hub_lots_commit(h);
}

typedef struct {
	const hub_lot_t *lot;
	bool over; /* ended, or removed from group 0 */
	bool *finished; /* for each item */
} lot_state_t;

static void read_lot_state(control_group_t *g, void *arg)
{
	lot_state_t *l = arg;
	const lot_t *t = lots_find(g->lots, str_c(l->lot->id));

	l->over = !t || t->ended;
	for (uint32_t i = 0; t && i < t->nitems; i++)
		l->finished[i] = t->items[i].state != LOT_ITEM_OPEN;
}

/* Removes the items that are finished in group 0 or whose lot is over; entries stop their runs.
 * Frees the lots without unfinished items. */
static void drop_finished(hub_t *h)
{
	hub_lot_t *lot;
	hub_lot_t *next;

	HASH_ITER (hh, h->lots, lot, next) {
		lot_state_t l = {.lot = lot, .finished = mem_new(lot->nitems + 1)};

		control_group_read(&h->control->groups[0], read_lot_state, &l);
		for (uint32_t i = 0; i < lot->nitems; i++) {
			if (l.over || l.finished[i])
				finish_item(&lot->items[i], false);
		}
		free(l.finished);
		if (lot->unfinished == 0)
			lot_free(h, lot);
	}
}

void hub_items_sync(hub_t *h)
{
	new_lots_t s = {h, clock_now_ms()};

	control_group_read(&h->control->groups[0], add_new_lots, &s);
	drop_finished(h);
	give_up_items(h);
	dispatch_tick(h->dispatch, clock_now_ms());
}

static void update_service(control_group_t *g, void *arg)
{
	hub_item_t *it = arg;
	hub_t *h = it->lot->hub;
	const lot_t *t = lots_find(g->lots, str_c(it->lot->id));

	if (t && it->dispatch_ref)
		dispatch_item_set_service(h->dispatch, it->dispatch_ref,
					  str_c(find_item_service(h, t, it)));
}

void hub_items_reroute_one(hub_t *h, hub_item_t *it)
{
	control_group_read(&h->control->groups[0], update_service, it);
}

static void update_services(control_group_t *g, void *arg)
{
	hub_lot_t *lot = arg;

	for (uint32_t i = 0; i < lot->nitems; i++)
		update_service(g, &lot->items[i]);
}

void hub_items_reroute(hub_t *h)
{
	for (hub_lot_t *lot = h->lots; lot; lot = lot->hh.next)
		control_group_read(&h->control->groups[0], update_services, lot);
	give_up_items(h);
}

hub_item_t *hub_find_item(hub_t *h, wire_bytes_t lot_id, u_int index)
{
	str_t id = wire_str(lot_id);
	hub_lot_t *lot;

	HASH_FIND(hh, h->lots, id.p, id.n, lot);
	return lot && index < lot->nitems && lot->items[index].dispatch_ref ? &lot->items[index]
									    : NULL;
}

/* ---- ends of runs ---- */

/* The item has a result. current: from its current run; otherwise that is stopped. */
static void end_item(hub_t *h, hub_item_t *it, bool current, bool dead, uint32_t events, str_t text,
		     const char *reason)
{
	log_event(dead ? LOG_LEVEL_WARN : LOG_LEVEL_INFO, dead ? "item_dead" : "item_done",
		  LOG_CSTR("lot", it->lot->id), LOG_INT("item", it->index),
		  LOG_INT("events", events), LOG_INT("failures", it->failures),
		  LOG_CSTR("reason", reason));
	hub_lots_add_result(h, it, dead, text);
	finish_item(it, current);
	hub_lots_commit(h);
}

/* The run goes on, and its result counts if it is complete; its partial text is dropped. */
static void log_differing_run(const hub_item_t *it, const hub_peer_t *p, uint32_t events)
{
	log_event(LOG_LEVEL_WARN, "item_run_differs", LOG_CSTR("lot", it->lot->id),
		  LOG_INT("item", it->index), LOG_CSTR("entry", p->name),
		  LOG_INT("events", it->output.events), LOG_INT("run_events", events));
	METRIC_INC("auburn_item_runs_differing_total");
}

static void log_damaged_run(const hub_item_t *it, const hub_peer_t *p, uint32_t events)
{
	log_event(LOG_LEVEL_WARN, "item_text_damaged", LOG_CSTR("lot", it->lot->id),
		  LOG_INT("item", it->index), LOG_CSTR("entry", p->name),
		  LOG_INT("events", it->output.events), LOG_INT("run_events", events),
		  LOG_INT("runs_rejected", it->output.rejected));
	METRIC_INC("auburn_item_texts_damaged_total");
}

static void log_report(const hub_item_t *it, const hub_peer_t *p, uint32_t events,
		       item_report_t report)
{
	if (report == ITEM_REPORT_DIFFERS)
		log_differing_run(it, p, events);
	else if (report == ITEM_REPORT_DAMAGED)
		log_damaged_run(it, p, events);
}

void hub_items_ended(hub_t *h, hub_peer_t *p, const link_item_ended_t *m)
{
	hub_item_t *it = hub_find_item(h, m->job, m->item);
	dispatch_outcome_t outcome = (dispatch_outcome_t)m->outcome;
	item_report_t report = ITEM_REPORT_DAMAGED;
	uint32_t had;
	size_t bytes;
	bool current;

	if (!it)
		return;
	current = item_output_end(&it->output, p->id);
	/* A complete result counts from any run, any other end only from the current one. */
	if (!current && m->end != LINK_ITEM_END_DONE)
		return;
	had = it->output.events;
	switch (m->end) {
	case LINK_ITEM_END_DONE:
		hub_quarantine_alive(h, wire_str(m->replica));
		if (item_output_accept(&it->output, wire_str(m->text))) {
			end_item(h, it, current, false, m->events, wire_str(m->text), "complete");
			return;
		}
		if (!current) {
			log_damaged_run(it, p, m->events);
			return;
		}
		/* Does not count against the replica, whose text this may be. */
		outcome = DISPATCH_CANCELLED;
		dispatch_item_avoid(it->dispatch_ref, wire_str(m->replica));
		break;
	case LINK_ITEM_END_IMPOSSIBLE:
		end_item(h, it, true, true, had, (str_t){"", 0},
			 "replica reports the item as impossible");
		return;
	case LINK_ITEM_END_FAILED:
		it->failures++;
		if (has_failed_for_good(it)) {
			end_item(h, it, true, true, had, (str_t){"", 0}, "failed at every attempt");
			return;
		}
		dispatch_item_avoid(it->dispatch_ref, wire_str(m->replica));
		break;
	default:
		if (outcome == DISPATCH_SILENT)
			dispatch_item_avoid(it->dispatch_ref, wire_str(m->replica));
		break;
	}
	bytes = it->output.text.n;
	if (m->end != LINK_ITEM_END_DONE)
		report = item_output_take(&it->output, m->events, wire_str(m->text));
	log_report(it, p, m->events, report);
	if (it->output.events > had) {
		it->silent_runs = 0;
		hub_lots_add_progress(h, it, it->output.text.n - bytes);
	} else if (outcome == DISPATCH_SILENT) {
		it->silent_runs++;
	}
	log_event(LOG_LEVEL_INFO, "item_requeued", LOG_CSTR("lot", it->lot->id),
		  LOG_INT("item", it->index), LOG_CSTR("outcome", dispatch_outcome_name(outcome)),
		  LOG_STR("replica", wire_str(m->replica)), LOG_INT("events", it->output.events),
		  LOG_INT("failures", it->failures));
	hub_quarantine_item_ended(h, it);
	dispatch_item_requeue(h->dispatch, it->dispatch_ref, outcome, clock_now_ms());
}

void hub_items_progressed(hub_t *h, hub_peer_t *p, const link_item_progress_t *m)
{
	hub_item_t *it = hub_find_item(h, m->job, m->item);
	item_report_t report;
	size_t bytes;

	if (!it)
		return;
	bytes = it->output.text.n;
	report = item_output_progress(&it->output, p->id, m->from, m->events, wire_str(m->text));
	log_report(it, p, m->events, report);
	if (report != ITEM_REPORT_TAKEN)
		return;
	it->silent_runs = 0;
	hub_lots_add_progress(h, it, it->output.text.n - bytes);
	dispatch_item_progressed(h->dispatch, it->dispatch_ref, clock_now_ms());
}

/* ---- failures that earlier leaders were told ---- */

void hub_items_ask_failures(hub_t *h, hub_peer_t *p)
{
	hub_asked_t *x;

	HASH_FIND_STR(h->asked, p->addr, x);
	if (x)
		return;
	x = mem_new(sizeof(*x));
	snprintf(x->addr, sizeof(x->addr), "%s", p->addr);
	HASH_ADD_STR(h->asked, addr, x);
	hub_send(p, &(link_msg_t){.kind = LINK_ASK_ITEM_FAILURES});
}

void hub_items_add_failures(hub_t *h, const hub_peer_t *p, const link_failures_t *m)
{
	for (u_int i = 0; i < m->items.items_len; i++) {
		const link_item_failures_t *x = &m->items.items_val[i];
		hub_item_t *it = hub_find_item(h, x->job, x->item);

		if (!it || x->failures > UINT32_MAX - it->failures)
			continue;
		it->failures += x->failures;
		hub_items_reroute_one(h, it);
		log_event(LOG_LEVEL_INFO, "item_failures_known", LOG_CSTR("lot", it->lot->id),
			  LOG_INT("item", it->index), LOG_CSTR("entry", p->name),
			  LOG_INT("failures", it->failures));
	}
}

static void forget_asked(hub_t *h)
{
	hub_asked_t *x;
	hub_asked_t *next;

	HASH_ITER (hh, h->asked, x, next) {
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): unlinked before free() */
		HASH_DEL(h->asked, x);
		free(x);
	}
}

void hub_items_start_leading(hub_t *h)
{
	h->last_lot_serial = 0;
	h->items_known_from = clock_now_ms() + ADOPT_HOLD_MS;
	dispatch_hold_items(h->dispatch, h->items_known_from);
	hub_items_sync(h);
}

void hub_items_stop_leading(hub_t *h)
{
	forget_asked(h);
	while (h->lots)
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): nodes are unlinked first */
		lot_free(h, h->lots);
}
