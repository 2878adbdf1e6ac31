/** Inside of the dispatcher. */
#ifndef AUBURN_DISPATCH_INTERNAL_H
#define AUBURN_DISPATCH_INTERNAL_H

#include <uthash.h>
#include <utlist.h>
#include "policy/dispatch.h"

typedef struct replica replica_t;

/** What is known of a service; kept as long as the dispatcher. */
typedef struct {
	char *name;
	int64_t mean_hold_us; /* mean time that an online request holds its place, in us */
	int64_t mean_item_ms; /* mean time that an item needs a place in all; 0: none has ended yet
			       */
	unsigned reserved_slots; /* places that items leave free for online requests */
	deadline_t reserve_decay_at; /* fewer then */
	uint64_t pass; /* that what follows was found out in */
	unsigned slots;
	unsigned waiting_ahead; /* waiting requests that go before */
	bool no_slot_for_requests; /* a request that avoids no replica found no place */
	bool no_slot_for_items; /* nor did an item */
	bool only_reserved_left; /* all free places are kept for online requests */
	UT_hash_handle hh;
} service_t;

struct replica {
	char *id;
	char *zone;
	service_t *service;
	unsigned slots;
	bool leaving;
	bool listed;
	uint64_t start_time;
	unsigned online;
	unsigned items;
	unsigned failures; /* failures since its last success */
	deadline_t suspect_until;
	deadline_t ignore_silence_until; /* its silence until then is no failure */
	deadline_t full_until;
	UT_hash_handle hh;
};

typedef struct {
	uint64_t id;
	char *zone;
	bool takes_items;
	unsigned items;
	UT_hash_handle hh;
} entry_t;

typedef struct {
	uint64_t entry;
	uint64_t request;
} run_key_t;

/** A granted online request. */
typedef struct {
	run_key_t key;
	replica_t *replica;
	deadline_t since;
	UT_hash_handle hh;
} run_t;

/** An online request that waits for a place. */
typedef struct ask {
	dispatch_request_t req;
	service_t *service;
	char *avoid[DISPATCH_AVOID_MAX];
	struct ask *prev;
	struct ask *next;
} waiter_t;

typedef enum { ITEM_WAITING, ITEM_RUNNING, ITEM_STOPPING } item_state_t;

struct dispatch_item {
	service_t *service;
	char *avoid; /* replica that it failed at last; NULL: none */
	deadline_t due;
	void *data;
	item_state_t state;
	replica_t *replica; /* that it holds a place at; NULL otherwise */
	uint64_t entry; /* that runs it or is to stop it */
	deadline_t adopt_until; /* its entry was lost: runs again then; 0: it wasn't */
	deadline_t placed_at; /* when it got the place that it holds */
	int64_t ran_ms; /* held places before, with the events made then kept */
	dispatch_item_t *prev; /* in waiting, by due; or in running */
	dispatch_item_t *next;
};

/** Where a prompt's shared parts were read last. */
typedef struct {
	uint64_t prefix;
	replica_t *replica;
	UT_hash_handle hh;
} prefix_t;

struct ds {
	dispatch_callbacks_t cb;
	uint64_t random;
	replica_t *replicas;
	entry_t *entries;
	run_t *runs;
	waiter_t *waiters; /* in the order in which they are to be placed */
	dispatch_item_t *waiting_items;
	dispatch_item_t *running_items; /* or stopping */
	prefix_t *prefixes;
	deadline_t items_held_until;
	service_t *services;
	uint64_t pass; /* passes over what waits so far */
	bool had_replicas; /* replicas have been known */
	deadline_t list_deadline; /* until then requests wait for that */
	bool placing;
	bool place_again;
	unsigned nwaiters;
	unsigned nwaiting_items;
	uint64_t preempted;
};

/* ds_pick.c */

/** A replica with a free place; NULL when there is none. */
replica_t *dispatch_pick_free(dispatch_t *d, const waiter_t *q, str_t zone, deadline_t now);
/** The item that gives its place to this request; NULL when there is none. */
dispatch_item_t *dispatch_pick_victim(dispatch_t *d, const waiter_t *q, str_t zone, deadline_t now);
replica_t *dispatch_pick_for_item(dispatch_t *d, const dispatch_item_t *it, deadline_t now);
/** A running item that will be late anyway and gives its place to this one; NULL: there is none. */
dispatch_item_t *dispatch_pick_late_victim(dispatch_t *d, const dispatch_item_t *it,
					   deadline_t now);
entry_t *dispatch_pick_entry(dispatch_t *d, const replica_t *r);
void dispatch_prefix_record(dispatch_t *d, uint64_t prefix, replica_t *r);
void dispatch_prefix_forget(dispatch_t *d, const replica_t *r);
/** Places of the service's usable replicas. */
unsigned dispatch_count_slots(const dispatch_t *d, const service_t *s, deadline_t now);
unsigned dispatch_count_free_slots(const dispatch_t *d, const service_t *s, deadline_t now);

/* dispatch_place_all.c */

void dispatch_place_all(dispatch_t *d, deadline_t now);
void dispatch_item_detach(dispatch_t *d, dispatch_item_t *it);
void dispatch_item_enqueue(dispatch_t *d, dispatch_item_t *it);
/** Notes the time for which it held its place until now. */
void dispatch_item_add_run_time(dispatch_item_t *it, deadline_t now);
/** How much longer the item is likely to need a place, in ms. */
int64_t dispatch_item_remaining_ms(const dispatch_item_t *it, deadline_t now);
/** False when the item can't be done by its due time any more, as far as others tell. */
bool dispatch_item_meets_due(const dispatch_item_t *it, deadline_t now);
/** True when it can wait out a peak of online requests and still be done by its due time. */
bool dispatch_item_has_slack(const dispatch_item_t *it, deadline_t now);
void dispatch_waiter_free(dispatch_t *d, waiter_t *q);

#endif
