/**
 * The control thread: beats to the control leader, keeps the session and the lease, fetches newer
 * texts and views and publishes them. It alone changes the entry's control state.
 */
#ifndef AUBURN_HEARTBEAT_H
#define AUBURN_HEARTBEAT_H

#include "entry/entry.h"

void heartbeat_start(entry_ctx_t *en);

#endif
