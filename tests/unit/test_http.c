/* Tests of HTTP (net/http.h, net/http_server.h, net/http_client.h) and of server-sent events
 * (net/sse.h). Guard against messages that are misread when the network splits them, and against a
 * broken or cancelled call that is taken for a complete one. */
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include "net/http_server.h"
#include "net/http_client.h"
#include "net/sse.h"
#include "net/tcp.h"
#include "http_kit.h"
#include "suite_kit.h"

/* ---- parser ---- */

typedef struct {
	int heads;
	int ends;
	buf_t body;
	char path[64];
	int status;
} parsed_t;

static void on_parsed_head(void *ctx, const http_head_t *h)
{
	parsed_t *s = ctx;

	s->heads++;
	s->status = h->status;
	snprintf(s->path, sizeof(s->path), "%.*s", STR_ARG(http_path(h->target)));
}

static void on_parsed_body(void *ctx, str_t piece)
{
	buf_add(&((parsed_t *)ctx)->body, piece);
}

static void on_parsed_end(void *ctx)
{
	((parsed_t *)ctx)->ends++;
}

static void init_reader(http_reader_t *p, parsed_t *s, bool responses)
{
	*s = (parsed_t){0};
	http_reader_init(p, &(http_reader_options_t){
				    .responses = responses,
				    .pause_after_message = true,
				    .max_header_bytes = 256,
				    .cb = {s, on_parsed_head, on_parsed_body, on_parsed_end}});
}

START_TEST(a_request_is_parsed_byte_by_byte)
{
	static const char in[] = "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz"
				 "GET /next HTTP/1.1\r\n\r\n";
	http_reader_t p;
	parsed_t s;
	size_t used;
	size_t at = 0;

	init_reader(&p, &s, false);
	while (s.ends == 0) {
		ck_assert_int_eq(http_reader_feed(&p, (str_t){in + at, 1}, &used), STATUS_OK);
		at += used;
	}
	ck_assert_str_eq(s.path, "/a/b");
	ck_assert(str_eq(str_buf(&s.body), STR("xyz")));
	ck_assert_str_eq(in + at, "GET /next HTTP/1.1\r\n\r\n");
	http_reader_resume(&p);
	ck_assert_int_eq(http_reader_feed(&p, str_c(in + at), &used), STATUS_OK);
	ck_assert_int_eq(s.ends, 2);
	ck_assert_str_eq(s.path, "/next");
	buf_free(&s.body);
	http_reader_free(&p);
}
END_TEST

START_TEST(a_pipelined_request_is_not_consumed)
{
	static const char in[] = "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n";
	http_reader_t p;
	parsed_t s;
	size_t used;

	init_reader(&p, &s, false);
	ck_assert_int_eq(http_reader_feed(&p, str_c(in), &used), STATUS_OK);
	ck_assert_int_eq(s.ends, 1);
	ck_assert_str_eq(in + used, "GET /2 HTTP/1.1\r\n\r\n");
	http_reader_free(&p);
}
END_TEST

START_TEST(malformed_and_oversized_heads_are_distinct_errors)
{
	AUTO_BUF big = {0};
	http_reader_t p;
	parsed_t s;
	size_t used;

	init_reader(&p, &s, false);
	ck_assert_int_eq(http_reader_feed(&p, STR("nonsense\r\n\r\n"), &used), STATUS_INVALID);
	http_reader_free(&p);
	buf_add(&big, STR("GET / HTTP/1.1\r\nA: "));
	for (int i = 0; i < 300; i++)
		buf_addc(&big, 'x');
	init_reader(&p, &s, false);
	ck_assert_int_eq(http_reader_feed(&p, str_buf(&big), &used), STATUS_LIMIT);
	http_reader_free(&p);
}
END_TEST

START_TEST(a_response_without_length_ends_with_its_connection)
{
	http_reader_t p;
	parsed_t s;
	size_t used;

	init_reader(&p, &s, true);
	ck_assert_int_eq(http_reader_feed(&p, STR("HTTP/1.1 200 OK\r\n\r\nabc"), &used), STATUS_OK);
	ck_assert_int_eq(s.ends, 0);
	ck_assert_int_eq(http_reader_feed(&p, (str_t){"", 0}, &used), STATUS_OK);
	ck_assert_int_eq(s.ends, 1);
	buf_free(&s.body);
	http_reader_free(&p);
}
END_TEST

