/**
 * The control thread: beats to the control leader, keeps the session and the lease, fetches newer
 * texts and views and publishes them. It alone changes the entry's control state.
 */
#ifndef AUBURN_BT_H
#define AUBURN_BT_H

#include "entry/en.h"

void bt_start(en_t *en);

#endif
