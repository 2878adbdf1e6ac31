#include "base/rpc.h"

#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <rpc/rpc_com.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include "base/log.h"

/* Meant to limit a record of a peer, and to keep a peer that stops in the middle of a record from
 * stalling its reader, see docs/DESIGN.md. libtirpc does both only on connections that it accepts
 * itself. Those of the server here are made by svc_fd_create: larger records are accepted, and such
 * a peer blocks the thread of its connection for 35 s. */
#define RECORD_MAX_BYTES   (64 << 20)
#define CONNECT_MAX_MS	   1000
#define THREAD_STACK_BYTES (512 << 10)
#define PROGRAMS_MAX	   4
#define LISTEN_BACKLOG	   1024
#define REDIRECTS_MAX	   64
#define PORT_DIGITS_MAX	   5
/* A send to a peer that does not read fails after this, and the connection is dropped. */
#define SEND_TIMEOUT_MS 10000

typedef struct {
	rpc_server_options_t o;
	int fd;
} server_t;

bool_t rpc_xdr_void(XDR *x, ...)
{
	return TRUE;
}

/* Only limits the number of programs: requests find their server through this_conn. */
static server_t *servers[PROGRAMS_MAX];
static pthread_mutex_t servers_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_once_t once = PTHREAD_ONCE_INIT;

/* A served connection; its thread finds it through this_conn. */
typedef struct {
	server_t *server;
	int fd;
	bool destroyed;
	struct xp_ops ops;
	void (*destroy)(SVCXPRT *);
} conn_t;

static _Thread_local conn_t *this_conn;

status_t rpc_parse_addr(const char *addr, char ip[64], unsigned *port)
{
	const char *colon = strrchr(addr, ':');
	struct in_addr ignored;
	char *end;
	unsigned long v;

	if (!colon || colon == addr || (size_t)(colon - addr) >= 64)
		return status_fail(STATUS_INVALID, "%s is not ip:port", addr);
	memcpy(ip, addr, (size_t)(colon - addr));
	ip[colon - addr] = 0;
	v = strtoul(colon + 1, &end, 10);
	if (inet_pton(AF_INET, ip, &ignored) != 1 || *end || end == colon + 1 ||
	    end > colon + 1 + PORT_DIGITS_MAX || colon[1] < '0' || colon[1] > '9' || v == 0 ||
	    v > 65535)
		return status_fail(STATUS_INVALID, "%s is not ip:port", addr);
	*port = (unsigned)v;
	return STATUS_OK;
}

status_t rpc_check_addr(const toml_doc_t *c, const char *key, const char *addr)
{
	char ip[64];
	unsigned port;

	if (rpc_parse_addr(addr, ip, &port) == STATUS_OK)
		return STATUS_OK;
	return status_fail(STATUS_INVALID, "%s:%d: %s: \"%s\" is not ip:port", toml_name(c),
			   toml_line(toml_root(c), key), key, addr);
}

static status_t parse_sockaddr(const char *addr, struct sockaddr_in *sa)
{
	char ip[64];
	unsigned port = 0;
	status_t st = rpc_parse_addr(addr, ip, &port);

	if (st != STATUS_OK)
		return st;
	memset(sa, 0, sizeof(*sa));
	sa->sin_family = AF_INET;
	sa->sin_port = htons((uint16_t)port);
	if (inet_pton(AF_INET, ip, &sa->sin_addr) != 1)
		return status_fail(STATUS_INVALID, "%s is not an IPv4 address", ip);
	return STATUS_OK;
}

typedef struct {
	char *addr;
	char *via;
} redirect_t;

static redirect_t redirects[REDIRECTS_MAX];
static size_t nredirects;

status_t rpc_add_redirect(const char *addr, const char *via)
{
	struct sockaddr_in sa;

	if (nredirects == REDIRECTS_MAX)
		return status_fail(STATUS_LIMIT, "more than %d address redirects", REDIRECTS_MAX);
	if (parse_sockaddr(addr, &sa) != STATUS_OK || parse_sockaddr(via, &sa) != STATUS_OK)
		return STATUS_INVALID;
	redirects[nredirects++] = (redirect_t){str_dup(str_c(addr)), str_dup(str_c(via))};
	return STATUS_OK;
}

/* Returns the address to connect to instead of addr, or addr itself. */
static const char *apply_redirect(const char *addr)
{
	for (size_t i = 0; i < nredirects; i++) {
		if (strcmp(redirects[i].addr, addr) == 0)
			return redirects[i].via;
	}
	return addr;
}

static void set_socket_options(int fd)
{
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
}

/* ---- server ---- */

static const rpc_proc_t *find_procedure(const rpc_proc_t *p, unsigned proc)
{
	for (; p->handle; p++) {
		if (p->proc == proc)
			return p;
	}
	return NULL;
}

