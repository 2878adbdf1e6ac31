/** ONC RPC over TCP on own sockets: a thread for each connection served, one connection a client.
 */
#ifndef AUBURN_RP_H
#define AUBURN_RP_H

#include <rpc/rpc.h>
#include "base/cf.h"
#include "base/clk.h"
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
} rp_proc_t;

typedef struct {
	const char *addr; /* ip:port */
	unsigned prog;
	unsigned vers;
	const rp_proc_t *procs; /* ends with a zero handle */
	void *ctx;
} rp_server_options_t;

/** Listens and serves until the process ends; one call for each program. ST_IO: can't listen. */
status_t rp_serve(const rp_server_options_t *o);

/** The empty argument or result. */
bool_t rp_xdr_void(XDR *x, ...);

typedef struct rp_client rp_client_t;

rp_client_t *rp_client_new(const char *addr, unsigned prog, unsigned vers);
void rp_client_free(rp_client_t *c);
/** Calls, connecting first if need be; callers of one client take turns.
 *  ST_UNAVAILABLE: surely not received. ST_TIMEOUT: may have been done. */
status_t rp_call(rp_client_t *c, unsigned proc, xdrproc_t xdr_arg, const void *arg,
		 xdrproc_t xdr_res, void *res, deadline_t deadline);

/** Later connections to addr go to `via` instead; for networks where an address is reached another
 * way. Call before the first connection. */
status_t rp_route(const char *addr, const char *via);

/** Checks that a setting is "ip:port"; ST_INVALID with "file:line: key: what". */
status_t rp_check_addr(const cf_t *c, const char *key, const char *addr);

/** Splits "ip:port", an IPv4 address by its number. */
status_t rp_split_addr(const char *addr, char ip[64], unsigned *port);

#endif
