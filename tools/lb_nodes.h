/** Replicas in one process that call each other's functions, with real files. */
#ifndef AUBURN_LB_NODES_H
#define AUBURN_LB_NODES_H

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
	_Atomic bool cut; /* neither sends nor receives */
	buf_t state;
	uint64_t applied;
} lb_node_t;

extern lb_node_t lb_nodes[GROUPS_MAX][REPLICAS_MAX];
extern char lb_root[64]; /* folder of all data folders */
extern const char *const lb_seeds[REPLICAS_MAX];

/** Opens a replica; nseeds 0: an empty one that is to join. Ends the program when it can't. */
void lb_start(unsigned group, unsigned i, unsigned nseeds, uint64_t snapshot_entries);
void lb_stop(unsigned group, unsigned i);
/** Stops all replicas and empties lb_root. */
void lb_clear(void);
/** Waits until some replica leads and answers a barrier. */
group_t *lb_wait_leader(unsigned group);
group_t *lb_wait_leader_but(unsigned group, const group_t *except);
/** Lets a replica of group 0 neither send nor receive. */
void lb_cut(const group_t *g, bool cut);

#endif
