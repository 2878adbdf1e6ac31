/** Exchange of load between entries: each tells the others about the replicas that it owns. */
#ifndef AUBURN_LX_H
#define AUBURN_LX_H

#include "entry/en.h"

/** Listens for the others' reports and starts to send own ones. */
status_t lx_start(en_t *en);

#endif
