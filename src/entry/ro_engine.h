/** A stream on an engine: its request, its events checked against the attempt, its cancel. */
#ifndef AUBURN_RO_ENGINE_H
#define AUBURN_RO_ENGINE_H

#include <uthash.h>
#include "base/tr.h"
#include "entry/ec.h"
#include "entry/rn.h"

#define RO_ATTEMPT_BYTES 48

typedef struct ro_stream {
	uint64_t id;
	char attempt[RO_ATTEMPT_BYTES]; /* request_id at the engine */
	ow_class_t cls;
	unsigned max_tokens;
	unsigned next_index;
	char *key;
	char *model;
	char *prompt;
	size_t prompt_n;
	rn_sink_t sink;
	tr_span_t span;
	bool started;
	bool unstartable;
	bool stopping; /* a cancel was sent to the engine; guarded by the replica's lock */
	rn_kind_t stop_kind;
	int after_stop; /* tokens that came after that */
	bool broken; /* broken off: the engine's answer was wrong */
	rn_kind_t broken_kind;
	bool finished; /* [DONE] came after the last token */
	rn_kind_t kind; /* how it ended */
	int64_t retry_after_ms;
	int64_t last_token_us;
	buf_t message;
	void *ctx;
	void (*token)(void *ctx, struct ro_stream *s, unsigned index, str_t text);
	void (*end)(void *ctx, struct ro_stream *s, rn_kind_t kind);
	UT_hash_handle hh;
	struct ro_stream *next;
	struct ro_stream *prev;
} ro_stream_t;

typedef struct {
	ec_t *ec;
	const char *addr;
	uint64_t fence;
	int64_t stall_ms;
	int64_t first_ms; /* bound on the wait for the first token; 0 = stall_ms */
	void *ctx;
	/** Each token once, in order, on the HTTP client's thread. */
	void (*token)(void *ctx, ro_stream_t *s, unsigned index, str_t text);
	/** Once, on the same thread. */
	void (*end)(void *ctx, ro_stream_t *s, rn_kind_t kind);
} ro_engine_options_t;

ro_stream_t *ro_stream_new(uint64_t id, const rn_work_t *w, const rn_sink_t *sink);
void ro_stream_free(ro_stream_t *s);
void ro_engine_start(const ro_engine_options_t *o, ro_stream_t *s);
/** Asks the engine to cancel the stream, which it answers by closing the stream's connection. */
void ro_engine_cancel(ec_t *ec, const char *addr, const ro_stream_t *s);

#endif
