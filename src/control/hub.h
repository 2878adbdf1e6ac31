/**
 * The hub: the event-loop thread of a control process. It serves links from entries (here always
 * auburn-front) and other control processes, and HTTP calls of operators and of callers that look
 * up entries. While its process leads group 0, the hub is also the dispatcher: it reads the
 * upstream list, assigns online requests and items to slots, and commits the progress and results
 * of lots. Otherwise it links to the leader, forwards operators' calls to it and copies its view.
 *
 * Lot: a batch of items that a caller submits as a whole; group 0 stores it (state/lots.h).
 * Slot: a unit of a replica's concurrency.
 * Upstream list: the platform's list of replicas of model engines. The code calls such a replica
 * an upstream, too.
 * View: the replicas, entries and control processes that the leader announces to linked processes.
 * Peer: a linked process.
 */
#ifndef AUBURN_HUB_H
#define AUBURN_HUB_H

#include <ev.h>
#include <pthread.h>
#include <uthash.h>
#include "client/leader_link.h"
#include "client/upstream_list.h"
#include "control/control.h"
#include "net/http_server.h"
#include "net/msgconn.h"
#include "net/worker.h"
#include "policy/dispatch.h"
#include "policy/leaving.h"
#include "policy/poison.h"
#include "policy/quarantine.h"
#include "policy/quota.h"
#include "policy/ring.h"
#include "policy/fanout.h"
#include "state/item_output.h"
#include "state/lot_access.h"
#include "state/lots.h"
#include "state/route_table.h"

/** Period of the checks of role and links, and of the dispatcher's tick, in ms. */
#define HUB_TICK_MS 25
/** Period of reads of the upstream list, in ms. The platform's list lags by about as much. */
#define HUB_LIST_PERIOD_MS 1000

/** Maximum number of control processes to which the leader announces itself. */
#define HUB_ANNOUNCE_MAX 32

/** Maximum number of replicas, and of entries, in the view sent to one entry. */
#define HUB_SHARE_MAX 64

typedef struct hub hub_t;

/** What an entry says of a request before it requests a slot for it. */
typedef struct {
	uint64_t request; /* 0: nothing was said */
	char customer[128]; /* empty: none; names are compared by this many bytes */
	dispatch_tokens_t tokens;
} hub_facts_t;

/** A linked process: an entry, or a control process that does not lead. */
typedef struct hub_peer {
	hub_t *hub;
	uint64_t id;
	msgconn_t *link;
	bool registered; /* its hello arrived while this process leads */
	bool draining;
	bool cut_off; /* an entry that reaches no replica; not set while it is draining */
	bool has_config; /* an entry that uses the routes of some config */
	bool counts_quotas; /* an entry that knows the messages on quotas */
	bool knows_prompt_parts; /* an entry that knows the messages on prompt parts */
	bool knows_poisons; /* an entry that knows the messages on poison requests */
	bool knows_kinds; /* knows the kinds of messages above LINK_REQUEST_SOUND */
	bool skipped_newer; /* a message of a newer build was skipped and logged */
	u_int sent_fleet_entries; /* number of entries that it was last told */
	char name[64];
	char addr[32]; /* ip:port for callers; empty for a control process */
	char zone[32];
	char rpc_addr[32]; /* RPC address; empty for an entry */
	uint64_t replica_id; /* of its Raft replica of group 0; 0: an entry, or not known yet */
	bool disk_failed; /* a control process whose disk refuses writes */
	deadline_t last_sent;
	uint64_t sent_upstreams; /* digests of the lists in the last share of the view; 0: none */
	uint64_t sent_entries;
	uint64_t sent_controls;
	uint64_t sent_capacities; /* like sent_entries, of the capacities */
	bool reported_capacity;
	unsigned capacity; /* in thousandths, as the entry reported it; 0: unknown */
	deadline_t capacity_due; /* a new entry reports its capacity by then */
	hub_facts_t facts; /* of the next slot request */
	deadline_t ack_due; /* since when a slot request is unacknowledged; 0: none is */
	struct hub_peer *next_unacked; /* in h->unacked while ack_due is set */
	UT_hash_handle hh;
} hub_peer_t;

/** Where the reply to a call goes: to a linked process, or to a function of this process. */
typedef struct {
	uint64_t peer; /* id of the linked process */
	uint64_t call_id; /* as numbered by that process */
	void (*reply)(void *ctx, const link_reply_t *r); /* NULL: the linked process gets it */
	void *ctx;
} hub_origin_t;

