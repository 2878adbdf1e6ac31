#include "state/lots.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include "state/lot_namesakes.h"
#include "state/pack.h"

#define SNAPSHOT_MAGIC	 0x4c4fU
#define SNAPSHOT_VERSION 2U
/** Oldest version that can be read; version 1 has no early ends. */
#define SNAPSHOT_OLDEST 1U
/** Time for which an early end is stored; several times the time for which a caller resends an
 * opening. */
#define EARLY_END_MS 60000
/** Maximum number of stored early ends; the oldest is dropped first. */
#define EARLY_ENDS_MAX 8192U
/** Upper bounds of the bytes that numbers and lengths take in a snapshot: for an item and its
 * position in `finished`, for a lot, and for the rest. */
#define ITEM_OVERHEAD_BYTES	64
#define LOT_OVERHEAD_BYTES	96
#define SNAPSHOT_OVERHEAD_BYTES 64
/** Upper bound for an early end, without its id. */
#define EARLY_END_OVERHEAD_BYTES 16

/** Tokens of the open items on one route, counted against its quota. */
typedef struct {
	char *name;
	uint64_t waiting;
	UT_hash_handle hh;
} route_backlog_t;

/** A client's end of a lot that has not been opened yet. */
typedef struct {
	char *id;
	int64_t forget_wall_ms;
	UT_hash_handle hh; /* in order of arrival */
} early_end_t;

struct lots {
	lot_t *lots;
	lot_namesakes_t *namesakes;
	route_backlog_t *backlogs;
	early_end_t *early_ends;
	uint64_t serial;
};

lots_t *lots_new(void)
{
	return mem_new(sizeof(lots_t));
}

static void add_lot(lots_t *l, lot_t *t)
{
	HASH_ADD_KEYPTR(hh, l->lots, t->id, strlen(t->id), t);
	lot_namesakes_add(&l->namesakes, t);
}

static void lot_free(lots_t *l, lot_t *t)
{
	HASH_DEL(l->lots, t);
	lot_namesakes_remove(&l->namesakes, t);
	for (uint32_t i = 0; i < t->nitems; i++) {
		free(t->items[i].id);
		free(t->items[i].path);
		free(t->items[i].headers);
		free(t->items[i].data);
		free(t->items[i].partial_text);
	}
	free(t->items);
	free(t->finished);
	free(t->id);
	free(t->route);
	free(t->host);
	free(t);
}

static void early_end_free(lots_t *l, early_end_t *e)
{
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): the freed element was unlinked */
	HASH_DEL(l->early_ends, e);
	free(e->id);
	free(e);
}

static void free_contents(lots_t *l)
{
	route_backlog_t *r;

	while (l->early_ends)
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): the freed element was unlinked */
		early_end_free(l, l->early_ends);
	while (l->lots)
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): the freed element was unlinked */
		lot_free(l, l->lots);
	while ((r = l->backlogs)) {
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): the freed element was unlinked */
		HASH_DEL(l->backlogs, r);
		free(r->name);
		free(r);
	}
}

void lots_free(lots_t *l)
{
	if (!l)
		return;
	free_contents(l);
	free(l);
}

static lot_t *find_lot(const lots_t *l, str_t id)
{
	lot_t *t;

	HASH_FIND(hh, l->lots, id.p, id.n, t);
	return t;
}

const lot_t *lots_find(const lots_t *l, str_t id)
{
	return find_lot(l, id);
}

const lot_t *lots_find_namesakes(const lots_t *l, str_t id)
{
	return lot_namesakes_find(l->namesakes, id);
}

const lot_t *lots_first(const lots_t *l)
{
	return l->lots;
}

long lot_find_item(const lot_t *lot, str_t id)
{
	for (uint32_t i = 0; i < lot->nitems; i++) {
		if (str_eq(str_c(lot->items[i].id), id))
			return (long)i;
	}
	return -1;
}

