/** Table of lots by the id that their callers gave, which lots of different owners may share. */
#ifndef AUBURN_LOT_NAMESAKES_H
#define AUBURN_LOT_NAMESAKES_H

#include "state/lots.h"

/** A table; NULL is an empty one. */
typedef struct lot_namesakes lot_namesakes_t;

/** Adds a lot, behind the others with its id. */
void lot_namesakes_add(lot_namesakes_t **table, lot_t *lot);
/** Removes a lot that the table has. */
void lot_namesakes_remove(lot_namesakes_t **table, lot_t *lot);
/** Returns the first of the lots with this id, linked by next_namesake; NULL if there is none. */
lot_t *lot_namesakes_find(const lot_namesakes_t *table, str_t id);

#endif
