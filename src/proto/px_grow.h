/** Decoders of arrays and bytes whose memory grows as data arrives. They do not allocate the length
 *  that a message claims, so that a short malformed message cannot exhaust memory. The build
 *  substitutes them for the library's in generated code. */
#ifndef AUBURN_PX_GROW_H
#define AUBURN_PX_GROW_H

#include <rpc/rpc.h>

/** Like xdr_array. When decoding, *items must be NULL; after a failure *n is the number to free. */
bool_t wire_xdr_array(XDR *x, caddr_t *items, u_int *n, u_int max, u_int item_size, xdrproc_t proc);
/** Like xdr_bytes. When decoding, *bytes must be NULL. */
bool_t wire_xdr_bytes(XDR *x, char **bytes, u_int *n, u_int max);

#define xdr_array wire_xdr_array
#define xdr_bytes wire_xdr_bytes

#endif
