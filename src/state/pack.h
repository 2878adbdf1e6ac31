/** Writing and reading of snapshots: variable-length integers and length-counted strings. */
#ifndef AUBURN_PACK_H
#define AUBURN_PACK_H

#include <stdint.h>
#include "base/status.h"
#include "base/str.h"

void pack_u64(buf_t *out, uint64_t v);
void pack_i64(buf_t *out, int64_t v);
void pack_str(buf_t *out, str_t s);

/** Begins a string that is written piece by piece behind it; returns what pack_end_str is given. */
size_t pack_begin_str(buf_t *out);
void pack_end_str(buf_t *out, size_t begun);

/** Reads from the front; after a malformed value `bad` stays set and all further reads give 0. */
typedef struct {
	str_t left;
	bool bad;
} unpacker_t;

uint64_t unpack_u64(unpacker_t *r);
int64_t unpack_i64(unpacker_t *r);
/** Reads a value that must not exceed max. */
uint64_t unpack_u64_max(unpacker_t *r, uint64_t max);
/** A view into the snapshot. */
str_t unpack_str(unpacker_t *r);
/** STATUS_CORRUPT unless everything was read and well formed. */
status_t unpack_end(const unpacker_t *r, const char *what);

#endif
