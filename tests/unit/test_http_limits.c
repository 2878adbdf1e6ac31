/* What comes without end, of a server's answer, of its events, or of a caller's request, is given
 * up within bounds of bytes and time. */
#include <arpa/inet.h>
#include <errno.h>
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

/* What is searched anew at each read, or for each event, takes minutes. */
START_TEST(events_take_time_in_proportion_to_their_bytes)
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

START_TEST(an_event_without_an_end_is_given_up)
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

/* ---- a server that sends whatever it likes ---- */

typedef struct {
	struct ev_loop *loop;
	ev_io accept;
	ev_io conn;
	str_t reply_start; /* sent once for each request */
	str_t repeat; /* sent without end */
	size_t sent;
} raw_t;

static void raw_write(struct ev_loop *loop, ev_io *w, int events)
{
	raw_t *r = w->data;
	ssize_t n;

	if (events & EV_READ) {
		char buf[4096];

		if (recv(w->fd, buf, sizeof(buf), MSG_DONTWAIT) <= 0) {
			ev_io_stop(loop, w);
			close(w->fd);
			return;
		}
		n = send(w->fd, r->reply_start.p, r->reply_start.n, MSG_NOSIGNAL);
		r->sent += n > 0 ? (size_t)n : 0;
		ev_io_stop(loop, w);
		ev_io_set(w, w->fd, r->repeat.n ? EV_WRITE : EV_READ);
		ev_io_start(loop, w);
		return;
	}
	n = send(w->fd, r->repeat.p, r->repeat.n, MSG_NOSIGNAL | MSG_DONTWAIT);
	if (n < 0) {
		ev_io_stop(loop, w);
		close(w->fd);
		return;
	}
	r->sent += (size_t)n;
}

static void raw_accept(struct ev_loop *loop, ev_io *w, int events)
{
	raw_t *r = w->data;
	int fd = accept(w->fd, NULL, NULL);

	ev_io_init(&r->conn, raw_write, fd, EV_READ);
	r->conn.data = r;
	ev_io_start(loop, &r->conn);
}

static void raw_open(raw_t *r, pair_t *p)
{
	struct sockaddr_in sa = {.sin_family = AF_INET, .sin_addr = {htonl(INADDR_LOOPBACK)}};
	unsigned port = free_port();
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sa.sin_port = htons((uint16_t)port);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	ck_assert_int_eq(listen(fd, 4), 0);
	snprintf(p->addr, sizeof(p->addr), "127.0.0.1:%u", port);
	r->loop = p->loop;
	ev_io_init(&r->accept, raw_accept, fd, EV_READ);
	r->accept.data = r;
	ev_io_start(p->loop, &r->accept);
}

static const struct {
	const char *begin;
	const char *repeat;
	http_call_end_t how;
} endless[] = {
	{"", "xxxxxxxxxxxxxxxx", HTTP_CALL_MALFORMED},
	{"HTTP/1.1 200 OK\r\nX: ", "yyyyyyyyyyyyyyyyyyyyyyyyy", HTTP_CALL_MALFORMED},
	{"HTTP/1.1 200 OK\r\n", "X: y\r\n", HTTP_CALL_MALFORMED},
	{"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", HTTP_CALL_MALFORMED},
	{"HTTP/1.1 200 OK\r\n\r\n", "yyyyyyyyyyyyyyyyyyyyyyyyy", HTTP_CALL_TOO_LONG},
	{"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "yyyyyyyy", HTTP_CALL_TOO_LONG},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", HTTP_CALL_TOO_LONG},
};

START_TEST(an_answer_without_end_is_given_up)
{
	raw_t r = {.reply_start = str_c(endless[_i].begin)};
	AUTO_BUF repeat = {0};
	pair_t p;

	while (repeat.n < 16384)
		buf_add(&repeat, str_c(endless[_i].repeat));
	r.repeat = str_buf(&repeat);
	pair_open(&p);
	raw_open(&r, &p);
	call(&p, post);
	turn(&p, 5.0);
	ck_assert_int_eq(p.calls_ended, 1);
	ck_assert_int_eq(p.call_end, endless[_i].how);
	ck_assert_uint_le(p.body.n, ANSWER_BYTES);
	ev_io_stop(p.loop, &r.accept);
	close(r.accept.fd);
	pair_close(&p);
}
END_TEST

/* The same for a framing that carries no body, and for heads of answers to others. */
START_TEST(chunk_extensions_and_trailers_without_end_are_given_up)
{
	static const char *const begins[] = {
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"};
	raw_t r = {.reply_start = str_c(begins[_i])};
	AUTO_BUF repeat = {0};
	pair_t p;

	while (repeat.n < 16384)
		buf_add(&repeat, _i ? STR("X: y\r\n") : STR("yyyyyy"));
	r.repeat = str_buf(&repeat);
	pair_open(&p);
	raw_open(&r, &p);
	call(&p, post);
	turn(&p, 5.0);
	ck_assert_int_eq(p.calls_ended, 1);
	ck_assert_int_ne(p.call_end, HTTP_CALL_DONE);
	ev_io_stop(p.loop, &r.accept);
	close(r.accept.fd);
	pair_close(&p);
}
END_TEST

/* A caller whose framing never ends holds its connection no longer than a body would. */
START_TEST(a_callers_chunk_extension_without_end_is_refused)
{
	pair_t p;
	raw_t r = {.sent = 0};
	AUTO_BUF piece = {0};
	struct sockaddr_in sa = {.sin_family = AF_INET, .sin_addr = {htonl(INADDR_LOOPBACK)}};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	char answer[64] = "";
	size_t most;

	pair_open(&p);
	most = 8U << 20; /* a thousand times the limits of head and body, and what sockets hold */
	sa.sin_port = htons((uint16_t)strtoul(strchr(p.addr, ':') + 1, NULL, 10));
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	buf_add(&piece, STR("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;"));
	while (r.sent < most) {
		ssize_t n = send(fd, piece.p, piece.n, MSG_NOSIGNAL | MSG_DONTWAIT);

		if (n < 0 && errno != EAGAIN)
			break;
		r.sent += n > 0 ? (size_t)n : 0;
		piece.n = 0;
		while (piece.n < 16384)
			buf_add(&piece, STR("yyyyyyyy"));
		turn(&p, 0.001);
		if (recv(fd, answer, sizeof(answer) - 1, MSG_DONTWAIT) > 0)
			break;
	}
	ck_assert_uint_lt(r.sent, most);
	ck_assert_ptr_nonnull(strstr(answer, "413"));
	close(fd);
	pair_close(&p);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("net_endless");
	TCase *t = tcase_create("all");

	tcase_set_timeout(t, 20);
	tcase_add_loop_test(t, an_answer_without_end_is_given_up, 0,
			    sizeof(endless) / sizeof(endless[0]));
	tcase_add_loop_test(t, chunk_extensions_and_trailers_without_end_are_given_up, 0, 2);
	tcase_add_test(t, a_callers_chunk_extension_without_end_is_refused);
	tcase_add_test(t, events_take_time_in_proportion_to_their_bytes);
	tcase_add_test(t, an_event_without_an_end_is_given_up);
	suite_add_tcase(s, t);
	return suite_run(s);
}
