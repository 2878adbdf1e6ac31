/** A small emulator of a model engine that batches continuously. */
#ifndef AUBURN_FK_ENGINE_H
#define AUBURN_FK_ENGINE_H

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
} fk_settings_t;

/* Prefix cache, fk_engine_cache.c. */

#define FK_MAX_PREFIXES 4096
#define FK_CACHE_EVENTS 4096

typedef struct {
	int64_t at_ms;
	uint64_t prefix;
	bool added;
	bool lost; /* never shown */
} fk_cache_event_t;

/** Least recently used prefixes; one that is known needs no prefill. */
typedef struct {
	uint64_t prefix[FK_MAX_PREFIXES]; /* most recently used first */
	size_t n;
	size_t max;
	fk_cache_event_t
		events[FK_CACHE_EVENTS]; /* ring; that of seq is at seq % FK_CACHE_EVENTS */
	int64_t last; /* newest seq; the first is 1 */
	int64_t gap_percent;
	unsigned seed;
} fk_cache_t;

/** Uses a prefix; tells whether it was known. */
bool fk_cache_use(fk_cache_t *c, uint64_t prefix);
/** Events after seq that are lag_ms old, without the lost ones. */
json_t *fk_cache_events(const fk_cache_t *c, int64_t after, int64_t lag_ms);
json_t *fk_cache_list(const fk_cache_t *c);

/* Load reports, fk_engine_report.c. */

#define FK_SAMPLES 4096

typedef struct {
	int64_t at_ms;
	int64_t running;
	int64_t waiting;
	int64_t step_us;
} fk_sample_t;

typedef struct {
	fk_sample_t sample[FK_SAMPLES];
	uint64_t n;
} fk_report_t;

void fk_report_add(fk_report_t *r, const fk_sample_t *s);
/** What held lag_ms ago. */
fk_sample_t fk_report_at(const fk_report_t *r, int64_t lag_ms);

/* Orders, fk_engine_orders.c. */

typedef struct {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	const fk_settings_t *settings;
	int64_t fence; /* highest seen */
	char *role;
	json_t *loaded;
	json_t *loading; /* in order; a thread works on the first */
	int64_t loads_total;
} fk_orders_t;

void fk_orders_init(fk_orders_t *o, const fk_settings_t *s);
/** Notes a fencing number, -1 for none; false when it is old and fencing is on. */
bool fk_orders_pass(fk_orders_t *o, int64_t fence);
int64_t fk_orders_fence(fk_orders_t *o);
/** Puts a load into the queue. */
void fk_orders_load(fk_orders_t *o, const char *model, const char *version, const char *adapter);
void fk_orders_role(fk_orders_t *o, const char *role);
json_t *fk_orders_state(fk_orders_t *o);

/* Streams and steps, fk_engine.c. */

typedef struct fk_engine fk_engine_t;
typedef struct fk_stream fk_stream_t;

/** What goes wrong from now on; each number but late_ms counts streams still to be hit. */
typedef struct {
	int64_t stall;
	int64_t cross;
	int64_t lose;
	int64_t late_ms;
	deadline_t frozen_until;
} fk_faults_t;

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
} fk_counts_t;

struct fk_engine {
	fk_settings_t settings;
	pthread_mutex_t lock; /* guards all but settings and orders */
	pthread_cond_t work;
	fk_stream_t *running;
	fk_stream_t *waiting; /* first come, first admitted */
	int64_t running_n;
	int64_t waiting_n;
	int64_t step_us;
	fk_cache_t cache;
	fk_report_t report;
	fk_faults_t faults;
	fk_counts_t counts;
	fk_orders_t orders;
};

typedef struct {
	str_t id;
	str_t prompt;
	int64_t resume_from;
	int64_t max_tokens;
	int socket; /* watched for the client's end; -1: unknown */
} fk_stream_options_t;

/** Sets all up and starts the step thread. */
void fk_engine_start(fk_engine_t *e);
/** Queues a stream. */
fk_stream_t *fk_stream_new(fk_engine_t *e, const fk_stream_options_t *o);
/** Blocks for the next bytes; 0: ended whole, -1: broken off. */
long fk_stream_read(fk_stream_t *s, char *out, size_t max);
/** Takes the stream off the engine; one that has not ended counts as cancelled. */
void fk_stream_free(fk_stream_t *s);
/** Breaks off all streams of a request; tells whether there was one. */
bool fk_engine_cancel(fk_engine_t *e, str_t id);

#endif
