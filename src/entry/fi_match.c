#include "entry/fi.h"

#include <string.h>

#define TOKENS_MAX     1000000
#define PATH_MAX_BYTES 384

static bool valid_work(fi_call_t *c)
{
	json_t *prompt = json_object_get(c->json, "prompt");
	json_t *max = json_object_get(c->json, "max_tokens");

	return json_is_string(json_object_get(c->json, "model")) && json_is_string(prompt) &&
	       json_is_integer(max) && json_integer_value(max) >= 1 &&
	       json_integer_value(max) <= TOKENS_MAX;
}

static void set_deadline(fi_call_t *c)
{
	int64_t left =
		hs_ms_left(hs_header(c->req, "X-Deadline-Ms"), c->service->online_deadline_ms);

	c->deadline = clk_now_ms() + left;
}

void fi_match_model(fi_call_t *c, const fi_step_t *next)
{
	str_t body = hs_body(c->req);

	c->json = json_loadb(body.p, body.n, JSON_REJECT_DUPLICATES, NULL);
	if (!valid_work(c)) {
		fi_refuse(c, 400, "bad_request",
			  STR("needs a JSON object with model, prompt and max_tokens"), 0);
		return;
	}
	c->service = tx_service(c->conf->text,
				str_c(json_string_value(json_object_get(c->json, "model"))));
	if (!c->service || c->service->kind != TX_ENGINE) {
		fi_refuse(c, 404, "no_such_service", STR("no model service of that name"), 0);
		return;
	}
	c->path = STR("/v1/completions");
	set_deadline(c);
	fi_next(c, next);
}

void fi_match_plain(fi_call_t *c, const fi_step_t *next)
{
	str_t name = hs_param(c->req, "service");
	long at = str_find(str_c(c->req->url_path), STR("/v1/services/"));
	const char *rest = at < 0 ? NULL : c->req->url_path + at + strlen("/v1/services/") + name.n;

	c->service = tx_service(c->conf->text, name);
	if (!rest || !c->service || c->service->kind != TX_PLAIN) {
		fi_refuse(c, 404, "no_such_service", STR("no plain service of that name"), 0);
		return;
	}
	c->path = str_c(*rest ? rest : "/");
	if (c->path.n > PATH_MAX_BYTES || !hs_key_valid(c->path)) {
		fi_refuse(c, 400, "bad_path", STR("the path is too long or holds other bytes"), 0);
		return;
	}
	set_deadline(c);
	fi_next(c, next);
}
