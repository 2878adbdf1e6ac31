/* auburn-relay: a TCP relay between two processes that injects network faults. Its mode is set over
 * HTTP. "pass" forwards bytes. "cut" drops them, as a network partition does, and closes the
 * affected connections once the cut is over. "hold" stops reading and forwards later. "delay"
 * forwards each byte after a fixed time. */
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>
#include "base/clock.h"
#include "fake_common.h"

#define READ_BYTES	       65536
#define MAX_QUEUED_BYTES       (1u << 20)
#define MODE_CHECK_INTERVAL_MS 20
#define MAX_DELAY_MS	       600000
#define BACKLOG		       1024

typedef enum { MODE_PASS, MODE_CUT, MODE_HOLD, MODE_DELAY, MODE_COUNT } relay_mode_t;

static const char *const mode_names[MODE_COUNT] = {"pass", "cut", "hold", "delay"};

typedef struct {
	char *listen; /* ip:port for the clients of the target */
	char *target; /* ip:port of the process behind the relay */
	char *control; /* ip:port of the HTTP API that sets the mode */
	struct sockaddr_in target_addr;
	int listen_fd;
	atomic_int mode; /* a relay_mode_t */
	atomic_llong delay_ms;
	atomic_llong connections; /* open */
} relay_t;

typedef struct chunk {
	int64_t due_ms;
	size_t n; /* 0: end of file */
	size_t sent;
	struct chunk *next;
	char bytes[];
} chunk_t;

/* One direction of a connection. */
typedef struct {
	int from;
	int to;
	chunk_t *queue;
	size_t queued_bytes;
	bool read_ended; /* end of file was read */
	bool write_closed; /* end of file was passed on */
} flow_t;

typedef struct {
	relay_t *relay;
	flow_t flow[2];
	bool bytes_dropped; /* the stream has a gap, so the connection is closed after the cut */
	bool failed; /* socket error */
} link_t;

/* Appends bytes to the queue of a flow; n = 0 appends the end of file. */
static void enqueue(flow_t *f, const char *bytes, size_t n, int64_t due_ms)
{
	chunk_t *c = mem_new(sizeof(*c) + n);

	c->due_ms = due_ms;
	c->n = n;
	memcpy(c->bytes, bytes, n);
	LL_APPEND(f->queue, c);
	f->queued_bytes += n;
	f->read_ended |= n == 0;
}

static void dequeue(flow_t *f)
{
	chunk_t *c = f->queue;

	f->queued_bytes -= c->n;
	LL_DELETE(f->queue, c);
	free(c);
}

static void read_flow(link_t *l, flow_t *f)
{
	relay_t *r = l->relay;
	char bytes[READ_BYTES];
	ssize_t n = recv(f->from, bytes, sizeof(bytes), MSG_DONTWAIT);
	relay_mode_t mode = atomic_load(&r->mode);
	int64_t delay_ms = mode == MODE_DELAY ? atomic_load(&r->delay_ms) : 0;

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (mode == MODE_CUT) {
		l->bytes_dropped = true;
		f->read_ended |= n <= 0;
	} else if (n < 0) {
		l->failed = true;
	} else {
		enqueue(f, bytes, (size_t)n, clock_now_ms() + delay_ms);
	}
}

static void write_chunk(link_t *l, flow_t *f)
{
	chunk_t *c = f->queue;
	ssize_t n;

	if (!c->n) {
		shutdown(f->to, SHUT_WR);
		f->write_closed = true;
		dequeue(f);
		return;
	}
	n = send(f->to, c->bytes + c->sent, c->n - c->sent, MSG_DONTWAIT | MSG_NOSIGNAL);
	if (n >= 0)
		c->sent += (size_t)n;
	else if (errno != EAGAIN && errno != EINTR)
		l->failed = true;
	if (c->sent == c->n)
		dequeue(f);
}

static bool chunk_is_due(const flow_t *f)
{
	return f->queue && f->queue->due_ms <= clock_now_ms();
}

/* Returns true in the modes in which queued bytes are sent. */
static bool is_forwarding(const relay_t *r)
{
	relay_mode_t mode = atomic_load(&r->mode);

	return mode == MODE_PASS || mode == MODE_DELAY;
}

