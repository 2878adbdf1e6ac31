/** Dispatch of one attempt to a chosen replica: into its queue here, or to its owner by HTTP. */
#ifndef AUBURN_ATTEMPT_START_H
#define AUBURN_ATTEMPT_START_H

#include "entry/entry.h"
#include "entry/attempt.h"
#include "entry/upstream.h"

typedef struct {
	local_replica_t *replica; /* a reference, when it runs here */
	uint64_t stream_id;
} attempt_handle_t;

/** Begins the attempt; the sink's end is called once in every case, maybe before the return.
 *  The handle is given back with attempt_release. */
void attempt_start(entry_ctx_t *en, const upstream_choice_t *choice, const attempt_params_t *params,
		   const attempt_sink_t *sink, attempt_handle_t *out);
void attempt_release(attempt_handle_t *h);

/** The JSON that owners exchange. */
void attempt_write_params(buf_t *out, const entry_ctx_t *en, const char *upstream, uint64_t fence,
			  const attempt_params_t *params);

#endif
