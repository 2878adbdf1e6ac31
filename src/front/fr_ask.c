/* Asks for places: of the leader's dispatcher, or of one of this process's own while there is no
 * leader. The own one knows only this process's runs, so it may choose a replica that others have
 * filled; such a replica refuses and another is tried. */
#include <stdlib.h>
#include "base/lg.h"
#include "front/fr.h"

/** This process in its own dispatcher. */
#define SELF 1

static void on_grant(void *ctx, uint64_t entry, uint64_t request, str_t replica)
{
	fr_t *f = ctx;
	fo_t *o = fo_find(f, request);
	const fr_replica_t *r = fr_replica(f, replica);

	if (o && fo_is_asking(o))
		fo_granted(o, (lv_replica_t){replica, r ? r->born : 0}, str_c(r ? r->addr : ""));
}

static void on_refuse(void *ctx, uint64_t entry, uint64_t request, int64_t retry_ms,
		      ds_refusal_t why)
{
	fr_t *f = ctx;
	fo_t *o = fo_find(f, request);
	ds_stats_t st;

	if (!o || !fo_is_asking(o))
		return;
	ds_stats(f->local, &st);
	lg(LG_INFO, "place_refused", LG_S("request", o->call.id), LG_I("number", request),
	   LG_C("reason", ds_refusal_name(why)), LG_I("retry_ms", retry_ms),
	   LG_I("replicas", st.replicas), LG_I("places", st.slots), LG_I("online", st.online),
	   LG_I("waiting", st.asks_waiting));
	fo_refused(o, retry_ms);
}

static void no_item(void *ctx, void *data, uint64_t entry)
{
}

static void no_run(void *ctx, void *data, uint64_t entry, str_t replica)
{
}

static void ask_local(fr_t *f, const fo_t *o)
{
	ds_ask_t a = {
		.entry = SELF,
		.request = o->number,
		.service = str_c(o->service),
		.priority = o->priority,
		.resumed = o->begun,
		.returning = o->returning || o->offered,
		.objective = o->objective,
		.deadline = o->deadline,
		.leaves = o->leaves,
		.prefix = o->call.prefix,
	};

	for (unsigned i = 0; i < o->navoid; i++)
		a.avoid[a.navoid++] = str_c(o->avoid[i]);
	ds_ask(f->local, &a, clk_now_ms());
}

static void ask_leader(fr_t *f, const fo_t *o)
{
	lw_msg_t m = {.kind = LW_ASK};
	lw_ask_t *a = &m.lw_msg_t_u.ask;
	aw_bytes_t avoid[DS_AVOID_MAX];
	deadline_t now = clk_now_ms();

	*a = (lw_ask_t){
		.request = o->number,
		.service = px_bytes(str_c(o->service)),
		.priority = o->priority,
		.resumed = o->begun,
		.returning = o->returning || o->offered,
		.objective_ms = (int)(o->objective - now),
		.deadline_ms = (int)(o->deadline - now),
		.leaves_ms = (int)(o->leaves - now),
		.prefix = o->call.prefix,
	};
	for (unsigned i = 0; i < o->navoid; i++)
		avoid[i] = px_bytes(str_c(o->avoid[i]));
	a->avoid.avoid_len = o->navoid;
	a->avoid.avoid_val = avoid;
	ll_ask(f->leader, &m);
}

void fr_ask(fr_t *f, fo_t *o)
{
	if (f->local)
		ask_local(f, o);
	else
		ask_leader(f, o);
}

void fr_ask_drop(fr_t *f, fo_t *o)
{
	lw_msg_t m = {.kind = LW_DROP};

	m.lw_msg_t_u.request = o->number;
	if (f->local)
		ds_drop(f->local, SELF, o->number);
	else
		ll_send(f->leader, &m);
}

void fr_ended(fr_t *f, fo_t *o, ds_outcome_t how)
{
	lw_msg_t m = {.kind = LW_ENDED};
	lw_ended_t *e = &m.lw_msg_t_u.ended;

	*e = (lw_ended_t){o->number, px_bytes(str_c(o->replica)), (lw_outcome_t)how,
			  (int)o->first_ms};
	if (f->local)
		ds_ended(f->local, SELF, o->number, how, clk_now_ms());
	else
		ll_send(f->leader, &m);
}

void fr_ask_replicas(fr_t *f)
{
	u_int n = f->view.upstreams.upstreams_len;
	ds_replica_t *v;

	if (!f->local)
		return;
	v = mem_new((n + 1) * sizeof(*v));
	for (u_int i = 0; i < n; i++) {
		const lw_upstream_t *u = &f->view.upstreams.upstreams_val[i];

		/* The own zone counts for nothing: every entry would crowd the same replicas. */
		v[i] = (ds_replica_t){
			.id = px_str(u->id),
			.zone = str_c(f->s.zone),
			.service = px_str(u->service),
			.slots = u->slots,
			.leaving = u->leaving ||
				   lv_leaves(f->leavers, (lv_replica_t){px_str(u->id), u->born}),
			.born = u->born,
		};
	}
	ds_replicas(f->local, v, n, clk_now_ms());
	free(v);
}

static void ask_again(fr_t *f)
{
	fo_t *o;
	fo_t *next;

	HASH_ITER (hh, f->requests, o, next) {
		if (fo_is_asking(o))
			fr_ask(f, o);
	}
}

void fr_ask_up(fr_t *f)
{
	if (f->local)
		ds_free(f->local);
	f->local = NULL;
	ask_again(f);
}

void fr_ask_down(fr_t *f)
{
	ds_callbacks_t cb = {f, on_grant, on_refuse, no_run, no_item};

	f->local = ds_new(&cb, (uint64_t)clk_now_us() ^ str_hash(str_c(f->s.name)));
	ds_entry_add(f->local, SELF, str_c(f->s.zone), false);
	fr_ask_replicas(f);
	for (fo_t *o = f->requests; o; o = o->hh.next) {
		if (!fo_is_asking(o))
			ds_adopt(f->local, SELF, o->number, str_c(o->replica), clk_now_ms());
	}
	ask_again(f);
}
