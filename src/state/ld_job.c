#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include "state/ld_core.h"

ld_job_t *ld_job_find(const ld_t *l, str_t caller, str_t name)
{
	AUTO_BUF id = {0};
	ld_job_t *j;

	ld_key(&id, caller, name);
	HASH_FIND(hh, l->jobs, id.p, id.n, j);
	return j;
}

void ld_job_fill(const ld_job_t *j, aw_job_t *out)
{
	out->caller = px_copy(ld_id_caller(&j->id));
	out->job = px_copy(ld_id_name(&j->id));
	out->service = px_copy((str_t){j->service->name, j->service->name_n});
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

static ld_caller_t *caller_get(ld_t *l, str_t name)
{
	ld_caller_t *c;

	HASH_FIND(hh, l->callers, name.p, name.n, c);
	if (c)
		return c;
	c = mem_new(sizeof(*c));
	c->name = str_dup(name);
	c->name_n = (uint32_t)name.n;
	HASH_ADD_KEYPTR(hh, l->callers, c->name, c->name_n, c);
	return c;
}

static size_t job_bytes(const ld_job_t *j)
{
	return sizeof(*j) + j->id.n + j->trace_n;
}

void ld_job_add(ld_t *l, ld_job_t *j)
{
	j->caller = caller_get(l, ld_id_caller(&j->id));
	DL_APPEND2(j->caller->jobs, j, caller_prev, caller_next);
	HASH_ADD_KEYPTR(hh, l->jobs, j->id.p, j->id.n, j);
	HASH_ADD(hh_serial, l->jobs_by_serial, serial, sizeof(j->serial), j);
	j->back = (ld_queue_t){LD_NO_ITEM, LD_NO_ITEM};
	j->retry = (ld_queue_t){LD_NO_ITEM, LD_NO_ITEM};
	l->items += j->count;
	l->bytes += job_bytes(j);
}

static ld_band_t *band_get(ld_service_t *s, int64_t key)
{
	ld_band_t *b;

	HASH_FIND(hh, s->band_table, &key, sizeof(key), b);
	if (b)
		return b;
	b = mem_new(sizeof(*b));
	b->node.key = key;
	b->service = s;
	HASH_ADD(hh, s->band_table, node.key, sizeof(b->node.key), b);
	return b;
}

void ld_job_enlist(ld_job_t *j)
{
	ld_band_t *b = band_get(j->service, j->deadline_ms / LD_BAND_MS);
	ld_lane_t *lane;

	assert(!j->lane);
	HASH_FIND(hh, b->lane_table, &j->caller, sizeof(ld_caller_t *), lane);
	if (!lane) {
		lane = mem_new(sizeof(*lane));
		lane->caller = j->caller;
		lane->band = b;
		HASH_ADD(hh, b->lane_table, caller, sizeof(ld_caller_t *), lane);
	}
	lane->jobs++;
	j->lane = lane;
}

static void delist(ld_job_t *j)
{
	ld_lane_t *lane = j->lane;
	ld_band_t *b;

	if (!lane)
		return;
	ld_job_unready(j);
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

void ld_job_ready(ld_job_t *j)
{
	ld_lane_t *lane = j->lane;
	ld_band_t *b;

	if (!lane || j->ready || j->waiting == 0)
		return;
	b = lane->band;
	if (!lane->ready) {
		if (!b->ring)
			ld_heap_push(&b->service->bands, &b->node);
		DL_APPEND(b->ring, lane);
	}
	DL_APPEND(lane->ready, j);
	j->ready = true;
}

void ld_job_unready(ld_job_t *j)
{
	ld_lane_t *lane = j->lane;
	ld_band_t *b;

	if (!j->ready)
		return;
	b = lane->band;
	DL_DELETE(lane->ready, j);
	j->ready = false;
	if (lane->ready)
		return;
	lane->taken = 0;
	DL_DELETE(b->ring, lane);
	if (b->ring)
		return;
	ld_heap_remove(b->late ? &b->service->overdue : &b->service->bands, &b->node);
	b->late = false;
}

void ld_band_late(ld_band_t *b)
{
	assert(!b->late);
	ld_heap_remove(&b->service->bands, &b->node);
	ld_heap_push(&b->service->overdue, &b->node);
	b->late = true;
}

static void free_bodies(ld_t *l, ld_job_t *j)
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

static void free_arena(ld_t *l, ld_job_t *j)
{
	while (j->arena) {
		ld_arena_t *next = j->arena->next;

		l->bytes -= sizeof(*j->arena) + j->arena->cap;
		free(j->arena);
		j->arena = next;
	}
}

static void free_holds(ld_job_t *j)
{
	for (uint16_t i = 0; i < j->nholds; i++) {
		ld_hold_t *h = j->holds[i];

		if (!h)
			continue;
		if (j->cancelled)
			DL_DELETE(h->session->cancelled, h);
		else
			DL_DELETE(h->session->holds, h);
		free(h);
	}
	free(j->holds);
}

static void leave_caller(ld_t *l, ld_job_t *j)
{
	ld_caller_t *c = j->caller;

	DL_DELETE2(c->jobs, j, caller_prev, caller_next);
	if (c->jobs)
		return;
	HASH_DEL(l->callers, c);
	free(c->name);
	free(c);
}

void ld_job_free(ld_t *l, ld_job_t *j)
{
	delist(j);
	leave_caller(l, j);
	if (j->end.pos)
		ld_heap_remove(j->sealed || j->cancelled ? &l->ended_jobs : &l->unsealed_jobs,
			       &j->end);
	HASH_DELETE(hh, l->jobs, j);
	HASH_DELETE(hh_serial, l->jobs_by_serial, j);
	l->items -= j->count;
	l->leased -= j->leased;
	l->bytes -= job_bytes(j);
	if (j->items)
		l->bytes -= j->count * sizeof(*j->items);
	free_bodies(l, j);
	free_arena(l, j);
	free_holds(j);
	free(j->items);
	free(j->id.p);
	free(j->trace);
	free(j);
}

static bool job_ended(const ld_job_t *j)
{
	return (j->sealed || j->cancelled) && j->waiting == 0 && j->leased == 0;
}

void ld_job_settle(ld_t *l, ld_job_t *j, int64_t now_ms)
{
	uint64_t sum = (uint64_t)j->waiting + j->leased + j->done + j->failed + j->dropped;

	assert(sum == j->count);
	assert(j->received <= j->count);
	assert(j->ready == (j->lane && j->waiting > 0));
	if (!job_ended(j) || j->end.pos)
		return;
	free_bodies(l, j);
	delist(j);
	j->end.key = now_ms;
	j->end.serial = j->serial;
	ld_heap_push(&l->ended_jobs, &j->end);
}

static ld_block_t *add_block(ld_t *l, ld_job_t *j, size_t bytes)
{
	if (j->nblocks == j->blocks_cap) {
		uint32_t cap = j->blocks_cap ? j->blocks_cap * 2 : 1;

		l->bytes += (cap - j->blocks_cap) * sizeof(*j->blocks);
		j->blocks = mem_grow(j->blocks, cap * sizeof(*j->blocks));
		j->blocks_cap = cap;
	}
	l->bytes += bytes;
	j->blocks[j->nblocks] = (ld_block_t){.data = mem_new(bytes), .bytes = bytes};
	return &j->blocks[j->nblocks++];
}

void ld_job_take_bodies(ld_t *l, ld_job_t *j, const aw_bytes_t *bodies, uint32_t n)
{
	size_t bytes = 0;
	ld_block_t *b;
	char *p;

	for (uint32_t i = 0; i < n; i++)
		bytes += bodies[i].aw_bytes_t_len;
	if (!j->items) {
		j->items = mem_new(j->count * sizeof(*j->items));
		l->bytes += j->count * sizeof(*j->items);
	}
	b = add_block(l, j, bytes);
	b->first = j->received;
	b->live = n;
	p = b->data;
	for (uint32_t i = 0; i < n; i++) {
		ld_item_t *it = &j->items[j->received++];

		it->data = p;
		it->len = bodies[i].aw_bytes_t_len;
		if (it->len)
			memcpy(p, bodies[i].aw_bytes_t_val, it->len);
		p += it->len;
	}
}

ld_item_state_t ld_item_state(const ld_job_t *j, uint32_t index)
{
	ld_item_state_t st = j->items && index < j->received ? j->items[index].state : LD_WAITING;

	return st == LD_WAITING && j->cancelled ? LD_DROPPED : st;
}

static ld_block_t *block_of(ld_job_t *j, uint32_t index)
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

static char *arena_copy(ld_t *l, ld_job_t *j, str_t s)
{
	ld_arena_t *a = j->arena;
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

void ld_item_end(ld_t *l, ld_job_t *j, uint32_t index, ld_item_state_t state, str_t data)
{
	ld_item_t *it = &j->items[index];
	ld_block_t *b = block_of(j, index);

	assert(it->state < LD_DONE && state >= LD_DONE);
	it->state = (uint8_t)state;
	it->data = arena_copy(l, j, data);
	it->len = (uint32_t)data.n;
	assert(b->live > 0);
	if (--b->live)
		return;
	free(b->data);
	b->data = NULL;
	l->bytes -= b->bytes;
}
