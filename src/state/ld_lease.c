#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include "state/ld_core.h"

static void fill_item(const ld_job_t *j, uint32_t index, aw_item_t *out)
{
	const ld_item_t *it = &j->items[index];

	*out = (aw_item_t){
		.caller = px_copy(ld_id_caller(&j->id)),
		.job = px_copy(ld_id_name(&j->id)),
		.index = index,
		.attempt = it->attempts,
		.alone = it->deaths >= LD_DEATHS_ALONE,
		.repeatable = true,
		.deadline_wall_ms = j->deadline_ms,
		.body = px_copy((str_t){it->data, it->len}),
		.trace = px_copy((str_t){j->trace, j->trace_n}),
	};
}

static void fill_request(const ld_request_t *r, aw_item_t *out)
{
	*out = (aw_item_t){
		.caller = px_copy(ld_id_caller(&r->id)),
		.key = px_copy(ld_id_name(&r->id)),
		.attempt = r->attempts,
		.alone = r->deaths >= LD_DEATHS_ALONE,
		.repeatable = r->repeatable,
		.deadline_wall_ms = r->deadline_ms,
		.path = px_copy((str_t){r->input, r->path_n}),
		.body = px_copy((str_t){r->input + r->path_n, r->body_n}),
		.trace = px_copy((str_t){r->input + r->path_n + r->body_n, r->trace_n}),
	};
}

/** Items of an answer while it is filled. */
typedef struct {
	aw_ledger_res_t *res;
	uint32_t max;
	size_t bytes;
} chunk_t;

static bool chunk_full(const chunk_t *ch)
{
	return ch->res->items.items_len >= ch->max || ch->bytes >= LD_LEASE_BYTES_MAX;
}

static aw_item_t *chunk_next(chunk_t *ch)
{
	return &ch->res->items.items_val[ch->res->items.items_len++];
}

static void chunk_booked(chunk_t *ch)
{
	const aw_item_t *it = &ch->res->items.items_val[ch->res->items.items_len - 1];

	ch->bytes += it->body.aw_bytes_t_len;
}

/** The session's lease record of a service, made if need be. */
static ld_lease_t *lease_record(ld_session_t *s, ld_service_t *service)
{
	ld_lease_t *le = s->leases;

	while (le && le->service != service)
		le = le->next;
	if (le)
		return le;
	le = mem_new(sizeof(*le));
	le->service = service;
	le->next = s->leases;
	s->leases = le;
	return le;
}

static void take_orphans(ld_session_t *s, ld_lease_t *le, chunk_t *ch)
{
	ld_node_t *n;

	while (!chunk_full(ch) && (n = ld_heap_min(&le->service->orphans))) {
		ld_request_t *r = LD_CONTAINER(n, ld_request_t, wait);

		ld_heap_remove(&le->service->orphans, n);
		r->attempts++;
		r->lease_seq = le->seq;
		ld_request_hold(r, s);
		fill_request(r, chunk_next(ch));
		chunk_booked(ch);
	}
}

static uint32_t next_waiting(ld_job_t *j)
{
	uint32_t index = ld_queue_pop(j, &j->back);

	if (index != LD_NO_ITEM)
		return index;
	if (j->cursor < j->count)
		return j->cursor++;
	return ld_queue_pop(j, &j->retry);
}

/** Moves a job behind its caller's others, and the caller behind the others once its share of items
 * is taken. */
static void end_turn(ld_job_t *j)
{
	ld_lane_t *lane = j->lane;
	ld_band_t *b = lane->band;

	DL_DELETE(lane->ready, j);
	DL_APPEND(lane->ready, j);
	if (++lane->taken < j->share)
		return;
	lane->taken = 0;
	DL_DELETE(b->ring, lane);
	DL_APPEND(b->ring, lane);
}

/** Leases one item of the caller and job whose turn it is. */
static void take_item(ld_t *l, ld_session_t *s, ld_lease_t *le, const ld_node_t *band, chunk_t *ch)
{
	ld_band_t *b = LD_CONTAINER(band, ld_band_t, node);
	ld_job_t *j = b->ring->ready;
	uint32_t index = next_waiting(j);
	ld_item_t *it;

	assert(index != LD_NO_ITEM && j->sealed && !j->cancelled);
	it = &j->items[index];
	assert(it->state == LD_WAITING);
	it->attempts++;
	j->waiting--;
	j->leased++;
	l->leased++;
	ld_hold_add(ld_hold_get(j, s), index);
	le->refs[le->n++] = (ld_ref_t){j->serial, index, it->attempts};
	end_turn(j);
	if (j->waiting == 0)
		ld_job_unready(j);
	ld_job_settle(l, j, 0);
	fill_item(j, index, chunk_next(ch));
	chunk_booked(ch);
}

static void mark_overdue(ld_service_t *s, int64_t now_ms)
{
	ld_node_t *n;

	while ((n = ld_heap_min(&s->bands)) && (n->key + 1) * LD_BAND_MS <= now_ms)
		ld_band_late(LD_CONTAINER(n, ld_band_t, node));
}

