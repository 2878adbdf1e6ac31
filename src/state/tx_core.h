/** What the files of the operators' text share. */
#ifndef AUBURN_TX_CORE_H
#define AUBURN_TX_CORE_H

#include "base/cf.h"
#include "state/tx.h"

/** Reads the [[route]] tables into t->routes, once the services are read. */
status_t tx_read_routes(const cf_t *c, tx_text_t *t);

#endif
