/* auburn-fake-engine: settings and HTTP API of the fake model engine. */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include "fake_common.h"
#include "fake_engine.h"

#define MAX_TIME_US    60000000
#define MAX_TIME_MS    3600000
#define MAX_TOKENS     1000000
#define DEFAULT_TOKENS 16
#define STREAM_BLOCK   4096
#define DIE_EXIT       9

static status_t configure(void *ctx, const toml_doc_t *c)
{
	fake_engine_settings_t *s = &((fake_engine_t *)ctx)->settings;
	const toml_key_t keys[] = {
		{"listen", TOML_STR, true, 1, 64, &s->listen},
		{"name", TOML_STR, false, 0, 64, &s->name},
		{"weight_store", TOML_STR, false, 0, 256, &s->weight_store},
		{"slots", TOML_INT, false, 1, 4096, &s->slots},
		{"step_base_us", TOML_INT, false, 0, MAX_TIME_US, &s->step_base_us},
		{"step_per_stream_us", TOML_INT, false, 0, MAX_TIME_US, &s->step_per_stream_us},
		{"prefill_us_per_token", TOML_INT, false, 0, MAX_TIME_US, &s->prefill_us_per_token},
		{"cache_prefixes", TOML_INT, false, 0, FAKE_CACHE_MAX_PREFIXES, &s->cache_prefixes},
		{"prefix_bytes", TOML_INT, false, 1, 65536, &s->prefix_bytes},
		{"report_lag_ms", TOML_INT, false, 0, MAX_TIME_MS, &s->report_lag_ms},
		{"event_lag_ms", TOML_INT, false, 0, MAX_TIME_MS, &s->event_lag_ms},
		{"event_gap_percent", TOML_INT, false, 0, 100, &s->event_gap_percent},
		{"load_ms", TOML_INT, false, 0, MAX_TIME_MS, &s->load_ms},
		{"seed", TOML_INT, false, 0, UINT32_MAX, &s->seed},
		{"fencing", TOML_BOOL, false, 0, 0, &s->fencing},
		{NULL, TOML_STR, false, 0, 0, NULL},
	};
	status_t st = toml_read(c, toml_root(c), keys, NULL);

	return st == STATUS_OK ? fake_check_address(c, "listen", s->listen) : st;
}

static int reply_old_fence(fake_engine_t *e, struct _u_response *r)
{
	return fake_reply(r, 409,
			  json_pack("{s:s,s:I}", "error", "old fence", "fence",
				    (json_int_t)fake_orders_fence(&e->orders)));
}

static ssize_t read_stream(void *ctx, uint64_t offset, char *out, size_t max)
{
	long n = fake_stream_read(ctx, out, max);

	if (n > 0)
		return n;
	return n == 0 ? U_STREAM_END : U_STREAM_ERROR;
}

static void close_stream(void *ctx)
{
	fake_stream_free(ctx);
}

static str_t json_member(const json_t *o, const char *key)
{
	const json_t *v = json_object_get(o, key);

	return (str_t){json_string_value(v), json_string_length(v)};
}

static int handle_completion(const struct _u_request *q, struct _u_response *r, void *ctx)
{
	fake_engine_t *e = ctx;
	AUTO_JSON *body = fake_request_json(q);
	const fake_stream_options_t o = {
		.id = json_member(body, "request_id"),
		.prompt = json_member(body, "prompt"),
		.resume_from = fake_json_int(body, "resume_from", 0),
		.max_tokens = fake_json_int(body, "max_tokens", DEFAULT_TOKENS),
		.socket = fake_http_socket(q),
	};

	if (!o.id.n || !o.prompt.p)
		return fake_reply_error(r, 400, "request_id and prompt are needed");
	if (o.max_tokens < 0 || o.max_tokens > MAX_TOKENS || o.resume_from < 0 ||
	    o.resume_from > o.max_tokens)
		return fake_reply_error(r, 400, "max_tokens or resume_from is out of bounds");
	if (!fake_orders_check_fence(&e->orders, fake_json_int(body, "fence", -1)))
		return reply_old_fence(e, r);
	if (str_find(o.prompt, STR("{never}")) >= 0)
		return fake_reply_error(r, 422, "the prompt can't be completed");
	u_map_put(r->map_header, "Content-Type", "text/event-stream");
	ulfius_set_stream_response(r, 200, read_stream, close_stream, U_STREAM_SIZE_UNKNOWN,
				   STREAM_BLOCK, fake_stream_new(e, &o));
	return U_CALLBACK_COMPLETE;
}

static int handle_cancel(const struct _u_request *q, struct _u_response *r, void *ctx)
{
	AUTO_JSON *body = fake_request_json(q);
	str_t id = json_member(body, "request_id");

	if (!id.p)
		return fake_reply_error(r, 400, "request_id is needed");
	return fake_reply(r, 200, json_pack("{s:b}", "cancelled", fake_engine_cancel(ctx, id)));
}

static int handle_load(const struct _u_request *q, struct _u_response *r, void *ctx)
{
	fake_engine_t *e = ctx;
	int64_t lag_ms = e->settings.report_lag_ms;
	fake_report_sample_t s;

	pthread_mutex_lock(&e->lock);
	s = fake_report_at(&e->report, lag_ms);
	pthread_mutex_unlock(&e->lock);
	return fake_reply(r, 200,
			  json_pack("{s:I,s:I,s:I,s:I,s:I}", "running", (json_int_t)s.running,
				    "waiting", (json_int_t)s.waiting, "slots",
				    (json_int_t)e->settings.slots, "step_us", (json_int_t)s.step_us,
				    "age_ms", (json_int_t)lag_ms));
}

