/* Restores the ledger from a snapshot. */
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include "state/ledger_internal.h"
#include "state/pack.h"

/* Item bodies per block of restored jobs. */
#define BLOCK_ITEMS 256U

/** Reads a node; returns true if it was in its heap. */
static bool unpack_heap_node(unpacker_t *in, ledger_heap_node_t *n, uint64_t serial)
{
	bool queued = unpack_u64_max(in, 1) == 1;

	n->key = unpack_i64(in);
	n->serial = serial;
	return queued;
}

/** Which list a request is in, as read from the snapshot. */
typedef struct {
	uint64_t session; /* 0: none */
	bool waits;
	bool ended;
} placement_t;

static void unpack_input(unpacker_t *in, ledger_request_t *r)
{
	str_t input;

	r->path_n = (uint32_t)unpack_u64_max(in, UINT32_MAX);
	r->body_n = (uint32_t)unpack_u64_max(in, UINT32_MAX);
	r->trace_n = (uint32_t)unpack_u64_max(in, UINT32_MAX);
	input = unpack_str(in);
	if (r->state >= WIRE_DONE)
		return;
	r->input = mem_new(input.n);
	if (input.n)
		memcpy(r->input, input.p, input.n);
	if ((uint64_t)r->path_n + r->body_n + r->trace_n != input.n)
		in->bad = true;
}

static void unpack_request_fields(unpacker_t *in, ledger_t *l, ledger_request_t *r,
				  placement_t *place)
{
	str_t caller = unpack_str(in);
	str_t key = unpack_str(in);
	str_t result;

	r->id = ledger_id_new(caller, key);
	r->serial = unpack_u64(in);
	r->digest = unpack_u64(in);
	r->token = unpack_u64(in);
	r->lease_seq = unpack_u64(in);
	place->session = unpack_u64(in);
	r->deadline_ms = unpack_i64(in);
	r->service = ledger_get_service(l, unpack_str(in));
	r->state = (wire_state_t)unpack_u64_max(in, WIRE_CANCELLED);
	unpack_input(in, r);
	result = unpack_str(in);
	r->result = ledger_copy_bytes(result);
	r->result_n = (uint32_t)result.n;
	r->verdict = (int)unpack_i64(in);
	r->http_status = (int)unpack_i64(in);
	r->attempts = (uint32_t)unpack_u64_max(in, UINT32_MAX);
	r->fails = (uint8_t)unpack_u64_max(in, UINT8_MAX);
	r->deaths = (uint8_t)unpack_u64_max(in, UINT8_MAX);
	r->repeatable = unpack_u64_max(in, 1) == 1;
	place->waits = unpack_heap_node(in, &r->wait_node, r->serial);
	place->ended = unpack_heap_node(in, &r->expiry_node, r->serial);
}

/** A request is in exactly one list: ended, held by a session, or waiting for one. */
static bool placement_is_valid(const ledger_request_t *r, const placement_t *place)
{
	bool final = r->state >= WIRE_DONE;

	if (place->waits && r->state != WIRE_ACCEPTED)
		return false;
	return place->ended == final && place->ended + place->waits + (place->session != 0) == 1;
}

static void unpack_request(unpacker_t *in, ledger_t *l)
{
	ledger_request_t *r = mem_new(sizeof(*r));
	placement_t place;

	unpack_request_fields(in, l, r, &place);
	ledger_request_add(l, r);
	if (in->bad || !placement_is_valid(r, &place)) {
		in->bad = true;
		return;
	}
	if (place.ended)
		ledger_heap_push(&l->ended_requests, &r->expiry_node);
	else if (place.session)
		ledger_request_assign(r, ledger_get_session(l, place.session));
	else
		ledger_request_enqueue(r);
}

static void unpack_item_queue(unpacker_t *in, ledger_job_t *j, ledger_item_queue_t *q)
{
	uint64_t i;

	while ((i = unpack_u64_max(in, j->received))) {
		if (j->items[i - 1].state != LEDGER_ITEM_WAITING) {
			in->bad = true;
			return;
		}
		ledger_item_queue_push(j, q, (uint32_t)i - 1);
	}
}

/** One item as read from the snapshot. */
typedef struct {
	uint8_t state;
	uint8_t fails;
	uint8_t deaths;
	uint32_t attempts;
	str_t data;
} item_fields_t;

static void unpack_item(unpacker_t *in, item_fields_t *item)
{
	item->state = (uint8_t)unpack_u64_max(in, LEDGER_ITEM_DROPPED);
	item->attempts = (uint32_t)unpack_u64_max(in, UINT32_MAX);
	item->fails = (uint8_t)unpack_u64_max(in, UINT8_MAX);
	item->deaths = (uint8_t)unpack_u64_max(in, UINT8_MAX);
	item->data = unpack_str(in);
}