/* Sets the events of a flow's two sockets to poll for. */
static void set_poll_events(const link_t *l, const flow_t *f, struct pollfd *from,
			    struct pollfd *to)
{
	bool hold = atomic_load(&l->relay->mode) == MODE_HOLD;

	if (!hold && !f->read_ended && f->queued_bytes < MAX_QUEUED_BYTES)
		from->events |= POLLIN;
	if (is_forwarding(l->relay) && chunk_is_due(f))
		to->events |= POLLOUT;
}

/* Returns the time until the first chunk is due, at most MODE_CHECK_INTERVAL_MS. */
static int64_t queue_wait_ms(const flow_t *f)
{
	int64_t left = f->queue ? clock_left_ms(f->queue->due_ms) : 0;

	return left > 0 && left < MODE_CHECK_INTERVAL_MS ? left : MODE_CHECK_INTERVAL_MS;
}

/* Without anything queued, a connection in mode pass needs no timeout: no other mode has an effect
 * before the next bytes arrive. */
static int poll_timeout_ms(const link_t *l)
{
	bool pending = l->flow[0].queue || l->flow[1].queue || l->bytes_dropped;
	int64_t a = queue_wait_ms(&l->flow[0]);
	int64_t b = queue_wait_ms(&l->flow[1]);

	if (atomic_load(&l->relay->mode) == MODE_PASS && !pending)
		return -1;
	return (int)(a < b ? a : b);
}

static void forward_bytes(link_t *l)
{
	struct pollfd p[2] = {{.fd = l->flow[0].from}, {.fd = l->flow[1].from}};
	int timeout_ms = poll_timeout_ms(l);
	int i;

	for (i = 0; i < 2; i++)
		set_poll_events(l, &l->flow[i], &p[i], &p[1 - i]);
	/* poll() reports a broken socket even if no events are requested, which would spin. */
	for (i = 0; i < 2; i++)
		p[i].fd = p[i].events ? p[i].fd : -1;
	if (poll(p, 2, timeout_ms) < 0)
		return;
	for (i = 0; i < 2; i++) {
		flow_t *f = &l->flow[i];

		if (p[i].revents & (POLLIN | POLLHUP | POLLERR) && p[i].events & POLLIN)
			read_flow(l, f);
		if (is_forwarding(l->relay) && chunk_is_due(f))
			write_chunk(l, f);
	}
}

static bool link_is_finished(const link_t *l)
{
	bool broken = l->bytes_dropped || l->failed;

	return is_forwarding(l->relay) &&
	       (broken || (l->flow[0].write_closed && l->flow[1].write_closed));
}

static void set_nodelay(int fd)
{
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

/* Waits for a mode that forwards, then connects to the target. Returns -1 for a client that
 * connected during a cut: its connection would have been lost. */
static int connect_target(const relay_t *r)
{
	bool cut = false;
	int fd;

	while (!is_forwarding(r)) {
		cut |= atomic_load(&r->mode) == MODE_CUT;
		clock_sleep_ms(MODE_CHECK_INTERVAL_MS);
	}
	if (cut)
		return -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd >= 0 &&
	    connect(fd, (const struct sockaddr *)&r->target_addr, sizeof(r->target_addr)) == 0)
		return fd;
	if (fd >= 0)
		close(fd);
	return -1;
}

/* Forwards bytes in both directions until the connection ends. */
static void run_link(relay_t *r, int client, int target)
{
	link_t l = {.relay = r, .flow = {{client, target}, {target, client}}};
	int i;

	set_nodelay(client);
	set_nodelay(target);
	while (!link_is_finished(&l))
		forward_bytes(&l);
	for (i = 0; i < 2; i++) {
		while (l.flow[i].queue)
			dequeue(&l.flow[i]);
	}
}

typedef struct {
	relay_t *relay;
	int client;
} accepted_t;

static void *connection_thread(void *arg)
{
	accepted_t a = *(accepted_t *)arg;
	int target;

	free(arg);
	atomic_fetch_add(&a.relay->connections, 1);
	target = connect_target(a.relay);
	if (target >= 0) {
		run_link(a.relay, a.client, target);
		close(target);
	}
	close(a.client);
	atomic_fetch_sub(&a.relay->connections, 1);
	return NULL;
}

