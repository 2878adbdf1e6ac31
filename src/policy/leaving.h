/**
 * Replicas that said that they leave. The platform's list says so too, but seconds later, and a
 * process that is cut off from it must not use such a replica again either.
 *
 * A replica that starts again, with a later time of start, may be used, under the same id too.
 * Pure. Not thread-safe.
 */
#ifndef AUBURN_LEAVING_H
#define AUBURN_LEAVING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include "base/str.h"

typedef struct lv leaving_t;

/** Replicas that are remembered; beyond that the one that said so longest ago is forgotten. Several
 * times those that leave within the time in which the list shows it. */
#define LEAVING_MAX 1024

typedef struct {
	str_t id;
	uint64_t start_time; /* when it started, Unix ms; 0: not known */
} leaving_replica_t;

leaving_t *leaving_new(void);
void leaving_free(leaving_t *l);
/** Notes that the replica that started then leaves; true when that wasn't known. */
bool leaving_add(leaving_t *l, leaving_replica_t r);
/** True when the replica that started then leaves. Forgets an earlier one with its id. */
bool leaving_check(leaving_t *l, leaving_replica_t r);
/** All that are remembered, up to max; views live until the next call on l. */
size_t leaving_list(const leaving_t *l, leaving_replica_t *out, size_t max);

#endif
