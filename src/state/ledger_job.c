/* Jobs and items: tables, lanes and bands, storage of bodies and results. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include "state/ledger_internal.h"

ledger_job_t *ledger_job_find(const ledger_t *l, str_t caller, str_t name)
{
	AUTO_BUF id = {0};
	ledger_job_t *j;

	ledger_id_encode(&id, caller, name);
	HASH_FIND(hh, l->jobs, id.p, id.n, j);
	return j;
}

void ledger_job_fill_status(const ledger_job_t *j, wire_job_t *out)
{
	out->caller = wire_copy(ledger_id_caller(&j->id));
	out->job = wire_copy(ledger_id_name(&j->id));
	out->service = wire_copy((str_t){j->service->name, j->service->name_n});
	out->digest = j->digest;
	out->sealed = j->sealed;
	out->cancelled = j->cancelled;
	out->deadline_wall_ms = j->deadline_ms;
	out->count = j->count;
	out->received = j->received;
	out->waiting = j->waiting;
	out->leased = j->leased;
	out->done = j->done;
	out->failed = j->failed;
	out->dropped = j->dropped;
}

static ledger_caller_t *get_caller(ledger_t *l, str_t name)
{
	ledger_caller_t *c;

	HASH_FIND(hh, l->callers, name.p, name.n, c);
	if (c)
		return c;
	c = mem_new(sizeof(*c));
	c->name = str_dup(name);
	c->name_n = (uint32_t)name.n;
	HASH_ADD_KEYPTR(hh, l->callers, c->name, c->name_n, c);
	return c;
}

static size_t job_bytes(const ledger_job_t *j)
{
	return sizeof(*j) + j->id.n + j->trace_n;
}

void ledger_job_add(ledger_t *l, ledger_job_t *j)
{
	j->caller = get_caller(l, ledger_id_caller(&j->id));
	DL_APPEND2(j->caller->jobs, j, caller_prev, caller_next);
	HASH_ADD_KEYPTR(hh, l->jobs, j->id.p, j->id.n, j);
	HASH_ADD(hh_serial, l->jobs_by_serial, serial, sizeof(j->serial), j);
	j->returned = (ledger_item_queue_t){LEDGER_NO_ITEM, LEDGER_NO_ITEM};
	j->retry = (ledger_item_queue_t){LEDGER_NO_ITEM, LEDGER_NO_ITEM};
	l->items += j->count;
	l->bytes += job_bytes(j);
}

static ledger_band_t *get_band(ledger_service_t *s, int64_t key)
{
	ledger_band_t *b;

	HASH_FIND(hh, s->band_table, &key, sizeof(key), b);
	if (b)
		return b;
	b = mem_new(sizeof(*b));
	b->node.key = key;
	b->service = s;
	HASH_ADD(hh, s->band_table, node.key, sizeof(b->node.key), b);
	return b;
}

void ledger_job_join_lane(ledger_job_t *j)
{
	ledger_band_t *b = get_band(j->service, j->deadline_ms / LEDGER_BAND_MS);
	ledger_lane_t *lane;

	assert(!j->lane);
	HASH_FIND(hh, b->lane_table, &j->caller, sizeof(ledger_caller_t *), lane);
	if (!lane) {
		lane = mem_new(sizeof(*lane));
		lane->caller = j->caller;
		lane->band = b;
		HASH_ADD(hh, b->lane_table, caller, sizeof(ledger_caller_t *), lane);
	}
	lane->jobs++;
	j->lane = lane;
}

/** Removes the job from its lane, and frees the lane and the band if they are empty then. */
static void leave_lane(ledger_job_t *j)
{
	ledger_lane_t *lane = j->lane;
	ledger_band_t *b;

	if (!lane)
		return;
	ledger_job_dequeue(j);
	j->lane = NULL;
	if (--lane->jobs)
		return;
	b = lane->band;
	HASH_DEL(b->lane_table, lane);
	free(lane);
	if (b->lane_table)
		return;
	HASH_DEL(b->service->band_table, b);
	free(b);
}

