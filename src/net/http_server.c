#include "net/http_server.h"

#include <limits.h>
#include <stdlib.h>
#include <strings.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>
#include "base/log.h"
#include "base/metric.h"
#include "net/tcp.h"
#include "net/timeout.h"

/** While a request is being answered, reading stops once this many bytes are read ahead. */
#define READ_AHEAD_BYTES 65536
#define READ_BYTES	 16384
/** Time for the client to close its side once it has taken the last reply, in ms. */
#define LINGER_MS 1000
/** Limit on a body with its framing: a multiple of the body's own limit, plus a constant. A chunk
 * of one byte takes six bytes. */
#define FRAMING_TIMES 8
#define FRAMING_BYTES 65536
/** Connections accepted in one iteration of the loop, so that open connections are served as well.
 */
#define ACCEPTS_MAX 32
/** A client that leaves more than this of a reply in chunks unread loses its connection, in bytes:
 * as much as the largest body that clients may send. */
#define UNREAD_MAX_BYTES (4U << 20)
/** Retry-After of a refusal for lack of memory, in seconds. */
#define RETRY_MEMORY "Retry-After: 1\r\n"
/** Defaults of the bounds. A machine of 120 MB has 45 MB for its clients: seven bodies of 4 MB with
 * spare room, and a quarter in reserve for small requests. */
#define MEMORY_PERCENT	   38
#define MEMORY_DEFAULT_MIB 64
/** Part of the descriptors that is left for links, files and replicas. */
#define DESCRIPTORS_KEPT_DIVISOR 3
#define CONNECTIONS_MAX		 65536

struct http_server {
	http_server_options_t options;
	int fd;
	ev_io accept;
	bool draining;
	bool owns_intake;
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
	bool in_body; /* the body's period has begun */
	bool body_too_long; /* Content-Length is over the limit */
	bool busy; /* a request is being answered */
	bool chunked;
	bool takes_chunks; /* the client speaks HTTP/1.1 */
	bool keep_alive;
	bool closing; /* the last reply has been made; input is discarded */
	uint64_t written; /* bytes */
	uint64_t taken; /* of these, when it was last looked at */
	bool write_failed;
	bool given_up; /* closed for the sake of other connections, or because it is stalled */
	bool closed;
	intake_client_t client;
	size_t user_held; /* see http_conn_hold */
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
	intake_remove(c->server->options.intake, &c->client);
	if (c->busy)
		c->server->open_requests--;
	ev_io_stop(c->server->options.loop, &c->rd);
	ev_io_stop(c->server->options.loop, &c->wr);
	timeout_stop(&c->timer);
	close(c->fd);
	ev_once(c->server->options.loop, -1, 0, 0.0, conn_free, c);
}

static intake_state_t conn_state(const http_conn_t *c)
{
	if (c->given_up || c->write_failed)
		return INTAKE_CLOSING;
	if (c->out.n > 0)
		return INTAKE_UNREAD;
	if (c->busy)
		return INTAKE_SERVED;
	return c->parse_started ? INTAKE_READING : INTAKE_IDLE;
}

/* Tells the intake what the connection holds now. */
static void conn_account(http_conn_t *c)
{
	if (c->closed)
		return;
	c->client.state = conn_state(c);
	intake_set_held(c->server->options.intake, &c->client,
			sizeof(*c) + c->in.cap + c->body.cap + c->out.cap + c->reader.text.cap +
				c->user_held);
}

/* Closes the connection from the loop: client_gone must not run inside the user's call of
 * http_reply. on_readable runs it. */
static void break_conn(http_conn_t *c)
{
	buf_free(&c->out);
	c->write_failed = true;
	ev_io_stop(c->server->options.loop, &c->wr);
	ev_feed_event(c->server->options.loop, &c->rd, EV_READ);
	conn_account(c);
}

static void flush_output(http_conn_t *c)
{
	size_t before = c->out.n;

	if (c->closed)
		return;
	if (c->write_failed || tcp_write(c->fd, &c->out) != TCP_WRITE_OK) {
		break_conn(c);
		return;
	}
	c->written += before - c->out.n;
	intake_advance(c->server->options.intake, &c->client, before - c->out.n, clock_now_ms());
	if (c->out.n > 0) {
		ev_io_start(c->server->options.loop, &c->wr);
		conn_account(c);
		return;
	}
	buf_shrink(&c->out);
	conn_account(c);
	ev_io_stop(c->server->options.loop, &c->wr);
	/* Requests that were read ahead wait until the answers before them have been read. */
	if (!c->busy && !c->closing) {
		ev_io_start(c->server->options.loop, &c->rd);
		if (c->in.n > 0)
			ev_feed_event(c->server->options.loop, &c->rd, EV_READ);
	}
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
	http_reply(c, status, status == 503 ? STR(RETRY_MEMORY) : STR(""), STR(""));
}