typedef struct hub_lot hub_lot_t;
typedef struct hub_operator_call hub_operator_call_t;

/** An item of a lot in the dispatcher. */
typedef struct {
	hub_lot_t *lot;
	uint32_t index;
	dispatch_item_t *dispatch_ref; /* NULL once the item is finished */
	item_output_t output; /* its entries are ids of peers */
	bool in_batch; /* the next commit saves its output */
	uint32_t failures; /* runs that ended in LINK_ITEM_END_FAILED, also those of which entries
			      had told earlier leaders */
	uint32_t silent_runs; /* in a row that were cut for silence without a new event */
	uint32_t attempts_max; /* the item fails for good after this many failures; 0: its route is
				  not known yet */
	uint64_t *parts; /* of its prompt, as in prompt_parts_t */
	unsigned nparts;
	bool held; /* a part of its prompt is blocked, or in doubt while another item probes it */
	bool probes; /* runs, or runs next, of those with a part in doubt */
	deadline_t probed_at; /* when it last became that one; 0: never */
} hub_item_t;

/** A lot with unfinished items, in the dispatcher. */
struct hub_lot {
	hub_t *hub;
	char *id;
	uint32_t nitems;
	uint32_t unfinished;
	hub_item_t *items;
	UT_hash_handle hh;
};

/** A read that waits for results of a lot. */
typedef struct hub_waiter {
	hub_origin_t origin;
	char *lot;
	uint32_t after; /* number of results that the reader has already */
	deadline_t deadline;
	struct hub_waiter *prev;
	struct hub_waiter *next;
} hub_waiter_t;

/** A request that is handed to the dispatcher when it fits into its customer's quota. */
typedef struct hub_delayed {
	uint64_t peer;
	link_slot_request_t ask; /* owned */
	hub_facts_t facts;
	deadline_t since;
	deadline_t at;
	struct hub_delayed *prev;
	struct hub_delayed *next;
} hub_delayed_t;

/** Changes of lots gathered for the next commit, and the calls that wait for it. */
typedef struct {
	wire_lots_cmd_t cmd;
	size_t opens_cap;
	size_t results_cap;
	size_t ends_cap;
	size_t progress_cap;
	hub_origin_t *open_origins; /* of the calls in cmd.opens */
	hub_origin_t *end_origins; /* of the calls in cmd.ends */
	size_t bytes; /* of the opens and results in cmd, and about as many as of the progress; the
			 progress has its text only once the commit starts */
} hub_batch_t;

/** Number of route tables in memory: the newest, and those that deltas can be based on. */
#define HUB_RECENT_ROUTES (FANOUT_BASES + 1)

/** The routes of a config, and the delta from them to the newest routes, made on first use. */
typedef struct {
	fanout_config_id_t config;
	route_table_t *routes;
	buf_t delta; /* compressed; for the newest routes: from an empty table to them */
	uint32_t delta_size; /* bytes before compression; 0: not made yet */
} hub_routes_t;

/** An entry that was asked once for the failures of items, while this process leads. */
typedef struct {
	char addr[32];
	UT_hash_handle hh;
} hub_asked_t;

/** HUB_STARTING: this process leads group 0, but its first read barrier has not ended. */
typedef enum { HUB_FOLLOWER, HUB_STARTING, HUB_LEADER } hub_role_t;

