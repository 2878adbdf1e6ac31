/** Choice of a replica for an online request from what its owners last said. Pure. */
#ifndef AUBURN_PK_H
#define AUBURN_PK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include "base/clk.h"

typedef struct {
	int free_slots;
	int queued;
	int running;
	int slots;
	int sent_since; /* requests sent there by this entry since that report */
	bool same_zone;
	bool owned_here;
	bool usable; /* live, owned, breaker closed, not tried by this request yet */
	bool prefix_known; /* its cache is believed to hold the request's prefix */
	deadline_t reported; /* when the report came; 0 = never */
} pk_candidate_t;

/** Ways that the bench compares. */
typedef enum { PK_TWO_CHOICES, PK_LEAST_LOADED, PK_RANDOM } pk_way_t;

/** Index of the chosen one, or -1 when none is usable. rnd is the caller's random number. */
int pk_pick(const pk_candidate_t *c, size_t n, pk_way_t way, uint64_t rnd, int64_t now_ms);

#endif
