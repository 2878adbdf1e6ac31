/** Decoders for arrays and bytes whose memory grows with what has arrived, never with a length that
 *  a message merely claims. The build puts them in the place of the library's in generated code. */
#ifndef AUBURN_PX_GROW_H
#define AUBURN_PX_GROW_H

#include <rpc/rpc.h>

/** As xdr_array; when decoding, *items must be NULL, and after a failure *n counts what to free. */
bool_t wire_xdr_array(XDR *x, caddr_t *items, u_int *n, u_int max, u_int item_size, xdrproc_t proc);
/** As xdr_bytes; when decoding, *bytes must be NULL. */
bool_t wire_xdr_bytes(XDR *x, char **bytes, u_int *n, u_int max);

#define xdr_array wire_xdr_array
#define xdr_bytes wire_xdr_bytes

#endif