static void log_given_up(const http_conn_t *c, const char *reason)
{
	AUTO_BUF label = {0};

	buf_addf(&label, "reason=\"%s\"", reason);
	metric_add(metric_get(METRIC_COUNTER, "auburn_clients_given_up_total", label.p), 1);
	log_event(LOG_LEVEL_WARN, "client_given_up", LOG_CSTR("reason", reason),
		  LOG_INT("bytes", c->client.held),
		  LOG_INT("age_ms", clock_now_ms() - c->client.opened),
		  LOG_INT("silent_ms", clock_now_ms() - c->client.progress),
		  LOG_INT("request", c->busy));
}

/* Closes a connection that the intake has selected, and frees its buffers. A request that was not
 * read whole is answered with the status: it has not run. status 0: without an answer. */
static void give_up(http_conn_t *c, int status, const char *reason)
{
	log_given_up(c, reason);
	c->given_up = true;
	if (c->busy) {
		break_conn(c);
		return;
	}
	if (!status || !c->parse_started || c->closing || c->out.n > 0) {
		conn_close(c);
		return;
	}
	refuse_request(c, status, reason);
	buf_free(&c->in);
	buf_free(&c->body);
	conn_account(c);
}

/* Gives up connections until c's buffers may grow to this size. False if c itself is the one to
 * give up. */
static bool make_room(http_conn_t *c, size_t bytes)
{
	intake_t *in = c->server->options.intake;
	deadline_t now = clock_now_ms();
	intake_client_t *excess;

	while ((excess = intake_excess(in, &c->client, bytes, now))) {
		if (excess == &c->client)
			return false;
		give_up(excess->conn, 503, "memory");
	}
	return true;
}

/* The capacity that the buffer has once this much has been added to it. */
static size_t grown_cap(const buf_t *b, size_t more)
{
	size_t need = b->n + more + 1;

	return need <= b->cap ? b->cap : need + need / 2;
}

