/* The view: replicas from the upstream list, entries and control processes from the links. While
 * this process leads, it makes the view and sends it to the linked processes. */
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "base/metric.h"
#include "control/hub.h"

/** A new leader's view retains the entries of the previous leader's view until as many processes
 * have linked, but no longer than this, in ms. */
#define INHERITED_ENTRIES_MS 2000
/** Minimum time between two sends of the view, in ms for each linked process: the view then costs
 * the leader less than a tenth of a core. */
#define VIEW_PERIOD_PER_PEER_MS 1
/** A leaving replica is forgotten once it has not been listed for this long, in ms. */
#define LEAVING_UNLISTED_MS 60000

static bool same_upstream(const link_upstream_t *a, const link_upstream_t *b)
{
	return str_eq(wire_str(a->id), wire_str(b->id)) &&
	       str_eq(wire_str(a->addr), wire_str(b->addr)) &&
	       str_eq(wire_str(a->service), wire_str(b->service)) && a->slots == b->slots &&
	       a->leaving == b->leaving && a->start_time == b->start_time;
}

/* Looks at the hinted index first, as replicas mostly keep their position from list to list. */
static const link_upstream_t *find_upstream(const link_view_t *v, str_t id, u_int hint)
{
	if (hint < v->upstreams.upstreams_len &&
	    str_eq(wire_str(v->upstreams.upstreams_val[hint].id), id))
		return &v->upstreams.upstreams_val[hint];
	for (u_int i = 0; i < v->upstreams.upstreams_len; i++) {
		if (str_eq(wire_str(v->upstreams.upstreams_val[i].id), id))
			return &v->upstreams.upstreams_val[i];
	}
	return NULL;
}

const link_upstream_t *hub_find_replica(const hub_t *h, str_t id)
{
	return find_upstream(&h->view, id, 0);
}

/* Logs the differences between two lists of replicas; returns true if there are any. */
static bool log_list_changes(const link_view_t *was, const link_view_t *now)
{
	bool changed = was->upstreams.upstreams_len != now->upstreams.upstreams_len;

	for (u_int i = 0; i < now->upstreams.upstreams_len; i++) {
		const link_upstream_t *u = &now->upstreams.upstreams_val[i];
		const link_upstream_t *old = find_upstream(was, wire_str(u->id), i);

		if (old && same_upstream(old, u))
			continue;
		changed = true;
		log_event(LOG_LEVEL_INFO, "replica_listed", LOG_STR("replica", wire_str(u->id)),
			  LOG_STR("addr", wire_str(u->addr)), LOG_INT("slots", u->slots),
			  LOG_INT("leaving", u->leaving), LOG_INT("born", u->start_time));
	}
	for (u_int i = 0; i < was->upstreams.upstreams_len; i++) {
		const link_upstream_t *u = &was->upstreams.upstreams_val[i];

		if (find_upstream(now, wire_str(u->id), i))
			continue;
		changed = true;
		log_event(LOG_LEVEL_INFO, "replica_unlisted", LOG_STR("replica", wire_str(u->id)));
	}
	return changed;
}

/* Passes the replicas of the view to the dispatcher. whole: they are a whole list. */
static void update_dispatcher(hub_t *h, bool whole)
{
	u_int n = h->view.upstreams.upstreams_len;
	dispatch_replica_t *v = mem_new((n + 1) * sizeof(*v));

	for (u_int i = 0; i < n; i++) {
		const link_upstream_t *u = &h->view.upstreams.upstreams_val[i];

		v[i] = (dispatch_replica_t){wire_str(u->id),	  wire_str(u->zone),
					    wire_str(u->service), u->slots,
					    u->leaving,		  u->start_time};
	}
	if (whole)
		dispatch_set_replicas(h->dispatch, v, n, clock_now_ms());
	else
		dispatch_set_first_replicas(h->dispatch, v, n, clock_now_ms());
	free(v);
}

/* Marks the replicas that have announced to an entry that they leave. Their own announcement
 * overrides the upstream list, which lags. */
static void mark_leaving(hub_t *h, link_view_t *v)
{
	for (u_int i = 0; i < v->upstreams.upstreams_len; i++) {
		link_upstream_t *u = &v->upstreams.upstreams_val[i];

		if (leaving_contains(h->leaving_replicas,
				     (replica_ref_t){wire_str(u->id), u->start_time},
				     clock_now_ms()))
			u->leaving = true;
	}
}

/* False if it was known, or the replica has restarted since its announcement. */
static bool note_leaving(hub_t *h, const link_leaving_t *m, const char *told_by)
{
	str_t id = wire_str(m->replica);
	const link_upstream_t *u = hub_find_replica(h, id);

	if ((u && m->start_time && u->start_time > m->start_time) ||
	    !leaving_add(h->leaving_replicas, (replica_ref_t){id, m->start_time}, clock_now_ms()))
		return false;
	log_event(LOG_LEVEL_INFO, "replica_leaves", LOG_STR("replica", id),
		  LOG_INT("born", m->start_time), LOG_CSTR("told_by", told_by));
	return true;
}