/* A response whose connection ended early must not look complete. */
START_TEST(a_truncated_response_does_not_end)
{
	http_reader_t p;
	parsed_t s;
	size_t used;

	init_reader(&p, &s, true);
	http_reader_feed(&p, STR("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab"),
			 &used);
	ck_assert_int_eq(http_reader_feed(&p, (str_t){"", 0}, &used), STATUS_INVALID);
	ck_assert_int_eq(s.ends, 0);
	buf_free(&s.body);
	http_reader_free(&p);
}
END_TEST

/* Guards against an answer that is passed on, or skipped like an interim one, though its status is
 * none. */
START_TEST(a_response_with_an_unknown_status_is_malformed)
{
	static const struct {
		const char *status;
		status_t result;
	} cases[] = {{"000", STATUS_INVALID}, {"099", STATUS_INVALID}, {"100", STATUS_OK},
		     {"200", STATUS_OK},      {"599", STATUS_OK},      {"600", STATUS_INVALID},
		     {"999", STATUS_INVALID}};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		http_reader_t p;
		parsed_t s;
		size_t used;
		char head[64];

		snprintf(head, sizeof(head), "HTTP/1.1 %s X\r\nContent-Length: 0\r\n\r\n",
			 cases[i].status);
		init_reader(&p, &s, true);
		ck_assert_int_eq(http_reader_feed(&p, str_c(head), &used), cases[i].result);
		ck_assert_int_eq(s.heads, cases[i].result == STATUS_OK);
		http_reader_free(&p);
	}
}
END_TEST

/* The head is used when the whole message has arrived, so trailers must not move it in memory. */
START_TEST(trailers_do_not_change_the_head)
{
	AUTO_BUF in = {0};
	http_reader_t p;
	parsed_t s;
	size_t used;

	init_reader(&p, &s, false);
	p.o.max_header_bytes = 65536;
	buf_add(&in, STR("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
			 "3\r\nxyz\r\n0\r\n"));
	for (int i = 0; i < 40; i++)
		buf_addf(&in, "Trailer-%d: %0200d\r\n", i, i);
	buf_add(&in, STR("\r\n"));
	ck_assert_int_eq(http_reader_feed(&p, str_buf(&in), &used), STATUS_OK);
	ck_assert_int_eq(s.ends, 1);
	ck_assert_ptr_eq(p.head.target.p, p.text.p);
	ck_assert(str_eq(http_path(p.head.target), STR("/a")));
	ck_assert(str_eq(http_header(&p.head, "Host"), STR("h")));
	ck_assert_uint_eq(p.head.nheaders, 2);
	buf_free(&s.body);
	http_reader_free(&p);
}
END_TEST

START_TEST(query_parameters_and_numbers_are_parsed)
{
	ck_assert(str_eq(http_query(STR("/a?x=1&after=12"), "after"), STR("12")));
	ck_assert_ptr_null(http_query(STR("/a?x=1&after2=12"), "after").p);
	ck_assert_ptr_null(http_query(STR("/a"), "a").p);
	ck_assert_int_eq(http_parse_number(STR("12")), 12);
	ck_assert_int_eq(http_parse_number(STR("")), -1);
	ck_assert_int_eq(http_parse_number(STR("-1")), -1);
	ck_assert_int_eq(http_parse_number(STR("9999999999999999")), -1);
}
END_TEST

/* ---- events ---- */

typedef struct {
	int count;
	long long last_id;
	buf_t raw;
	buf_t data;
} parsed_events_t;

static bool on_event(void *ctx, const sse_event_t *e)
{
	parsed_events_t *v = ctx;

	v->count++;
	v->last_id = e->id;
	buf_add(&v->raw, e->raw);
	buf_add(&v->data, e->data);
	return true;
}

