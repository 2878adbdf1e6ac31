/** Parts of the replica owner that its files share; private to the module. */
#ifndef AUBURN_OW_CORE_H
#define AUBURN_OW_CORE_H

#include "policy/ow.h"

#define OW_STEP_SAMPLES 1024

/** A stream on the replica. */
typedef struct {
	uint64_t id;
	ow_class_t cls;
	bool alone;
	bool cancelling;
	bool had_token;
	int64_t started_ms;
	int64_t cancelled_ms;
} ow_run_t;

/** An online stream that waits. */
typedef struct {
	ow_stream_t s;
	int64_t turn; /* order in the queue: its deadline, later for each stream of its caller */
} ow_wait_t;

/** Recent times between tokens, and the batch streams that they allow. */
typedef struct {
	int64_t sample_us[OW_STEP_SAMPLES];
	unsigned samples; /* since the window began */
	int64_t window_ends_ms;
	int64_t p95_us; /* of the last window */
	double batch_cap;
} ow_step_t;

/** Recent online arrivals, for the room that follows the peak. */
typedef struct {
	int64_t slice_ends_ms;
	unsigned in_slice;
	double peak;
} ow_peak_t;

struct ow {
	ow_options_t o;
	bool closed;
	ow_run_t *run; /* oldest first */
	unsigned nrun, run_cap;
	unsigned ceiling; /* slots, or more after slots were taken away from running streams */
	unsigned nonline, ncancelling; /* of nrun */
	bool alone; /* the running stream runs alone */
	int64_t hold_until_ms, hold_again_ms; /* no other batch until then, for a stream alone */
	ow_wait_t *queue; /* sorted by turn */
	unsigned nqueue, queue_cap;
	ow_step_t step;
	ow_peak_t peak;
	double service_ms; /* mean time that a stream holds its slot */
	double first_ms; /* mean time from start to first token */
	double cancel_ms; /* mean time from a cancel to the stream's end */
	uint64_t preempted, refused, started, ended;
};

/** Where a stream would stand in the queue; *turn gets its place in the order. */
unsigned ow_queue_place(const ow_t *w, const ow_stream_t *s, int64_t *turn);
void ow_queue_insert(ow_t *w, const ow_stream_t *s);
void ow_queue_remove(ow_t *w, unsigned at);
/** Index of the waiting stream, or -1. */
int ow_queue_find(const ow_t *w, uint64_t id);

void ow_room_init(ow_t *w, int64_t now_ms);
void ow_room_arrival(ow_t *w, int64_t now_ms);
void ow_room_step(ow_t *w, int64_t step_us);
void ow_room_ended(ow_t *w, const ow_run_t *r, int64_t now_ms);
void ow_room_first(ow_t *w, const ow_run_t *r, int64_t now_ms);
/** Closes the window of time between tokens when it is over. */
void ow_room_tick(ow_t *w, int64_t now_ms);
/** Time until the stream at this place of the queue starts, by the measured drain rate. */
int64_t ow_room_wait_ms(const ow_t *w, unsigned place);
/** Can a stream at this place of the queue give its first token by then? */
bool ow_room_makes(const ow_t *w, unsigned place, deadline_t deadline, int64_t now_ms);
int64_t ow_room_retry_ms(const ow_t *w, unsigned place);
/** May a stream that runs alone start? If not, other batch holds off for a while. */
bool ow_room_alone(ow_t *w, int64_t now_ms);
/** Batch streams that may start. */
unsigned ow_room_batch(const ow_t *w, int64_t now_ms);

#endif
