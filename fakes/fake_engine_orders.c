/* Orders of the fake engine: fencing, roles, and model loads, which one thread runs in order. */
#include <stdlib.h>
#include <string.h>
#include "base/clock.h"
#include "fake_common.h"
#include "fake_engine.h"

#define WEIGHT_RETRY_MS	 200
#define WEIGHT_TIMEOUT_S 30ul

static bool fetch_weights(const char *url)
{
	struct _u_request q;
	struct _u_response r;
	bool done;

	ulfius_init_request(&q);
	ulfius_init_response(&r);
	ulfius_set_request_properties(&q, U_OPT_HTTP_VERB, "GET", U_OPT_HTTP_URL, url,
				      U_OPT_TIMEOUT, WEIGHT_TIMEOUT_S, U_OPT_NONE);
	done = ulfius_send_http_request(&q, &r) == U_OK && r.status == 200;
	ulfius_clean_request(&q);
	ulfius_clean_response(&r);
	return done;
}

/* Fetches the weights, retrying until the weight store delivers, and takes load_ms in addition. */
static void load_model(const fake_engine_settings_t *s, const json_t *load)
{
	AUTO_BUF url = {0};

	if (s->weight_store && *s->weight_store) {
		buf_addf(&url, "%s/v1/weights/%s", s->weight_store, fake_json_str(load, "model"));
		while (!fetch_weights(url.p))
			clock_sleep_ms(WEIGHT_RETRY_MS);
	}
	clock_sleep_ms(s->load_ms);
}

static bool same_model_and_adapter(const json_t *a, const json_t *b)
{
	return strcmp(fake_json_str(a, "model"), fake_json_str(b, "model")) == 0 &&
	       strcmp(fake_json_str(a, "adapter"), fake_json_str(b, "adapter")) == 0;
}

/* A new version replaces the loaded version of the same model and adapter. */
static void record_loaded(fake_orders_t *o, json_t *load)
{
	size_t i = 0;

	while (i < json_array_size(o->loaded) &&
	       !same_model_and_adapter(json_array_get(o->loaded, i), load))
		i++;
	if (i < json_array_size(o->loaded))
		json_array_set(o->loaded, i, load);
	else
		json_array_append(o->loaded, load);
}

static void *load_thread(void *arg)
{
	fake_orders_t *o = arg;
	json_t *load;

	pthread_mutex_lock(&o->lock);
	for (;;) {
		while (!json_array_size(o->load_queue))
			pthread_cond_wait(&o->load_queued, &o->lock);
		load = json_array_get(o->load_queue, 0);
		pthread_mutex_unlock(&o->lock);
		load_model(o->settings, load);
		pthread_mutex_lock(&o->lock);
		record_loaded(o, load);
		json_array_remove(o->load_queue, 0);
	}
	return NULL;
}

void fake_orders_init(fake_orders_t *o, const fake_engine_settings_t *s)
{
	pthread_t t;

	pthread_mutex_init(&o->lock, NULL);
	pthread_cond_init(&o->load_queued, NULL);
	o->settings = s;
	o->role = str_dup(STR("mixed"));
	o->loaded = json_array();
	o->load_queue = json_array();
	if (pthread_create(&t, NULL, load_thread, o) != 0)
		abort();
	pthread_detach(t);
}

bool fake_orders_check_fence(fake_orders_t *o, int64_t fence)
{
	bool old;

	pthread_mutex_lock(&o->lock);
	old = fence >= 0 && fence < o->fence;
	if (fence > o->fence)
		o->fence = fence;
	pthread_mutex_unlock(&o->lock);
	return !(old && o->settings->fencing);
}

int64_t fake_orders_fence(fake_orders_t *o)
{
	int64_t fence;

	pthread_mutex_lock(&o->lock);
	fence = o->fence;
	pthread_mutex_unlock(&o->lock);
	return fence;
}

void fake_orders_queue_load(fake_orders_t *o, const char *model, const char *version,
			    const char *adapter)
{
	json_t *load =
		json_pack("{s:s,s:s,s:s}", "model", model, "version", version, "adapter", adapter);

	pthread_mutex_lock(&o->lock);
	json_array_append_new(o->load_queue, load);
	o->loads_total++;
	pthread_cond_signal(&o->load_queued);
	pthread_mutex_unlock(&o->lock);
}

void fake_orders_set_role(fake_orders_t *o, const char *role)
{
	pthread_mutex_lock(&o->lock);
	free(o->role);
	o->role = str_dup(str_c(role));
	pthread_mutex_unlock(&o->lock);
}

json_t *fake_orders_json(fake_orders_t *o)
{
	json_t *state;

	pthread_mutex_lock(&o->lock);
	state = json_pack("{s:I,s:s,s:o,s:o,s:I}", "fence", (json_int_t)o->fence, "role", o->role,
			  "loaded", json_deep_copy(o->loaded), "loading",
			  json_deep_copy(o->load_queue), "loads_total", (json_int_t)o->loads_total);
	pthread_mutex_unlock(&o->lock);
	return state;
}
