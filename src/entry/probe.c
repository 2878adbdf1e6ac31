#include "entry/probe.h"

#include <stdio.h>
#include <stdlib.h>

#define ROUND_INTERVAL_MS 200
#define GET_TIMEOUT_MS	  500
#define URL_BYTES	  256
#define STATE_INTERVAL_MS 500
/* Wait after a change of owner: an order of the previous owner may still reach an engine that does
 * not check fences. */
#define ORDER_SETTLE_MS 1500
#define HTTP_OK		200

typedef struct {
	entry_ctx_t *en;
	entry_config_t *config;
	probe_replica_t *replicas;
} probe_t;

json_t *probe_get_json(entry_ctx_t *en, const char *addr, const char *path)
{
	char url[URL_BYTES];
	AUTO_BUF body = {0};
	int status = 0;
	fetch_options_t o = {
		.method = "GET", .url = url, .deadline = clock_now_ms() + GET_TIMEOUT_MS};

	snprintf(url, sizeof(url), "http://%s%s", addr, path);
	if (fetch_sync(en->fetch_client, &o, &status, &body) != FETCH_FINISHED || status != HTTP_OK)
		return NULL;
	return json_loadb(body.p ? body.p : "", body.n, 0, NULL);
}

/* Returns the state of a replica, reset if its fence has changed. */
static probe_replica_t *get_replica(probe_t *p, const upstream_info_t *info,
				    const config_service_t *s)
{
	probe_replica_t *r = p->replicas;

	while (r && r->up != info->upstream)
		r = r->next;
	if (!r) {
		r = mem_new(sizeof(*r));
		r->up = info->upstream;
		r->next = p->replicas;
		p->replicas = r;
	}
	if (r->fence != info->fence) {
		r->fence = info->fence;
		r->prefixes_known = false;
		r->orders_from = clock_now_ms() + (s->checks_fencing ? 0 : ORDER_SETTLE_MS);
		r->next_state_read = 0;
	}
	return r;
}

static void read_load(entry_ctx_t *en, const upstream_info_t *info)
{
	json_t *j = probe_get_json(en, info->addr, "/v1/load");

	if (!j)
		return;
	upstream_engine_report(info->upstream,
			       (int)json_integer_value(json_object_get(j, "running")),
			       (int)json_integer_value(json_object_get(j, "waiting")),
			       (int)json_integer_value(json_object_get(j, "slots")));
	json_decref(j);
}

static bool probe_upstream(void *ctx, const upstream_info_t *info)
{
	probe_t *p = ctx;
	entry_ctx_t *en = p->en;
	const config_service_t *s = config_find_service(p->config->config, str_c(info->service));
	probe_replica_t *r;

	if (!info->replica || !s || info->state != WIRE_UPSTREAM_LIVE)
		return true;
	r = get_replica(p, info, s);
	if (en->settings.mode == ENTRY_MODE_ALONE || en->settings.mode == ENTRY_MODE_ALONE_CANCEL)
		read_load(en, info);
	probe_cache_events(en, info, r);
	if (en->settings.mode == ENTRY_MODE_OWNER && s->model &&
	    clock_now_ms() >= r->next_state_read && clock_now_ms() >= r->orders_from) {
		r->next_state_read = clock_now_ms() + STATE_INTERVAL_MS;
		probe_send_orders(en, info, p->config, s, r);
	}
	return true;
}

static void *probe_thread(void *arg)
{
	probe_t p = {.en = arg};

	for (;;) {
		p.config = entry_config_get(p.en->snapshot);
		if (p.config && entry_lease_valid(p.en->snapshot))
			upstream_each(p.en->upstreams, probe_upstream, &p);
		entry_config_put(p.config);
		clock_sleep_ms(ROUND_INTERVAL_MS);
	}
	return NULL;
}

void probe_start(entry_ctx_t *en)
{
	pthread_t t;

	if (pthread_create(&t, NULL, probe_thread, en) != 0)
		abort();
	pthread_detach(t);
}
