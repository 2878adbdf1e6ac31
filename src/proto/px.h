/** Conversions between str_t and XDR bytes, and encoding of whole messages. */
#ifndef AUBURN_PX_H
#define AUBURN_PX_H

#include "base/status.h"
#include "base/str.h"
#include "proto/aw_xdr.h"

/** A borrowed view of XDR bytes. */
str_t px_str(aw_bytes_t b);
/** XDR bytes that borrow s; never free them with xdr_free. */
aw_bytes_t px_bytes(str_t s);
/** XDR bytes that own a copy of s; xdr_free frees them. */
aw_bytes_t px_copy(str_t s);
/** Appends the encoding of msg to out. */
void px_encode(buf_t *out, xdrproc_t proc, const void *msg);
/** Decodes all of s into *msg, which is zeroed first; ST_CORRUPT on a bad or longer encoding.
 *  The caller frees with px_free, also after an error. */
status_t px_decode(str_t s, xdrproc_t proc, void *msg, size_t msg_size);
/** Makes *out an own copy of msg, both of msg_size bytes; the caller frees it with px_free. */
void px_dup(xdrproc_t proc, const void *msg, void *out, size_t msg_size);
void px_free(xdrproc_t proc, void *msg);
/** xdrproc_t of a generated type, e.g. PX(aw_view_t). */
#define PX(type) ((xdrproc_t)xdr_##type)

/** Ledger group, from 1, that holds a caller's key or job. */
unsigned px_group(str_t caller, str_t key, unsigned groups);

#endif
