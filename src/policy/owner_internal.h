/** Internals of the owner, shared by owner*.c. */
#ifndef AUBURN_OWNER_INTERNAL_H
#define AUBURN_OWNER_INTERNAL_H

#include "policy/owner.h"

/** Number of the latest step times of a window that are kept. */
#define OWNER_STEP_SAMPLES 1024

/** A stream that runs on the replica. */
typedef struct {
	uint64_t id;
	owner_class_t cls;
	bool alone;
	bool cancelling; /* cancelled, its end not reported yet */
	bool had_token;
	int64_t started_ms;
	int64_t cancelled_ms;
} owner_run_t;

/** An online stream in the queue. */
typedef struct {
	owner_stream_t stream;
	int64_t virtual_deadline; /* sort key: the stream's deadline, or a later time if its caller
				     has other streams in the queue */
} owner_waiter_t;

/** Recent step times, and the limit on batch streams derived from them. A step time is the time
 * between two tokens of a stream. */
typedef struct {
	int64_t sample_us[OWNER_STEP_SAMPLES]; /* ring buffer */
	unsigned samples; /* number of step times in the current window */
	int64_t window_ends_ms;
	int64_t p95_us; /* 95th percentile in the last complete window, 0 if it was empty */
	double batch_cap; /* maximum number of running batch streams, with those being cancelled */
} owner_step_t;

/** Peak of online arrivals, by which OWNER_RESERVE_PEAK reserves slots. */
typedef struct {
	int64_t slice_ends_ms;
	unsigned slice_arrivals; /* arrivals in the current time slice */
	double peak; /* largest number of arrivals in a slice, decaying over time */
} owner_peak_t;

struct owner {
	owner_options_t options;
	bool closed;
	owner_run_t *runs; /* oldest first */
	unsigned nrun, run_cap;
	unsigned run_limit; /* upper bound of nrun: options.slots, or more while streams run that
			       were started before options.slots was reduced */
	unsigned nonline, ncancelling; /* of nrun */
	bool alone; /* the only running stream has `alone` set */
	int64_t batch_paused_until_ms; /* so that the replica becomes idle for an `alone` stream */
	int64_t next_pause_ms; /* no such pause begins before this time */
	owner_waiter_t *queue; /* sorted by virtual_deadline */
	unsigned nqueue, queue_cap;
	owner_step_t step;
	owner_peak_t peak;
	double service_ms; /* mean time that a stream holds its slot unless it is cancelled */
	double first_token_ms; /* mean time from start to first token */
	double cancel_ms; /* mean time from a cancel to the end of the stream */
	uint64_t preempted, refused, started, ended;
};

/** Index in the queue at which a stream would be inserted; sets *virtual_deadline, its sort key. */
unsigned owner_queue_position(const owner_t *w, const owner_stream_t *s, int64_t *virtual_deadline);
void owner_queue_insert(owner_t *w, const owner_stream_t *s);
void owner_queue_remove(owner_t *w, unsigned at);
/** Index of a queued stream, or -1. */
int owner_queue_find(const owner_t *w, uint64_t id);

void owner_capacity_init(owner_t *w, int64_t now_ms);
/** Counts the arrival of an online stream, for OWNER_RESERVE_PEAK. */
void owner_capacity_arrival(owner_t *w, int64_t now_ms);
/** Records a step time. */
void owner_capacity_step(owner_t *w, int64_t step_us);
/** Records the end of a stream: how long it held its slot or, if cancelled, how long the cancel
 * took. */
void owner_capacity_ended(owner_t *w, const owner_run_t *r, int64_t now_ms);
/** Records the time to the first token of a stream. */
void owner_capacity_first_token(owner_t *w, const owner_run_t *r, int64_t now_ms);
/** Lets the peak of arrivals decay; at the end of a window of step times, recomputes p95_us and
 * batch_cap. */
void owner_capacity_tick(owner_t *w, int64_t now_ms);
/** Estimated time until the stream at this queue position starts, from the measured means. */
int64_t owner_capacity_wait_ms(const owner_t *w, unsigned position);
/** True if the stream at this queue position is expected to give its first token in time. */
bool owner_capacity_meets_deadline(const owner_t *w, unsigned position, deadline_t deadline,
				   int64_t now_ms);
/** Retry-After for a stream refused at this queue position, in ms. */
int64_t owner_capacity_retry_ms(const owner_t *w, unsigned position);
/** True if a stream with `alone` set may start now. If not, may pause other batch streams, so that
 * the replica becomes idle. */
bool owner_capacity_admit_alone(owner_t *w, int64_t now_ms);
/** Number of batch streams that may start now. */
unsigned owner_capacity_batch(const owner_t *w, int64_t now_ms);

#endif
