#include "net/msgconn.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include "net/tcp.h"

#define LENGTH_BYTES 4
#define READ_BYTES   16384
/** A larger frame means a peer that speaks another protocol: twice the largest batch job. */
#define FRAME_MAX_BYTES (64U << 20)
/** A peer that has not read this much is given up on. */
#define UNSENT_MAX_BYTES (96U << 20)

struct msgconn {
	msgconn_options_t o;
	int fd;
	ev_io rd;
	ev_io wr;
	buf_t in;
	buf_t out;
	bool connected;
	bool dead;
	deadline_t heard;
	void *data;
};

/* Frees from the loop, as callers up the stack may still hold the link. */
static void msgconn_free(int events, void *arg)
{
	msgconn_t *l = arg;

	buf_free(&l->in);
	buf_free(&l->out);
	free(l);
}

void msgconn_close(msgconn_t *l)
{
	if (l->dead)
		return;
	l->dead = true;
	ev_io_stop(l->o.loop, &l->rd);
	ev_io_stop(l->o.loop, &l->wr);
	close(l->fd);
	ev_once(l->o.loop, -1, 0, 0.0, msgconn_free, l);
}

static void lost(msgconn_t *l)
{
	if (l->dead)
		return;
	msgconn_close(l);
	l->o.closed(l->o.ctx, l);
}

static void take_frames(msgconn_t *l)
{
	size_t at = 0;

	while (!l->dead && l->in.n - at >= LENGTH_BYTES) {
		uint32_t n;

		memcpy(&n, l->in.p + at, LENGTH_BYTES);
		n = ntohl(n);
		if (n > FRAME_MAX_BYTES) {
			lost(l);
			return;
		}
		if (l->in.n - at < LENGTH_BYTES + n)
			break;
		at += LENGTH_BYTES;
		l->o.message(l->o.ctx, l, (str_t){l->in.p + at, n});
		at += n;
	}
	if (!l->dead)
		buf_drop_front(&l->in, at);
}

static void on_readable(struct ev_loop *loop, ev_io *w, int events)
{
	msgconn_t *l = w->data;
	long n = tcp_read(l->fd, &l->in, READ_BYTES);

	if (n > 0) {
		l->heard = clock_now_ms();
		take_frames(l);
	} else if (n < 0) {
		lost(l);
	}
}

static void flush(msgconn_t *l)
{
	if (!tcp_write(l->fd, &l->out))
		lost(l);
	else if (l->out.n > 0)
		ev_io_start(l->o.loop, &l->wr);
	else
		ev_io_stop(l->o.loop, &l->wr);
}

static void on_writable(struct ev_loop *loop, ev_io *w, int events)
{
	msgconn_t *l = w->data;

	if (!l->connected) {
		if (tcp_connect_error(l->fd) != 0) {
			lost(l);
			return;
		}
		l->connected = true;
		l->heard = clock_now_ms();
		ev_io_start(loop, &l->rd);
		if (l->o.opened)
			l->o.opened(l->o.ctx, l);
	}
	if (!l->dead)
		flush(l);
}

static msgconn_t *make(int fd, const msgconn_options_t *o, bool connected)
{
	msgconn_t *l = mem_new(sizeof(*l));

	l->o = *o;
	l->fd = fd;
	l->connected = connected;
	l->heard = clock_now_ms();
	ev_io_init(&l->rd, on_readable, fd, EV_READ);
	ev_io_init(&l->wr, on_writable, fd, EV_WRITE);
	l->rd.data = l->wr.data = l;
	ev_io_start(o->loop, connected ? &l->rd : &l->wr);
	return l;
}

msgconn_t *msgconn_connect(const char *addr, const msgconn_options_t *o)
{
	int fd = tcp_connect(addr);

	return fd < 0 ? NULL : make(fd, o, false);
}

msgconn_t *msgconn_from_fd(int fd, const msgconn_options_t *o)
{
	return make(fd, o, true);
}

void msgconn_send(msgconn_t *l, str_t m)
{
	uint32_t n = htonl((uint32_t)m.n);

	if (l->dead)
		return;
	buf_add(&l->out, (str_t){(const char *)&n, LENGTH_BYTES});
	buf_add(&l->out, m);
	if (!l->connected)
		return;
	/* The peer is lost from the loop, never from inside the caller's own step. */
	if (l->out.n > UNSENT_MAX_BYTES || !tcp_write(l->fd, &l->out)) {
		l->out.n = 0;
		shutdown(l->fd, SHUT_RDWR);
		return;
	}
	if (l->out.n > 0)
		ev_io_start(l->o.loop, &l->wr);
}

void msgconn_set_data(msgconn_t *l, void *data)
{
	l->data = data;
}

void *msgconn_data(const msgconn_t *l)
{
	return l->data;
}

deadline_t msgconn_last_received(const msgconn_t *l)
{
	return l->heard;
}
