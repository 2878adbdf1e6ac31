/* Prompt parts that crash replicas: gathers what entries report of broken connections and of
 * answers that begin, tells the entries which parts are blocked, and holds the items with such
 * parts. */
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "base/metric.h"
#include "control/hub.h"

/** Period in which changes of the list are gathered, in ms. */
#define SEND_MS 50
/** Suspected parts are listed from this number of crashes. */
#define LISTED_CRASHES_MIN 2
/** Period in which an item for a probe is searched again, in ms: the search reads all items. */
#define PROBE_SEARCH_MS 500
/** Maximum number of parts that are listed. */
#define LISTED_MAX 256

static void on_event(void *ctx, quarantine_event_t what, const quarantine_part_t *p)
{
	hub_t *h = ctx;
	deadline_t now = clock_now_ms();
	char part[QUARANTINE_NAME_BYTES];

	log_event(LOG_LEVEL_INFO, quarantine_event_name(what),
		  LOG_CSTR("part", quarantine_part_name(p->part, part)),
		  LOG_INT("crashes", p->crashes), LOG_INT("level", p->level),
		  LOG_INT("since_ms", p->since ? now - p->since : -1),
		  LOG_INT("left_ms", p->until ? p->until - now : 0));
	if (what == QUARANTINE_BLOCKED)
		METRIC_INC("auburn_prompt_parts_blocked_total");
	h->holds_stale |= what != QUARANTINE_TAKEN_BACK;
}

void hub_quarantine_start_leading(hub_t *h)
{
	h->quarantine = quarantine_new(&(quarantine_callbacks_t){h, on_event});
	h->sent_quarantine = 0;
	h->holds_stale = false;
	h->ndoubts = 0;
}

void hub_quarantine_stop_leading(hub_t *h)
{
	quarantine_free(h->quarantine);
	h->quarantine = NULL;
}

/* Blocked parts first: these are never left out for suspected ones. */
static u_int fill_list(hub_t *h, link_prompt_part_t out[LISTED_MAX])
{
	static quarantine_part_t parts[QUARANTINE_MAX];
	size_t n = quarantine_list(h->quarantine, parts, QUARANTINE_MAX);
	deadline_t now = clock_now_ms();
	u_int nout = 0;

	for (int blocked = 1; blocked >= 0; blocked--) {
		for (size_t i = 0; i < n && nout < LISTED_MAX; i++) {
			const quarantine_part_t *p = &parts[i];

			if (p->blocked != (blocked == 1) ||
			    (!blocked && p->crashes < LISTED_CRASHES_MIN && p->level == 0))
				continue;
			out[nout++] = (link_prompt_part_t){
				.part = p->part,
				.blocked = p->blocked,
				.crashes = p->crashes,
				.level = p->level,
				.since_ms = p->since ? (int)(now - p->since) : 0,
				.left_ms = p->blocked ? (int)(p->until - now) : 0,
				.group = p->group,
				.group_size = p->group_size,
			};
		}
	}
	return nout;
}

/* Sends the list to one peer, or to all that know it if p is NULL. */
static void send_list(hub_t *h, hub_peer_t *p)
{
	static link_prompt_part_t out[LISTED_MAX];
	link_msg_t m = {.kind = LINK_PROMPT_PARTS};

	m.link_msg_t_u.prompt_parts.parts.parts_len = fill_list(h, out);
	m.link_msg_t_u.prompt_parts.parts.parts_val = out;
	if (p) {
		hub_send(p, &m);
		return;
	}
	for (p = h->peers; p; p = p->hh.next) {
		if (p->knows_prompt_parts)
			hub_send(p, &m);
	}
}

void hub_quarantine_add_peer(hub_t *h, hub_peer_t *p)
{
	p->knows_prompt_parts = true;
	send_list(h, p);
}

void hub_quarantine_adopt(hub_t *h, const link_prompt_parts_t *m)
{
	deadline_t now = clock_now_ms();

	for (u_int i = 0; i < m->parts.parts_len && i < QUARANTINE_MAX; i++) {
		const link_prompt_part_t *x = &m->parts.parts_val[i];

		if (x->blocked)
			quarantine_adopt(h->quarantine,
					 &(quarantine_part_t){
						 .part = x->part,
						 .blocked = true,
						 .level = x->level,
						 .since = now - x->since_ms,
						 .until = now + x->left_ms,
						 .group = x->group,
						 .group_size = x->group_size,
					 },
					 now);
	}
}

/* The items with a part that has come into doubt are held at once: those that crashed with their
 * replicas are queued again right after. */
static void update_doubts(hub_t *h, deadline_t now)
{
	static quarantine_doubt_t doubts[QUARANTINE_MAX];
	size_t n = quarantine_list_doubted(h->quarantine, now, doubts, QUARANTINE_MAX);
	bool same = n == h->ndoubts;

	for (size_t i = 0; i < n && same; i++)
		same = doubts[i].part == h->doubts[i].part;
	memcpy(h->doubts, doubts, n * sizeof(*doubts));
	h->ndoubts = n;
	if (same)
		return;
	h->next_probe_search = 0;
	hub_items_reroute(h);
}

