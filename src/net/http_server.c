#include "net/http_server.h"

#include <limits.h>
#include <stdlib.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>
#include "base/log.h"
#include "net/tcp.h"
#include "net/timeout.h"

/** Bytes read ahead while a request is being answered. */
#define READ_AHEAD_BYTES 65536
#define READ_BYTES	 16384
/** Time for the client to read the last answer before the socket is closed, in ms. */
#define LINGER_MS 1000
/** Bytes that may frame a body, as a multiple of it, and beside it: chunks of one byte take six
 * times their body. */
#define FRAMING_TIMES 8
#define FRAMING_BYTES 65536
/** Accepts in one turn of the loop, so that open connections get theirs. */
#define ACCEPTS 32

struct http_server {
	http_server_options_t o;
	int fd;
	ev_io accept;
	bool draining;
	size_t busy;
	http_conn_t *conns;
};

struct http_conn {
	http_server_t *l;
	int fd;
	ev_io rd;
	ev_io wr;
	timeout_t timer;
	http_reader_t parser;
	buf_t in;
	buf_t body;
	buf_t out;
	deadline_t begun; /* when the request's first byte came; 0 between requests */
	size_t bytes; /* of this request so far, with its framing and what was read ahead */
	bool have_head;
	bool too_long; /* the head declares a body over the limit */
	bool busy; /* a request is being answered */
	bool chunked;
	bool keep;
	bool closing; /* nothing more is read as a request */
	bool broken;
	bool dead;
	void *data;
	http_conn_t *prev;
	http_conn_t *next;
};

static const struct {
	int status;
	const char *reason;
} reasons[] = {
	{200, "OK"},
	{202, "Accepted"},
	{307, "Temporary Redirect"},
	{400, "Bad Request"},
	{404, "Not Found"},
	{405, "Method Not Allowed"},
	{408, "Request Timeout"},
	{409, "Conflict"},
	{413, "Content Too Large"},
	{421, "Misdirected Request"},
	{422, "Unprocessable Content"},
	{429, "Too Many Requests"},
	{431, "Request Header Fields Too Large"},
	{500, "Internal Server Error"},
	{502, "Bad Gateway"},
	{503, "Service Unavailable"},
	{504, "Gateway Timeout"},
};

const char *http_reason(int status)
{
	for (size_t i = 0; i < sizeof(reasons) / sizeof(reasons[0]); i++) {
		if (reasons[i].status == status)
			return reasons[i].reason;
	}
	return "Unknown";
}

/* Frees from the loop, as callers up the stack may still hold the connection. */
static void conn_free(int events, void *arg)
{
	http_conn_t *c = arg;

	http_reader_free(&c->parser);
	buf_free(&c->in);
	buf_free(&c->body);
	buf_free(&c->out);
	free(c);
}

static void conn_close(http_conn_t *c)
{
	if (c->dead)
		return;
	c->dead = true;
	DL_DELETE(c->l->conns, c);
	if (c->busy)
		c->l->busy--;
	ev_io_stop(c->l->o.loop, &c->rd);
	ev_io_stop(c->l->o.loop, &c->wr);
	timeout_stop(&c->timer);
	close(c->fd);
	ev_once(c->l->o.loop, -1, 0, 0.0, conn_free, c);
}

static void flush(http_conn_t *c)
{
	if (c->dead)
		return;
	if (!tcp_write(c->fd, &c->out)) {
		/* The caller's own step goes on; the loop then finds the connection broken. */
		c->out.n = 0;
		c->broken = true;
		ev_io_stop(c->l->o.loop, &c->wr);
		ev_feed_event(c->l->o.loop, &c->rd, EV_READ);
		return;
	}
	if (c->out.n > 0) {
		ev_io_start(c->l->o.loop, &c->wr);
		return;
	}
	ev_io_stop(c->l->o.loop, &c->wr);
	if (c->closing && !c->busy)
		shutdown(c->fd, SHUT_WR);
}

static void on_head(void *ctx, const http_head_t *h)
{
	http_conn_t *c = ctx;
	str_t expect = http_header(h, "Expect");

	c->have_head = true;
	c->too_long = c->parser.parser.content_length != ULLONG_MAX &&
		      c->parser.parser.content_length > c->l->o.limits.max_body_bytes;
	if (c->too_long)
		return;
	if (expect.n == 12 && strncasecmp(expect.p, "100-continue", 12) == 0) {
		buf_add(&c->out, STR("HTTP/1.1 100 Continue\r\n\r\n"));
		flush(c);
	}
}