void ledger_job_enqueue(ledger_job_t *j)
{
	ledger_lane_t *lane = j->lane;
	ledger_band_t *b;

	if (!lane || j->queued || j->waiting == 0)
		return;
	b = lane->band;
	if (!lane->ready_jobs) {
		if (!b->ready_lanes)
			ledger_heap_push(&b->service->bands, &b->node);
		DL_APPEND(b->ready_lanes, lane);
	}
	DL_APPEND(lane->ready_jobs, j);
	j->queued = true;
}

void ledger_job_dequeue(ledger_job_t *j)
{
	ledger_lane_t *lane = j->lane;
	ledger_band_t *b;

	if (!j->queued)
		return;
	b = lane->band;
	DL_DELETE(lane->ready_jobs, j);
	j->queued = false;
	if (lane->ready_jobs)
		return;
	lane->turn_taken = 0;
	DL_DELETE(b->ready_lanes, lane);
	if (b->ready_lanes)
		return;
	ledger_heap_remove(b->overdue ? &b->service->overdue : &b->service->bands, &b->node);
	b->overdue = false;
}

void ledger_band_mark_overdue(ledger_band_t *b)
{
	assert(!b->overdue);
	ledger_heap_remove(&b->service->bands, &b->node);
	ledger_heap_push(&b->service->overdue, &b->node);
	b->overdue = true;
}

static void free_bodies(ledger_t *l, ledger_job_t *j)
{
	for (uint32_t i = 0; i < j->nblocks; i++) {
		if (j->blocks[i].data)
			l->bytes -= j->blocks[i].bytes;
		free(j->blocks[i].data);
	}
	l->bytes -= j->blocks_cap * sizeof(*j->blocks);
	free(j->blocks);
	j->blocks = NULL;
	j->nblocks = 0;
	j->blocks_cap = 0;
}

static void free_arena(ledger_t *l, ledger_job_t *j)
{
	while (j->arena) {
		ledger_arena_t *next = j->arena->next;

		l->bytes -= sizeof(*j->arena) + j->arena->cap;
		free(j->arena);
		j->arena = next;
	}
}

static void free_job_leases(ledger_job_t *j)
{
	for (uint16_t i = 0; i < j->njob_leases; i++) {
		ledger_job_lease_t *jl = j->job_leases[i];

		if (!jl)
			continue;
		if (j->cancelled)
			DL_DELETE(jl->session->cancelled_leases, jl);
		else
			DL_DELETE(jl->session->job_leases, jl);
		free(jl);
	}
	free(j->job_leases);
}

/** Removes the job from its caller's jobs, and frees the caller if it has none left. */
static void leave_caller(ledger_t *l, ledger_job_t *j)
{
	ledger_caller_t *c = j->caller;

	DL_DELETE2(c->jobs, j, caller_prev, caller_next);
	if (c->jobs)
		return;
	HASH_DEL(l->callers, c);
	free(c->name);
	free(c);
}

void ledger_job_free(ledger_t *l, ledger_job_t *j)
{
	leave_lane(j);
	leave_caller(l, j);
	if (j->expiry_node.pos)
		ledger_heap_remove(j->sealed || j->cancelled ? &l->ended_jobs : &l->unsealed_jobs,
				   &j->expiry_node);
	HASH_DELETE(hh, l->jobs, j);
	HASH_DELETE(hh_serial, l->jobs_by_serial, j);
	l->items -= j->count;
	l->leased -= j->leased;
	l->bytes -= job_bytes(j);
	if (j->items)
		l->bytes -= j->count * sizeof(*j->items);
	free_bodies(l, j);
	free_arena(l, j);
	free_job_leases(j);
	free(j->items);
	free(j->id.p);
	free(j->trace);
	free(j);
}

static bool job_ended(const ledger_job_t *j)
{
	return (j->sealed || j->cancelled) && j->waiting == 0 && j->leased == 0;
}

void ledger_job_check_end(ledger_t *l, ledger_job_t *j, int64_t now_ms)
{
	uint64_t sum = (uint64_t)j->waiting + j->leased + j->done + j->failed + j->dropped;

	assert(sum == j->count);
	assert(j->received <= j->count);
	assert(j->queued == (j->lane && j->waiting > 0));
	if (!job_ended(j) || j->expiry_node.pos)
		return;
	free_bodies(l, j);
	leave_lane(j);
	j->expiry_node.key = now_ms;
	j->expiry_node.serial = j->serial;
	ledger_heap_push(&l->ended_jobs, &j->expiry_node);
}

