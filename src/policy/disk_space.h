/**
 * How a replica shares its disk between the log and the snapshots that cut it: the last of the free
 * space is left to the snapshot's file.
 *
 * Pure.
 */
#ifndef AUBURN_DISK_SPACE_H
#define AUBURN_DISK_SPACE_H

#include <stdint.h>

/** Free space that is not known. */
#define DISK_SPACE_UNKNOWN UINT64_MAX

/** All sizes in bytes. */
typedef struct {
	uint64_t free; /* on the disk; DISK_SPACE_UNKNOWN */
	uint64_t removable; /* of the log, once a snapshot of the applied state is written */
	uint64_t state; /* the newest snapshot; 0: none */
	uint64_t queued; /* to be written to the log */
} disk_space_t;

typedef enum {
	DISK_SPACE_AMPLE,
	DISK_SPACE_CUT, /* a snapshot is due, whatever the log's length */
	DISK_SPACE_WAIT /* and nothing is written to the log until it has ended */
} disk_space_verdict_t;

/** What the log leaves free for a snapshot of this state. */
uint64_t disk_space_reserve(uint64_t state);
/** DISK_SPACE_AMPLE if a snapshot would free too little to be worth its writing. Small writes, such
 * as a vote by itself, never wait. */
disk_space_verdict_t disk_space_decide(const disk_space_t *d);

#endif
