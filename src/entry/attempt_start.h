/** Starts an attempt on a chosen replica: in this entry if it dispatches to the replica, else by
 * HTTP at the replica's owner. */
#ifndef AUBURN_ATTEMPT_START_H
#define AUBURN_ATTEMPT_START_H

#include "entry/entry.h"
#include "entry/attempt.h"
#include "entry/upstream.h"

/** What a started attempt holds until attempt_release. */
typedef struct {
	local_replica_t *replica; /* a reference; NULL if the attempt was refused or runs at
				   * another entry */
	uint64_t stream_id;
} attempt_handle_t;

/** Starts the attempt. sink->on_end is called exactly once, possibly before attempt_start returns.
 * The caller releases *out with attempt_release. */
void attempt_start(entry_ctx_t *en, const upstream_choice_t *choice, const attempt_params_t *params,
		   const attempt_sink_t *sink, attempt_handle_t *out);
void attempt_release(attempt_handle_t *h);

/** Writes the body of POST /internal/v1/run. */
void attempt_write_params(buf_t *out, const entry_ctx_t *en, const char *upstream, uint64_t fence,
			  const attempt_params_t *params);

#endif