/** Restores n items, at most BLOCK_ITEMS: first the bodies, then the results of final items. */
static void unpack_items(unpacker_t *in, ledger_t *l, ledger_job_t *j, uint32_t n)
{
	item_fields_t read[BLOCK_ITEMS];
	wire_bytes_t bodies[BLOCK_ITEMS] = {0};
	uint32_t first = j->received;

	for (uint32_t i = 0; i < n; i++) {
		unpack_item(in, &read[i]);
		bodies[i] =
			wire_bytes(read[i].state < LEDGER_ITEM_DONE ? read[i].data : (str_t){0});
	}
	ledger_job_add_bodies(l, j, bodies, n);
	for (uint32_t i = 0; i < n; i++) {
		ledger_item_t *it = &j->items[first + i];

		it->attempts = read[i].attempts;
		it->fails = read[i].fails;
		it->deaths = read[i].deaths;
		if (read[i].state >= LEDGER_ITEM_DONE)
			ledger_item_finalize(l, j, first + i, read[i].state, read[i].data);
	}
}

static void unpack_job_fields(unpacker_t *in, ledger_t *l, ledger_job_t *j)
{
	str_t caller = unpack_str(in);
	str_t name = unpack_str(in);
	str_t trace;

	j->id = ledger_id_new(caller, name);
	j->serial = unpack_u64(in);
	j->digest = unpack_u64(in);
	j->running_digest = unpack_u64(in);
	j->deadline_ms = unpack_i64(in);
	j->service = ledger_get_service(l, unpack_str(in));
	trace = unpack_str(in);
	j->trace = ledger_copy_bytes(trace);
	j->trace_n = (uint32_t)trace.n;
	j->share = (uint32_t)unpack_u64_max(in, UINT32_MAX);
	j->count = (uint32_t)unpack_u64_max(in, LEDGER_JOB_ITEMS_MAX);
	j->done = (uint32_t)unpack_u64_max(in, j->count);
	j->failed = (uint32_t)unpack_u64_max(in, j->count);
	j->dropped = (uint32_t)unpack_u64_max(in, j->count);
	j->sealed = unpack_u64_max(in, 1) == 1;
	j->cancelled = unpack_u64_max(in, 1) == 1;
	j->cursor = (uint32_t)unpack_u64_max(in, j->count);
}

static void unpack_job_items(unpacker_t *in, ledger_t *l, ledger_job_t *j, uint32_t received)
{
	while (!in->bad && j->received < received) {
		uint32_t left = received - j->received;

		unpack_items(in, l, j, left < BLOCK_ITEMS ? left : BLOCK_ITEMS);
	}
	if (in->bad || j->cancelled)
		return;
	unpack_item_queue(in, j, &j->returned);
	unpack_item_queue(in, j, &j->retry);
}

/** Adds the job to the ended or unsealed jobs, or else to a lane, from which its items can be
 * leased. */
static void place_job(unpacker_t *in, ledger_t *l, ledger_job_t *j, bool queued)
{
	bool open = !j->sealed && !j->cancelled;

	if ((open && !queued) || (j->sealed && j->received < j->count))
		in->bad = true;
	if (in->bad)
		return;
	if (queued)
		ledger_heap_push(open ? &l->unsealed_jobs : &l->ended_jobs, &j->expiry_node);
	else if (j->sealed)
		ledger_job_join_lane(j);
}

static void unpack_job(unpacker_t *in, ledger_t *l)
{
	ledger_job_t *j = mem_new(sizeof(*j));
	uint64_t ended;
	uint32_t received;
	bool queued;

	unpack_job_fields(in, l, j);
	received = (uint32_t)unpack_u64_max(in, j->count);
	queued = unpack_heap_node(in, &j->expiry_node, j->serial);
	ledger_job_add(l, j);
	ended = (uint64_t)j->done + j->failed + j->dropped;
	if (ended > j->count)
		in->bad = true;
	j->waiting = in->bad ? j->count : j->count - (uint32_t)ended;
	unpack_job_items(in, l, j, received);
	place_job(in, l, j, queued);
}

/** Reads one job lease; returns false at the end of the list or if the snapshot is malformed. */
static bool unpack_job_lease(unpacker_t *in, ledger_t *l, ledger_session_t *s)
{
	uint64_t serial = unpack_u64(in);
	ledger_job_t *j;
	ledger_job_lease_t *jl;
	uint64_t i;

	if (serial == 0 || in->bad)
		return false;
	HASH_FIND(hh_serial, l->jobs_by_serial, &serial, sizeof(serial), j);
	if (!j) {
		in->bad = true;
		return false;
	}
	jl = ledger_job_lease_get(j, s);
	while ((i = unpack_u64_max(in, j->received))) {
		if (j->items[i - 1].state != LEDGER_ITEM_WAITING || j->waiting == 0) {
			in->bad = true;
			return false;
		}
		ledger_job_lease_add_item(jl, (uint32_t)i - 1);
		j->waiting--;
		j->leased++;
		l->leased++;
	}
	if (jl->n == 0)
		in->bad = true;
	return !in->bad;
}

