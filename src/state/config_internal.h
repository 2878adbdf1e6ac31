/** What the files of the operators' text share. */
#ifndef AUBURN_CONFIG_INTERNAL_H
#define AUBURN_CONFIG_INTERNAL_H

#include "base/toml.h"
#include "state/config.h"

/** Reads the [[route]] tables into t->routes, once the services are read. */
status_t config_read_routes(const toml_doc_t *c, config_t *t);

#endif
