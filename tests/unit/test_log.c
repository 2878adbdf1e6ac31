/* Tests of log lines (base/log.h). Guard against a log that blocks the process when nobody reads
 * its output, and against a frequent event that crowds out all others. */
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"
#include "suite_kit.h"

/* Makes standard output a pipe that nobody reads; returns the old standard output. */
static int redirect_stdout(int fds[2])
{
	int old_stdout = dup(STDOUT_FILENO);

	ck_assert_int_eq(pipe(fds), 0);
	dup2(fds[1], STDOUT_FILENO);
	return old_stdout;
}

START_TEST(a_reader_that_does_not_read_blocks_no_writer)
{
	static const char *const names[] = {"a", "b", "c", "d", "e", "f", "g", "h"};
	int fds[2];
	int old_stdout = redirect_stdout(fds);
	deadline_t begun = clock_now_ms();

	log_open("test", LOG_LEVEL_INFO);
	for (int i = 0; i < 8 * 200; i++)
		log_event(LOG_LEVEL_INFO, names[i % 8],
			  LOG_CSTR("filler", "0123456789012345678901234567890123456789"));
	dup2(old_stdout, STDOUT_FILENO);
	ck_assert_int_lt(clock_now_ms() - begun, 2000);
	ck_assert_int_gt(
		metric_value(metric_get(METRIC_COUNTER, "auburn_log_lines_lost_total", NULL)), 0);
}
END_TEST

START_TEST(a_frequent_event_is_limited_and_the_lines_left_out_are_counted)
{
	char buf[65536] = {0};
	int fds[2];
	int old_stdout = redirect_stdout(fds);

	log_open("test", LOG_LEVEL_INFO);
	for (int i = 0; i < 1000; i++)
		log_event(LOG_LEVEL_INFO, "busy", LOG_INT("i", i));
	clock_sleep_ms(1100);
	log_event(LOG_LEVEL_INFO, "busy", LOG_INT("i", 1000));
	dup2(old_stdout, STDOUT_FILENO);
	fcntl(fds[0], F_SETFL, O_NONBLOCK);
	ck_assert_int_gt(read(fds[0], buf, sizeof(buf) - 1), 0);
	ck_assert_ptr_nonnull(strstr(buf, "event=busy i=0"));
	ck_assert_ptr_null(strstr(buf, "event=busy i=900\n"));
	ck_assert_ptr_nonnull(strstr(buf, "event=lines_left_out of=busy count="));
	ck_assert_ptr_nonnull(strstr(buf, "event=busy i=1000"));
}
END_TEST

/* Guards against a log that a reader of UTF-8 gives up because of the id of one request. */
START_TEST(a_line_is_utf8_whatever_the_bytes_of_its_values)
{
	char buf[4096] = {0};
	int fds[2];
	int old_stdout = redirect_stdout(fds);
	char cut[600];

	memset(cut, 'a', 511);
	memset(cut + 511, '\xc3', 2);
	log_open("test", LOG_LEVEL_INFO);
	log_event(LOG_LEVEL_INFO, "odd_id",
		  LOG_STR("request", STR("r\xff"
					 "1")),
		  LOG_STR("sound", STR("caf\xc3\xa9")), LOG_STR("cut", ((str_t){cut, 513})));
	dup2(old_stdout, STDOUT_FILENO);
	ck_assert_int_gt(read(fds[0], buf, sizeof(buf) - 1), 0);
	ck_assert_ptr_nonnull(strstr(buf, "event=odd_id request=\"r\xef\xbf\xbd"
					  "1\" sound=caf\xc3\xa9 cut=\"a"));
	ck_assert_ptr_nonnull(strstr(buf, "a\xef\xbf\xbd\"\n"));
}
END_TEST

int main(void)
{
	Suite *s = suite_create("log");
	TCase *t = tcase_create("all");

	tcase_add_test(t, a_reader_that_does_not_read_blocks_no_writer);
	tcase_add_test(t, a_frequent_event_is_limited_and_the_lines_left_out_are_counted);
	tcase_add_test(t, a_line_is_utf8_whatever_the_bytes_of_its_values);
	suite_add_tcase(s, t);
	return suite_run(s);
}
