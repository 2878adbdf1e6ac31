#include "entry/ec_sse.h"

static str_t after(str_t line, str_t prefix)
{
	str_t rest = {line.p + prefix.n, line.n - prefix.n};

	if (rest.n && rest.p[0] == ' ')
		rest = (str_t){rest.p + 1, rest.n - 1};
	return rest;
}

static bool give(str_t block, ec_sse_event_t event, void *ctx)
{
	str_t name = {"", 0};
	str_t data = {"", 0};
	bool any = false;

	while (block.n) {
		long nl = str_find(block, STR("\n"));
		size_t n = nl < 0 ? block.n : (size_t)nl;
		str_t line = {block.p, n};

		if (str_starts(line, STR("event:"))) {
			name = after(line, STR("event:"));
		} else if (str_starts(line, STR("data:"))) {
			data = after(line, STR("data:"));
			any = true;
		}
		n += nl < 0 ? 0 : 1;
		block = (str_t){block.p + n, block.n - n};
	}
	return !any || event(ctx, name, data);
}

bool ec_sse_feed(ec_sse_t *s, str_t bytes, ec_sse_event_t event, void *ctx)
{
	size_t used = 0;
	bool more = true;

	buf_add(&s->pending, bytes);
	while (more) {
		str_t rest = {s->pending.p + used, s->pending.n - used};
		long end = str_find(rest, STR("\n\n"));

		if (end < 0)
			break;
		more = give((str_t){rest.p, (size_t)end}, event, ctx);
		used += (size_t)end + 2;
	}
	buf_drop(&s->pending, used);
	return more;
}

void ec_sse_free(ec_sse_t *s)
{
	buf_free(&s->pending);
}
