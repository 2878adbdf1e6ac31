/* What the hub tells of: replicas, entries and control processes. */
#include <stdlib.h>
#include <string.h>
#include "base/lg.h"
#include "base/mx.h"
#include "control/cn_hub.h"

/** Entries that were known before this process began to lead count this long, in ms, until they
 * have linked themselves. */
#define INHERIT_MS 2000
/** Changes are gathered this long for each peer that is told of them, in ms: what a view costs the
 * leader stays under a tenth of a core. */
#define VIEW_PEER_MS 1

static bool same_upstream(const lw_upstream_t *a, const lw_upstream_t *b)
{
	return str_eq(px_str(a->id), px_str(b->id)) && str_eq(px_str(a->addr), px_str(b->addr)) &&
	       str_eq(px_str(a->service), px_str(b->service)) && a->slots == b->slots &&
	       a->leaving == b->leaving && a->born == b->born;
}

/* Lists mostly keep their order, so the place in the other one is looked at first. */
static const lw_upstream_t *find_near(const lw_view_t *v, str_t id, u_int place)
{
	if (place < v->upstreams.upstreams_len &&
	    str_eq(px_str(v->upstreams.upstreams_val[place].id), id))
		return &v->upstreams.upstreams_val[place];
	for (u_int i = 0; i < v->upstreams.upstreams_len; i++) {
		if (str_eq(px_str(v->upstreams.upstreams_val[i].id), id))
			return &v->upstreams.upstreams_val[i];
	}
	return NULL;
}

const lw_upstream_t *hub_replica(const hub_t *h, str_t id)
{
	return find_near(&h->view, id, 0);
}

/* Logs what the list says anew; true when it differs from what was believed. */
static bool compare(const lw_view_t *was, const lw_view_t *now)
{
	bool changed = was->upstreams.upstreams_len != now->upstreams.upstreams_len;

	for (u_int i = 0; i < now->upstreams.upstreams_len; i++) {
		const lw_upstream_t *u = &now->upstreams.upstreams_val[i];
		const lw_upstream_t *old = find_near(was, px_str(u->id), i);

		if (old && same_upstream(old, u))
			continue;
		changed = true;
		lg(LG_INFO, "replica_listed", LG_S("replica", px_str(u->id)),
		   LG_S("addr", px_str(u->addr)), LG_I("slots", u->slots),
		   LG_I("leaving", u->leaving), LG_I("born", u->born));
	}
	for (u_int i = 0; i < was->upstreams.upstreams_len; i++) {
		const lw_upstream_t *u = &was->upstreams.upstreams_val[i];

		if (find_near(now, px_str(u->id), i))
			continue;
		changed = true;
		lg(LG_INFO, "replica_unlisted", LG_S("replica", px_str(u->id)));
	}
	return changed;
}

static void tell_dispatcher(hub_t *h)
{
	u_int n = h->view.upstreams.upstreams_len;
	ds_replica_t *v = mem_new((n + 1) * sizeof(*v));

	for (u_int i = 0; i < n; i++) {
		const lw_upstream_t *u = &h->view.upstreams.upstreams_val[i];

		v[i] = (ds_replica_t){px_str(u->id), px_str(u->zone), px_str(u->service),
				      u->slots,	     u->leaving,      u->born};
	}
	ds_replicas(h->ds, v, n, clk_now_ms());
	free(v);
}

/* What entries were told by replicas themselves comes before the list, which lags. */
static void mark_leavers(hub_t *h, lw_view_t *v)
{
	for (u_int i = 0; i < v->upstreams.upstreams_len; i++) {
		lw_upstream_t *u = &v->upstreams.upstreams_val[i];

		if (lv_leaves(h->leavers, (lv_replica_t){px_str(u->id), u->born}))
			u->leaving = true;
	}
}

void hub_view_leaver(hub_t *h, const hub_peer_t *p, const lw_leaver_t *m)
{
	str_t id = px_str(m->replica);
	const lw_upstream_t *u = hub_replica(h, id);

	/* One that has started again since then doesn't leave. */
	if ((u && m->born && u->born > m->born) ||
	    !lv_note(h->leavers, (lv_replica_t){id, m->born}))
		return;
	lg(LG_INFO, "replica_leaves", LG_S("replica", id), LG_I("born", m->born),
	   LG_C("entry", p->name));
	mark_leavers(h, &h->view);
	h->view_changed = true;
	if (h->ds)
		ds_leaves(h->ds, id);
}