void hub_quarantine_crash(hub_t *h, const hub_peer_t *p, const link_crash_t *m,
			  const uint64_t *content, deadline_t began)
{
	char names[PROMPT_PARTS_MAX * QUARANTINE_NAME_BYTES];
	prompt_parts_t parts = {.n = 0};
	deadline_t now = clock_now_ms();

	for (u_int i = 0; i < m->parts.parts_len && i < PROMPT_PARTS_MAX; i++)
		parts.v[parts.n++] = m->parts.parts_val[i];
	log_event(LOG_LEVEL_INFO, "prompt_crash", LOG_CSTR("entry", p->name),
		  LOG_STR("request", wire_str(m->request)),
		  LOG_STR("replica", wire_str(m->replica)), LOG_INT("born", m->start_time),
		  LOG_CSTR("parts", quarantine_part_names(&parts, names)));
	METRIC_INC("auburn_prompt_crashes_total");
	quarantine_crash(h->quarantine,
			 &(quarantine_crash_t){
				 {wire_str(m->replica), m->start_time},
				 content ? *content : str_hash(wire_str(m->request)),
				 content != NULL,
				 began,
				 &parts,
			 },
			 now);
	update_doubts(h, now);
}

void hub_quarantine_sound(hub_t *h, const link_sound_part_t *m)
{
	if (m->age_ms >= 0)
		quarantine_sound(h->quarantine, m->part, clock_now_ms() - m->age_ms);
}

void hub_quarantine_alive(hub_t *h, str_t replica)
{
	const link_upstream_t *u = hub_find_replica(h, replica);
	replica_ref_t r = {replica, u ? u->start_time : 0};

	if (!u)
		return;
	quarantine_alive(h->quarantine, r, clock_now_ms());
	poison_alive(h->poison, r, clock_now_ms());
}

static prompt_parts_t parts_of(const hub_item_t *it)
{
	prompt_parts_t parts = {.n = it->nparts};

	for (unsigned i = 0; i < it->nparts; i++)
		parts.v[i] = it->parts[i];
	return parts;
}

bool hub_quarantine_holds(const hub_t *h, const hub_item_t *it)
{
	quarantine_part_t by;
	prompt_parts_t parts = parts_of(it);
	deadline_t now = clock_now_ms();

	return !it->probes && (quarantine_blocks(h->quarantine, &parts, now, &by) ||
			       quarantine_doubts(h->quarantine, &parts, now));
}

static bool has_part(const hub_item_t *it, uint64_t part)
{
	for (unsigned i = 0; i < it->nparts; i++) {
		if (it->parts[i] == part)
			return true;
	}
	return false;
}

/* The held item with this part that is to run next, the one that was tried longest ago; NULL if
 * there is none or one runs already. */
static hub_item_t *pick_prober(hub_t *h, uint64_t part, deadline_t now)
{
	hub_item_t *best = NULL;

	for (hub_lot_t *lot = h->lots; lot; lot = lot->hh.next) {
		for (uint32_t i = 0; i < lot->nitems; i++) {
			hub_item_t *it = &lot->items[i];
			prompt_parts_t parts = parts_of(it);

			if (!it->dispatch_ref || !has_part(it, part))
				continue;
			if (it->probes)
				return NULL;
			if (it->held && dispatch_item_is_waiting(it->dispatch_ref) &&
			    (!best || it->probed_at < best->probed_at) &&
			    !quarantine_forbids(h->quarantine, &parts, now))
				best = it;
		}
	}
	return best;
}

static void start_probes(hub_t *h, deadline_t now)
{
	char part[QUARANTINE_NAME_BYTES];

	if (now < h->next_probe_search)
		return;
	for (size_t i = 0; i < h->ndoubts; i++) {
		const quarantine_doubt_t *d = &h->doubts[i];
		hub_item_t *it = d->probe_at <= now ? pick_prober(h, d->part, now) : NULL;

		if (!it) {
			if (d->probe_at <= now)
				h->next_probe_search = now + PROBE_SEARCH_MS;
			continue;
		}
		it->probes = true;
		it->probed_at = now;
		for (size_t j = 0; j < h->ndoubts; j++) {
			if (has_part(it, h->doubts[j].part))
				quarantine_probe(h->quarantine, h->doubts[j].part, now);
		}
		log_event(LOG_LEVEL_INFO, "prompt_part_probed",
			  LOG_CSTR("part", quarantine_part_name(d->part, part)),
			  LOG_CSTR("lot", it->lot->id), LOG_INT("item", it->index));
		METRIC_INC("auburn_prompt_parts_probed_total");
		hub_items_reroute_one(h, it);
	}
}

void hub_quarantine_item_ended(hub_t *h, hub_item_t *it)
{
	if (!it->probes)
		return;
	it->probes = false;
	h->next_probe_search = 0;
	hub_items_reroute_one(h, it);
}

void hub_quarantine_tick(hub_t *h, deadline_t now)
{
	quarantine_tick(h->quarantine, now);
	update_doubts(h, now);
	if (h->holds_stale) {
		h->holds_stale = false;
		hub_items_reroute(h);
	}
	start_probes(h, now);
	if (now < h->next_quarantine_send ||
	    h->sent_quarantine == quarantine_version(h->quarantine))
		return;
	h->next_quarantine_send = now + SEND_MS;
	h->sent_quarantine = quarantine_version(h->quarantine);
	send_list(h, NULL);
}