static void on_body(void *ctx, str_t piece)
{
	http_conn_t *c = ctx;

	if (c->body.n <= c->l->o.limits.max_body_bytes)
		buf_add(&c->body, piece);
}

static void on_end(void *ctx)
{
	http_conn_t *c = ctx;

	c->busy = true;
	c->l->busy++;
}

/* Ends the connection with an answer of the listener's own. */
static void refuse(http_conn_t *c, int status, const char *what)
{
	if (!c->busy) {
		c->busy = true;
		c->l->busy++;
	}
	c->keep = false;
	c->closing = true;
	log_event(LOG_LEVEL_INFO, "request_refused", LOG_INT("status", status),
		  LOG_CSTR("reason", what));
	http_reply(c, status, STR(""), STR(""));
}

static void hand_over(http_conn_t *c)
{
	http_request_t r = {c->parser.head, str_buf(&c->body), c->begun};

	timeout_stop(&c->timer);
	c->keep = c->parser.head.keep_alive;
	c->l->o.request(c->l->o.ctx, c, &r);
}

/* Of a whole request: chunk extensions and trailers count for nothing else. */
static size_t bytes_max(const http_limits_t *m)
{
	return m->max_header_bytes + m->max_body_bytes * FRAMING_TIMES + FRAMING_BYTES;
}

static void parse(http_conn_t *c)
{
	const http_limits_t *m = &c->l->o.limits;
	status_t st;
	size_t used;

	while (!c->dead && !c->busy && !c->closing && c->in.n > 0) {
		if (!c->begun) {
			c->begun = clock_now_ms();
			timeout_set(&c->timer, m->header_timeout_ms);
		}
		st = http_reader_feed(&c->parser, str_buf(&c->in), &used);
		if (c->dead)
			return;
		buf_drop_front(&c->in, used < c->in.n ? used : c->in.n);
		if (c->too_long || c->body.n > m->max_body_bytes || c->bytes > bytes_max(m))
			refuse(c, 413, "body over the limit");
		else if (st == STATUS_LIMIT)
			refuse(c, 431, status_message());
		else if (st != STATUS_OK)
			refuse(c, 400, status_message());
		else if (c->busy)
			hand_over(c);
	}
	if (!c->dead && !c->busy && c->have_head)
		timeout_set(&c->timer, m->idle_timeout_ms);
}

static void on_readable(struct ev_loop *loop, ev_io *w, int events)
{
	http_conn_t *c = w->data;
	long n;

	if (!c->broken && c->busy && c->in.n >= READ_AHEAD_BYTES) {
		ev_io_stop(loop, &c->rd);
		return;
	}
	n = c->broken ? TCP_READ_BROKEN : tcp_read(c->fd, &c->in, READ_BYTES);
	c->bytes += n > 0 ? (size_t)n : 0;
	if (n < 0) {
		if (c->busy && !c->dead && c->l->o.client_gone)
			c->l->o.client_gone(c->l->o.ctx, c);
		conn_close(c);
	} else if (c->closing) {
		c->in.n = 0;
	} else {
		parse(c);
	}
}

static void on_writable(struct ev_loop *loop, ev_io *w, int events)
{
	http_conn_t *c = w->data;

	flush(c);
}

static void on_timer(void *ctx)
{
	http_conn_t *c = ctx;

	if (c->begun && !c->busy && !c->closing)
		refuse(c, 408, "request not read in time");
	else
		conn_close(c);
}

static void conn_new(http_server_t *l, int fd)
{
	http_conn_t *c = mem_new(sizeof(*c));

	c->l = l;
	c->fd = fd;
	DL_APPEND(l->conns, c);
	http_reader_init(&c->parser, &(http_reader_options_t){
					     .pause_after_message = true,
					     .max_header_bytes = l->o.limits.max_header_bytes,
					     .cb = {c, on_head, on_body, on_end},
				     });
	ev_io_init(&c->rd, on_readable, fd, EV_READ);
	ev_io_init(&c->wr, on_writable, fd, EV_WRITE);
	timeout_init(&c->timer, l->o.loop, on_timer, c);
	c->rd.data = c->wr.data = c;
	ev_io_start(l->o.loop, &c->rd);
	timeout_set(&c->timer, l->o.limits.idle_timeout_ms);
}

