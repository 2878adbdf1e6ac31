/** Raft replicas of several groups in one process: messages are function calls, files are real. */
#ifndef AUBURN_INPROC_REPLICAS_H
#define AUBURN_INPROC_REPLICAS_H

#include <pthread.h>
#include "raft/group.h"

#define INPROC_REPLICAS_MAX 5
#define INPROC_GROUPS_MAX   16
#define INPROC_WAIT_MS	    120000 /* deadline of every wait */
#define INPROC_TICK_MS	    20
#define INPROC_ELECTION_MS  1000

typedef struct {
	group_t *g; /* NULL: stopped */
	pthread_rwlock_t lock; /* protects g from being closed while a message is delivered */
	char addr[32];
	unsigned group;
	_Atomic bool isolated; /* neither sends nor receives */
	buf_t state; /* content of the snapshots; commands do not change it */
	uint64_t applied;
} inproc_replica_t;

extern inproc_replica_t inproc_replicas[INPROC_GROUPS_MAX][INPROC_REPLICAS_MAX];
extern char inproc_root[64]; /* directory of all data directories */
extern const char *const inproc_seeds[INPROC_REPLICAS_MAX];

/** Opens replica i of a group; nseeds 0: an empty one, to be added as a learner. Exits the process
 * on an error. */
void inproc_start(unsigned group, unsigned i, unsigned nseeds, uint64_t snapshot_entries);
void inproc_stop(unsigned group, unsigned i);
/** Stops all replicas and empties inproc_root. */
void inproc_clear(void);
/** Waits for a leader that passes a read barrier and returns it. Exits the process on a timeout. */
group_t *inproc_wait_leader(unsigned group);
/** The same, for a leader other than `except`. */
group_t *inproc_wait_other_leader(unsigned group, const group_t *except);
/** Isolates a replica of group 0 from the others, or ends its isolation. */
void inproc_isolate(const group_t *g, bool isolated);

#endif
