#include "entry/upstream_internal.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "base/metric.h"

#define ALONE_SLOTS    4096 /* modes alone and alone_cancel: the engine limits the streams */
#define ALONE_QUEUE    0
#define QUEUE_PER_SLOT 16
#define DEFAULT_SLOTS  8 /* of a replica whose service is not in the config */

upstream_table_t *upstream_table_new(entry_ctx_t *en)
{
	upstream_table_t *t = mem_new(sizeof(*t));

	t->en = en;
	pthread_rwlock_init(&t->lock, NULL);
	return t;
}

upstream_t *upstream_find(upstream_table_t *t, str_t id)
{
	upstream_t *found = NULL;

	pthread_rwlock_rdlock(&t->lock);
	for (size_t i = 0; i < t->n && !found; i++)
		if (str_eq(str_c(t->upstreams[i]->id), id))
			found = t->upstreams[i];
	pthread_rwlock_unlock(&t->lock);
	return found;
}

static upstream_t *add_upstream(upstream_table_t *t, const wire_upstream_t *msg)
{
	upstream_t *u = mem_new(sizeof(*u));

	u->en = t->en;
	u->id = str_dup(wire_str(msg->id));
	u->service = str_dup(wire_str(msg->service));
	u->addr = str_dup(wire_str(msg->addr));
	u->zone = str_dup(wire_str(msg->zone));
	u->state = WIRE_UPSTREAM_GONE;
	pthread_mutex_init(&u->lock, NULL);
	retry_breaker_init(&u->breaker);
	pthread_rwlock_wrlock(&t->lock);
	t->upstreams = mem_grow(t->upstreams, (t->n + 1) * sizeof(upstream_t *));
	t->upstreams[t->n++] = u;
	pthread_rwlock_unlock(&t->lock);
	return u;
}

/* Scheduling options for a replica, from the service's config and the entry's mode. */
static owner_options_t make_policy(const entry_ctx_t *en, const config_service_t *s,
				   unsigned entries)
{
	owner_options_t o = {.slots = (unsigned)s->slots,
			     .reserved_slots = (unsigned)s->reserved_slots,
			     .preempt = en->settings.preempt,
			     .reserve = en->settings.reserve,
			     .latency_weight = s->latency_weight,
			     .step_bound_us = s->step_bound_ms * 1000,
			     .queue_max = (unsigned)s->slots * QUEUE_PER_SLOT};

	if (en->settings.mode == ENTRY_MODE_SPLIT)
		o.slots = (o.slots + entries - 1) / (entries ? entries : 1);
	if (en->settings.mode == ENTRY_MODE_ALONE || en->settings.mode == ENTRY_MODE_ALONE_CANCEL) {
		o.slots = ALONE_SLOTS;
		o.queue_max = ALONE_QUEUE;
		o.preempt = OWNER_PREEMPT_NONE;
		o.reserve = OWNER_RESERVE_NONE;
		o.step_bound_us = 0;
	}
	if (o.reserved_slots >= o.slots)
		o.reserved_slots = o.slots - 1;
	return o;
}

static bool is_dispatched_here(const entry_ctx_t *en, const wire_upstream_t *msg)
{
	if (msg->state != WIRE_UPSTREAM_LIVE)
		return false;
	if (en->settings.mode != ENTRY_MODE_OWNER)
		return true;
	return msg->owner != 0 && msg->owner == entry_session(en->snapshot);
}

static void open_replica(upstream_t *u, const wire_upstream_t *msg, const config_service_t *s,
			 const owner_options_t *policy)
{
	local_replica_options_t o = {.en = u->en,
				     .id = u->id,
				     .addr = u->addr,
				     .fence = u->en->settings.mode == ENTRY_MODE_OWNER ? msg->fence
										       : 0,
				     .stall_ms = s->stall_ms,
				     .policy = *policy,
				     .ctx = u,
				     .on_health = upstream_record_health};

	u->replica = local_replica_new(&o);
	log_event(LOG_LEVEL_INFO, "owner_opened", LOG_CSTR("upstream", u->id),
		  LOG_INT("fence", msg->fence));
}

/* Updates an upstream from the view. Returns the local replica to close if this entry no longer
 * dispatches to the upstream or the fence has changed, else NULL. */