void hub_view_begin(hub_t *h)
{
	tell_dispatcher(h);
	h->list_at = 0;
	h->view_changed = true;
}

static void on_list(void *ctx, lw_view_t *v)
{
	hub_t *h = ctx;

	if (h->role != HUB_LEADS)
		return;
	h->list_read = clk_now_ms();
	mark_leavers(h, v);
	if (compare(&h->view, v)) {
		lw_view_t old = {.upstreams = h->view.upstreams};

		h->view.upstreams = v->upstreams;
		v->upstreams = old.upstreams;
		h->rings_stale = true;
		h->view_changed = true;
	}
	tell_dispatcher(h);
}

static void set_entries(hub_t *h)
{
	size_t n = HASH_COUNT(h->peers);
	lw_entry_t *v = mem_new((n + 1) * sizeof(*v));
	aw_bytes_t *c = mem_new((n + 2) * sizeof(*c));
	u_int entries = 0;
	u_int controls = 0;

	c[controls++] = px_copy(str_c(h->cn->s.listen));
	for (hub_peer_t *p = h->peers; p; p = p->hh.next) {
		if (p->greeted && p->control[0])
			c[controls++] = px_copy(str_c(p->control));
		if (p->greeted && p->addr[0] && !p->draining)
			v[entries++] =
				(lw_entry_t){px_copy(str_c(p->addr)), px_copy(str_c(p->zone))};
	}
	for (u_int i = 0; i < h->view.entries.entries_len; i++)
		px_free(PX(lw_entry_t), &h->view.entries.entries_val[i]);
	for (u_int i = 0; i < h->view.controls.controls_len; i++)
		px_free(PX(aw_bytes_t), &h->view.controls.controls_val[i]);
	free(h->view.entries.entries_val);
	free(h->view.controls.controls_val);
	h->view.entries.entries_val = v;
	h->view.entries.entries_len = entries;
	h->view.controls.controls_val = c;
	h->view.controls.controls_len = controls;
	h->rings_stale = true;
}

int64_t hub_list_age_ms(const hub_t *h)
{
	return h->list_read ? clk_now_ms() - h->list_read : -1;
}

static uint64_t mix(uint64_t h, uint64_t x)
{
	return (h ^ x) * 0x9e3779b97f4a7c15ULL;
}

static uint64_t upstream_digest(const lw_upstream_t *u)
{
	uint64_t h = mix(str_hash(px_str(u->id)), str_hash(px_str(u->addr)));

	return mix(mix(h, str_hash(px_str(u->service))), u->born * 2 + u->leaving);
}

static void build_rings(hub_t *h)
{
	const lw_view_t *v = &h->view;

	h->upstream_ring =
		mem_grow(h->upstream_ring, (v->upstreams.upstreams_len + 1) * sizeof(sh_point_t));
	h->entry_ring = mem_grow(h->entry_ring, (v->entries.entries_len + 1) * sizeof(sh_point_t));
	for (u_int i = 0; i < v->upstreams.upstreams_len; i++)
		h->upstream_ring[i] =
			(sh_point_t){str_hash(px_str(v->upstreams.upstreams_val[i].id)), i};
	for (u_int i = 0; i < v->entries.entries_len; i++)
		h->entry_ring[i] =
			(sh_point_t){str_hash(px_str(v->entries.entries_val[i].addr)), i};
	sh_sort(h->upstream_ring, v->upstreams.upstreams_len);
	sh_sort(h->entry_ring, v->entries.entries_len);
	h->rings_stale = false;
}

/* The share of the list of upstreams; returns its digest. */
static uint64_t share_upstreams(const hub_t *h, uint64_t self, lw_upstream_t *out, u_int *n)
{
	size_t at[HUB_SHARE_MAX];
	uint64_t digest = 1;

	*n = (u_int)sh_share(h->upstream_ring, h->view.upstreams.upstreams_len, self, at,
			     HUB_SHARE_MAX);
	for (u_int k = 0; k < *n; k++) {
		out[k] = h->view.upstreams.upstreams_val[at[k]];
		digest = mix(digest, upstream_digest(&out[k]));
	}
	return digest | 1;
}

static uint64_t share_entries(const hub_t *h, uint64_t self, lw_entry_t *out, u_int *n)
{
	size_t at[HUB_SHARE_MAX];
	uint64_t digest = 1;

	*n = (u_int)sh_share(h->entry_ring, h->view.entries.entries_len, self, at, HUB_SHARE_MAX);
	for (u_int k = 0; k < *n; k++) {
		out[k] = h->view.entries.entries_val[at[k]];
		digest = mix(digest, str_hash(px_str(out[k].addr)));
	}
	return digest | 1;
}

