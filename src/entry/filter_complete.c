#include "entry/filter.h"

#include "entry/completion.h"

#define BLOCK_BYTES 4096

static ssize_t read_events(void *ctx, uint64_t offset, char *out, size_t max)
{
	size_t n = completion_read(ctx, out, max);

	return n ? (ssize_t)n : (ssize_t)U_STREAM_END;
}

static void close_stream(void *ctx)
{
	completion_stream_close(ctx);
}

static void reply_result(filter_call_t *c, completion_t *r)
{
	completion_outcome_t o;

	completion_wait_end(r, &o);
	if (o.ok)
		httpd_json(c->res, 200, o.result);
	else
		httpd_error_json(c->res, o.http_status, o.result, o.retry_after_ms);
}

void filter_complete(filter_call_t *c, const filter_step_t *next)
{
	json_t *prompt = json_object_get(c->body_json, "prompt");
	const completion_options_t o = {
		.en = c->en,
		.caller = c->caller,
		.key = str_c(c->key),
		.service = str_c(c->service->name),
		.model = str_c(c->service->model ? c->service->model : c->service->name),
		.prompt = {json_string_value(prompt), json_string_length(prompt)},
		.max_tokens =
			(unsigned)json_integer_value(json_object_get(c->body_json, "max_tokens")),
		.deadline = c->deadline,
		.span = &c->span};
	completion_t *r = completion_start(&o);

	/* From now on the completion's thread releases the key and the admission count. */
	c->admitted = false;
	c->key_held = false;
	if (!json_is_true(json_object_get(c->body_json, "stream")) || !completion_wait_first(r)) {
		reply_result(c, r);
		completion_unref(r);
		return;
	}
	completion_stream_open(r);
	u_map_put(c->res->map_header, "Content-Type", "text/event-stream");
	u_map_put(c->res->map_header, "Cache-Control", "no-store");
	ulfius_set_stream_response(c->res, 200, read_events, close_stream, U_STREAM_SIZE_UNKNOWN,
				   BLOCK_BYTES, r);
}
