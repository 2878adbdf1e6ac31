/* auburn-fake-service: fakes a plain service that counts how often each idempotency key was run. */
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include "base/clock.h"
#include "fake_common.h"

#define MAX_DELAY_MS 600000

typedef struct {
	char *listen;
	char *name; /* accepted in the settings, not used */
	pthread_mutex_t lock;
	int64_t delay_ms;
	int64_t lose; /* fault: how many of the next requests are run without a reply */
	int64_t fail; /* fault: how many of the next requests are refused with 503 */
	int64_t total; /* runs */
	json_t *keys; /* runs by key */
} service_t;

static status_t configure(void *ctx, const toml_doc_t *c)
{
	service_t *s = ctx;
	const toml_key_t keys[] = {
		{"listen", TOML_STR, true, 1, 64, &s->listen},
		{"name", TOML_STR, false, 0, 64, &s->name},
		{"delay_ms", TOML_INT, false, 0, MAX_DELAY_MS, &s->delay_ms},
		{NULL, TOML_STR, false, 0, 0, NULL},
	};
	status_t st = toml_read(c, toml_root(c), keys, NULL);

	return st == STATUS_OK ? fake_check_address(c, "listen", s->listen) : st;
}

/* Returns true if the fault affects this request, and decreases the number of requests left. */
static bool take_fault(int64_t *left)
{
	if (*left <= 0)
		return false;
	(*left)--;
	return true;
}

static int64_t count_run(service_t *s, const char *key)
{
	int64_t n = fake_json_int(s->keys, key, 0) + 1;

	json_object_set_new(s->keys, key, json_integer(n));
	s->total++;
	return n;
}

/* Runs any POST request that matches no route, as a request to the service. */
static int handle_service_request(const struct _u_request *q, struct _u_response *r, void *ctx)
{
	service_t *s = ctx;
	const char *key = u_map_get_case(q->map_header, "Idempotency-Key");
	int64_t run;
	int64_t delay_ms;
	bool lose;

	if (strcmp(q->http_verb, "POST") != 0)
		return fake_reply_error(r, 404, "not found");
	pthread_mutex_lock(&s->lock);
	if (take_fault(&s->fail)) {
		pthread_mutex_unlock(&s->lock);
		return fake_reply_error(r, 503, "not run");
	}
	run = count_run(s, key ? key : "");
	lose = take_fault(&s->lose);
	delay_ms = s->delay_ms;
	pthread_mutex_unlock(&s->lock);
	clock_sleep_ms(delay_ms);
	if (lose)
		fake_http_drop(q);
	return fake_reply(
		r, 200,
		json_pack("{s:b,s:I,s:s}", "ok", 1, "run", (json_int_t)run, "key", key ? key : ""));
}

static int handle_runs(const struct _u_request *q, struct _u_response *r, void *ctx)
{
	service_t *s = ctx;
	json_t *body;

	pthread_mutex_lock(&s->lock);
	body = json_pack("{s:I,s:o}", "total", (json_int_t)s->total, "keys",
			 json_deep_copy(s->keys));
	pthread_mutex_unlock(&s->lock);
	return fake_reply(r, 200, body);
}

static int handle_fault(const struct _u_request *q, struct _u_response *r, void *ctx)
{
	service_t *s = ctx;
	AUTO_JSON *body = fake_request_json(q);

	if (!body)
		return fake_reply_error(r, 400, "not a JSON object");
	pthread_mutex_lock(&s->lock);
	s->lose = fake_json_int(body, "lose", s->lose);
	s->fail = fake_json_int(body, "fail", s->fail);
	s->delay_ms = fake_json_int(body, "delay_ms", s->delay_ms);
	pthread_mutex_unlock(&s->lock);
	return fake_reply(r, 200, json_object());
}

static status_t start(void *ctx)
{
	static const fake_route_t routes[] = {
		{"GET", "/runs", handle_runs},
		{"POST", "/fault", handle_fault},
		{NULL, NULL, NULL},
	};
	service_t *s = ctx;

	s->keys = json_object();
	return fake_http_start(
		&(fake_http_options_t){s->listen, routes, handle_service_request, s});
}

int main(int argc, char **argv)
{
	service_t s = {.lock = PTHREAD_MUTEX_INITIALIZER, .delay_ms = 20};
	const fake_program_t program = {"auburn-fake-service", "fake plain service", configure,
					start, &s};

	return fake_main(argc, argv, &program);
}
