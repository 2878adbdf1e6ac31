/**
 * Dispatch: places online requests and batch items at replicas whose engines know no priorities.
 *
 * One dispatcher knows every run at every replica, and never puts more on a replica than it runs at
 * once, so that no request waits in an engine behind batch work. The load it answers: online comes
 * in steps of several seconds at up to twice its mean, and batch work fills what is left. An online
 * request that finds no free place takes that of the batch item with the latest due time, which
 * goes on elsewhere behind the events that it has made. Only when online alone exceeds the places
 * does it wait here, or is refused with the time at which there will be room. While a peak lasts,
 * places that get free are left to online requests, as items would hold them for ms only.
 *
 * Pure: time is an argument, effects are callbacks. Not thread-safe.
 */
#ifndef AUBURN_DISPATCH_H
#define AUBURN_DISPATCH_H

#include "base/clock.h"
#include "base/str.h"

typedef struct ds dispatch_t;
typedef struct dispatch_item dispatch_item_t;

/** How a run at a replica ended, as far as it tells of the replica. */
typedef enum {
	DISPATCH_OK,
	DISPATCH_FULL, /* it had no room */
	DISPATCH_UNREACHABLE, /* no connection, or another replica answers there */
	DISPATCH_BROKEN, /* its answer ended early or was malformed */
	DISPATCH_SILENT, /* no event came for too long */
	DISPATCH_FAILED, /* it answered with a failure */
	DISPATCH_CANCELLED, /* the caller left, or the run was stopped */
	DISPATCH_REPLICA_LEAVING /* it had said that it leaves, and wasn't asked */
} dispatch_outcome_t;

const char *dispatch_outcome_name(dispatch_outcome_t how);

/** Why a request gets no place. */
typedef enum {
	DISPATCH_NO_REPLICA_LIST, /* no list of replicas has come */
	DISPATCH_PAST_DEADLINE, /* it could not end by its deadline */
	DISPATCH_CALLER_GIVES_UP, /* its caller leaves before its first event */
	DISPATCH_PAST_OBJECTIVE /* new, and its first event would miss the objective */
} dispatch_refusal_t;

const char *dispatch_refusal_name(dispatch_refusal_t why);

typedef struct {
	void *ctx;
	void (*grant)(void *ctx, uint64_t entry, uint64_t request, str_t replica);
	void (*refuse)(void *ctx, uint64_t entry, uint64_t request, int64_t retry_ms,
		       dispatch_refusal_t why);
	/** Starts an item; data is what dispatch_item_add was given. */
	void (*start_item)(void *ctx, void *data, uint64_t entry, str_t replica);
	void (*stop_item)(void *ctx, void *data, uint64_t entry);
} dispatch_callbacks_t;

typedef struct {
	str_t id;
	str_t zone;
	str_t service;
	unsigned slots; /* requests that it runs at once; 0 counts as 1 */
	bool leaving; /* gets no new work */
	uint64_t start_time; /* when it started; 0: not known. With a later one it is another
				replica */
} dispatch_replica_t;

/** Most replicas that an ask may name as having failed it. */
#define DISPATCH_AVOID_MAX 8

typedef struct {
	uint64_t entry;
	uint64_t request;
	str_t service;
	unsigned priority; /* 0 goes first */
	bool resumed; /* its caller reads the stream already: goes first */
	bool returning; /* its caller has waited elsewhere already and is past its objective: it is
			   refused only when its deadline can't be met */
	deadline_t objective; /* when its first byte is due */
	deadline_t deadline; /* when its caller gives up */
	deadline_t give_up_at; /* when its caller leaves unless its next event has come */
	uint64_t prefix; /* hash of the shared parts of its prompt; 0: none */
	str_t avoid[DISPATCH_AVOID_MAX];
	unsigned navoid;
} dispatch_request_t;

dispatch_t *dispatch_new(const dispatch_callbacks_t *cb, uint64_t random_seed);
void dispatch_free(dispatch_t *d);

/** The whole list of replicas; those that aren't in it get no new work. */
void dispatch_set_replicas(dispatch_t *d, const dispatch_replica_t *v, size_t n, deadline_t now);

/** The replica has said that it leaves: it gets no new work, until the list says otherwise. */
void dispatch_replica_leaving(dispatch_t *d, str_t replica);

/** An entry, which runs items when it takes them. Adding it again changes its zone or that. */
void dispatch_entry_add(dispatch_t *d, uint64_t entry, str_t zone, bool takes_items);
/** Its requests end; its items wait DISPATCH_ADOPT_MS for it to come back before they are run
 * again. */
void dispatch_entry_remove(dispatch_t *d, uint64_t entry, deadline_t now);

void dispatch_request_add(dispatch_t *d, const dispatch_request_t *ask, deadline_t now);
/** The caller of a waiting request left. */
void dispatch_request_withdraw(dispatch_t *d, uint64_t entry, uint64_t request);
/** A granted request has ended. */
void dispatch_request_ended(dispatch_t *d, uint64_t entry, uint64_t request, dispatch_outcome_t how,
			    deadline_t now);
/** A run that this dispatcher didn't grant: an earlier one did. */
void dispatch_request_adopt(dispatch_t *d, uint64_t entry, uint64_t request, str_t replica,
			    deadline_t now);

/** Queues an item. due: when it should be done, on the clock of `now`. */
dispatch_item_t *dispatch_item_add(dispatch_t *d, str_t service, deadline_t due, void *data);
/** An item that an entry runs already. */
void dispatch_item_adopt(dispatch_t *d, dispatch_item_t *it, uint64_t entry, str_t replica,
			 deadline_t now);
/** A run of the item has ended unfinished: it waits for another. */
void dispatch_item_requeue(dispatch_t *d, dispatch_item_t *it, dispatch_outcome_t how,
			   deadline_t now);
/** Later runs of the item go to this service; empty: there is none, and it isn't run. */
void dispatch_item_set_service(dispatch_t *d, dispatch_item_t *it, str_t service);
bool dispatch_item_has_service(const dispatch_item_t *it);
bool dispatch_item_is_waiting(const dispatch_item_t *it);
/** The item failed at this replica: its next run goes to another one if there is a place. */
void dispatch_item_avoid(dispatch_item_t *it, str_t replica);
/** True when no entry that is there runs it. */
bool dispatch_item_is_adoptable(const dispatch_item_t *it, deadline_t now);
/** The item needs no further run; a run of it is stopped unless it has ended. */
void dispatch_item_remove(dispatch_t *d, dispatch_item_t *it, bool ended, deadline_t now);

/** Holds items back until this time, for entries to tell what they run. */
void dispatch_hold_items(dispatch_t *d, deadline_t until);
/** Places what waits; called on every tick, after the calls above do so themselves. */
void dispatch_tick(dispatch_t *d, deadline_t now);

/** How long the items of an entry that was lost aren't run elsewhere, in ms. Entries stop theirs
 * before that when they have lost the dispatcher. */
#define DISPATCH_ADOPT_MS 1500

typedef struct {
	unsigned replicas; /* that take work */
	unsigned slots;
	unsigned online;
	unsigned items;
	unsigned asks_waiting;
	unsigned items_waiting;
	uint64_t preempted;
} dispatch_stats_t;
void dispatch_stats(const dispatch_t *d, dispatch_stats_t *out);

#endif