static ledger_body_block_t *add_block(ledger_t *l, ledger_job_t *j, size_t bytes)
{
	if (j->nblocks == j->blocks_cap) {
		uint32_t cap = j->blocks_cap ? j->blocks_cap * 2 : 1;

		l->bytes += (cap - j->blocks_cap) * sizeof(*j->blocks);
		j->blocks = mem_grow(j->blocks, cap * sizeof(*j->blocks));
		j->blocks_cap = cap;
	}
	l->bytes += bytes;
	j->blocks[j->nblocks] = (ledger_body_block_t){.data = mem_new(bytes), .bytes = bytes};
	return &j->blocks[j->nblocks++];
}

void ledger_job_add_bodies(ledger_t *l, ledger_job_t *j, const wire_bytes_t *bodies, uint32_t n)
{
	size_t bytes = 0;
	ledger_body_block_t *b;
	char *p;

	for (uint32_t i = 0; i < n; i++)
		bytes += bodies[i].wire_bytes_t_len;
	if (!j->items) {
		j->items = mem_new(j->count * sizeof(*j->items));
		l->bytes += j->count * sizeof(*j->items);
	}
	b = add_block(l, j, bytes);
	b->first = j->received;
	b->live = n;
	p = b->data;
	for (uint32_t i = 0; i < n; i++) {
		ledger_item_t *it = &j->items[j->received++];

		it->data = p;
		it->len = bodies[i].wire_bytes_t_len;
		if (it->len)
			memcpy(p, bodies[i].wire_bytes_t_val, it->len);
		p += it->len;
	}
}

ledger_item_state_t ledger_item_state(const ledger_job_t *j, uint32_t index)
{
	ledger_item_state_t st =
		j->items && index < j->received ? j->items[index].state : LEDGER_ITEM_WAITING;

	return st == LEDGER_ITEM_WAITING && j->cancelled ? LEDGER_ITEM_DROPPED : st;
}

/** Returns the block with the body of an item. */
static ledger_body_block_t *find_block(ledger_job_t *j, uint32_t index)
{
	uint32_t lo = 0;
	uint32_t hi = j->nblocks;

	while (hi - lo > 1) {
		uint32_t mid = lo + (hi - lo) / 2;

		if (j->blocks[mid].first <= index)
			lo = mid;
		else
			hi = mid;
	}
	return &j->blocks[lo];
}

#define ARENA_BYTES_MIN 256
#define ARENA_BYTES_MAX 65536

/** Copies a result into the job's arena; NULL if empty. */
static char *copy_to_arena(ledger_t *l, ledger_job_t *j, str_t s)
{
	ledger_arena_t *a = j->arena;
	char *p;

	if (s.n == 0)
		return NULL;
	if (!a || a->cap - a->used < s.n) {
		size_t cap = a ? (size_t)a->cap * 2 : ARENA_BYTES_MIN;

		if (cap > ARENA_BYTES_MAX)
			cap = ARENA_BYTES_MAX;
		if (cap < s.n)
			cap = s.n;
		a = mem_new(sizeof(*a) + cap);
		a->cap = (uint32_t)cap;
		a->next = j->arena;
		j->arena = a;
		l->bytes += sizeof(*a) + cap;
	}
	p = a->data + a->used;
	memcpy(p, s.p, s.n);
	a->used += (uint32_t)s.n;
	return p;
}

void ledger_item_finalize(ledger_t *l, ledger_job_t *j, uint32_t index, ledger_item_state_t state,
			  str_t data)
{
	ledger_item_t *it = &j->items[index];
	ledger_body_block_t *b = find_block(j, index);

	assert(it->state < LEDGER_ITEM_DONE && state >= LEDGER_ITEM_DONE);
	it->state = (uint8_t)state;
	it->data = copy_to_arena(l, j, data);
	it->len = (uint32_t)data.n;
	assert(b->live > 0);
	if (--b->live)
		return;
	free(b->data);
	b->data = NULL;
	l->bytes -= b->bytes;
}
