#include "net/http.h"

#include <ctype.h>
#include <limits.h>
#include <string.h>
#include <strings.h>

static str_t head_view(const http_reader_t *p, size_t at, size_t n)
{
	return (str_t){p->text.p ? p->text.p + at : "", n};
}

/* Appends to the text of the head. False, with too_large set, if it exceeds max_header_bytes. */
static bool append_head(http_reader_t *p, const char *at, size_t n)
{
	if (p->text.n + n > p->o.max_header_bytes) {
		p->too_large = true;
		return false;
	}
	buf_add(&p->text, (str_t){at, n});
	return true;
}

static int on_begin(http_parser *hp)
{
	http_reader_t *p = hp->data;

	p->text.n = 0;
	p->target_n = 0;
	p->nspans = 0;
	p->in_value = false;
	p->in_body = false;
	return 0;
}

static int on_url(http_parser *hp, const char *at, size_t n)
{
	http_reader_t *p = hp->data;

	p->target_n += n;
	return append_head(p, at, n) ? 0 : 1;
}

static int on_field(http_parser *hp, const char *at, size_t n)
{
	http_reader_t *p = hp->data;
	http_span_t *s;

	if (p->in_body)
		return 0;
	if (p->in_value || p->nspans == 0) {
		if (p->nspans == HTTP_HEADERS_MAX) {
			p->too_large = true;
			return 1;
		}
		s = &p->spans[p->nspans++];
		*s = (http_span_t){.name = p->text.n};
		p->in_value = false;
	}
	s = &p->spans[p->nspans - 1];
	s->name_n += n;
	return append_head(p, at, n) ? 0 : 1;
}

static int on_value(http_parser *hp, const char *at, size_t n)
{
	http_reader_t *p = hp->data;
	http_span_t *s;

	if (p->in_body)
		return 0;
	s = &p->spans[p->nspans - 1];
	if (!p->in_value)
		s->value = p->text.n;
	p->in_value = true;
	s->value_n += n;
	return append_head(p, at, n) ? 0 : 1;
}

/* http_parser lets spaces stand in header names. A request with one could pass a header on that its
 * receiver reads under another name (RFC 9112, 5.1), so it is malformed. */
static bool has_valid_names(const http_reader_t *p)
{
	for (size_t i = 0; i < p->nspans; i++) {
		if (memchr(p->text.p + p->spans[i].name, ' ', p->spans[i].name_n))
			return false;
	}
	return true;
}

/* As http_parser itself decides where a response ends. */
static bool is_framed(const http_parser *hp)
{
	int status = (int)hp->status_code;

	return status / 100 == 1 || status == 204 || status == 304 || (hp->flags & F_CHUNKED) ||
	       hp->content_length != ULLONG_MAX;
}

static int on_head(http_parser *hp)
{
	http_reader_t *p = hp->data;

	if (p->o.responses ? !http_is_status(hp->status_code) : !has_valid_names(p))
		return -1;
	for (size_t i = 0; i < p->nspans; i++) {
		const http_span_t *s = &p->spans[i];

		p->headers[i] = (http_header_t){head_view(p, s->name, s->name_n),
						head_view(p, s->value, s->value_n)};
	}
	p->head = (http_head_t){
		.target = head_view(p, 0, p->target_n),
		.status = (int)hp->status_code,
		.headers = p->headers,
		.nheaders = p->nspans,
		.keep_alive = http_should_keep_alive(hp) != 0,
		.framed = is_framed(hp),
	};
	if (!p->o.responses)
		p->head.method = str_c(http_method_str((enum http_method)hp->method));
	p->in_body = true;
	p->o.cb.head(p->o.cb.ctx, &p->head);
	return 0;
}

static int on_body(http_parser *hp, const char *at, size_t n)
{
	http_reader_t *p = hp->data;

	p->o.cb.body(p->o.cb.ctx, (str_t){at, n});
	return 0;
}