static void handle_request(struct svc_req *req, SVCXPRT *xprt)
{
	const rpc_proc_t *p;
	void *arg;
	void *res;

	if (req->rq_proc == 0) {
		svc_sendreply(xprt, rpc_xdr_void, NULL);
		return;
	}
	assert(this_conn);
	p = find_procedure(this_conn->server->o.procs, req->rq_proc);
	if (!p) {
		svcerr_noproc(xprt);
		return;
	}
	arg = mem_new(p->arg_size);
	res = mem_new(p->res_size);
	if (!svc_getargs(xprt, p->xdr_arg, arg)) {
		svcerr_decode(xprt);
	} else {
		p->handle(this_conn->server->o.ctx, arg, res);
		if (!svc_sendreply(xprt, p->xdr_res, res))
			svcerr_systemerr(xprt);
		xdr_free(p->xdr_res, res);
	}
	svc_freeargs(xprt, p->xdr_arg, arg);
	free(arg);
	free(res);
}

/* Replaces xp_destroy, which libtirpc calls when the connection is broken, so that serve_conn
 * stops. */
static void on_destroy(SVCXPRT *xprt)
{
	conn_t *c = this_conn;

	c->destroyed = true;
	c->destroy(xprt);
}

static void *serve_conn(void *p)
{
	conn_t *c = p;
	SVCXPRT *xprt = svc_fd_create(c->fd, 0, 0);
	struct pollfd pf = {c->fd, POLLIN, 0};

	if (!xprt) {
		close(c->fd);
		free(c);
		return NULL;
	}
	this_conn = c;
	c->ops = *xprt->xp_ops;
	c->destroy = c->ops.xp_destroy;
	c->ops.xp_destroy = on_destroy;
	xprt->xp_ops = &c->ops;
	while (!c->destroyed) {
		if (poll(&pf, 1, -1) < 0 && errno != EINTR)
			break;
		if (pf.revents)
			svc_getreq_common(c->fd);
	}
	if (!c->destroyed)
		svc_destroy(xprt);
	free(c);
	return NULL;
}

static void start_conn(server_t *s, int fd)
{
	conn_t *c = mem_new(sizeof(*c));
	struct timeval send_limit = {SEND_TIMEOUT_MS / 1000, 0};
	pthread_attr_t attr;
	pthread_t t;

	set_socket_options(fd);
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &send_limit, sizeof(send_limit));
	c->server = s;
	c->fd = fd;
	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, THREAD_STACK_BYTES);
	if (pthread_create(&t, &attr, serve_conn, c) != 0) {
		log_event(LOG_LEVEL_WARN, "rpc_connection_refused",
			  LOG_CSTR("reason", "cannot create a thread"));
		close(fd);
		free(c);
	}
	pthread_attr_destroy(&attr);
}

static void *accept_loop(void *p)
{
	server_t *s = p;

	for (;;) {
		int fd = accept4(s->fd, NULL, NULL, SOCK_CLOEXEC);

		if (fd >= 0)
			start_conn(s, fd);
		else if (errno != EINTR)
			clock_sleep_ms(10);
	}
	return NULL;
}

static void init_library(void)
{
	int max = RECORD_MAX_BYTES;

	rpc_control(RPC_SVC_CONNMAXREC_SET, &max);
	/* authnone_create is not thread-safe on its first call. */
	authnone_create();
}

static status_t store_server(server_t *s)
{
	status_t st = status_fail(STATUS_LIMIT, "more than %d RPC programs", PROGRAMS_MAX);

	pthread_mutex_lock(&servers_lock);
	for (size_t i = 0; i < PROGRAMS_MAX && st != STATUS_OK; i++) {
		if (!servers[i]) {
			servers[i] = s;
			st = STATUS_OK;
		}
	}
	pthread_mutex_unlock(&servers_lock);
	return st;
}

/* svc_reg needs a transport, so it gets a socket that is never served. */
static bool register_program(const rpc_server_options_t *o)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	SVCXPRT *xprt = fd < 0 ? NULL : svc_vc_create(fd, 0, 0);

	return xprt && svc_reg(xprt, o->prog, o->vers, handle_request, NULL);
}

