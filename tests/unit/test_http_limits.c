/* Tests of the limits on HTTP input (net/http_server.h, net/http_client.h, net/sse.h). Guard
 * against a peer that sends without end and so fills the memory or keeps a connection or a core
 * busy. */
#include <arpa/inet.h>
#include <errno.h>
#include <limits.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include "net/sse.h"
#include "http_kit.h"
#include "suite_kit.h"

/* ---- events ---- */

static bool on_event(void *ctx, const sse_event_t *e)
{
	*(size_t *)ctx += e->raw.n;
	return true;
}

/* A parser that searches all pending bytes again at each read, or for each event, needs minutes. */
START_TEST(parsing_events_takes_time_in_proportion_to_their_bytes)
{
	static char line[4096];
	static char blank[16384];
	sse_parser_t one = {0};
	sse_parser_t many = {0};
	size_t given = 0;

	memset(line, 'x', sizeof(line));
	memset(blank, '\n', sizeof(blank));
	for (int i = 0; i < 200000; i++)
		ck_assert(sse_feed(&one, (str_t){line, 4}, on_event, &given));
	for (int i = 0; i < 2000; i++)
		ck_assert(sse_feed(&many, (str_t){blank, sizeof(blank)}, on_event, &given));
	sse_free(&one);
	sse_free(&many);
}
END_TEST

START_TEST(an_endless_event_is_an_error)
{
	static char line[4096];
	sse_parser_t s = {0};
	size_t given = 0;
	size_t taken = 0;

	memset(line, 'x', sizeof(line));
	while (sse_feed(&s, (str_t){line, sizeof(line)}, on_event, &given))
		taken += sizeof(line);
	ck_assert_uint_le(taken, SSE_EVENT_MAX_BYTES);
	sse_free(&s);
}
END_TEST

/* ---- a server that sends without end ---- */

typedef struct {
	struct ev_loop *loop;
	ev_io accept;
	ev_io conn;
	str_t reply_start; /* sent once for each request */
	str_t repeat; /* sent without end */
	size_t sent;
} endless_server_t;

/* Answers a request with reply_start and then sends `repeat` as often as the socket takes it. */
static void endless_write(struct ev_loop *loop, ev_io *watcher, int events)
{
	endless_server_t *server = watcher->data;
	ssize_t n;

	if (events & EV_READ) {
		char buf[4096];

		if (recv(watcher->fd, buf, sizeof(buf), MSG_DONTWAIT) <= 0) {
			ev_io_stop(loop, watcher);
			close(watcher->fd);
			return;
		}
		n = send(watcher->fd, server->reply_start.p, server->reply_start.n, MSG_NOSIGNAL);
		server->sent += n > 0 ? (size_t)n : 0;
		ev_io_stop(loop, watcher);
		ev_io_set(watcher, watcher->fd, server->repeat.n ? EV_WRITE : EV_READ);
		ev_io_start(loop, watcher);
		return;
	}
	n = send(watcher->fd, server->repeat.p, server->repeat.n, MSG_NOSIGNAL | MSG_DONTWAIT);
	if (n < 0) {
		ev_io_stop(loop, watcher);
		close(watcher->fd);
		return;
	}
	server->sent += (size_t)n;
}

static void endless_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
	endless_server_t *server = watcher->data;
	int fd = accept(watcher->fd, NULL, NULL);

	ev_io_init(&server->conn, endless_write, fd, EV_READ);
	server->conn.data = server;
	ev_io_start(loop, &server->conn);
}

static void endless_server_open(endless_server_t *server, http_pair_t *p)
{
	struct sockaddr_in sa = {.sin_family = AF_INET, .sin_addr = {htonl(INADDR_LOOPBACK)}};
	unsigned port = pick_port();
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sa.sin_port = htons((uint16_t)port);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	ck_assert_int_eq(listen(fd, 4), 0);
	snprintf(p->addr, sizeof(p->addr), "127.0.0.1:%u", port);
	server->loop = p->loop;
	ev_io_init(&server->accept, endless_accept, fd, EV_READ);
	server->accept.data = server;
	ev_io_start(p->loop, &server->accept);
}

