/**
 * Internal interfaces of auburn-control, the control process. Its durable state is replicated in
 * Raft groups: group 0 holds the fleet state (config, sessions, upstreams and their owners) and the
 * batch lots; the ledger groups hold requests and jobs.
 *
 * Fleet: the control processes, entries and upstreams that share one group 0.
 * Entry: a process that answers callers. There are two programs: auburn-entry calls the control
 * processes by RPC and has a session; auburn-front links to the hub (hub.h).
 * Upstream: a replica of a model engine. In the control processes "replica" also means a Raft
 * replica: one process's copy of a group, with an id of its own.
 * Session: a run of an auburn-entry, as group 0 records it. Heartbeats renew its lease; the leader
 * closes the session once the lease has ended.
 * Owner: the one entry that starts streams on an upstream. Each change of owner gives the upstream
 * a new fencing token ("fence"), by which the engine refuses streams of former owners.
 * View: the members (entries with a session), upstreams and owners, numbered by view_version. The
 * hub has a view of its own, see hub.h.
 */
#ifndef AUBURN_CONTROL_H
#define AUBURN_CONTROL_H

#include <pthread.h>
#include <stdatomic.h>
#include "base/toml.h"
#include "base/clock.h"
#include "client/control_client.h"
#include "policy/membership.h"
#include "raft/group.h"
#include "state/fleet.h"
#include "state/ledger.h"
#include "state/lots.h"

#define CONTROL_GROUPS_MAX 65 /* group 0 and the ledger groups */
/** The leader closes a session this long after its lease has ended, in ms, as the clocks of entry
 * and leader run at different rates. */
#define CONTROL_LEASE_MARGIN_MS 300
/** Maximum number of candidates for voters. */
#define CONTROL_CANDIDATES_MAX 32

/** Settings of the process; times in ms. */
typedef struct {
	char *name;
	char *zone;
	char *listen; /* ip:port of the RPC server */
	char *http; /* ip:port for /metrics, /healthz and /readyz; may be NULL */
	char *data; /* data folder */
	char *platform; /* URL of the list of VMs that become the upstreams; may be NULL */
	toml_strs_t controls; /* RPC addresses of the founding control processes, with which the
				 search for the leader begins */
	toml_strs_t addr_routes; /* "addr=via": RPC connections to addr go to via */
	toml_strs_t spares; /* RPC addresses of further control processes; without a hub, they are
			       the candidates for voters */
	char *operators; /* ip:port for HTTP calls of operators; may be NULL */
	char *directory; /* ip:port for HTTP calls of callers that look up entries; may be NULL */
	char *upstream_list; /* ip:port of the platform's list of replicas, which the hub reads for
				its dispatcher; may be NULL */
	int64_t rpc_port; /* replaces the ports in `controls`; 0: as given there */
	int64_t link_port; /* on which all control processes accept links; 0: no hub, and operators,
				directory and upstream_list have no effect */
	int64_t tolerate; /* number of control processes whose disks may be lost at once, which
			     gives the number of voters; 0: as many voters as `controls` */
	int64_t memory_mib; /* memory of the process, of which lots may fill a part; 0: no limit */
	int64_t client_memory_mib; /* bound on buffers of clients; 0: a part of memory_mib */
	int64_t client_connections; /* bound on connections of clients; 0: by the descriptors */
	int64_t quota_window_s; /* window in which quotas of customers are judged */
	double quota_over; /* share of a quota by which a window may exceed it */
	int64_t quota_slack; /* requests beyond that share */
	int64_t lot_ttl_ms; /* how long results can be read after the lot was accepted, at least */
	bool bootstrap; /* this process may found a fleet */
	int64_t ledger_groups; /* number of ledger groups */
	int64_t tick_ms;
	int64_t election_ms;
	int64_t lease_ms;
	int64_t replace_grace_ms; /* silence after which a group member is replaced or removed */
	int64_t platform_poll_ms;
	int64_t snapshot_entries; /* a snapshot follows this many applied log entries */
	bool weigh_speed; /* placement weighs the expected speed of replicas */
	bool weigh_prompts; /* and what they have cached of prompts */
	int64_t snapshot_mib; /* or this many MiB of them */
} control_settings_t;

status_t control_settings_load(const char *path, control_settings_t *s);

/** A replicated group: this process's Raft replica and its state machine. */
typedef struct {
	unsigned number;
	group_t *raft;
	pthread_rwlock_t lock; /* guards the state machine */
	fleet_state_t *fleet; /* in group 0: config, sessions, upstreams and their owners */
	lots_t *lots; /* in group 0: batch lots */
	ledger_t *ledger; /* in all other groups */
} control_group_t;

typedef struct {
	control_settings_t settings;
	unsigned ngroups;
	control_group_t *groups;
	_Atomic bool ready; /* all groups are open */
	_Atomic bool stopping; /* unused */
	_Atomic bool fresh; /* unused */
	control_client_t *client; /* to the other control processes */
	struct control_peers *peers; /* queues of Raft messages to them */
	struct control_sessions *sessions;
	struct hub *hub; /* NULL without link_port */
} control_t;