void hub_view_adopt_leaving(hub_t *h, const link_leaving_t *m)
{
	note_leaving(h, m, "leader");
}

void hub_view_note_leaving(hub_t *h, const hub_peer_t *p, const link_leaving_t *m)
{
	link_msg_t told = {.kind = LINK_LEAVING};

	if (!note_leaving(h, m, p->name))
		return;
	mark_leaving(h, &h->view);
	h->view_changed = true;
	dispatch_replica_leaving(h->dispatch, wire_str(m->replica));
	told.link_msg_t_u.leaving_replica = *m;
	for (hub_peer_t *to = h->peers; to; to = to->hh.next) {
		if (to->registered && to != p)
			hub_send(to, &told);
	}
}

void hub_view_start_leading(hub_t *h)
{
	mark_leaving(h, &h->view);
	update_dispatcher(h, true);
	h->fleet_entries = h->view.entries.entries_len;
	h->next_list_read = 0;
	h->view_changed = true;
}

/* Handles a newly read upstream list. */
static void on_list(void *ctx, link_view_t *v)
{
	hub_t *h = ctx;

	if (h->role != HUB_LEADER)
		return;
	h->last_list_read = clock_now_ms();
	mark_leaving(h, v);
	leaving_forget(h->leaving_replicas, h->last_list_read - LEAVING_UNLISTED_MS);
	if (log_list_changes(&h->view, v)) {
		link_view_t old = {.upstreams = h->view.upstreams};

		h->view.upstreams = v->upstreams;
		v->upstreams = old.upstreams;
		h->rings_stale = true;
		h->view_changed = true;
	}
	update_dispatcher(h, true);
}

/* A leader that has no list, as after a restart of the whole fleet, uses the replicas of the first
 * pages: a list of thousands takes a second to read. */
static void on_first_pages(void *ctx, const link_view_t *v)
{
	hub_t *h = ctx;
	link_view_t copy;

	if (h->role != HUB_LEADER || h->last_list_read)
		return;
	wire_dup(XDR_PROC(link_view_t), v, &copy, sizeof(copy));
	mark_leaving(h, &copy);
	wire_free(XDR_PROC(link_view_t), &(link_view_t){.upstreams = h->view.upstreams});
	h->view.upstreams = copy.upstreams;
	h->rings_stale = true;
	update_dispatcher(h, false);
	log_event(LOG_LEVEL_INFO, "list_begun",
		  LOG_INT("replicas", h->view.upstreams.upstreams_len));
}

/* Number of linked entries that are not draining; those that are cut off from the replicas count
 * in *cut_off too. */
static u_int count_entries(const hub_t *h, u_int *cut_off)
{
	u_int n = 0;

	*cut_off = 0;
	for (const hub_peer_t *p = h->peers; p; p = p->hh.next) {
		if (!p->registered || !p->addr[0] || p->draining)
			continue;
		n++;
		*cut_off += p->cut_off;
	}
	return n;
}

void hub_view_note_reach(hub_t *h, hub_peer_t *p, bool cut_off)
{
	u_int n;
	u_int all_cut_off;

	if (p->cut_off == cut_off)
		return;
	p->cut_off = cut_off;
	n = count_entries(h, &all_cut_off);
	log_event(cut_off ? LOG_LEVEL_WARN : LOG_LEVEL_INFO,
		  cut_off ? "entry_cut_off" : "entry_reaches", LOG_CSTR("entry", p->name),
		  LOG_INT("cut_off", all_cut_off), LOG_INT("entries", n));
	metric_set(metric_get(METRIC_GAUGE, "auburn_entries_cut_off", NULL), all_cut_off);
}

/* Sets the entries and control processes of the view: the registered peers without draining
 * entries, and this process. Entries that are cut off from the replicas are left out as long as
 * some are not. */
