/**
 * Dispatcher: assigns online requests and batch items to replicas. The model engines have no notion
 * of priority, so the dispatcher enforces it.
 *
 * One dispatcher tracks all runs on all replicas and never puts more runs on a replica than the
 * replica has slots, so no request queues inside an engine behind batch work. The expected load:
 * online requests arrive in peaks of several seconds at up to twice their mean rate, and batch
 * items use the remaining slots.
 *
 * An online request that finds no free slot preempts a batch item, preferably one that can still
 * finish by its due time. The preempted item resumes on another replica after the events it has
 * already produced. An online request waits only when online requests alone need more slots than
 * there are, and is refused with a retry time if waiting would not help. During a peak, freed slots
 * are reserved for online requests, because an item started in one would be preempted within
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

/** How a run on a replica ended; used to judge the health of the replica. */
typedef enum {
	DISPATCH_OK,
	DISPATCH_FULL, /* the replica rejected the run for lack of capacity */
	DISPATCH_UNREACHABLE, /* connection failed, or another replica answers at the address */
	DISPATCH_BROKEN, /* the answer ended early, was malformed or not signed */
	DISPATCH_SILENT, /* no event within the silence timeout */
	DISPATCH_FAILED, /* the replica answered with an error */
	DISPATCH_CANCELLED, /* the caller left, or the run was stopped */
	DISPATCH_REPLICA_LEAVING /* the replica had announced that it leaves; nothing was sent */
} dispatch_outcome_t;

const char *dispatch_outcome_name(dispatch_outcome_t how);

/** Why a request is refused. */
typedef enum {
	DISPATCH_NO_REPLICA_LIST, /* no replica list has arrived */
	DISPATCH_PAST_DEADLINE, /* the request could not complete by its deadline */
	DISPATCH_CALLER_GIVES_UP, /* the caller would give up before the next event */
	DISPATCH_PAST_OBJECTIVE /* a new request whose first event would miss its objective */
} dispatch_refusal_t;

const char *dispatch_refusal_name(dispatch_refusal_t why);

typedef struct {
	void *ctx;
	/** Gives the request a slot on the replica. */
	void (*grant)(void *ctx, uint64_t entry, uint64_t request, str_t replica);
	void (*refuse)(void *ctx, uint64_t entry, uint64_t request, int64_t retry_ms,
		       dispatch_refusal_t why);
	/** Starts an item on the replica; data is the pointer passed to dispatch_item_add. */
	void (*start_item)(void *ctx, void *data, uint64_t entry, str_t replica);
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

/** Maximum number of replicas that a request can exclude. */
#define DISPATCH_AVOID_MAX 8

typedef struct {
	uint64_t entry;
	uint64_t request;
	str_t service;
	unsigned priority; /* 0 is the highest */
	bool resumed; /* the caller is already reading the stream; goes before all others */
	bool returning; /* the caller waited at another entry before, or an attempt failed: counts
			   as past its objective and is not refused for that */
	deadline_t objective; /* when the first byte is due */
	deadline_t deadline; /* end of the caller's total timeout */
	deadline_t give_up_at; /* when the caller leaves unless it gets another event first */
	uint64_t prefix; /* hash of the prompt's shared prefix, 0 if none */
	str_t avoid[DISPATCH_AVOID_MAX]; /* replicas that already failed this request */
	unsigned navoid;
} dispatch_request_t;

dispatch_t *dispatch_new(const dispatch_callbacks_t *cb, uint64_t random_seed);
void dispatch_free(dispatch_t *d);

/** Replaces the replica list. Replicas missing from the new list get no new work. */
void dispatch_set_replicas(dispatch_t *d, const dispatch_replica_t *v, size_t n, deadline_t now);

/** Marks a replica as leaving: it gets no new work unless a later list clears the mark. */
void dispatch_replica_leaving(dispatch_t *d, str_t replica);

/** Adds an entry, or updates its zone and takes_items. Only an entry with takes_items set is given
 * batch items. */
void dispatch_entry_add(dispatch_t *d, uint64_t entry, str_t zone, bool takes_items);
/** Removes an entry and its requests. Its items stay assigned for DISPATCH_ADOPT_MS in case the
 * entry reconnects; after that they are queued again. */
void dispatch_entry_remove(dispatch_t *d, uint64_t entry, deadline_t now);

/** Queues an online request. The callback grant or refuse follows, maybe before the return. */
void dispatch_request_add(dispatch_t *d, const dispatch_request_t *req, deadline_t now);
/** Removes a waiting request whose caller left. */
void dispatch_request_withdraw(dispatch_t *d, uint64_t entry, uint64_t request);
/** Releases the slot of a granted request. */
void dispatch_request_ended(dispatch_t *d, uint64_t entry, uint64_t request, dispatch_outcome_t how,
			    deadline_t now);
/** Registers a running request that another dispatcher, such as a former leader, granted. */
void dispatch_request_adopt(dispatch_t *d, uint64_t entry, uint64_t request, str_t replica,
			    deadline_t now);

/** Queues a batch item. due: when the item should be finished, on the clock of `now`. */
dispatch_item_t *dispatch_item_add(dispatch_t *d, str_t service, deadline_t due, void *data);
/** Registers that an entry is already running the item. */
void dispatch_item_adopt(dispatch_t *d, dispatch_item_t *it, uint64_t entry, str_t replica,
			 deadline_t now);
/** Queues an item again after a run that ended without completing it. */
void dispatch_item_requeue(dispatch_t *d, dispatch_item_t *it, dispatch_outcome_t how,
			   deadline_t now);
/** Sets the service for later runs of the item. If empty, the item is not run. */
void dispatch_item_set_service(dispatch_t *d, dispatch_item_t *it, str_t service);
bool dispatch_item_has_service(const dispatch_item_t *it);
bool dispatch_item_is_waiting(const dispatch_item_t *it);
/** Records that the item failed on this replica; its next run prefers another one. */
void dispatch_item_avoid(dispatch_item_t *it, str_t replica);
/** True if dispatch_item_adopt may be called: the item waits, or its entry disconnected less than
 * DISPATCH_ADOPT_MS ago. */
bool dispatch_item_is_adoptable(const dispatch_item_t *it, deadline_t now);
/** Removes an item. Its current run is stopped unless `ended` says that the run is over. */
void dispatch_item_remove(dispatch_t *d, dispatch_item_t *it, bool ended, deadline_t now);

/** Starts no items until this time, so that entries can first report the items they run. */
void dispatch_hold_items(dispatch_t *d, deadline_t until);
/** Assigns waiting requests and items to slots. To be called periodically and after
 * dispatch_item_add. These functions also do so themselves: dispatch_set_replicas, _entry_remove,
 * _request_add, _request_ended, _item_adopt, _item_requeue and _item_remove. */
void dispatch_tick(dispatch_t *d, deadline_t now);

/** How long the items of a disconnected entry stay assigned to it, in ms. An entry that loses its
 * dispatcher stops its items earlier than this, so that no item runs twice. */
#define DISPATCH_ADOPT_MS 1500

typedef struct {
	unsigned replicas; /* listed and not leaving */
	unsigned slots; /* of these replicas */
	unsigned online; /* running online requests */
	unsigned items; /* running batch items */
	unsigned requests_waiting; /* waiting online requests */
	unsigned items_waiting;
	uint64_t preempted; /* items preempted so far */
} dispatch_stats_t;
void dispatch_stats(const dispatch_t *d, dispatch_stats_t *out);

#endif