struct hub {
	control_t *control;
	struct ev_loop *loop;
	ev_timer tick;
	deadline_t last_tick;
	int listener;
	ev_io accept_watcher;
	intake_t *intake; /* bounds on what clients of both servers hold */
	http_server_t *operators; /* NULL if not configured */
	http_server_t *directory; /* NULL if not configured */
	http_client_t *http;
	upstream_list_t *upstream_list;
	leader_link_t *leader_link;
	worker_pool_t *commit_worker; /* one thread: commits are sequential */
	worker_pool_t *call_workers; /* for work that would block the loop */
	worker_pool_t *role_worker; /* one thread, for the read barrier of a new leader: calls may
				     * wait for seconds */
	deadline_t next_no_leader_log;
	hub_operator_call_t *unsent_calls; /* that wait for a leader; oldest first */
	hub_role_t role;
	uint64_t term; /* Raft term in which this process leads or last led */
	hub_peer_t *peers;
	uint64_t peer_id; /* last one assigned */
	dispatch_t *dispatch; /* NULL while this process does not lead */
	deadline_t next_speeds; /* when the gauges of speeds are next set */
	ev_prepare placement; /* fed when the dispatcher is to assign slots; never started */
	hub_peer_t *unacked; /* entries whose slot requests are not acknowledged */
	deadline_t next_list_read;
	deadline_t last_list_read; /* here or, as of the last view, by a leader; 0: never */
	u_int fleet_entries; /* that are not draining, also those cut off from the replicas */
	link_view_t view; /* made here while this process leads; else copied from the leader */
	link_entry_capacities_t capacities; /* of the view's entries; made here while this process
					       leads; else copied from the leader */
	leaving_t *leaving_replicas; /* as linked processes or the leader told it */
	ring_point_t *upstream_ring; /* of the view's lists, to select the shares of entries */
	ring_point_t *entry_ring;
	bool rings_stale; /* the lists have changed since the rings were built */
	bool view_changed; /* since the last view was sent */
	deadline_t next_view; /* earliest time of the next view to all peers */
	hub_routes_t recent_routes[HUB_RECENT_ROUTES]; /* newest first */
	route_table_t *routes; /* in force: recent_routes[0]; NULL: none yet */
	bool decoding; /* a worker is decoding a newer config */
	uint64_t config_seen; /* number of the newest config that was decoded, or could not be */
	uint64_t *questions; /* peers that ask which config is the newest, in order */
	size_t nquestions;
	size_t questions_cap;
	bool confirming; /* a read barrier for earlier questions is in progress */
	deadline_t next_confirmation; /* earliest time of the next one */
	hub_delayed_t *delayed; /* requests that fit into a quota later */
	quota_t *quota; /* NULL while this process does not lead */
	quarantine_t *quarantine; /* NULL while this process does not lead */
	uint64_t sent_quarantine; /* version of the list that was last sent */
	deadline_t next_quarantine_send;
	poison_t *poison; /* NULL while this process does not lead */
	uint64_t sent_poisons; /* version of the list that was last sent */
	deadline_t next_poisons_send;
	uint64_t prober_random; /* state of prng_next() */
	bool holds_stale; /* the blocked parts have changed since the items were routed */
	quarantine_doubt_t doubts[QUARANTINE_MAX]; /* parts of which one item at a time runs */
	size_t ndoubts;
	deadline_t next_probe_search; /* earliest time of the next search for an item to run */
	fanout_t *fan_out; /* of route deltas; NULL while this process does not lead */
	hub_lot_t *lots;
	hub_asked_t *asked; /* entries that were asked for the failures of items */
	uint64_t last_lot_serial; /* of the newest lot added to the dispatcher */
	deadline_t next_lots_sync; /* time of the next hub_items_sync */
	deadline_t items_known_from; /* entries have reported the items that they run by then */
	hub_waiter_t *waiters;
	hub_batch_t batch;
	bool committing; /* a commit of lots is in progress */
	size_t committing_bytes; /* hub_batch_t.bytes of that commit */
	_Atomic bool busy; /* see hub_is_busy */
	deadline_t next_announce;
	msgconn_t *announce_links[HUB_ANNOUNCE_MAX]; /* see hub_announce.c */
	size_t nannounce_links;
	pthread_mutex_t lock; /* guards candidates */
	membership_candidate_t candidates[CONTROL_CANDIDATES_MAX];
	unsigned ncandidates;
	bool disk_failed; /* as last told to the leader */
};

/* hub.c */

void hub_send(hub_peer_t *p, const link_msg_t *m);
/** Finds a linked process by its peer id; NULL if its link is lost. */
hub_peer_t *hub_find_peer(hub_t *h, uint64_t id);
/** Replies to a call; sets r->id. */
void hub_reply(hub_t *h, const hub_origin_t *to, link_reply_t *r);
/** Replies with a status and, unless it is STATUS_OK, the calling thread's status_message. */
void hub_reply_status(hub_t *h, const hub_origin_t *to, status_t st);
/** Executes a call. Replies STATUS_UNAVAILABLE unless this process leads. */
void hub_handle_call(hub_t *h, const hub_origin_t *from, const link_call_arg_t *arg);

/* hub_view.c: the view */

void hub_view_init(hub_t *h);
/** Called when this process becomes leader: dispatches to the replicas of the previous leader's
 * view until the upstream list is read. */
