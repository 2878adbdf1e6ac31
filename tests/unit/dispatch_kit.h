/** Helpers for the dispatcher's tests: records what the dispatcher calls back, and makes
 * dispatchers and requests. */
#ifndef AUBURN_DISPATCH_KIT_H
#define AUBURN_DISPATCH_KIT_H

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "policy/dispatch.h"
#include "suite_kit.h"

#define EFFECTS_MAX 64
/** Time without an event after which the callers of the tests' requests give up. */
#define GIVE_UP_MS 3200

typedef enum { GRANTED = 'g', REFUSED = 'r', ITEM_STARTED = 'R', ITEM_STOPPED = 'S' } effect_kind_t;

/** One callback of the dispatcher with its arguments. */
typedef struct {
	char kind; /* effect_kind_t */
	uint64_t entry;
	uint64_t request;
	char replica[32];
	int64_t retry_ms;
	dispatch_refusal_t why;
	void *data;
} effect_t;

/** The callbacks in their order; after EFFECTS_MAX callbacks the oldest are overwritten. */
static effect_t effects[EFFECTS_MAX];
static int neffects;

static inline effect_t *record_effect(char kind)
{
	effect_t *e = &effects[neffects++ % EFFECTS_MAX];

	*e = (effect_t){.kind = kind};
	return e;
}

static inline void record_grant(void *ctx, uint64_t entry, uint64_t request, str_t replica)
{
	effect_t *e = record_effect(GRANTED);

	e->entry = entry;
	e->request = request;
	snprintf(e->replica, sizeof(e->replica), "%.*s", STR_ARG(replica));
}

static inline void record_refusal(void *ctx, uint64_t entry, uint64_t request, int64_t retry_ms,
				  dispatch_refusal_t why)
{
	effect_t *e = record_effect(REFUSED);

	e->entry = entry;
	e->request = request;
	e->retry_ms = retry_ms;
	e->why = why;
}

static inline void record_item_start(void *ctx, void *data, uint64_t entry, str_t replica)
{
	effect_t *e = record_effect(ITEM_STARTED);

	e->entry = entry;
	e->data = data;
	snprintf(e->replica, sizeof(e->replica), "%.*s", STR_ARG(replica));
}

static inline void record_item_stop(void *ctx, void *data, uint64_t entry)
{
	effect_t *e = record_effect(ITEM_STOPPED);

	e->entry = entry;
	e->data = data;
}

static const dispatch_callbacks_t callbacks = {NULL, record_grant, record_refusal,
					       record_item_start, record_item_stop};

/** Makes a dispatcher with replicas r0, r1, ... of service s. Replicas with an even number and
 * entry 1 are in zone a, the others and entry 2 in zone b. Clears the recorded effects. */
static inline dispatch_t *new_dispatcher(unsigned replicas, unsigned slots)
{
	dispatch_t *d = dispatch_new(&callbacks, 7);
	dispatch_replica_t v[16];
	static char ids[16][16];

	neffects = 0;
	for (unsigned i = 0; i < replicas; i++) {
		snprintf(ids[i], sizeof(ids[i]), "r%u", i);
		v[i] = (dispatch_replica_t){
			str_c(ids[i]), i % 2 ? STR("b") : STR("a"), STR("s"), slots, false, 0};
	}
	dispatch_entry_add(d, 1, STR("a"), true);
	dispatch_entry_add(d, 2, STR("b"), true);
	dispatch_set_replicas(d, v, replicas, 0);
	return d;
}

/** A new request of entry 1 that is due to start within 300 ms and to end within 5 s. */
static inline dispatch_request_t make_request(uint64_t request, deadline_t now)
{
	return (dispatch_request_t){.entry = 1,
				    .request = request,
				    .service = STR("s"),
				    .objective = now + 300,
				    .deadline = now + 5000,
				    .give_up_at = now + GIVE_UP_MS};
}

static inline void add_request(dispatch_t *d, uint64_t request, deadline_t now)
{
	dispatch_request_t req = make_request(request, now);

	dispatch_request_add(d, &req, now);
}

#endif
