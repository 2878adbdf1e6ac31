/** Dispatch of one attempt to a chosen replica: into its queue here, or to its owner by HTTP. */
#ifndef AUBURN_DP_H
#define AUBURN_DP_H

#include "entry/en.h"
#include "entry/rn.h"
#include "entry/up.h"

typedef struct {
	ro_t *ro; /* a reference, when it runs here */
	uint64_t id;
} dp_handle_t;

/** Begins the attempt; the sink's end is called once in every case, maybe before the return.
 *  The handle is given back with dp_release. */
void dp_start(en_t *en, const up_choice_t *choice, const rn_work_t *w, const rn_sink_t *sink,
	      dp_handle_t *out);
void dp_release(dp_handle_t *h);

/** The JSON that owners exchange. */
void dp_write_work(buf_t *out, const en_t *en, const char *upstream, uint64_t fence,
		   const rn_work_t *w);

#endif
