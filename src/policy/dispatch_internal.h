/** Internals of the dispatcher, shared by dispatch*.c. */
#ifndef AUBURN_DISPATCH_INTERNAL_H
#define AUBURN_DISPATCH_INTERNAL_H

#include <uthash.h>
#include <utlist.h>
#include "policy/dispatch.h"
#include "policy/fair_share.h"
#include "policy/replica_speed.h"
#include "policy/prompt_cache.h"

typedef struct replica replica_t;
typedef struct fair_turn fair_turn_t;

/** State of a service; freed only with the dispatcher. */
typedef struct {
	char *name;
	int64_t mean_hold_us; /* mean time that an online request holds its slot */
	int64_t mean_item_ms; /* mean slot time of a whole item; 0 until the first one ends */
	unsigned reserved_slots; /* free slots that items with slack leave to online requests */
	deadline_t reserve_decay_at; /* when reserved_slots is next reduced */
	bool states_speed; /* a replica has stated how long work takes */
	speed_means_t speeds;
	uint64_t memory_tokens; /* that a replica can hold; 0: unknown */
	unsigned arrivals; /* new requests since rate_since */
	deadline_t rate_since;
	int64_t rate_per_s; /* of new requests, lately */
	int64_t returns_until; /* us on the clock of deadlines: until then, the returns of refused
				  callers take all slots */
	unsigned items_waiting; /* in d->waiting_items */
	fair_share_t *fair; /* NULL until a request has a customer */
	deadline_t fair_until; /* it has had requests of customers lately */
	fair_turn_t *turns; /* heap of the customers whose requests are placed in turn */
	unsigned nturns;
	unsigned turns_size;
	unsigned ncollected; /* requests in turns */
	deadline_t judge_at; /* requests without a slot are not judged before; see JUDGE_MS */
	bool turns_ordered; /* turns is a heap; no request is added to it any more */
	deadline_t next_late_check; /* no running item is preempted for an item before; see
				       LATE_CHECK_MS */
	/* The fields below are recomputed in each placement pass. */
	uint64_t pass; /* the pass in which they were computed */
	unsigned slots; /* slots of its usable replicas, as of counted_at */
	deadline_t counted_at;
	unsigned were_waiting; /* requests that went on waiting in the pass before */
	unsigned waiting_ahead; /* requests handled earlier in this pass that go on waiting */
	bool no_slot_for_requests; /* a request with an empty avoid list found no slot */
	bool judging; /* requests without a slot are judged in this pass */
	unsigned unfit; /* requests that found free slots, but none that suits them */
	bool no_slot_for_items; /* an item found no slot, or no entry to run it */
	bool only_reserved_left; /* all free slots are reserved for online requests */
	uint64_t no_memory_for; /* no replica with a free slot has memory for this many tokens;
				   UINT64_MAX: not known for any number */
	bool rank_done; /* no further item of the rank in turn can start */
	UT_hash_handle hh;
} service_t;

/** An answer of a replica to an entry. */
typedef struct {
	uint64_t entry;
	deadline_t at; /* 0: none */
} heard_t;

struct replica {
	char *id;
	char *zone;
	service_t *service;
	unsigned slots;
	bool leaving;
	bool listed; /* in the latest replica list */
	uint64_t start_time;
	unsigned online; /* running online requests */
	unsigned items; /* running items */
	uint64_t tokens; /* of its runs, with those of items that are being stopped */
	replica_speed_t speed;
	unsigned failures; /* consecutive failures */
	deadline_t suspect_until; /* back-off after a failure: gets no work until then */
	deadline_t ignore_silence_until; /* silence until then does not count as a failure */
	deadline_t full_until; /* back-off after it rejected a run: until then, its free slots are
				  not used, but its items may be preempted, for requests and for
				  other items */
	int64_t prefill_until_us; /* when the prefill of all granted prompts is expected to end */
	uint64_t match_number; /* of the last decision that found it to hold the prompt */
	prompt_store_t *prompts; /* what it has cached; NULL: nothing known */
	heard_t heard[2]; /* the last answer, and the last to another entry than that */
	UT_hash_handle hh;
};

typedef struct {
	uint64_t id;
	char *zone;
	bool takes_items;
	bool cut_off; /* it reaches no replica */
	unsigned pairs; /* in d->pairs */
	unsigned items; /* items that it runs or is stopping */
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
	deadline_t since; /* time of the grant */
	service_t *service; /* of the request */
	fair_customer_t *customer; /* NULL if the service has no fair shares */
	int64_t cost; /* that the customer was charged */
	uint64_t tokens; /* counted in replica->tokens */
	uint32_t tokens_in;
	uint32_t tokens_out;
	unsigned percent; /* stated by the replica at the grant */
	int64_t reserved_tokens; /* in replica->prompts */
	UT_hash_handle hh;
} run_t;

