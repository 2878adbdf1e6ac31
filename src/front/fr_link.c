/* The link to the leader: what it tells of replicas and items. */
#include <stdlib.h>
#include <string.h>
#include "base/lg.h"
#include "base/mx.h"
#include "front/fr.h"

/** Without a leader for this long, in ms, this process reads the list of replicas itself, on a
 * period of LIST_MS, which bounds what all entries together ask of the platform. */
#define LIST_AFTER_MS 1500
#define LIST_MS	      2000
/** Items are stopped after this long without a leader, in ms: before it runs them elsewhere. */
#define ITEMS_MS (DS_ADOPT_MS - 400)
#define RUNS_MAX 4096

const fr_replica_t *fr_replica(const fr_t *f, str_t id)
{
	fr_replica_t *r;

	HASH_FIND(hh, f->replicas, id.p, id.n, r);
	return r;
}

void fr_leaver(fr_t *f, lv_replica_t r)
{
	lw_msg_t m = {.kind = LW_LEAVER};

	if (!lv_note(f->leavers, r))
		return;
	lg(LG_INFO, "replica_leaves", LG_S("replica", r.id), LG_I("born", r.born));
	MX_COUNT("auburn_replicas_leaving_total");
	m.lw_msg_t_u.leaver = (lw_leaver_t){px_bytes(r.id), r.born};
	ll_send(f->leader, &m);
	if (f->local)
		ds_leaves(f->local, r.id);
}

static void index_replicas(fr_t *f)
{
	fr_replica_t *r;
	fr_replica_t *next;

	HASH_ITER (hh, f->replicas, r, next) {
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): what is freed was unlinked */
		HASH_DEL(f->replicas, r);
		free(r->id);
		free(r->addr);
		free(r);
	}
	for (u_int i = 0; i < f->view.upstreams.upstreams_len; i++) {
		const lw_upstream_t *u = &f->view.upstreams.upstreams_val[i];

		if (fr_replica(f, px_str(u->id)))
			continue;
		r = mem_new(sizeof(*r));
		r->id = str_dup(px_str(u->id));
		r->addr = str_dup(px_str(u->addr));
		r->born = u->born;
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): what is freed was unlinked */
		HASH_ADD_KEYPTR(hh, f->replicas, r->id, strlen(r->id), r);
	}
	fr_ask_replicas(f);
}

/* Of the two lists, takes over the one that the message has. */
static void take_view(fr_t *f, const lw_view_t *m)
{
	lw_view_t got;
	lw_view_t old = f->view;

	px_dup(PX(lw_view_t), m, &got, sizeof(got));
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
	px_free(PX(lw_view_t), &got);
	for (u_int i = 0; i < f->view.controls.controls_len; i++)
		ll_add_control(f->leader, px_str(f->view.controls.controls_val[i]));
	if (m->has_upstreams)
		index_replicas(f);
}

static void on_message(void *ctx, const lw_msg_t *m)
{
	fr_t *f = ctx;
	fo_t *o;

	switch (m->kind) {
	case LW_CONF:
		fr_routes_take(f, &m->lw_msg_t_u.conf);
		break;
	case LW_VIEW:
		take_view(f, &m->lw_msg_t_u.view);
		break;
	case LW_GRANT:
		o = fo_find(f, m->lw_msg_t_u.grant.request);
		if (o && fo_is_asking(o)) {
			lv_replica_t r = {px_str(m->lw_msg_t_u.grant.replica),
					  m->lw_msg_t_u.grant.born};

			fo_granted(o, r, px_str(m->lw_msg_t_u.grant.addr));
		} else if (!o) {
			lw_msg_t end = {.kind = LW_ENDED};

			/* Its caller left while the grant was on its way. */
			end.lw_msg_t_u.ended.request = m->lw_msg_t_u.grant.request;
			end.lw_msg_t_u.ended.outcome = LW_LEFT;
			ll_send(f->leader, &end);
		}
		break;
	case LW_REFUSE:
		o = fo_find(f, m->lw_msg_t_u.refuse.request);
		if (o && fo_is_asking(o))
			fo_refused(o, m->lw_msg_t_u.refuse.retry_ms);
		break;
	case LW_ITEM_RUN:
		fb_run(f, &m->lw_msg_t_u.run);
		break;
	case LW_ITEM_STOP:
		fb_stop(f, &m->lw_msg_t_u.stop);
		break;
	default:
		break;
	}
}

static void on_up(void *ctx)
{
	fr_t *f = ctx;

	fr_ask_up(f);
	fb_up(f);
}

static void on_down(void *ctx)
{
	fr_ask_down(ctx);
}

static void fill_hello(void *ctx, lw_hello_t *out)
{
	static lw_run_t runs[RUNS_MAX];
	static lw_leaver_t leavers[LV_MAX];
	lv_replica_t known[LV_MAX];
	fr_t *f = ctx;
	size_t n = 0;
	size_t nleavers = lv_all(f->leavers, known, LV_MAX);

	for (fo_t *o = f->requests; o && n < RUNS_MAX; o = o->hh.next) {
		if (!fo_is_asking(o))
			runs[n++] = (lw_run_t){.request = o->number,
					       .replica = px_bytes(str_c(o->replica))};
	}
	n += fb_runs(f, runs + n, RUNS_MAX - n);
	*out = (lw_hello_t){
		.name = px_bytes(str_c(f->s.name)),
		.addr = px_bytes(str_c(f->s.listen)),
		.zone = px_bytes(str_c(f->s.zone)),
		.draining = f->exit_by != 0,
		.text = f->text,
	};
	out->runs.runs_len = (u_int)n;
	out->runs.runs_val = runs;
	for (size_t i = 0; i < nleavers; i++)
		leavers[i] = (lw_leaver_t){px_bytes(known[i].id), known[i].born};
	out->leavers.leavers_len = (u_int)nleavers;
	out->leavers.leavers_val = leavers;
}

static void on_list(void *ctx, lw_view_t *v)
{
	fr_t *f = ctx;
	lw_view_t old = {.upstreams = f->view.upstreams};

	if (!f->local)
		return;
	f->view.upstreams = v->upstreams;
	v->upstreams = old.upstreams;
	index_replicas(f);
}

void fr_link_tick(fr_t *f, deadline_t now)
{
	deadline_t since = ll_down_since(f->leader);

	if (!f->local)
		return;
	ds_tick(f->local, now);
	if (now - since > ITEMS_MS)
		fb_stop_all(f);
	if (!f->list || now - since < LIST_AFTER_MS || now < f->list_at)
		return;
	f->list_at = now + LIST_MS;
	ul_read(f->list);
}

void fr_link_start(fr_t *f)
{
	f->leavers = lv_new();
	fr_routes_start(f);
	f->leader = ll_new(&(ll_options_t){
		.loop = f->loop,
		.controls = (const char *const *)f->s.controls.v,
		.ncontrols = f->s.controls.n,
		.link_port = (unsigned)f->s.link_port,
		.ctx = f,
		.hello = fill_hello,
		.message = on_message,
		.up = on_up,
		.down = on_down,
	});
	if (f->s.upstream_list)
		f->list = ul_new(&(ul_options_t){.loop = f->loop,
						 .http = f->http,
						 .addr = f->s.upstream_list,
						 .ctx = f,
						 .list = on_list});
	fr_ask_down(f);
}
