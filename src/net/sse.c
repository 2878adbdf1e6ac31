#include "net/sse.h"

#include <string.h>

#include "net/http.h"

static str_t field_value(str_t line, str_t prefix)
{
	str_t rest = {line.p + prefix.n, line.n - prefix.n};

	if (rest.n && rest.p[0] == ' ')
		rest = (str_t){rest.p + 1, rest.n - 1};
	return rest;
}

/* Returns whether the line is a comment or a field that the format of events defines. */
static bool parse_line(sse_event_t *e, str_t line)
{
	if (str_starts(line, STR("event:"))) {
		e->name = field_value(line, STR("event:"));
	} else if (str_starts(line, STR("id:"))) {
		e->id = http_parse_number(field_value(line, STR("id:")));
	} else if (str_starts(line, STR("data:"))) {
		e->data = field_value(line, STR("data:"));
		e->has_data = true;
	} else {
		return str_starts(line, STR(":")) || str_starts(line, STR("retry:"));
	}
	return true;
}

static bool deliver_event(str_t raw, sse_callback_t event, void *ctx)
{
	sse_event_t e = {.raw = raw, .name = {"", 0}, .data = {"", 0}, .id = -1};
	str_t left = raw;
	bool has_lines = false;
	bool has_fields = false;

	while (left.n) {
		long nl = str_find(left, STR("\n"));
		size_t n = nl < 0 ? left.n : (size_t)nl;
		str_t line = {left.p, n};

		if (line.n && line.p[line.n - 1] == '\r')
			line.n--;
		has_lines |= line.n > 0;
		has_fields |= parse_line(&e, line);
		n += nl < 0 ? 0 : 1;
		left = (str_t){left.p + n, left.n - n};
	}
	e.is_malformed = has_lines && !has_fields;
	return event(ctx, &e);
}

/* Offset after the first event that ends at or after `from`; 0 if none ends. */
static size_t find_event_end(str_t s, size_t from)
{
	const char *nl;

	while (from < s.n && (nl = memchr(s.p + from, '\n', s.n - from))) {
		size_t i = (size_t)(nl - s.p);

		if (i + 1 < s.n && s.p[i + 1] == '\n')
			return i + 2;
		if (i + 2 < s.n && s.p[i + 1] == '\r' && s.p[i + 2] == '\n')
			return i + 3;
		from = i + 1;
	}
	return 0;
}

/* Bytes searched again with the next input: they may be the start of an empty line. */
#define SEARCH_OVERLAP 2

bool sse_feed(sse_parser_t *s, str_t bytes, sse_callback_t event, void *ctx)
{
	size_t used = 0;
	size_t from = s->searched;
	bool more = true;

	buf_add(&s->pending, bytes);
	while (more) {
		size_t end = find_event_end(str_buf(&s->pending), from);

		if (end == 0)
			break;
		more = deliver_event((str_t){s->pending.p + used, end - used}, event, ctx);
		used = from = end;
	}
	buf_drop_front(&s->pending, used);
	s->searched = s->pending.n > SEARCH_OVERLAP ? s->pending.n - SEARCH_OVERLAP : 0;
	return more && s->pending.n <= SSE_EVENT_MAX_BYTES;
}

void sse_free(sse_parser_t *s)
{
	buf_free(&s->pending);
}
