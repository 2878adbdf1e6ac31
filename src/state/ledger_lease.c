#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include "state/ledger_internal.h"

static void fill_item(const ledger_job_t *j, uint32_t index, wire_item_t *out)
{
	const ledger_item_t *it = &j->items[index];

	*out = (wire_item_t){
		.caller = wire_copy(ledger_id_caller(&j->id)),
		.job = wire_copy(ledger_id_name(&j->id)),
		.index = index,
		.attempt = it->attempts,
		.alone = it->deaths >= LEDGER_DEATHS_ALONE_MIN,
		.repeatable = true,
		.deadline_wall_ms = j->deadline_ms,
		.body = wire_copy((str_t){it->data, it->len}),
		.trace = wire_copy((str_t){j->trace, j->trace_n}),
	};
}

static void fill_request(const ledger_request_t *r, wire_item_t *out)
{
	*out = (wire_item_t){
		.caller = wire_copy(ledger_id_caller(&r->id)),
		.key = wire_copy(ledger_id_name(&r->id)),
		.attempt = r->attempts,
		.alone = r->deaths >= LEDGER_DEATHS_ALONE_MIN,
		.repeatable = r->repeatable,
		.deadline_wall_ms = r->deadline_ms,
		.path = wire_copy((str_t){r->input, r->path_n}),
		.body = wire_copy((str_t){r->input + r->path_n, r->body_n}),
		.trace = wire_copy((str_t){r->input + r->path_n + r->body_n, r->trace_n}),
	};
}

/** Items of an answer while it is filled. */
typedef struct {
	wire_ledger_res_t *res;
	uint32_t max;
	size_t bytes;
} chunk_t;

static bool chunk_full(const chunk_t *ch)
{
	return ch->res->items.items_len >= ch->max || ch->bytes >= LEDGER_LEASE_BYTES_MAX;
}

static wire_item_t *chunk_next(chunk_t *ch)
{
	return &ch->res->items.items_val[ch->res->items.items_len++];
}

static void chunk_booked(chunk_t *ch)
{
	const wire_item_t *it = &ch->res->items.items_val[ch->res->items.items_len - 1];

	ch->bytes += it->body.wire_bytes_t_len;
}

