#include "entry/up_impl.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/lg.h"
#include "base/mx.h"

#define ALONE_SLOTS    4096 /* ways without owners keep no exact count */
#define ALONE_QUEUE    0
#define QUEUE_PER_SLOT 16
#define DEFAULT_SLOTS  8

up_table_t *up_new(en_t *en)
{
	up_table_t *t = mem_new(sizeof(*t));

	t->en = en;
	pthread_rwlock_init(&t->lock, NULL);
	return t;
}

up_t *up_find(up_table_t *t, str_t id)
{
	up_t *found = NULL;

	pthread_rwlock_rdlock(&t->lock);
	for (size_t i = 0; i < t->n && !found; i++)
		if (str_eq(str_c(t->v[i]->id), id))
			found = t->v[i];
	pthread_rwlock_unlock(&t->lock);
	return found;
}

static up_t *add(up_table_t *t, const aw_upstream_t *a)
{
	up_t *u = mem_new(sizeof(*u));

	u->en = t->en;
	u->id = str_dup(px_str(a->id));
	u->service = str_dup(px_str(a->service));
	u->addr = str_dup(px_str(a->addr));
	u->zone = str_dup(px_str(a->zone));
	u->state = AW_UP_GONE;
	pthread_mutex_init(&u->lock, NULL);
	rt_breaker_init(&u->breaker);
	pthread_rwlock_wrlock(&t->lock);
	t->v = mem_grow(t->v, (t->n + 1) * sizeof(up_t *));
	t->v[t->n++] = u;
	pthread_rwlock_unlock(&t->lock);
	return u;
}

static ow_options_t policy_of(const en_t *en, const tx_service_t *s, unsigned entries)
{
	ow_options_t o = {.slots = (unsigned)s->slots,
			  .kept = (unsigned)s->kept_slots,
			  .preempt = en->set.preempt,
			  .keep = en->set.keep,
			  .latency_weight = s->latency_weight,
			  .step_bound_us = s->step_bound_ms * 1000,
			  .queue_max = (unsigned)s->slots * QUEUE_PER_SLOT};

	if (en->set.way == EN_SPLIT)
		o.slots = (o.slots + entries - 1) / (entries ? entries : 1);
	if (en->set.way == EN_ALONE || en->set.way == EN_ALONE_CANCEL) {
		o.slots = ALONE_SLOTS;
		o.queue_max = ALONE_QUEUE;
		o.preempt = OW_PREEMPT_NONE;
		o.keep = OW_KEEP_NONE;
		o.step_bound_us = 0;
	}
	if (o.kept >= o.slots)
		o.kept = o.slots - 1;
	return o;
}

static bool dispatched_here(const en_t *en, const aw_upstream_t *a)
{
	if (a->state != AW_UP_LIVE)
		return false;
	if (en->set.way != EN_OWNER)
		return true;
	return a->owner != 0 && a->owner == en_session(en->snap);
}

static void open_owner(up_t *u, const aw_upstream_t *a, const tx_service_t *s,
		       const ow_options_t *policy)
{
	ro_options_t o = {.en = u->en,
			  .id = u->id,
			  .addr = u->addr,
			  .fence = u->en->set.way == EN_OWNER ? a->fence : 0,
			  .stall_ms = s->stall_ms,
			  .policy = *policy,
			  .ctx = u,
			  .health = up_health};

	u->ro = ro_new(&o);
	lg(LG_INFO, "owner_opened", LG_C("upstream", u->id), LG_I("fence", a->fence));
}

/* Returns the owner to be closed, if there is one. */
static ro_t *apply_one(up_t *u, const aw_upstream_t *a, const tx_service_t *s, const aw_view_t *v)
{
	const aw_member_t *owner = en_member(v, a->owner);
	bool here = s && s->kind == TX_ENGINE && dispatched_here(u->en, a);
	uint64_t fence = u->en->set.way == EN_OWNER ? a->fence : 0;
	ow_options_t policy = {0};
	ro_t *old = NULL;

	if (s && s->kind == TX_ENGINE)
		policy = policy_of(u->en, s, v->members.members_len);
	pthread_mutex_lock(&u->lock);
	if (a->fence != u->fence)
		u->report.reported = 0;
	u->state = a->state;
	u->owner = a->owner;
	u->fence = a->fence;
	u->slots = s ? (int)s->slots : DEFAULT_SLOTS;
	u->owner_addr[0] = 0;
	if (owner)
		snprintf(u->owner_addr, sizeof(u->owner_addr), "%.*s",
			 STR_ARG(px_str(owner->addr)));
	if (u->ro && (!here || ro_fence(u->ro) != fence)) {
		old = u->ro;
		u->ro = NULL;
	}
	if (here && !u->ro)
		open_owner(u, a, s, &policy);
	else if (u->ro)
		ro_update(u->ro, &policy, s->stall_ms);
	pthread_mutex_unlock(&u->lock);
	return old;
}

