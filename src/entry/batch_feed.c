#include "entry/batch_internal.h"

#include <assert.h>
#include <string.h>
#include <utlist.h>
#include "base/metric.h"

#define FEED_INTERVAL_MS 5
#define NS_PER_MS	 1000000
#define NS_PER_S	 1000000000

batch_service_t *batch_service_get(batch_runner_t *b, const char *name)
{
	for (size_t i = 0; i < b->nservices; i++)
		if (strcmp(b->services[i].name, name) == 0)
			return &b->services[i];
	assert(b->nservices < BATCH_SERVICES_MAX);
	b->services[b->nservices].name = str_dup(str_c(name));
	return &b->services[b->nservices++];
}

/* True if the item may be offered to the replica now. An item that must run alone is offered
 * whatever the headroom, and after a refusal only to the replica that is then reserved for it
 * (reserve_replica). Each refused offer makes batch_item_run preempt a batch stream and can keep
 * the scheduler from starting others for a while (owner_stream_t.alone), until the replica is
 * empty. A request whose entry was lost needs no batch headroom, because it runs in the online
 * class. */
static bool may_offer(const batch_item_t *it, const upstream_t *u, bool has_headroom, int64_t now)
{
	if (it->not_before > now)
		return false;
	if (it->alone)
		return !it->reserved || it->reserved == u || it->reserved_until <= now;
	return has_headroom || it->job[0] == 0;
}

/* Removes the waiting item with the earliest deadline among those that may be offered. */
static batch_item_t *take_waiting_item(batch_runner_t *b, const upstream_info_t *info,
				       bool has_headroom)
{
	const char *service = info->service;
	int64_t now = clock_now_ms();
	batch_item_t *it;

	pthread_mutex_lock(&b->lock);
	DL_FOREACH (b->waiting, it) {
		if (strcmp(it->service, service) == 0 &&
		    may_offer(it, info->upstream, has_headroom, now))
			break;
	}
	if (it) {
		DL_DELETE(b->waiting, it);
		batch_service_get(b, service)->waiting--;
	}
	pthread_mutex_unlock(&b->lock);
	return it;
}

static unsigned get_headroom(batch_runner_t *b, const upstream_info_t *info,
			     const config_service_t *s)
{
	entry_mode_t mode = b->en->settings.mode;

	if (mode == ENTRY_MODE_ALONE || mode == ENTRY_MODE_ALONE_CANCEL)
		return upstream_reported_headroom(info->upstream, (unsigned)s->reserved_slots);
	return local_replica_batch_headroom(info->replica);
}

typedef struct {
	batch_runner_t *b;
	const config_t *config;
} feed_pass_t;

/* Offers items to one replica and adds its remaining headroom to that of the service. */
static bool feed_replica(void *ctx, const upstream_info_t *info)
{
	feed_pass_t *f = ctx;
	const config_service_t *s = config_find_service(f->config, str_c(info->service));
	batch_service_t *bs;
	unsigned headroom;
	batch_item_t *it;

	if (!s || !info->replica || info->state != WIRE_UPSTREAM_LIVE)
		return true;
	headroom = upstream_is_avoided(info->upstream) ? 0 : get_headroom(f->b, info, s);
	while ((it = take_waiting_item(f->b, info, headroom > 0)) != NULL) {
		upstream_count_sent(info->upstream);
		batch_item_run(it, info);
		headroom = upstream_is_avoided(info->upstream) ? 0 : get_headroom(f->b, info, s);
	}
	pthread_mutex_lock(&f->b->lock);
	bs = batch_service_get(f->b, info->service);
	bs->headroom += headroom;
	bs->slots += (unsigned)s->slots;
	pthread_mutex_unlock(&f->b->lock);
	return true;
}

/* Marks the plain services and clears the sums that feed_replica adds to. */
static void begin_feed_pass(batch_runner_t *b, const config_t *config)
{
	pthread_mutex_lock(&b->lock);
	for (size_t i = 0; i < config->nservices; i++)
		batch_service_get(b, config->services[i].name)->plain =
			config->services[i].kind == CONFIG_PLAIN;
	for (size_t i = 0; i < b->nservices; i++) {
		b->services[i].headroom = 0;
		b->services[i].slots = 0;
	}
	pthread_mutex_unlock(&b->lock);
}

static void wait_for_work(batch_runner_t *b)
{
	struct timespec until;

	clock_gettime(CLOCK_MONOTONIC, &until);
	until.tv_nsec += (long)FEED_INTERVAL_MS * NS_PER_MS;
	until.tv_sec += until.tv_nsec / NS_PER_S;
	until.tv_nsec %= NS_PER_S;
	pthread_mutex_lock(&b->lock);
	pthread_cond_timedwait(&b->work_ready, &b->lock, &until);
	pthread_mutex_unlock(&b->lock);
}

void *batch_feed_thread(void *arg)
{
	batch_runner_t *b = arg;

	for (;;) {
		AUTO_ENTRY_CONFIG *c = entry_config_get(b->en->snapshot);

		if (c && entry_lease_valid(b->en->snapshot)) {
			feed_pass_t f = {b, c->config};

			begin_feed_pass(b, c->config);
			upstream_each(b->en->upstreams, feed_replica, &f);
		}
		wait_for_work(b);
	}
	return NULL;
}
