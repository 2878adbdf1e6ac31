/** A randomised run of the log's core: replicas, disks and a network in one thread, with a
 * reference model of what was acknowledged. Everything follows from the seed. */
#ifndef AUBURN_SIM_H
#define AUBURN_SIM_H

#include "raft/raft.h"

#define SIM_ADDRS	 6 /* addresses at which a replica may run */
#define SIM_KEYS	 3
#define SIM_INDEX_MAX	 65536
#define SIM_PACKETS_MAX 512
#define SIM_IDS_MAX	 256

/** One write to a register, as the log carries it. */
typedef struct {
	uint64_t op; /* unique; 0: not a write */
	uint32_t key;
	uint32_t pad;
} sim_cmd_t;

/** The replicated state: the newest write to each register, and how many there were. */
typedef struct {
	uint64_t applied;
	uint64_t op[SIM_KEYS];
	uint64_t version[SIM_KEYS];
} sim_state_t;

typedef struct {
	uint64_t index;
	uint64_t term;
	raft_members_t members;
	sim_state_t state;
} sim_snap_t;

/** Something persisted that isn't synced yet. */
typedef struct {
	enum { SIM_HARD_STATE, SIM_ENTRIES, SIM_RESET } type;
	uint64_t seq;
	uint64_t term;
	uint64_t index; /* vote, first index, or base */
	raft_entry_t *entries;
	size_t n;
} sim_write_t;

typedef struct {
	uint64_t term;
	uint64_t vote;
	uint64_t base;
	uint64_t base_term;
	raft_entry_t *entries; /* from base + 1 */
	size_t n;
	sim_snap_t snaps[2]; /* [0] is the newest */
	unsigned nsnaps;
	sim_write_t *writes;
	size_t nwrites;
} sim_disk_t;

typedef struct sim sim_t;

typedef struct {
	sim_t *sim;
	unsigned addr;
	uint64_t id;
	raft_t *raft; /* NULL: stopped */
	sim_disk_t disk;
	sim_state_t state;
	unsigned frozen_steps; /* steps left */
	unsigned partition; /* messages pass only between equal ones */
	buf_t incoming; /* snapshot being received */
	buf_t outgoing;
	buf_t outgoing_members;
} sim_node_t;

typedef struct {
	unsigned from;
	unsigned to;
	buf_t bytes;
} sim_packet_t;

/** A read or a write that was begun and not answered. */
typedef struct {
	bool read;
	uint64_t token; /* op of a write */
	unsigned addr;
	uint64_t id;
	uint64_t index;
	uint64_t term;
	uint32_t key;
	uint64_t min_version; /* version that was seen by somebody when it began */
} sim_call_t;

typedef struct {
	uint64_t seed;
	unsigned steps;
} sim_options_t;

typedef struct {
	bool violated;
	char what[256];
	unsigned step;
	uint64_t writes; /* acknowledged */
	uint64_t reads;
	uint64_t elections;
	uint64_t installs;
	uint64_t restarts;
	uint64_t disks_lost;
	uint64_t changes; /* of members */
	uint64_t stuck; /* ended with a majority of its voters lost: nothing to agree on */
} sim_result_t;

struct sim {
	uint64_t random;
	sim_node_t nodes[SIM_ADDRS];
	sim_packet_t packets[SIM_PACKETS_MAX];
	unsigned npackets;
	unsigned loss_percent; /* percent */
	unsigned tick_per_mille; /* chance of a tick in a step; many ticks make elections collide */
	unsigned sync_tries; /* tries to sync in a step */
	struct {
		uint64_t id;
		unsigned addr;
		bool lost; /* its disk is gone */
	} ids[SIM_IDS_MAX];
	unsigned nids;
	struct {
		uint64_t term;
		uint64_t op;
	} reference[SIM_INDEX_MAX]; /* by index; term 0 and op 0: nobody applied it yet */
	uint64_t reference_last;
	uint64_t leaders[SIM_INDEX_MAX]; /* by term */
	sim_call_t *calls;
	size_t ncalls;
	uint64_t next_op;
	uint64_t seen_version[SIM_KEYS]; /* highest version acknowledged or read */
	sim_result_t *res;
};

/** Runs one seed to its end; false when something was violated. */
bool sim_run(const sim_options_t *o, sim_result_t *res);

/** For tests that steer by hand: replicas 0 to voters-1 are the first voters, the others learners
 * to be; nothing is lost and nothing happens by itself. */
sim_t *sim_new(uint64_t seed, unsigned voters, sim_result_t *res);
void sim_free(sim_t *s);
/** Delivers, syncs and flushes until nothing is under way. */
void sim_settle(sim_t *s);
/** The address comes back with an empty disk, and so as another replica. */
void sim_lose_disk(sim_t *s, sim_node_t *n);

/* sim_node.c */
uint64_t sim_random(sim_t *s, uint64_t n);
void sim_report_violation(sim_t *s, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
void sim_node_start(sim_node_t *n);
/** Stops a replica; a random number of its unsynced writes is lost. */
void sim_node_stop(sim_node_t *n);
void sim_node_sync(sim_node_t *n, size_t writes);
void sim_node_snapshot(sim_node_t *n);
void sim_disk_clear(sim_disk_t *d);
void sim_node_free(sim_node_t *n);

/* sim_check.c */
void sim_check_apply(sim_node_t *n, uint64_t index, const raft_entry_t *e);
void sim_check_leader(sim_node_t *n, uint64_t term);
void sim_call_begin(sim_t *s, sim_node_t *n, bool read, uint64_t token, uint64_t index,
		    uint32_t key);
void sim_call_read_done(sim_node_t *n, uint64_t token, bool ok);
void sim_calls_drop(sim_t *s, unsigned slot);

/* sim_net.c */
void sim_send(sim_node_t *from, const raft_msg_t *m);
void sim_deliver(sim_t *s);
int sim_addr_of(const sim_t *s, uint64_t id);

#endif