/** An online request that waits for a slot. */
typedef struct waiter {
	dispatch_request_t req;
	service_t *service;
	char *avoid[DISPATCH_AVOID_MAX]; /* copies of req.avoid */
	char *customer; /* copy of req.customer */
	fair_customer_t *fair; /* NULL if the service has no fair shares */
	deadline_t since; /* time of arrival */
	bool in_turn; /* in the list of a fair_turn_t of its service */
	struct waiter *turn_next; /* in that list */
	unsigned own_ahead; /* requests of its customer ahead of it in this pass that got no slot */
	prompt_chain_t prompt; /* of req.tokens */
	bool admitted; /* it waits by an estimate that it will be served */
	bool unfit; /* it was left waiting although slots are free: the memory is used up */
	deadline_t no_victim_until; /* an item was preempted for its memory */
	struct waiter *prev;
	struct waiter *next;
} waiter_t;

typedef enum { ITEM_WAITING, ITEM_RUNNING, ITEM_STOPPING } item_state_t;

struct dispatch_item {
	service_t *service;
	char *avoid[DISPATCH_AVOID_MAX]; /* as last passed to dispatch_item_avoid, in a ring */
	unsigned navoid; /* of all calls */
	prompt_chain_t *prompt; /* NULL: the tokens of its parts are not stated */
	int64_t expected_tokens; /* of the prompt and the expected output */
	int64_t reserved_tokens; /* in replica->prompts */
	deadline_t due;
	void *data;
	uint64_t tokens; /* that a run holds at most */
	replica_t *memory_of; /* where they are counted, or NULL; until its entry has stopped it */
	item_state_t state;
	replica_t *replica; /* whose slot it holds, or NULL */
	uint64_t entry; /* that runs the item, or has been ordered to stop it */
	deadline_t adopt_until; /* 0 while its entry is connected. After a disconnection: the item
				   stays assigned until then, because an entry may report that it
				   still runs the item, and is queued again afterwards */
	deadline_t placed_at; /* when it got its slot, or ran_ms was last updated */
	int64_t ran_ms; /* slot time of its runs since dispatch_item_add; each run resumes after the
			   events of the earlier ones */
	dispatch_item_t *prev; /* in waiting_items, sorted by due time, or in running_items */
	dispatch_item_t *next;
};

/** The replica that was last granted a prompt with this prefix and so may have it cached. */
typedef struct {
	uint64_t prefix;
	replica_t *replica;
	UT_hash_handle hh;
} prefix_t;

typedef struct {
	uint64_t entry;
	const replica_t *replica;
} pair_key_t;

/** An entry's connection to this replica has failed, with no answer since. */
typedef struct {
	pair_key_t key;
	unsigned failures; /* consecutive, up to a maximum */
	deadline_t until; /* the entry gets no slot of the replica until then */
	UT_hash_handle hh;
} pair_t;

struct dispatch {
	dispatch_callbacks_t cb;
	dispatch_weighing_t weighing;
	uint64_t random; /* state of prng_next() */
	replica_t *replicas;
	replica_t **sample; /* the replicas, in an order that changes as they are drawn */
	unsigned nsample;
	bool sample_stale; /* the replicas have changed since it was built */
	entry_t *entries;
	run_t *runs;
	waiter_t *waiters; /* by priority, then by give-up time */
	dispatch_item_t *waiting_items; /* by due time */
	dispatch_item_t *running_items; /* running or stopping */
	prefix_t *prefixes;
	prompt_cache_t *prompts; /* NULL: no request has stated the tokens of its parts */
	uint64_t match_number; /* of the decision in turn */
	int64_t prefill_ns; /* time to prefill a token */
	uint64_t prompt_tokens; /* granted with stated parts */
	uint64_t prompt_tokens_held; /* of these, expected to be cached */
	pair_t *pairs;
	deadline_t items_held_until; /* no item is started before */
	deadline_t next_orphan; /* no item of a removed entry is to be queued again before */
	service_t *services;
	uint64_t pass; /* number of the current placement pass */
	bool had_replicas; /* a replica list that was not empty has arrived */
	deadline_t list_deadline; /* requests wait until then for the first replica list */
	void (*placement_due)(void *ctx); /* NULL: placement is not deferred */
	void (*contradicted)(void *ctx, str_t replica); /* or NULL */
	bool is_due; /* placement_due has been called */
	bool placing; /* dispatch_place_all is running */
	bool place_again; /* a callback called dispatch_place_all: another pass is needed */
	unsigned nwaiters;
	unsigned nwaiting_items;
	uint64_t preempted;
	uint64_t items_examined;
	dispatch_share_t refusal; /* of the customer refused last */
};

