/** Replicas in one process that call each other's functions, with real files. */
#ifndef AUBURN_INPROC_REPLICAS_H
#define AUBURN_INPROC_REPLICAS_H

#include <pthread.h>
#include "raft/group.h"

#define REPLICAS_MAX 5
#define GROUPS_MAX   16
#define WAIT_MS	     120000
#define TICK_MS	     20
#define ELECTION_MS  1000

typedef struct {
	group_t *g;
	pthread_rwlock_t lock; /* guards g against senders */
	char addr[32];
	unsigned group;
	_Atomic bool isolated; /* neither sends nor receives */
	buf_t state;
	uint64_t applied;
} inproc_replica_t;

extern inproc_replica_t inproc_replicas[GROUPS_MAX][REPLICAS_MAX];
extern char inproc_root[64]; /* folder of all data folders */
extern const char *const inproc_seeds[REPLICAS_MAX];

/** Opens a replica; nseeds 0: an empty one that is to join. Ends the program when it can't. */
void inproc_start(unsigned group, unsigned i, unsigned nseeds, uint64_t snapshot_entries);
void inproc_stop(unsigned group, unsigned i);
/** Stops all replicas and empties inproc_root. */
void inproc_clear(void);
/** Waits until some replica leads and answers a barrier. */
group_t *inproc_wait_leader(unsigned group);
group_t *inproc_wait_other_leader(unsigned group, const group_t *except);
/** Lets a replica of group 0 neither send nor receive. */
void inproc_isolate(const group_t *g, bool cut);

#endif