static void unpack_lease_record(unpacker_t *in, ledger_t *l, ledger_session_t *s)
{
	ledger_lease_record_t *rec = mem_new(sizeof(*rec));

	rec->service = ledger_get_service(l, unpack_str(in));
	rec->seq = unpack_u64(in);
	rec->n = (uint32_t)unpack_u64_max(in, LEDGER_LEASE_ITEMS_MAX);
	rec->refs = mem_new(LEDGER_LEASE_ITEMS_MAX * sizeof(*rec->refs));
	for (uint32_t i = 0; i < rec->n; i++) {
		rec->refs[i].job = unpack_u64(in);
		rec->refs[i].index = (uint32_t)unpack_u64_max(in, LEDGER_JOB_ITEMS_MAX);
		rec->refs[i].attempt = (uint32_t)unpack_u64_max(in, UINT32_MAX);
	}
	LL_APPEND(s->lease_records, rec);
}

static void unpack_session(unpacker_t *in, ledger_t *l)
{
	ledger_session_t *s = ledger_get_session(l, unpack_u64(in));

	/* First the leases of jobs that are not cancelled, then those of cancelled jobs. */
	while (unpack_job_lease(in, l, s))
		;
	while (!in->bad && unpack_job_lease(in, l, s))
		;
	while (!in->bad && unpack_u64_max(in, 1))
		unpack_lease_record(in, l, s);
}

/** Queues the jobs with waiting items in order of turns. */
static void unpack_bands(unpacker_t *in, ledger_t *l, bool overdue)
{
	uint64_t serial;
	ledger_job_t *j;

	while ((serial = unpack_u64(in))) {
		HASH_FIND(hh_serial, l->jobs_by_serial, &serial, sizeof(serial), j);
		if (!j || !j->lane || j->queued || j->waiting == 0) {
			in->bad = true;
			return;
		}
		ledger_job_enqueue(j);
		j->lane->turn_taken = (uint32_t)unpack_u64_max(in, UINT32_MAX);
		if (overdue && !j->lane->band->overdue)
			ledger_band_mark_overdue(j->lane->band);
	}
}

/** Reads the turns of the bands, callers and jobs of one service. */
static void unpack_turns(unpacker_t *in, ledger_t *l)
{
	ledger_service_t *s = ledger_get_service(l, unpack_str(in));

	s->overdue_next = unpack_u64_max(in, 1) == 1;
	unpack_bands(in, l, true);
	if (!in->bad)
		unpack_bands(in, l, false);
}

/** Checks that the counts of the restored jobs add up, and that the jobs with waiting items in a
 * lane are queued, and no others. */
static void check_job_counts(unpacker_t *in, const ledger_t *l)
{
	for (const ledger_job_t *j = l->jobs; j && !in->bad; j = j->hh.next) {
		uint64_t sum = (uint64_t)j->waiting + j->leased + j->done + j->failed + j->dropped;

		if (sum != j->count || j->queued != (j->lane && j->waiting > 0))
			in->bad = true;
	}
}

static status_t unpack_all(ledger_t *l, str_t snap)
{
	unpacker_t in = {snap, false};
	uint64_t n;

	if (unpack_u64(&in) != LEDGER_SNAPSHOT_MAGIC || unpack_u64(&in) != LEDGER_SNAPSHOT_VERSION)
		return status_fail(STATUS_CORRUPT, "not a ledger snapshot of version %u",
				   LEDGER_SNAPSHOT_VERSION);
	l->serial = unpack_u64(&in);
	l->late_dropped = unpack_u64(&in);
	for (n = unpack_u64(&in); n > 0 && !in.bad; n--)
		ledger_mark_session_lost(l, unpack_u64(&in));
	for (n = unpack_u64(&in); n > 0 && !in.bad; n--)
		ledger_get_service(l, unpack_str(&in));
	for (n = unpack_u64(&in); n > 0 && !in.bad; n--)
		ledger_get_session(l, unpack_u64(&in));
	for (n = unpack_u64(&in); n > 0 && !in.bad; n--)
		unpack_request(&in, l);
	for (n = unpack_u64(&in); n > 0 && !in.bad; n--)
		unpack_job(&in, l);
	for (n = unpack_u64(&in); n > 0 && !in.bad; n--)
		unpack_session(&in, l);
	for (n = unpack_u64(&in); n > 0 && !in.bad; n--)
		unpack_turns(&in, l);
	check_job_counts(&in, l);
	return unpack_end(&in, "ledger");
}

status_t ledger_restore(ledger_t *l, str_t snap)
{
	ledger_t *fresh = ledger_new();
	status_t st = unpack_all(fresh, snap);
	ledger_t old = *l;

	if (st == STATUS_OK) {
		*l = *fresh;
		*fresh = old;
	}
	ledger_free(fresh);
	return st;
}
