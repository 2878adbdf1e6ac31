#include "net/tcp.h"

#include <arpa/inet.h>
#include <errno.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include "base/rpc.h"

#define BACKLOG 1024
/** A connection to a server on which nothing was received for this long is probed each second; it
 * breaks at the first probe after TCP_UNTAKEN_MAX_MS without any packet: a TCP_USER_TIMEOUT
 * replaces the number of probes. */
#define KEEPALIVE_S 1

static bool parse_addr(const char *addr, struct sockaddr_in *sa)
{
	char ip[64];
	unsigned port;

	if (rpc_parse_addr(addr, ip, &port) != STATUS_OK)
		return false;
	memset(sa, 0, sizeof(*sa));
	sa->sin_family = AF_INET;
	sa->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, ip, &sa->sin_addr) == 1;
}

static void set_socket_options(int fd, unsigned untaken_max_ms)
{
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &untaken_max_ms, sizeof(untaken_max_ms));
}

/* The peer's kernel answers keep-alive probes, so a process that pauses keeps its connections. */
static void set_keepalive(int fd)
{
	int one = 1;
	int s = KEEPALIVE_S;

	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &s, sizeof(s));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &s, sizeof(s));
}

int tcp_listen(const char *addr)
{
	struct sockaddr_in sa;
	int one = 1;
	int fd;

	if (!parse_addr(addr, &sa)) {
		status_fail(STATUS_INVALID, "%s is not ip:port", addr);
		return -1;
	}
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0 && listen(fd, BACKLOG) == 0)
		return fd;
	status_fail(STATUS_IO, "cannot listen on %s: %s", addr, strerror(errno));
	close(fd);
	return -1;
}

int tcp_accept(int listener, unsigned untaken_max_ms)
{
	int fd = accept4(listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (fd >= 0)
		set_socket_options(fd, untaken_max_ms);
	return fd;
}

int tcp_connect(const char *addr)
{
	struct sockaddr_in sa;
	int fd;

	if (!parse_addr(addr, &sa))
		return -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	set_socket_options(fd, TCP_UNTAKEN_MAX_MS);
	set_keepalive(fd);
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0 || errno == EINPROGRESS)
		return fd;
	close(fd);
	return -1;
}

void tcp_reset_on_close(int fd, bool reset)
{
	struct linger l = {.l_onoff = reset, .l_linger = 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
}

int tcp_connect_error(int fd)
{
	int err = 0;
	socklen_t n = sizeof(err);

	if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &err, &n) != 0)
		return errno;
	return err;
}

long tcp_read(int fd, buf_t *in, size_t max)
{
	char tmp[16384];
	ssize_t n = recv(fd, tmp, max < sizeof(tmp) ? max : sizeof(tmp), 0);

	if (n > 0) {
		buf_add(in, (str_t){tmp, (size_t)n});
		return n;
	}
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return 0;
	return n == 0 ? TCP_READ_CLOSED : TCP_READ_BROKEN;
}

tcp_write_t tcp_write(int fd, buf_t *out)
{
	tcp_write_t result = TCP_WRITE_OK;
	size_t done = 0;

	while (done < out->n) {
		ssize_t n = send(fd, out->p + done, out->n - done, MSG_NOSIGNAL);

		if (n > 0) {
			done += (size_t)n;
			continue;
		}
		if (n < 0 && errno == EINTR)
			continue;
		/* Linux reports a reset that follows the peer's orderly end as EPIPE. */
		if (n < 0 && errno != EAGAIN)
			result = errno == EPIPE ? TCP_WRITE_CLOSED : TCP_WRITE_RESET;
		break;
	}
	buf_drop_front(out, done);
	return result;
}

size_t tcp_untaken(int fd)
{
	int n = 0;

	return ioctl(fd, SIOCOUTQ, &n) == 0 && n > 0 ? (size_t)n : 0;
}
