/** Load balancing: chooses a replica for an online request by the replicas' last load reports. The
 * owner of a replica, the entry that schedules it (see owner.h), sends them to the other entries.
 * Pure. */
#ifndef AUBURN_BALANCE_H
#define AUBURN_BALANCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include "base/clock.h"

typedef struct {
	int free_slots;
	int queued; /* requests that wait for a slot */
	int running; /* not used by balance_pick */
	int slots;
	int sent_since_report; /* requests sent to the replica by this entry since the report */
	bool same_zone;
	bool owned_here; /* the choosing entry owns the replica */
	bool usable; /* live, owned here or by an entry at a known address, its breaker admits a
		      request or probe, and this request has not tried it yet */
	bool prefix_known; /* the replica's cache probably holds the request's prefix */
	deadline_t reported_at; /* arrival of the last report, in ms; 0 if there was none */
} balance_candidate_t;

/** Entries use TWO_CHOICES, the better of two random candidates; the others serve for comparison.
 */
typedef enum { BALANCE_TWO_CHOICES, BALANCE_LEAST_LOADED, BALANCE_RANDOM } balance_policy_t;

/** Returns the index of the chosen candidate, or -1 if none is usable. rnd: a random number. */
int balance_pick(const balance_candidate_t *c, size_t n, balance_policy_t policy, uint64_t rnd,
		 int64_t now_ms);

#endif
