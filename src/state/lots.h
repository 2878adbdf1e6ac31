/**
 * State machine of batch lots, part of group 0. A lot is accepted whole, its items are run in any
 * order and listed in the order in which they were finished. Pure: no clock, no I/O.
 *
 * What runs where isn't kept here: an item may run more than once, so its leases are soft state of
 * the leader. Opening a lot that stands is STATUS_OK and changes nothing. A result for an item that
 * is listed, or of a lot that has ended, is passed over: the first one stands. An end may come
 * before the opening of its lot, which may be under way at a leader that was lost: it is kept for a
 * while, and a lot that is opened then has ended already.
 */
#ifndef AUBURN_LOTS_H
#define AUBURN_LOTS_H

#include <uthash.h>
#include "proto/wire.h"

typedef enum { LOT_ITEM_OPEN, LOT_ITEM_DONE, LOT_ITEM_DEAD } lot_item_state_t;

typedef struct {
	char *id;
	char *path;
	char *headers;
	char *data; /* the body while open, the text once done; counted by data_n */
	uint32_t headers_n;
	uint32_t data_n;
	uint32_t tokens;
	char *partial_text; /* while open: text of the events made so far, counted by made_n */
	uint32_t partial_n;
	uint32_t partial_events; /* that made holds */
	lot_item_state_t state;
} lot_item_t;

typedef struct lo_lot {
	char *id;
	char *route;
	char *host;
	uint64_t serial; /* grows with each lot accepted */
	int64_t due_wall_ms;
	int64_t drop_wall_ms;
	int64_t forget_wall_ms;
	uint32_t nitems;
	uint32_t nfinished;
	lot_item_t *items;
	uint32_t *finished; /* items in the order in which they were finished */
	bool ended; /* its client wants no more of it */
	UT_hash_handle hh; /* in order of acceptance */
} lot_t;

typedef struct lo lots_t;

lots_t *lots_new(void);
void lots_free(lots_t *l);
/** res->opened gets a status for each open: STATUS_OK, or STATUS_LIMIT when the quota has no room.
 */
void lots_apply_cmd(lots_t *l, const wire_lots_cmd_t *cmd, wire_fleet_res_t *res);
void lots_snapshot(const lots_t *l, buf_t *out);
/** Bytes of bodies, texts and what names them, about those of a snapshot. */
size_t lots_bytes(const lots_t *l);
/** What lots_bytes grows to when all open items are done, with texts as long as those so far. */
size_t lots_bytes_expected(const lots_t *l);
/** Replaces the state; STATUS_CORRUPT leaves it as it was. */
status_t lots_restore(lots_t *l, str_t snap);

const lot_t *lots_find(const lots_t *l, str_t id);
/** The oldest lot, then on by hh.next. */
const lot_t *lots_first(const lots_t *l);
/** Index of the item with this id, or -1. */
long lot_find_item(const lot_t *lot, str_t id);
/** Tokens of open items of lots that haven't ended. */
uint64_t lots_waiting_tokens(const lots_t *l, str_t route);

#endif
