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

#define ADDRESSES_MAX	 64
#define QUERY_TIMEOUT_MS 1000
#define RETRY_DELAY_MS	 200
#define EXPIRY_CHECK_MS	 20

typedef struct {
	char addr[ADDRESSES_MAX][ADDRESS_BYTES];
	size_t n;
} addr_list_t;

struct address_pool {
	pthread_mutex_t lock;
	addr_list_t addresses;
	addr_list_t sources;
	bool refreshes; /* a thread is running */
	deadline_t expires_at; /* used by the thread only, once it runs */
	atomic_bool stop;
	pthread_t thread;
};

static void add_address(addr_list_t *l, const char *addr)
{
	if (l->n == ADDRESSES_MAX || strlen(addr) >= ADDRESS_BYTES)
		return;
	snprintf(l->addr[l->n++], ADDRESS_BYTES, "%s", addr);
}

static void parse_addresses(addr_list_t *l, const char *text)
{
	AUTO_FREE char *copy = str_dup(str_c(text));
	char *save = NULL;

	for (char *p = strtok_r(copy, ",", &save); p; p = strtok_r(NULL, ",", &save))
		add_address(l, p);
}

/* Parses the body of a response to GET /v1/addresses. */
static status_t parse_response(const char *body, addr_list_t *out, int64_t *valid_ms)
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
			add_address(out, addr);
	}
	json_decref(j);
	return out->n ? STATUS_OK : STATUS_UNAVAILABLE;
}

static status_t query_entry(address_pool_t *a, const char *addr)
{
	AUTO_BUF url = {0};
	AUTO_BUF body = {0};
	addr_list_t received = {0};
	int64_t valid_ms = 0;
	int64_t sent_at = clock_now_ms();

	buf_addf(&url, "http://%s/v1/addresses", addr);
	if (sync_http_get(url.p, NULL, QUERY_TIMEOUT_MS, &body) != 200)
		return STATUS_UNAVAILABLE;
	if (parse_response(body.p ? body.p : "", &received, &valid_ms) != STATUS_OK)
		return STATUS_UNAVAILABLE;
	pthread_mutex_lock(&a->lock);
	a->addresses = received;
	a->expires_at = sent_at + valid_ms;
	pthread_mutex_unlock(&a->lock);
	return STATUS_OK;
}

/* Takes the list of the first source that answers; if none does, schedules a retry. */
static void refresh_addresses(address_pool_t *a)
{
	for (size_t i = 0; i < a->sources.n; i++) {
		if (query_entry(a, a->sources.addr[i]) == STATUS_OK)
			return;
	}
	a->expires_at = clock_now_ms() + RETRY_DELAY_MS;
}

static void *refresh_thread(void *ctx)
{
	address_pool_t *a = ctx;

	while (!atomic_load(&a->stop)) {
		if (clock_now_ms() >= a->expires_at)
			refresh_addresses(a);
		clock_sleep_ms(EXPIRY_CHECK_MS);
	}
	return NULL;
}

address_pool_t *address_pool_new(const char *list, const char *sources)
{
	address_pool_t *a = mem_new(sizeof(*a));

	pthread_mutex_init(&a->lock, NULL);
	if (list)
		parse_addresses(&a->addresses, list);
	if (!sources)
		return a;
	a->refreshes = true;
	parse_addresses(&a->sources, sources);
	refresh_addresses(a);
	pthread_create(&a->thread, NULL, refresh_thread, a);
	return a;
}

void address_pool_free(address_pool_t *a)
{
	if (!a)
		return;
	atomic_store(&a->stop, true);
	if (a->refreshes)
		pthread_join(a->thread, NULL);
	pthread_mutex_destroy(&a->lock);
	free(a);
}

status_t address_pool_pick(address_pool_t *a, unsigned long rnd, char out[ADDRESS_BYTES])
{
	status_t st = STATUS_UNAVAILABLE;

	pthread_mutex_lock(&a->lock);
	if (a->addresses.n) {
		memcpy(out, a->addresses.addr[rnd % a->addresses.n], ADDRESS_BYTES);
		st = STATUS_OK;
	}
	pthread_mutex_unlock(&a->lock);
	return st;
}
