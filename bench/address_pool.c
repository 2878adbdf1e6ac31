#include "address_pool.h"

#include <curl/curl.h>
#include <jansson.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/clock.h"
#include "base/str.h"
#include "sync_http.h"

#define ADDR_MAX 64
#define ASK_MS	 1000
#define RETRY_MS 200
#define POLL_MS	 20

typedef struct {
	char addr[ADDR_MAX][ADDRESS_BYTES];
	size_t n;
} list_t;

struct address_pool {
	pthread_mutex_t lock;
	list_t known;
	list_t ask;
	bool asks;
	deadline_t expires;
	atomic_bool stop;
	pthread_t thread;
};

static void list_add(list_t *l, const char *addr)
{
	if (l->n == ADDR_MAX || strlen(addr) >= ADDRESS_BYTES)
		return;
	snprintf(l->addr[l->n++], ADDRESS_BYTES, "%s", addr);
}

static void list_parse(list_t *l, const char *text)
{
	AUTO_FREE char *copy = str_dup(str_c(text));
	char *save = NULL;

	for (char *p = strtok_r(copy, ",", &save); p; p = strtok_r(NULL, ",", &save))
		list_add(l, p);
}

/** Reads an answer of GET /v1/addresses. */
static status_t read_answer(const char *body, list_t *out, int64_t *valid_ms)
{
	json_t *j = json_loads(body, 0, NULL);
	json_t *all = json_object_get(j, "addresses");
	json_t *one;
	size_t i;

	*valid_ms = json_integer_value(json_object_get(j, "valid_ms"));
	json_array_foreach(all, i, one)
	{
		const char *addr = json_string_value(json_object_get(one, "addr"));

		if (addr)
			list_add(out, addr);
	}
	json_decref(j);
	return out->n ? STATUS_OK : STATUS_UNAVAILABLE;
}

static status_t ask_one(address_pool_t *a, const char *addr)
{
	AUTO_BUF url = {0};
	AUTO_BUF body = {0};
	list_t got = {0};
	int64_t valid_ms = 0;
	int64_t asked = clock_now_ms();

	buf_addf(&url, "http://%s/v1/addresses", addr);
	if (sync_http_get(url.p, NULL, ASK_MS, &body) != 200)
		return STATUS_UNAVAILABLE;
	if (read_answer(body.p ? body.p : "", &got, &valid_ms) != STATUS_OK)
		return STATUS_UNAVAILABLE;
	pthread_mutex_lock(&a->lock);
	a->known = got;
	a->expires = asked + valid_ms;
	pthread_mutex_unlock(&a->lock);
	return STATUS_OK;
}

static void ask_all(address_pool_t *a)
{
	for (size_t i = 0; i < a->ask.n; i++) {
		if (ask_one(a, a->ask.addr[i]) == STATUS_OK)
			return;
	}
	a->expires = clock_now_ms() + RETRY_MS;
}

static void *refresh(void *ctx)
{
	address_pool_t *a = ctx;

	while (!atomic_load(&a->stop)) {
		if (clock_now_ms() >= a->expires)
			ask_all(a);
		clock_sleep_ms(POLL_MS);
	}
	return NULL;
}

address_pool_t *address_pool_new(const char *list, const char *ask)
{
	address_pool_t *a = mem_new(sizeof(*a));

	pthread_mutex_init(&a->lock, NULL);
	if (list)
		list_parse(&a->known, list);
	if (!ask)
		return a;
	a->asks = true;
	list_parse(&a->ask, ask);
	ask_all(a);
	pthread_create(&a->thread, NULL, refresh, a);
	return a;
}

void address_pool_free(address_pool_t *a)
{
	if (!a)
		return;
	atomic_store(&a->stop, true);
	if (a->asks)
		pthread_join(a->thread, NULL);
	pthread_mutex_destroy(&a->lock);
	free(a);
}

status_t address_pool_pick(address_pool_t *a, unsigned long rnd, char out[ADDRESS_BYTES])
{
	status_t st = STATUS_UNAVAILABLE;

	pthread_mutex_lock(&a->lock);
	if (a->known.n) {
		memcpy(out, a->known.addr[rnd % a->known.n], ADDRESS_BYTES);
		st = STATUS_OK;
	}
	pthread_mutex_unlock(&a->lock);
	return st;
}
