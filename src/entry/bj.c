#include "entry/bj_impl.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include "base/lg.h"

static void spawn(void *(*f)(void *), void *arg)
{
	pthread_t t;

	if (pthread_create(&t, NULL, f, arg) != 0)
		abort();
	pthread_detach(t);
}

static void cond_init(pthread_cond_t *c)
{
	pthread_condattr_t attr;

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(c, &attr);
	pthread_condattr_destroy(&attr);
}

bj_t *bj_start(en_t *en)
{
	bj_t *b = mem_new(sizeof(*b));
	unsigned groups = cc_groups(en->cc);

	assert(groups <= BJ_GROUPS_MAX);
	b->en = en;
	pthread_mutex_init(&b->lock, NULL);
	cond_init(&b->fed);
	cond_init(&b->ended);
	spawn(bj_feed_thread, b);
	for (unsigned g = 1; g <= groups; g++) {
		bj_group_t *group = mem_new(sizeof(*group));

		*group = (bj_group_t){b, g};
		spawn(bj_group_thread, group);
	}
	return b;
}

static bool is_of(const bj_item_t *it, str_t caller, str_t job)
{
	return str_eq(str_c(it->caller), caller) && str_eq(str_c(it->job), job);
}

typedef struct {
	ro_t *ro;
	uint64_t stream;
} stop_t;

static void stop_all(stop_t *v, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		ro_stop(v[i].ro, v[i].stream);
		ro_unref(v[i].ro);
	}
	free(v);
}

void bj_cancel(bj_t *b, str_t caller, str_t job)
{
	bj_item_t *it;
	bj_item_t *next;
	stop_t *stops;
	size_t n = 0;

	pthread_mutex_lock(&b->lock);
	stops = mem_new(b->held * sizeof(*stops));
	DL_FOREACH_SAFE(b->waiting, it, next)
	{
		if (!is_of(it, caller, job))
			continue;
		DL_DELETE(b->waiting, it);
		bj_service(b, it->service)->waiting--;
		bj_item_end(b, it, false, AW_BLAME_NONE, STR("cancelled"));
	}
	DL_FOREACH (b->running, it) {
		if (!is_of(it, caller, job) || it->cancelled)
			continue;
		it->cancelled = true;
		if (it->stream)
			stops[n++] = (stop_t){ro_ref(it->ro), it->stream};
	}
	pthread_mutex_unlock(&b->lock);
	if (n)
		lg(LG_INFO, "job_items_cancelled", LG_S("key", job), LG_I("running", n));
	stop_all(stops, n);
}

void bj_drain(bj_t *b)
{
	bj_item_t *it;
	bj_item_t *next;

	pthread_mutex_lock(&b->lock);
	b->draining = true;
	DL_FOREACH_SAFE(b->waiting, it, next)
	{
		DL_DELETE(b->waiting, it);
		bj_service(b, it->service)->waiting--;
		bj_item_end(b, it, false, AW_BLAME_NONE, STR("its entry stops"));
	}
	pthread_mutex_unlock(&b->lock);
}

void bj_stop_running(bj_t *b)
{
	bj_item_t *it;
	stop_t *stops;
	size_t n = 0;

	pthread_mutex_lock(&b->lock);
	stops = mem_new(b->held * sizeof(*stops));
	DL_FOREACH (b->running, it) {
		if (it->stream)
			stops[n++] = (stop_t){ro_ref(it->ro), it->stream};
	}
	pthread_mutex_unlock(&b->lock);
	stop_all(stops, n);
}

size_t bj_held(bj_t *b)
{
	size_t n;

	pthread_mutex_lock(&b->lock);
	n = b->held;
	pthread_mutex_unlock(&b->lock);
	return n;
}
