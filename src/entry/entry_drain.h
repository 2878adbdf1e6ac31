/** The planned stop: serves on until callers have gone elsewhere and what runs has ended. */
#ifndef AUBURN_ENTRY_DRAIN_H
#define AUBURN_ENTRY_DRAIN_H

#include "entry/entry.h"

void entry_drain(entry_ctx_t *en);

#endif