/* Returns the backlog of a route, created if needed. */
static route_backlog_t *get_route_backlog(lots_t *l, str_t name)
{
	route_backlog_t *r;

	HASH_FIND(hh, l->backlogs, name.p, name.n, r);
	if (r)
		return r;
	r = mem_new(sizeof(*r));
	r->name = str_dup(name);
	HASH_ADD_KEYPTR(hh, l->backlogs, r->name, name.n, r);
	return r;
}

uint64_t lots_waiting_tokens(const lots_t *l, str_t account)
{
	route_backlog_t *r;

	HASH_FIND(hh, l->backlogs, account.p, account.n, r);
	return r ? r->waiting : 0;
}

uint64_t lots_waiting_tokens_of_all(const lots_t *l, str_t route)
{
	uint64_t n = 0;

	for (const route_backlog_t *r = l->backlogs; r; r = r->hh.next) {
		if (str_eq(lot_account_route(str_c(r->name)), route))
			n += r->waiting;
	}
	return n;
}

/* Tokens of the lot's open items. */
static uint64_t open_tokens(const lot_t *t)
{
	uint64_t n = 0;

	for (uint32_t i = 0; i < t->nitems; i++) {
		if (t->items[i].state == LOT_ITEM_OPEN)
			n += t->items[i].tokens;
	}
	return n;
}

/* Replaces the body or result text of an item. */
static void set_data(lot_item_t *it, str_t data)
{
	free(it->data);
	it->data = data.n ? str_dup(data) : NULL;
	it->data_n = (uint32_t)data.n;
}

static void init_item(lot_item_t *it, const wire_lot_item_t *c)
{
	it->id = str_dup(wire_str(c->id));
	it->path = str_dup(wire_str(c->path));
	it->headers = str_dup(wire_str(c->headers));
	it->headers_n = c->headers.wire_bytes_t_len;
	it->tokens = c->tokens;
	set_data(it, wire_str(c->body));
}

static void clear_partial_text(lot_item_t *it)
{
	free(it->partial_text);
	it->partial_text = NULL;
	it->partial_n = 0;
	it->partial_events = 0;
}

/* Marks the lot as ended and drops the bodies of its open items and all partial texts. */
static void mark_ended(lot_t *t)
{
	t->ended = true;
	for (uint32_t i = 0; i < t->nitems; i++) {
		if (t->items[i].state == LOT_ITEM_OPEN)
			set_data(&t->items[i], (str_t){NULL, 0});
		clear_partial_text(&t->items[i]);
	}
}

static early_end_t *find_early_end(const lots_t *l, str_t id)
{
	early_end_t *e;

	HASH_FIND(hh, l->early_ends, id.p, id.n, e);
	return e;
}

static void add_early_end(lots_t *l, str_t id, int64_t forget_wall_ms)
{
	early_end_t *e = find_early_end(l, id);

	if (e)
		return;
	if (HASH_COUNT(l->early_ends) >= EARLY_ENDS_MAX)
		early_end_free(l, l->early_ends);
	e = mem_new(sizeof(*e));
	e->id = str_dup(id);
	e->forget_wall_ms = forget_wall_ms;
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): the freed element was unlinked */
	HASH_ADD_KEYPTR(hh, l->early_ends, e->id, id.n, e);
}

/* Accepts a lot unless it exists or exceeds the quota. If its end is stored, it has ended
 * already. */
static status_t open_lot(lots_t *l, const wire_lot_open_t *c)
{
	early_end_t *ended = find_early_end(l, wire_str(c->lot));
	route_backlog_t *r = get_route_backlog(l, wire_str(c->route));
	uint64_t tokens = 0;
	lot_t *t;

	if (find_lot(l, wire_str(c->lot)))
		return STATUS_OK;
	for (u_int i = 0; i < c->items.items_len; i++)
		tokens += c->items.items_val[i].tokens;
	if (!ended && c->quota && r->waiting + tokens > c->quota)
		return status_fail(STATUS_LIMIT,
				   "quota exceeded: %llu tokens are waiting on the route",
				   (unsigned long long)r->waiting);
	t = mem_new(sizeof(*t));
	t->id = str_dup(wire_str(c->lot));
	t->route = str_dup(wire_str(c->route));
	t->host = str_dup(wire_str(c->host));
	t->serial = ++l->serial;
	t->due_wall_ms = c->due_wall_ms;
	t->drop_wall_ms = c->drop_wall_ms;
	t->forget_wall_ms = c->forget_wall_ms;
	t->nitems = c->items.items_len;
	t->items = mem_new((t->nitems + 1) * sizeof(*t->items));
	t->finished = mem_new((t->nitems + 1) * sizeof(*t->finished));
	for (uint32_t i = 0; i < t->nitems; i++)
		init_item(&t->items[i], &c->items.items_val[i]);
	add_lot(l, t);
	if (ended) {
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): the freed element was unlinked */
		early_end_free(l, ended);
		mark_ended(t);
	} else {
		r->waiting += tokens;
	}
	return STATUS_OK;
}

