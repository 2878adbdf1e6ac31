/** The planned stop: serves on until callers have gone elsewhere and what runs has ended. */
#ifndef AUBURN_EN_DRAIN_H
#define AUBURN_EN_DRAIN_H

#include "entry/en.h"

void en_drain(en_t *en);

#endif
