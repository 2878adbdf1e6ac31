/**
 * Dispatcher: assigns online requests and batch items to the slots of replicas; a slot is one unit
 * of a replica's concurrency. The model engines have no notion of priority, so the dispatcher gives
 * online requests priority over items. Entries, the processes that answer callers, request slots
 * for online requests and run the items that the dispatcher starts.
 *
 * The leader of the control processes has one dispatcher, which tracks the runs on all replicas and
 * starts a run only in a slot that is free or taken from an item, so that no request queues inside
 * an engine behind batch work. An entry without a leader uses a dispatcher of its own for its
 * requests. The expected load: online requests arrive in peaks of several seconds at up to twice
 * their mean rate, and batch items use the remaining slots.
 *
 * An online request that finds no free slot preempts a batch item, preferably one that can wait out
 * a peak and still finish by its due time. The preempted item runs again later, on any replica,
 * from after the events it has already produced. A request that finds no item to preempt waits, or
 * is refused with a retry time if waiting would not help. During a peak, some free slots are
 * reserved for online requests, because an item started in one would be preempted within
 * milliseconds.
 *
 * Pure: time is an argument, effects are callbacks. Not thread-safe.
 */
#ifndef AUBURN_DISPATCH_H
#define AUBURN_DISPATCH_H

#include "base/clock.h"
#include "base/str.h"

typedef struct dispatch dispatch_t;
typedef struct dispatch_item dispatch_item_t;

/** How a run on a replica ended. From this the dispatcher updates the replica's health: its
 * back-off, and whether it leaves. */
typedef enum {
	DISPATCH_OK,
	DISPATCH_FULL, /* the replica rejected the run without starting it */
	DISPATCH_UNREACHABLE, /* the connection failed, the address is unknown or now belongs to
				 another replica */
	DISPATCH_BROKEN, /* the answer ended early, or was malformed, unsigned or too long */
	DISPATCH_SILENT, /* no event within the silence timeout */
	DISPATCH_FAILED, /* the replica answered with an error */
	DISPATCH_CANCELLED, /* ended for a reason other than the replica: the caller left, the run
			       was stopped, the request was invalid, or the item failed */
	DISPATCH_REPLICA_LEAVING /* the replica had announced that it leaves; nothing was sent */
} dispatch_outcome_t;

const char *dispatch_outcome_name(dispatch_outcome_t how);

/** Why a request is refused. */
typedef enum {
	DISPATCH_NO_REPLICA_LIST, /* no list with a replica has arrived in time */
	DISPATCH_PAST_DEADLINE, /* even if started now, it would not complete by its deadline */
	DISPATCH_CALLER_GIVES_UP, /* the caller would give up before the next event */
	DISPATCH_ENTRY_CUT_OFF, /* its entry reaches no replica */
	DISPATCH_PAST_OBJECTIVE /* the first event would come after the objective; not used for a
				   request that is resumed, returning or already past it */
} dispatch_refusal_t;

const char *dispatch_refusal_name(dispatch_refusal_t why);

typedef struct {
	void *ctx;
	/** Gives the request a slot on the replica. */
	void (*grant)(void *ctx, uint64_t entry, uint64_t request, str_t replica);
	/** Refuses and forgets a request. retry_ms: time until the caller may retry. */
	void (*refuse)(void *ctx, uint64_t entry, uint64_t request, int64_t retry_ms,
		       dispatch_refusal_t why);
	/** Makes the entry start an item on the replica; data: the pointer passed to
	 * dispatch_item_add. */
	void (*start_item)(void *ctx, void *data, uint64_t entry, str_t replica);
	/** Makes the entry stop an item, because it was preempted or removed. A preempted item is
	 * queued again by dispatch_item_requeue, or as an item of a removed entry. */
	void (*stop_item)(void *ctx, void *data, uint64_t entry);
} dispatch_callbacks_t;

typedef struct {
	str_t id;
	str_t zone;
	str_t service;
	unsigned slots; /* concurrent requests; 0 counts as 1 */
	bool leaving; /* gets no new work */
	uint64_t start_time; /* Unix ms, 0 if unknown; a later one under the same id means that the
				replica restarted */
} dispatch_replica_t;

/** Maximum number of parts of a prompt that are considered. */
#define DISPATCH_PARTS_MAX 16

/** A part of a prompt. Requests share the parts but the last, which is a request's own. */
typedef struct {
	uint64_t part; /* its hash */
	uint32_t tokens;
} dispatch_part_t;

/** The tokens of a request or an item; figures that its caller does not state are 0. */
typedef struct {
	uint32_t in; /* of the prompt */
	uint32_t out; /* expected output; at most out_max */
	uint32_t out_max;
	dispatch_part_t parts[DISPATCH_PARTS_MAX]; /* of the prompt, in order */
	unsigned nparts;
} dispatch_tokens_t;

