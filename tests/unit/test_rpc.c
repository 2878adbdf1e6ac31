/* Tests of RPC (base/rpc.h) between threads of one process, of histograms (base/metric.h) and of
 * settings (base/toml.h). Guard against answers that reach the wrong client, and against a peer
 * that freezes in the middle of a message and blocks the server. */
#include <arpa/inet.h>
#include <pthread.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>
#include "base/metric.h"
#include "base/toml.h"
#include "base/rpc.h"
#include "proto/wire.h"
#include "suite_kit.h"

#define ADDR	"127.0.10.1:7311"
#define CALL_MS 5000

static void on_status(void *ctx, const void *arg, void *res)
{
	wire_text_t *t = res;

	t->text = wire_copy(STR("up"));
}

static void on_events(void *ctx, const void *arg, void *res)
{
	const wire_events_arg_t *a = arg;
	wire_text_t *t = res;

	clock_sleep_ms(20);
	t->text = wire_copy(wire_str(a->needle));
}

static const rpc_proc_t procs[] = {
	{AUBURN_STATUS, rpc_xdr_void, 1, XDR_PROC(wire_text_t), sizeof(wire_text_t), on_status},
	{AUBURN_EVENTS, XDR_PROC(wire_events_arg_t), sizeof(wire_events_arg_t),
	 XDR_PROC(wire_text_t), sizeof(wire_text_t), on_events},
	{0},
};

static void start_server(void)
{
	rpc_server_options_t o = {ADDR, AUBURN_CONTROL, AUBURN_CONTROL_V1, procs, NULL};

	ck_assert_msg(rpc_serve(&o) == STATUS_OK, "%s", status_message());
}

static void *client_thread(void *p)
{
	rpc_client_t *c = rpc_client_new(ADDR, AUBURN_CONTROL, AUBURN_CONTROL_V1);
	long *nanswered = p;

	for (int i = 0; i < 10; i++) {
		char text[32];
		wire_events_arg_t arg = {{0}, 1};
		wire_text_t res = {0};

		snprintf(text, sizeof(text), "%p-%d", p, i);
		arg.needle = wire_bytes(str_c(text));
		if (rpc_client_call(c, AUBURN_EVENTS, XDR_PROC(wire_events_arg_t), &arg,
				    XDR_PROC(wire_text_t), &res,
				    clock_now_ms() + CALL_MS) == STATUS_OK &&
		    str_eq(wire_str(res.text), str_c(text)))
			++*nanswered;
		wire_free(XDR_PROC(wire_text_t), &res);
	}
	rpc_client_free(c);
	return NULL;
}

START_TEST(each_client_gets_its_own_answers)
{
	pthread_t t[40];
	long nanswered[40] = {0};

	start_server();
	for (int i = 0; i < 40; i++)
		pthread_create(&t[i], NULL, client_thread, &nanswered[i]);
	for (int i = 0; i < 40; i++) {
		pthread_join(t[i], NULL);
		ck_assert_int_eq(nanswered[i], 10);
	}
}
END_TEST

/* The peer sends the first bytes of a record of 256 bytes and nothing more. */
START_TEST(a_frozen_peer_blocks_no_other_client)
{
	struct sockaddr_in sa = {.sin_family = AF_INET, .sin_port = htons(7311)};
	rpc_client_t *c = rpc_client_new(ADDR, AUBURN_CONTROL, AUBURN_CONTROL_V1);
	wire_text_t res = {0};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	start_server();
	inet_pton(AF_INET, "127.0.10.1", &sa.sin_addr);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	ck_assert_int_eq(write(fd,
			       "\x80\x00\x01\x00"
			       "half",
			       8),
			 8);
	ck_assert_int_eq(rpc_client_call(c, AUBURN_STATUS, rpc_xdr_void, NULL,
					 XDR_PROC(wire_text_t), &res, clock_now_ms() + CALL_MS),
			 STATUS_OK);
	wire_free(XDR_PROC(wire_text_t), &res);
	close(fd);
	rpc_client_free(c);
}
END_TEST

/* A call that was never sent may be retried; one that timed out may have run. */
START_TEST(an_unreachable_server_is_unavailable_not_a_timeout)
{
	rpc_client_t *c = rpc_client_new("127.0.10.1:7312", AUBURN_CONTROL, AUBURN_CONTROL_V1);
	wire_text_t res = {0};

	ck_assert_int_eq(rpc_client_call(c, AUBURN_STATUS, rpc_xdr_void, NULL,
					 XDR_PROC(wire_text_t), &res, clock_now_ms() + CALL_MS),
			 STATUS_UNAVAILABLE);
	rpc_client_free(c);
}
END_TEST

