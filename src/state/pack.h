/** Binary encoding of state snapshots: variable-length integers (signed ones in zigzag encoding)
 * and length-prefixed strings. */
#ifndef AUBURN_PACK_H
#define AUBURN_PACK_H

#include <stdint.h>
#include "base/status.h"
#include "base/str.h"

void pack_u64(buf_t *out, uint64_t v);
void pack_i64(buf_t *out, int64_t v);
void pack_str(buf_t *out, str_t s);

/** Starts a string that is appended piece by piece; pack_end_str takes the value returned. */
size_t pack_begin_str(buf_t *out);
void pack_end_str(buf_t *out, size_t start);

/** Reads from the front. After a malformed value `bad` stays set, and all further reads return 0 or
 * an empty string. */
typedef struct {
	str_t left;
	bool bad;
} unpacker_t;

uint64_t unpack_u64(unpacker_t *r);
int64_t unpack_i64(unpacker_t *r);
/** Reads a value that must be at most max. */
uint64_t unpack_u64_max(unpacker_t *r, uint64_t max);
/** The string points into the snapshot. */
str_t unpack_str(unpacker_t *r);
/** Returns STATUS_CORRUPT unless everything was read and well formed; `what` names the snapshot in
 * the message. */
status_t unpack_end(const unpacker_t *r, const char *what);

#endif