static void close_owner(up_t *u, ro_t *ro, bool cancel_batch)
{
	if (!ro)
		return;
	lg(LG_INFO, "owner_closed", LG_C("upstream", u->id), LG_I("fence", ro_fence(ro)));
	ro_close(ro, cancel_batch);
	ro_unref(ro);
}

static bool in_view(const aw_view_t *v, const up_t *u)
{
	for (u_int i = 0; i < v->upstreams.upstreams_len; i++)
		if (str_eq(px_str(v->upstreams.upstreams_val[i].id), str_c(u->id)))
			return true;
	return false;
}

static void drop_gone(up_table_t *t, const aw_view_t *v)
{
	for (size_t i = 0; i < t->n; i++) {
		up_t *u = t->v[i];
		ro_t *ro;

		if (in_view(v, u))
			continue;
		pthread_mutex_lock(&u->lock);
		u->state = AW_UP_GONE;
		ro = u->ro;
		u->ro = NULL;
		pthread_mutex_unlock(&u->lock);
		close_owner(u, ro, true);
	}
}

void up_apply(up_table_t *t)
{
	AUTO_VIEW *v = en_view_get(t->en->snap);
	AUTO_CONF *c = en_conf_get(t->en->snap);

	if (!v || !c)
		return;
	for (u_int i = 0; i < v->view.upstreams.upstreams_len; i++) {
		const aw_upstream_t *a = &v->view.upstreams.upstreams_val[i];
		up_t *u = up_find(t, px_str(a->id));
		ro_t *old;

		if (!u)
			u = add(t, a);
		old = apply_one(u, a, tx_service(c->text, px_str(a->service)), &v->view);
		close_owner(u, old, a->state != AW_UP_LIVE);
	}
	drop_gone(t, &v->view);
}

void up_close_owned(up_table_t *t, bool cancel_batch)
{
	for (size_t i = 0; i < t->n; i++) {
		up_t *u = t->v[i];
		ro_t *ro;

		pthread_mutex_lock(&u->lock);
		ro = u->ro;
		u->ro = NULL;
		pthread_mutex_unlock(&u->lock);
		close_owner(u, ro, cancel_batch);
	}
}

void up_each(up_table_t *t, up_visit_t visit, void *ctx)
{
	bool more = true;
	size_t n;

	pthread_rwlock_rdlock(&t->lock);
	n = t->n;
	pthread_rwlock_unlock(&t->lock);
	for (size_t i = 0; i < n && more; i++) {
		up_t *u;
		up_info_t info;

		pthread_rwlock_rdlock(&t->lock);
		u = t->v[i];
		pthread_rwlock_unlock(&t->lock);
		pthread_mutex_lock(&u->lock);
		info = (up_info_t){u,	     u->id,    u->addr,	 u->zone,      u->service,
				   u->state, u->owner, u->fence, ro_ref(u->ro)};
		pthread_mutex_unlock(&u->lock);
		more = visit(ctx, &info);
		ro_unref(info.ro);
	}
}

ro_t *up_owned(up_table_t *t, str_t id, uint64_t fence)
{
	up_t *u = up_find(t, id);
	ro_t *ro = NULL;

	if (!u)
		return NULL;
	pthread_mutex_lock(&u->lock);
	if (u->ro && u->fence == fence)
		ro = ro_ref(u->ro);
	pthread_mutex_unlock(&u->lock);
	return ro;
}

void up_health(void *up, bool ok)
{
	up_t *u = up;

	pthread_mutex_lock(&u->lock);
	if (ok)
		rt_breaker_ok(&u->breaker);
	else
		rt_breaker_fail(&u->breaker, clk_now_ms());
	pthread_mutex_unlock(&u->lock);
}
