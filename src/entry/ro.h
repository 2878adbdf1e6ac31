/**
 * A replica that this entry dispatches to: the ow_ decisions under a lock, and the streams that
 * run on its engine. With a fence the entry must hold its lease to start a stream.
 */
#ifndef AUBURN_RO_H
#define AUBURN_RO_H

#include "entry/en.h"
#include "entry/rn.h"

typedef struct ro ro_t;

typedef struct {
	en_t *en;
	const char *id;
	const char *addr;
	uint64_t fence; /* 0: dispatch without ownership */
	int64_t stall_ms;
	ow_options_t policy; /* callbacks are filled in here */
	void *ctx;
	/** The replica answered (ok) or failed. */
	void (*health)(void *ctx, bool ok);
} ro_options_t;

ro_t *ro_new(const ro_options_t *o);
ro_t *ro_ref(ro_t *r);
void ro_unref(ro_t *r);
void ro_update(ro_t *r, const ow_options_t *policy, int64_t stall_ms);
uint64_t ro_fence(const ro_t *r);

/** Offers work; unless refused the sink's end is called once. Strings are copied. */
ow_answer_t ro_offer(ro_t *r, const rn_work_t *w, const rn_sink_t *sink, uint64_t *id,
		     int64_t *retry_after_ms);
/** Withdraws a waiting stream, cancels a running one at the engine. */
void ro_stop(ro_t *r, uint64_t id);
/** Cancels the newest batch stream to make room; false if there is none. */
bool ro_preempt_one(ro_t *r);
void ro_tick(ro_t *r);
/** No new streams; ends what waits, lets what runs end. */
void ro_close(ro_t *r, bool cancel_batch);
unsigned ro_batch_room(ro_t *r);
void ro_stats(ro_t *r, ow_stats_t *out);

#endif