static void *accept_thread(void *arg)
{
	relay_t *r = arg;
	accepted_t *a;
	pthread_t t;
	int fd;

	for (;;) {
		fd = accept4(r->listen_fd, NULL, NULL, SOCK_CLOEXEC);
		if (fd < 0) {
			clock_sleep_ms(MODE_CHECK_INTERVAL_MS);
			continue;
		}
		a = mem_new(sizeof(*a));
		*a = (accepted_t){r, fd};
		if (pthread_create(&t, NULL, connection_thread, a) == 0) {
			pthread_detach(t);
		} else {
			close(fd);
			free(a);
		}
	}
	return NULL;
}

static status_t open_listener(relay_t *r)
{
	struct sockaddr_in addr;
	status_t st = fake_parse_address(r->listen, &addr);
	int one = 1;

	if (st != STATUS_OK)
		return st;
	r->listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (r->listen_fd < 0)
		return status_fail(STATUS_IO, "%s: %s", r->listen, strerror(errno));
	setsockopt(r->listen_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(r->listen_fd, (struct sockaddr *)&addr, sizeof(addr)) != 0 ||
	    listen(r->listen_fd, BACKLOG) != 0)
		return status_fail(STATUS_IO, "%s: can't listen: %s", r->listen, strerror(errno));
	return STATUS_OK;
}

static int reply_mode(const relay_t *r, struct _u_response *resp)
{
	return fake_reply(resp, 200,
			  json_pack("{s:s,s:I,s:I}", "mode", mode_names[atomic_load(&r->mode)],
				    "ms", (json_int_t)atomic_load(&r->delay_ms), "connections",
				    (json_int_t)atomic_load(&r->connections)));
}

static int handle_get_mode(const struct _u_request *q, struct _u_response *resp, void *ctx)
{
	return reply_mode(ctx, resp);
}

static int handle_set_mode(const struct _u_request *q, struct _u_response *resp, void *ctx)
{
	relay_t *r = ctx;
	AUTO_JSON *body = fake_request_json(q);
	int64_t ms = fake_json_int(body, "ms", 0);
	int mode = 0;

	while (mode < MODE_COUNT && strcmp(mode_names[mode], fake_json_str(body, "mode")) != 0)
		mode++;
	if (mode == MODE_COUNT || ms < 0 || ms > MAX_DELAY_MS)
		return fake_reply_error(resp, 400, "no such mode");
	atomic_store(&r->delay_ms, ms);
	atomic_store(&r->mode, mode);
	return reply_mode(r, resp);
}

static status_t configure(void *ctx, const toml_doc_t *c)
{
	relay_t *r = ctx;
	const toml_key_t keys[] = {
		{"listen", TOML_STR, true, 1, 64, &r->listen},
		{"target", TOML_STR, true, 1, 64, &r->target},
		{"control", TOML_STR, true, 1, 64, &r->control},
		{NULL, TOML_STR, false, 0, 0, NULL},
	};
	status_t st = toml_read(c, toml_root(c), keys, NULL);

	if (st == STATUS_OK)
		st = fake_check_address(c, "listen", r->listen);
	if (st == STATUS_OK)
		st = fake_check_address(c, "control", r->control);
	if (st == STATUS_OK)
		st = fake_check_address(c, "target", r->target);
	return st == STATUS_OK ? fake_parse_address(r->target, &r->target_addr) : st;
}

static status_t start(void *ctx)
{
	static const fake_route_t routes[] = {
		{"GET", "/mode", handle_get_mode},
		{"POST", "/mode", handle_set_mode},
		{NULL, NULL, NULL},
	};
	relay_t *r = ctx;
	status_t st = open_listener(r);
	pthread_t t;

	if (st != STATUS_OK)
		return st;
	if (pthread_create(&t, NULL, accept_thread, r) != 0)
		return status_fail(STATUS_IO, "can't start a thread");
	pthread_detach(t);
	return fake_http_start(&(fake_http_options_t){r->control, routes, NULL, r});
}

int main(int argc, char **argv)
{
	static relay_t r;
	const fake_program_t program = {"auburn-relay", "TCP relay that injects network faults",
					configure, start, &r};

	return fake_main(argc, argv, &program);
}