START_TEST(histogram_quantiles_are_within_4_percent)
{
	metric_t *m = metric_get(METRIC_HISTOGRAM, "t_us", NULL);

	for (int i = 1; i <= 10000; i++)
		metric_record(m, i);
	ck_assert_int_ge(metric_quantile(m, 0.99), 9900 * 96 / 100);
	ck_assert_int_le(metric_quantile(m, 0.99), 9900 * 104 / 100);
}
END_TEST

START_TEST(errors_in_settings_name_line_and_key)
{
	AUTO_TOML *c = NULL;
	int64_t port = 0;
	toml_key_t keys[] = {{"port", TOML_INT, true, 1, 65535, &port}, {0}};

	ck_assert_int_eq(toml_parse(STR("port = 70000\n"), "s.toml", &c), STATUS_OK);
	ck_assert_int_eq(toml_read(c, toml_root(c), keys, NULL), STATUS_INVALID);
	ck_assert_str_eq(status_message(), "s.toml:1: port: it must be 1 to 65535");
	toml_free(c);
	ck_assert_int_eq(toml_parse(STR("port = 7\nprot = 7\n"), "s.toml", &c), STATUS_OK);
	ck_assert_int_eq(toml_read(c, toml_root(c), keys, NULL), STATUS_INVALID);
	ck_assert_str_eq(status_message(), "s.toml:2: prot: unknown key");
}
END_TEST

/* The library's check for white space had undefined behaviour on U+00A1 to U+0499. */
START_TEST(letters_outside_ascii_in_a_toml_file_cause_no_undefined_behaviour)
{
	static const char *const refused[] = {"port = 7\n\u00e9 = 7\n", "\u00f8\n",
					      "port = 7 \u0394\n", "[\u00e5]\n",
					      "port\u00e9 = 7\n"};
	AUTO_TOML *c = NULL;

	for (size_t i = 0; i < sizeof(refused) / sizeof(refused[0]); i++)
		ck_assert_int_eq(toml_parse(str_c(refused[i]), "s.toml", &c), STATUS_INVALID);
	ck_assert_int_eq(
		toml_parse(STR("name = \"\u00e9\" # \u00e9\ntext = \"\"\"a\\\n\u00e9\"\"\"\n"),
			   "s.toml", &c),
		STATUS_OK);
}
END_TEST

/* The library frees the tables of a dotted key recursively: 200,000 parts ended the process. */
START_TEST(a_key_with_too_many_parts_is_refused)
{
	static const char *const begins[] = {"",
					     "[",
					     "x = {",
					     "x = [{\"a.b\" . ",
					     "# don't\n",
					     "x = \"\"\"a\"\"\"\" # \\\n",
					     "x = \"a\\\"\"\n",
					     "x = 'a\\'\n",
					     "x = '''\\''''\n"};
	AUTO_TOML *c = NULL;

	for (size_t i = 0; i < sizeof(begins) / sizeof(begins[0]); i++) {
		AUTO_BUF b = {0};

		buf_add(&b, str_c(begins[i]));
		for (int k = 0; k < 200000; k++)
			buf_add(&b, STR("a . "));
		buf_add(&b, STR("a = 1"));
		ck_assert_int_eq(toml_parse(str_buf(&b), "s.toml", &c), STATUS_INVALID);
	}
	ck_assert_int_eq(toml_parse(STR("a.b.c.d.e.f.g.h.i.j.k.l.m.n.o.p = "
					"\"1.2.3.4.5.6.7.8.9.10.11.12.13.14.15.16.17\" "
					"# 1.2.3.4.5.6.7.8.9.10.11.12.13.14.15.16.17\n"
					"[q.r]\ns = [0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, "
					"0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9]\n"),
				    "s.toml", &c),
			 STATUS_OK);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("rpc");
	TCase *t = tcase_create("rpc");

	suite_add_tcase(s, t);
	tcase_add_test(t, each_client_gets_its_own_answers);
	tcase_add_test(t, a_frozen_peer_blocks_no_other_client);
	tcase_add_test(t, an_unreachable_server_is_unavailable_not_a_timeout);
	tcase_add_test(t, histogram_quantiles_are_within_4_percent);
	tcase_add_test(t, errors_in_settings_name_line_and_key);
	tcase_add_test(t, letters_outside_ascii_in_a_toml_file_cause_no_undefined_behaviour);
	tcase_add_test(t, a_key_with_too_many_parts_is_refused);
	return suite_run(s);
}
