/** XDR routines for arrays and bytes that, when decoding, let the memory grow as data arrives. They
 * do not allocate the length that a message claims, so that a short malformed message cannot
 * exhaust memory. The Makefile includes this file in the generated *_xdr.c, where the macros below
 * put them in place of the library's routines. */
#ifndef AUBURN_PX_GROW_H
#define AUBURN_PX_GROW_H

#include <rpc/rpc.h>

/** Like xdr_array. When decoding, *items must be NULL. After a failure *n counts the items decoded,
 * the last one maybe in part, for xdr_free. */
bool_t wire_xdr_array(XDR *x, caddr_t *items, u_int *n, u_int max, u_int item_size, xdrproc_t proc);
/** Like xdr_bytes. When decoding, *bytes must be NULL; after a failure the caller frees it. */
bool_t wire_xdr_bytes(XDR *x, char **bytes, u_int *n, u_int max);

#define xdr_array wire_xdr_array
#define xdr_bytes wire_xdr_bytes

#endif
