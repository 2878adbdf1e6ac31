#include "entry/bj_impl.h"

#include <assert.h>
#include <string.h>
#include <utlist.h>
#include "base/mx.h"

#define FEED_MS	  5
#define NS_PER_MS 1000000
#define NS_PER_S  1000000000

bj_service_t *bj_service(bj_t *b, const char *name)
{
	for (size_t i = 0; i < b->nservices; i++)
		if (strcmp(b->services[i].name, name) == 0)
			return &b->services[i];
	assert(b->nservices < BJ_SERVICES_MAX);
	b->services[b->nservices].name = str_dup(str_c(name));
	return &b->services[b->nservices++];
}

/* May it be offered to the replica? One that runs alone is offered to the same replica again and
 * again, whatever its room: the offer makes its owner empty it. */
static bool offered_to(const bj_item_t *it, const up_t *u, bool batch_room, int64_t now)
{
	if (it->not_before > now)
		return false;
	if (it->alone)
		return !it->pinned || it->pinned == u || it->pinned_until <= now;
	return batch_room || it->job[0] == 0;
}

/* Takes the waiting item that is due first of those that may be offered to the replica. */
static bj_item_t *take(bj_t *b, const up_info_t *info, bool batch_room)
{
	const char *service = info->service;
	int64_t now = clk_now_ms();
	bj_item_t *it;

	pthread_mutex_lock(&b->lock);
	DL_FOREACH (b->waiting, it) {
		if (strcmp(it->service, service) == 0 && offered_to(it, info->up, batch_room, now))
			break;
	}
	if (it) {
		DL_DELETE(b->waiting, it);
		bj_service(b, service)->waiting--;
	}
	pthread_mutex_unlock(&b->lock);
	return it;
}

static unsigned room_of(bj_t *b, const up_info_t *info, const tx_service_t *s)
{
	en_way_t way = b->en->set.way;

	if (way == EN_ALONE || way == EN_ALONE_CANCEL)
		return up_reported_room(info->up, (unsigned)s->kept_slots);
	return ro_batch_room(info->ro);
}

typedef struct {
	bj_t *b;
	const tx_text_t *text;
} feed_t;

static bool feed_one(void *ctx, const up_info_t *info)
{
	feed_t *f = ctx;
	const tx_service_t *s = tx_service(f->text, str_c(info->service));
	bj_service_t *bs;
	unsigned room;
	bj_item_t *it;

	if (!s || !info->ro || info->state != AW_UP_LIVE)
		return true;
	room = up_avoided(info->up) ? 0 : room_of(f->b, info, s);
	while ((it = take(f->b, info, room > 0)) != NULL) {
		up_count_sent(info->up);
		bj_item_run(it, info);
		room = up_avoided(info->up) ? 0 : room_of(f->b, info, s);
	}
	pthread_mutex_lock(&f->b->lock);
	bs = bj_service(f->b, info->service);
	bs->room += room;
	bs->slots += (unsigned)s->slots;
	pthread_mutex_unlock(&f->b->lock);
	return true;
}

static void reset_rooms(bj_t *b, const tx_text_t *text)
{
	pthread_mutex_lock(&b->lock);
	for (size_t i = 0; i < text->nservices; i++)
		bj_service(b, text->services[i].name)->plain = text->services[i].kind == TX_PLAIN;
	for (size_t i = 0; i < b->nservices; i++) {
		b->services[i].room = 0;
		b->services[i].slots = 0;
	}
	pthread_mutex_unlock(&b->lock);
}

static void wait_fed(bj_t *b)
{
	struct timespec until;

	clock_gettime(CLOCK_MONOTONIC, &until);
	until.tv_nsec += (long)FEED_MS * NS_PER_MS;
	until.tv_sec += until.tv_nsec / NS_PER_S;
	until.tv_nsec %= NS_PER_S;
	pthread_mutex_lock(&b->lock);
	pthread_cond_timedwait(&b->fed, &b->lock, &until);
	pthread_mutex_unlock(&b->lock);
}

void *bj_feed_thread(void *arg)
{
	bj_t *b = arg;

	for (;;) {
		AUTO_CONF *c = en_conf_get(b->en->snap);

		if (c && en_lease_valid(b->en->snap)) {
			feed_t f = {b, c->text};

			reset_rooms(b, c->text);
			up_each(b->en->ups, feed_one, &f);
		}
		wait_fed(b);
	}
	return NULL;
}
