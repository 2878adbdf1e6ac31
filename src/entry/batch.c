#include "entry/batch_internal.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include "base/log.h"

static void start_thread(void *(*f)(void *), void *arg)
{
	pthread_t t;

	if (pthread_create(&t, NULL, f, arg) != 0)
		abort();
	pthread_detach(t);
}

static void init_monotonic_cond(pthread_cond_t *c)
{
	pthread_condattr_t attr;

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(c, &attr);
	pthread_condattr_destroy(&attr);
}

batch_runner_t *batch_start(entry_ctx_t *en)
{
	batch_runner_t *b = mem_new(sizeof(*b));
	unsigned groups = control_client_groups(en->control_client);

	assert(groups <= BATCH_GROUPS_MAX);
	b->en = en;
	pthread_mutex_init(&b->lock, NULL);
	init_monotonic_cond(&b->work_ready);
	init_monotonic_cond(&b->results_ready);
	start_thread(batch_feed_thread, b);
	for (unsigned g = 1; g <= groups; g++) {
		batch_group_t *group = mem_new(sizeof(*group));

		*group = (batch_group_t){b, g};
		start_thread(batch_group_thread, group);
	}
	return b;
}

static bool belongs_to(const batch_item_t *it, str_t caller, str_t job)
{
	return str_eq(str_c(it->caller), caller) && str_eq(str_c(it->job), job);
}

typedef struct {
	local_replica_t *replica;
	uint64_t stream_id;
} cancel_target_t;

static void cancel_streams(cancel_target_t *v, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		local_replica_cancel(v[i].replica, v[i].stream_id);
		local_replica_unref(v[i].replica);
	}
	free(v);
}

void batch_cancel_job(batch_runner_t *b, str_t caller, str_t job)
{
	batch_item_t *it;
	batch_item_t *next;
	cancel_target_t *targets;
	size_t n = 0;

	pthread_mutex_lock(&b->lock);
	targets = mem_new(b->held * sizeof(*targets));
	DL_FOREACH_SAFE(b->waiting, it, next)
	{
		if (!belongs_to(it, caller, job))
			continue;
		DL_DELETE(b->waiting, it);
		batch_service_get(b, it->service)->waiting--;
		batch_item_finish(b, it, false, WIRE_BLAME_NONE, STR("cancelled"));
	}
	DL_FOREACH (b->running, it) {
		if (!belongs_to(it, caller, job) || it->cancelled)
			continue;
		it->cancelled = true;
		if (it->stream_id)
			targets[n++] =
				(cancel_target_t){local_replica_ref(it->replica), it->stream_id};
	}
	pthread_mutex_unlock(&b->lock);
	if (n)
		log_event(LOG_LEVEL_INFO, "job_items_cancelled", LOG_STR("key", job),
			  LOG_INT("running", n));
	cancel_streams(targets, n);
}

void batch_drain(batch_runner_t *b)
{
	batch_item_t *it;
	batch_item_t *next;

	pthread_mutex_lock(&b->lock);
	b->draining = true;
	DL_FOREACH_SAFE(b->waiting, it, next)
	{
		DL_DELETE(b->waiting, it);
		batch_service_get(b, it->service)->waiting--;
		batch_item_finish(b, it, false, WIRE_BLAME_NONE, STR("the entry is draining"));
	}
	pthread_mutex_unlock(&b->lock);
}

void batch_cancel_running(batch_runner_t *b)
{
	batch_item_t *it;
	cancel_target_t *targets;
	size_t n = 0;

	pthread_mutex_lock(&b->lock);
	targets = mem_new(b->held * sizeof(*targets));
	DL_FOREACH (b->running, it) {
		if (it->stream_id)
			targets[n++] =
				(cancel_target_t){local_replica_ref(it->replica), it->stream_id};
	}
	pthread_mutex_unlock(&b->lock);
	cancel_streams(targets, n);
}

size_t batch_held(batch_runner_t *b)
{
	size_t n;

	pthread_mutex_lock(&b->lock);
	n = b->held;
	pthread_mutex_unlock(&b->lock);
	return n;
}