/* Appends text; the item then holds this many events. */
static void append_partial_text(lot_item_t *it, str_t text, uint32_t events)
{
	it->partial_text = mem_grow(it->partial_text, it->partial_n + text.n + 1);
	if (text.n)
		memcpy(it->partial_text + it->partial_n, text.p, text.n);
	it->partial_n += (uint32_t)text.n;
	it->partial_events = events;
}

/* Appends events to an item if it holds exactly the events before them. */
static void apply_progress(lots_t *l, const wire_lot_progress_t *c)
{
	lot_t *t = find_lot(l, wire_str(c->lot));
	lot_item_t *it;

	if (!t || t->ended || c->item >= t->nitems)
		return;
	it = &t->items[c->item];
	if (it->state == LOT_ITEM_OPEN && it->partial_events == c->from && c->events > c->from)
		append_partial_text(it, wire_str(c->text), c->events);
}

/* Makes an item final and appends it to `finished`. The items of a lot that has ended were taken
 * off the backlog by end_lot. */
static void finish_item(lots_t *l, lot_t *t, uint32_t i, lot_item_state_t state, str_t text)
{
	lot_item_t *it = &t->items[i];

	assert(it->state == LOT_ITEM_OPEN && t->nfinished < t->nitems);
	if (!t->ended)
		get_route_backlog(l, str_c(t->route))->waiting -= it->tokens;
	it->state = state;
	clear_partial_text(it);
	set_data(it, text);
	free(it->headers);
	it->headers = NULL;
	it->headers_n = 0;
	t->finished[t->nfinished++] = i;
}

/* Finishes an item, unless it has finished or its lot has ended. */
static void apply_result(lots_t *l, const wire_lot_result_t *c)
{
	lot_t *t = find_lot(l, wire_str(c->lot));

	if (!t || c->item >= t->nitems || t->items[c->item].state != LOT_ITEM_OPEN || t->ended)
		return;
	finish_item(l, t, c->item, c->dead ? LOT_ITEM_DEAD : LOT_ITEM_DONE, wire_str(c->text));
}

/* Ends a lot at the request of its client; if the lot is not open yet, stores the end. */
static void end_lot(lots_t *l, str_t id, int64_t now)
{
	lot_t *t = find_lot(l, id);

	if (!t)
		add_early_end(l, id, now + EARLY_END_MS);
	if (!t || t->ended)
		return;
	get_route_backlog(l, str_c(t->route))->waiting -= open_tokens(t);
	mark_ended(t);
}

/* Gives up open items and removes lots and early ends whose time (drop_wall_ms, forget_wall_ms) has
 * come. */
static void expire_lots(lots_t *l, int64_t now)
{
	lot_t *t;
	lot_t *next;
	early_end_t *e;
	early_end_t *next_end;

	HASH_ITER (hh, l->lots, t, next) {
		for (uint32_t i = 0; !t->ended && now >= t->drop_wall_ms && i < t->nitems; i++) {
			if (t->items[i].state == LOT_ITEM_OPEN)
				finish_item(l, t, i, LOT_ITEM_DEAD, (str_t){NULL, 0});
		}
		if (now >= t->forget_wall_ms)
			lot_free(l, t);
	}
	HASH_ITER (hh, l->early_ends, e, next_end) {
		if (now < e->forget_wall_ms)
			break;
		early_end_free(l, e);
	}
}