static uint64_t controls_digest(const hub_t *h)
{
	uint64_t digest = 1;

	for (u_int i = 0; i < h->view.controls.controls_len; i++)
		digest = mix(digest, str_hash(px_str(h->view.controls.controls_val[i])));
	return digest | 1;
}

/*
 * Grants name their replica's address, so an entry needs the list only while it has no leader, and
 * a caller is told no more entries than this. With hundreds of entries before thousands of replicas
 * whole lists to all would be most of what the leader sends; so would shares that it has told
 * before.
 */
static void send_share(hub_t *h, hub_peer_t *p)
{
	lw_msg_t m = {.kind = LW_VIEW};
	lw_view_t *v = &m.lw_msg_t_u.view;
	lw_upstream_t upstreams[HUB_SHARE_MAX];
	lw_entry_t entries[HUB_SHARE_MAX];
	uint64_t self = str_hash(str_c(p->addr));
	uint64_t upstreams_digest;
	uint64_t entries_digest;
	uint64_t controls = controls_digest(h);

	if (h->rings_stale)
		build_rings(h);
	v->upstreams.upstreams_val = upstreams;
	v->entries.entries_val = entries;
	upstreams_digest = share_upstreams(h, self, upstreams, &v->upstreams.upstreams_len);
	entries_digest = share_entries(h, self, entries, &v->entries.entries_len);
	v->has_upstreams = upstreams_digest != p->told_upstreams;
	v->has_entries = entries_digest != p->told_entries;
	if (!v->has_upstreams && !v->has_entries && controls == p->told_controls)
		return;
	if (!v->has_upstreams)
		v->upstreams.upstreams_len = 0;
	if (!v->has_entries)
		v->entries.entries_len = 0;
	p->told_upstreams = upstreams_digest;
	p->told_entries = entries_digest;
	p->told_controls = controls;
	v->controls = h->view.controls;
	v->age_ms = (u_int)hub_list_age_ms(h); /* -1 becomes UINT32_MAX */
	hub_send(p, &m);
	MX_COUNT("auburn_views_sent_total");
}

/* A control process may lead next and needs all. */
static void send_view(hub_t *h, hub_peer_t *p)
{
	lw_msg_t m = {.kind = LW_VIEW};

	if (!p->control[0]) {
		send_share(h, p);
		return;
	}
	m.lw_msg_t_u.view = h->view;
	m.lw_msg_t_u.view.has_upstreams = m.lw_msg_t_u.view.has_entries = true;
	m.lw_msg_t_u.view.age_ms = (u_int)hub_list_age_ms(h);
	hub_send(p, &m);
}

void hub_view_send(hub_t *h, hub_peer_t *p)
{
	send_view(h, p);
}

void hub_view_start(hub_t *h)
{
	h->leavers = lv_new();
	if (h->cn->s.upstream_list)
		h->list = ul_new(&(ul_options_t){.loop = h->loop,
						 .http = h->http,
						 .addr = h->cn->s.upstream_list,
						 .ctx = h,
						 .list = on_list});
}

void hub_view_tick(hub_t *h, deadline_t now)
{
	gr_status_t st;

	if (h->list && now >= h->list_at) {
		ul_read(h->list);
		h->list_at = now + HUB_LIST_MS;
	}
	if (!h->view_changed)
		return;
	gr_status(h->cn->groups[0].gr, &st);
	/* Callers are still told the entries that the leader before knew. */
	if (now - st.led_since < INHERIT_MS && h->view.entries.entries_len > HASH_COUNT(h->peers))
		return;
	if (now < h->view_at)
		return;
	h->view_at = now + (deadline_t)HASH_COUNT(h->peers) * VIEW_PEER_MS;
	h->view_changed = false;
	set_entries(h);
	for (hub_peer_t *p = h->peers; p; p = p->hh.next) {
		if (p->greeted)
			send_view(h, p);
	}
}

void hub_view_learn(hub_t *h, const lw_view_t *v)
{
	px_free(PX(lw_view_t), &h->view);
	px_dup(PX(lw_view_t), v, &h->view, sizeof(h->view));
	h->rings_stale = true;
	h->list_read = v->age_ms == UINT32_MAX ? 0 : clk_now_ms() - v->age_ms;
	for (u_int i = 0; i < v->controls.controls_len; i++)
		ll_add_control(h->leader, px_str(v->controls.controls_val[i]));
}
