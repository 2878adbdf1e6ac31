/**
 * Whether a control process has memory for a new batch lot.
 *
 * A lot stays in memory until it expires, and writing a snapshot takes as much again as all lots.
 * Until snapshots cover it, it is part of the replicated log in memory too. Lots and log therefore
 * have a part of the memory each. What waits for a commit counts for both.
 *
 * The expected load: a few lots a second, each of up to 4 MB.
 *
 * Pure.
 */
#ifndef AUBURN_LOTS_MEMORY_H
#define AUBURN_LOTS_MEMORY_H

#include <stddef.h>

/** All sizes in bytes. */
typedef struct {
	size_t memory; /* of the process; 0: not bounded */
	size_t lots; /* the accepted lots, and the results that are expected of them */
	size_t log; /* the log in memory */
	size_t waiting; /* for a commit, or being committed */
	size_t lot; /* the new lot */
} lots_memory_t;

typedef enum {
	LOTS_MEMORY_AMPLE,
	LOTS_MEMORY_LOG_FULL, /* until the next snapshot */
	LOTS_MEMORY_LOTS_FULL /* until lots expire */
} lots_memory_verdict_t;

lots_memory_verdict_t lots_memory_decide(const lots_memory_t *m);

/** Most that the lots may fill. */
size_t lots_memory_lots_max(size_t memory);
/** Most that the log may fill. Lots are refused until the log is cut, so a snapshot has to be begun
 * before it is full: see log_bytes_max in raft/group.h. */
size_t lots_memory_log_max(size_t memory);

#endif
