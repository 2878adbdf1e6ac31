#include "entry/batch_internal.h"

#include <assert.h>
#include <string.h>
#include <utlist.h>
#include "base/metric.h"

#define FEED_MS	  5
#define NS_PER_MS 1000000
#define NS_PER_S  1000000000

batch_service_t *batch_service_get(batch_runner_t *b, const char *name)
{
	for (size_t i = 0; i < b->nservices; i++)
		if (strcmp(b->services[i].name, name) == 0)
			return &b->services[i];
	assert(b->nservices < BATCH_SERVICES_MAX);
	b->services[b->nservices].name = str_dup(str_c(name));
	return &b->services[b->nservices++];
}

/* May it be offered to the replica? One that runs alone is offered to the same replica again and
 * again, whatever its room: the offer makes its owner empty it. */
static bool offered_to(const batch_item_t *it, const upstream_t *u, bool batch_room, int64_t now)
{
	if (it->not_before > now)
		return false;
	if (it->alone)
		return !it->reserved || it->reserved == u || it->reserved_until <= now;
	return batch_room || it->job[0] == 0;
}

/* Takes the waiting item that is due first of those that may be offered to the replica. */
static batch_item_t *take(batch_runner_t *b, const upstream_info_t *info, bool batch_room)
{
	const char *service = info->service;
	int64_t now = clock_now_ms();
	batch_item_t *it;

	pthread_mutex_lock(&b->lock);
	DL_FOREACH (b->waiting, it) {
		if (strcmp(it->service, service) == 0 &&
		    offered_to(it, info->upstream, batch_room, now))
			break;
	}
	if (it) {
		DL_DELETE(b->waiting, it);
		batch_service_get(b, service)->waiting--;
	}
	pthread_mutex_unlock(&b->lock);
	return it;
}

static unsigned room_of(batch_runner_t *b, const upstream_info_t *info, const config_service_t *s)
{
	entry_mode_t way = b->en->settings.mode;

	if (way == ENTRY_MODE_ALONE || way == ENTRY_MODE_ALONE_CANCEL)
		return upstream_reported_headroom(info->upstream, (unsigned)s->reserved_slots);
	return local_replica_batch_headroom(info->replica);
}

typedef struct {
	batch_runner_t *b;
	const config_t *text;
} feed_t;

static bool feed_one(void *ctx, const upstream_info_t *info)
{
	feed_t *f = ctx;
	const config_service_t *s = config_find_service(f->text, str_c(info->service));
	batch_service_t *bs;
	unsigned room;
	batch_item_t *it;

	if (!s || !info->replica || info->state != WIRE_UPSTREAM_LIVE)
		return true;
	room = upstream_is_avoided(info->upstream) ? 0 : room_of(f->b, info, s);
	while ((it = take(f->b, info, room > 0)) != NULL) {
		upstream_count_sent(info->upstream);
		batch_item_run(it, info);
		room = upstream_is_avoided(info->upstream) ? 0 : room_of(f->b, info, s);
	}
	pthread_mutex_lock(&f->b->lock);
	bs = batch_service_get(f->b, info->service);
	bs->headroom += room;
	bs->slots += (unsigned)s->slots;
	pthread_mutex_unlock(&f->b->lock);
	return true;
}

static void reset_rooms(batch_runner_t *b, const config_t *text)
{
	pthread_mutex_lock(&b->lock);
	for (size_t i = 0; i < text->nservices; i++)
		batch_service_get(b, text->services[i].name)->plain =
			text->services[i].kind == CONFIG_PLAIN;
	for (size_t i = 0; i < b->nservices; i++) {
		b->services[i].headroom = 0;
		b->services[i].slots = 0;
	}
	pthread_mutex_unlock(&b->lock);
}

static void wait_fed(batch_runner_t *b)
{
	struct timespec until;

	clock_gettime(CLOCK_MONOTONIC, &until);
	until.tv_nsec += (long)FEED_MS * NS_PER_MS;
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
			feed_t f = {b, c->config};

			reset_rooms(b, c->config);
			upstream_each(b->en->upstreams, feed_one, &f);
		}
		wait_fed(b);
	}
	return NULL;
}