static local_replica_t *apply_upstream(upstream_t *u, const wire_upstream_t *msg,
				       const config_service_t *s, const wire_view_t *v)
{
	const wire_member_t *owner = entry_find_member(v, msg->owner);
	bool here = s && s->kind == CONFIG_ENGINE && is_dispatched_here(u->en, msg);
	uint64_t fence = u->en->settings.mode == ENTRY_MODE_OWNER ? msg->fence : 0;
	owner_options_t policy = {0};
	local_replica_t *old = NULL;

	if (s && s->kind == CONFIG_ENGINE)
		policy = make_policy(u->en, s, v->members.members_len);
	pthread_mutex_lock(&u->lock);
	if (msg->fence != u->fence)
		u->report.reported_at = 0;
	u->state = msg->state;
	u->owner = msg->owner;
	u->fence = msg->fence;
	u->slots = s ? (int)s->slots : DEFAULT_SLOTS;
	u->owner_addr[0] = 0;
	if (owner)
		snprintf(u->owner_addr, sizeof(u->owner_addr), "%.*s",
			 STR_ARG(wire_str(owner->addr)));
	if (u->replica && (!here || local_replica_fence(u->replica) != fence)) {
		old = u->replica;
		u->replica = NULL;
	}
	if (here && !u->replica)
		open_replica(u, msg, s, &policy);
	else if (u->replica)
		local_replica_update(u->replica, &policy, s->stall_ms);
	pthread_mutex_unlock(&u->lock);
	return old;
}

static void close_replica(upstream_t *u, local_replica_t *replica, bool cancel_batch)
{
	if (!replica)
		return;
	log_event(LOG_LEVEL_INFO, "owner_closed", LOG_CSTR("upstream", u->id),
		  LOG_INT("fence", local_replica_fence(replica)));
	local_replica_close(replica, cancel_batch);
	local_replica_unref(replica);
}

static bool is_in_view(const wire_view_t *v, const upstream_t *u)
{
	for (u_int i = 0; i < v->upstreams.upstreams_len; i++)
		if (str_eq(wire_str(v->upstreams.upstreams_val[i].id), str_c(u->id)))
			return true;
	return false;
}

/* Stops dispatching to upstreams that are no longer in the view. */
static void close_gone(upstream_table_t *t, const wire_view_t *v)
{
	for (size_t i = 0; i < t->n; i++) {
		upstream_t *u = t->upstreams[i];
		local_replica_t *replica;

		if (is_in_view(v, u))
			continue;
		pthread_mutex_lock(&u->lock);
		u->state = WIRE_UPSTREAM_GONE;
		replica = u->replica;
		u->replica = NULL;
		pthread_mutex_unlock(&u->lock);
		close_replica(u, replica, true);
	}
}

void upstream_apply_view(upstream_table_t *t)
{
	AUTO_ENTRY_VIEW *v = entry_view_get(t->en->snapshot);
	AUTO_ENTRY_CONFIG *c = entry_config_get(t->en->snapshot);

	if (!v || !c)
		return;
	for (u_int i = 0; i < v->view.upstreams.upstreams_len; i++) {
		const wire_upstream_t *msg = &v->view.upstreams.upstreams_val[i];
		upstream_t *u = upstream_find(t, wire_str(msg->id));
		local_replica_t *old;

		if (!u)
			u = add_upstream(t, msg);
		old = apply_upstream(u, msg, config_find_service(c->config, wire_str(msg->service)),
				     &v->view);
		close_replica(u, old, msg->state != WIRE_UPSTREAM_LIVE);
	}
	close_gone(t, &v->view);
}

void upstream_close_local(upstream_table_t *t, bool cancel_batch)
{
	for (size_t i = 0; i < t->n; i++) {
		upstream_t *u = t->upstreams[i];
		local_replica_t *replica;

		pthread_mutex_lock(&u->lock);
		replica = u->replica;
		u->replica = NULL;
		pthread_mutex_unlock(&u->lock);
		close_replica(u, replica, cancel_batch);
	}
}

void upstream_each(upstream_table_t *t, upstream_visit_t visit, void *ctx)
{
	bool more = true;
	size_t n;

	pthread_rwlock_rdlock(&t->lock);
	n = t->n;
	pthread_rwlock_unlock(&t->lock);
	for (size_t i = 0; i < n && more; i++) {
		upstream_t *u;
		upstream_info_t info;

		pthread_rwlock_rdlock(&t->lock);
		u = t->upstreams[i];
		pthread_rwlock_unlock(&t->lock);
		pthread_mutex_lock(&u->lock);
		info = (upstream_info_t){u,	   u->id,      u->addr,
					 u->zone,  u->service, u->state,
					 u->owner, u->fence,   local_replica_ref(u->replica)};
		pthread_mutex_unlock(&u->lock);
		more = visit(ctx, &info);
		local_replica_unref(info.replica);
	}
}

local_replica_t *upstream_find_local(upstream_table_t *t, str_t id, uint64_t fence)
{
	upstream_t *u = upstream_find(t, id);
	local_replica_t *replica = NULL;

	if (!u)
		return NULL;
	pthread_mutex_lock(&u->lock);
	if (u->replica && u->fence == fence)
		replica = local_replica_ref(u->replica);
	pthread_mutex_unlock(&u->lock);
	return replica;
}

void upstream_record_health(void *up, bool ok)
{
	upstream_t *u = up;

	pthread_mutex_lock(&u->lock);
	if (ok)
		retry_breaker_success(&u->breaker);
	else
		retry_breaker_failure(&u->breaker, clock_now_ms());
	pthread_mutex_unlock(&u->lock);
}
