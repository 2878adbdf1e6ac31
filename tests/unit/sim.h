/**
 * Randomised simulation of the Raft core (raft/raft.h): replicas, their disks and a network in one
 * thread, with crashes, lost disks, partitions and lost messages, and on request with disks that
 * hang or refuse writes for some time. A reference model checks that all replicas apply the same
 * entries in the same order and that no acknowledged write is lost. A run is a function of its
 * options. Used by test_raft and by the tool auburn-core-random.
 */
#ifndef AUBURN_SIM_H
#define AUBURN_SIM_H

#include "raft/raft.h"

#define SIM_ADDRS	6 /* addresses, each of which runs one replica at a time */
#define SIM_KEYS	3
#define SIM_INDEX_MAX	65536
#define SIM_PACKETS_MAX 512
#define SIM_IDS_MAX	256

/** A write to a register, as a log entry holds it. */
typedef struct {
	uint64_t op; /* unique; 0: not a write */
	uint32_t key;
	uint32_t pad;
} sim_cmd_t;

/** The replicated state: for each register its last write and its version, the number of writes to
 * it. */
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

/** A write to the disk that is not synced yet. */
typedef struct {
	enum { SIM_HARD_STATE, SIM_ENTRIES, SIM_RESET } type;
	uint64_t seq;
	uint64_t term;
	uint64_t index; /* SIM_HARD_STATE: vote; SIM_ENTRIES: first index; SIM_RESET: base */
	raft_entry_t *entries;
	size_t n;
} sim_write_t;

typedef enum {
	SIM_DISK_HANGS, /* syncs do not return */
	SIM_DISK_FULL,
	SIM_DISK_SYNC_FAILS, /* a crash may then lose what the sync was to make durable */
	SIM_DISK_FAULTS
} sim_disk_fault_t;

typedef struct {
	uint64_t term;
	uint64_t vote;
	uint64_t base;
	uint64_t base_term;
	raft_entry_t *entries; /* from index base + 1 */
	size_t n;
	sim_snap_t snaps[2]; /* [0] is the newest */
	unsigned nsnaps;
	sim_write_t *writes;
	size_t nwrites;
	sim_disk_fault_t fault;
	unsigned fault_until; /* step at which the fault ends */
	bool refused; /* the replica was told that its disk failed; `writes` wait for its return */
	bool sync_failed; /* since the last successful sync */
} sim_disk_t;

typedef struct sim sim_t;

typedef struct {
	sim_t *sim;
	unsigned addr;
	uint64_t id;
	raft_t *raft; /* NULL: stopped */
	sim_disk_t disk;
	sim_state_t state;
	unsigned frozen_steps; /* steps for which it neither runs nor receives messages */
	unsigned partition; /* messages pass only within a partition */
	buf_t incoming; /* snapshot being received */
	buf_t outgoing; /* rest of the snapshot being sent */
	buf_t outgoing_members;
} sim_node_t;

typedef struct {
	unsigned from;
	unsigned to;
	buf_t bytes;
} sim_packet_t;

/** A read or write that a caller has started and that is not answered yet. */
typedef struct {
	bool read;
	uint64_t token; /* a write's op */
	unsigned addr;
	uint64_t id;
	uint64_t index;
	uint64_t term;
	uint32_t key;
	uint64_t min_version; /* highest version any caller had seen when the call started */
} sim_call_t;

typedef struct {
	uint64_t seed;
	unsigned steps;
	bool disk_faults; /* disks hang, refuse writes or fail syncs for some time */
} sim_options_t;

typedef struct {
	bool violated;
	char what[256];
	unsigned step;
	uint64_t writes; /* acknowledged */
	uint64_t reads;
	uint64_t elections;
	uint64_t installs; /* snapshots received whole */
	uint64_t restarts;
	uint64_t disks_lost;
	uint64_t disk_failures; /* times a replica was told that its disk failed */
	uint64_t disk_returns; /* of them, without a restart in between */
	uint64_t changes; /* membership changes */
	uint64_t stuck; /* runs that ended with the disks of a majority of voters lost, so that
			   nothing could commit any more */
} sim_result_t;

