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
/** A kept connection isn't used again after this, in ms, unless the server states a shorter time;
 * under the usual idle timeouts of servers. */
#define IDLE_MS 4000
/** Part of the server's stated time after which the connection isn't used again: it may be closing
 * it just then. */
#define IDLE_SHARE_PERCENT 60
#define IDLE_MAX	   16
/** Interim heads before an answer; servers send one or two. */
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
	http_client_t *h;
	host_t *host;
	int fd;
	ev_io rd;
	ev_io wr;
	timeout_t timer;
	http_reader_t parser;
	buf_t out;
	buf_t in;
	bool connected;
	bool skip; /* the answer being read belongs to another request */
	bool keep;
	bool ended;
	bool kept; /* has served a call before */
	unsigned interim; /* heads of the answer that is being read */
	size_t bytes; /* that came since the call began */
	int64_t idle_ms;
	http_call_t *call;
	conn_t *next; /* idle at the same host */
	conn_t *all_prev;
	conn_t *all_next;
	bool dead;
};

struct http_call {
	http_call_options_t o;
	conn_t *conn;
};

/* Frees from the loop, as callers up the stack may still hold the connection. */
static void conn_free(int events, void *arg)
{
	conn_t *c = arg;

	http_reader_free(&c->parser);
	buf_free(&c->out);
	buf_free(&c->in);
	free(c);
}

static void unlink_idle(conn_t *c)
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
	if (c->dead)
		return;
	c->dead = true;
	unlink_idle(c);
	DL_DELETE2(c->h->conns, c, all_prev, all_next);
	ev_io_stop(c->h->loop, &c->rd);
	ev_io_stop(c->h->loop, &c->wr);
	timeout_stop(&c->timer);
	close(c->fd);
	ev_once(c->h->loop, -1, 0, 0.0, conn_free, c);
}

/* Ends the call; its connection is closed unless it may serve another. */
static void end_call(conn_t *c, http_call_end_t how)
{
	http_call_t *call = c->call;

	c->call = NULL;
	if (call) {
		call->conn = NULL;
		call->o.end(call->o.ctx, how);
		free(call);
	}
}

static void fail(conn_t *c, http_call_end_t how)
{
	conn_close(c);
	end_call(c, how);
}

static void read_keep_alive(conn_t *c, const http_head_t *h)
{
	str_t ka = http_header(h, "Keep-Alive");
	long at = str_find(ka, STR("timeout="));
	long long s = 0;

	c->keep = h->keep_alive;
	c->idle_ms = IDLE_MS;
	if (at < 0)
		return;
	for (size_t i = (size_t)at + 8; i < ka.n && ka.p[i] >= '0' && ka.p[i] <= '9'; i++)
		s = s * 10 + (ka.p[i] - '0');
	if (s * 10 * IDLE_SHARE_PERCENT < IDLE_MS)
		c->idle_ms = s * 10 * IDLE_SHARE_PERCENT;
}

static void on_head(void *ctx, const http_head_t *h)
{
	conn_t *c = ctx;

	if (h->status < 200) {
		c->skip = true;
		c->interim++;
		return;
	}
	c->interim = 0;
	read_keep_alive(c, h);
	c->skip = !c->call || !c->call->o.head(c->call->o.ctx, h);
}

static void on_body(void *ctx, str_t piece)
{
	conn_t *c = ctx;

	if (!c->skip && c->call)
		c->call->o.body(c->call->o.ctx, piece);
}

static void on_end(void *ctx)
{
	conn_t *c = ctx;

	c->ended = !c->skip;
	c->skip = false;
}

static void go_idle(conn_t *c)
{
	if (!c->keep || c->in.n > 0 || c->out.n > 0 || c->idle_ms <= 0 ||
	    c->host->nidle >= IDLE_MAX) {
		conn_close(c);
		return;
	}
	c->next = c->host->idle;
	c->host->idle = c;
	c->host->nidle++;
	timeout_set(&c->timer, c->idle_ms);
}

