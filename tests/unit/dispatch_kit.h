/** A dispatcher whose effects are noted, for its unit tests. */
#ifndef AUBURN_DISPATCH_KIT_H
#define AUBURN_DISPATCH_KIT_H

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "policy/dispatch.h"
#include "suite_kit.h"

#define LOG_MAX 64
/** Callers leave a stream that is silent for so long, in ms, as on the users' sheets. */
#define PATIENCE_MS 3200

typedef struct {
	char kind; /* g: granted, r: refused, R: an item runs, S: one is stopped */
	uint64_t entry;
	uint64_t request;
	char replica[32];
	int64_t retry_ms;
	dispatch_refusal_t why;
	void *data;
} effect_t;

static effect_t effects[LOG_MAX];
static int neffects;

static inline effect_t *effect(char what)
{
	effect_t *e = &effects[neffects++ % LOG_MAX];

	*e = (effect_t){.kind = what};
	return e;
}

static inline void on_grant(void *ctx, uint64_t entry, uint64_t request, str_t replica)
{
	effect_t *e = effect('g');

	e->entry = entry;
	e->request = request;
	snprintf(e->replica, sizeof(e->replica), "%.*s", STR_ARG(replica));
}

static inline void on_refuse(void *ctx, uint64_t entry, uint64_t request, int64_t retry_ms,
			     dispatch_refusal_t why)
{
	effect_t *e = effect('r');

	e->entry = entry;
	e->request = request;
	e->retry_ms = retry_ms;
	e->why = why;
}

static inline void on_run(void *ctx, void *data, uint64_t entry, str_t replica)
{
	effect_t *e = effect('R');

	e->entry = entry;
	e->data = data;
	snprintf(e->replica, sizeof(e->replica), "%.*s", STR_ARG(replica));
}

static inline void on_stop(void *ctx, void *data, uint64_t entry)
{
	effect_t *e = effect('S');

	e->entry = entry;
	e->data = data;
}

static const dispatch_callbacks_t callbacks = {NULL, on_grant, on_refuse, on_run, on_stop};

static inline dispatch_t *fresh(unsigned replicas, unsigned slots)
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

static inline dispatch_request_t ask_of(uint64_t request, deadline_t now)
{
	return (dispatch_request_t){.entry = 1,
				    .request = request,
				    .service = STR("s"),
				    .objective = now + 300,
				    .deadline = now + 5000,
				    .give_up_at = now + PATIENCE_MS};
}

static inline void ask(dispatch_t *d, uint64_t request, deadline_t now)
{
	dispatch_request_t a = ask_of(request, now);

	dispatch_request_add(d, &a, now);
}

#endif