/* dispatch_reach.c */

/** A replica has answered a run of this entry. */
void dispatch_note_heard(dispatch_t *d, uint64_t entry, replica_t *r, deadline_t now);
/** True if the replica has answered some entry lately, with no failure since. */
bool dispatch_answers(const replica_t *r, deadline_t now);
/** A connection of this entry failed. Returns true if that says nothing about the replica: it
 * answers other entries, or the entry reaches few. */
bool dispatch_note_unreached(dispatch_t *d, uint64_t entry, replica_t *r, deadline_t now);
/** A slot was granted after the back-off of the pair: until its outcome is known, no further one
 * is. */
void dispatch_pair_tried(dispatch_t *d, uint64_t entry, const replica_t *r, deadline_t now);
/** False if the entry, NULL for any, is known not to reach the replica. */
bool dispatch_reaches(const dispatch_t *d, const entry_t *e, const replica_t *r, deadline_t now);
/** False if a connection of the entry to some replica has failed, with no answer since. */
bool dispatch_reaches_all(const dispatch_t *d, uint64_t entry);
/** Forgets the failures of a replica or, if r is NULL, of an entry. */
void dispatch_pairs_forget(dispatch_t *d, uint64_t entry, const replica_t *r);
void dispatch_pairs_free(dispatch_t *d);
/** Forgets the pairs that have not been tried for long. */
void dispatch_pairs_tick(dispatch_t *d, deadline_t now);

/* dispatch_pick.c */

/** Picks the replica with a free slot that costs a request least, or NULL; sets q->unfit. e: the
 * request's entry; NULL if it is not registered. */
replica_t *dispatch_pick_free(dispatch_t *d, waiter_t *q, const entry_t *e, deadline_t now);
/** Picks a running item to preempt for a request, or NULL. */
dispatch_item_t *dispatch_pick_victim(dispatch_t *d, const waiter_t *q, const entry_t *e,
				      deadline_t now);
/** Picks the least loaded replica with a free slot for an item, or NULL. The replica on which the
 * item itself last failed is picked only if there is no other. */
replica_t *dispatch_pick_for_item(dispatch_t *d, const dispatch_item_t *it, deadline_t now);
/** Picks a running item of the service to preempt for another item: one that is expected to miss
 * its due time anyway; NULL if there is none. */
dispatch_item_t *dispatch_pick_late_victim(dispatch_t *d, const service_t *s, deadline_t now);
/** Picks the entry to run an item on this replica, or NULL: among those that take items and are not
 * known not to reach it, one in the replica's zone if possible, then the one with the fewest
 * items. */
entry_t *dispatch_pick_entry(dispatch_t *d, const replica_t *r, deadline_t now);
/** Records that a prompt with this prefix was granted to the replica. */
void dispatch_prefix_record(dispatch_t *d, uint64_t prefix, replica_t *r);
/** Drops the recorded prefixes of a replica, or of all replicas if r is NULL. */
void dispatch_prefix_forget(dispatch_t *d, const replica_t *r);
/** Counts the slots, used or free, of the service's usable replicas. After a failure, a replica
 * counts as one slot until a run succeeds or its failures are reset. */
unsigned dispatch_count_slots(const dispatch_t *d, const service_t *s, deadline_t now);
/** Counts the free ones of these slots, without those of replicas in back-off after they rejected a
 * run. */
unsigned dispatch_count_free_slots(const dispatch_t *d, const service_t *s, deadline_t now);
/** An item of the service that is due later than this has slack, whatever it ran already. */
deadline_t dispatch_slack_from(const service_t *s, deadline_t now);
/** True if the item could wait out a peak of online requests and still finish by its due time. */
bool dispatch_item_has_slack(const dispatch_item_t *it, deadline_t now);

/* dispatch_admit.c */

/**
 * Order in which waiting requests are served. Resumed requests are first, as their callers already
 * read the stream. Requests in time go before late ones: a fault causes a reconnect storm that
 * takes seconds to serve, and a caller past its objective loses nothing more by waiting until
 * shortly before it gives up. So the same number of requests is served in all, and more of them in
 * time. Returning callers that can still be served soon are in between, for services with
 * estimates.
 */
typedef enum {
	DISPATCH_RANK_RESUMED,
	DISPATCH_RANK_IN_TIME,
	DISPATCH_RANK_RETURNED,
	DISPATCH_RANK_LATE,
	DISPATCH_RANKS
} dispatch_rank_t;