/* Parses what was read; the end of the stream is told by an empty input. */
static void parse(conn_t *c, bool closed)
{
	status_t st = STATUS_OK;
	size_t used;

	while (!c->dead && !c->ended && st == STATUS_OK && c->in.n > 0) {
		st = http_reader_feed(&c->parser, str_buf(&c->in), &used);
		if (c->dead)
			return;
		buf_drop_front(&c->in, used < c->in.n ? used : c->in.n);
		if (c->interim > INTERIM_MAX)
			st = STATUS_LIMIT;
		if (!c->ended && st == STATUS_OK)
			http_reader_resume(&c->parser);
	}
	if (c->dead)
		return;
	if (st == STATUS_OK && !c->ended && closed) {
		st = http_reader_feed(&c->parser, (str_t){"", 0}, &used);
		if (c->dead)
			return;
		if (st != STATUS_OK || !c->ended) {
			fail(c, HTTP_CALL_BROKEN);
			return;
		}
	}
	if (st != STATUS_OK) {
		fail(c, HTTP_CALL_MALFORMED);
		return;
	}
	if (c->ended) {
		go_idle(c);
		end_call(c, HTTP_CALL_DONE);
	}
}

static void on_readable(struct ev_loop *loop, ev_io *w, int events)
{
	conn_t *c = w->data;
	long n = tcp_read(c->fd, &c->in, READ_BYTES);

	c->bytes += n > 0 ? (size_t)n : 0;
	if (!c->call) {
		/* An idle connection that speaks or ends serves nobody. */
		conn_close(c);
	} else if (c->bytes > c->call->o.max_bytes) {
		fail(c, HTTP_CALL_TOO_LONG);
	} else if (n < 0) {
		c->keep = false;
		parse(c, n == TCP_READ_CLOSED);
		if (n == TCP_READ_BROKEN && !c->dead)
			fail(c, HTTP_CALL_BROKEN);
	} else if (n > 0) {
		parse(c, false);
	}
}

static void flush(conn_t *c)
{
	if (!tcp_write(c->fd, &c->out)) {
		/* What the server said before it closed is still read. */
		ev_io_stop(c->h->loop, &c->wr);
		c->out.n = 0;
		c->keep = false;
		return;
	}
	if (c->out.n > 0)
		ev_io_start(c->h->loop, &c->wr);
	else
		ev_io_stop(c->h->loop, &c->wr);
}

static void on_writable(struct ev_loop *loop, ev_io *w, int events)
{
	conn_t *c = w->data;

	if (!c->connected) {
		if (tcp_connect_error(c->fd) != 0) {
			fail(c, HTTP_CALL_UNSENT);
			return;
		}
		c->connected = true;
		timeout_stop(&c->timer);
		ev_io_start(loop, &c->rd);
	}
	flush(c);
}

static void on_timer(void *ctx)
{
	conn_t *c = ctx;

	if (c->call)
		fail(c, HTTP_CALL_UNSENT);
	else
		conn_close(c);
}

static host_t *host_of(http_client_t *h, const char *addr)
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
	c->h = h;
	c->host = host;
	c->fd = fd;
	DL_APPEND2(h->conns, c, all_prev, all_next);
	http_reader_init(&c->parser, &(http_reader_options_t){
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
	http_reader_resume(&c->parser);
	c->ended = false;
	c->skip = false;
	c->kept = true;
	c->bytes = 0;
	return c;
}

http_client_t *http_client_new(struct ev_loop *loop)
{
	http_client_t *h = mem_new(sizeof(*h));

	h->loop = loop;
	return h;
}

static void on_unsent(int revents, void *arg)
{
	http_call_t *call = arg;

	call->o.end(call->o.ctx, HTTP_CALL_UNSENT);
	free(call);
}

bool http_call_reused_conn(const http_call_t *call)
{
	return call->conn && call->conn->kept;
}

http_call_t *http_call_start(http_client_t *h, const http_call_options_t *o)
{
	host_t *host = host_of(h, o->addr);
	http_call_t *call = mem_new(sizeof(*call));
	conn_t *c = o->new_conn ? NULL : take_idle(host);

	assert(o->max_bytes > 0);
	call->o = *o;
	if (!c) {
		c = conn_open(h, host);
		if (!c) {
			ev_once(h->loop, -1, 0, 0.0, on_unsent, call);
			return call;
		}
		timeout_set(&c->timer, clock_left_ms(o->connect_deadline));
	}
	c->call = call;
	call->conn = c;
	buf_add(&c->out, o->request);
	if (c->connected)
		flush(c);
	else
		ev_io_start(h->loop, &c->wr);
	return call;
}

static void drop_body(void *ctx, str_t piece)
{
}

static void drop_end(void *ctx, http_call_end_t how)
{
}

void http_call_cancel(http_call_t *call)
{
	conn_t *c = call->conn;

	if (!c) {
		/* Its end is already on the way and finds nobody. */
		call->o.body = drop_body;
		call->o.end = drop_end;
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
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): what is freed was unlinked */
		HASH_DEL(h->hosts, x);
		free(x);
	}
	free(h);
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
