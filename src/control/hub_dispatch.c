/* Connects the leader's dispatcher to the entries, which request slots and run items. */
#include <limits.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include "base/log.h"
#include "base/metric.h"
#include "control/hub.h"
#include "platform/platform.h"
#include "policy/item_patience.h"

/** Period of the gauges of replica speeds. */
#define SPEEDS_PERIOD_MS 500

/* ---- callbacks of the dispatcher ---- */

static void on_grant(void *ctx, uint64_t entry, uint64_t request, str_t replica)
{
	link_msg_t m = {.kind = LINK_GRANT};
	hub_peer_t *p = hub_find_peer(ctx, entry);
	const link_upstream_t *u = hub_find_replica(ctx, replica);

	if (!p)
		return;
	m.link_msg_t_u.grant = (link_grant_t){.request = request, .replica = wire_bytes(replica)};
	if (u) {
		m.link_msg_t_u.grant.addr = u->addr;
		m.link_msg_t_u.grant.start_time = u->start_time;
	}
	hub_send(p, &m);
	METRIC_INC("auburn_granted_total");
}

static void log_refusal(hub_t *h, const hub_peer_t *p, uint64_t number, int64_t retry_ms,
			dispatch_refusal_t reason)
{
	const dispatch_share_t *share = dispatch_refusal_share(h->dispatch);
	dispatch_stats_t st;

	dispatch_stats(h->dispatch, &st);
	log_event(LOG_LEVEL_INFO, "place_refused", LOG_CSTR("entry", p->name),
		  LOG_INT("number", number), LOG_CSTR("reason", dispatch_refusal_name(reason)),
		  LOG_INT("retry_ms", retry_ms), LOG_INT("replicas", st.replicas),
		  LOG_INT("places", st.slots), LOG_INT("online", st.online),
		  LOG_INT("items", st.items), LOG_INT("waiting", st.requests_waiting),
		  LOG_INT("list_age_ms", hub_list_age_ms(h)), LOG_CSTR("customer", share->customer),
		  LOG_INT("share_permille", share->permille),
		  LOG_INT("over_share", share->is_over));
	if (share->is_over)
		METRIC_INC("auburn_refused_over_share_total");
}

static void on_refuse(void *ctx, uint64_t entry, uint64_t request, int64_t retry_ms,
		      dispatch_refusal_t reason)
{
	link_msg_t m = {.kind = LINK_REFUSE};
	hub_peer_t *p = hub_find_peer(ctx, entry);

	if (!p)
		return;
	m.link_msg_t_u.refuse.request = request;
	m.link_msg_t_u.refuse.retry_ms = (int)retry_ms;
	hub_send(p, &m);
	log_refusal(ctx, p, request, retry_ms, reason);
	METRIC_INC("auburn_refused_total");
}

typedef struct {
	hub_t *h;
	hub_item_t *it;
	hub_peer_t *p;
	str_t replica;
	bool sent;
} item_start_t;

/* The message has 32 bits for it: 24 days at most. */
static int ms_left(int64_t wall_ms)
{
	int64_t left = wall_ms - clock_wall_ms();

	return left > INT_MAX ? INT_MAX : (int)left;
}

/* Entries that aren't told use the time of a first run. */
static void send_patience(hub_peer_t *p, const hub_item_t *it)
{
	link_msg_t m = {.kind = LINK_ITEM_PATIENCE};

	if (it->silent_runs == 0 || !p->knows_kinds)
		return;
	m.link_msg_t_u.patience =
		(link_item_patience_t){.job = wire_bytes(str_c(it->lot->id)),
				       .item = it->index,
				       .silent_ms = (int)item_patience_ms(it->silent_runs)};
	hub_send(p, &m);
}

static void send_item_run(control_group_t *g, void *arg)
{
	item_start_t *r = arg;
	const lot_t *t = lots_find(g->lots, str_c(r->it->lot->id));
	link_msg_t m = {.kind = LINK_ITEM_RUN};
	link_item_run_t *x = &m.link_msg_t_u.run;
	const link_upstream_t *u = hub_find_replica(r->h, r->replica);
	const lot_item_t *item;

	if (!t || t->ended || t->items[r->it->index].state != LOT_ITEM_OPEN)
		return;
	item = &t->items[r->it->index];
	*x = (link_item_run_t){
		.job = wire_bytes(str_c(t->id)),
		.item = r->it->index,
		.id = wire_bytes(str_c(item->id)),
		.host = wire_bytes(str_c(t->host)),
		.path = wire_bytes(str_c(item->path)),
		.headers = wire_bytes((str_t){item->headers, item->headers_n}),
		.body = wire_bytes((str_t){item->data, item->data_n}),
		.replica = wire_bytes(r->replica),
		.addr = u ? u->addr : (wire_bytes_t){0},
		.start_time = u ? u->start_time : 0,
		.text = wire_bytes(str_buf(&r->it->output.text)),
		.events = r->it->output.events,
		.deadline_ms = ms_left(t->drop_wall_ms),
	};
	send_patience(r->p, r->it);
	hub_send(r->p, &m);
	r->sent = true;
}