int64_t lots_next_expiry(const lots_t *l)
{
	int64_t next = l->early_ends ? l->early_ends->forget_wall_ms : INT64_MAX;

	for (const lot_t *t = l->lots; t; t = t->hh.next) {
		if (!t->ended && t->nfinished < t->nitems && t->drop_wall_ms < next)
			next = t->drop_wall_ms;
		if (t->forget_wall_ms < next)
			next = t->forget_wall_ms;
	}
	return next;
}

void lots_apply_cmd(lots_t *l, const wire_lots_cmd_t *cmd, wire_fleet_res_t *res)
{
	u_int n = cmd->opens.opens_len;

	for (u_int i = 0; i < cmd->progress.progress_len; i++)
		apply_progress(l, &cmd->progress.progress_val[i]);
	for (u_int i = 0; i < cmd->results.results_len; i++)
		apply_result(l, &cmd->results.results_val[i]);
	for (u_int i = 0; i < cmd->ends.ends_len; i++)
		end_lot(l, wire_str(cmd->ends.ends_val[i]), cmd->now_wall_ms);
	expire_lots(l, cmd->now_wall_ms);
	res->opened.opened_val = n ? mem_new(n * sizeof(int)) : NULL;
	res->opened.opened_len = n;
	for (u_int i = 0; i < n; i++)
		res->opened.opened_val[i] = (int)open_lot(l, &cmd->opens.opens_val[i]);
}

/* ---- snapshots ---- */

static size_t item_bytes(const lot_item_t *it)
{
	return strlen(it->id) + strlen(it->path) + it->headers_n + it->data_n + it->partial_n +
	       ITEM_OVERHEAD_BYTES;
}

size_t lots_bytes(const lots_t *l)
{
	size_t n = SNAPSHOT_OVERHEAD_BYTES;

	for (const lot_t *t = l->lots; t; t = t->hh.next) {
		n += strlen(t->id) + strlen(t->route) + strlen(t->host) + LOT_OVERHEAD_BYTES;
		for (uint32_t i = 0; i < t->nitems; i++)
			n += item_bytes(&t->items[i]);
	}
	for (const early_end_t *e = l->early_ends; e; e = e->hh.next)
		n += strlen(e->id) + EARLY_END_OVERHEAD_BYTES;
	return n;
}

size_t lots_bytes_expected(const lots_t *l)
{
	size_t done = 0;
	size_t texts = 0;
	size_t open = 0;

	for (const lot_t *t = l->lots; t; t = t->hh.next) {
		for (uint32_t i = 0; i < t->nitems; i++) {
			open += t->items[i].state == LOT_ITEM_OPEN && !t->ended;
			done += t->items[i].state == LOT_ITEM_DONE;
			texts += t->items[i].state == LOT_ITEM_DONE ? t->items[i].data_n : 0;
		}
	}
	return lots_bytes(l) + (done ? texts / done : 0) * open;
}

void lots_snapshot(const lots_t *l, buf_t *out)
{
	buf_reserve_exact(out, lots_bytes(l));
	pack_u64(out, SNAPSHOT_MAGIC);
	pack_u64(out, SNAPSHOT_VERSION);
	pack_u64(out, l->serial);
	pack_u64(out, HASH_COUNT(l->lots));
	for (const lot_t *t = l->lots; t; t = t->hh.next) {
		pack_str(out, str_c(t->id));
		pack_str(out, str_c(t->route));
		pack_str(out, str_c(t->host));
		pack_u64(out, t->serial);
		pack_i64(out, t->due_wall_ms);
		pack_i64(out, t->drop_wall_ms);
		pack_i64(out, t->forget_wall_ms);
		pack_u64(out, t->ended);
		pack_u64(out, t->nitems);
		for (uint32_t i = 0; i < t->nitems; i++) {
			const lot_item_t *it = &t->items[i];

			pack_str(out, str_c(it->id));
			pack_str(out, str_c(it->path));
			pack_str(out, (str_t){it->headers, it->headers_n});
			pack_str(out, (str_t){it->data, it->data_n});
			pack_u64(out, it->tokens);
			pack_u64(out, it->state);
			pack_str(out, (str_t){it->partial_text, it->partial_n});
			pack_u64(out, it->partial_events);
		}
		pack_u64(out, t->nfinished);
		for (uint32_t i = 0; i < t->nfinished; i++)
			pack_u64(out, t->finished[i]);
	}
	pack_u64(out, HASH_COUNT(l->early_ends));
	for (const early_end_t *e = l->early_ends; e; e = e->hh.next) {
		pack_str(out, str_c(e->id));
		pack_i64(out, e->forget_wall_ms);
	}
}

