/** Fake of one replica of a model engine with continuous batching. Streams run in slots; each step
 * gives every running stream one token. */
#ifndef AUBURN_FAKE_ENGINE_H
#define AUBURN_FAKE_ENGINE_H

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include "base/clock.h"
#include "base/str.h"

typedef struct {
	char *listen; /* ip:port */
	char *name; /* accepted in the settings, not used */
	char *weight_store; /* base URL; if empty, model loads fetch no weights */
	int64_t slots; /* streams that run at the same time */
	/* duration of a step: base + running streams * per_stream + prefilled tokens * prefill */
	int64_t step_base_us;
	int64_t step_per_stream_us;
	int64_t prefill_us_per_token;
	int64_t cache_prefixes; /* capacity of the prefix cache */
	int64_t prefix_bytes; /* the part of a prompt that the prefix cache stores */
	int64_t report_lag_ms; /* age of the load in load reports */
	int64_t event_lag_ms; /* delay of cache events */
	int64_t event_gap_percent; /* share of cache events that are lost */
	int64_t load_ms; /* duration of a model load, besides fetching the weights */
	int64_t seed; /* selects the lost cache events */
	bool fencing; /* false: requests with an old fencing token are accepted */
} fake_engine_settings_t;

/* Prefix cache, fake_engine_cache.c. */

#define FAKE_CACHE_MAX_PREFIXES 4096
#define FAKE_CACHE_EVENTS	4096

typedef struct {
	int64_t at_ms;
	uint64_t prefix;
	bool added;
	bool dropped; /* lost: never reported */
} fake_cache_event_t;

/** LRU cache of prompt prefixes, by hash. A cached prefix needs no prefill. */
typedef struct {
	uint64_t prefix[FAKE_CACHE_MAX_PREFIXES]; /* most recently used first */
	size_t n;
	size_t capacity;
	/* ring buffer; event number seq is at seq % FAKE_CACHE_EVENTS */
	fake_cache_event_t events[FAKE_CACHE_EVENTS];
	int64_t last_seq; /* of the newest event; the first has 1 */
	int64_t gap_percent;
	unsigned seed;
} fake_cache_t;

/** Looks up a prefix and caches it if missing; returns true if it was cached. */
bool fake_cache_use(fake_cache_t *c, uint64_t prefix);
/** Returns the body of GET /v1/cache_events: the events after number `after` that are at least
 * lag_ms old, without the lost ones. */
json_t *fake_cache_events_json(const fake_cache_t *c, int64_t after, int64_t lag_ms);
/** Returns the body of GET /v1/cache: the cached prefixes and the number of the last event. */
json_t *fake_cache_json(const fake_cache_t *c);

/* Load reports, fake_engine_report.c. */

#define FAKE_REPORT_SAMPLES 4096

typedef struct {
	int64_t at_ms;
	int64_t running;
	int64_t waiting;
	int64_t step_us;
} fake_report_sample_t;

/** Ring buffer of load samples. */
typedef struct {
	fake_report_sample_t sample[FAKE_REPORT_SAMPLES];
	uint64_t n;
} fake_report_t;

void fake_report_add(fake_report_t *r, const fake_report_sample_t *s);
/** Returns the load of lag_ms ago, or the oldest sample. */
fake_report_sample_t fake_report_at(const fake_report_t *r, int64_t lag_ms);

/* Orders (model loads and roles) and the fencing token, fake_engine_orders.c. */

typedef struct {
	pthread_mutex_t lock;
	pthread_cond_t load_queued;
	const fake_engine_settings_t *settings;
	int64_t fence; /* highest fencing token received */
	char *role;
	json_t *loaded;
	json_t *load_queue; /* in order of arrival; a thread runs the first */
	int64_t loads_total; /* orders to load, queued ones included */
} fake_orders_t;

void fake_orders_init(fake_orders_t *o, const fake_engine_settings_t *s);
/** Records a fencing token, -1 for none; returns false if it is old and fencing is enabled. */
bool fake_orders_check_fence(fake_orders_t *o, int64_t fence);
/** Returns the highest fencing token received. */
int64_t fake_orders_fence(fake_orders_t *o);
void fake_orders_queue_load(fake_orders_t *o, const char *model, const char *version,
			    const char *adapter);
void fake_orders_set_role(fake_orders_t *o, const char *role);
/** Returns the body of GET /v1/state. */
json_t *fake_orders_json(fake_orders_t *o);

/* Streams and steps, fake_engine_streams.c. */

typedef struct fake_engine fake_engine_t;
typedef struct fake_stream fake_stream_t;

/** Injected faults. The counters say how many of the next streams are affected. */
typedef struct {
	int64_t stall; /* streams that stop after a few tokens but stay open */
	int64_t cross; /* streams whose events carry another request's id */
	int64_t lose; /* streams whose connection is closed after a few tokens */
	int64_t late_ms; /* delay of each stream's first token after its admission */
	deadline_t frozen_until; /* no steps until then */
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
	json_t *by_request; /* number of starts by request id */
} fake_counts_t;

struct fake_engine {
	fake_engine_settings_t settings;
	pthread_mutex_t lock; /* guards everything but settings and orders */
	pthread_cond_t work_queued;
	fake_stream_t *running;
	fake_stream_t *waiting; /* FIFO */
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
	int64_t resume_from; /* index of the first token to send */
	int64_t max_tokens; /* end index, counted from the start of the answer */
	int socket; /* of the client, to detect that it disconnects; -1: unknown */
} fake_stream_options_t;

/** Initializes the engine from its settings and starts the step thread. */
void fake_engine_start(fake_engine_t *e);
/** Creates a stream and queues it for a slot. */
fake_stream_t *fake_stream_new(fake_engine_t *e, const fake_stream_options_t *o);
/** Waits for the next bytes of the event stream and returns their number; 0 after the last, -1 if
 * the stream was aborted or its client disconnected. */
long fake_stream_read(fake_stream_t *s, char *out, size_t max);
/** Removes the stream from the engine; if it has not ended, it counts as cancelled. */
void fake_stream_free(fake_stream_t *s);
/** Aborts all streams of a request; returns true if there was one. */
bool fake_engine_cancel(fake_engine_t *e, str_t id);

#endif