static void rebuild_members(hub_t *h)
{
	size_t n = HASH_COUNT(h->peers);
	link_entry_t *v = mem_new((n + 1) * sizeof(*v));
	wire_bytes_t *c = mem_new((n + 2) * sizeof(*c));
	const hub_peer_t **from = mem_new((n + 1) * sizeof(hub_peer_t *));
	u_int entries = 0;
	u_int controls = 0;
	u_int cut_off;
	bool all_cut_off;

	h->fleet_entries = count_entries(h, &cut_off);
	all_cut_off = cut_off == h->fleet_entries;
	c[controls++] = wire_copy(str_c(h->control->settings.listen));
	for (hub_peer_t *p = h->peers; p; p = p->hh.next) {
		if (p->registered && p->rpc_addr[0])
			c[controls++] = wire_copy(str_c(p->rpc_addr));
		if (!p->registered || !p->addr[0] || p->draining || (p->cut_off && !all_cut_off))
			continue;
		from[entries] = p;
		v[entries++] = (link_entry_t){wire_copy(str_c(p->addr)), wire_copy(str_c(p->zone))};
	}
	for (u_int i = 0; i < h->view.entries.entries_len; i++)
		wire_free(XDR_PROC(link_entry_t), &h->view.entries.entries_val[i]);
	for (u_int i = 0; i < h->view.controls.controls_len; i++)
		wire_free(XDR_PROC(wire_bytes_t), &h->view.controls.controls_val[i]);
	free(h->view.entries.entries_val);
	free(h->view.controls.controls_val);
	h->view.entries.entries_val = v;
	h->view.entries.entries_len = entries;
	h->view.controls.controls_val = c;
	h->view.controls.controls_len = controls;
	h->rings_stale = true;
	hub_capacity_rebuild(h, from, entries);
	free(from);
}

int64_t hub_list_age_ms(const hub_t *h)
{
	return h->last_list_read ? clock_now_ms() - h->last_list_read : -1;
}

static uint64_t hash_mix(uint64_t h, uint64_t x)
{
	return (h ^ x) * 0x9e3779b97f4a7c15ULL;
}

static uint64_t upstream_digest(const link_upstream_t *u)
{
	uint64_t h = hash_mix(str_hash(wire_str(u->id)), str_hash(wire_str(u->addr)));

	return hash_mix(hash_mix(h, str_hash(wire_str(u->service))),
			u->start_time * 2 + u->leaving);
}

static void build_rings(hub_t *h)
{
	const link_view_t *v = &h->view;

	h->upstream_ring =
		mem_grow(h->upstream_ring, (v->upstreams.upstreams_len + 1) * sizeof(ring_point_t));
	h->entry_ring =
		mem_grow(h->entry_ring, (v->entries.entries_len + 1) * sizeof(ring_point_t));
	for (u_int i = 0; i < v->upstreams.upstreams_len; i++)
		h->upstream_ring[i] =
			(ring_point_t){str_hash(wire_str(v->upstreams.upstreams_val[i].id)), i};
	for (u_int i = 0; i < v->entries.entries_len; i++)
		h->entry_ring[i] =
			(ring_point_t){str_hash(wire_str(v->entries.entries_val[i].addr)), i};
	ring_sort(h->upstream_ring, v->upstreams.upstreams_len);
	ring_sort(h->entry_ring, v->entries.entries_len);
	h->rings_stale = false;
}

/* Selects an entry's share of the replicas. self: hash of the entry's address. Returns a digest of
 * the share, without slots and zones; never 0. */
static uint64_t select_upstreams(const hub_t *h, uint64_t self, link_upstream_t *out, u_int *n)
{
	size_t at[HUB_SHARE_MAX];
	uint64_t digest = 1;

	*n = (u_int)ring_successors(h->upstream_ring, h->view.upstreams.upstreams_len, self, at,
				    HUB_SHARE_MAX);
	for (u_int k = 0; k < *n; k++) {
		out[k] = h->view.upstreams.upstreams_val[at[k]];
		digest = hash_mix(digest, upstream_digest(&out[k]));
	}
	return digest | 1;
}

/* Like select_upstreams, for the list of entries. */
static uint64_t select_entries(const hub_t *h, uint64_t self, link_entry_t *out, u_int *n)
{
	size_t at[HUB_SHARE_MAX];
	uint64_t digest = 1;

	*n = (u_int)ring_successors(h->entry_ring, h->view.entries.entries_len, self, at,
				    HUB_SHARE_MAX);
	for (u_int k = 0; k < *n; k++) {
		out[k] = h->view.entries.entries_val[at[k]];
		digest = hash_mix(digest, str_hash(wire_str(out[k].addr)));
	}
	return digest | 1;
}

static uint64_t controls_digest(const hub_t *h)
{
	uint64_t digest = 1;

	for (u_int i = 0; i < h->view.controls.controls_len; i++)
		digest = hash_mix(digest, str_hash(wire_str(h->view.controls.controls_val[i])));
	return digest | 1;
}

/*
 * Sends an entry its share of the view, without the lists whose digest has not changed since the
 * last time. A share is enough: a grant contains the replica's address, so an entry needs the list
 * of replicas only while it has no leader, and a caller is given no more than HUB_SHARE_MAX
 * entries. With hundreds of entries and thousands of replicas, sending whole or unchanged lists
 * would be most of the leader's traffic.
 */