START_TEST(events_are_found_wherever_the_bytes_are_split)
{
	static const char in[] = "id: 1\ndata: one\n\nweight-versions: 2\nid: 2\ndata: two\n\n"
				 "id: 3\r\ndata: three\r\n\r\nid: 4\ndata: fo";

	for (size_t step = 1; step < sizeof(in); step++) {
		sse_parser_t s = {0};
		parsed_events_t v = {0};

		for (size_t at = 0; at < sizeof(in) - 1; at += step) {
			size_t n = sizeof(in) - 1 - at;

			sse_feed(&s, (str_t){in + at, n < step ? n : step}, on_event, &v);
		}
		ck_assert_int_eq(v.count, 3);
		ck_assert_int_eq(v.last_id, 3);
		ck_assert(str_eq(str_buf(&v.data), STR("onetwothree")));
		ck_assert(str_eq(str_buf(&s.pending), STR("id: 4\ndata: fo")));
		ck_assert_uint_eq(v.raw.n + s.pending.n, sizeof(in) - 1);
		buf_free(&v.raw);
		buf_free(&v.data);
		sse_free(&s);
	}
}
END_TEST

static bool add_bracketed(void *ctx, const sse_event_t *e)
{
	buf_add(ctx, STR("["));
	buf_add(ctx, e->data);
	buf_add(ctx, STR("]"));
	return true;
}

/* Guards against lines of data that get lost, as in the texts of items. */
START_TEST(lines_of_data_are_joined)
{
	static const struct {
		const char *in;
		const char *data; /* of all events, each in brackets */
	} cases[] = {
		{"id: 1\ndata: one\ndata: two\n\n", "[one\ntwo]"},
		{"data: a\nid: 1\ndata:b\ndata:  c\n\ndata: d\n\n", "[a\nb\n c][d]"},
		{"data: a\ndata:\ndata\n\n", "[a\n\n]"},
		{"data:\n\ndata\n\n", "[][]"},
		{"data: a\r\ndata: b\r\n\r\ndata: c\r\n\r\n", "[a\nb][c]"},
		{"data: a\rdata: b\r\rdata: c\r\r", "[a\nb][c]"},
		{"data: a: b\ndatax: c\nDATA: d\n\n", "[a: b]"},
		{": data: a\ndata: b\n\n", "[b]"},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		size_t n = strlen(cases[i].in);

		for (size_t step = 1; step <= n; step++) {
			sse_parser_t s = {0};
			AUTO_BUF got = {0};

			for (size_t at = 0; at < n; at += step) {
				str_t part = {cases[i].in + at, n - at < step ? n - at : step};

				ck_assert(sse_feed(&s, part, add_bracketed, &got));
			}
			ck_assert_msg(str_eq(str_buf(&got), str_c(cases[i].data)),
				      "case %zu, step %zu: %.*s", i, step, STR_ARG(str_buf(&got)));
			ck_assert_uint_eq(s.pending.n, 0);
			sse_free(&s);
		}
	}
}
END_TEST

static bool count_malformed(void *ctx, const sse_event_t *e)
{
	*(int *)ctx += e->is_malformed;
	return true;
}

START_TEST(text_of_another_kind_between_events_is_malformed)
{
	static const struct {
		const char *in;
		int malformed;
	} cases[] = {
		{"id: 1\ndata: one\n\n", 0},
		{"weight-versions: 2\nid: 2\ndata: two\n\n", 0},
		{": ping\n\n", 0},
		{"retry: 100\n\n", 0},
		{"\n\n\n\n", 0},
		{"HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\n", 1},
		{"upstream failed\n\n", 1},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		sse_parser_t s = {0};
		int malformed = 0;

		ck_assert(sse_feed(&s, str_c(cases[i].in), count_malformed, &malformed));
		ck_assert_int_eq(malformed, cases[i].malformed);
		sse_free(&s);
	}
}
END_TEST

/* ---- server and client ---- */

