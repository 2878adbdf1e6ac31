/**
 * State machine of lots, part of group 0. A lot is a batch of items that a client sends to a batch
 * route. It is accepted as a whole; its items run in any order, and `finished` lists them in the
 * order in which they finished. Pure: no clock, no I/O.
 *
 * Which item runs where is not stored here: an item may run more than once, so its leases are soft
 * state of the leader. Opening a lot that exists returns STATUS_OK and changes nothing. A result
 * for an item that has finished, or for a lot that has ended, is ignored: the first result stands.
 * A client ends a lot when it wants no more results. The end may be applied before the opening,
 * which may still be pending at a leader that was lost: the end is stored for some time, and a lot
 * opened in that time has ended already.
 */
#ifndef AUBURN_LOTS_H
#define AUBURN_LOTS_H

#include <uthash.h>
#include "proto/wire.h"
#include "state/lot_id.h"

/** LOT_ITEM_DEAD: given up, without a result. */
typedef enum { LOT_ITEM_OPEN, LOT_ITEM_DONE, LOT_ITEM_DEAD } lot_item_state_t;

typedef struct {
	char *id;
	char *path;
	char *headers;
	char *data; /* body while open, result text once done; length data_n */
	uint32_t headers_n;
	uint32_t data_n;
	uint32_t tokens; /* counted against the route's quota while open */
	char *partial_text; /* while open: text of the events received so far, length partial_n */
	uint32_t partial_n;
	uint32_t partial_events; /* number of events in partial_text */
	lot_item_state_t state;
} lot_item_t;

typedef struct lot {
	char *id;
	char *route; /* what it counts against: route and owner, see lot_account_make */
	char *host;
	uint64_t serial; /* grows with each lot accepted */
	int64_t due_wall_ms; /* all results are due then */
	int64_t drop_wall_ms; /* open items are given up then */
	int64_t forget_wall_ms; /* the lot is removed then */
	uint32_t nitems;
	uint32_t nfinished;
	lot_item_t *items;
	uint32_t *finished; /* indices of items in the order in which they finished */
	bool ended; /* its client wants no more results */
	struct lot *next_namesake; /* a lot of another owner whose caller gave the same id */
	UT_hash_handle hh; /* in order of acceptance */
} lot_t;

typedef struct lots lots_t;

lots_t *lots_new(void);
void lots_free(lots_t *l);
/** Applies one command. Sets res->opened to a status for each opening: STATUS_OK, or STATUS_LIMIT
 * if the quota is exceeded. */
void lots_apply_cmd(lots_t *l, const wire_lots_cmd_t *cmd, wire_fleet_res_t *res);
/** The earliest wall-clock time at which a command gives up items, or removes a lot or an early
 * end, because its time has come; INT64_MAX if there is none. */
int64_t lots_next_expiry(const lots_t *l);
void lots_snapshot(const lots_t *l, buf_t *out);
/** Size of all contents in bytes, an upper bound of the size of a snapshot. */
size_t lots_bytes(const lots_t *l);
/** Estimates lots_bytes once all open items are done: adds the mean length of the results so far
 * for each open item. */
size_t lots_bytes_expected(const lots_t *l);
/** Replaces the state; after STATUS_CORRUPT the old state is unchanged. */
status_t lots_restore(lots_t *l, str_t snap);

/** id: as stored, see lot_id_make. */
const lot_t *lots_find(const lots_t *l, str_t id);
/** Returns the oldest lot whose caller gave this id, whoever owns it; follow next_namesake for the
 * others, in order of acceptance. */
const lot_t *lots_find_namesakes(const lots_t *l, str_t id);
/** Returns the oldest lot; follow hh.next for the others. */
const lot_t *lots_first(const lots_t *l);
/** Returns the index of the item with this id, or -1. */
long lot_find_item(const lot_t *lot, str_t id);
/** Tokens of open items of lots that have not ended, on one route and of one owner. */
uint64_t lots_waiting_tokens(const lots_t *l, str_t account);
/** The same of all owners. */
uint64_t lots_waiting_tokens_of_all(const lots_t *l, str_t route);

#endif