void hub_view_start_leading(hub_t *h);
/** Finds a replica in the view; NULL if it is not listed. */
const link_upstream_t *hub_find_replica(const hub_t *h, str_t id);
/** Handles the report of a linked process that a replica has announced that it leaves: tells the
 * others unless it was known. */
void hub_view_note_leaving(hub_t *h, const hub_peer_t *p, const link_leaving_t *m);
/** Handles the same from the leader: should this process lead next, neither the list, which lags,
 * nor a process that was restarted would tell it. */
void hub_view_adopt_leaving(hub_t *h, const link_leaving_t *m);
/** Records whether an entry is cut off from the replicas. */
void hub_view_note_reach(hub_t *h, hub_peer_t *p, bool cut_off);
/** Reads the upstream list and sends a changed view when it is time to. */
void hub_view_tick(hub_t *h, deadline_t now);
/** Sends the leaving replicas and the view to a new peer; an entry gets only its share of the view.
 */
void hub_view_send_first(hub_t *h, hub_peer_t *p);
/** Age of the upstream list: time since this process read it or, if later, since the read that the
 * last view from a leader reported. Reads of an unchanged list by another leader do not show here.
 * -1: never read. */
int64_t hub_list_age_ms(const hub_t *h);
/** Copies the view that the leader has sent, and adds its control processes to those that are tried
 * as the leader. */
void hub_view_adopt(hub_t *h, const link_view_t *v);

/* hub_capacity.c: capacities of the entries, for answers to look-ups */

/** Handles an entry's report of its own capacity. */
void hub_capacity_note(hub_t *h, hub_peer_t *p, const link_entry_capacities_t *m);
/** Sets how long the view waits for the report of a new entry. */
void hub_capacity_await(hub_peer_t *p, deadline_t now);
/** True while a new entry is to report its capacity soon: until then its capacity is unknown, and
 * with the view look-ups would name all entries alike for a moment. */
bool hub_capacity_is_awaited(const hub_t *h, deadline_t now);
/** Makes the list for the entries of the view, which come from these peers in the same order. */
void hub_capacity_rebuild(hub_t *h, const hub_peer_t *const *peers, u_int n);
/** Sends a peer the known capacities of these entries unless it has them. To be called before the
 * view with new entries is sent: an entry in the view whose capacity the receiver does not have
 * counts as unknown. */
void hub_capacity_send(hub_t *h, hub_peer_t *p, const link_entry_t *entries, u_int n);

/* hub_routes.c: decodes the routes in force and sends them to the entries */

void hub_routes_start_leading(hub_t *h);
void hub_routes_stop_leading(hub_t *h);
/** Starts to decode a newer config if there is one, and sends the deltas that may be sent now. */
void hub_routes_tick(hub_t *h, deadline_t now);
/** Adds an entry to the fan-out or updates it; ignores control processes. holds: the config whose
 * routes the entry has. */
void hub_routes_add_peer(hub_t *h, const hub_peer_t *p, const link_config_id_t *holds);
void hub_routes_remove_peer(hub_t *h, const hub_peer_t *p);
/** Number of the newest config in group 0 as applied here, decoded or not; 0: there is none. */
uint64_t hub_routes_newest_number(const hub_t *h);
/** True if the routes in force are those of the newest config; false while that is being decoded.
 */
bool hub_routes_are_newest(const hub_t *h);
/** True if the entry is known to use the newest routes. peer: id of its link. */
bool hub_routes_peer_is_current(const hub_t *h, uint64_t peer);
/** Handles an entry's report of the config whose routes it has. */
void hub_routes_ack(hub_t *h, const hub_peer_t *p, const link_config_id_t *holds);

/* hub_proof.c: tells entries which config is the newest */

/** Queues the question of an entry. */
void hub_proof_question(hub_t *h, const hub_peer_t *p);
/** Starts to confirm the newest config for the queued questions. */
void hub_proof_tick(hub_t *h, deadline_t now);

/* hub_quota.c: quotas of customers */

void hub_quota_start_leading(hub_t *h);
void hub_quota_stop_leading(hub_t *h);
/** Marks an entry as one that knows the messages on quotas, and tells it the number of entries. */
void hub_quota_add_peer(hub_t *h, hub_peer_t *p);
/** Tells the entries when their number has changed, and hands delayed requests to the dispatcher.
 */
void hub_quota_tick(hub_t *h, deadline_t now);
/** Counts a request. Returns true if the dispatcher is to get it now; otherwise it gets it later,
 * or the entry is told that the customer is over quota. */