START_TEST(a_call_is_answered_and_its_connection_reused)
{
	http_pair_t p;

	pair_open(&p);
	for (int i = 0; i < 3; i++) {
		p.body.n = 0;
		start_call(&p, post_request);
		run_loop(&p, 1.0);
		ck_assert_int_eq(p.call_end, HTTP_CALL_DONE);
		ck_assert_int_eq(p.status, 200);
		ck_assert(str_eq(str_buf(&p.body), STR("hello")));
	}
	ck_assert_int_eq(p.calls_ended, 3);
	ck_assert_uint_eq(http_client_connects(p.client), 1);
	pair_close(&p);
}
END_TEST

START_TEST(chunks_arrive_and_an_aborted_reply_is_broken)
{
	http_pair_t p;

	pair_open(&p);
	p.reply_mode = REPLY_CHUNKS;
	start_call(&p, post_request);
	run_loop(&p, 1.0);
	ck_assert_int_eq(p.call_end, HTTP_CALL_DONE);
	ck_assert(str_eq(str_buf(&p.body), STR("onetwo")));
	p.reply_mode = REPLY_ABORTED;
	start_call(&p, post_request);
	run_loop(&p, 1.0);
	ck_assert_int_eq(p.call_end, HTTP_CALL_BROKEN);
	pair_close(&p);
}
END_TEST

/* Work for a caller that has left must stop. */
START_TEST(the_server_notices_a_cancelled_call)
{
	http_pair_t p;
	http_call_t *c;

	pair_open(&p);
	p.reply_mode = REPLY_NONE;
	c = start_call(&p, post_request);
	run_loop(&p, 0.1);
	ck_assert_int_eq(p.requests, 1);
	http_call_cancel(c);
	run_loop(&p, 0.1);
	ck_assert_int_eq(p.clients_gone, 1);
	ck_assert_int_eq(p.calls_ended, 0);
	ck_assert_uint_eq(http_server_open_requests(p.server), 0);
	pair_close(&p);
}
END_TEST

/* A call that was surely not received may be retried in any case. */
typedef struct {
	http_pair_t *pair;
	http_call_t *call;
} replaced_call_t;

/* Cancels the call whose connection was made, and starts another one: it gets the same descriptor.
 */
static void replace_call(void *ctx)
{
	replaced_call_t *r = ctx;

	http_call_cancel(r->call);
	start_call(r->pair, STR("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nnew"));
}

START_TEST(a_call_cancelled_as_it_connects_is_not_sent_on_the_connection_of_another)
{
	http_pair_t p;
	replaced_call_t r = {.pair = &p};

	pair_open(&p);
	r.call = http_call_start(p.client,
				 &(http_call_options_t){.request = post_request,
							.addr = p.addr,
							.connect_deadline = clock_now_ms() + 500,
							.max_bytes = RESPONSE_BYTES_MAX,
							.ctx = &r,
							.connected = replace_call});
	run_loop(&p, 1.0);
	ck_assert_int_eq(p.calls_ended, 1);
	run_loop(&p, 0.1);
	ck_assert_int_eq(p.requests, 1);
	ck_assert(str_eq(str_buf(&p.body), STR("new")));
	pair_close(&p);
}
END_TEST

START_TEST(a_call_to_a_closed_port_is_unsent)
{
	http_pair_t p;

	pair_open(&p);
	snprintf(p.addr, sizeof(p.addr), "127.0.0.1:%u", pick_port());
	start_call(&p, post_request);
	run_loop(&p, 1.0);
	ck_assert_int_eq(p.calls_ended, 1);
	ck_assert_int_eq(p.call_end, HTTP_CALL_UNSENT);
	pair_close(&p);
}
END_TEST

START_TEST(a_dead_connection_to_a_server_is_noticed_while_it_is_idle)
{
	http_pair_t p;
	int fd;
	int on = 0;
	int idle_s = 0;
	int interval_s = 0;
	unsigned unacked_ms = 0;
	socklen_t n = sizeof(int);

	pair_open(&p);
	fd = tcp_connect(p.addr);
	ck_assert_int_ge(fd, 0);
	ck_assert_int_eq(getsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, &n), 0);
	ck_assert_int_eq(getsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, &n), 0);
	ck_assert_int_eq(getsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, &n), 0);
	ck_assert_int_eq(getsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_ms, &n), 0);
	ck_assert_int_eq(on, 1);
	ck_assert_uint_gt(unacked_ms, 0);
	ck_assert_int_le((idle_s + interval_s) * 1000 + (int)unacked_ms, 4000);
	close(fd);
	pair_close(&p);
}
END_TEST

