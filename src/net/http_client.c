#include "net/http_client.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>
#include <uthash.h>
#include <utlist.h>
#include "net/tcp.h"
#include "net/timeout.h"

#define READ_BYTES	 16384
#define MAX_HEADER_BYTES 65536
/** An idle connection is closed after this, in ms; below the usual idle timeouts of servers. */
#define IDLE_MS 4000
/** If the server states an idle timeout, the connection is closed after this share of it, if that
 * is sooner: later the server may be closing it too. */
#define IDLE_USE_PERCENT 60
#define IDLE_MAX	 16 /* idle connections per address */
/** Interim (1xx) heads accepted before a response; servers send one or two. */
#define INTERIM_MAX 16

typedef struct conn conn_t;

typedef struct {
	char addr[32];
	conn_t *idle; /* newest first */
	unsigned nidle;
	UT_hash_handle hh;
} host_t;

struct http_client {
	struct ev_loop *loop;
	host_t *hosts;
	conn_t *conns;
	uint64_t connects;
};

struct conn {
	http_client_t *client;
	host_t *host;
	int fd;
	ev_io rd;
	ev_io wr;
	timeout_t timer; /* limits connecting, and later each idle time */
	http_reader_t reader;
	buf_t out;
	buf_t in;
	bool connected;
	bool skip_response; /* the response being read is interim, belongs to another request, or
			       no call is left to receive it */
	bool keep_alive; /* as the last head says */
	bool spoilt; /* not to be used again, whatever later heads say */
	bool response_complete;
	bool reused; /* has served an earlier call */
	unsigned interim_heads; /* interim heads before the current response */
	size_t received; /* bytes since the call began */
	bool sent; /* a byte of the call's request was written to the socket */
	bool reset; /* a write has failed; the end of the stream then shows nothing */
	int64_t idle_ms; /* longest idle time */
	http_call_t *call;
	conn_t *next; /* in the idle list of the host */
	conn_t *all_prev;
	conn_t *all_next;
	bool closed;
};

struct http_call {
	http_call_options_t options;
	conn_t *conn;
};

/* Called from the loop, not from conn_close: functions up the stack may still use the connection.
 */
static void conn_free(int events, void *arg)
{
	conn_t *c = arg;

	http_reader_free(&c->reader);
	buf_free(&c->out);
	buf_free(&c->in);
	free(c);
}

static void remove_idle(conn_t *c)
{
	for (conn_t **p = &c->host->idle; *p; p = &(*p)->next) {
		if (*p == c) {
			*p = c->next;
			c->host->nidle--;
			return;
		}
	}
}

static void conn_close(conn_t *c)
{
	if (c->closed)
		return;
	c->closed = true;
	remove_idle(c);
	DL_DELETE2(c->client->conns, c, all_prev, all_next);
	ev_io_stop(c->client->loop, &c->rd);
	ev_io_stop(c->client->loop, &c->wr);
	timeout_stop(&c->timer);
	close(c->fd);
	ev_once(c->client->loop, -1, 0, 0.0, conn_free, c);
}

/* Detaches the call, if there is one, from its connection, runs its end callback and frees it. */
static void finish_call(conn_t *c, http_call_end_t how)
{
	http_call_t *call = c->call;

	c->call = NULL;
	if (call) {
		call->conn = NULL;
		call->options.end(call->options.ctx, how);
		free(call);
	}
}

/* The connection is closed, so what was not written by now never will be. */
static void fail_call(conn_t *c, http_call_end_t how)
{
	conn_close(c);
	finish_call(c, c->sent ? how : HTTP_CALL_UNSENT);
}

static void read_keep_alive(conn_t *c, const http_head_t *h)
{
	str_t ka = http_header(h, "Keep-Alive");
	long at = str_find(ka, STR("timeout="));
	long long s = 0;

	c->keep_alive = h->keep_alive;
	c->idle_ms = IDLE_MS;
	if (at < 0)
		return;
	for (size_t i = (size_t)at + 8; i < ka.n && ka.p[i] >= '0' && ka.p[i] <= '9' && s < IDLE_MS;
	     i++)
		s = s * 10 + (ka.p[i] - '0');
	/* IDLE_USE_PERCENT of s seconds, in ms */
	if (s * 10 * IDLE_USE_PERCENT < IDLE_MS)
		c->idle_ms = s * 10 * IDLE_USE_PERCENT;
}

static void on_head(void *ctx, const http_head_t *h)
{
	conn_t *c = ctx;

	if (h->status < 200) {
		c->skip_response = true;
		c->interim_heads++;
		return;
	}
	c->interim_heads = 0;
	read_keep_alive(c, h);
	c->skip_response = !c->call || !c->call->options.head(c->call->options.ctx, h);
}

