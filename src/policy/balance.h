/** Choice of a replica for an online request from what its owners last said. Pure. */
#ifndef AUBURN_BALANCE_H
#define AUBURN_BALANCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include "base/clock.h"

typedef struct {
	int free_slots;
	int queued;
	int running;
	int slots;
	int sent_since_report; /* requests sent there by this entry since that report */
	bool same_zone;
	bool owned_here;
	bool usable; /* live, owned, breaker closed, not tried by this request yet */
	bool prefix_known; /* its cache is believed to hold the request's prefix */
	deadline_t reported_at; /* when the report came; 0 = never */
} balance_candidate_t;

/** Ways that the bench compares. */
typedef enum { BALANCE_TWO_CHOICES, BALANCE_LEAST_LOADED, BALANCE_RANDOM } balance_policy_t;

/** Index of the chosen one, or -1 when none is usable. rnd is the caller's random number. */
int balance_pick(const balance_candidate_t *c, size_t n, balance_policy_t way, uint64_t rnd,
		 int64_t now_ms);

#endif