START_TEST(idle_connections_are_not_used_again_after_they_were_closed)
{
	http_pair_t p;

	pair_open(&p);
	for (int i = 0; i < 2; i++) {
		start_call(&p, post_request);
		run_loop(&p, 1.0);
		ck_assert_int_eq(p.call_end, HTTP_CALL_DONE);
		http_client_close_idle(p.client);
	}
	ck_assert_uint_eq(http_client_connects(p.client), 2);
	pair_close(&p);
}
END_TEST

/* A number beyond 64 bits would end the connection at once, or never. */
START_TEST(a_huge_idle_timeout_of_a_server_keeps_its_connection)
{
	static const char *const values[] = {"18446744073709551616", "9223372036854775807",
					     "99999999999999999999999999999999"};

	for (size_t i = 0; i < sizeof(values) / sizeof(values[0]); i++) {
		http_pair_t p;
		AUTO_BUF headers = {0};

		buf_addf(&headers, "Keep-Alive: timeout=%s\r\n", values[i]);
		pair_open(&p);
		p.headers = headers.p;
		for (int k = 0; k < 2; k++) {
			start_call(&p, post_request);
			run_loop(&p, 1.0);
			ck_assert_int_eq(p.call_end, HTTP_CALL_DONE);
			run_loop(&p, 0.02);
		}
		ck_assert_uint_eq(http_client_connects(p.client), 1);
		pair_close(&p);
	}
}
END_TEST

START_TEST(a_draining_server_closes_the_connection_after_each_reply)
{
	http_pair_t p;

	pair_open(&p);
	http_server_drain(p.server);
	for (int i = 0; i < 2; i++) {
		start_call(&p, post_request);
		run_loop(&p, 1.0);
		ck_assert_int_eq(p.call_end, HTTP_CALL_DONE);
	}
	ck_assert_uint_eq(http_client_connects(p.client), 2);
	pair_close(&p);
}
END_TEST

/* Connects a plain socket, for input that http_client does not send. */
static int connect_to_server(http_pair_t *p)
{
	struct sockaddr_in sa = {.sin_family = AF_INET, .sin_addr = {htonl(INADDR_LOOPBACK)}};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sa.sin_port = htons((uint16_t)atoi(strchr(p->addr, ':') + 1));
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	return fd;
}

static void expect_reply(int fd, const char *begin)
{
	char got[256] = {0};

	ck_assert_int_gt(recv(fd, got, sizeof(got) - 1, MSG_DONTWAIT), 0);
	ck_assert_msg(strncmp(got, begin, strlen(begin)) == 0, "%s", got);
}

START_TEST(bad_input_gets_one_error_reply)
{
	static const struct {
		const char *in;
		const char *out;
	} cases[] = {
		{"nonsense\r\n\r\n", "HTTP/1.1 400 "},
		{"POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n", "HTTP/1.1 413 "},
		{"POST / HTTP/1.1\r\nContent-Length: 50\r\n\r\nx", "HTTP/1.1 408 "},
		{"GET / HTTP/1.1\r\nHo", "HTTP/1.1 408 "},
		{"GET / HTTP/1.1\r\nCaller : eve\r\n\r\n", "HTTP/1.1 400 "},
		{"GET / HTTP/1.1\r\n Tenant: eve\r\nHost: a\r\n\r\n", "HTTP/1.1 400 "},
	};
	http_pair_t p;

	pair_open(&p);
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		int fd = connect_to_server(&p);

		ck_assert_int_gt(write(fd, cases[i].in, strlen(cases[i].in)), 0);
		run_loop(&p, 0.5);
		expect_reply(fd, cases[i].out);
		close(fd);
		run_loop(&p, 0.05);
	}
	ck_assert_int_eq(p.requests, 0);
	pair_close(&p);
}
END_TEST

