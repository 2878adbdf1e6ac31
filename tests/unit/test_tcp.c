/* Tests of writes to sockets that fail (net/tcp.h). Guard against bytes that were sent and count as
 * unsent, so that a request runs twice, and against a reset that is taken for an orderly end. */
#include <errno.h>
#include <sys/socket.h>
#include "net/tcp.h"
#include "suite_kit.h"

/** Results of the calls of send, in order: a number of bytes, or an errno as a negative number. */
static int script[4];
static unsigned calls;

/* In place of the library's function. */
ssize_t send(int fd, const void *bytes, size_t n, int flags)
{
	int result = script[calls++];

	if (result >= 0)
		return result;
	errno = -result;
	return -1;
}

static tcp_write_t play(int first, int second, buf_t *out)
{
	calls = 0;
	script[0] = first;
	script[1] = second;
	buf_add(out, STR("0123456789"));
	return tcp_write(0, out);
}

START_TEST(bytes_written_before_a_failure_are_removed)
{
	AUTO_BUF out = {0};

	ck_assert_int_eq(play(4, -ECONNRESET, &out), TCP_WRITE_RESET);
	ck_assert_uint_eq(out.n, 6);
	ck_assert_int_eq(out.p[0], '4');
}
END_TEST

START_TEST(a_full_socket_is_no_failure)
{
	AUTO_BUF out = {0};

	ck_assert_int_eq(play(4, -EAGAIN, &out), TCP_WRITE_OK);
	ck_assert_uint_eq(out.n, 6);
}
END_TEST

START_TEST(only_an_orderly_end_of_the_peer_shows_as_closed)
{
	AUTO_BUF a = {0};
	AUTO_BUF b = {0};
	AUTO_BUF c = {0};

	ck_assert_int_eq(play(-EPIPE, 0, &a), TCP_WRITE_CLOSED);
	ck_assert_int_eq(play(-ECONNRESET, 0, &b), TCP_WRITE_RESET);
	ck_assert_int_eq(play(-ETIMEDOUT, 0, &c), TCP_WRITE_RESET);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("tcp");
	TCase *t = tcase_create("tcp");

	suite_add_tcase(s, t);
	tcase_add_test(t, bytes_written_before_a_failure_are_removed);
	tcase_add_test(t, a_full_socket_is_no_failure);
	tcase_add_test(t, only_an_orderly_end_of_the_peer_shows_as_closed);
	return suite_run(s);
}
