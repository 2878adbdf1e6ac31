/** Non-blocking TCP sockets. */
#ifndef AUBURN_TCP_H
#define AUBURN_TCP_H

#include "base/status.h"
#include "base/str.h"

/** Listens on "ip:port"; -1 with a message when that can't be done. */
int tcp_listen(const char *addr);
/** Accepts one connection; -1 when none waits. */
int tcp_accept(int listener);
/** Begins to connect; -1 when that fails at once. */
int tcp_connect(const char *addr);
/** Error of a connect that has ended, 0 when it stands. */
int tcp_connect_error(int fd);
#define TCP_READ_CLOSED (-1) /* the peer has sent all it will send */
#define TCP_READ_BROKEN (-2)

/** Reads what is there, up to max bytes, to the end of in. Returns the count, 0 when nothing waits,
 *  TCP_READ_CLOSED or TCP_READ_BROKEN. */
long tcp_read(int fd, buf_t *in, size_t max);
/** Writes from the front of out and drops what was taken. False when the connection is broken. */
bool tcp_write(int fd, buf_t *out);

#endif
