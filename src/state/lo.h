/**
 * State machine of batch lots, part of group 0. A lot is accepted whole, its items are run in any
 * order and listed in the order in which they were finished. Pure: no clock, no I/O.
 *
 * What runs where isn't kept here: an item may run more than once, so its leases are soft state of
 * the leader. Opening a lot that stands is ST_OK and changes nothing. A result for an item that is
 * listed, or of a lot that has ended, is passed over: the first one stands. An end may come before
 * the opening of its lot, which may be under way at a leader that was lost: it is kept for a while,
 * and a lot that is opened then has ended already.
 */
#ifndef AUBURN_LO_H
#define AUBURN_LO_H

#include <uthash.h>
#include "proto/px.h"

typedef enum { LO_OPEN, LO_DONE, LO_DEAD } lo_state_t;

typedef struct {
	char *id;
	char *path;
	char *headers;
	char *data; /* the body while open, the text once done; counted by data_n */
	uint32_t headers_n;
	uint32_t data_n;
	uint32_t tokens;
	char *made; /* while open: text of the events made so far, counted by made_n */
	uint32_t made_n;
	uint32_t events; /* that made holds */
	lo_state_t state;
} lo_item_t;

typedef struct lo_lot {
	char *id;
	char *route;
	char *host;
	uint64_t serial; /* grows with each lot accepted */
	int64_t due_wall_ms;
	int64_t drop_wall_ms;
	int64_t forget_wall_ms;
	uint32_t nitems;
	uint32_t nlisted;
	lo_item_t *items;
	uint32_t *listed; /* items in the order in which they were finished */
	bool ended; /* its client wants no more of it */
	UT_hash_handle hh; /* in order of acceptance */
} lo_lot_t;

typedef struct lo lo_t;

lo_t *lo_new(void);
void lo_free(lo_t *l);
/** res->opened gets a status for each open: ST_OK, or ST_LIMIT when the quota has no room. */
void lo_apply(lo_t *l, const aw_lots_cmd_t *cmd, aw_fleet_res_t *res);
void lo_snapshot(const lo_t *l, buf_t *out);
/** Bytes of bodies, texts and what names them, about those of a snapshot. */
size_t lo_bytes(const lo_t *l);
/** What lo_bytes grows to when all open items are done, with texts as long as those so far. */
size_t lo_bytes_expected(const lo_t *l);
/** Replaces the state; ST_CORRUPT leaves it as it was. */
status_t lo_restore(lo_t *l, str_t snap);

const lo_lot_t *lo_find(const lo_t *l, str_t id);
/** The oldest lot, then on by hh.next. */
const lo_lot_t *lo_first(const lo_t *l);
/** Index of the item with this id, or -1. */
long lo_item(const lo_lot_t *lot, str_t id);
/** Tokens of open items of lots that haven't ended. */
uint64_t lo_waiting(const lo_t *l, str_t route);

#endif