/** The session's lease record of a service, made if need be. */
static ledger_lease_record_t *lease_record(ledger_session_t *s, ledger_service_t *service)
{
	ledger_lease_record_t *le = s->leases;

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

static void take_orphans(ledger_session_t *s, ledger_lease_record_t *le, chunk_t *ch)
{
	ledger_heap_node_t *n;

	while (!chunk_full(ch) && (n = ledger_heap_min(&le->service->orphans))) {
		ledger_request_t *r = LEDGER_CONTAINER_OF(n, ledger_request_t, wait);

		ledger_heap_remove(&le->service->orphans, n);
		r->attempts++;
		r->lease_seq = le->seq;
		ledger_request_assign(r, s);
		fill_request(r, chunk_next(ch));
		chunk_booked(ch);
	}
}

static uint32_t next_waiting(ledger_job_t *j)
{
	uint32_t index = ledger_item_queue_pop(j, &j->back);

	if (index != LEDGER_NO_ITEM)
		return index;
	if (j->cursor < j->count)
		return j->cursor++;
	return ledger_item_queue_pop(j, &j->retry);
}

/** Moves a job behind its caller's others, and the caller behind the others once its share of items
 * is taken. */
static void end_turn(ledger_job_t *j)
{
	ledger_lane_t *lane = j->lane;
	ledger_band_t *b = lane->band;

	DL_DELETE(lane->ready, j);
	DL_APPEND(lane->ready, j);
	if (++lane->taken < j->share)
		return;
	lane->taken = 0;
	DL_DELETE(b->ring, lane);
	DL_APPEND(b->ring, lane);
}

/** Leases one item of the caller and job whose turn it is. */
static void take_item(ledger_t *l, ledger_session_t *s, ledger_lease_record_t *le,
		      const ledger_heap_node_t *band, chunk_t *ch)
{
	ledger_band_t *b = LEDGER_CONTAINER_OF(band, ledger_band_t, node);
	ledger_job_t *j = b->ring->ready;
	uint32_t index = next_waiting(j);
	ledger_item_t *it;

	assert(index != LEDGER_NO_ITEM && j->sealed && !j->cancelled);
	it = &j->items[index];
	assert(it->state == LEDGER_ITEM_WAITING);
	it->attempts++;
	j->waiting--;
	j->leased++;
	l->leased++;
	ledger_job_lease_add_item(ledger_job_lease_get(j, s), index);
	le->refs[le->n++] = (ledger_item_ref_t){j->serial, index, it->attempts};
	end_turn(j);
	if (j->waiting == 0)
		ledger_job_dequeue(j);
	ledger_job_check_end(l, j, 0);
	fill_item(j, index, chunk_next(ch));
	chunk_booked(ch);
}

static void mark_overdue(ledger_service_t *s, int64_t now_ms)
{
	ledger_heap_node_t *n;

	while ((n = ledger_heap_min(&s->bands)) && (n->key + 1) * LEDGER_BAND_MS <= now_ms)
		ledger_band_mark_overdue(LEDGER_CONTAINER_OF(n, ledger_band_t, node));
}

/** The band whose turn it is: overdue work and work that can be in time alternate. */
static ledger_heap_node_t *next_band(ledger_service_t *s)
{
	ledger_heap_node_t *late = ledger_heap_min(&s->overdue);
	ledger_heap_node_t *due = ledger_heap_min(&s->bands);

	if (!late || !due)
		return late ? late : due;
	s->overdue_next = !s->overdue_next;
	return s->overdue_next ? due : late;
}

static void lease_new(ledger_t *l, ledger_session_t *s, ledger_lease_record_t *le,
		      const wire_lease_t *c, chunk_t *ch)
{
	ledger_heap_node_t *band;

	mark_overdue(le->service, c->now_wall_ms);
	le->seq = c->seq;
	le->n = 0;
	free(le->refs);
	le->refs = mem_new(ch->max * sizeof(*le->refs));
	take_orphans(s, le, ch);
	while (!chunk_full(ch) && (band = next_band(le->service)))
		take_item(l, s, le, band, ch);
}

static void drop_leased(ledger_t *l, ledger_job_t *j, uint32_t index, int64_t now_ms)
{
	ledger_job_lease_remove_item(l, j, index);
	ledger_item_finalize(l, j, index, LEDGER_ITEM_DROPPED, (str_t){0});
	j->dropped++;
	ledger_job_check_end(l, j, now_ms);
}

static int by_deadline(const void *a, const void *b)
{
	const ledger_request_t *x = *(ledger_request_t *const *)a;
	const ledger_request_t *y = *(ledger_request_t *const *)b;

	if (x->deadline_ms != y->deadline_ms)
		return x->deadline_ms < y->deadline_ms ? -1 : 1;
	return x->serial < y->serial ? -1 : 1;
}

/** The requests that a lease command gave out, in the order of then. */
static void orphans_again(const ledger_session_t *s, const ledger_lease_record_t *le, chunk_t *ch)
{
	ledger_request_t *found[LEDGER_LEASE_ITEMS_MAX];
	size_t n = 0;

	for (ledger_request_t *r = s->requests; r && n < LEDGER_LEASE_ITEMS_MAX; r = r->next)
		if (r->lease_seq == le->seq && r->service == le->service)
			found[n++] = r;
	if (n)
		qsort(found, n, sizeof(ledger_request_t *), by_deadline);
	for (size_t i = 0; i < n; i++)
		fill_request(found[i], chunk_next(ch));
}

/** Answers a resend with the items that the session still holds under that lease. The items of jobs
 * cancelled since then are dropped: the session has not begun them. */
static void lease_again(ledger_t *l, ledger_session_t *s, ledger_lease_record_t *le, int64_t now_ms,
			chunk_t *ch)
{
	orphans_again(s, le, ch);
	for (uint32_t i = 0; i < le->n && ch->res->items.items_len < ch->max; i++) {
		ledger_item_ref_t *ref = &le->refs[i];
		ledger_job_t *j;
		ledger_item_t *it;

		HASH_FIND(hh_serial, l->jobs_by_serial, &ref->job, sizeof(ref->job), j);
		it = j ? &j->items[ref->index] : NULL;
		if (!it || it->state != LEDGER_ITEM_LEASED || it->attempts != ref->attempt)
			continue;
		if (j->cancelled)
			drop_leased(l, j, ref->index, now_ms);
		else
			fill_item(j, ref->index, chunk_next(ch));
	}
}

void ledger_fill_cancelled_jobs(const ledger_session_t *s, wire_ledger_res_t *res)
{
	const ledger_job_lease_t *h;
	uint32_t n = 0;

	for (h = s->cancelled; h; h = h->next)
		n++;
	if (n == 0)
		return;
	res->cancelled.cancelled_val = mem_new(n * sizeof(wire_job_ref_t));
	for (h = s->cancelled; h; h = h->next) {
		wire_job_ref_t *ref = &res->cancelled.cancelled_val[res->cancelled.cancelled_len++];

		ref->caller = wire_copy(ledger_id_caller(&h->job->id));
		ref->job = wire_copy(ledger_id_name(&h->job->id));
	}
}

status_t ledger_check_session(const ledger_t *l, uint64_t session)
{
	if (session == 0)
		return status_fail(STATUS_INVALID, "no session");
	if (ledger_session_is_lost(l, session))
		return status_fail(STATUS_CANCELLED, "session %llu is lost",
				   (unsigned long long)session);
	return STATUS_OK;
}

void ledger_lease(ledger_t *l, const wire_lease_t *c, wire_ledger_res_t *res)
{
	status_t st = ledger_check_session(l, c->session);
	chunk_t ch = {res, c->max < LEDGER_LEASE_ITEMS_MAX ? c->max : LEDGER_LEASE_ITEMS_MAX, 0};
	ledger_session_t *s;
	ledger_lease_record_t *le;

	if (st == STATUS_OK && c->seq == 0)
		st = status_fail(STATUS_INVALID, "lease commands are counted from 1");
	if (st != STATUS_OK) {
		ledger_set_status(res, st);
		return;
	}
	s = ledger_get_session(l, c->session);
	le = lease_record(s, ledger_get_service(l, wire_str(c->service)));
	if (c->seq < le->seq) {
		ledger_set_status(res, status_fail(STATUS_CONFLICT, "lease %llu came after %llu",
						   (unsigned long long)c->seq,
						   (unsigned long long)le->seq));
		return;
	}
	res->items.items_val = mem_new(LEDGER_LEASE_ITEMS_MAX * sizeof(wire_item_t));
	if (c->seq == le->seq) {
		ch.max = LEDGER_LEASE_ITEMS_MAX;
		lease_again(l, s, le, c->now_wall_ms, &ch);
	} else {
		lease_new(l, s, le, c, &ch);
	}
	ledger_fill_cancelled_jobs(s, res);
}
