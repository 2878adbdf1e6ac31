/* auburn-fake-platform: fakes the platform's list of VMs, which lags behind, and its rate-limited
 * weight store. */
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include "base/clock.h"
#include "fake_common.h"

#define MAX_LAG_MS     3600000
#define MAX_RATE       100000
#define RATE_PERIOD_MS 60000

/* One version of the list; `older` links to the versions before. */
typedef struct version {
	int64_t since_ms;
	json_t *vms;
	struct version *older;
} version_t;

typedef struct {
	char *listen;
	int64_t lag_ms;
	int64_t weight_ms;
	int64_t weight_rate; /* per minute */
	pthread_mutex_t lock;
	version_t *newest;
	int64_t *weight_times_ms; /* ring buffer: when the last weight_rate downloads began */
	int64_t weights; /* downloads served */
	int64_t refused; /* downloads over the rate */
} platform_t;

static void add_version(platform_t *p, json_t *vms)
{
	version_t *v = mem_new(sizeof(*v));

	*v = (version_t){clock_now_ms(), vms, p->newest};
	p->newest = v;
}

static status_t read_vm(const toml_doc_t *c, const toml_table_t *t, json_t *vms)
{
	AUTO_FREE char *id = NULL;
	AUTO_FREE char *addr = NULL;
	AUTO_FREE char *zone = NULL;
	AUTO_FREE char *service = NULL;
	AUTO_FREE char *state = NULL;
	const toml_key_t keys[] = {
		{"id", TOML_STR, true, 1, 64, &id},
		{"addr", TOML_STR, true, 1, 64, &addr},
		{"zone", TOML_STR, true, 1, 64, &zone},
		{"service", TOML_STR, true, 1, 64, &service},
		{"state", TOML_STR, false, 1, 16, &state},
		{NULL, TOML_STR, false, 0, 0, NULL},
	};
	status_t st = toml_read(c, t, keys, NULL);

	if (st != STATUS_OK)
		return st;
	json_array_append_new(vms,
			      json_pack("{s:s,s:s,s:s,s:s,s:s}", "id", id, "addr", addr, "zone",
					zone, "service", service, "state", state ? state : "live"));
	return STATUS_OK;
}

static status_t configure(void *ctx, const toml_doc_t *c)
{
	static const char *const table_arrays[] = {"vm", NULL};
	platform_t *p = ctx;
	const toml_table_t *root = toml_root(c);
	const toml_key_t keys[] = {
		{"listen", TOML_STR, true, 1, 64, &p->listen},
		{"lag_ms", TOML_INT, false, 0, MAX_LAG_MS, &p->lag_ms},
		{"weight_ms", TOML_INT, false, 0, MAX_LAG_MS, &p->weight_ms},
		{"weight_rate", TOML_INT, false, 1, MAX_RATE, &p->weight_rate},
		{NULL, TOML_STR, false, 0, 0, NULL},
	};
	status_t st = toml_read(c, root, keys, table_arrays);
	json_t *vms = json_array();

	for (size_t i = 0; st == STATUS_OK && i < toml_table_count(root, "vm"); i++)
		st = read_vm(c, toml_table_at(root, "vm", i), vms);
	add_version(p, vms);
	return st == STATUS_OK ? fake_check_address(c, "listen", p->listen) : st;
}

static void free_older_versions(version_t *v)
{
	version_t *next;

	for (version_t *old = v->older; old; old = next) {
		next = old->older;
		json_decref(old->vms);
		free(old);
	}
	v->older = NULL;
}

/* Returns the newest version that is at least lag_ms old, or the first one if none is. Frees the
 * versions before it. */
static version_t *visible_version(platform_t *p)
{
	int64_t at = clock_now_ms() - p->lag_ms;
	version_t *v = p->newest;

	while (v->since_ms > at && v->older)
		v = v->older;
	free_older_versions(v);
	return v;
}

static int handle_get_vms(const struct _u_request *q, struct _u_response *r, void *ctx)
{
	platform_t *p = ctx;
	json_t *body;

	pthread_mutex_lock(&p->lock);
	body = json_pack("{s:o}", "vms", json_deep_copy(visible_version(p)->vms));
	pthread_mutex_unlock(&p->lock);
	return fake_reply(r, 200, body);
}

static int handle_put_vms(const struct _u_request *q, struct _u_response *r, void *ctx)
{
	platform_t *p = ctx;
	AUTO_JSON *body = fake_request_json(q);
	json_t *vms = json_object_get(body, "vms");

	if (!json_is_array(vms))
		return fake_reply_error(r, 400, "no list of VMs");
	pthread_mutex_lock(&p->lock);
	add_version(p, json_incref(vms));
	pthread_mutex_unlock(&p->lock);
	return fake_reply(r, 200, json_object());
}

/* Counts one download; returns false if it would exceed weight_rate within the last minute. */
static bool take_rate_quota(platform_t *p)
{
	int64_t now = clock_now_ms();
	int64_t *oldest = &p->weight_times_ms[p->weights % p->weight_rate];

	if (p->weights >= p->weight_rate && now - *oldest < RATE_PERIOD_MS) {
		p->refused++;
		return false;
	}
	*oldest = now;
	p->weights++;
	return true;
}

static int handle_weight(const struct _u_request *q, struct _u_response *r, void *ctx)
{
	platform_t *p = ctx;
	const char *name = u_map_get(q->map_url, "name");
	bool taken;

	pthread_mutex_lock(&p->lock);
	taken = take_rate_quota(p);
	pthread_mutex_unlock(&p->lock);
	if (!taken) {
		u_map_put(r->map_header, "Retry-After", "1");
		return fake_reply_error(r, 429, "over the rate");
	}
	clock_sleep_ms(p->weight_ms);
	return fake_reply(r, 200, json_pack("{s:s}", "name", name ? name : ""));
}

static int handle_counts(const struct _u_request *q, struct _u_response *r, void *ctx)
{
	platform_t *p = ctx;
	json_t *body;

	pthread_mutex_lock(&p->lock);
	body = json_pack("{s:I,s:I}", "weights", (json_int_t)p->weights, "refused",
			 (json_int_t)p->refused);
	pthread_mutex_unlock(&p->lock);
	return fake_reply(r, 200, body);
}

static status_t start(void *ctx)
{
	static const fake_route_t routes[] = {
		{"GET", "/v1/vms", handle_get_vms},
		{"PUT", "/v1/vms", handle_put_vms},
		{"GET", "/v1/weights/:name", handle_weight},
		{"GET", "/v1/counts", handle_counts},
		{NULL, NULL, NULL},
	};
	platform_t *p = ctx;

	p->weight_times_ms = mem_new((size_t)p->weight_rate * sizeof(*p->weight_times_ms));
	return fake_http_start(&(fake_http_options_t){p->listen, routes, NULL, p});
}

int main(int argc, char **argv)
{
	platform_t p = {
		.lock = PTHREAD_MUTEX_INITIALIZER,
		.lag_ms = 2000,
		.weight_ms = 50,
		.weight_rate = 60,
	};
	const fake_program_t program = {"auburn-fake-platform",
					"fake platform: list of VMs and weight store", configure,
					start, &p};

	return fake_main(argc, argv, &program);
}