static int on_end(http_parser *hp)
{
	http_reader_t *p = hp->data;

	if (p->o.pause_after_message)
		http_parser_pause(hp, 1);
	p->o.cb.end(p->o.cb.ctx);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_message_begin = on_begin,
	.on_url = on_url,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_end,
};

void http_reader_init(http_reader_t *p, const http_reader_options_t *o)
{
	*p = (http_reader_t){.o = *o};
	http_parser_init(&p->parser, o->responses ? HTTP_RESPONSE : HTTP_REQUEST);
	p->parser.data = p;
}

void http_reader_free(http_reader_t *p)
{
	buf_free(&p->text);
}

status_t http_reader_feed(http_reader_t *p, str_t in, size_t *used)
{
	enum http_errno err;

	*used = http_parser_execute(&p->parser, &parser_settings, in.p, in.n);
	err = HTTP_PARSER_ERRNO(&p->parser);
	if (p->too_large || err == HPE_HEADER_OVERFLOW)
		return status_fail(STATUS_LIMIT,
				   "HTTP head over %zu bytes, or too many header fields",
				   p->o.max_header_bytes);
	if (p->parser.upgrade)
		return status_fail(STATUS_INVALID, "HTTP upgrade is not supported");
	if (err != HPE_OK && err != HPE_PAUSED)
		return status_fail(STATUS_INVALID, "malformed HTTP: %s",
				   http_errno_description(err));
	return STATUS_OK;
}

void http_reader_resume(http_reader_t *p)
{
	http_parser_pause(&p->parser, 0);
}

bool http_is_status(long code)
{
	return code >= 100 && code <= 599;
}

bool http_name_is(str_t s, const char *name)
{
	return s.n == strlen(name) && strncasecmp(s.p, name, s.n) == 0;
}

str_t http_header(const http_head_t *h, const char *name)
{
	for (size_t i = 0; i < h->nheaders; i++) {
		if (http_name_is(h->headers[i].name, name))
			return h->headers[i].value;
	}
	return (str_t){NULL, 0};
}

str_t http_path(str_t target)
{
	const char *q = memchr(target.p, '?', target.n);

	return q ? (str_t){target.p, (size_t)(q - target.p)} : target;
}

str_t http_query(str_t target, const char *key)
{
	str_t path = http_path(target);
	size_t at = path.n + 1;
	size_t kn = strlen(key);

	while (at < target.n) {
		str_t left = {target.p + at, target.n - at};
		const char *amp = memchr(left.p, '&', left.n);
		size_t n = amp ? (size_t)(amp - left.p) : left.n;

		if (n > kn && left.p[kn] == '=' && memcmp(left.p, key, kn) == 0)
			return (str_t){left.p + kn + 1, n - kn - 1};
		at += n + 1;
	}
	return (str_t){NULL, 0};
}

long long http_parse_number(str_t s)
{
	long long v = 0;

	if (s.n == 0 || s.n > 15)
		return -1;
	for (size_t i = 0; i < s.n; i++) {
		if (s.p[i] < '0' || s.p[i] > '9')
			return -1;
		v = v * 10 + (s.p[i] - '0');
	}
	return v;
}

static bool is_control(char c)
{
	return (unsigned char)c < ' ' || c == 0x7f;
}

bool http_is_token(str_t s)
{
	for (size_t i = 0; i < s.n; i++) {
		if (!isalnum((unsigned char)s.p[i]) &&
		    (!s.p[i] || !strchr("!#$%&'*+-.^_`|~", s.p[i])))
			return false;
	}
	return s.n > 0;
}

bool http_is_field_value(str_t s)
{
	for (size_t i = 0; i < s.n; i++) {
		if (is_control(s.p[i]) && s.p[i] != '\t')
			return false;
	}
	return true;
}

bool http_is_target(str_t s)
{
	for (size_t i = 0; i < s.n; i++) {
		if (is_control(s.p[i]) || s.p[i] == ' ')
			return false;
	}
	return s.n > 0 && s.p[0] == '/';
}
