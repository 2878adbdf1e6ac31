/**
 * The control thread: sends heartbeats to the leading control process, renews the session and the
 * lease, and fetches newer configs and views. Only this thread publishes to entry_snapshot.h.
 */
#ifndef AUBURN_HEARTBEAT_H
#define AUBURN_HEARTBEAT_H

#include "entry/entry.h"

/** Starts the control thread, and a thread that calls local_replica_tick for each local replica. */
void heartbeat_start(entry_ctx_t *en);

#endif
