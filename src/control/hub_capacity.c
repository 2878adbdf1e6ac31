/* Capacities of the entries: as each reports its own, passed on to all processes that answer
 * look-ups. A new leader starts with those that the previous leader sent. */
#include <stdlib.h>
#include "base/log.h"
#include "client/directory.h"
#include "control/hub.h"

/** Time within which a new entry reports its capacity, in ms: several round trips. Entries of older
 * builds do not report any. */
#define REPORT_MS 100

void hub_capacity_note(hub_t *h, hub_peer_t *p, const link_entry_capacities_t *m)
{
	unsigned capacity;

	if (h->role != HUB_LEADER || !p->registered || !p->addr[0] || m->entries.entries_len != 1)
		return;
	capacity = m->entries.entries_val[0].capacity;
	if (p->reported_capacity && p->capacity == capacity)
		return;
	p->reported_capacity = true;
	p->capacity = capacity;
	h->view_changed = true;
	log_event(LOG_LEVEL_INFO, "entry_capacity", LOG_CSTR("entry", p->name),
		  LOG_INT("capacity", capacity));
}

void hub_capacity_await(hub_peer_t *p, deadline_t now)
{
	if (p->addr[0])
		p->capacity_due = now + REPORT_MS;
}

bool hub_capacity_is_awaited(const hub_t *h, deadline_t now)
{
	if (h->capacities.entries.entries_len == 0)
		return false;
	for (const hub_peer_t *p = h->peers; p; p = p->hh.next) {
		if (p->registered && !p->reported_capacity && now < p->capacity_due)
			return true;
	}
	return false;
}

void hub_capacity_rebuild(hub_t *h, const hub_peer_t *const *peers, u_int n)
{
	link_entry_capacity_t *v = mem_new((n + 1) * sizeof(*v));
	link_entry_capacities_t list = {{0, v}};
	u_int hint = 0;

	for (u_int i = 0; i < n; i++) {
		unsigned capacity = peers[i]->capacity;

		/* Has linked to this leader just now: as the previous leader knew it. */
		if (!peers[i]->reported_capacity)
			capacity = directory_capacity(&h->capacities, str_c(peers[i]->addr), &hint);
		if (capacity)
			v[list.entries.entries_len++] = (link_entry_capacity_t){
				wire_bytes(str_c(peers[i]->addr)), capacity};
	}
	directory_set_capacities(&h->capacities, &list);
	free(v);
}

void hub_capacity_send(hub_t *h, hub_peer_t *p, const link_entry_t *entries, u_int n)
{
	link_entry_capacity_t *v = mem_new((n + 1) * sizeof(*v));
	link_msg_t m = {.kind = LINK_ENTRY_CAPACITIES};
	link_entry_capacities_t *list = &m.link_msg_t_u.capacities;
	uint64_t digest = 0;
	u_int hint = 0;

	list->entries.entries_val = v;
	for (u_int i = 0; i < n; i++) {
		str_t addr = wire_str(entries[i].addr);
		unsigned capacity = directory_capacity(&h->capacities, addr, &hint);

		if (!capacity)
			continue;
		v[list->entries.entries_len++] = (link_entry_capacity_t){entries[i].addr, capacity};
		digest = (digest ^ str_hash(addr) ^ capacity) * 0x9e3779b97f4a7c15ULL;
	}
	/* An entry that has reported its own knows the message. */
	if (digest != p->sent_capacities && (p->knows_kinds || p->reported_capacity)) {
		hub_send(p, &m);
		p->sent_capacities = digest;
	}
	free(v);
}
