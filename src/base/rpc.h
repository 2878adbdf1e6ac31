/** ONC RPC over TCP, on sockets that this module opens itself: a server runs one thread per
 * connection, a client holds one connection. */
#ifndef AUBURN_RPC_H
#define AUBURN_RPC_H

#include <rpc/rpc.h>
#include "base/toml.h"
#include "base/clock.h"
#include "base/status.h"
#include "base/str.h"

/** One procedure. The server decodes the argument, the handler fills the result, and the server
 * frees both after the reply. */
typedef struct {
	unsigned proc;
	xdrproc_t xdr_arg;
	size_t arg_size;
	xdrproc_t xdr_res;
	size_t res_size;
	void (*handle)(void *ctx, const void *arg, void *res);
} rpc_proc_t;

typedef struct {
	const char *addr; /* ip:port */
	unsigned prog;
	unsigned vers;
	const rpc_proc_t *procs; /* ends with an element whose handle is NULL */
	void *ctx;
} rpc_server_options_t;

/** Starts to listen and returns; connections are served until the process exits. Called once for
 * each program. STATUS_INVALID: addr is not ip:port. STATUS_LIMIT: too many programs. STATUS_IO:
 * cannot listen or start serving. */
status_t rpc_serve(const rpc_server_options_t *o);

/** XDR routine of an empty argument or result. */
bool_t rpc_xdr_void(XDR *x, ...);

typedef struct rpc_client rpc_client_t;

rpc_client_t *rpc_client_new(const char *addr, unsigned prog, unsigned vers);
void rpc_client_free(rpc_client_t *c);
/** Calls a procedure, connecting first if need be; concurrent calls of one client are serialised.
 *  STATUS_UNAVAILABLE: the server has not received the call. STATUS_TIMEOUT: no answer or any other
 *  failure of the call, which the server may have run. STATUS_INVALID: the client's address is not
 *  ip:port. */
status_t rpc_client_call(rpc_client_t *c, unsigned proc, xdrproc_t xdr_arg, const void *arg,
			 xdrproc_t xdr_res, void *res, deadline_t deadline);

/** Makes clients of addr connect to `via` instead, for networks where the address is reached
 * through another one. Not thread-safe: call before the first connection. STATUS_INVALID: not
 * ip:port. STATUS_LIMIT: too many redirects. */
status_t rpc_add_redirect(const char *addr, const char *via);

/** Checks that the value of a setting is "ip:port"; STATUS_INVALID with "file:line: key: reason".
 */
status_t rpc_check_addr(const toml_doc_t *c, const char *key, const char *addr);

/** Splits "ip:port", a numeric IPv4 address and a port above 0. STATUS_INVALID: anything else. */
status_t rpc_parse_addr(const char *addr, char ip[64], unsigned *port);

#endif