static void unpack_item(unpacker_t *in, lot_item_t *it)
{
	str_t s;

	it->id = str_dup(unpack_str(in));
	it->path = str_dup(unpack_str(in));
	s = unpack_str(in);
	it->headers = str_dup(s);
	it->headers_n = (uint32_t)s.n;
	set_data(it, unpack_str(in));
	it->tokens = (uint32_t)unpack_u64_max(in, UINT32_MAX);
	it->state = (lot_item_state_t)unpack_u64_max(in, LOT_ITEM_DEAD);
	s = unpack_str(in);
	append_partial_text(it, s, (uint32_t)unpack_u64_max(in, UINT32_MAX));
}

static void unpack_lot(unpacker_t *in, lots_t *l)
{
	lot_t *t = mem_new(sizeof(*t));
	uint64_t n;

	t->id = str_dup(unpack_str(in));
	t->route = str_dup(unpack_str(in));
	t->host = str_dup(unpack_str(in));
	t->serial = unpack_u64(in);
	t->due_wall_ms = unpack_i64(in);
	t->drop_wall_ms = unpack_i64(in);
	t->forget_wall_ms = unpack_i64(in);
	t->ended = unpack_u64_max(in, 1) == 1;
	n = unpack_u64_max(in, in->left.n);
	t->items = mem_new((n + 1) * sizeof(*t->items));
	t->finished = mem_new((n + 1) * sizeof(*t->finished));
	t->nitems = (uint32_t)n;
	for (uint32_t i = 0; i < t->nitems; i++)
		unpack_item(in, &t->items[i]);
	n = unpack_u64_max(in, t->nitems);
	for (uint32_t i = 0; i < n && t->nitems; i++)
		t->finished[t->nfinished++] = (uint32_t)unpack_u64_max(in, t->nitems - 1);
	add_lot(l, t);
	if (!t->ended)
		get_route_backlog(l, str_c(t->route))->waiting += open_tokens(t);
}

/* Adds what a snapshot holds to l; without `keep`, only checks that it can be read. */
static status_t unpack_lots(lots_t *l, str_t snap, bool keep)
{
	unpacker_t in = {snap, false};
	uint64_t magic = unpack_u64(&in);
	uint64_t version = unpack_u64(&in);

	if (magic != SNAPSHOT_MAGIC || version < SNAPSHOT_OLDEST || version > SNAPSHOT_VERSION)
		return status_fail(STATUS_CORRUPT, "not a lots snapshot of version %u to %u",
				   SNAPSHOT_OLDEST, SNAPSHOT_VERSION);
	l->serial = unpack_u64(&in);
	for (uint64_t n = unpack_u64(&in); n > 0 && !in.bad; n--) {
		unpack_lot(&in, l);
		if (!keep)
			lot_free(l, l->lots);
	}
	for (uint64_t n = version > SNAPSHOT_OLDEST ? unpack_u64(&in) : 0; n > 0 && !in.bad; n--) {
		str_t id = unpack_str(&in);

		add_early_end(l, id, unpack_i64(&in));
	}
	return unpack_end(&in, "lots");
}

status_t lots_restore(lots_t *l, str_t snap)
{
	lots_t *checked = lots_new();
	status_t st = unpack_lots(checked, snap, false);

	lots_free(checked);
	if (st != STATUS_OK)
		return st;
	/* The old lots and the new ones together may not fit into the memory. */
	free_contents(l);
	*l = (lots_t){0};
	return unpack_lots(l, snap, true);
}
