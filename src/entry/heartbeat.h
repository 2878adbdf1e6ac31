/**
 * The control thread: sends heartbeats to the leading control process, renews the session and the
 * lease, fetches newer configs and views and publishes them. Only this thread changes them.
 */
#ifndef AUBURN_HEARTBEAT_H
#define AUBURN_HEARTBEAT_H

#include "entry/entry.h"

void heartbeat_start(entry_ctx_t *en);

#endif
