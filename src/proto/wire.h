/** Conversions between str_t and XDR bytes, XDR encoding of whole messages, and the choice of the
 * ledger group (see wire.x). */
#ifndef AUBURN_WIRE_H
#define AUBURN_WIRE_H

#include "base/status.h"
#include "base/str.h"
#include "proto/wire_xdr.h"

/** A borrowed view of XDR bytes. */
str_t wire_str(wire_bytes_t b);
/** XDR bytes that borrow s: never pass them to wire_free. */
wire_bytes_t wire_bytes(str_t s);
/** XDR bytes that own a copy of s; wire_free of the message frees them. */
wire_bytes_t wire_copy(str_t s);
/** Appends the encoding of msg to out. */
void wire_encode(buf_t *out, xdrproc_t proc, const void *msg);
/** Decodes all of s into *msg, which is zeroed first. STATUS_CORRUPT: malformed, or s is longer
 * than the message. The caller frees with wire_free, also after an error. */
status_t wire_decode(str_t s, xdrproc_t proc, void *msg, size_t msg_size);
/** Decodes the first message in s like wire_decode. *rest: the bytes after it. */
status_t wire_decode_first(str_t s, xdrproc_t proc, void *msg, size_t msg_size, str_t *rest);
/** Makes *out a deep copy of msg, both of msg_size bytes; the caller frees it with wire_free. */
void wire_dup(xdrproc_t proc, const void *msg, void *out, size_t msg_size);
/** Frees what msg owns, not msg itself. */
void wire_free(xdrproc_t proc, void *msg);
/** XDR routine of a generated type, e.g. XDR_PROC(wire_view_t). */
#define XDR_PROC(type) ((xdrproc_t)xdr_##type)

/** Number, from 1 to groups, of the ledger group that stores this caller's request or job with this
 * key. */
unsigned wire_ledger_group(str_t caller, str_t key, unsigned groups);

#endif
