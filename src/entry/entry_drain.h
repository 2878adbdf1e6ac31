/** Planned stop of the entry. */
#ifndef AUBURN_ENTRY_DRAIN_H
#define AUBURN_ENTRY_DRAIN_H

#include "entry/entry.h"

/** Keeps serving until the addresses that callers have cached expire and the control has given the
 * replicas to other entries; then refuses new completions and plain calls, and waits until the
 * running work has ended. Each wait has a time limit. */
void entry_drain(entry_ctx_t *en);

#endif