static void on_start_item(void *ctx, void *data, uint64_t entry, str_t replica)
{
	hub_t *h = ctx;
	item_start_t r = {h, data, hub_find_peer(h, entry), replica, false};

	item_output_start(&r.it->output, entry);
	if (r.p)
		control_group_read(&h->control->groups[0], send_item_run, &r);
	if (!r.sent) {
		/* The entry is lost or the item is finished: sync the lots on the next tick. */
		h->next_lots_sync = 0;
		return;
	}
	log_event(LOG_LEVEL_INFO, "item_run", LOG_CSTR("lot", r.it->lot->id),
		  LOG_INT("item", r.it->index), LOG_STR("replica", replica),
		  LOG_CSTR("entry", r.p->name), LOG_INT("events", r.it->output.events),
		  LOG_INT("failures", r.it->failures), LOG_INT("silent_runs", r.it->silent_runs));
	METRIC_INC("auburn_item_runs_total");
}

static void on_stop_item(void *ctx, void *data, uint64_t entry)
{
	hub_t *h = ctx;
	hub_item_t *it = data;
	hub_peer_t *p = hub_find_peer(h, entry);
	link_msg_t m = {.kind = LINK_ITEM_STOP};

	if (!p)
		return;
	m.link_msg_t_u.stop.job = wire_bytes(str_c(it->lot->id));
	m.link_msg_t_u.stop.item = it->index;
	hub_send(p, &m);
	log_event(LOG_LEVEL_INFO, "item_stop", LOG_CSTR("lot", it->lot->id),
		  LOG_INT("item", it->index), LOG_CSTR("entry", p->name));
	METRIC_INC("auburn_item_stops_total");
}

/* ---- messages from entries ---- */

/* Adopts a run that an entry reports. The entry is told to stop an item that is finished or that
 * another connected entry runs already. */
static void adopt_run(hub_t *h, hub_peer_t *p, const link_run_t *r)
{
	link_msg_t stop = {.kind = LINK_ITEM_STOP};
	hub_item_t *it;

	if (r->request) {
		dispatch_request_adopt(h->dispatch, p->id, r->request, wire_str(r->replica),
				       clock_now_ms());
		return;
	}
	it = hub_find_item(h, r->job, r->item);
	if (it && item_output_is_refused(&it->output, p->id))
		return;
	if (it && dispatch_item_is_adoptable(it->dispatch_ref, clock_now_ms())) {
		item_output_adopt(&it->output, p->id);
		dispatch_item_adopt(h->dispatch, it->dispatch_ref, p->id, wire_str(r->replica),
				    clock_now_ms());
		return;
	}
	/* A hello that is sent again lists the runs that this link has already. */
	if (it && it->output.entry == p->id)
		return;
	if (it)
		item_output_refuse(&it->output, p->id);
	stop.link_msg_t_u.stop.job = r->job;
	stop.link_msg_t_u.stop.item = r->item;
	hub_send(p, &stop);
}

static void update_entry(hub_t *h, const hub_peer_t *p)
{
	dispatch_entry_add(h->dispatch, p->id, str_c(p->zone),
			   p->has_config && !p->draining && !p->cut_off);
}

void hub_dispatch_note_config(hub_t *h, hub_peer_t *p, const link_config_id_t *holds)
{
	if (p->has_config || holds->number == 0)
		return;
	p->has_config = true;
	if (h->dispatch && p->registered && p->addr[0])
		update_entry(h, p);
}

void hub_dispatch_hello(hub_t *h, hub_peer_t *p, const link_hello_t *hello)
{
	for (u_int i = 0; i < hello->leaving_replicas.leaving_replicas_len; i++)
		hub_view_note_leaving(h, p, &hello->leaving_replicas.leaving_replicas_val[i]);
	if (!p->addr[0])
		return;
	if (p->knows_kinds)
		hub_items_ask_failures(h, p);
	p->has_config |= hello->text.number != 0;
	update_entry(h, p);
	dispatch_entry_set_cut_off(h->dispatch, p->id, p->cut_off, clock_now_ms());
	for (u_int i = 0; i < hello->runs.runs_len; i++)
		adopt_run(h, p, &hello->runs.runs_val[i]);
}

