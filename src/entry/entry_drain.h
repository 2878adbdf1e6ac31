/** Planned stop of the entry. */
#ifndef AUBURN_ENTRY_DRAIN_H
#define AUBURN_ENTRY_DRAIN_H

#include "entry/entry.h"

/** Keeps serving until the addresses that callers have cached expire and the control has given the
 * replicas to other entries. Then refuses new completions and plain calls, cancels the running
 * batch items and waits until all running work has ended. Each wait has a time limit. */
void entry_drain(entry_ctx_t *en);

#endif
