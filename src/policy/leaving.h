/**
 * Set of replicas that announced that they will stop ("leave"). The platform's replica list shows
 * this too, but only seconds later, and a process that is cut off from the list must also stop
 * using such a replica. A replica that is restarted under the same id has a later start time and
 * may be used again.
 *
 * Each process keeps what it was told, by a replica or by another process, and tells each new
 * leader, which tells all others: the process that received the announcement and the leader may be
 * lost. Only announcements count here, not what the list shows, which may be taken back.
 *
 * Pure: time is an argument. Not thread-safe.
 */
#ifndef AUBURN_LEAVING_H
#define AUBURN_LEAVING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include "base/clock.h"
#include "base/str.h"

typedef struct leaving leaving_t;

/** Maximum size of the set; beyond it the replica that was added first is removed. Several times
 * the number of replicas that leave before the list shows it. */
#define LEAVING_MAX 1024
/** A new leader is told of the announcements that arrived within this time, in ms: many times the
 * list's lag. */
#define LEAVING_TOLD_MS 300000

/** Identifies a replica process, leaving or not: a replica that is restarted under the same id has
 * a later start time. */
typedef struct {
	str_t id;
	uint64_t start_time; /* Unix ms, 0 if unknown */
} replica_ref_t;

leaving_t *leaving_new(void);
void leaving_free(leaving_t *l);
/** Adds a replica or raises its start time; false if the set already has it with this start time or
 * a later one. */
bool leaving_add(leaving_t *l, replica_ref_t r, deadline_t now);
/** True if the replica is in the set. May also change the set: a replica that was added with an
 * unknown start time gets that of r; a replica is removed if r has a later start time, as this
 * means that the replica was restarted. */
bool leaving_contains(leaving_t *l, replica_ref_t r, deadline_t now);
/** Removes the replicas that were added before this time, and of which leaving_contains() has not
 * been asked since. */
void leaving_forget(leaving_t *l, deadline_t before);
/** Lists up to max replicas that were added at this time or later, the newest if there are more, in
 * the order of adding; returns their number. The ids are valid until the next call on l. */
size_t leaving_list(const leaving_t *l, deadline_t since, replica_ref_t *out, size_t max);

#endif