status_t rpc_serve(const rpc_server_options_t *o)
{
	struct sockaddr_in sa;
	status_t st = parse_sockaddr(o->addr, &sa);
	server_t *s;
	pthread_t t;
	int one = 1;

	if (st != STATUS_OK)
		return st;
	pthread_once(&once, init_library);
	s = mem_new(sizeof(*s));
	s->o = *o;
	s->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(s->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (s->fd < 0 || bind(s->fd, (struct sockaddr *)&sa, sizeof(sa)) != 0 ||
	    listen(s->fd, LISTEN_BACKLOG) != 0) {
		st = status_fail(STATUS_IO, "cannot listen on %s: %s", o->addr, strerror(errno));
		if (s->fd >= 0)
			close(s->fd);
		free(s);
		return st;
	}
	st = store_server(s);
	if (st == STATUS_OK && !register_program(o))
		st = status_fail(STATUS_IO, "cannot register RPC program %u", o->prog);
	if (st == STATUS_OK && pthread_create(&t, NULL, accept_loop, s) != 0)
		st = status_fail(STATUS_IO, "cannot create the thread of the RPC listener");
	return st;
}

/* ---- client ---- */

struct rpc_client {
	pthread_mutex_t lock;
	char *addr;
	unsigned prog;
	unsigned vers;
	int fd;
	CLIENT *clnt;
};

rpc_client_t *rpc_client_new(const char *addr, unsigned prog, unsigned vers)
{
	rpc_client_t *c = mem_new(sizeof(*c));

	pthread_once(&once, init_library);
	pthread_mutex_init(&c->lock, NULL);
	c->addr = str_dup(str_c(addr));
	c->prog = prog;
	c->vers = vers;
	c->fd = -1;
	return c;
}

static void disconnect(rpc_client_t *c)
{
	if (c->clnt)
		clnt_destroy(c->clnt);
	if (c->fd >= 0)
		close(c->fd);
	c->clnt = NULL;
	c->fd = -1;
}

void rpc_client_free(rpc_client_t *c)
{
	if (!c)
		return;
	disconnect(c);
	pthread_mutex_destroy(&c->lock);
	free(c->addr);
	free(c);
}

static bool wait_connected(int fd, int64_t ms)
{
	struct pollfd pf = {fd, POLLOUT, 0};
	int err = 0;
	socklen_t len = sizeof(err);

	if (poll(&pf, 1, (int)ms) != 1)
		return false;
	return getsockopt(fd, SOL_SOCKET, SO_ERROR, &err, &len) == 0 && err == 0;
}

static int connect_fd(const struct sockaddr_in *sa, int64_t ms)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	int flags = 0;

	if (fd < 0)
		return -1;
	if (connect(fd, (const struct sockaddr *)sa, sizeof(*sa)) != 0 &&
	    (errno != EINPROGRESS || !wait_connected(fd, ms))) {
		close(fd);
		return -1;
	}
	/* libtirpc's record layer needs a blocking socket. */
	ioctl(fd, FIONBIO, &flags);
	set_socket_options(fd);
	return fd;
}

static status_t connect_client(rpc_client_t *c, deadline_t deadline)
{
	struct sockaddr_in sa;
	struct netbuf nb = {sizeof(sa), sizeof(sa), &sa};
	int64_t left = clock_left_ms(deadline);
	struct timeval send_limit;
	status_t st = parse_sockaddr(apply_redirect(c->addr), &sa);

	if (st != STATUS_OK)
		return st;
	if (left > CONNECT_MAX_MS)
		left = CONNECT_MAX_MS;
	c->fd = connect_fd(&sa, left);
	if (c->fd < 0)
		return status_fail(STATUS_UNAVAILABLE, "cannot connect to %s", c->addr);
	send_limit = (struct timeval){SEND_TIMEOUT_MS / 1000, 0};
	setsockopt(c->fd, SOL_SOCKET, SO_SNDTIMEO, &send_limit, sizeof(send_limit));
	c->clnt = clnt_vc_create(c->fd, &nb, c->prog, c->vers, 0, 0);
	if (!c->clnt) {
		disconnect(c);
		return status_fail(STATUS_UNAVAILABLE, "cannot create the RPC client for %s",
				   c->addr);
	}
	return STATUS_OK;
}

static status_t call_connected(rpc_client_t *c, unsigned proc, xdrproc_t xdr_arg, const void *arg,
			       xdrproc_t xdr_res, void *res, deadline_t deadline)
{
	int64_t left = clock_left_ms(deadline);
	struct timeval tv = {left / 1000, (left % 1000) * 1000};
	enum clnt_stat cs;

	assert(c->clnt);
	if (left == 0)
		return status_fail(STATUS_UNAVAILABLE, "deadline passed before the call to %s",
				   c->addr);
	cs = clnt_call(c->clnt, proc, xdr_arg, (caddr_t)arg, xdr_res, (caddr_t)res, tv);
	if (cs == RPC_SUCCESS)
		return STATUS_OK;
	/* The request may have been sent, whatever the error is: "may have run". */
	disconnect(c);
	return status_fail(STATUS_TIMEOUT, "call to %s: %s", c->addr, clnt_sperrno(cs));
}

/* Input on an idle connection means that the peer has closed it. A call on it would end as "may
 * have run" although the server has not received it. */
static bool has_input(int fd)
{
	struct pollfd pf = {fd, POLLIN, 0};

	return poll(&pf, 1, 0) != 0;
}

status_t rpc_client_call(rpc_client_t *c, unsigned proc, xdrproc_t xdr_arg, const void *arg,
			 xdrproc_t xdr_res, void *res, deadline_t deadline)
{
	status_t st = STATUS_OK;

	pthread_mutex_lock(&c->lock);
	if (c->clnt && has_input(c->fd))
		disconnect(c);
	if (!c->clnt)
		st = connect_client(c, deadline);
	if (st == STATUS_OK)
		st = call_connected(c, proc, xdr_arg, arg, xdr_res, res, deadline);
	pthread_mutex_unlock(&c->lock);
	return st;
}