START_TEST(a_body_over_the_limit_gets_413)
{
	AUTO_BUF big = {0};
	http_pair_t p;
	int fd;

	pair_open(&p);
	buf_add(&big, STR("POST / HTTP/1.1\r\nContent-Length: 2000\r\n\r\n"));
	for (int i = 0; i < 2000; i++)
		buf_addc(&big, 'x');
	fd = connect_to_server(&p);
	ck_assert_int_gt(write(fd, big.p, big.n), 0);
	run_loop(&p, 0.2);
	expect_reply(fd, "HTTP/1.1 413 ");
	close(fd);
	ck_assert_int_eq(p.requests, 0);
	pair_close(&p);
}
END_TEST

START_TEST(pipelined_requests_are_answered_in_order)
{
	static const char two[] = "POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\na"
				  "POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nb";
	char got[512] = {0};
	http_pair_t p;
	int fd;

	pair_open(&p);
	fd = connect_to_server(&p);
	ck_assert_int_gt(write(fd, two, sizeof(two) - 1), 0);
	run_loop(&p, 0.2);
	ck_assert_int_gt(recv(fd, got, sizeof(got) - 1, MSG_DONTWAIT), 0);
	ck_assert_int_eq(p.requests, 2);
	ck_assert_ptr_nonnull(strstr(got, "\r\n\r\na"));
	ck_assert_ptr_nonnull(strstr(strstr(got, "\r\n\r\na"), "\r\n\r\nb"));
	close(fd);
	pair_close(&p);
}
END_TEST

/* On a reused connection bytes of the earlier response may still arrive. */
START_TEST(a_call_reports_whether_its_connection_was_reused)
{
	http_pair_t p;
	http_call_t *c;

	pair_open(&p);
	c = start_call(&p, post_request);
	ck_assert(!http_call_reused_conn(c));
	run_loop(&p, 1.0);
	ck_assert_int_eq(p.call_end, HTTP_CALL_DONE);
	c = start_call(&p, post_request);
	ck_assert(http_call_reused_conn(c));
	run_loop(&p, 1.0);
	ck_assert_int_eq(p.calls_ended, 2);
	pair_close(&p);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("http");
	TCase *t = tcase_create("all");

	tcase_add_test(t, a_request_is_parsed_byte_by_byte);
	tcase_add_test(t, a_pipelined_request_is_not_consumed);
	tcase_add_test(t, malformed_and_oversized_heads_are_distinct_errors);
	tcase_add_test(t, a_response_without_length_ends_with_its_connection);
	tcase_add_test(t, a_truncated_response_does_not_end);
	tcase_add_test(t, a_response_with_an_unknown_status_is_malformed);
	tcase_add_test(t, trailers_do_not_change_the_head);
	tcase_add_test(t, query_parameters_and_numbers_are_parsed);
	tcase_add_test(t, events_are_found_wherever_the_bytes_are_split);
	tcase_add_test(t, lines_of_data_are_joined);
	tcase_add_test(t, text_of_another_kind_between_events_is_malformed);
	tcase_add_test(t, a_call_is_answered_and_its_connection_reused);
	tcase_add_test(t, a_huge_idle_timeout_of_a_server_keeps_its_connection);
	tcase_add_test(t, chunks_arrive_and_an_aborted_reply_is_broken);
	tcase_add_test(t, the_server_notices_a_cancelled_call);
	tcase_add_test(t, a_call_cancelled_as_it_connects_is_not_sent_on_the_connection_of_another);
	tcase_add_test(t, a_call_to_a_closed_port_is_unsent);
	tcase_add_test(t, a_dead_connection_to_a_server_is_noticed_while_it_is_idle);
	tcase_add_test(t, idle_connections_are_not_used_again_after_they_were_closed);
	tcase_add_test(t, a_draining_server_closes_the_connection_after_each_reply);
	tcase_add_test(t, bad_input_gets_one_error_reply);
	tcase_add_test(t, a_body_over_the_limit_gets_413);
	tcase_add_test(t, pipelined_requests_are_answered_in_order);
	tcase_add_test(t, a_call_reports_whether_its_connection_was_reused);
	suite_add_tcase(s, t);
	return suite_run(s);
}
