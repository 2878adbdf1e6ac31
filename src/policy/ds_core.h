/** Inside of the dispatcher. */
#ifndef AUBURN_DS_CORE_H
#define AUBURN_DS_CORE_H

#include <uthash.h>
#include <utlist.h>
#include "policy/ds.h"

typedef struct replica replica_t;

/** What is known of a service; kept as long as the dispatcher. */
typedef struct {
	char *name;
	int64_t hold_us; /* mean time that an online request holds its place, in us */
	int64_t item_ms; /* mean time that an item needs a place in all; 0: none has ended yet */
	unsigned keep; /* places that items leave free for online requests */
	deadline_t shrink_at; /* fewer then */
	uint64_t pass; /* that what follows was found out in */
	unsigned places;
	unsigned ahead; /* waiting requests that go before */
	bool full; /* a request that avoids no replica found no place */
	bool no_place; /* nor did an item */
	bool no_room; /* all free places are kept for online requests */
	UT_hash_handle hh;
} service_t;

struct replica {
	char *id;
	char *zone;
	service_t *service;
	unsigned slots;
	bool leaving;
	bool listed;
	uint64_t born;
	unsigned online;
	unsigned items;
	unsigned strikes; /* failures since its last success */
	deadline_t suspect_until;
	deadline_t busy_until; /* its silence until then is no failure */
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
	ds_ask_t a;
	service_t *service;
	char *avoid[DS_AVOID_MAX];
	struct ask *prev;
	struct ask *next;
} ask_t;

typedef enum { ITEM_WAITING, ITEM_RUNNING, ITEM_STOPPING } item_state_t;

struct ds_item {
	service_t *service;
	char *avoid; /* replica that it failed at last; NULL: none */
	deadline_t due;
	void *data;
	item_state_t state;
	replica_t *replica; /* that it holds a place at; NULL otherwise */
	uint64_t entry; /* that runs it or is to stop it */
	deadline_t lost_until; /* its entry was lost: runs again then; 0: it wasn't */
	deadline_t placed; /* when it got the place that it holds */
	int64_t ran_ms; /* held places before, with the events made then kept */
	ds_item_t *prev; /* in waiting, by due; or in running */
	ds_item_t *next;
};

/** Where a prompt's shared parts were read last. */
typedef struct {
	uint64_t prefix;
	replica_t *replica;
	UT_hash_handle hh;
} prefix_t;

struct ds {
	ds_callbacks_t cb;
	uint64_t random;
	replica_t *replicas;
	entry_t *entries;
	run_t *runs;
	ask_t *asks; /* in the order in which they are to be placed */
	ds_item_t *waiting;
	ds_item_t *running; /* or stopping */
	prefix_t *prefixes;
	deadline_t hold_until;
	service_t *services;
	uint64_t pass; /* passes over what waits so far */
	bool listed; /* replicas have been known */
	deadline_t list_by; /* until then requests wait for that */
	bool placing;
	bool again;
	unsigned nasks;
	unsigned nwaiting;
	uint64_t preempted;
};

/* ds_pick.c */

/** A replica with a free place; NULL when there is none. */
replica_t *ds_pick_free(ds_t *d, const ask_t *q, str_t zone, deadline_t now);
/** The item that gives its place to this request; NULL when there is none. */
ds_item_t *ds_pick_victim(ds_t *d, const ask_t *q, str_t zone, deadline_t now);
replica_t *ds_pick_for_item(ds_t *d, const ds_item_t *it, deadline_t now);
/** A running item that will be late anyway and gives its place to this one; NULL: there is none. */
ds_item_t *ds_pick_late(ds_t *d, const ds_item_t *it, deadline_t now);
entry_t *ds_pick_entry(ds_t *d, const replica_t *r);
void ds_prefix_note(ds_t *d, uint64_t prefix, replica_t *r);
void ds_prefix_forget(ds_t *d, const replica_t *r);
/** Places of the service's usable replicas. */
unsigned ds_places(const ds_t *d, const service_t *s, deadline_t now);
unsigned ds_free_places(const ds_t *d, const service_t *s, deadline_t now);

/* ds_place.c */

void ds_place(ds_t *d, deadline_t now);
void ds_item_unplace(ds_t *d, ds_item_t *it);
void ds_item_queue(ds_t *d, ds_item_t *it);
/** Notes the time for which it held its place until now. */
void ds_item_count(ds_item_t *it, deadline_t now);
/** How much longer the item is likely to need a place, in ms. */
int64_t ds_item_left(const ds_item_t *it, deadline_t now);
/** False when the item can't be done by its due time any more, as far as others tell. */
bool ds_item_in_time(const ds_item_t *it, deadline_t now);
/** True when it can wait out a peak of online requests and still be done by its due time. */
bool ds_item_can_wait(const ds_item_t *it, deadline_t now);
void ds_ask_free(ds_t *d, ask_t *q);

#endif
