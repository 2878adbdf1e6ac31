/* Counts online requests against the quotas of customers, before the dispatcher gets them. */
#include <stdlib.h>
#include <utlist.h>
#include "base/log.h"
#include "base/metric.h"
#include "control/hub.h"

/** A request whose first event is already late waits at most this long, in ms, until it fits into
 * the quota; one that is in time waits no longer than its objective allows. */
#define LATE_WAIT_MS 500
/** Part of the objective, in ms, that is left for the way to the replica and the first event. */
#define FIRST_EVENT_MS 100

/** While requests of a customer are refused or its quota is low, the entries are told once in this
 * period, in ms, so that none starts with a full share of the quota when it loses the leader. What
 * a customer gets in this time has to fit into the tolerance. */
#define NOTICE_MS 300

/* Hands a request to the dispatcher later, when it fits into the quota. The ping acknowledges it,
 * see leader_search_ack_ms. */
static void delay_request(hub_t *h, hub_peer_t *p, const link_slot_request_t *m, deadline_t at)
{
	hub_delayed_t *d = mem_new(sizeof(*d));

	d->peer = p->id;
	d->since = clock_now_ms();
	d->at = at;
	d->facts = p->facts;
	wire_dup(XDR_PROC(link_slot_request_t), m, &d->ask, sizeof(d->ask));
	DL_APPEND(h->delayed, d);
	hub_send(p, &(link_msg_t){.kind = LINK_PING});
}

static void free_delayed(hub_t *h, hub_delayed_t *d)
{
	DL_DELETE(h->delayed, d);
	wire_free(XDR_PROC(link_slot_request_t), &d->ask);
	free(d);
}

void hub_quota_start_leading(hub_t *h)
{
	const control_settings_t *s = &h->control->settings;
	quota_tolerance_t t = {s->quota_window_s * 1000, (int64_t)(s->quota_over * 100),
			       s->quota_slack};

	h->quota = quota_new_leader(&t);
}

void hub_quota_stop_leading(hub_t *h)
{
	while (h->delayed)
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): unlinked before free() */
		free_delayed(h, h->delayed);
	quota_free(h->quota);
	h->quota = NULL;
}

void hub_quota_add_peer(hub_t *h, hub_peer_t *p)
{
	link_msg_t m = {.kind = LINK_FLEET_ENTRIES};

	p->counts_quotas = true;
	p->sent_fleet_entries = h->fleet_entries;
	m.link_msg_t_u.entries = p->sent_fleet_entries;
	hub_send(p, &m);
}

/* Tells the entries how many they are, if that has changed. */
static void send_fleet_entries(hub_t *h)
{
	for (hub_peer_t *p = h->peers; p; p = p->hh.next) {
		if (p->counts_quotas && p->sent_fleet_entries != h->fleet_entries)
			hub_quota_add_peer(h, p);
	}
}

/* Tells the entries once in a period to empty their shares of the customer's quota. refused: an
 * entry that knows it already, or NULL. */
static void tell_entries(hub_t *h, wire_bytes_t customer, const hub_peer_t *refused, deadline_t now)
{
	link_msg_t m = {.kind = LINK_OVER_QUOTA};

	if (!quota_notice_due(h->quota, wire_str(customer), now, NOTICE_MS))
		return;
	m.link_msg_t_u.over_quota.customer = customer;
	for (hub_peer_t *p = h->peers; p; p = p->hh.next) {
		if (p->counts_quotas && p != refused)
			hub_send(p, &m);
	}
}

static int64_t longest_wait_ms(const link_slot_request_t *m)
{
	if (m->returning || m->resumed || m->objective_ms < 0)
		return LATE_WAIT_MS;
	return m->objective_ms > FIRST_EVENT_MS ? m->objective_ms - FIRST_EVENT_MS : 0;
}

/* The entry may have withdrawn a request meanwhile; it releases a slot that it no longer needs. */
static void submit_delayed(hub_t *h, deadline_t now)
{
	hub_delayed_t *d;
	hub_delayed_t *next;

	DL_FOREACH_SAFE(h->delayed, d, next)
	{
		hub_peer_t *p = hub_find_peer(h, d->peer);
		int waited_ms = (int)(now - d->since);

		if (now < d->at)
			continue;
		d->ask.objective_ms -= waited_ms;
		d->ask.deadline_ms -= waited_ms;
		d->ask.give_up_left_ms -= waited_ms;
		if (p)
			hub_dispatch_request(h, p, &d->ask, &d->facts);
		free_delayed(h, d);
	}
}

bool hub_quota_take(hub_t *h, hub_peer_t *p, const link_customer_slot_request_t *m)
{
	str_t name = wire_str(m->customer);
	const customer_t *c = NULL;
	link_msg_t over = {.kind = LINK_OVER_QUOTA};
	deadline_t now = clock_now_ms();
	quota_customer_t limit;
	int64_t wait_ms;

	if (h->routes && h->routes->customers)
		c = customers_by_name(h->routes->customers, name);
	if (!c)
		return true;
	limit = (quota_customer_t){name, c->rate_per_s, c->burst};
	if (quota_take(h->quota, &limit, 1, longest_wait_ms(&m->ask), now, &wait_ms)) {
		if (quota_is_low(h->quota, &limit))
			tell_entries(h, m->customer, NULL, now);
		if (wait_ms > 0)
			delay_request(h, p, &m->ask, now + wait_ms);
		return wait_ms == 0;
	}
	over.link_msg_t_u.over_quota = (link_over_quota_t){
		.request = m->ask.request,
		.customer = m->customer,
		.retry_ms = wait_ms < INT32_MAX ? (int)wait_ms : INT32_MAX,
	};
	hub_send(p, &over);
	log_event(LOG_LEVEL_INFO, "over_quota", LOG_CSTR("entry", p->name),
		  LOG_INT("number", m->ask.request), LOG_STR("customer", name),
		  LOG_INT("rate_per_s", c->rate_per_s), LOG_INT("burst", c->burst),
		  LOG_INT("retry_ms", wait_ms), LOG_INT("text", h->routes->version));
	METRIC_INC("auburn_over_quota_total");
	tell_entries(h, m->customer, p, now);
	return false;
}

void hub_quota_tick(hub_t *h, deadline_t now)
{
	send_fleet_entries(h);
	submit_delayed(h, now);
}
