/** Exchange of load between entries: each tells the others about the replicas that it owns. */
#ifndef AUBURN_LOAD_EXCHANGE_H
#define AUBURN_LOAD_EXCHANGE_H

#include "entry/entry.h"

/** Listens for the others' reports and starts to send own ones. */
status_t load_exchange_start(entry_ctx_t *en);

#endif