static void on_body(void *ctx, str_t chunk)
{
	conn_t *c = ctx;

	if (!c->skip_response && c->call)
		c->call->options.body(c->call->options.ctx, chunk);
}

static void on_end(void *ctx)
{
	conn_t *c = ctx;

	/* The end of a skipped response does not end the call. */
	c->response_complete = !c->skip_response;
	c->skip_response = false;
}

/* Adds the connection to the idle pool, or closes it if it cannot be reused. */
static void release_conn(conn_t *c)
{
	if (!c->keep_alive || c->spoilt || c->in.n > 0 || c->out.n > 0 || c->idle_ms <= 0 ||
	    c->host->nidle >= IDLE_MAX) {
		conn_close(c);
		return;
	}
	ev_io_start(c->client->loop, &c->rd); /* the call may have been paused */
	c->next = c->host->idle;
	c->host->idle = c;
	c->host->nidle++;
	timeout_set(&c->timer, c->idle_ms);
}

/* Parses the received bytes. The end of the stream completes a response that states no length;
 * otherwise it ends the call as broken. */
static void parse_input(conn_t *c, bool stream_ended)
{
	status_t st = STATUS_OK;
	size_t used;

	while (!c->closed && !c->response_complete && st == STATUS_OK && c->in.n > 0) {
		st = http_reader_feed(&c->reader, str_buf(&c->in), &used);
		if (c->closed)
			return;
		buf_drop_front(&c->in, used < c->in.n ? used : c->in.n);
		if (c->interim_heads > INTERIM_MAX)
			st = STATUS_LIMIT;
		if (!c->response_complete && st == STATUS_OK)
			http_reader_resume(&c->reader);
	}
	if (c->closed)
		return;
	if (st == STATUS_OK && !c->response_complete && stream_ended) {
		st = http_reader_feed(&c->reader, (str_t){"", 0}, &used);
		if (c->closed)
			return;
		if (st != STATUS_OK || !c->response_complete) {
			fail_call(c, HTTP_CALL_BROKEN);
			return;
		}
	}
	if (st != STATUS_OK) {
		fail_call(c, HTTP_CALL_MALFORMED);
		return;
	}
	if (c->response_complete) {
		release_conn(c);
		finish_call(c, HTTP_CALL_DONE);
	}
}

static void on_readable(struct ev_loop *loop, ev_io *w, int events)
{
	conn_t *c = w->data;
	long n = tcp_read(c->fd, &c->in, READ_BYTES);

	c->received += n > 0 ? (size_t)n : 0;
	if (!c->call) {
		/* Input on an idle connection is the end of the stream, or belongs to no call. */
		conn_close(c);
	} else if (c->received > c->call->options.max_bytes) {
		fail_call(c, HTTP_CALL_TOO_LONG);
	} else if (n < 0) {
		c->keep_alive = false;
		parse_input(c, n == TCP_READ_CLOSED && !c->reset);
		if (!c->closed)
			fail_call(c, HTTP_CALL_BROKEN);
	} else if (n > 0) {
		parse_input(c, false);
	}
}

static void flush_output(conn_t *c)
{
	size_t unwritten = c->out.n;
	tcp_write_t result = tcp_write(c->fd, &c->out);

	c->sent |= c->out.n < unwritten;
	if (result != TCP_WRITE_OK) {
		/* The server may have replied before it closed: the reply is still read. */
		ev_io_stop(c->client->loop, &c->wr);
		c->out.n = 0;
		c->keep_alive = false;
		c->reset = result == TCP_WRITE_RESET;
		return;
	}
	if (c->out.n > 0)
		ev_io_start(c->client->loop, &c->wr);
	else
		ev_io_stop(c->client->loop, &c->wr);
}

static void on_writable(struct ev_loop *loop, ev_io *w, int events)
{
	conn_t *c = w->data;

	if (!c->connected) {
		if (tcp_connect_error(c->fd) != 0) {
			fail_call(c, HTTP_CALL_UNSENT);
			return;
		}
		c->connected = true;
		timeout_stop(&c->timer);
		ev_io_start(loop, &c->rd);
		if (c->call && c->call->options.connected)
			c->call->options.connected(c->call->options.ctx);
		if (c->closed)
			return;
	}
	flush_output(c);
}

static void on_timer(void *ctx)
{
	conn_t *c = ctx;

	if (c->call)
		fail_call(c, HTTP_CALL_UNSENT);
	else
		conn_close(c);
}

