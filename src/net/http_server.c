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

/** While a request is being answered, reading stops once this many bytes are read ahead. */
#define READ_AHEAD_BYTES 65536
#define READ_BYTES	 16384
/** Time for the client to read the last reply before the socket is closed, in ms. */
#define LINGER_MS 1000
/** Limit on a body with its framing: a multiple of the body's own limit, plus a constant. A chunk
 * of one byte takes six bytes. */
#define FRAMING_TIMES 8
#define FRAMING_BYTES 65536
/** Connections accepted in one iteration of the loop, so that open connections are served as well.
 */
#define ACCEPTS_MAX 32

struct http_server {
	http_server_options_t options;
	int fd;
	ev_io accept;
	bool draining;
	size_t open_requests;
	http_conn_t *conns;
};

struct http_conn {
	http_server_t *server;
	int fd;
	ev_io rd;
	ev_io wr;
	timeout_t timer;
	http_reader_t reader;
	buf_t in;
	buf_t body;
	buf_t out;
	deadline_t parse_started; /* of the current request; 0 between requests */
	size_t request_bytes; /* of this request so far, with framing and read-ahead */
	bool have_head; /* the head of the current request is complete */
	bool body_too_long; /* Content-Length is over the limit */
	bool busy; /* a request is being answered */
	bool chunked;
	bool takes_chunks; /* the client speaks HTTP/1.1 */
	bool keep_alive;
	bool closing; /* the last reply has been made; input is discarded */
	bool write_failed;
	bool closed;
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

/* Called from the loop, not from conn_close: functions up the stack may still use the connection.
 */
static void conn_free(int events, void *arg)
{
	http_conn_t *c = arg;

	http_reader_free(&c->reader);
	buf_free(&c->in);
	buf_free(&c->body);
	buf_free(&c->out);
	free(c);
}

static void conn_close(http_conn_t *c)
{
	if (c->closed)
		return;
	c->closed = true;
	DL_DELETE(c->server->conns, c);
	if (c->busy)
		c->server->open_requests--;
	ev_io_stop(c->server->options.loop, &c->rd);
	ev_io_stop(c->server->options.loop, &c->wr);
	timeout_stop(&c->timer);
	close(c->fd);
	ev_once(c->server->options.loop, -1, 0, 0.0, conn_free, c);
}

static void flush_output(http_conn_t *c)
{
	if (c->closed)
		return;
	if (!tcp_write(c->fd, &c->out)) {
		/* client_gone must not run inside the user's call of http_reply: on_readable,
		 * called from the loop, runs it and closes the connection. */
		c->out.n = 0;
		c->write_failed = true;
		ev_io_stop(c->server->options.loop, &c->wr);
		ev_feed_event(c->server->options.loop, &c->rd, EV_READ);
		return;
	}
	if (c->out.n > 0) {
		ev_io_start(c->server->options.loop, &c->wr);
		return;
	}
	ev_io_stop(c->server->options.loop, &c->wr);
	if (c->closing && !c->busy) {
		tcp_reset_on_close(c->fd, false);
		shutdown(c->fd, SHUT_WR);
	}
}

static void on_head(void *ctx, const http_head_t *h)
{
	http_conn_t *c = ctx;
	str_t expect = http_header(h, "Expect");

	c->have_head = true;
	c->body_too_long =
		c->reader.parser.content_length != ULLONG_MAX &&
		c->reader.parser.content_length > c->server->options.limits.max_body_bytes;
	if (c->body_too_long)
		return;
	if (expect.n == 12 && strncasecmp(expect.p, "100-continue", 12) == 0) {
		buf_add(&c->out, STR("HTTP/1.1 100 Continue\r\n\r\n"));
		flush_output(c);
	}
}

static void on_body(void *ctx, str_t chunk)
{
	http_conn_t *c = ctx;

	if (c->body.n <= c->server->options.limits.max_body_bytes)
		buf_add(&c->body, chunk);
}

static void on_end(void *ctx)
{
	http_conn_t *c = ctx;

	c->busy = true;
	c->server->open_requests++;
}

/* Replies with an error to a request that is not passed to the user; the connection closes after
 * it. */
static void refuse_request(http_conn_t *c, int status, const char *reason)
{
	if (!c->busy) {
		c->busy = true;
		c->server->open_requests++;
	}
	c->keep_alive = false;
	c->closing = true;
	log_event(LOG_LEVEL_INFO, "request_refused", LOG_INT("status", status),
		  LOG_CSTR("reason", reason));
	http_reply(c, status, STR(""), STR(""));
}

static void deliver_request(http_conn_t *c)
{
	http_request_t r = {c->reader.head, str_buf(&c->body), clock_now_ms()};

	timeout_stop(&c->timer);
	c->keep_alive = c->reader.head.keep_alive;
	c->takes_chunks = c->reader.parser.http_major > 1 ||
			  (c->reader.parser.http_major == 1 && c->reader.parser.http_minor > 0);
	c->server->options.request(c->server->options.ctx, c, &r);
}

/* Limit on a whole request, so that chunk extensions and trailers are bounded too. */
static size_t max_request_bytes(const http_limits_t *m)
{
	return m->max_header_bytes + m->max_body_bytes * FRAMING_TIMES + FRAMING_BYTES;
}

static void parse_input(http_conn_t *c)
{
	const http_limits_t *m = &c->server->options.limits;
	status_t st;
	size_t used;

	while (!c->closed && !c->busy && !c->closing && c->in.n > 0) {
		if (!c->parse_started) {
			c->parse_started = clock_now_ms();
			timeout_set(&c->timer, m->header_timeout_ms);
		}
		st = http_reader_feed(&c->reader, str_buf(&c->in), &used);
		if (c->closed)
			return;
		buf_drop_front(&c->in, used < c->in.n ? used : c->in.n);
		if (c->body_too_long || c->body.n > m->max_body_bytes ||
		    c->request_bytes > max_request_bytes(m))
			refuse_request(c, 413, "body exceeds the limit");
		else if (st == STATUS_LIMIT)
			refuse_request(c, 431, status_message());
		else if (st != STATUS_OK)
			refuse_request(c, 400, status_message());
		else if (c->busy)
			deliver_request(c);
	}
	if (!c->closed && !c->busy && c->have_head)
		timeout_set(&c->timer, m->idle_timeout_ms);
}

static void on_readable(struct ev_loop *loop, ev_io *w, int events)
{
	http_conn_t *c = w->data;
	long n;

	if (!c->write_failed && c->busy && c->in.n >= READ_AHEAD_BYTES) {
		ev_io_stop(loop, &c->rd);
		return;
	}
	n = c->write_failed ? TCP_READ_BROKEN : tcp_read(c->fd, &c->in, READ_BYTES);
	c->request_bytes += n > 0 ? (size_t)n : 0;
	if (n < 0) {
		if (c->busy && !c->closed && c->server->options.client_gone)
			c->server->options.client_gone(c->server->options.ctx, c);
		conn_close(c);
	} else if (c->closing) {
		c->in.n = 0;
	} else {
		parse_input(c);
	}
}

static void on_writable(struct ev_loop *loop, ev_io *w, int events)
{
	http_conn_t *c = w->data;

	flush_output(c);
}

static void on_timer(void *ctx)
{
	http_conn_t *c = ctx;

	if (c->parse_started && !c->busy && !c->closing)
		refuse_request(c, 408, "request not received in time");
	else
		conn_close(c);
}

static void conn_new(http_server_t *s, int fd)
{
	http_conn_t *c = mem_new(sizeof(*c));

	c->server = s;
	c->fd = fd;
	DL_APPEND(s->conns, c);
	http_reader_init(&c->reader, &(http_reader_options_t){
					     .pause_after_message = true,
					     .max_header_bytes = s->options.limits.max_header_bytes,
					     .cb = {c, on_head, on_body, on_end},
				     });
	ev_io_init(&c->rd, on_readable, fd, EV_READ);
	ev_io_init(&c->wr, on_writable, fd, EV_WRITE);
	timeout_init(&c->timer, s->options.loop, on_timer, c);
	c->rd.data = c->wr.data = c;
	ev_io_start(s->options.loop, &c->rd);
	timeout_set(&c->timer, s->options.limits.idle_timeout_ms);
}

static void on_accept(struct ev_loop *loop, ev_io *w, int events)
{
	http_server_t *s = w->data;

	for (int i = 0; i < ACCEPTS_MAX; i++) {
		int fd = tcp_accept(s->fd);

		if (fd < 0)
			return;
		conn_new(s, fd);
	}
}

http_server_t *http_server_new(const http_server_options_t *options)
{
	int fd = tcp_listen(options->addr);
	http_server_t *s;

	if (fd < 0)
		return NULL;
	s = mem_new(sizeof(*s));
	s->options = *options;
	s->fd = fd;
	ev_io_init(&s->accept, on_accept, fd, EV_READ);
	s->accept.data = s;
	ev_io_start(options->loop, &s->accept);
	return s;
}

void http_server_stop_accepting(http_server_t *s)
{
	int fd;

	if (s->fd < 0)
		return;
	while ((fd = tcp_accept(s->fd)) >= 0)
		conn_new(s, fd);
	ev_io_stop(s->options.loop, &s->accept);
	close(s->fd);
	s->fd = -1;
}

bool http_server_pending(const http_server_t *s)
{
	for (const http_conn_t *c = s->conns; c; c = c->next) {
		if (c->busy || c->parse_started || c->out.n > 0)
			return true;
	}
	return false;
}

static void server_free(int events, void *arg)
{
	free(arg);
}

void http_server_close(http_server_t *s)
{
	ev_io_stop(s->options.loop, &s->accept);
	if (s->fd >= 0)
		close(s->fd);
	while (s->conns)
		conn_close(s->conns);
	ev_once(s->options.loop, -1, 0, 0.0, server_free, s);
}

void http_server_set_limits(http_server_t *s, const http_limits_t *limits)
{
	s->options.limits = *limits;
}

void http_server_drain(http_server_t *s)
{
	s->draining = true;
}

size_t http_server_open_requests(const http_server_t *s)
{
	return s->open_requests;
}

void http_conn_set_data(http_conn_t *c, void *data)
{
	c->data = data;
}

void *http_conn_data(const http_conn_t *c)
{
	return c->data;
}

/* Called when the whole reply is in the output buffer: prepares for the next request, or closes the
 * connection once the client has had time to read. */
static void finish_reply(http_conn_t *c)
{
	c->busy = false;
	c->server->open_requests--;
	c->data = NULL;
	c->parse_started = 0;
	c->have_head = false;
	c->body.n = 0;
	c->request_bytes = c->in.n;
	if (!c->keep_alive) {
		c->closing = true;
		timeout_set(&c->timer, LINGER_MS);
		flush_output(c);
		return;
	}
	timeout_set(&c->timer, c->server->options.limits.idle_timeout_ms);
	flush_output(c);
	if (c->closed)
		return;
	http_reader_resume(&c->reader);
	c->reader.o.max_header_bytes = c->server->options.limits.max_header_bytes;
	ev_io_start(c->server->options.loop, &c->rd);
	/* A pipelined request is parsed from the loop, not inside the call that sent the reply. */
	if (c->in.n > 0)
		ev_feed_event(c->server->options.loop, &c->rd, EV_READ);
}

void http_conn_close_after_reply(http_conn_t *c)
{
	c->keep_alive = false;
}

static void add_reply_head(http_conn_t *c, int status, str_t headers)
{
	if (c->server->draining)
		c->keep_alive = false;
	buf_addf(&c->out, "HTTP/1.1 %d %s\r\n", status, http_reason(status));
	buf_add(&c->out, headers);
	if (!c->keep_alive)
		buf_add(&c->out, STR("Connection: close\r\n"));
}

void http_reply(http_conn_t *c, int status, str_t headers, str_t body)
{
	if (c->closed)
		return;
	add_reply_head(c, status, headers);
	buf_addf(&c->out, "Content-Length: %zu\r\n\r\n", body.n);
	buf_add(&c->out, body);
	finish_reply(c);
}

void http_reply_begin(http_conn_t *c, int status, str_t headers)
{
	if (c->closed)
		return;
	c->keep_alive = c->keep_alive && c->takes_chunks;
	add_reply_head(c, status, headers);
	if (c->takes_chunks)
		buf_add(&c->out, STR("Transfer-Encoding: chunked\r\n"));
	else
		/* The reply ends with the connection: an end of this process must not look so. */
		tcp_reset_on_close(c->fd, true);
	buf_add(&c->out, STR("\r\n"));
	c->chunked = c->takes_chunks;
	flush_output(c);
}

void http_reply_chunk(http_conn_t *c, str_t chunk)
{
	if (c->closed || chunk.n == 0)
		return;
	if (c->chunked)
		buf_addf(&c->out, "%zx\r\n", chunk.n);
	buf_add(&c->out, chunk);
	if (c->chunked)
		buf_add(&c->out, STR("\r\n"));
	flush_output(c);
}

void http_reply_end(http_conn_t *c)
{
	if (c->closed)
		return;
	if (c->chunked)
		buf_add(&c->out, STR("0\r\n\r\n"));
	c->chunked = false;
	finish_reply(c);
}

void http_reply_abort(http_conn_t *c)
{
	if (c->closed)
		return;
	conn_close(c);
}
