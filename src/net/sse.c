#include "net/sse.h"

#include "net/http.h"

/* Finds the end of the line that begins at `from`, at `*at` or later: its length without the line
 * end, and where the next line begins. A line ends with LF, CR or CRLF. False if the end has not
 * come yet, which it can only from `*at` on; a CR at the end of the input may be the first half of
 * a CRLF, unless the line before ended with a CR too. */
static bool next_line(str_t s, size_t from, size_t *at, size_t *n, size_t *next)
{
	size_t i = *at;
	bool cr_lines = from > 0 && s.p[from - 1] == '\r';

	while (i < s.n && s.p[i] != '\n' && s.p[i] != '\r')
		i++;
	*at = i;
	if (i == s.n || (s.p[i] == '\r' && i + 1 == s.n && !(i == from && cr_lines)))
		return false;
	*n = i - from;
	*next = i + 1;
	if (s.p[i] == '\r' && i + 1 < s.n && s.p[i + 1] == '\n')
		(*next)++;
	return true;
}

/* The lines of data of an event are joined by line feeds. */
static void add_data(sse_parser_t *s, sse_event_t *e, str_t value)
{
	if (!e->has_data) {
		e->has_data = true;
		e->data = value;
		return;
	}
	if (s->data.n == 0)
		buf_add(&s->data, e->data);
	buf_addc(&s->data, '\n');
	buf_add(&s->data, value);
	e->data = str_buf(&s->data);
}

/* Returns whether the line is a comment or a field that the format of events defines. */
static bool parse_line(sse_parser_t *s, sse_event_t *e, str_t line)
{
	long colon = str_find(line, STR(":"));
	str_t name = {line.p, colon < 0 ? line.n : (size_t)colon};
	str_t value = {line.p + line.n, 0};

	if (colon >= 0)
		value = (str_t){line.p + colon + 1, line.n - (size_t)colon - 1};
	if (value.n && value.p[0] == ' ')
		value = (str_t){value.p + 1, value.n - 1};
	if (str_eq(name, STR("event")))
		e->name = value;
	else if (str_eq(name, STR("id")))
		e->id = http_parse_number(value);
	else if (str_eq(name, STR("data")))
		add_data(s, e, value);
	else
		return name.n == 0 || str_eq(name, STR("retry"));
	return true;
}

static bool deliver_event(sse_parser_t *s, str_t raw, sse_callback_t event, void *ctx)
{
	sse_event_t e = {.raw = raw, .name = {"", 0}, .data = {"", 0}, .id = -1};
	bool has_lines = false;
	bool has_fields = false;
	size_t from = 0;
	size_t at = 0;
	size_t n;
	size_t next;

	s->data.n = 0;
	for (; next_line(raw, from, &at, &n, &next); from = at = next) {
		if (n == 0)
			continue;
		has_lines = true;
		has_fields |= parse_line(s, &e, (str_t){raw.p + from, n});
	}
	e.is_malformed = has_lines && !has_fields;
	return event(ctx, &e);
}

bool sse_feed(sse_parser_t *s, str_t bytes, sse_callback_t event, void *ctx)
{
	size_t used = 0;
	size_t from = s->line;
	size_t at = s->searched;
	bool more = true;
	size_t n;
	size_t next;

	buf_add(&s->pending, bytes);
	while (more && next_line(str_buf(&s->pending), from, &at, &n, &next)) {
		bool ends_event = n == 0 && from > used;

		from = at = next;
		if (!ends_event)
			continue;
		more = deliver_event(s, (str_t){s->pending.p + used, next - used}, event, ctx);
		used = next;
	}
	buf_drop_front(&s->pending, used);
	s->line = from - used;
	s->searched = at - used;
	return more && s->pending.n <= SSE_EVENT_MAX_BYTES;
}

void sse_free(sse_parser_t *s)
{
	buf_free(&s->pending);
	buf_free(&s->data);
}
