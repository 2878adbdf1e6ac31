#include "entry/fi.h"

#include "entry/rq.h"

#define BLOCK_BYTES 4096

static ssize_t read_stream(void *ctx, uint64_t offset, char *out, size_t max)
{
	size_t n = rq_read(ctx, out, max);

	return n ? (ssize_t)n : (ssize_t)U_STREAM_END;
}

static void free_stream(void *ctx)
{
	rq_close(ctx);
}

static void reply_whole(fi_call_t *c, rq_t *r)
{
	rq_outcome_t o;

	rq_wait_end(r, &o);
	if (o.ok)
		hs_json(c->res, 200, o.result);
	else
		hs_error_json(c->res, o.http_status, o.result, o.retry_after_ms);
}

void fi_complete(fi_call_t *c, const fi_step_t *next)
{
	json_t *prompt = json_object_get(c->json, "prompt");
	const rq_options_t o = {
		.en = c->en,
		.caller = c->caller,
		.key = str_c(c->key),
		.service = str_c(c->service->name),
		.model = str_c(c->service->model ? c->service->model : c->service->name),
		.prompt = {json_string_value(prompt), json_string_length(prompt)},
		.max_tokens = (unsigned)json_integer_value(json_object_get(c->json, "max_tokens")),
		.deadline = c->deadline,
		.span = &c->span};
	rq_t *r = rq_start(&o);

	/* From here on the request is answered for by its own thread. */
	c->admitted = false;
	c->registered = false;
	if (!json_is_true(json_object_get(c->json, "stream")) || !rq_wait_first(r)) {
		reply_whole(c, r);
		rq_unref(r);
		return;
	}
	rq_open(r);
	u_map_put(c->res->map_header, "Content-Type", "text/event-stream");
	u_map_put(c->res->map_header, "Cache-Control", "no-store");
	ulfius_set_stream_response(c->res, 200, read_stream, free_stream, U_STREAM_SIZE_UNKNOWN,
				   BLOCK_BYTES, r);
}
