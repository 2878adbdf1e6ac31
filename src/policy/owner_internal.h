/** Parts of the replica owner that its files share; private to the module. */
#ifndef AUBURN_OWNER_INTERNAL_H
#define AUBURN_OWNER_INTERNAL_H

#include "policy/owner.h"

#define OWNER_STEP_SAMPLES 1024

/** A stream on the replica. */
typedef struct {
	uint64_t id;
	owner_class_t cls;
	bool alone;
	bool cancelling;
	bool had_token;
	int64_t started_ms;
	int64_t cancelled_ms;
} owner_run_t;

/** An online stream that waits. */
typedef struct {
	owner_stream_t stream;
	int64_t virtual_deadline; /* order in the queue: its deadline, later for each stream of its
				     caller */
} owner_waiter_t;

/** Recent times between tokens, and the batch streams that they allow. */
typedef struct {
	int64_t sample_us[OWNER_STEP_SAMPLES];
	unsigned samples; /* since the window began */
	int64_t window_ends_ms;
	int64_t p95_us; /* of the last window */
	double batch_cap;
} owner_step_t;

/** Recent online arrivals, for the room that follows the peak. */
typedef struct {
	int64_t slice_ends_ms;
	unsigned slice_arrivals;
	double peak;
} owner_peak_t;

struct ow {
	owner_options_t options;
	bool closed;
	owner_run_t *runs; /* oldest first */
	unsigned nrun, run_cap;
	unsigned run_limit; /* slots, or more after slots were taken away from running streams */
	unsigned nonline, ncancelling; /* of nrun */
	bool alone; /* the running stream runs alone */
	int64_t batch_paused_until_ms,
		next_pause_ms; /* no other batch until then, for a stream alone */
	owner_waiter_t *queue; /* sorted by turn */
	unsigned nqueue, queue_cap;
	owner_step_t step;
	owner_peak_t peak;
	double service_ms; /* mean time that a stream holds its slot */
	double first_token_ms; /* mean time from start to first token */
	double cancel_ms; /* mean time from a cancel to the stream's end */
	uint64_t preempted, refused, started, ended;
};

/** Where a stream would stand in the queue; *turn gets its place in the order. */
unsigned owner_queue_position(const owner_t *w, const owner_stream_t *s, int64_t *turn);
void owner_queue_insert(owner_t *w, const owner_stream_t *s);
void owner_queue_remove(owner_t *w, unsigned at);
/** Index of the waiting stream, or -1. */
int owner_queue_find(const owner_t *w, uint64_t id);

void owner_capacity_init(owner_t *w, int64_t now_ms);
void owner_capacity_arrival(owner_t *w, int64_t now_ms);
void owner_capacity_step(owner_t *w, int64_t step_us);
void owner_capacity_ended(owner_t *w, const owner_run_t *r, int64_t now_ms);
void owner_capacity_first_token(owner_t *w, const owner_run_t *r, int64_t now_ms);
/** Closes the window of time between tokens when it is over. */
void owner_capacity_tick(owner_t *w, int64_t now_ms);
/** Time until the stream at this place of the queue starts, by the measured drain rate. */
int64_t owner_capacity_wait_ms(const owner_t *w, unsigned place);
/** Can a stream at this place of the queue give its first token by then? */
bool owner_capacity_meets_deadline(const owner_t *w, unsigned place, deadline_t deadline,
				   int64_t now_ms);
int64_t owner_capacity_retry_ms(const owner_t *w, unsigned place);
/** May a stream that runs alone start? If not, other batch holds off for a while. */
bool owner_capacity_admit_alone(owner_t *w, int64_t now_ms);
/** Batch streams that may start. */
unsigned owner_capacity_batch(const owner_t *w, int64_t now_ms);

#endif