static void note_loads(hub_t *h, const link_replica_loads_t *m)
{
	deadline_t now = clock_now_ms();

	for (u_int i = 0; i < m->loads.loads_len; i++) {
		const link_replica_load_t *x = &m->loads.loads_val[i];
		dispatch_load_t load = {
			.replica = wire_str(x->replica),
			.start_time = x->start_time,
			.running = x->running,
			.waiting = x->waiting,
			.slots = x->slots,
			.percent = x->percent,
			.at = now - x->age_ms,
		};

		dispatch_replica_loads(h->dispatch, &load, 1, now);
	}
}

static void note_facts(hub_peer_t *p, const link_request_facts_t *m)
{
	dispatch_tokens_t *t = &p->facts.tokens;

	p->facts.request = m->request;
	snprintf(p->facts.customer, sizeof(p->facts.customer), "%.*s",
		 STR_ARG(wire_str(m->customer)));
	*t = (dispatch_tokens_t){
		.in = m->tokens_in, .out = m->tokens_out, .out_max = m->tokens_out_max};
	for (u_int i = 0; i < m->parts.parts_len && i < DISPATCH_PARTS_MAX; i++)
		t->parts[t->nparts++] =
			(dispatch_part_t){m->parts.parts_val[i].part, m->parts.parts_val[i].tokens};
}

void hub_dispatch_request(hub_t *h, hub_peer_t *p, const link_slot_request_t *m,
			  const hub_facts_t *facts)
{
	deadline_t now = clock_now_ms();
	dispatch_request_t a = {
		.entry = p->id,
		.request = m->request,
		.service = wire_str(m->service),
		.priority = m->priority,
		.resumed = m->resumed,
		.returning = m->returning,
		.objective = now + m->objective_ms,
		.deadline = now + m->deadline_ms,
		.give_up_at = now + m->give_up_left_ms,
		.prefix = m->prefix,
	};

	if (facts->request == m->request) {
		a.customer = str_c(facts->customer);
		a.tokens = facts->tokens;
	}
	for (u_int i = 0; i < m->avoid.avoid_len && i < DISPATCH_AVOID_MAX; i++)
		a.avoid[a.navoid++] = wire_str(m->avoid.avoid_val[i]);
	dispatch_request_add(h->dispatch, &a, now);
	if (!p->ack_due) {
		p->ack_due = now;
		LL_PREPEND2(h->unacked, p, next_unacked);
	}
}

/* A slot request may wait here. A ping acknowledges it to the entries that got nothing else since,
 * see LEADER_LINK_ACK_MS. */
static void acknowledge_requests(hub_t *h)
{
	while (h->unacked) {
		hub_peer_t *p = h->unacked;

		hub_dispatch_forget_ack(h, p);
		if (p->last_sent < p->ack_due)
			hub_send(p, &(link_msg_t){.kind = LINK_PING});
		p->ack_due = 0;
	}
}

void hub_dispatch_forget_ack(hub_t *h, hub_peer_t *p)
{
	if (p->ack_due)
		LL_DELETE2(h->unacked, p, next_unacked);
}

static void on_placement_due(void *ctx)
{
	hub_t *h = ctx;

	ev_feed_event(h->loop, &h->placement, EV_CUSTOM);
}

/* The figures start again with each leader, like other counters with a process. */
static void set_prompt_metrics(const hub_t *h)
{
	static _Atomic(metric_t *) m[2];
	uint64_t granted;
	uint64_t held;

	if (!m[0]) {
		m[0] = metric_get(METRIC_COUNTER, "auburn_prompt_tokens_granted_total", NULL);
		m[1] = metric_get(METRIC_COUNTER, "auburn_prompt_tokens_held_total", NULL);
	}
	dispatch_prompt_tokens(h->dispatch, &granted, &held);
	metric_set(m[0], (int64_t)granted);
	metric_set(m[1], (int64_t)held);
}

static void on_placement(struct ev_loop *loop, ev_prepare *w, int events)
{
	hub_t *h = w->data;

	if (h->dispatch)
		dispatch_tick(h->dispatch, clock_now_ms());
	if (h->dispatch)
		set_prompt_metrics(h);
	acknowledge_requests(h);
}

void hub_dispatch_init(hub_t *h)
{
	ev_prepare_init(&h->placement, on_placement);
	/* After the reads of the same loop iteration, before what they send goes out. */
	ev_set_priority(&h->placement, EV_MINPRI + 1);
	h->placement.data = h;
}

static void on_request_ended(hub_t *h, hub_peer_t *p, const link_ended_t *m)
{
	str_t replica = wire_str(m->replica);

	if (m->outcome == LINK_OUTCOME_OK)
		hub_quarantine_alive(h, replica);
	/* The end of a run before this link may come after the hello that lists the next run. */
	if (replica.n > 0 && !dispatch_request_runs_at(h->dispatch, p->id, m->request, replica))
		return;
	dispatch_request_ended(h->dispatch, p->id, m->request, (dispatch_outcome_t)m->outcome,
			       clock_now_ms());
}