static void on_accept(struct ev_loop *loop, ev_io *w, int events)
{
	http_server_t *l = w->data;

	for (int i = 0; i < ACCEPTS; i++) {
		int fd = tcp_accept(l->fd);

		if (fd < 0)
			return;
		conn_new(l, fd);
	}
}

http_server_t *http_server_new(const http_server_options_t *o)
{
	int fd = tcp_listen(o->addr);
	http_server_t *l;

	if (fd < 0)
		return NULL;
	l = mem_new(sizeof(*l));
	l->o = *o;
	l->fd = fd;
	ev_io_init(&l->accept, on_accept, fd, EV_READ);
	l->accept.data = l;
	ev_io_start(o->loop, &l->accept);
	return l;
}

void http_server_stop_accepting(http_server_t *l)
{
	int fd;

	if (l->fd < 0)
		return;
	while ((fd = tcp_accept(l->fd)) >= 0)
		conn_new(l, fd);
	ev_io_stop(l->o.loop, &l->accept);
	close(l->fd);
	l->fd = -1;
}

bool http_server_pending(const http_server_t *l)
{
	for (const http_conn_t *c = l->conns; c; c = c->next) {
		if (c->busy || c->begun || c->out.n > 0)
			return true;
	}
	return false;
}

static void listener_free(int events, void *arg)
{
	free(arg);
}

void http_server_close(http_server_t *l)
{
	ev_io_stop(l->o.loop, &l->accept);
	if (l->fd >= 0)
		close(l->fd);
	while (l->conns)
		conn_close(l->conns);
	ev_once(l->o.loop, -1, 0, 0.0, listener_free, l);
}

void http_server_set_limits(http_server_t *l, const http_limits_t *limits)
{
	l->o.limits = *limits;
}

void http_server_drain(http_server_t *l)
{
	l->draining = true;
}

size_t http_server_open_requests(const http_server_t *l)
{
	return l->busy;
}

void http_conn_set_data(http_conn_t *c, void *data)
{
	c->data = data;
}

void *http_conn_data(const http_conn_t *c)
{
	return c->data;
}

/* The answer is complete: reads the next request or closes. */
static void finish(http_conn_t *c)
{
	c->busy = false;
	c->l->busy--;
	c->data = NULL;
	c->begun = 0;
	c->have_head = false;
	c->body.n = 0;
	c->bytes = c->in.n;
	if (!c->keep) {
		c->closing = true;
		timeout_set(&c->timer, LINGER_MS);
		flush(c);
		return;
	}
	timeout_set(&c->timer, c->l->o.limits.idle_timeout_ms);
	flush(c);
	if (c->dead)
		return;
	http_reader_resume(&c->parser);
	c->parser.o.max_header_bytes = c->l->o.limits.max_header_bytes;
	ev_io_start(c->l->o.loop, &c->rd);
	/* A pipelined request is parsed from the loop, not from inside the caller's answer. */
	if (c->in.n > 0)
		ev_feed_event(c->l->o.loop, &c->rd, EV_READ);
}

static void add_head(http_conn_t *c, int status, str_t headers)
{
	if (c->l->draining)
		c->keep = false;
	buf_addf(&c->out, "HTTP/1.1 %d %s\r\n", status, http_reason(status));
	buf_add(&c->out, headers);
	if (!c->keep)
		buf_add(&c->out, STR("Connection: close\r\n"));
}

void http_reply(http_conn_t *c, int status, str_t headers, str_t body)
{
	if (c->dead)
		return;
	add_head(c, status, headers);
	buf_addf(&c->out, "Content-Length: %zu\r\n\r\n", body.n);
	buf_add(&c->out, body);
	finish(c);
}

void http_reply_begin(http_conn_t *c, int status, str_t headers)
{
	if (c->dead)
		return;
	add_head(c, status, headers);
	buf_add(&c->out, STR("Transfer-Encoding: chunked\r\n\r\n"));
	c->chunked = true;
	flush(c);
}

void http_reply_chunk(http_conn_t *c, str_t piece)
{
	if (c->dead || piece.n == 0)
		return;
	buf_addf(&c->out, "%zx\r\n", piece.n);
	buf_add(&c->out, piece);
	buf_add(&c->out, STR("\r\n"));
	flush(c);
}

void http_reply_end(http_conn_t *c)
{
	if (c->dead)
		return;
	buf_add(&c->out, STR("0\r\n\r\n"));
	c->chunked = false;
	finish(c);
}

void http_reply_abort(http_conn_t *c)
{
	if (c->dead)
		return;
	conn_close(c);
}
