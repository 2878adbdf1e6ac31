/** Reads the routes of a text, in the product's own format or in the platform's. */
#ifndef AUBURN_RC_H
#define AUBURN_RC_H

#include "state/ru.h"

/** Checks the whole text. The version of a text in the own format is its number. ST_INVALID says
 * what is wrong. */
status_t rc_decode(str_t text, uint64_t number, ru_t **out);

#endif