/** The band whose turn it is: overdue work and work that can be in time alternate. */
static ld_node_t *next_band(ld_service_t *s)
{
	ld_node_t *late = ld_heap_min(&s->overdue);
	ld_node_t *due = ld_heap_min(&s->bands);

	if (!late || !due)
		return late ? late : due;
	s->overdue_next = !s->overdue_next;
	return s->overdue_next ? due : late;
}

static void lease_new(ld_t *l, ld_session_t *s, ld_lease_t *le, const aw_lease_t *c, chunk_t *ch)
{
	ld_node_t *band;

	mark_overdue(le->service, c->now_wall_ms);
	le->seq = c->seq;
	le->n = 0;
	free(le->refs);
	le->refs = mem_new(ch->max * sizeof(*le->refs));
	take_orphans(s, le, ch);
	while (!chunk_full(ch) && (band = next_band(le->service)))
		take_item(l, s, le, band, ch);
}

static void drop_leased(ld_t *l, ld_job_t *j, uint32_t index, int64_t now_ms)
{
	ld_hold_drop(l, j, index);
	ld_item_end(l, j, index, LD_DROPPED, (str_t){0});
	j->dropped++;
	ld_job_settle(l, j, now_ms);
}

static int by_deadline(const void *a, const void *b)
{
	const ld_request_t *x = *(ld_request_t *const *)a;
	const ld_request_t *y = *(ld_request_t *const *)b;

	if (x->deadline_ms != y->deadline_ms)
		return x->deadline_ms < y->deadline_ms ? -1 : 1;
	return x->serial < y->serial ? -1 : 1;
}

/** The requests that a lease command gave out, in the order of then. */
static void orphans_again(const ld_session_t *s, const ld_lease_t *le, chunk_t *ch)
{
	ld_request_t *found[LD_LEASE_CHUNK_MAX];
	size_t n = 0;

	for (ld_request_t *r = s->requests; r && n < LD_LEASE_CHUNK_MAX; r = r->next)
		if (r->lease_seq == le->seq && r->service == le->service)
			found[n++] = r;
	if (n)
		qsort(found, n, sizeof(ld_request_t *), by_deadline);
	for (size_t i = 0; i < n; i++)
		fill_request(found[i], chunk_next(ch));
}

/** Answers a resend with the items that the session still holds under that lease. The items of jobs
 * cancelled since then are dropped: the session has not begun them. */
static void lease_again(ld_t *l, ld_session_t *s, ld_lease_t *le, int64_t now_ms, chunk_t *ch)
{
	orphans_again(s, le, ch);
	for (uint32_t i = 0; i < le->n && ch->res->items.items_len < ch->max; i++) {
		ld_ref_t *ref = &le->refs[i];
		ld_job_t *j;
		ld_item_t *it;

		HASH_FIND(hh_serial, l->jobs_by_serial, &ref->job, sizeof(ref->job), j);
		it = j ? &j->items[ref->index] : NULL;
		if (!it || it->state != LD_LEASED || it->attempts != ref->attempt)
			continue;
		if (j->cancelled)
			drop_leased(l, j, ref->index, now_ms);
		else
			fill_item(j, ref->index, chunk_next(ch));
	}
}

void ld_fill_cancelled(const ld_session_t *s, aw_ledger_res_t *res)
{
	const ld_hold_t *h;
	uint32_t n = 0;

	for (h = s->cancelled; h; h = h->next)
		n++;
	if (n == 0)
		return;
	res->cancelled.cancelled_val = mem_new(n * sizeof(aw_job_ref_t));
	for (h = s->cancelled; h; h = h->next) {
		aw_job_ref_t *ref = &res->cancelled.cancelled_val[res->cancelled.cancelled_len++];

		ref->caller = px_copy(ld_id_caller(&h->job->id));
		ref->job = px_copy(ld_id_name(&h->job->id));
	}
}

status_t ld_check_session(const ld_t *l, uint64_t session)
{
	if (session == 0)
		return st_fail(ST_INVALID, "no session");
	if (ld_is_lost(l, session))
		return st_fail(ST_CANCELLED, "session %llu is lost", (unsigned long long)session);
	return ST_OK;
}

void ld_lease(ld_t *l, const aw_lease_t *c, aw_ledger_res_t *res)
{
	status_t st = ld_check_session(l, c->session);
	chunk_t ch = {res, c->max < LD_LEASE_CHUNK_MAX ? c->max : LD_LEASE_CHUNK_MAX, 0};
	ld_session_t *s;
	ld_lease_t *le;

	if (st == ST_OK && c->seq == 0)
		st = st_fail(ST_INVALID, "lease commands are counted from 1");
	if (st != ST_OK) {
		ld_answer(res, st);
		return;
	}
	s = ld_session(l, c->session);
	le = lease_record(s, ld_service(l, px_str(c->service)));
	if (c->seq < le->seq) {
		ld_answer(res, st_fail(ST_CONFLICT, "lease %llu came after %llu",
				       (unsigned long long)c->seq, (unsigned long long)le->seq));
		return;
	}
	res->items.items_val = mem_new(LD_LEASE_CHUNK_MAX * sizeof(aw_item_t));
	if (c->seq == le->seq) {
		ch.max = LD_LEASE_CHUNK_MAX;
		lease_again(l, s, le, c->now_wall_ms, &ch);
	} else {
		lease_new(l, s, le, c, &ch);
	}
	ld_fill_cancelled(s, res);
}