bool hub_quota_take(hub_t *h, hub_peer_t *p, const link_customer_slot_request_t *m);

/* hub_quarantine.c: prompt parts that crash replicas */

void hub_quarantine_start_leading(hub_t *h);
void hub_quarantine_stop_leading(hub_t *h);
/** Marks an entry as one that knows the messages on prompt parts, and sends it the list. */
void hub_quarantine_add_peer(hub_t *h, hub_peer_t *p);
/** Takes over the blocks that an entry knows. */
void hub_quarantine_adopt(hub_t *h, const link_prompt_parts_t *m);
/** A crash under a request; content: hash of its content, NULL: not known; began: its run, 0: not
 * known. */
void hub_quarantine_crash(hub_t *h, const hub_peer_t *p, const link_crash_t *m,
			  const uint64_t *content, deadline_t began);
void hub_quarantine_sound(hub_t *h, const link_sound_part_t *m);
/** Records that a replica has answered. */
void hub_quarantine_alive(hub_t *h, str_t replica);
/** True if the item must not run now, as a part of its prompt is blocked, or in doubt. */
bool hub_quarantine_holds(const hub_t *h, const hub_item_t *it);
/** Notes that the run of an item has ended without a result: another item may be tried. */
void hub_quarantine_item_ended(hub_t *h, hub_item_t *it);
/** Blocks parts, ends blocks, and sends the list if it has changed. */
void hub_quarantine_tick(hub_t *h, deadline_t now);

/* hub_poison.c: requests that crash replicas */

void hub_poison_start_leading(hub_t *h);
void hub_poison_stop_leading(hub_t *h);
/** Takes over the holds that an entry knows, and sends it the list. */
void hub_poison_add_peer(hub_t *h, hub_peer_t *p, const link_poisons_t *m);
void hub_poison_crash(hub_t *h, const hub_peer_t *p, const link_request_crash_t *m);
void hub_poison_sound(hub_t *h, const link_request_sound_t *m);
/** Names probers, ends holds, and sends the list if it has changed. */
void hub_poison_tick(hub_t *h, deadline_t now);

/* hub_dispatch.c: connects the dispatcher to the entries */

void hub_dispatch_init(hub_t *h);
void hub_dispatch_start_leading(hub_t *h);
void hub_dispatch_stop_leading(hub_t *h);
/** Passes what the config says of the services to the dispatcher. */
void hub_dispatch_set_services(hub_t *h);
void hub_dispatch_speeds_tick(hub_t *h, deadline_t now);
/** The entry is no longer owed an acknowledgement of its slot requests. */
void hub_dispatch_forget_ack(hub_t *h, hub_peer_t *p);
/** Handles a hello: records the leaving replicas. Adds or updates an entry in the dispatcher, and
 * adopts the runs that its hello lists. */
void hub_dispatch_hello(hub_t *h, hub_peer_t *p, const link_hello_t *hello);
/** Handles an entry's report of the config whose routes it has: before it has one, it is given no
 * items. */
void hub_dispatch_note_config(hub_t *h, hub_peer_t *p, const link_config_id_t *holds);
/** Hands a request for a slot to the dispatcher. facts: of this request, or of another one. */
void hub_dispatch_request(hub_t *h, hub_peer_t *p, const link_slot_request_t *m,
			  const hub_facts_t *facts);
void hub_dispatch_message(hub_t *h, hub_peer_t *p, const link_msg_t *m);

/* hub_items.c: the items of lots in the dispatcher */

/** Adds the lots of group 0 to a new dispatcher. No item is placed or given up before the entries
 * have had the time to report what they run. */
void hub_items_start_leading(hub_t *h);
void hub_items_stop_leading(hub_t *h);
/** Brings the dispatcher in line with the lots in group 0: adds new lots, removes finished items
 * and the items of ended and expired lots; gives up those that wait and are not to be run any more.
 */
void hub_items_sync(hub_t *h);
/** Finds an item of a lot by its index; NULL if it is unknown here or finished. */
hub_item_t *hub_find_item(hub_t *h, wire_bytes_t lot, u_int index);
/** Routes the items again after a change of the config or of the blocked prompt parts; gives up
 * those that wait and are not to be run any more. */
