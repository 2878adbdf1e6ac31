/* The command LEASE. */
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

/** The items of an answer while it is filled. */
typedef struct {
	wire_ledger_res_t *res;
	uint32_t max;
	size_t bytes;
} reply_t;

static bool reply_is_full(const reply_t *reply)
{
	return reply->res->items.items_len >= reply->max || reply->bytes >= LEDGER_LEASE_BYTES_MAX;
}

static wire_item_t *reply_next_item(reply_t *reply)
{
	return &reply->res->items.items_val[reply->res->items.items_len++];
}

/** Counts the body of the item filled in last. */
static void reply_count_bytes(reply_t *reply)
{
	const wire_item_t *it = &reply->res->items.items_val[reply->res->items.items_len - 1];

	reply->bytes += it->body.wire_bytes_t_len;
}

/** Returns the session's lease record for a service, created if needed. */
static ledger_lease_record_t *get_lease_record(ledger_session_t *s, ledger_service_t *service)
{
	ledger_lease_record_t *rec = s->lease_records;

	while (rec && rec->service != service)
		rec = rec->next;
	if (rec)
		return rec;
	rec = mem_new(sizeof(*rec));
	rec->service = service;
	rec->next = s->lease_records;
	s->lease_records = rec;
	return rec;
}

/** Leases waiting requests, by deadline. */
static void lease_requests(ledger_session_t *s, ledger_lease_record_t *rec, reply_t *reply)
{
	ledger_heap_node_t *n;

	while (!reply_is_full(reply) && (n = ledger_heap_min(&rec->service->waiting_requests))) {
		ledger_request_t *r = LEDGER_CONTAINER_OF(n, ledger_request_t, wait_node);

		ledger_heap_remove(&rec->service->waiting_requests, n);
		r->attempts++;
		r->lease_seq = rec->seq;
		ledger_request_assign(r, s);
		fill_request(r, reply_next_item(reply));
		reply_count_bytes(reply);
	}
}

/** Takes the next waiting item of a job: returned ones first, then new ones, then retries. */
static uint32_t pop_waiting_item(ledger_job_t *j)
{
	uint32_t index = ledger_item_queue_pop(j, &j->returned);

	if (index != LEDGER_NO_ITEM)
		return index;
	if (j->cursor < j->count)
		return j->cursor++;
	return ledger_item_queue_pop(j, &j->retry);
}

/** Moves the job behind its caller's other jobs and, once the caller's share of items is taken, the
 * caller behind the other callers of the band. */
static void end_turn(ledger_job_t *j)
{
	ledger_lane_t *lane = j->lane;
	ledger_band_t *b = lane->band;

	DL_DELETE(lane->ready_jobs, j);
	DL_APPEND(lane->ready_jobs, j);
	if (++lane->turn_taken < j->share)
		return;
	lane->turn_taken = 0;
	DL_DELETE(b->ready_lanes, lane);
	DL_APPEND(b->ready_lanes, lane);
}

/** Leases one item of the caller and job whose turn it is. */
static void lease_item(ledger_t *l, ledger_session_t *s, ledger_lease_record_t *rec,
		       const ledger_heap_node_t *band, reply_t *reply)
{
	ledger_band_t *b = LEDGER_CONTAINER_OF(band, ledger_band_t, node);
	ledger_job_t *j = b->ready_lanes->ready_jobs;
	uint32_t index = pop_waiting_item(j);
	ledger_item_t *it;

	assert(index != LEDGER_NO_ITEM && j->sealed && !j->cancelled);
	it = &j->items[index];
	assert(it->state == LEDGER_ITEM_WAITING);
	it->attempts++;
	j->waiting--;
	j->leased++;
	l->leased++;
	ledger_job_lease_add_item(ledger_job_lease_get(j, s), index);
	rec->refs[rec->n++] = (ledger_item_ref_t){j->serial, index, it->attempts};
	end_turn(j);
	if (j->waiting == 0)
		ledger_job_dequeue(j);
	ledger_job_check_end(l, j, 0); /* for its asserts: with a leased item no job ends */
	fill_item(j, index, reply_next_item(reply));
	reply_count_bytes(reply);
}

/** Marks the bands all of whose deadlines have passed. */
static void mark_overdue_bands(ledger_service_t *s, int64_t now_ms)
{
	ledger_heap_node_t *n;

	while ((n = ledger_heap_min(&s->bands)) && (n->key + 1) * LEDGER_BAND_MS <= now_ms)
		ledger_band_mark_overdue(LEDGER_CONTAINER_OF(n, ledger_band_t, node));
}

/** Returns the band whose turn it is: overdue bands and bands that can be in time alternate. */
static ledger_heap_node_t *next_band(ledger_service_t *s)
{
	ledger_heap_node_t *overdue = ledger_heap_min(&s->overdue);
	ledger_heap_node_t *in_time = ledger_heap_min(&s->bands);

	if (!overdue || !in_time)
		return overdue ? overdue : in_time;
	s->overdue_next = !s->overdue_next;
	return s->overdue_next ? in_time : overdue;
}