static const struct {
	const char *begin;
	const char *repeat;
	http_call_end_t how;
} replies[] = {
	{"", "xxxxxxxxxxxxxxxx", HTTP_CALL_MALFORMED},
	{"HTTP/1.1 200 OK\r\nX: ", "yyyyyyyyyyyyyyyyyyyyyyyyy", HTTP_CALL_MALFORMED},
	{"HTTP/1.1 200 OK\r\n", "X: y\r\n", HTTP_CALL_MALFORMED},
	{"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", HTTP_CALL_MALFORMED},
	{"HTTP/1.1 200 OK\r\n\r\n", "yyyyyyyyyyyyyyyyyyyyyyyyy", HTTP_CALL_TOO_LONG},
	{"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "yyyyyyyy", HTTP_CALL_TOO_LONG},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", HTTP_CALL_TOO_LONG},
};

START_TEST(an_endless_reply_is_given_up)
{
	endless_server_t server = {.reply_start = str_c(replies[_i].begin)};
	AUTO_BUF repeat = {0};
	http_pair_t p;

	while (repeat.n < 16384)
		buf_add(&repeat, str_c(replies[_i].repeat));
	server.repeat = str_buf(&repeat);
	pair_open(&p);
	endless_server_open(&server, &p);
	start_call(&p, post_request);
	run_loop(&p, 5.0);
	ck_assert_int_eq(p.calls_ended, 1);
	ck_assert_int_eq(p.call_end, replies[_i].how);
	ck_assert_uint_le(p.body.n, RESPONSE_BYTES_MAX);
	ev_io_stop(p.loop, &server.accept);
	close(server.accept.fd);
	pair_close(&p);
}
END_TEST