struct sim {
	uint64_t random;
	uint64_t disk_random; /* of disk faults: runs without them draw as before */
	unsigned next_loss; /* step at which a disk is lost because another came back; 0: none */
	sim_node_t nodes[SIM_ADDRS];
	sim_packet_t packets[SIM_PACKETS_MAX];
	unsigned npackets;
	unsigned loss_percent; /* messages lost when sent */
	unsigned tick_per_mille; /* chance of a tick per step; frequent ticks cause split votes */
	unsigned sync_tries; /* random replicas whose disks may sync in a step */
	struct {
		uint64_t id;
		unsigned addr;
		bool lost; /* its disk was lost */
	} ids[SIM_IDS_MAX];
	unsigned nids;
	struct {
		uint64_t term;
		uint64_t op;
	} reference[SIM_INDEX_MAX]; /* by index; the entries applied by any replica */
	uint64_t reference_last; /* highest index in reference */
	uint64_t leaders[SIM_INDEX_MAX]; /* id of the leader of each term */
	sim_call_t *calls;
	size_t ncalls;
	uint64_t next_op;
	uint64_t seen_version[SIM_KEYS]; /* highest version that a caller has seen */
	sim_result_t *res;
};

/** Runs one seed; false if an invariant was violated, which res->what describes. */
bool sim_run(const sim_options_t *o, sim_result_t *res);

/** Makes a simulation without random events, for tests that control each step: the replicas at
 * addresses 0 to voters-1 are the first voters, the others belong to no group yet. With voters = 0
 * their number is random, 3 to 5. */
sim_t *sim_new(uint64_t seed, unsigned voters, sim_result_t *res);
void sim_free(sim_t *s);
/** Delivers messages, syncs disks and flushes until no message and no unsynced write is left. */
void sim_settle(sim_t *s);
/** Restarts the replica with an empty disk and therefore a new id. */
void sim_lose_disk(sim_t *s, sim_node_t *n);

/* sim_node.c */

/** Returns a random number below n. */
uint64_t sim_random(sim_t *s, uint64_t n);
/** Records the first violation of an invariant; later ones are ignored. */
void sim_report_violation(sim_t *s, const char *fmt, ...) __attribute__((format(printf, 2, 3)));
/** Starts a replica from its disk. */
void sim_node_start(sim_node_t *n);
/** Stops a replica as a crash does: a random number of its newest unsynced writes is lost. */
void sim_node_stop(sim_node_t *n);
/** Syncs up to this many of the oldest unsynced writes. A faulty disk syncs none; all of them are
 * synced when it comes back. */
void sim_node_sync(sim_node_t *n, size_t writes);
/** Saves a snapshot of the applied state and compacts the log up to the one before. */
void sim_node_snapshot(sim_node_t *n);
void sim_disk_clear(sim_disk_t *d);
void sim_node_free(sim_node_t *n);

/* sim_disk.c */

/** Random number below n for disk faults. */
uint64_t sim_disk_random(sim_t *s, uint64_t n);
/** Begins a random fault of a random disk now and then. */
void sim_disk_random_fault(sim_t *s);
bool sim_disk_is_faulty(const sim_node_t *n);
/** Tells the replica that its disk failed, unless it knows. */
void sim_disk_refuse(sim_node_t *n);
/** Lets the replica take part again; all that is queued must be synced next. */
void sim_disk_return(sim_node_t *n);

/* sim_check.c */

/** Checks an entry that a replica applies against the reference, and answers its caller. */
void sim_check_apply(sim_node_t *n, uint64_t index, const raft_entry_t *e);
/** Checks that a term has only one leader. */
void sim_check_leader(sim_node_t *n, uint64_t term);
/** Checks the size of the log in memory. */
void sim_check_log_bytes(sim_node_t *n);
/** Records the start of a read or write. token: a read's token or a write's op; index: the write's
 * log index. */
void sim_call_begin(sim_t *s, sim_node_t *n, bool read, uint64_t token, uint64_t index,
		    uint32_t key);
/** Ends a read; if ok, its caller sees the replica's state. */
void sim_call_read_done(sim_node_t *n, uint64_t token, bool ok);
/** Drops the calls at a replica that has stopped. */
void sim_calls_drop(sim_t *s, unsigned addr);

/* sim_net.c */

/** Encodes and queues a message; some are lost. */
void sim_send(sim_node_t *from, const raft_msg_t *m);
/** Delivers a random queued message, unless its receiver is frozen; some stay queued and are
 * delivered again. A message is lost if its receiver is stopped or in another partition. */
void sim_deliver(sim_t *s);
/** Returns the address at which a replica runs or ran, or -1. */
int sim_addr_of(const sim_t *s, uint64_t id);

#endif