void hub_dispatch_message(hub_t *h, hub_peer_t *p, const link_msg_t *m)
{
	switch (m->kind) {
	case LINK_SLOT_REQUEST:
		hub_dispatch_request(h, p, &m->link_msg_t_u.ask, &p->facts);
		break;
	case LINK_CUSTOMER_SLOT_REQUEST:
		if (hub_quota_take(h, p, &m->link_msg_t_u.customer_ask))
			hub_dispatch_request(h, p, &m->link_msg_t_u.customer_ask.ask, &p->facts);
		break;
	case LINK_REQUEST_FACTS:
		note_facts(p, &m->link_msg_t_u.facts);
		break;
	case LINK_REPLICA_LOADS:
		note_loads(h, &m->link_msg_t_u.replica_loads);
		break;
	case LINK_QUOTA_RETURN:
		quota_return(h->quota, wire_str(m->link_msg_t_u.customer), 1);
		break;
	case LINK_COUNTS_QUOTAS:
		hub_quota_add_peer(h, p);
		break;
	case LINK_WITHDRAW:
		dispatch_request_withdraw(h->dispatch, p->id, m->link_msg_t_u.request);
		break;
	case LINK_ENDED:
		on_request_ended(h, p, &m->link_msg_t_u.ended);
		break;
	case LINK_FLEET_ENTRIES:
		hub_quarantine_add_peer(h, p);
		break;
	case LINK_PROMPT_PARTS:
		hub_quarantine_adopt(h, &m->link_msg_t_u.prompt_parts);
		break;
	case LINK_CRASH:
		hub_quarantine_crash(h, p, &m->link_msg_t_u.crash, NULL, 0);
		break;
	case LINK_SOUND_PART:
		hub_quarantine_sound(h, &m->link_msg_t_u.sound);
		break;
	case LINK_POISONS:
		hub_poison_add_peer(h, p, &m->link_msg_t_u.poisons);
		break;
	case LINK_REQUEST_CRASH:
		hub_poison_crash(h, p, &m->link_msg_t_u.request_crash);
		break;
	case LINK_REQUEST_SOUND:
		hub_poison_sound(h, &m->link_msg_t_u.request_sound);
		break;
	case LINK_LEAVING:
		hub_view_note_leaving(h, p, &m->link_msg_t_u.leaving_replica);
		break;
	case LINK_ITEM_FAILURES:
		hub_items_add_failures(h, p, &m->link_msg_t_u.item_failures);
		break;
	case LINK_ITEM_PROGRESS:
		hub_items_progressed(h, p, &m->link_msg_t_u.progress);
		break;
	case LINK_ITEM_ENDED:
		hub_items_ended(h, p, &m->link_msg_t_u.item_ended);
		break;
	default:
		break;
	}
}

void hub_dispatch_set_services(hub_t *h)
{
	for (size_t i = 0; h->routes && i < h->routes->nservices; i++) {
		const route_service_t *s = &h->routes->services[i];
		dispatch_service_options_t opts = {.memory_tokens = s->memory_tokens};

		dispatch_set_service(h->dispatch, str_c(s->name), &opts);
	}
}

static void on_contradicted(void *ctx, str_t replica)
{
	METRIC_INC("auburn_speeds_contradicted_total");
	log_event(LOG_LEVEL_INFO, "speed_contradicted", LOG_STR("replica", replica));
}

void hub_dispatch_speeds_tick(hub_t *h, deadline_t now)
{
	int64_t fastest;
	int64_t slowest;

	if (now < h->next_speeds)
		return;
	h->next_speeds = now + SPEEDS_PERIOD_MS;
	dispatch_speed_range(h->dispatch, &fastest, &slowest, now);
	metric_set(metric_get(METRIC_GAUGE, "auburn_speed_fastest", NULL), fastest);
	metric_set(metric_get(METRIC_GAUGE, "auburn_speed_slowest", NULL), slowest);
}

void hub_dispatch_start_leading(hub_t *h)
{
	dispatch_callbacks_t cb = {h, on_grant, on_refuse, on_start_item, on_stop_item};

	h->dispatch = dispatch_new(&cb, (uint64_t)clock_now_us());
	dispatch_defer(h->dispatch, on_placement_due);
	dispatch_set_weighing(h->dispatch,
			      &(dispatch_weighing_t){h->control->settings.weigh_speed,
						     h->control->settings.weigh_prompts});
	dispatch_on_contradicted(h->dispatch, on_contradicted);
	hub_dispatch_set_services(h);
	hub_items_start_leading(h);
}

void hub_dispatch_stop_leading(hub_t *h)
{
	hub_items_stop_leading(h);
	dispatch_free(h->dispatch);
	h->dispatch = NULL;
}
