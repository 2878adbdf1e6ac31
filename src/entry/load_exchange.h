/** Load reports between entries: each entry sends all others the load of the replicas that it
 * dispatches to. */
#ifndef AUBURN_LOAD_EXCHANGE_H
#define AUBURN_LOAD_EXCHANGE_H

#include "entry/entry.h"

/** Starts the RPC server for load reports and the threads that send them. */
status_t load_exchange_start(entry_ctx_t *en);

#endif
