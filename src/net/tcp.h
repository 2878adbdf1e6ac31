/** Non-blocking TCP sockets. */
#ifndef AUBURN_TCP_H
#define AUBURN_TCP_H

#include "base/status.h"
#include "base/str.h"

/** Listens on "ip:port"; -1 with a message on failure. */
int tcp_listen(const char *addr);
/** A connection breaks when sent bytes stay unacknowledged for this long, or when its peer's window
 * stays full, in ms. The links between processes notice a silent peer sooner. */
#define TCP_UNTAKEN_MAX_MS 2000

/** Accepts one connection; -1 if none is pending or accepting failed. untaken_max_ms: as
 * TCP_UNTAKEN_MAX_MS, which tcp_connect sets. */
int tcp_accept(int listener, unsigned untaken_max_ms);
/** Starts to connect to "ip:port"; -1 if that fails at once. */
int tcp_connect(const char *addr);
/** Closing the socket from now on resets the connection, or ends it in order again. */
void tcp_reset_on_close(int fd, bool reset);
/** The errno of a finished connect; 0 if the connection is established. */
int tcp_connect_error(int fd);
#define TCP_READ_CLOSED (-1) /* the peer has closed its sending side */
#define TCP_READ_BROKEN (-2)

/** Appends up to max bytes of pending input to in, at most 16384. Returns their number, 0 if none
 * is pending, TCP_READ_CLOSED or TCP_READ_BROKEN. */
long tcp_read(int fd, buf_t *in, size_t max);
typedef enum {
	TCP_WRITE_OK, /* all was written, or the rest waits until the socket is writable */
	TCP_WRITE_CLOSED, /* the peer has closed the connection after the end of its own bytes */
	TCP_WRITE_RESET /* the connection was reset or has failed: the peer's bytes may lack some at
			   their end, though the next tcp_read does not show it, as a socket reports
			   an error only once */
} tcp_write_t;

/** Writes from the front of out and removes the written bytes, also if the connection then fails.
 */
tcp_write_t tcp_write(int fd, buf_t *out);
/** Bytes written that the peer's system has not taken yet; 0 if this system can't tell. */
size_t tcp_untaken(int fd);

#endif