static void send_share(hub_t *h, hub_peer_t *p)
{
	link_msg_t m = {.kind = LINK_VIEW};
	link_view_t *v = &m.link_msg_t_u.view;
	link_upstream_t upstreams[HUB_SHARE_MAX];
	link_entry_t entries[HUB_SHARE_MAX];
	uint64_t self = str_hash(str_c(p->addr));
	uint64_t upstreams_digest;
	uint64_t entries_digest;
	uint64_t controls = controls_digest(h);

	if (h->rings_stale)
		build_rings(h);
	v->upstreams.upstreams_val = upstreams;
	v->entries.entries_val = entries;
	upstreams_digest = select_upstreams(h, self, upstreams, &v->upstreams.upstreams_len);
	entries_digest = select_entries(h, self, entries, &v->entries.entries_len);
	hub_capacity_send(h, p, entries, v->entries.entries_len);
	v->has_upstreams = upstreams_digest != p->sent_upstreams;
	v->has_entries = entries_digest != p->sent_entries;
	if (!v->has_upstreams && !v->has_entries && controls == p->sent_controls)
		return;
	if (!v->has_upstreams)
		v->upstreams.upstreams_len = 0;
	if (!v->has_entries)
		v->entries.entries_len = 0;
	p->sent_upstreams = upstreams_digest;
	p->sent_entries = entries_digest;
	p->sent_controls = controls;
	v->controls = h->view.controls;
	v->age_ms = (u_int)hub_list_age_ms(h); /* -1 becomes UINT32_MAX */
	hub_send(p, &m);
	METRIC_INC("auburn_views_sent_total");
}

/* Sends an entry its share, and a control process the whole view, as it may become the leader. */
static void send_view(hub_t *h, hub_peer_t *p)
{
	link_msg_t m = {.kind = LINK_VIEW};

	if (!p->rpc_addr[0]) {
		send_share(h, p);
		return;
	}
	hub_capacity_send(h, p, h->view.entries.entries_val, h->view.entries.entries_len);
	m.link_msg_t_u.view = h->view;
	m.link_msg_t_u.view.has_upstreams = m.link_msg_t_u.view.has_entries = true;
	m.link_msg_t_u.view.age_ms = (u_int)hub_list_age_ms(h);
	hub_send(p, &m);
}

void hub_view_send_first(hub_t *h, hub_peer_t *p)
{
	replica_ref_t v[LEAVING_MAX];
	size_t n = leaving_list(h->leaving_replicas, 0, v, LEAVING_MAX);

	for (size_t i = 0; i < n; i++) {
		link_msg_t m = {.kind = LINK_LEAVING};

		m.link_msg_t_u.leaving_replica =
			(link_leaving_t){wire_bytes(v[i].id), v[i].start_time};
		hub_send(p, &m);
	}
	send_view(h, p);
}

void hub_view_init(hub_t *h)
{
	h->leaving_replicas = leaving_new();
	if (h->control->settings.upstream_list)
		h->upstream_list = upstream_list_new(
			&(upstream_list_options_t){.loop = h->loop,
						   .http = h->http,
						   .addr = h->control->settings.upstream_list,
						   .ctx = h,
						   .list = on_list,
						   .first_pages = on_first_pages});
}

void hub_view_tick(hub_t *h, deadline_t now)
{
	group_status_t st;

	if (h->upstream_list && now >= h->next_list_read) {
		upstream_list_read(h->upstream_list);
		h->next_list_read = now + HUB_LIST_PERIOD_MS;
	}
	if (!h->view_changed)
		return;
	group_get_status(h->control->groups[0].raft, &st);
	/* Waits for more entries to link. Until then callers get the entries of the previous
	 * leader's view. */
	if (now - st.leader_since < INHERITED_ENTRIES_MS &&
	    h->view.entries.entries_len > HASH_COUNT(h->peers))
		return;
	if (now < h->next_view || hub_capacity_is_awaited(h, now))
		return;
	h->next_view = now + (deadline_t)HASH_COUNT(h->peers) * VIEW_PERIOD_PER_PEER_MS;
	h->view_changed = false;
	rebuild_members(h);
	for (hub_peer_t *p = h->peers; p; p = p->hh.next) {
		if (p->registered)
			send_view(h, p);
	}
}

void hub_view_adopt(hub_t *h, const link_view_t *v)
{
	wire_free(XDR_PROC(link_view_t), &h->view);
	wire_dup(XDR_PROC(link_view_t), v, &h->view, sizeof(h->view));
	h->rings_stale = true;
	h->last_list_read = v->age_ms == UINT32_MAX ? 0 : clock_now_ms() - v->age_ms;
	for (u_int i = 0; i < v->controls.controls_len; i++)
		leader_link_add_control(h->leader_link, wire_str(v->controls.controls_val[i]));
}