/** What a replica has said of its load. */
typedef struct {
	str_t replica;
	uint64_t start_time; /* as in dispatch_replica_t */
	unsigned running;
	unsigned waiting;
	unsigned slots;
	unsigned percent; /* time that work takes now, 100 as usual; 0: not stated */
	deadline_t at; /* when it said so */
} dispatch_load_t;

/** Maximum number of replicas that a request can exclude. */
#define DISPATCH_AVOID_MAX 8
/** Bytes of a replica's id that an entry keeps for a running request. */
#define DISPATCH_ID_KEPT 63

typedef struct {
	uint64_t entry;
	uint64_t request;
	str_t service;
	unsigned priority; /* 0 is the highest */
	bool resumed; /* the caller is already reading the stream; served before all requests that
			 are not resumed */
	bool returning; /* the caller waited at another entry before, or the request may have run
			   already: it counts as past its objective and is not refused for that */
	deadline_t objective; /* when the first byte is due */
	deadline_t deadline; /* when the whole answer is due */
	deadline_t give_up_at; /* when the caller leaves unless it gets another event first */
	uint64_t prefix; /* hash of the prompt's shared prefix, 0 if none */
	str_t customer; /* copied; empty if none */
	dispatch_tokens_t tokens;
	str_t avoid[DISPATCH_AVOID_MAX]; /* never chosen: earlier attempts failed on them */
	unsigned navoid;
} dispatch_request_t;

dispatch_t *dispatch_new(const dispatch_callbacks_t *cb, uint64_t random_seed);
void dispatch_free(dispatch_t *d);

/** Replaces the replica list. Replicas missing from the new list get no new work. */
void dispatch_set_replicas(dispatch_t *d, const dispatch_replica_t *v, size_t n, deadline_t now);

/** Replaces the replica list by the first part of one that is still being read. Its replicas get
 * work, but requests that find no slot wait for the whole list, as if there were none. */
void dispatch_set_first_replicas(dispatch_t *d, const dispatch_replica_t *v, size_t n,
				 deadline_t now);

/** Marks a replica as leaving: it gets no new work unless a later list clears the mark. */
void dispatch_replica_leaving(dispatch_t *d, str_t replica);

/** Records what replicas have said of their load. Services of which a replica states how long work
 * takes are placed by estimates, see dispatch_cost.c. */
void dispatch_replica_loads(dispatch_t *d, const dispatch_load_t *v, size_t n, deadline_t now);

/** Called if runs have contradicted what a replica stated of its speed, at most once a second for
 * each replica. */
void dispatch_on_contradicted(dispatch_t *d, void (*contradicted)(void *ctx, str_t replica));
/** The lowest and the highest expected slow-down, in thousandths of the mean, of the replicas of
 * services that state their speed; SPEED_MEAN if there are none. */
void dispatch_speed_range(const dispatch_t *d, int64_t *fastest, int64_t *slowest, deadline_t now);

/** What placement weighs besides load and zone, for services of which a replica states its speed.
 */
typedef struct {
	bool speed; /* the expected speed of replicas */
	bool prompts; /* what they have cached of a prompt */
} dispatch_weighing_t;
/** Sets what placement weighs; nothing of it in a new dispatcher. */
void dispatch_set_weighing(dispatch_t *d, const dispatch_weighing_t *w);

/** What the config says of a service; 0: unknown. */
typedef struct {
	int64_t memory_tokens; /* that a replica can hold: prompts and outputs of its runs */
} dispatch_service_options_t;
void dispatch_set_service(dispatch_t *d, str_t service, const dispatch_service_options_t *opts);
/** Sets the time that the replicas take to prefill a token of a prompt. */
void dispatch_set_prefill_ns(dispatch_t *d, int64_t ns_per_token);
/** The tokens of the prompts granted so far whose parts were stated, and of these, those expected
 * to be cached on the replica. */
void dispatch_prompt_tokens(const dispatch_t *d, uint64_t *granted, uint64_t *held);

/** Adds an entry, or updates its zone and takes_items. Only an entry with takes_items set is given
 * batch items. */
void dispatch_entry_add(dispatch_t *d, uint64_t entry, str_t zone, bool takes_items);
/** Records whether an entry is cut off from the replicas. While it is, its requests are refused. */
void dispatch_entry_set_cut_off(dispatch_t *d, uint64_t entry, bool cut_off, deadline_t now);
/** Removes an entry and its requests, waiting or running. Its items stay assigned for
 * DISPATCH_ADOPT_MS, for the entry may reconnect; after that they are queued again. Slots that
 * become free are given at the next dispatch_tick, or before. */
void dispatch_entry_remove(dispatch_t *d, uint64_t entry, deadline_t now);

/** Queues an online request. The callback grant or refuse follows, maybe before the return, unless
 * the request is withdrawn or its entry removed. */