static host_t *find_or_add_host(http_client_t *h, const char *addr)
{
	host_t *x;

	HASH_FIND_STR(h->hosts, addr, x);
	if (x)
		return x;
	x = mem_new(sizeof(*x));
	snprintf(x->addr, sizeof(x->addr), "%s", addr);
	HASH_ADD_STR(h->hosts, addr, x);
	return x;
}

static conn_t *conn_open(http_client_t *h, host_t *host)
{
	int fd = tcp_connect(host->addr);
	conn_t *c;

	if (fd < 0)
		return NULL;
	c = mem_new(sizeof(*c));
	c->client = h;
	c->host = host;
	c->fd = fd;
	DL_APPEND2(h->conns, c, all_prev, all_next);
	http_reader_init(&c->reader, &(http_reader_options_t){
					     .responses = true,
					     .pause_after_message = true,
					     .max_header_bytes = MAX_HEADER_BYTES,
					     .cb = {c, on_head, on_body, on_end},
				     });
	ev_io_init(&c->rd, on_readable, fd, EV_READ);
	ev_io_init(&c->wr, on_writable, fd, EV_WRITE);
	timeout_init(&c->timer, h->loop, on_timer, c);
	c->rd.data = c->wr.data = c;
	h->connects++;
	return c;
}

static conn_t *take_idle(host_t *host)
{
	conn_t *c = host->idle;

	if (!c)
		return NULL;
	host->idle = c->next;
	host->nidle--;
	timeout_stop(&c->timer);
	http_reader_resume(&c->reader);
	c->response_complete = false;
	c->skip_response = false;
	c->reused = true;
	c->received = 0;
	c->sent = false;
	return c;
}

http_client_t *http_client_new(struct ev_loop *loop)
{
	http_client_t *h = mem_new(sizeof(*h));

	h->loop = loop;
	return h;
}

/* Called from the loop, so that the end callback does not run inside http_call_start. */
static void report_unsent(int revents, void *arg)
{
	http_call_t *call = arg;

	call->options.end(call->options.ctx, HTTP_CALL_UNSENT);
	free(call);
}

void http_call_pause(http_call_t *call, bool paused)
{
	conn_t *c = call->conn;

	if (!c || !c->connected)
		return;
	if (paused)
		ev_io_stop(c->client->loop, &c->rd);
	else
		ev_io_start(c->client->loop, &c->rd);
}

bool http_call_reused_conn(const http_call_t *call)
{
	return call->conn && call->conn->reused;
}

bool http_call_sent(const http_call_t *call)
{
	return call->conn && call->conn->sent;
}

void http_call_close_conn_after(http_call_t *call)
{
	if (call->conn)
		call->conn->spoilt = true;
}

http_call_t *http_call_start(http_client_t *h, const http_call_options_t *options)
{
	host_t *host = find_or_add_host(h, options->addr);
	http_call_t *call = mem_new(sizeof(*call));
	conn_t *c = options->new_conn ? NULL : take_idle(host);

	assert(options->max_bytes > 0);
	call->options = *options;
	if (!c) {
		c = conn_open(h, host);
		if (!c) {
			ev_once(h->loop, -1, 0, 0.0, report_unsent, call);
			return call;
		}
		timeout_set(&c->timer, clock_left_ms(options->connect_deadline));
	}
	c->call = call;
	call->conn = c;
	buf_add(&c->out, options->request);
	if (c->connected)
		flush_output(c);
	else
		ev_io_start(h->loop, &c->wr);
	return call;
}

static void ignore_body(void *ctx, str_t chunk)
{
}

static void ignore_end(void *ctx, http_call_end_t how)
{
}

void http_call_cancel(http_call_t *call)
{
	conn_t *c = call->conn;

	if (!c) {
		/* The connection could not be started: report_unsent is scheduled and will call end
		 * and free the call. ignore_body is never called: no body arrives. */
		call->options.body = ignore_body;
		call->options.end = ignore_end;
		return;
	}
	c->call = NULL;
	conn_close(c);
	free(call);
}

static void client_free(int events, void *arg)
{
	http_client_t *h = arg;
	host_t *x;

	while ((x = h->hosts)) {
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): the freed element was unlinked */
		HASH_DEL(h->hosts, x);
		free(x);
	}
	free(h);
}

void http_client_close_idle(http_client_t *h)
{
	for (host_t *x = h->hosts; x; x = x->hh.next) {
		while (x->idle)
			conn_close(x->idle);
	}
}

void http_client_close(http_client_t *h)
{
	while (h->conns) {
		free(h->conns->call);
		h->conns->call = NULL;
		conn_close(h->conns);
	}
	ev_once(h->loop, -1, 0, 0.0, client_free, h);
}

uint64_t http_client_connects(const http_client_t *h)
{
	return h->connects;
}