/* The limit must cover bytes of the framing too, which are not part of the body. */
START_TEST(endless_chunk_extensions_and_trailers_are_given_up)
{
	static const char *const reply_starts[] = {
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"};
	endless_server_t server = {.reply_start = str_c(reply_starts[_i])};
	AUTO_BUF repeat = {0};
	http_pair_t p;

	while (repeat.n < 16384)
		buf_add(&repeat, _i ? STR("X: y\r\n") : STR("yyyyyy"));
	server.repeat = str_buf(&repeat);
	pair_open(&p);
	endless_server_open(&server, &p);
	start_call(&p, post_request);
	run_loop(&p, 5.0);
	ck_assert_int_eq(p.calls_ended, 1);
	ck_assert_int_ne(p.call_end, HTTP_CALL_DONE);
	ev_io_stop(p.loop, &server.accept);
	close(server.accept.fd);
	pair_close(&p);
}
END_TEST

/* ---- clients that hold too much of the server ---- */

static const http_limits_t large_limits = {1024, 1U << 20, 200, 400};

static int connect_to(const http_pair_t *p)
{
	struct sockaddr_in sa = {.sin_family = AF_INET, .sin_addr = {htonl(INADDR_LOOPBACK)}};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sa.sin_port = htons((uint16_t)strtoul(strchr(p->addr, ':') + 1, NULL, 10));
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	return fd;
}

static void send_some(int fd, str_t s)
{
	send(fd, s.p, s.n, MSG_NOSIGNAL | MSG_DONTWAIT);
}

/* The status of the reply that has arrived; 0 if none has. */
static int status_arrived(int fd)
{
	char answer[64] = "";

	recv(fd, answer, sizeof(answer) - 1, MSG_DONTWAIT);
	return strncmp(answer, "HTTP/1.1 ", 9) == 0 ? (int)strtol(answer + 9, NULL, 10) : 0;
}

/* 503 says that the request has not run, so that its caller may repeat it. */
START_TEST(body_that_does_not_fit_the_budget_is_answered_503_and_not_run)
{
	intake_t *in = intake_new(&(intake_options_t){200000, 100});
	AUTO_BUF request = {0};
	http_pair_t p;
	int fd;

	pair_open_limited(&p, large_limits, in);
	buf_add(&request, STR("POST /a HTTP/1.1\r\nContent-Length: 900000\r\n\r\n"));
	while (request.n < 50000)
		buf_add(&request, STR("yyyyyyyy"));
	fd = connect_to(&p);
	for (int i = 0; i < 10; i++) {
		send_some(fd, str_buf(&request));
		run_loop(&p, 0.02);
	}
	ck_assert_int_eq(status_arrived(fd), 503);
	ck_assert_int_eq(p.requests, 0);
	ck_assert_uint_le(intake_held(in), 200000);
	/* An ordinary request is served while that client stays connected. */
	start_call(&p, post_request);
	run_loop(&p, 1.0);
	ck_assert_int_eq(p.status, 200);
	close(fd);
	pair_close(&p);
	ck_assert_uint_eq(intake_held(in), 0);
	intake_free(in);
}
END_TEST

/* Guards against a body that holds its buffers for as long as a byte comes now and then. */
START_TEST(body_below_the_minimum_rate_is_answered_408)
{
	http_pair_t p;
	int status = 0;
	int fd;

	pair_open_limited(&p, large_limits, NULL);
	fd = connect_to(&p);
	send_some(fd, STR("POST /a HTTP/1.1\r\nContent-Length: 100000\r\n\r\n"));
	for (int i = 0; i < 40 && !status; i++) {
		send_some(fd, STR("y"));
		run_loop(&p, 0.05);
		status = status_arrived(fd);
	}
	ck_assert_int_eq(status, 408);
	close(fd);
	pair_close(&p);
}
END_TEST

/* Guards against answers without limit to a client that sends requests and reads nothing. */
START_TEST(answers_that_are_not_read_hold_back_the_requests_after_them)
{
	intake_t *in = intake_new(&(intake_options_t){64U << 20, 100});
	AUTO_BUF request = {0};
	http_pair_t p;
	int fd;

	pair_open_limited(&p, large_limits, in);
	buf_add(&request, STR("POST /a HTTP/1.1\r\nContent-Length: 65536\r\n\r\n"));
	for (int i = 0; i < 8192; i++)
		buf_add(&request, STR("yyyyyyyy"));
	fd = connect_to(&p);
	/* Cut at the socket's buffer: the server sees whole requests and parts of them. */
	for (int i = 0; i < 400; i++) {
		send_some(fd, str_buf(&request));
		run_loop(&p, 0.001);
		ck_assert_uint_le(intake_held(in), 1U << 20);
	}
	ck_assert_int_gt(p.requests, 0);
	ck_assert_int_lt(p.requests, 400);
	close(fd);
	pair_close(&p);
	intake_free(in);
}
END_TEST

START_TEST(idle_connections_beyond_the_bound_are_closed_and_a_new_one_is_served)
{
	intake_t *in = intake_new(&(intake_options_t){64U << 20, 4});
	int fds[12];
	http_pair_t p;

	pair_open_limited(&p, large_limits, in);
	for (int i = 0; i < 12; i++) {
		fds[i] = connect_to(&p);
		run_loop(&p, 0.005);
		ck_assert_uint_le(intake_connections(in), 4);
	}
	start_call(&p, post_request);
	run_loop(&p, 1.0);
	ck_assert_int_eq(p.status, 200);
	for (int i = 0; i < 12; i++)
		close(fds[i]);
	pair_close(&p);
	intake_free(in);
}
END_TEST

/* Guards against closing many connections to make room for one. */
START_TEST(one_connection_is_closed_for_each_beyond_the_bound)
{
	intake_t *in = intake_new(&(intake_options_t){64U << 20, 4});
	int fds[8];
	http_pair_t p;

	pair_open_limited(&p, large_limits, in);
	for (int i = 0; i < 8; i++) {
		fds[i] = connect_to(&p);
		send_some(fds[i], STR("GET /a HT"));
		run_loop(&p, 0.005);
		ck_assert_uint_le(intake_connections(in), 4);
	}
	for (int i = 4; i < 8; i++)
		send_some(fds[i], STR("TP/1.1\r\n\r\n"));
	run_loop(&p, 0.05);
	for (int i = 0; i < 8; i++) {
		ck_assert_int_eq(status_arrived(fds[i]), i < 4 ? 408 : 200);
		close(fds[i]);
	}
	pair_close(&p);
	intake_free(in);
}
END_TEST

/* A stream to a client that does not read ends with its connection, and the user learns of it. */
START_TEST(client_that_does_not_read_a_stream_is_given_up)
{
	intake_t *in = intake_new(&(intake_options_t){2U << 20, 4});
	static char piece[65536];
	http_pair_t p;
	int fd;

	pair_open_limited(&p, large_limits, in);
	p.reply_mode = REPLY_NONE;
	fd = connect_to(&p);
	send_some(fd, post_request);
	run_loop(&p, 0.05);
	ck_assert_int_eq(p.requests, 1);
	http_reply_begin(p.last_conn, 200, STR(""));
	for (int i = 0; i < 1000 && !p.clients_gone; i++) {
		http_reply_chunk(p.last_conn, (str_t){piece, sizeof(piece)});
		ck_assert_uint_le(intake_held(in), 2U << 20);
		run_loop(&p, 0.001);
	}
	ck_assert_int_eq(p.clients_gone, 1);
	close(fd);
	pair_close(&p);
	intake_free(in);
}
END_TEST

/* The server's limits must cover the framing of a request as well as its body. */
START_TEST(a_callers_endless_chunk_extension_is_refused)
{
	http_pair_t p;
	endless_server_t client = {.sent = 0}; /* counts the bytes that the test sends */
	AUTO_BUF piece = {0};
	struct sockaddr_in sa = {.sin_family = AF_INET, .sin_addr = {htonl(INADDR_LOOPBACK)}};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	char answer[64] = "";
	size_t send_max;

	pair_open(&p);
	send_max = 8U << 20; /* far above the limits of head and body and the sockets' buffers */
	sa.sin_port = htons((uint16_t)strtoul(strchr(p.addr, ':') + 1, NULL, 10));
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	buf_add(&piece, STR("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;"));
	while (client.sent < send_max) {
		ssize_t n = send(fd, piece.p, piece.n, MSG_NOSIGNAL | MSG_DONTWAIT);

		if (n < 0 && errno != EAGAIN)
			break;
		client.sent += n > 0 ? (size_t)n : 0;
		piece.n = 0;
		while (piece.n < 16384)
			buf_add(&piece, STR("yyyyyyyy"));
		run_loop(&p, 0.001);
		if (recv(fd, answer, sizeof(answer) - 1, MSG_DONTWAIT) > 0)
			break;
	}
	ck_assert_uint_lt(client.sent, send_max);
	ck_assert_ptr_nonnull(strstr(answer, "413"));
	close(fd);
	pair_close(&p);
}
END_TEST

/* ---- clients that read slowly ---- */

#define REPLY_BYTES (16U << 20)
#define READ_PIECE  65536
/* At most as many times as a reply has pieces. */
#define STALLED_AFTER 40

/* A client with a small receive buffer, and a reply to its request that the sockets' buffers don't
 * hold. */
static int open_slow_reader(http_pair_t *p, bool draining)
{
	AUTO_BUF body = {0};
	int bytes = READ_PIECE;
	int fd;

	pair_open_limited(p, large_limits, NULL);
	p->reply_mode = REPLY_NONE;
	fd = connect_to(p);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	send_some(fd, post_request);
	run_loop(p, 0.05);
	if (draining)
		http_server_drain(p->server);
	buf_reserve_exact(&body, REPLY_BYTES);
	memset(body.p, 'x', REPLY_BYTES);
	body.n = REPLY_BYTES;
	http_reply(p->last_conn, 200, STR(""), str_buf(&body));
	return fd;
}

/* Reads a piece every 10 ms, that is 6 MB/s at most, up to this many pieces; returns the bytes that
 * came. */
static size_t read_slowly(http_pair_t *p, int fd, unsigned pieces)
{
	static char piece[READ_PIECE];
	size_t n = 0;

	for (unsigned i = 0; i < pieces; i++) {
		ssize_t got = recv(fd, piece, sizeof(piece), MSG_DONTWAIT);

		if (got == 0 || (got < 0 && errno != EAGAIN))
			break;
		n += got > 0 ? (size_t)got : 0;
		run_loop(p, 0.01);
	}
	return n;
}

/* Guards against a reply that is cut because its reader needs longer for it than a client may be
 * silent. _i: it is the last one, after which the connection is closed. */
START_TEST(reply_that_is_read_slowly_but_steadily_is_not_cut)
{
	http_pair_t p;
	int fd = open_slow_reader(&p, _i);

	ck_assert_uint_ge(read_slowly(&p, fd, UINT_MAX), REPLY_BYTES);
	close(fd);
	pair_close(&p);
}
END_TEST

/* Guards against a reply that the system cuts, as a window that stays full looks like a dead peer.
 */
START_TEST(reply_whose_reader_pauses_is_not_cut)
{
	http_pair_t p;
	int fd = open_slow_reader(&p, true);
	size_t n = read_slowly(&p, fd, STALLED_AFTER);

	run_loop(&p, 0.7 * HTTP_READ_SILENT_MS / 1000);
	ck_assert_uint_ge(n + read_slowly(&p, fd, UINT_MAX), REPLY_BYTES);
	close(fd);
	pair_close(&p);
}
END_TEST

/* Guards against connections that stay as long as their clients like. */
START_TEST(reply_that_is_no_longer_read_is_given_up)
{
	http_pair_t p;
	int fd = open_slow_reader(&p, _i);

	ck_assert_uint_gt(read_slowly(&p, fd, STALLED_AFTER), 0);
	ck_assert(http_server_pending(p.server));
	for (int i = 0; i < 2 * HTTP_READ_SILENT_MS / 100 && http_server_pending(p.server); i++)
		run_loop(&p, 0.1);
	ck_assert(!http_server_pending(p.server));
	close(fd);
	pair_close(&p);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("http_limits");
	TCase *t = tcase_create("all");

	tcase_set_timeout(t, 20);
	tcase_add_loop_test(t, an_endless_reply_is_given_up, 0,
			    sizeof(replies) / sizeof(replies[0]));
	tcase_add_loop_test(t, endless_chunk_extensions_and_trailers_are_given_up, 0, 2);
	tcase_add_test(t, a_callers_endless_chunk_extension_is_refused);
	tcase_add_test(t, body_that_does_not_fit_the_budget_is_answered_503_and_not_run);
	tcase_add_test(t, body_below_the_minimum_rate_is_answered_408);
	tcase_add_test(t, answers_that_are_not_read_hold_back_the_requests_after_them);
	tcase_add_test(t, idle_connections_beyond_the_bound_are_closed_and_a_new_one_is_served);
	tcase_add_test(t, client_that_does_not_read_a_stream_is_given_up);
	tcase_add_loop_test(t, reply_that_is_read_slowly_but_steadily_is_not_cut, 0, 2);
	tcase_add_test(t, reply_whose_reader_pauses_is_not_cut);
	tcase_add_loop_test(t, reply_that_is_no_longer_read_is_given_up, 0, 2);
	tcase_add_test(t, one_connection_is_closed_for_each_beyond_the_bound);
	tcase_add_test(t, parsing_events_takes_time_in_proportion_to_their_bytes);
	tcase_add_test(t, an_endless_event_is_an_error);
	suite_add_tcase(s, t);
	return suite_run(s);
}
