/** auburn-control: one replica of the durable state. What its files show each other. */
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
/** Added to a lease on the granting side for clocks that run at different rates. */
#define CONTROL_LEASE_MARGIN_MS 300
/** Control processes that may become voters, as the hub knows them. */
#define CONTROL_CANDIDATES_MAX 32

/** Settings of the process; times in ms. */
typedef struct {
	char *name;
	char *zone;
	char *listen; /* ip:port of its RPC */
	char *http; /* ip:port of /metrics, /healthz and /readyz; may be NULL */
	char *data; /* folder */
	char *platform; /* URL of the list of VMs; may be NULL */
	toml_strs_t controls; /* addresses of the first control processes, own included */
	toml_strs_t addr_routes; /* "addr=via": an address that is reached another way */
	toml_strs_t spares; /* addresses of control processes that may replace a lost one */
	char *operators; /* ip:port for operators; may be NULL */
	char *directory; /* ip:port for callers that look for an entry; may be NULL */
	char *upstream_list; /* ip:port of the list of replicas; may be NULL */
	int64_t rpc_port; /* of all control processes, where `controls` gives another; 0: as given
			   */
	int64_t link_port; /* where control processes take links; 0: no hub */
	int64_t tolerate; /* VMs with a disk that may be lost at once; 0: one voter for each of
			     `controls` */
	int64_t memory_mib; /* that the process may use; 0: lots aren't bounded by it */
	int64_t lot_ttl_ms; /* results of a lot are readable this long after its acceptance */
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

/** One group: its log and the state machine behind it. */
typedef struct {
	unsigned number;
	group_t *raft;
	pthread_rwlock_t lock; /* guards fl or ld */
	fleet_state_t *fleet; /* group 0 */
	lots_t *lots; /* group 0 */
	ledger_t *ledger; /* others */
} control_group_t;

typedef struct {
	control_settings_t settings;
	unsigned ngroups;
	control_group_t *groups;
	_Atomic bool ready; /* all groups are open */
	_Atomic bool stopping;
	_Atomic bool fresh; /* the data folder was new at start */
	control_client_t *client; /* to the other control processes */
	struct control_peers *peers;
	struct control_sessions *sessions;
	struct hub *hub; /* NULL without link_port */
} control_t;

/* cn_group.c */
status_t control_group_open(control_t *cn, unsigned n, bool bootstrap);
/** Reads the state under the lock, with no promise that it is the newest. */
void control_group_read(control_group_t *g, void (*fn)(control_group_t *g, void *arg), void *arg);
/** Proposes a command of group 0 and decodes the answer. */
status_t control_fleet_propose(control_t *cn, const wire_fleet_cmd_t *cmd, wire_fleet_res_t *res,
			       deadline_t deadline);

/* cn_peer.c: one sending thread for each other control process */
struct control_peers *control_peers_new(control_t *cn);
/** Queues a log message; drops the oldest when the peer is too slow. */
void control_peer_send(control_t *cn, const char *addr, unsigned group, str_t msg);

/* cn_rpc.c */
status_t control_rpc_start(control_t *cn);

/* cn_session.c: leases of entries, soft state of the leader of group 0 */
struct control_sessions *control_sessions_new(void);
void control_heartbeat(control_t *cn, const wire_heartbeat_arg_t *arg, wire_heartbeat_res_t *res);
/** True once the lease of the session has certainly ended. */
bool control_session_expired(control_t *cn, uint64_t session, deadline_t led_since);

/** True once the session's entry has said that it works by this view or a later one. */
bool control_session_has_view(control_t *cn, uint64_t session, uint64_t view_version);

/* cn_lead.c: the control thread's round while this process leads a group */
void control_leader_round(control_t *cn);

/* cn_owner.c */
void control_owner_round(control_t *cn);

/* cn_repair.c: replaces voters that are lost */
void control_repair_round(control_t *cn, control_group_t *g, const group_status_t *st);

/* cn_platform.c */
void control_platform_round(control_t *cn);

/* cn_boot.c */
typedef enum { CONTROL_BOOT_MEMBER, CONTROL_BOOT_NEW_FLEET, CONTROL_BOOT_JOIN } control_boot_t;
/** Decides how to open the data folder; asks the other control processes when it is new. */
control_boot_t control_boot_decide(control_t *cn, bool bootstrap);

/** True when the operators want this replica of group 0 emptied. */
bool control_is_retired(control_t *cn, uint64_t replica);
/** Voters that group 0 is to have. */
unsigned control_voter_target(const control_t *cn);

/* cn_hub.c */
status_t hub_start(control_t *cn);
/** Further control processes that may lead; from any thread. */
void hub_add_controls(control_t *cn, const toml_strs_t *addrs);
/** Control processes that are linked to this one while it leads; returns how many. */
unsigned hub_candidates(control_t *cn, group_peer_t out[CONTROL_CANDIDATES_MAX]);
/** True while calls of operators, or look-ups, are under way. */
bool hub_is_busy(const control_t *cn);

/* cn_status.c */
void control_status_json(control_t *cn, buf_t *out);

/* cn_http.c */
status_t control_http_start(control_t *cn);

#endif
