/** One stream of tokens from an engine: sends the request, checks that the events belong to the
 * attempt, and sends cancels. */
#ifndef AUBURN_ENGINE_STREAM_H
#define AUBURN_ENGINE_STREAM_H

#include <uthash.h>
#include "base/trace.h"
#include "entry/fetch.h"
#include "entry/attempt.h"

#define ENGINE_STREAM_ID_BYTES 48

typedef struct engine_stream {
	uint64_t id;
	char attempt_id[ENGINE_STREAM_ID_BYTES]; /* sent as request_id */
	owner_class_t cls;
	unsigned max_tokens;
	unsigned next_index; /* index of the next token */
	char *key;
	char *model;
	char *prompt;
	size_t prompt_n;
	attempt_sink_t sink;
	trace_span_t span;
	bool started;
	bool start_denied; /* the entry's lease ended before the start */
	bool cancelling; /* a cancel was sent to the engine; guarded by the replica's lock */
	attempt_outcome_t cancel_outcome; /* outcome if the cancel ends the stream */
	int tokens_after_cancel; /* tokens received after the cancel */
	bool aborted; /* the engine sent a wrong event, so on_engine_event ends the call */
	attempt_outcome_t abort_outcome;
	bool complete; /* [DONE] came after the last token */
	attempt_outcome_t outcome;
	int64_t retry_after_ms;
	int64_t last_token_us;
	buf_t message;
	void *ctx;
	void (*on_token)(void *ctx, struct engine_stream *s, unsigned index, str_t text);
	void (*on_end)(void *ctx, struct engine_stream *s, attempt_outcome_t outcome);
	UT_hash_handle hh;
	struct engine_stream *next;
	struct engine_stream *prev;
} engine_stream_t;

typedef struct {
	fetch_client_t *fetch_client;
	const char *addr;
	uint64_t fence;
	int64_t stall_ms;
	int64_t first_token_timeout_ms; /* 0 = stall_ms */
	void *ctx;
	/** Called for each token in order, on the HTTP client's thread. */
	void (*on_token)(void *ctx, engine_stream_t *s, unsigned index, str_t text);
	/** Called once, on the same thread. */
	void (*on_end)(void *ctx, engine_stream_t *s, attempt_outcome_t outcome);
} engine_stream_options_t;

engine_stream_t *engine_stream_new(uint64_t id, const attempt_params_t *params,
				   const attempt_sink_t *sink);
void engine_stream_free(engine_stream_t *s);
void engine_stream_start(const engine_stream_options_t *o, engine_stream_t *s);
/** Asks the engine to cancel the stream. The engine then closes the stream's connection, which ends
 * the stream. */
void engine_stream_cancel(fetch_client_t *client, const char *addr, const engine_stream_t *s);

#endif
