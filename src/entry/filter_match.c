#include "entry/filter.h"

#include <string.h>

#define TOKENS_MAX		1000000
#define UPSTREAM_PATH_MAX_BYTES 384

static bool is_valid_completion(filter_call_t *c)
{
	json_t *prompt = json_object_get(c->body_json, "prompt");
	json_t *max = json_object_get(c->body_json, "max_tokens");

	return json_is_string(json_object_get(c->body_json, "model")) && json_is_string(prompt) &&
	       json_is_integer(max) && json_integer_value(max) >= 1 &&
	       json_integer_value(max) <= TOKENS_MAX;
}

static void set_deadline(filter_call_t *c)
{
	int64_t left = httpd_timeout_ms(httpd_header(c->req, "X-Deadline-Ms"),
					c->service->online_deadline_ms);

	c->deadline = clock_now_ms() + left;
}

void filter_match_model(filter_call_t *c, const filter_step_t *next)
{
	str_t body = httpd_body(c->req);

	c->body_json = json_loadb(body.p, body.n, JSON_REJECT_DUPLICATES, NULL);
	if (!is_valid_completion(c)) {
		filter_refuse(
			c, 400, "bad_request",
			STR("the body must be a JSON object with model, prompt and max_tokens"), 0);
		return;
	}
	c->service = config_find_service(
		c->config->config,
		str_c(json_string_value(json_object_get(c->body_json, "model"))));
	if (!c->service || c->service->kind != CONFIG_ENGINE) {
		filter_refuse(c, 404, "no_such_service", STR("no model service of that name"), 0);
		return;
	}
	c->upstream_path = STR("/v1/completions");
	set_deadline(c);
	filter_next(c, next);
}

void filter_match_plain(filter_call_t *c, const filter_step_t *next)
{
	str_t name = httpd_param(c->req, "service");
	long at = str_find(str_c(c->req->url_path), STR("/v1/services/"));
	const char *rest = at < 0 ? NULL : c->req->url_path + at + strlen("/v1/services/") + name.n;

	c->service = config_find_service(c->config->config, name);
	if (!rest || !c->service || c->service->kind != CONFIG_PLAIN) {
		filter_refuse(c, 404, "no_such_service", STR("no plain service of that name"), 0);
		return;
	}
	c->upstream_path = str_c(*rest ? rest : "/");
	if (c->upstream_path.n > UPSTREAM_PATH_MAX_BYTES || !httpd_token_valid(c->upstream_path)) {
		filter_refuse(c, 400, "bad_path",
			      STR("the path is too long or not printable ASCII"), 0);
		return;
	}
	set_deadline(c);
	filter_next(c, next);
}