static int handle_cache_events(const struct _u_request *q, struct _u_response *r, void *ctx)
{
	fake_engine_t *e = ctx;
	json_t *body;

	pthread_mutex_lock(&e->lock);
	body = fake_cache_events_json(&e->cache, fake_query_int(q, "after", 0),
				      e->settings.event_lag_ms);
	pthread_mutex_unlock(&e->lock);
	return fake_reply(r, 200, body);
}

static int handle_cache(const struct _u_request *q, struct _u_response *r, void *ctx)
{
	fake_engine_t *e = ctx;
	json_t *body;

	pthread_mutex_lock(&e->lock);
	body = fake_cache_json(&e->cache);
	pthread_mutex_unlock(&e->lock);
	return fake_reply(r, 200, body);
}

static int handle_orders(const struct _u_request *q, struct _u_response *r, void *ctx)
{
	fake_engine_t *e = ctx;
	AUTO_JSON *body = fake_request_json(q);
	bool load = strcmp(fake_json_str(body, "op"), "load") == 0;
	bool role = strcmp(fake_json_str(body, "op"), "role") == 0;

	if (!(load && *fake_json_str(body, "model")) && !(role && *fake_json_str(body, "role")))
		return fake_reply_error(r, 400, "not an order");
	if (!fake_orders_check_fence(&e->orders, fake_json_int(body, "fence", -1)))
		return reply_old_fence(e, r);
	if (load)
		fake_orders_queue_load(&e->orders, fake_json_str(body, "model"),
				       fake_json_str(body, "version"),
				       fake_json_str(body, "adapter"));
	else
		fake_orders_set_role(&e->orders, fake_json_str(body, "role"));
	return fake_reply(r, 202, json_pack("{s:b}", "accepted", 1));
}

static int handle_state(const struct _u_request *q, struct _u_response *r, void *ctx)
{
	fake_engine_t *e = ctx;

	return fake_reply(r, 200, fake_orders_json(&e->orders));
}

static int handle_counts(const struct _u_request *q, struct _u_response *r, void *ctx)
{
	fake_engine_t *e = ctx;
	const fake_counts_t *c = &e->counts;
	json_t *body;

	pthread_mutex_lock(&e->lock);
	body = json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "started", (json_int_t)c->started,
			 "finished", (json_int_t)c->finished, "cancelled", (json_int_t)c->cancelled,
			 "max_running", (json_int_t)c->max_running, "max_waiting",
			 (json_int_t)c->max_waiting, "tokens", (json_int_t)c->tokens,
			 "prefill_tokens", (json_int_t)c->prefill_tokens, "prefix_hits",
			 (json_int_t)c->prefix_hits);
	if (fake_query_int(q, "by_request", 0))
		json_object_set_new(body, "by_request", json_deep_copy(c->by_request));
	pthread_mutex_unlock(&e->lock);
	return fake_reply(r, 200, body);
}

static int handle_fault(const struct _u_request *q, struct _u_response *r, void *ctx)
{
	fake_engine_t *e = ctx;
	fake_faults_t *f = &e->faults;
	AUTO_JSON *body = fake_request_json(q);

	if (!body)
		return fake_reply_error(r, 400, "not a JSON object");
	if (fake_json_bool(body, "die"))
		_exit(DIE_EXIT);
	pthread_mutex_lock(&e->lock);
	f->stall = fake_json_int(body, "stall", f->stall);
	f->cross = fake_json_int(body, "cross", f->cross);
	f->lose = fake_json_int(body, "lose", f->lose);
	f->late_ms = fake_json_int(body, "late_ms", f->late_ms);
	if (json_object_get(body, "freeze_ms"))
		f->frozen_until = clock_now_ms() + fake_json_int(body, "freeze_ms", 0);
	pthread_mutex_unlock(&e->lock);
	return fake_reply(r, 200, json_object());
}

static status_t start(void *ctx)
{
	static const fake_route_t routes[] = {
		{"POST", "/v1/completions", handle_completion},
		{"POST", "/v1/cancel", handle_cancel},
		{"GET", "/v1/load", handle_load},
		{"GET", "/v1/cache_events", handle_cache_events},
		{"GET", "/v1/cache", handle_cache},
		{"POST", "/v1/orders", handle_orders},
		{"GET", "/v1/state", handle_state},
		{"GET", "/v1/counts", handle_counts},
		{"POST", "/fault", handle_fault},
		{NULL, NULL, NULL},
	};
	fake_engine_t *e = ctx;

	fake_engine_start(e);
	return fake_http_start(&(fake_http_options_t){e->settings.listen, routes, NULL, e});
}

int main(int argc, char **argv)
{
	static fake_engine_t e = {
		.settings =
			{
				.slots = 8,
				.step_base_us = 20000,
				.step_per_stream_us = 1000,
				.prefill_us_per_token = 200,
				.cache_prefixes = 64,
				.prefix_bytes = 256,
				.report_lag_ms = 500,
				.event_lag_ms = 300,
				.event_gap_percent = 5,
				.load_ms = 500,
				.seed = 1,
				.fencing = true,
			},
	};
	const fake_program_t program = {"auburn-fake-engine", "fake replica of a model engine",
					configure, start, &e};

	return fake_main(argc, argv, &program);
}
