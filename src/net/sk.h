/** Non-blocking TCP sockets. */
#ifndef AUBURN_SK_H
#define AUBURN_SK_H

#include "base/status.h"
#include "base/str.h"

/** Listens on "ip:port"; -1 with a message when that can't be done. */
int sk_listen(const char *addr);
/** Accepts one connection; -1 when none waits. */
int sk_accept(int listener);
/** Begins to connect; -1 when that fails at once. */
int sk_connect(const char *addr);
/** Error of a connect that has ended, 0 when it stands. */
int sk_error(int fd);
#define SK_CLOSED (-1) /* the peer has sent all it will send */
#define SK_BROKEN (-2)

/** Reads what is there, up to max bytes, to the end of in. Returns the count, 0 when nothing waits,
 *  SK_CLOSED or SK_BROKEN. */
long sk_read(int fd, buf_t *in, size_t max);
/** Writes from the front of out and drops what was taken. False when the connection is broken. */
bool sk_write(int fd, buf_t *out);

#endif