void hub_items_reroute(hub_t *h);
/** Routes one item again; gives none up. */
void hub_items_reroute_one(hub_t *h, hub_item_t *it);
/** Handles an entry's reports of a run: its end, and new events. */
void hub_items_ended(hub_t *h, hub_peer_t *p, const link_item_ended_t *m);
void hub_items_progressed(hub_t *h, hub_peer_t *p, const link_item_progress_t *m);
/** Asks an entry once for what it has reported to earlier leaders: at its first link to this one,
 * as later answers would count again what this process has counted itself. */
void hub_items_ask_failures(hub_t *h, hub_peer_t *p);
/** Handles the answer. Items that have failed as often as they may are given up with the next sync.
 */
void hub_items_add_failures(hub_t *h, const hub_peer_t *p, const link_failures_t *m);

/* hub_lots_memory.c: memory for new lots */

/** Returns STATUS_OK if there is memory for a new lot of `bytes`. STATUS_LIMIT: lots fill their
 * part until some expire; STATUS_UNAVAILABLE: the log fills its part until the next snapshot. */
status_t hub_lots_check_memory(hub_t *h, str_t lot, size_t bytes);

/* hub_lots_access.c: which lots the callers of calls may use */

/** Which lots a caller may use by the newest config: all only if it is known to have no customers.
 * Not to be called while group 0 is locked. */
lot_access_t hub_lots_access(const hub_t *h);
/** Returns STATUS_OK if the call of an entry finds a lot. STATUS_UNAVAILABLE: it does not, but it
 * might once this process and the entry have the newest config; STATUS_NOT_FOUND: it never will. */
status_t hub_lots_check_access(hub_t *h, const hub_origin_t *from, str_t id);
/** The same of an opening: STATUS_OK if it is one of a lot that exists. */
status_t hub_lots_check_open(hub_t *h, const hub_origin_t *from, const wire_lot_open_t *o);
/** Replaces the ids in openings and ends by those of the lots that they mean, and takes off the
 * quotas what lots of other owners use of them. To be called before a commit, with the state that
 * it changes: the state machine knows no config. */
void hub_lots_resolve(const lots_t *lots, lot_access_t access, wire_lots_cmd_t *cmd);

/* hub_lots_read.c: reads of lots */

/** Answers a read of results or of an item's body, at once or when there are results. */
void hub_lots_read(hub_t *h, const hub_origin_t *from, const link_call_arg_t *arg);
/** Replies to the waiting reads that have new results, whose lot is over or has been removed, or
 * that are past their deadline. */
void hub_lots_wake_readers(hub_t *h, deadline_t now);
/** Replies to all waiting reads that this process no longer leads. */
void hub_lots_refuse_readers(hub_t *h);

/* hub_lots.c: calls that open and end lots, and the commits of changes */

void hub_lots_handle_call(hub_t *h, const hub_origin_t *from, const link_call_arg_t *arg);
/** Adds an item's result to the next commit. dead: the item failed for good. */
void hub_lots_add_result(hub_t *h, hub_item_t *it, bool dead, str_t text);
/** Adds the part of the item's output that isn't committed to the next commit, so that a later
 * leader can resume the item there. If that commit fails, the one after it has it. bytes: that were
 * added to the output. */
void hub_lots_add_progress(hub_t *h, hub_item_t *it, size_t bytes);
/** Starts the next commit unless one is in progress or nothing was gathered. */
void hub_lots_commit(hub_t *h);
void hub_lots_tick(hub_t *h, deadline_t now);
/** Fails the calls that wait for results or for a commit that has not begun. */
void hub_lots_stop_leading(hub_t *h);

/* hub_config.c: changes and reads of the operators' config */

void hub_config_handle_call(hub_t *h, const hub_origin_t *from, const link_call_arg_t *arg);

/* hub_retire.c: retires control processes */

void hub_retire_handle_call(hub_t *h, const hub_origin_t *from, const link_call_arg_t *arg);

/* hub_announce.c: the leader's address for control processes that are not linked */

/** Sends the address once in a period; while this process leads. */
void hub_announce_tick(hub_t *h, deadline_t now);
/** Closes the connections of the announcements. */
void hub_announce_stop(hub_t *h);

/* hub_http.c: HTTP calls of operators and of callers that look up entries */

status_t hub_http_start(hub_t *h);
/** Executes the operators' calls that have waited for a leader. */
void hub_http_retry(hub_t *h);
/** Refuses the operators' calls that have waited for a leader for too long. */
void hub_http_tick(hub_t *h, deadline_t now);

#endif
