/**
 * Poison requests: requests that crash each replica that runs them, and come again with the same
 * content at any entry.
 *
 * A request is known by a hash of its content. Evidence against it is the end of a replica process
 * under a run of it, at any stage of the run, which is told by the end of the connection. The sound
 * requests that ran in the same process give the same evidence; those run to their end elsewhere,
 * which clears them, or were not in the other crashes. Of replicas that
 * crash together, one counts: that shows another cause, unless the run began after the crash
 * before. A crash no longer counts once the replica process brings an answer, or breaks connections
 * again: then it has not crashed.
 *
 * With its third crash the request is held for minutes. Then one entry may try it once: a further
 * crash holds it for twice as long, a run to its end releases it.
 *
 * The expected load: some thousand requests a second at 1 to 400 entries, of which a few in a
 * hundred run in a replica when it crashes; only these are kept.
 *
 * Pure: time is an argument. Not thread-safe.
 */
#ifndef AUBURN_POISON_H
#define AUBURN_POISON_H

#include <stdbool.h>
#include "base/clock.h"
#include "policy/leaving.h"

/** Maximum number of requests that are kept; beyond it the oldest that is not held is dropped. */
#define POISON_MAX	 4096
#define POISON_KEY_BYTES 16

/** BLAKE2b hash of the content of a request. At this size nobody finds two contents with the same
 * hash, so it needs no secret key and is the same in all processes and builds. */
typedef struct {
	unsigned char v[POISON_KEY_BYTES];
} poison_key_t;

/** What makes a request the same request again. */
typedef struct {
	str_t customer; /* empty: none */
	str_t method;
	str_t host;
	str_t target; /* path and query */
	str_t body;
} poison_content_t;

typedef struct {
	poison_key_t key;
	bool held; /* else suspected */
	unsigned crashes; /* that count */
	unsigned level; /* number of earlier holds that ran out */
	deadline_t since; /* first of these crashes */
	deadline_t until; /* end of the hold; from then on only the prober may try the request */
	uint64_t prober; /* hash of an entry's name; 0: none */
	unsigned turn; /* changes when a prober is named */
} poison_state_t;

typedef enum {
	POISON_HELD,
	POISON_RELEASED, /* a run has ended, or too few crashes count */
	POISON_TAKEN_BACK, /* a crash no longer counts: its replica is alive */
	POISON_EXPIRED /* the hold ran out */
} poison_event_t;

typedef struct {
	void *ctx;
	void (*event)(void *ctx, poison_event_t what, const poison_state_t *p);
} poison_callbacks_t;

typedef struct poison poison_t;

poison_key_t poison_key(const poison_content_t *c);

poison_t *poison_new(const poison_callbacks_t *cb);
void poison_free(poison_t *p);
/** Records that the connection of a run that began at this time has ended before its answer was
 * whole. */
void poison_crash(poison_t *p, const poison_key_t *key, replica_ref_t replica, deadline_t began,
		  deadline_t now);
/** Records that a replica process has brought an answer. */
void poison_alive(poison_t *p, replica_ref_t replica, deadline_t now);
/** Records that a run has ended with a whole answer. */
void poison_sound(poison_t *p, const poison_key_t *key);
/** True if the request must not run now; *out: why. self: hash of the name of this entry. */
bool poison_holds(const poison_t *p, const poison_key_t *key, uint64_t self, deadline_t now,
		  poison_state_t *out);
/** True if the hold of the request ran out and this entry may try it. */
bool poison_is_probed_by(const poison_t *p, const poison_key_t *key, uint64_t self);
/** Records that this entry tries a request whose hold ran out; it is held for all others. */
void poison_probe(poison_t *p, const poison_key_t *key);
/** Finds a request whose hold ran out and which needs a prober; false if there is none. */
bool poison_needs_prober(const poison_t *p, deadline_t now, poison_key_t *out);
/** Names the entry that may try the request next, for a while. */
void poison_set_prober(poison_t *p, const poison_key_t *key, uint64_t prober, deadline_t now);
/** Ends holds and forgets old crashes; to be called periodically. */
void poison_tick(poison_t *p, deadline_t now);
/** Takes over what another process knows of a request. */
void poison_adopt(poison_t *p, const poison_state_t *x, deadline_t now);
/** Ends the holds that another process has ended, and forgets what it no longer knows: what is not
 * in its list. */
void poison_retain(poison_t *p, const poison_state_t *v, size_t n);
/** Whether another process decides: a hold of this one then lasts only until its list can have
 * come, unless that has the hold too. */
void poison_follow(poison_t *p, bool follows);
bool poison_is_empty(const poison_t *p);
/** True if there are crashes of the request, or it is held. */
bool poison_has(const poison_t *p, const poison_key_t *key);
/** Lists the requests with at least this many crashes, held ones first, at most max; returns their
 * number. */
size_t poison_list(const poison_t *p, unsigned crashes_min, poison_state_t *out, size_t max);
/** Changes with each change of the list. */
uint64_t poison_version(const poison_t *p);

#define POISON_NAME_BYTES 33

/** Formats a key for logs; returns out. */
const char *poison_key_name(const poison_key_t *key, char out[POISON_NAME_BYTES]);
/** Name of an event in logs. */
const char *poison_event_name(poison_event_t what);

#endif
