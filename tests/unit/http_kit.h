/** Helpers for the HTTP tests: a server and a client on one event loop, over loopback. */
#ifndef AUBURN_HTTP_KIT_H
#define AUBURN_HTTP_KIT_H

#include <arpa/inet.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>
#include "net/http_server.h"
#include "net/http_client.h"
#include "suite_kit.h"

/** Limit on the bytes of a response. */
#define RESPONSE_BYTES_MAX (1U << 20)

typedef struct {
	struct ev_loop *loop;
	http_server_t *server;
	http_client_t *client;
	char addr[32];
	int requests; /* seen by the server */
	int clients_gone;
	http_conn_t *last_conn; /* of the last request */
	int calls_ended;
	http_call_end_t call_end; /* of the last call that ended */
	int status; /* of the last response */
	buf_t body; /* of all responses, unless the test resets it */
	const char *headers; /* of replies in REPLY_WHOLE; NULL: one of no meaning */
	bool skip_first;
	/* How the server replies; REPLY_WHOLE echoes the request's body. */
	enum { REPLY_WHOLE, REPLY_CHUNKS, REPLY_ABORTED, REPLY_NONE } reply_mode;
} http_pair_t;

static inline void on_request(void *ctx, http_conn_t *c, const http_request_t *r)
{
	http_pair_t *p = ctx;

	p->requests++;
	p->last_conn = c;
	switch (p->reply_mode) {
	case REPLY_WHOLE:
		http_reply(c, 200, str_c(p->headers ? p->headers : "X: y\r\n"), r->body);
		break;
	case REPLY_CHUNKS:
		http_reply_begin(c, 200, STR(""));
		http_reply_chunk(c, STR("one"));
		http_reply_chunk(c, STR("two"));
		http_reply_end(c);
		break;
	case REPLY_ABORTED:
		http_reply_begin(c, 200, STR(""));
		http_reply_chunk(c, STR("one"));
		http_reply_abort(c);
		break;
	default:
		break;
	}
}

static inline void on_client_gone(void *ctx, http_conn_t *c)
{
	((http_pair_t *)ctx)->clients_gone++;
}

static inline bool on_head_received(void *ctx, const http_head_t *h)
{
	((http_pair_t *)ctx)->status = h->status;
	return true;
}

static inline void on_body_received(void *ctx, str_t piece)
{
	buf_add(&((http_pair_t *)ctx)->body, piece);
}

static inline void on_call_end(void *ctx, http_call_end_t how)
{
	http_pair_t *p = ctx;

	p->calls_ended++;
	p->call_end = how;
	ev_break(p->loop, EVBREAK_ALL);
}

static inline void stop_loop(struct ev_loop *loop, ev_timer *w, int events)
{
	ev_break(loop, EVBREAK_ALL);
}

/* Runs the loop for s seconds, or until a call ends. */
static inline void run_loop(http_pair_t *p, double s)
{
	ev_timer t;

	ev_timer_init(&t, stop_loop, s, 0.0);
	ev_timer_start(p->loop, &t);
	ev_run(p->loop, 0);
	ev_timer_stop(p->loop, &t);
}

static inline unsigned pick_port(void)
{
	struct sockaddr_in sa = {.sin_family = AF_INET, .sin_addr = {htonl(INADDR_LOOPBACK)}};
	socklen_t n = sizeof(sa);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_eq(bind(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	getsockname(fd, (struct sockaddr *)&sa, &n);
	close(fd);
	return ntohs(sa.sin_port);
}

/* intake: of the server, or NULL */
static inline void pair_open_limited(http_pair_t *p, http_limits_t limits, intake_t *intake)
{
	*p = (http_pair_t){.loop = ev_loop_new(EVFLAG_AUTO)};
	snprintf(p->addr, sizeof(p->addr), "127.0.0.1:%u", pick_port());
	p->server = http_server_new(&(http_server_options_t){.loop = p->loop,
							     .addr = p->addr,
							     .limits = limits,
							     .intake = intake,
							     .ctx = p,
							     .request = on_request,
							     .client_gone = on_client_gone});
	ck_assert_ptr_nonnull(p->server);
	p->client = http_client_new(p->loop);
}

static inline void pair_open(http_pair_t *p)
{
	pair_open_limited(p, (http_limits_t){1024, 1024, 200, 400}, NULL);
}

static inline void pair_close(http_pair_t *p)
{
	http_server_close(p->server);
	http_client_close(p->client);
	run_loop(p, 0.01);
	ev_loop_destroy(p->loop);
	buf_free(&p->body);
}

static inline http_call_t *start_call(http_pair_t *p, str_t request)
{
	return http_call_start(p->client,
			       &(http_call_options_t){.request = request,
						      .addr = p->addr,
						      .connect_deadline = clock_now_ms() + 500,
						      .max_bytes = RESPONSE_BYTES_MAX,
						      .ctx = p,
						      .head = on_head_received,
						      .body = on_body_received,
						      .end = on_call_end});
}

static const str_t post_request =
	STR("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello");

#endif