/* control_group.c */
/** Opens this process's replica of group n. bootstrap: as a first voter of a new fleet. Tries again
 * while the disk refuses reads or writes; STATUS_IO only if the process is to stop meanwhile. */
status_t control_group_open(control_t *ctl, unsigned n, bool bootstrap);
/** Runs fn under the read lock. The state may lag behind the leader's: for a current read, call
 * group_read_barrier first. */
void control_group_read(control_group_t *g, void (*fn)(control_group_t *g, void *arg), void *arg);
/** Commits a command of group 0; fails unless this process leads the group. STATUS_OK: the command
 * was applied and res holds its result, whose own status may be an error. The caller frees res. */
status_t control_fleet_propose(control_t *ctl, const wire_fleet_cmd_t *cmd, wire_fleet_res_t *res,
			       deadline_t deadline);

/* control_peer.c: a queue and a sending thread for each of the other control processes */
struct control_peers *control_peers_new(control_t *ctl);
/** Queues a Raft message to the process at addr; drops the oldest one when the queue is full. */
void control_peer_send(control_t *ctl, const char *addr, unsigned group, str_t msg);

/* control_rpc.c */
status_t control_rpc_start(control_t *ctl);

/* control_session.c: leases of entries, soft state of the leader of group 0 */
struct control_sessions *control_sessions_new(void);
/** Handles a heartbeat of an entry: renews the lease of its session. Opens the session if the entry
 * has none yet, and records it as draining in a planned stop of the entry. */
void control_heartbeat(control_t *ctl, const wire_heartbeat_arg_t *arg, wire_heartbeat_res_t *res);
/** True once the lease has certainly ended. leader_since: when this process became leader. */
bool control_session_expired(control_t *ctl, uint64_t session, deadline_t leader_since);
/** True once the session's entry has reported to this process that it uses this view or a later
 * one. */
bool control_session_has_view(control_t *ctl, uint64_t session, uint64_t view_version);

/* control_leader.c: periodic work for the groups that this process leads */
void control_leader_round(control_t *ctl);

/* control_owner.c: assigns the upstreams to owners */
void control_owner_round(control_t *ctl);

/* control_repair.c: replaces lost and retired voters, adds missing ones */
void control_repair_round(control_t *ctl, control_group_t *g, const group_status_t *st);
/** True if operators have retired the control process that has this replica of group 0. */
bool control_is_retired(control_t *ctl, uint64_t replica_id);
/** True if operators have retired the control process of the VM with this name and RPC address. */
bool control_is_retired_vm(control_t *ctl, const char *name, const char *addr);
/** Counts the control processes other than `except` (id of a replica of group 0) that vote and
 * acknowledge, or could be made voters. Thread-safe. */
unsigned control_count_able(control_t *ctl, uint64_t except);
/** A process that was removed as silent may be added again: its disk takes writes. Thread-safe. */
void control_disk_is_back(uint64_t replica_id);
/** Number of voters that a group should have. */
unsigned control_voter_target(const control_t *ctl);

/* control_voters.c */
/** Logs which voters acknowledge nothing to this process as leader of g, and which do so again. */
void control_voters_round(control_t *ctl, control_group_t *g, const group_status_t *st);

/* control_platform.c: keeps the upstreams in group 0 up to date with the platform's VMs */
void control_platform_round(control_t *ctl);

/* control_boot.c */
typedef enum {
	CONTROL_BOOT_MEMBER, /* open the replicas in the data folder */
	CONTROL_BOOT_NEW_FLEET, /* found a fleet, as one of the first voters */
	CONTROL_BOOT_JOIN /* wait as a learner until a leader adds this process to the groups */
} control_boot_t;
/** Decides how to open the data folder. If the folder is new and this process may found a fleet,
 * waits for answers from the other founding control processes. */
control_boot_t control_boot_decide(control_t *ctl, bool bootstrap);

/* hub.c */
status_t hub_start(control_t *ctl);
/** Adds control processes to those that the hub tries as the leader. Thread-safe. */
void hub_add_controls(control_t *ctl, const toml_strs_t *addrs);
/** Lists the control processes that are linked to the hub of the leader, as candidates for voters;
 * returns their number. Their replicas are those of group 0. Thread-safe. */
unsigned hub_candidates(control_t *ctl, membership_candidate_t out[CONTROL_CANDIDATES_MAX]);
/** True if HTTP calls of operators or look-ups of callers were in progress at the hub's last tick.
 * Thread-safe. */
bool hub_is_busy(const control_t *ctl);

/* control_status.c: status of the process and its groups */
void control_status_json(control_t *ctl, buf_t *out);

/* control_http.c: HTTP server for metrics, health and readiness */
status_t control_http_start(control_t *ctl);

#endif
