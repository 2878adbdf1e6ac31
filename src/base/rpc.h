/** ONC RPC over TCP on own sockets: a thread for each connection served, one connection a client.
 */
#ifndef AUBURN_RPC_H
#define AUBURN_RPC_H

#include <rpc/rpc.h>
#include "base/toml.h"
#include "base/clock.h"
#include "base/status.h"
#include "base/str.h"

/** One procedure: decoded argument in, result filled by the handler and freed after the reply. */
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
	const rpc_proc_t *procs; /* ends with a zero handle */
	void *ctx;
} rpc_server_options_t;

/** Listens and serves until the process ends; one call for each program. STATUS_IO: can't listen.
 */
status_t rpc_serve(const rpc_server_options_t *o);

/** The empty argument or result. */
bool_t rpc_xdr_void(XDR *x, ...);

typedef struct rpc_client rpc_client_t;

rpc_client_t *rpc_client_new(const char *addr, unsigned prog, unsigned vers);
void rpc_client_free(rpc_client_t *c);
/** Calls, connecting first if need be; callers of one client take turns.
 *  STATUS_UNAVAILABLE: surely not received. STATUS_TIMEOUT: may have been done. */
status_t rpc_client_call(rpc_client_t *c, unsigned proc, xdrproc_t xdr_arg, const void *arg,
			 xdrproc_t xdr_res, void *res, deadline_t deadline);

/** Later connections to addr go to `via` instead; for networks where an address is reached another
 * way. Call before the first connection. */
status_t rpc_add_route(const char *addr, const char *via);

/** Checks that a setting is "ip:port"; STATUS_INVALID with "file:line: key: what". */
status_t rpc_check_addr(const toml_doc_t *c, const char *key, const char *addr);

/** Splits "ip:port", an IPv4 address by its number. */
status_t rpc_parse_addr(const char *addr, char ip[64], unsigned *port);

#endif
