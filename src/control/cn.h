/** auburn-control: one replica of the durable state. What its files show each other. */
#ifndef AUBURN_CN_H
#define AUBURN_CN_H

#include <pthread.h>
#include <stdatomic.h>
#include "base/cf.h"
#include "base/clk.h"
#include "client/cc.h"
#include "raft/gr.h"
#include "state/fl.h"
#include "state/ld.h"
#include "state/lo.h"

#define CN_GROUPS_MAX 65 /* group 0 and the ledger groups */
/** Added to a lease on the granting side for clocks that run at different rates. */
#define CN_LEASE_MARGIN_MS 300
/** Control processes that may become voters, as the hub knows them. */
#define CN_CANDIDATES_MAX 32

/** Settings of the process; times in ms. */
typedef struct {
	char *name;
	char *zone;
	char *listen; /* ip:port of its RPC */
	char *http; /* ip:port of /metrics, /healthz and /readyz; may be NULL */
	char *data; /* folder */
	char *platform; /* URL of the list of VMs; may be NULL */
	cf_strs_t controls; /* addresses of the first control processes, own included */
	cf_strs_t routes; /* "addr=via": an address that is reached another way */
	cf_strs_t spares; /* addresses of control processes that may replace a lost one */
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
} cn_settings_t;

status_t cn_settings_load(const char *path, cn_settings_t *s);

/** One group: its log and the state machine behind it. */
typedef struct {
	unsigned n;
	gr_t *gr;
	pthread_rwlock_t lock; /* guards fl or ld */
	fl_t *fl; /* group 0 */
	lo_t *lo; /* group 0 */
	ld_t *ld; /* others */
} cn_group_t;

typedef struct {
	cn_settings_t s;
	unsigned ngroups;
	cn_group_t *groups;
	_Atomic bool ready; /* all groups are open */
	_Atomic bool stopping;
	_Atomic bool fresh; /* the data folder was new at start */
	cc_t *cc; /* to the other control processes */
	struct cn_peers *peers;
	struct cn_sessions *sessions;
	struct hub *hub; /* NULL without link_port */
} cn_t;

/* cn_group.c */
status_t cn_group_open(cn_t *cn, unsigned n, bool bootstrap);
/** Reads the state under the lock, with no promise that it is the newest. */
void cn_group_read(cn_group_t *g, void (*fn)(cn_group_t *g, void *arg), void *arg);
/** Proposes a command of group 0 and decodes the answer. */
status_t cn_fleet(cn_t *cn, const aw_fleet_cmd_t *cmd, aw_fleet_res_t *res, deadline_t deadline);

/* cn_peer.c: one sending thread for each other control process */
struct cn_peers *cn_peers_new(cn_t *cn);
/** Queues a log message; drops the oldest when the peer is too slow. */
void cn_peer_send(cn_t *cn, const char *addr, unsigned group, str_t msg);

/* cn_rpc.c */
status_t cn_rpc_start(cn_t *cn);

/* cn_session.c: leases of entries, soft state of the leader of group 0 */
struct cn_sessions *cn_sessions_new(void);
void cn_beat(cn_t *cn, const aw_beat_arg_t *arg, aw_beat_res_t *res);
/** True once the lease of the session has certainly ended. */
bool cn_session_ended(cn_t *cn, uint64_t session, deadline_t led_since);

/** True once the session's entry has said that it works by this view or a later one. */
bool cn_session_seen(cn_t *cn, uint64_t session, uint64_t view_version);

/* cn_lead.c: the control thread's round while this process leads a group */
void cn_lead_round(cn_t *cn);

/* cn_owner.c */
void cn_owner_round(cn_t *cn);

/* cn_repair.c: replaces voters that are lost */
void cn_repair_round(cn_t *cn, cn_group_t *g, const gr_status_t *st);

/* cn_platform.c */
void cn_platform_round(cn_t *cn);

/* cn_boot.c */
typedef enum { CN_BOOT_MEMBER, CN_BOOT_NEW_FLEET, CN_BOOT_JOIN } cn_boot_t;
/** Decides how to open the data folder; asks the other control processes when it is new. */
cn_boot_t cn_boot_decide(cn_t *cn, bool bootstrap);

/** True when the operators want this replica of group 0 emptied. */
bool cn_is_retired(cn_t *cn, uint64_t replica);
/** Voters that group 0 is to have. */
unsigned cn_voters(const cn_t *cn);

/* cn_hub.c */
status_t cn_hub_start(cn_t *cn);
/** Further control processes that may lead; from any thread. */
void cn_hub_add_controls(cn_t *cn, const cf_strs_t *addrs);
/** Control processes that are linked to this one while it leads; returns how many. */
unsigned cn_hub_candidates(cn_t *cn, gr_peer_t out[CN_CANDIDATES_MAX]);
/** True while calls of operators, or look-ups, are under way. */
bool cn_hub_busy(const cn_t *cn);

/* cn_status.c */
void cn_status_json(cn_t *cn, buf_t *out);

/* cn_http.c */
status_t cn_http_start(cn_t *cn);

#endif
