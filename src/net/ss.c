#include "net/ss.h"

#include "net/hp.h"

static str_t after(str_t line, str_t prefix)
{
	str_t rest = {line.p + prefix.n, line.n - prefix.n};

	if (rest.n && rest.p[0] == ' ')
		rest = (str_t){rest.p + 1, rest.n - 1};
	return rest;
}

static void take_line(ss_event_t *e, str_t line)
{
	if (str_starts(line, STR("event:"))) {
		e->name = after(line, STR("event:"));
	} else if (str_starts(line, STR("id:"))) {
		e->id = hp_number(after(line, STR("id:")));
	} else if (str_starts(line, STR("data:"))) {
		e->data = after(line, STR("data:"));
		e->has_data = true;
	}
}

static bool give(str_t raw, ss_callback_t event, void *ctx)
{
	ss_event_t e = {.raw = raw, .name = {"", 0}, .data = {"", 0}, .id = -1};
	str_t left = raw;

	while (left.n) {
		long nl = str_find(left, STR("\n"));
		size_t n = nl < 0 ? left.n : (size_t)nl;
		str_t line = {left.p, n};

		if (line.n && line.p[line.n - 1] == '\r')
			line.n--;
		take_line(&e, line);
		n += nl < 0 ? 0 : 1;
		left = (str_t){left.p + n, left.n - n};
	}
	return event(ctx, &e);
}

bool ss_feed(ss_t *s, str_t bytes, ss_callback_t event, void *ctx)
{
	size_t used = 0;
	bool more = true;

	buf_add(&s->pending, bytes);
	while (more) {
		str_t rest = {s->pending.p + used, s->pending.n - used};
		long end = str_find(rest, STR("\n\n"));
		long crlf = str_find(rest, STR("\n\r\n"));
		size_t n;

		if (end < 0 && crlf < 0)
			break;
		n = crlf < 0 || (end >= 0 && end < crlf) ? (size_t)end + 2 : (size_t)crlf + 3;
		more = give((str_t){rest.p, n}, event, ctx);
		used += n;
	}
	buf_drop(&s->pending, used);
	return more;
}

void ss_free(ss_t *s)
{
	buf_free(&s->pending);
}
