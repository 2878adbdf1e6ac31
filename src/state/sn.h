/** Writing and reading of snapshots: variable-length integers and length-counted strings. */
#ifndef AUBURN_SN_H
#define AUBURN_SN_H

#include <stdint.h>
#include "base/status.h"
#include "base/str.h"

void sn_put(buf_t *out, uint64_t v);
void sn_put_i64(buf_t *out, int64_t v);
void sn_put_str(buf_t *out, str_t s);

/** Begins a string that is written piece by piece behind it; returns what sn_end_str is given. */
size_t sn_begin_str(buf_t *out);
void sn_end_str(buf_t *out, size_t begun);

/** Reads from the front; after a malformed value `bad` stays set and all further reads give 0. */
typedef struct {
	str_t left;
	bool bad;
} sn_reader_t;

uint64_t sn_get(sn_reader_t *r);
int64_t sn_get_i64(sn_reader_t *r);
/** Reads a value that must not exceed max. */
uint64_t sn_get_max(sn_reader_t *r, uint64_t max);
/** A view into the snapshot. */
str_t sn_get_str(sn_reader_t *r);
/** ST_CORRUPT unless everything was read and well formed. */
status_t sn_end(const sn_reader_t *r, const char *what);

#endif