/** Leases new work: requests first, then items. */
static void handle_new_lease(ledger_t *l, ledger_session_t *s, ledger_lease_record_t *rec,
			     const wire_lease_t *c, reply_t *reply)
{
	ledger_heap_node_t *band;

	mark_overdue_bands(rec->service, c->now_wall_ms);
	rec->seq = c->seq;
	rec->n = 0;
	free(rec->refs);
	rec->refs = mem_new(reply->max * sizeof(*rec->refs));
	lease_requests(s, rec, reply);
	while (!reply_is_full(reply) && (band = next_band(rec->service)))
		lease_item(l, s, rec, band, reply);
}

static void drop_leased_item(ledger_t *l, ledger_job_t *j, uint32_t index, int64_t now_ms)
{
	ledger_job_lease_remove_item(l, j, index);
	ledger_item_finalize(l, j, index, LEDGER_ITEM_DROPPED, (str_t){0});
	j->dropped++;
	ledger_job_check_end(l, j, now_ms);
}

static int compare_by_deadline(const void *a, const void *b)
{
	const ledger_request_t *x = *(ledger_request_t *const *)a;
	const ledger_request_t *y = *(ledger_request_t *const *)b;

	if (x->deadline_ms != y->deadline_ms)
		return x->deadline_ms < y->deadline_ms ? -1 : 1;
	return x->serial < y->serial ? -1 : 1;
}

/** Fills in again the requests that a LEASE handed out and the session still holds, in the same
 * order. */
static void refill_requests(const ledger_session_t *s, const ledger_lease_record_t *rec,
			    reply_t *reply)
{
	ledger_request_t *found[LEDGER_LEASE_ITEMS_MAX];
	size_t n = 0;

	for (ledger_request_t *r = s->requests; r && n < LEDGER_LEASE_ITEMS_MAX; r = r->next)
		if (r->lease_seq == rec->seq && r->service == rec->service)
			found[n++] = r;
	if (n)
		qsort(found, n, sizeof(ledger_request_t *), compare_by_deadline);
	for (size_t i = 0; i < n; i++)
		fill_request(found[i], reply_next_item(reply));
}

/** Answers a resend with those requests and items of the first answer that the session still holds.
 * Items of jobs cancelled since then are dropped: the session has not received them, so it has not
 * begun them. */
static void resend_lease(ledger_t *l, ledger_session_t *s, ledger_lease_record_t *rec,
			 int64_t now_ms, reply_t *reply)
{
	refill_requests(s, rec, reply);
	for (uint32_t i = 0; i < rec->n && reply->res->items.items_len < reply->max; i++) {
		ledger_item_ref_t *ref = &rec->refs[i];
		ledger_job_t *j;
		ledger_item_t *it;

		HASH_FIND(hh_serial, l->jobs_by_serial, &ref->job, sizeof(ref->job), j);
		it = j ? &j->items[ref->index] : NULL;
		if (!it || it->state != LEDGER_ITEM_LEASED || it->attempts != ref->attempt)
			continue;
		if (j->cancelled)
			drop_leased_item(l, j, ref->index, now_ms);
		else
			fill_item(j, ref->index, reply_next_item(reply));
	}
}

void ledger_fill_cancelled_jobs(const ledger_session_t *s, wire_ledger_res_t *res)
{
	const ledger_job_lease_t *jl;
	uint32_t n = 0;

	for (jl = s->cancelled_leases; jl; jl = jl->next)
		n++;
	if (n == 0)
		return;
	res->cancelled.cancelled_val = mem_new(n * sizeof(wire_job_ref_t));
	for (jl = s->cancelled_leases; jl; jl = jl->next) {
		wire_job_ref_t *ref = &res->cancelled.cancelled_val[res->cancelled.cancelled_len++];

		ref->caller = wire_copy(ledger_id_caller(&jl->job->id));
		ref->job = wire_copy(ledger_id_name(&jl->job->id));
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
	reply_t reply = {res, c->max < LEDGER_LEASE_ITEMS_MAX ? c->max : LEDGER_LEASE_ITEMS_MAX, 0};
	ledger_session_t *s;
	ledger_lease_record_t *rec;

	if (st == STATUS_OK && c->seq == 0)
		st = status_fail(STATUS_INVALID, "lease sequence number must not be 0");
	if (st != STATUS_OK) {
		ledger_set_status(res, st);
		return;
	}
	s = ledger_get_session(l, c->session);
	rec = get_lease_record(s, ledger_get_service(l, wire_str(c->service)));
	if (c->seq < rec->seq) {
		ledger_set_status(res, status_fail(STATUS_CONFLICT,
						   "lease %llu is older than the newest, %llu",
						   (unsigned long long)c->seq,
						   (unsigned long long)rec->seq));
		return;
	}
	res->items.items_val = mem_new(LEDGER_LEASE_ITEMS_MAX * sizeof(wire_item_t));
	if (c->seq == rec->seq) {
		reply.max = LEDGER_LEASE_ITEMS_MAX;
		resend_lease(l, s, rec, c->now_wall_ms, &reply);
	} else {
		handle_new_lease(l, s, rec, c, &reply);
	}
	ledger_fill_cancelled_jobs(s, res);
}
