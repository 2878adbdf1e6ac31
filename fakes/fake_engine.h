/** A small emulator of a model engine that batches continuously. */
#ifndef AUBURN_FAKE_ENGINE_H
#define AUBURN_FAKE_ENGINE_H

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include "base/clock.h"
#include "base/str.h"

typedef struct {
	char *listen;
	char *name;
	char *weight_store; /* base URL; empty: orders load without one */
	int64_t slots;
	int64_t step_base_us;
	int64_t step_per_stream_us;
	int64_t prefill_us_per_token;
	int64_t cache_prefixes;
	int64_t prefix_bytes;
	int64_t report_lag_ms;
	int64_t event_lag_ms;
	int64_t event_gap_percent;
	int64_t load_ms;
	int64_t seed;
	bool fencing; /* false: old fencing numbers are ignored */
} fake_engine_settings_t;

/* Prefix cache, fake_engine_cache.c. */

#define FAKE_CACHE_MAX_PREFIXES 4096
#define FAKE_CACHE_EVENTS	4096

typedef struct {
	int64_t at_ms;
	uint64_t prefix;
	bool added;
	bool dropped; /* never shown */
} fake_cache_event_t;

/** Least recently used prefixes; one that is known needs no prefill. */
typedef struct {
	uint64_t prefix[FAKE_CACHE_MAX_PREFIXES]; /* most recently used first */
	size_t n;
	size_t capacity;
	fake_cache_event_t
		events[FAKE_CACHE_EVENTS]; /* ring; that of seq is at seq % FAKE_CACHE_EVENTS */
	int64_t last_seq; /* newest seq; the first is 1 */
	int64_t gap_percent;
	unsigned seed;
} fake_cache_t;

/** Uses a prefix; tells whether it was known. */
bool fake_cache_use(fake_cache_t *c, uint64_t prefix);
/** Events after seq that are lag_ms old, without the lost ones. */
json_t *fake_cache_events_json(const fake_cache_t *c, int64_t after, int64_t lag_ms);
json_t *fake_cache_json(const fake_cache_t *c);

/* Load reports, fake_engine_report.c. */

#define FAKE_REPORT_SAMPLES 4096

typedef struct {
	int64_t at_ms;
	int64_t running;
	int64_t waiting;
	int64_t step_us;
} fake_report_sample_t;

typedef struct {
	fake_report_sample_t sample[FAKE_REPORT_SAMPLES];
	uint64_t n;
} fake_report_t;

void fake_report_add(fake_report_t *r, const fake_report_sample_t *s);
/** What held lag_ms ago. */
fake_report_sample_t fake_report_at(const fake_report_t *r, int64_t lag_ms);

/* Orders, fake_engine_orders.c. */

typedef struct {
	pthread_mutex_t lock;
	pthread_cond_t load_queued;
	const fake_engine_settings_t *settings;
	int64_t fence; /* highest seen */
	char *role;
	json_t *loaded;
	json_t *load_queue; /* in order; a thread works on the first */
	int64_t loads_total;
} fake_orders_t;

void fake_orders_init(fake_orders_t *o, const fake_engine_settings_t *s);
/** Notes a fencing number, -1 for none; false when it is old and fencing is on. */
bool fake_orders_check_fence(fake_orders_t *o, int64_t fence);
int64_t fake_orders_fence(fake_orders_t *o);
/** Puts a load into the queue. */
void fake_orders_queue_load(fake_orders_t *o, const char *model, const char *version,
			    const char *adapter);
void fake_orders_set_role(fake_orders_t *o, const char *role);
json_t *fake_orders_json(fake_orders_t *o);

/* Streams and steps, fake_engine.c. */

typedef struct fake_engine fake_engine_t;
typedef struct fake_stream fake_stream_t;

/** What goes wrong from now on; each number but late_ms counts streams still to be hit. */
typedef struct {
	int64_t stall;
	int64_t cross;
	int64_t lose;
	int64_t late_ms;
	deadline_t frozen_until;
} fake_faults_t;

typedef struct {
	int64_t started;
	int64_t finished;
	int64_t cancelled;
	int64_t max_running;
	int64_t max_waiting;
	int64_t tokens;
	int64_t prefill_tokens;
	int64_t prefix_hits;
	json_t *by_request; /* starts by request id */
} fake_counts_t;

struct fake_engine {
	fake_engine_settings_t settings;
	pthread_mutex_t lock; /* guards all but settings and orders */
	pthread_cond_t work_queued;
	fake_stream_t *running;
	fake_stream_t *waiting; /* first come, first admitted */
	int64_t running_n;
	int64_t waiting_n;
	int64_t step_us;
	fake_cache_t cache;
	fake_report_t report;
	fake_faults_t faults;
	fake_counts_t counts;
	fake_orders_t orders;
};

typedef struct {
	str_t id;
	str_t prompt;
	int64_t resume_from;
	int64_t max_tokens;
	int socket; /* watched for the client's end; -1: unknown */
} fake_stream_options_t;

/** Sets all up and starts the step thread. */
void fake_engine_start(fake_engine_t *e);
/** Queues a stream. */
fake_stream_t *fake_stream_new(fake_engine_t *e, const fake_stream_options_t *o);
/** Blocks for the next bytes; 0: ended whole, -1: broken off. */
long fake_stream_read(fake_stream_t *s, char *out, size_t max);
/** Takes the stream off the engine; one that has not ended counts as cancelled. */
void fake_stream_free(fake_stream_t *s);
/** Breaks off all streams of a request; tells whether there was one. */
bool fake_engine_cancel(fake_engine_t *e, str_t id);

#endif
