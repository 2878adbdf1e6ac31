/** Shared by the files that read the operators' config. */
#ifndef AUBURN_CONFIG_INTERNAL_H
#define AUBURN_CONFIG_INTERNAL_H

#include "base/toml.h"
#include "state/config.h"

/** Reads the [[route]] tables into cfg->routes; the services must have been read. */
status_t config_read_routes(const toml_doc_t *doc, config_t *cfg);

#endif
