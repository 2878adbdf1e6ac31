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
#ifndef AUBURN_DS_H
#define AUBURN_DS_H

#include "base/clk.h"
#include "base/str.h"

typedef struct ds ds_t;
typedef struct ds_item ds_item_t;

/** How a run at a replica ended, as far as it tells of the replica. */
typedef enum {
	DS_OK,
	DS_FULL, /* it had no room */
	DS_GONE, /* no connection, or another replica answers there */
	DS_BROKEN, /* its answer ended early or was malformed */
	DS_SILENT, /* no event came for too long */
	DS_FAILED, /* it answered with a failure */
	DS_LEFT, /* the caller left, or the run was stopped */
	DS_LEAVES /* it had said that it leaves, and wasn't asked */
} ds_outcome_t;

const char *ds_outcome_name(ds_outcome_t how);

/** Why a request gets no place. */
typedef enum {
	DS_NO_LIST, /* no list of replicas has come */
	DS_PAST_DEADLINE, /* it could not end by its deadline */
	DS_CALLER_LEAVES, /* its caller leaves before its first event */
	DS_PAST_OBJECTIVE /* new, and its first event would miss the objective */
} ds_refusal_t;

const char *ds_refusal_name(ds_refusal_t why);

typedef struct {
	void *ctx;
	void (*grant)(void *ctx, uint64_t entry, uint64_t request, str_t replica);
	void (*refuse)(void *ctx, uint64_t entry, uint64_t request, int64_t retry_ms,
		       ds_refusal_t why);
	/** Starts an item; data is what ds_item_add was given. */
	void (*run)(void *ctx, void *data, uint64_t entry, str_t replica);
	void (*stop)(void *ctx, void *data, uint64_t entry);
} ds_callbacks_t;

typedef struct {
	str_t id;
	str_t zone;
	str_t service;
	unsigned slots; /* requests that it runs at once; 0 counts as 1 */
	bool leaving; /* gets no new work */
	uint64_t born; /* when it started; 0: not known. With a later one it is another replica */
} ds_replica_t;

/** Most replicas that an ask may name as having failed it. */
#define DS_AVOID_MAX 8

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
	deadline_t leaves; /* when its caller leaves unless its next event has come */
	uint64_t prefix; /* hash of the shared parts of its prompt; 0: none */
	str_t avoid[DS_AVOID_MAX];
	unsigned navoid;
} ds_ask_t;

ds_t *ds_new(const ds_callbacks_t *cb, uint64_t random_seed);
void ds_free(ds_t *d);

/** The whole list of replicas; those that aren't in it get no new work. */
void ds_replicas(ds_t *d, const ds_replica_t *v, size_t n, deadline_t now);

/** The replica has said that it leaves: it gets no new work, until the list says otherwise. */
void ds_leaves(ds_t *d, str_t replica);

/** An entry, which runs items when it takes them. Adding it again changes its zone or that. */
void ds_entry_add(ds_t *d, uint64_t entry, str_t zone, bool takes_items);
/** Its requests end; its items wait DS_ADOPT_MS for it to come back before they are run again. */
void ds_entry_remove(ds_t *d, uint64_t entry, deadline_t now);

void ds_ask(ds_t *d, const ds_ask_t *ask, deadline_t now);
/** The caller of a waiting request left. */
void ds_drop(ds_t *d, uint64_t entry, uint64_t request);
/** A granted request has ended. */
void ds_ended(ds_t *d, uint64_t entry, uint64_t request, ds_outcome_t how, deadline_t now);
/** A run that this dispatcher didn't grant: an earlier one did. */
void ds_adopt(ds_t *d, uint64_t entry, uint64_t request, str_t replica, deadline_t now);

/** Queues an item. due: when it should be done, on the clock of `now`. */
ds_item_t *ds_item_add(ds_t *d, str_t service, deadline_t due, void *data);
/** An item that an entry runs already. */
void ds_item_adopt(ds_t *d, ds_item_t *it, uint64_t entry, str_t replica, deadline_t now);
/** A run of the item has ended unfinished: it waits for another. */
void ds_item_back(ds_t *d, ds_item_t *it, ds_outcome_t how, deadline_t now);
/** Later runs of the item go to this service; empty: there is none, and it isn't run. */
void ds_item_service(ds_t *d, ds_item_t *it, str_t service);
bool ds_item_has_service(const ds_item_t *it);
bool ds_item_is_waiting(const ds_item_t *it);
/** The item failed at this replica: its next run goes to another one if there is a place. */
void ds_item_avoid(ds_item_t *it, str_t replica);
/** True when no entry that is there runs it. */
bool ds_item_may_adopt(const ds_item_t *it, deadline_t now);
/** The item needs no further run; a run of it is stopped unless it has ended. */
void ds_item_remove(ds_t *d, ds_item_t *it, bool ended, deadline_t now);

/** Holds items back until this time, for entries to tell what they run. */
void ds_hold_items(ds_t *d, deadline_t until);
/** Places what waits; called on every tick, after the calls above do so themselves. */
void ds_tick(ds_t *d, deadline_t now);

/** How long the items of an entry that was lost aren't run elsewhere, in ms. Entries stop theirs
 * before that when they have lost the dispatcher. */
#define DS_ADOPT_MS 1500

typedef struct {
	unsigned replicas; /* that take work */
	unsigned slots;
	unsigned online;
	unsigned items;
	unsigned asks_waiting;
	unsigned items_waiting;
	uint64_t preempted;
} ds_stats_t;
void ds_stats(const ds_t *d, ds_stats_t *out);

#endif
