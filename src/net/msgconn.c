#include "net/msgconn.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include "net/tcp.h"

#define LENGTH_BYTES 4
#define READ_BYTES   16384
/** A larger frame means a peer that speaks another protocol. This is twice the largest route delta
 * before compression (DELTA_SIZE_MAX). Configs have up to 16 MiB; lots usually up to 4 MiB, as
 * their limit is set by the config. The jobs of the ledger are not sent on links. Senders do not
 * check the size. */
#define FRAME_MAX_BYTES (64U << 20)
/** A connection with more unsent bytes is closed: its peer does not read. */
#define UNSENT_MAX_BYTES (96U << 20)

struct msgconn {
	msgconn_options_t options;
	int fd;
	ev_io rd;
	ev_io wr;
	buf_t in;
	buf_t out;
	bool connected;
	bool is_closed;
	deadline_t last_received;
	uint64_t received_bytes;
	void *data;
};

/* Called from the loop, not from msgconn_close: functions up the stack may still use the
 * connection. */
static void conn_free(int events, void *arg)
{
	msgconn_t *c = arg;

	buf_free(&c->in);
	buf_free(&c->out);
	free(c);
}

void msgconn_close(msgconn_t *c)
{
	if (c->is_closed)
		return;
	if (c->connected && c->out.n > 0)
		tcp_write(c->fd, &c->out);
	c->is_closed = true;
	ev_io_stop(c->options.loop, &c->rd);
	ev_io_stop(c->options.loop, &c->wr);
	close(c->fd);
	ev_once(c->options.loop, -1, 0, 0.0, conn_free, c);
}

static void close_and_notify(msgconn_t *c)
{
	if (c->is_closed)
		return;
	msgconn_close(c);
	c->options.closed(c->options.ctx, c);
}

static void deliver_frames(msgconn_t *c)
{
	size_t at = 0;

	while (!c->is_closed && c->in.n - at >= LENGTH_BYTES) {
		uint32_t n;

		memcpy(&n, c->in.p + at, LENGTH_BYTES);
		n = ntohl(n);
		if (n > FRAME_MAX_BYTES) {
			close_and_notify(c);
			return;
		}
		if (c->in.n - at < LENGTH_BYTES + n)
			break;
		at += LENGTH_BYTES;
		c->options.message(c->options.ctx, c, (str_t){c->in.p + at, n});
		at += n;
	}
	if (c->is_closed)
		return;
	buf_drop_front(&c->in, at);
	buf_shrink(&c->in);
}

static void on_readable(struct ev_loop *loop, ev_io *w, int events)
{
	msgconn_t *c = w->data;
	long n = tcp_read(c->fd, &c->in, READ_BYTES);

	if (n > 0) {
		c->last_received = clock_now_ms();
		c->received_bytes += (uint64_t)n;
		deliver_frames(c);
	} else if (n < 0) {
		close_and_notify(c);
	}
}

static void flush_output(msgconn_t *c)
{
	if (tcp_write(c->fd, &c->out) != TCP_WRITE_OK)
		close_and_notify(c);
	else if (c->out.n > 0)
		ev_io_start(c->options.loop, &c->wr);
	else
		ev_io_stop(c->options.loop, &c->wr);
	buf_shrink(&c->out);
}

static void on_writable(struct ev_loop *loop, ev_io *w, int events)
{
	msgconn_t *c = w->data;

	if (!c->connected) {
		if (tcp_connect_error(c->fd) != 0) {
			close_and_notify(c);
			return;
		}
		c->connected = true;
		c->last_received = clock_now_ms();
		ev_io_start(loop, &c->rd);
		if (c->options.opened)
			c->options.opened(c->options.ctx, c);
	}
	if (!c->is_closed)
		flush_output(c);
}

static msgconn_t *conn_new(int fd, const msgconn_options_t *options, bool connected)
{
	msgconn_t *c = mem_new(sizeof(*c));

	c->options = *options;
	c->fd = fd;
	c->connected = connected;
	c->last_received = clock_now_ms();
	ev_io_init(&c->rd, on_readable, fd, EV_READ);
	ev_io_init(&c->wr, on_writable, fd, EV_WRITE);
	c->rd.data = c->wr.data = c;
	/* After the reads of the same loop iteration: what they send goes out together. */
	ev_set_priority(&c->wr, EV_MINPRI);
	ev_io_start(options->loop, connected ? &c->rd : &c->wr);
	return c;
}

msgconn_t *msgconn_connect(const char *addr, const msgconn_options_t *options)
{
	int fd = tcp_connect(addr);

	return fd < 0 ? NULL : conn_new(fd, options, false);
}

msgconn_t *msgconn_from_fd(int fd, const msgconn_options_t *options)
{
	return conn_new(fd, options, true);
}

void msgconn_send(msgconn_t *c, str_t m)
{
	uint32_t n = htonl((uint32_t)m.n);

	if (c->is_closed)
		return;
	buf_add(&c->out, (str_t){(const char *)&n, LENGTH_BYTES});
	buf_add(&c->out, m);
	if (!c->connected)
		return;
	/* After the shutdown the loop reads the end of the stream and calls closed: no callback
	 * runs inside this function. */
	if (c->out.n > UNSENT_MAX_BYTES) {
		c->out.n = 0;
		shutdown(c->fd, SHUT_RDWR);
	} else if (!ev_is_active(&c->wr)) {
		ev_feed_event(c->options.loop, &c->wr, EV_WRITE);
	}
}

void msgconn_set_data(msgconn_t *c, void *data)
{
	c->data = data;
}

void *msgconn_data(const msgconn_t *c)
{
	return c->data;
}

deadline_t msgconn_last_received(const msgconn_t *c)
{
	return c->last_received;
}

uint64_t msgconn_received_bytes(const msgconn_t *c)
{
	return c->received_bytes;
}