/* Makes room for a part of a reply. A small one is never dropped. */
static bool make_reply_room(http_conn_t *c, size_t more)
{
	size_t held = c->client.held - c->out.cap + c->out.n + more;

	if (c->given_up || held <= INTAKE_SMALL_BYTES || make_room(c, held))
		return true;
	give_up(c, 0, "memory");
	return false;
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
	deadline_t now;
	status_t st;
	size_t used;

	while (!c->closed && !c->busy && !c->closing && c->in.n > 0 && c->out.n == 0) {
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
	if (c->closed || c->busy || !c->have_head)
		return;
	now = clock_now_ms();
	if (!c->in_body)
		intake_begin_period(&c->client, m->idle_timeout_ms, now);
	c->in_body = true;
	/* A stalled body is refused by the timer, which reads the socket once more after a pause of
	 * this process. */
	if (!intake_is_stalled(&c->client, m->idle_timeout_ms, now))
		timeout_set(&c->timer, c->client.period_end - now);
}

/* True if there is room for another read. While a request is being answered, its client waits, but
 * one read is always allowed: it shows whether the client has closed the connection. */
static bool may_read(http_conn_t *c)
{
	size_t bytes = sizeof(*c) + c->user_held + c->out.cap + grown_cap(&c->in, READ_BYTES) +
		       grown_cap(&c->reader.text, c->have_head ? 0 : READ_BYTES) +
		       (c->busy ? c->body.cap : grown_cap(&c->body, READ_BYTES));

	if (c->write_failed || c->closing)
		return true;
	if ((c->busy || c->out.n > 0) &&
	    (c->in.n >= READ_AHEAD_BYTES ||
	     (c->in.n > 0 && !intake_fits(c->server->options.intake, &c->client, bytes)))) {
		ev_io_stop(c->server->options.loop, &c->rd);
		return false;
	}
	if (c->busy || c->out.n > 0 || make_room(c, bytes))
		return true;
	c->parse_started = c->parse_started ? c->parse_started : clock_now_ms();
	give_up(c, 503, "memory");
	return false;
}

static void on_readable(struct ev_loop *loop, ev_io *w, int events)
{
	http_conn_t *c = w->data;
	long n;

	if (!c->busy && !c->parse_started) {
		buf_shrink(&c->body);
		buf_shrink(&c->in);
		buf_shrink(&c->out);
		conn_account(c);
	}
	if (!may_read(c))
		return;
	n = c->write_failed ? TCP_READ_BROKEN : tcp_read(c->fd, &c->in, READ_BYTES);
	c->request_bytes += n > 0 ? (size_t)n : 0;
	intake_advance(c->server->options.intake, &c->client, n > 0 ? (size_t)n : 0,
		       clock_now_ms());
	if (n < 0) {
		if (c->busy && !c->closed && c->server->options.client_gone)
			c->server->options.client_gone(c->server->options.ctx, c);
		conn_close(c);
	} else if (c->closing) {
		c->in.n = 0;
	} else {
		parse_input(c);
	}
	conn_account(c);
}

static void on_writable(struct ev_loop *loop, ev_io *w, int events)
{
	http_conn_t *c = w->data;

	flush_output(c);
	if (!c->closed && c->busy && !c->write_failed && c->out.n == 0 &&
	    c->server->options.drained)
		c->server->options.drained(c->server->options.ctx, c);
}

/* True if the client has not taken all of the last reply, but more of it since the last call. */
static bool takes_reply(http_conn_t *c)
{
	size_t untaken = tcp_untaken(c->fd);
	uint64_t taken = c->written - (untaken < c->written ? untaken : c->written);
	bool more = taken > c->taken;

	c->taken = taken;
	return more && (c->out.n > 0 || untaken > 0);
}

static void on_timer(void *ctx)
{
	http_conn_t *c = ctx;

	if (c->parse_started && !c->busy && !c->closing)
		give_up(c, 408, "request not received in time");
	else if (takes_reply(c))
		timeout_set(&c->timer, c->closing ? HTTP_READ_SILENT_MS
						  : c->server->options.limits.idle_timeout_ms);
	else
		conn_close(c);
}

static void conn_new(http_server_t *s, int fd)
{
	http_conn_t *c = mem_new(sizeof(*c));
	deadline_t now = clock_now_ms();
	intake_client_t *surplus;

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
	c->client.conn = c;
	intake_add(s->options.intake, &c->client, now);
	conn_account(c);
	while ((surplus = intake_surplus(s->options.intake, now))) {
		http_conn_t *other = surplus->conn;

		give_up(other, 408, "connections");
		conn_close(other); /* without time to read the answer, as it would still count */
	}
}

static void on_accept(struct ev_loop *loop, ev_io *w, int events)
{
	http_server_t *s = w->data;

	for (int i = 0; i < ACCEPTS_MAX; i++) {
		int fd = tcp_accept(s->fd, HTTP_READ_SILENT_MS);

		if (fd < 0)
			return;
		conn_new(s, fd);
	}
}

intake_t *http_intake_new(const http_intake_settings_t *s)
{
	struct rlimit files = {CONNECTIONS_MAX, CONNECTIONS_MAX};
	size_t mib =
		s->memory_mib ? (size_t)s->memory_mib * MEMORY_PERCENT / 100 : MEMORY_DEFAULT_MIB;
	size_t connections;

	getrlimit(RLIMIT_NOFILE, &files);
	connections = files.rlim_cur < CONNECTIONS_MAX ? files.rlim_cur : CONNECTIONS_MAX;
	connections -= connections / DESCRIPTORS_KEPT_DIVISOR;
	if (s->client_memory_mib)
		mib = (size_t)s->client_memory_mib;
	if (s->client_connections && (size_t)s->client_connections < connections)
		connections = (size_t)s->client_connections;
	log_event(LOG_LEVEL_INFO, "client_bounds", LOG_INT("mib", mib),
		  LOG_INT("connections", connections));
	return intake_new(&(intake_options_t){mib << 20, connections});
}

void http_intake_report(const intake_t *in)
{
	metric_set(metric_get(METRIC_GAUGE, "auburn_client_bytes", NULL), (int64_t)intake_held(in));
	metric_set(metric_get(METRIC_GAUGE, "auburn_client_connections", NULL),
		   (int64_t)intake_connections(in));
}

http_server_t *http_server_new(const http_server_options_t *options)
{
	int fd = tcp_listen(options->addr);
	http_server_t *s;

	if (fd < 0)
		return NULL;
	s = mem_new(sizeof(*s));
	s->options = *options;
	s->owns_intake = !options->intake;
	if (s->owns_intake)
		s->options.intake = intake_new(&(intake_options_t){SIZE_MAX, SIZE_MAX});
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
	while ((fd = tcp_accept(s->fd, HTTP_READ_SILENT_MS)) >= 0)
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
	http_server_t *s = arg;

	if (s->owns_intake)
		intake_free(s->options.intake);
	free(s);
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
	c->user_held = 0;
	c->parse_started = 0;
	c->have_head = false;
	c->in_body = false;
	c->body.n = 0;
	c->request_bytes = c->in.n;
	c->taken = c->written;
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
	/* A pipelined request is parsed from the loop, not inside the call that sent the reply.
	 * Large buffers are freed there, too: the caller may still use the request. */
	if (c->in.n > 0 || c->body.cap > BUF_SPARE_BYTES || c->in.cap > BUF_SPARE_BYTES)
		ev_feed_event(c->server->options.loop, &c->rd, EV_READ);
}

void http_conn_hold(http_conn_t *c, size_t bytes)
{
	c->user_held = bytes;
	conn_account(c);
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
	if (!make_reply_room(c, body.n)) {
		c->data = NULL;
		return;
	}
	add_reply_head(c, status, headers);
	buf_addf(&c->out, "Content-Length: %zu\r\n\r\n", body.n);
	buf_reserve_exact(&c->out, body.n);
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
	if (c->closed || c->write_failed || chunk.n == 0)
		return;
	if (c->out.n > UNREAD_MAX_BYTES) {
		give_up(c, 0, "answer not read");
		return;
	}
	if (!make_reply_room(c, chunk.n))
		return;
	if (c->chunked)
		buf_addf(&c->out, "%zx\r\n", chunk.n);
	buf_add(&c->out, chunk);
	if (c->chunked)
		buf_add(&c->out, STR("\r\n"));
	flush_output(c);
}

size_t http_conn_unread(const http_conn_t *c)
{
	return c->out.n;
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