dispatch_rank_t dispatch_rank_of(const waiter_t *q, deadline_t now);
/** Counts an arriving request toward the rate of new ones. */
void dispatch_note_arrival(service_t *s, const dispatch_request_t *req, deadline_t now);
/** Decides about a request that found no slot: true if it goes on waiting, false if it was refused
 * for one of the reasons of dispatch_refusal_t. */
bool dispatch_admit(dispatch_t *d, waiter_t *q, dispatch_rank_t rank, service_t *s, deadline_t now);

/* dispatch_fair.c */

/** A customer and its requests of the rank and priority in turn. */
struct fair_turn {
	fair_customer_t *customer;
	int64_t start; /* virtual time at which its next request starts */
	unsigned running; /* with those placed before it in this pass */
	waiter_t *first;
	waiter_t *last;
};

/** Adds a new request to the fair shares of its service, if that has any. */
void dispatch_fair_join(waiter_t *q, deadline_t now);
/** Removes a request that is withdrawn or refused. */
void dispatch_fair_leave(waiter_t *q);
/** Charges the customer of a request that got a slot. */
void dispatch_fair_grant(waiter_t *q, run_t *run);
void dispatch_fair_end(run_t *run, bool completed, deadline_t now);
void dispatch_fair_free(service_t *s);
/** True if requests of the service are served by fair shares now. */
bool dispatch_is_fair(const service_t *s, deadline_t now);
/** Collects a request for dispatch_fair_next. */
void dispatch_fair_collect(waiter_t *q, deadline_t now);
/** Takes the collected request that is next in the fair order, or NULL. */
waiter_t *dispatch_fair_next(service_t *s);
/** Drops the collected requests that have not been taken. */
void dispatch_fair_drop(service_t *s);

/* dispatch_cost.c */

/** Maximum number of replicas with a matching prompt that are considered for a request or item. */
#define DISPATCH_HOLDERS_MAX 4
/** Like dispatch_cost_us, for an item with a prompt. */
int64_t dispatch_item_cost_us(const dispatch_t *d, const dispatch_item_t *it, const replica_t *r,
			      deadline_t now);
/** Records that a run with this prompt was granted to the replica. tokens: of its prompt and
 * expected output. Returns the tokens to release when the run ends. */
int64_t dispatch_prompt_granted(dispatch_t *d, const prompt_chain_t *prompt, int64_t tokens,
				replica_t *r, deadline_t now);
void dispatch_prompt_release(dispatch_t *d, replica_t *r, int64_t tokens);
/** Ends the belief of what the replica has cached. */
void dispatch_prompts_forget(dispatch_t *d, replica_t *r);

/** Estimates what it costs to run the request on the replica, in microseconds of its caller's time.
 * zone: of the request's entry. */
int64_t dispatch_cost_us(const dispatch_t *d, const waiter_t *q, const replica_t *r,
			 const replica_t *prefix_holder, str_t zone, deadline_t now);
/** False if no replica of the service has memory for so many tokens, even if it runs nothing. */
bool dispatch_could_hold(const service_t *s, uint64_t tokens);
/** True if the replica's memory holds this many tokens more. */
bool dispatch_has_memory(const replica_t *r, uint64_t tokens);
/** The tokens that a request holds at most. */
uint64_t dispatch_tokens_held(const dispatch_tokens_t *t);
/** Counts the item's tokens at the replica. */
void dispatch_item_hold_memory(dispatch_item_t *it, replica_t *r);

/* dispatch_place.c */

/** Assigns waiting requests, then waiting items, to slots, or says that it is due. */
void dispatch_place_all(dispatch_t *d, deadline_t now);
/** Assigns them now. */
void dispatch_place_now(dispatch_t *d, deadline_t now);
/** Releases the item's slot and removes the item from the list that holds it. */
void dispatch_item_detach(dispatch_t *d, dispatch_item_t *it);
/** Inserts the item into waiting_items by its due time. */
void dispatch_item_enqueue(dispatch_t *d, dispatch_item_t *it);
/** Adds the time since placed_at to ran_ms if the item holds a slot; sets placed_at to now. */
void dispatch_item_add_run_time(dispatch_item_t *it, deadline_t now);
/** Estimates how much longer the item needs a slot, in ms. */
int64_t dispatch_item_remaining_ms(const dispatch_item_t *it, deadline_t now);
/** An item of the service that is due later than this meets its due time, whatever it ran already.
 */
deadline_t dispatch_in_time_from(const service_t *s, deadline_t now);
/** True if the item, run from now on, is expected to finish by its due time. */
bool dispatch_item_meets_due(const dispatch_item_t *it, deadline_t now);
void dispatch_waiter_free(dispatch_t *d, waiter_t *q);

#endif
