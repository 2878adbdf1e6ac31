/** Internal interfaces of auburn-control, the process that holds replicas of the durable state. */
#ifndef AUBURN_CONTROL_H
#define AUBURN_CONTROL_H

#include <pthread.h>
#include <stdatomic.h>
#include "base/toml.h"
#include "base/clock.h"
#include "client/control_client.h"
#include "raft/group.h"
#include "state/fleet.h"
#include "state/ledger.h"
#include "state/lots.h"

#define CONTROL_GROUPS_MAX 65 /* group 0 and the ledger groups */
/** The leader waits this much longer than a lease, in ms, as clocks run at different rates. */
#define CONTROL_LEASE_MARGIN_MS 300
/** Most control processes that hub_candidates lists. */
#define CONTROL_CANDIDATES_MAX 32

/** Settings of the process; times in ms. */
typedef struct {
	char *name;
	char *zone;
	char *listen; /* ip:port of its RPC */
	char *http; /* ip:port of /metrics, /healthz and /readyz; may be NULL */
	char *data; /* data folder */
	char *platform; /* URL of the list of VMs that become upstreams of entries; may be NULL */
	toml_strs_t controls; /* RPC addresses of the founding control processes, own included */
	toml_strs_t addr_routes; /* "addr=via": connections to addr go to via */
	toml_strs_t spares; /* RPC addresses of candidates for voters, if there is no hub */
	char *operators; /* ip:port for operators; may be NULL */
	char *directory; /* ip:port for callers that look up entries; may be NULL */
	char *upstream_list; /* ip:port of the replica list for the dispatcher; may be NULL */
	int64_t rpc_port; /* replaces the ports in `controls`; 0: as given there */
	int64_t link_port; /* on which control processes accept links; 0: no hub */
	int64_t tolerate; /* control processes whose disks may be lost at once; 0: one voter for
			     each of `controls` */
	int64_t memory_mib; /* memory of the process, of which lots may fill a part; 0: no bound */
	int64_t lot_ttl_ms; /* how long results are readable after the lot was accepted */
	bool bootstrap;
	int64_t ledger_groups;
	int64_t tick_ms;
	int64_t election_ms;
	int64_t lease_ms;
	int64_t replace_grace_ms;
	int64_t platform_poll_ms;
	int64_t snapshot_entries;
	int64_t snapshot_mib;
} control_settings_t;

status_t control_settings_load(const char *path, control_settings_t *s);

/** One replicated group: its Raft log and the state machine. */
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
	struct control_peers *peers;
	struct control_sessions *sessions;
	struct hub *hub; /* NULL without link_port */
} control_t;

/* control_group.c */
status_t control_group_open(control_t *ctl, unsigned n, bool bootstrap);
/** Runs fn under the read lock. The state may lag behind the leader's. */
void control_group_read(control_group_t *g, void (*fn)(control_group_t *g, void *arg), void *arg);
/** Commits a command of group 0 and decodes its result. The caller frees res. */
status_t control_fleet_propose(control_t *ctl, const wire_fleet_cmd_t *cmd, wire_fleet_res_t *res,
			       deadline_t deadline);

/* control_peer.c: a sending thread for each of the other control processes */
struct control_peers *control_peers_new(control_t *ctl);
/** Queues a Raft message; drops the oldest one when the queue is full. */
void control_peer_send(control_t *ctl, const char *addr, unsigned group, str_t msg);

/* control_rpc.c */
status_t control_rpc_start(control_t *ctl);

/* control_session.c: leases of entries, soft state of the leader of group 0 */
struct control_sessions *control_sessions_new(void);
/** Renews the lease of the sender's session; opens or drains the session if asked to. */
void control_heartbeat(control_t *ctl, const wire_heartbeat_arg_t *arg, wire_heartbeat_res_t *res);
/** True once the lease has certainly ended. leader_since: when this process became leader. */
bool control_session_expired(control_t *ctl, uint64_t session, deadline_t leader_since);

/** True once the session's entry has reported that it uses this view or a later one. */
bool control_session_has_view(control_t *ctl, uint64_t session, uint64_t view_version);

/* control_leader.c: periodic work for each group that this process leads */
void control_leader_round(control_t *ctl);

/* control_owner.c: gives each upstream an owner, the entry that starts streams on it */
void control_owner_round(control_t *ctl);

/* control_repair.c: replaces lost and retired voters */
void control_repair_round(control_t *ctl, control_group_t *g, const group_status_t *st);
/** True if operators have retired the control process with this Raft replica of group 0. */
bool control_is_retired(control_t *ctl, uint64_t replica);
/** Number of voters that a group should have. */
unsigned control_voter_target(const control_t *ctl);

/* control_platform.c: polls the platform's list of VMs */
void control_platform_round(control_t *ctl);

/* control_boot.c */
typedef enum { CONTROL_BOOT_MEMBER, CONTROL_BOOT_NEW_FLEET, CONTROL_BOOT_JOIN } control_boot_t;
/** Decides how to open the data folder. Asks the other control processes if the folder is new. */
control_boot_t control_boot_decide(control_t *ctl, bool bootstrap);

/* hub.c */
status_t hub_start(control_t *ctl);
/** Adds control processes that may lead. Thread-safe. */
void hub_add_controls(control_t *ctl, const toml_strs_t *addrs);
/** Lists the control processes that are linked to the hub, as candidates for voters; returns how
 * many. Thread-safe. */
unsigned hub_candidates(control_t *ctl, group_peer_t out[CONTROL_CANDIDATES_MAX]);
/** True while calls of operators or look-ups are in progress. Thread-safe. */
bool hub_is_busy(const control_t *ctl);

/* control_status.c */
void control_status_json(control_t *ctl, buf_t *out);

/* control_http.c */
status_t control_http_start(control_t *ctl);

#endif
