#include "entry/probe.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include "base/log.h"
#include "base/metric.h"

#define URL_BYTES	 256
#define ORDER_TIMEOUT_MS 1000
#define MS_PER_MIN	 60000
#define HTTP_CONFLICT	 409

static bool json_equals(json_t *v, const char *want)
{
	const char *have = json_is_string(v) ? json_string_value(v) : "";

	return strcmp(have, want ? want : "") == 0;
}

/* True if the list contains the service's model, version and adapter. */
static bool lists_model(json_t *list, const config_service_t *s)
{
	for (size_t i = 0; i < json_array_size(list); i++) {
		json_t *m = json_array_get(list, i);

		if (json_equals(json_object_get(m, "model"), s->model) &&
		    json_equals(json_object_get(m, "version"), s->version) &&
		    json_equals(json_object_get(m, "adapter"), s->adapter))
			return true;
	}
	return false;
}

/* Returns true if this entry may order a load of weights now. The config limits the rate of the
 * whole fleet; each entry gets an equal share. */
static bool take_weights_permit(entry_ctx_t *en, const entry_config_t *c)
{
	static deadline_t next; /* used by probe_thread only */
	AUTO_ENTRY_VIEW *v = entry_view_get(en->snapshot);
	int64_t entries = v && v->view.members.members_len ? v->view.members.members_len : 1;
	int64_t rate = c->config->weight_loads_per_min;

	if (rate <= 0)
		return true;
	if (clock_now_ms() < next)
		return false;
	next = clock_now_ms() + MS_PER_MIN * entries / rate;
	return true;
}

static void write_order(buf_t *b, const upstream_info_t *info, const config_service_t *s)
{
	buf_addf(b, "{\"fence\":%" PRIu64 ",\"op\":\"load\",\"model\":", info->fence);
	buf_add_json(b, str_c(s->model));
	buf_add(b, STR(",\"version\":"));
	buf_add_json(b, str_c(s->version));
	buf_add(b, STR(",\"adapter\":"));
	buf_add_json(b, str_c(s->adapter));
	buf_addc(b, '}');
}

static void send_order(entry_ctx_t *en, const upstream_info_t *info, const config_service_t *s)
{
	static const char *const headers[] = {"Content-Type: application/json", NULL};
	char url[URL_BYTES];
	AUTO_BUF body = {0};
	int status = 0;
	fetch_options_t o = {.method = "POST",
			     .url = url,
			     .headers = headers,
			     .new_connection = true,
			     .deadline = clock_now_ms() + ORDER_TIMEOUT_MS};

	snprintf(url, sizeof(url), "http://%s/v1/orders", info->addr);
	write_order(&body, info, s);
	o.body = str_buf(&body);
	fetch_sync(en->fetch_client, &o, &status, NULL);
	log_event(LOG_LEVEL_INFO, "order_sent", LOG_CSTR("upstream", info->id),
		  LOG_INT("fence", info->fence), LOG_CSTR("model", s->model),
		  LOG_CSTR("version", s->version ? s->version : ""), LOG_INT("status", status));
	METRIC_INC("auburn_orders_total");
	if (status == HTTP_CONFLICT) /* the fence is outdated */
		atomic_store(&en->view_stale, true);
}

void probe_send_orders(entry_ctx_t *en, const upstream_info_t *info, const entry_config_t *c,
		       const config_service_t *s, probe_replica_t *r)
{
	json_t *j = probe_get_json(en, info->addr, "/v1/state");
	bool wanted = j && !lists_model(json_object_get(j, "loaded"), s) &&
		      !lists_model(json_object_get(j, "loading"), s);

	json_decref(j);
	if (wanted && entry_lease_valid(en->snapshot) && take_weights_permit(en, c))
		send_order(en, info, s);
}