void dispatch_request_add(dispatch_t *d, const dispatch_request_t *req, deadline_t now);
/** Removes a waiting request whose caller left. */
void dispatch_request_withdraw(dispatch_t *d, uint64_t entry, uint64_t request);
/** True if the request holds a slot of a replica whose id is this one, or begins with it if it has
 * as many bytes as entries keep of an id. */
bool dispatch_request_runs_at(const dispatch_t *d, uint64_t entry, uint64_t request, str_t replica);
/** Releases the slot of a granted request. how: updates the health of the replica. If only this
 * entry does not reach the replica, it alone gets no slot there for a while. */
void dispatch_request_ended(dispatch_t *d, uint64_t entry, uint64_t request, dispatch_outcome_t how,
			    deadline_t now);
/** Registers a running request that another dispatcher granted, such as that of a former leader.
 * Does nothing if the request is registered already. */
void dispatch_request_adopt(dispatch_t *d, uint64_t entry, uint64_t request, str_t replica,
			    deadline_t now);

/** Queues a batch item without starting it yet. due: when it should be finished, on the clock of
 * the `now` arguments. */
dispatch_item_t *dispatch_item_add(dispatch_t *d, str_t service, deadline_t due, void *data);
/** Sets the tokens of a waiting item. Where its service's replicas state their speed, a replica
 * that has the beginning of its prompt cached may be preferred, and none gets more tokens than it
 * can hold.
 */
void dispatch_item_set_tokens(dispatch_item_t *it, const dispatch_tokens_t *tokens);
/** Registers that an entry is already running the item. */
void dispatch_item_adopt(dispatch_t *d, dispatch_item_t *it, uint64_t entry, str_t replica,
			 deadline_t now);
/** Records that a running item has made progress, which shows that its replica is sound. */
void dispatch_item_progressed(dispatch_t *d, dispatch_item_t *it, deadline_t now);
/** Queues an item again after a run that ended without completing it, or was preempted. Does
 * nothing if the item is waiting. */
void dispatch_item_requeue(dispatch_t *d, dispatch_item_t *it, dispatch_outcome_t how,
			   deadline_t now);
/** Sets the service for later runs of the item. If empty, the item is not run. */
void dispatch_item_set_service(dispatch_t *d, dispatch_item_t *it, str_t service);
bool dispatch_item_has_service(const dispatch_item_t *it);
bool dispatch_item_is_waiting(const dispatch_item_t *it);
/** Records that a run of the item failed on this replica, or was silent; later runs prefer others.
 * The last DISPATCH_AVOID_MAX are kept. */
void dispatch_item_avoid(dispatch_item_t *it, str_t replica);
/** True if dispatch_item_adopt may be called: the item waits, or its entry disconnected less than
 * DISPATCH_ADOPT_MS ago. */
bool dispatch_item_is_adoptable(const dispatch_item_t *it, deadline_t now);
/** Removes an item. ended: its run is over, and counts as a success of the replica. Otherwise the
 * item is stopped if an entry runs it. */
void dispatch_item_remove(dispatch_t *d, dispatch_item_t *it, bool ended, deadline_t now);

/** Starts no items until this time, so that entries can first report the items they run. */
void dispatch_hold_items(dispatch_t *d, deadline_t until);
/** From now on, no function but dispatch_tick assigns slots; placement_due is called when one would
 * have, once until the next dispatch_tick. So what arrives together costs one placement. */
void dispatch_defer(dispatch_t *d, void (*placement_due)(void *ctx));

/** Assigns waiting requests and items to slots. To be called periodically and after
 * dispatch_item_add. These functions do the same before they return: dispatch_set_replicas,
 * dispatch_request_add, dispatch_request_ended, dispatch_item_requeue and dispatch_item_remove. The
 * loss of an entry and the adoption of its items don't, as hundreds may come at once. */
void dispatch_tick(dispatch_t *d, deadline_t now);

/** How long the items of a disconnected entry stay assigned to it, in ms. An entry that loses the
 * leader stops its items sooner, so that an item does not run at two entries at once. */
#define DISPATCH_ADOPT_MS 1500

typedef struct {
	unsigned replicas; /* in the replica list and not leaving */
	unsigned slots; /* of these replicas */
	unsigned online; /* running online requests, on any replica */
	unsigned items; /* running batch items, on any replica; without those being stopped */
	unsigned requests_waiting; /* online requests */
	unsigned items_waiting;
	uint64_t preempted; /* preemptions of items so far */
	uint64_t items_examined; /* waiting and running items that placement has looked at so far */
} dispatch_stats_t;
void dispatch_stats(const dispatch_t *d, dispatch_stats_t *out);

/** A customer's part of the running requests of a service. */
typedef struct {
	char customer[64]; /* cut off if longer; empty: requests without a customer */
	unsigned permille;
	bool is_over; /* more than an equal part of the customers with requests */
} dispatch_share_t;
/** In the callback `refuse`: the share of the customer of the refused request; zeroed if its
 * service has no fair shares. */
const dispatch_share_t *dispatch_refusal_share(const dispatch_t *d);

#endif
