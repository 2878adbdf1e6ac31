/** A listener and a client on one loop, over loopback, for tests. */
#ifndef AUBURN_HTTP_KIT_H
#define AUBURN_HTTP_KIT_H

#include <arpa/inet.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>
#include "net/http_server.h"
#include "net/http_client.h"
#include "suite_kit.h"

/** Most bytes of an answer to a call. */
#define ANSWER_BYTES (1U << 20)

typedef struct {
	struct ev_loop *loop;
	http_server_t *server;
	http_client_t *client;
	char addr[32];
	int requests;
	int clients_gone;
	http_conn_t *last_conn;
	int calls_ended;
	http_call_end_t call_end;
	int status;
	buf_t body;
	bool skip_first;
	enum { WHOLE, STREAM, ABORT, HOLD } reply_mode;
} pair_t;

static inline void serve(void *ctx, http_conn_t *c, const http_request_t *r)
{
	pair_t *p = ctx;

	p->requests++;
	p->last_conn = c;
	switch (p->reply_mode) {
	case WHOLE:
		http_reply(c, 200, STR("X: y\r\n"), r->body);
		break;
	case STREAM:
		http_reply_begin(c, 200, STR(""));
		http_reply_chunk(c, STR("one"));
		http_reply_chunk(c, STR("two"));
		http_reply_end(c);
		break;
	case ABORT:
		http_reply_begin(c, 200, STR(""));
		http_reply_chunk(c, STR("one"));
		http_reply_abort(c);
		break;
	default:
		break;
	}
}

static inline void on_gone(void *ctx, http_conn_t *c)
{
	((pair_t *)ctx)->clients_gone++;
}

static inline bool call_head(void *ctx, const http_head_t *h)
{
	((pair_t *)ctx)->status = h->status;
	return true;
}

static inline void call_body(void *ctx, str_t piece)
{
	buf_add(&((pair_t *)ctx)->body, piece);
}

static inline void call_end(void *ctx, http_call_end_t how)
{
	pair_t *p = ctx;

	p->calls_ended++;
	p->call_end = how;
	ev_break(p->loop, EVBREAK_ALL);
}

static inline void on_timeout(struct ev_loop *loop, ev_timer *w, int events)
{
	ev_break(loop, EVBREAK_ALL);
}

static inline void turn(pair_t *p, double s)
{
	ev_timer t;

	ev_timer_init(&t, on_timeout, s, 0.0);
	ev_timer_start(p->loop, &t);
	ev_run(p->loop, 0);
	ev_timer_stop(p->loop, &t);
}

static inline unsigned free_port(void)
{
	struct sockaddr_in sa = {.sin_family = AF_INET, .sin_addr = {htonl(INADDR_LOOPBACK)}};
	socklen_t n = sizeof(sa);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_eq(bind(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	getsockname(fd, (struct sockaddr *)&sa, &n);
	close(fd);
	return ntohs(sa.sin_port);
}

static inline void pair_open(pair_t *p)
{
	*p = (pair_t){.loop = ev_loop_new(EVFLAG_AUTO)};
	snprintf(p->addr, sizeof(p->addr), "127.0.0.1:%u", free_port());
	p->server = http_server_new(&(http_server_options_t){.loop = p->loop,
							     .addr = p->addr,
							     .limits = {1024, 1024, 200, 400},
							     .ctx = p,
							     .request = serve,
							     .client_gone = on_gone});
	ck_assert_ptr_nonnull(p->server);
	p->client = http_client_new(p->loop);
}

static inline void pair_close(pair_t *p)
{
	http_server_close(p->server);
	http_client_close(p->client);
	turn(p, 0.01);
	ev_loop_destroy(p->loop);
	buf_free(&p->body);
}

static inline http_call_t *call(pair_t *p, str_t request)
{
	return http_call_start(p->client,
			       &(http_call_options_t){.request = request,
						      .addr = p->addr,
						      .connect_deadline = clock_now_ms() + 500,
						      .max_bytes = ANSWER_BYTES,
						      .ctx = p,
						      .head = call_head,
						      .body = call_body,
						      .end = call_end});
}

static const str_t post = STR("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello");

#endif
