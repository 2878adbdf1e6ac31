/** Planned stop of the entry. */
#ifndef AUBURN_ENTRY_DRAIN_H
#define AUBURN_ENTRY_DRAIN_H

#include "entry/entry.h"

/** Serves on until callers have switched to other entries and running work has ended, within time
 * limits. */
void entry_drain(entry_ctx_t *en);

#endif
