#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include "state/ledger_internal.h"
#include "state/pack.h"

/* Bodies that go into one block. */
#define BLOCK_ITEMS 256U

static bool get_node(unpacker_t *in, ledger_heap_node_t *n, uint64_t serial)
{
	bool queued = unpack_u64_max(in, 1) == 1;

	n->key = unpack_i64(in);
	n->serial = serial;
	return queued;
}

/** What a request's line says about its place. */
typedef struct {
	uint64_t session; /* 0: none */
	bool waits;
	bool ended;
} place_t;

static void get_input(unpacker_t *in, ledger_request_t *r)
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

static void get_request_fields(unpacker_t *in, ledger_t *l, ledger_request_t *r, place_t *at)
{
	str_t caller = unpack_str(in);
	str_t key = unpack_str(in);
	str_t result;

	r->id = ledger_id_new(caller, key);
	r->serial = unpack_u64(in);
	r->digest = unpack_u64(in);
	r->token = unpack_u64(in);
	r->lease_seq = unpack_u64(in);
	at->session = unpack_u64(in);
	r->deadline_ms = unpack_i64(in);
	r->service = ledger_get_service(l, unpack_str(in));
	r->state = (wire_state_t)unpack_u64_max(in, WIRE_CANCELLED);
	get_input(in, r);
	result = unpack_str(in);
	r->result = ledger_copy_bytes(result);
	r->result_n = (uint32_t)result.n;
	r->verdict = (int)unpack_i64(in);
	r->http_status = (int)unpack_i64(in);
	r->attempts = (uint32_t)unpack_u64_max(in, UINT32_MAX);
	r->fails = (uint8_t)unpack_u64_max(in, UINT8_MAX);
	r->deaths = (uint8_t)unpack_u64_max(in, UINT8_MAX);
	r->repeatable = unpack_u64_max(in, 1) == 1;
	at->waits = get_node(in, &r->wait, r->serial);
	at->ended = get_node(in, &r->end, r->serial);
}

/** A request is in just one place: ended, held by a session, or waiting for one. */
static bool place_fits(const ledger_request_t *r, const place_t *at)
{
	bool final = r->state >= WIRE_DONE;

	if (at->waits && r->state != WIRE_ACCEPTED)
		return false;
	return at->ended == final && at->ended + at->waits + (at->session != 0) == 1;
}

static void get_request(unpacker_t *in, ledger_t *l)
{
	ledger_request_t *r = mem_new(sizeof(*r));
	place_t at;

	get_request_fields(in, l, r, &at);
	ledger_request_add(l, r);
	if (in->bad || !place_fits(r, &at)) {
		in->bad = true;
		return;
	}
	if (at.ended)
		ledger_heap_push(&l->ended_requests, &r->end);
	else if (at.session)
		ledger_request_assign(r, ledger_get_session(l, at.session));
	else
		ledger_request_enqueue(r);
}

static void get_queue(unpacker_t *in, ledger_job_t *j, ledger_item_queue_t *q)
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

/** One item's line of the snapshot. */
typedef struct {
	uint8_t state;
	uint8_t fails;
	uint8_t deaths;
	uint32_t attempts;
	str_t data;
} item_line_t;

static void get_item(unpacker_t *in, item_line_t *line)
{
	line->state = (uint8_t)unpack_u64_max(in, LEDGER_ITEM_DROPPED);
	line->attempts = (uint32_t)unpack_u64_max(in, UINT32_MAX);
	line->fails = (uint8_t)unpack_u64_max(in, UINT8_MAX);
	line->deaths = (uint8_t)unpack_u64_max(in, UINT8_MAX);
	line->data = unpack_str(in);
}

/** Restores up to BLOCK_ITEMS items: the bodies first, then the ends of final ones. */
static void get_items(unpacker_t *in, ledger_t *l, ledger_job_t *j, uint32_t n)
{
	item_line_t lines[BLOCK_ITEMS];
	wire_bytes_t bodies[BLOCK_ITEMS] = {0};
	uint32_t first = j->received;

	for (uint32_t i = 0; i < n; i++) {
		get_item(in, &lines[i]);
		bodies[i] =
			wire_bytes(lines[i].state < LEDGER_ITEM_DONE ? lines[i].data : (str_t){0});
	}
	ledger_job_add_bodies(l, j, bodies, n);
	for (uint32_t i = 0; i < n; i++) {
		ledger_item_t *it = &j->items[first + i];

		it->attempts = lines[i].attempts;
		it->fails = lines[i].fails;
		it->deaths = lines[i].deaths;
		if (lines[i].state >= LEDGER_ITEM_DONE)
			ledger_item_finalize(l, j, first + i, lines[i].state, lines[i].data);
	}
}

static void get_job_fields(unpacker_t *in, ledger_t *l, ledger_job_t *j)
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

static void get_job_items(unpacker_t *in, ledger_t *l, ledger_job_t *j, uint32_t received)
{
	while (!in->bad && j->received < received) {
		uint32_t left = received - j->received;

		get_items(in, l, j, left < BLOCK_ITEMS ? left : BLOCK_ITEMS);
	}
	if (in->bad || j->cancelled)
		return;
	get_queue(in, j, &j->back);
	get_queue(in, j, &j->retry);
}

/** Puts a job into the list of ended or unsealed ones, or where it can be leased from. */
static void place_job(unpacker_t *in, ledger_t *l, ledger_job_t *j, bool queued)
{
	bool open = !j->sealed && !j->cancelled;

	if ((open && !queued) || (j->sealed && j->received < j->count))
		in->bad = true;
	if (in->bad)
		return;
	if (queued)
		ledger_heap_push(open ? &l->unsealed_jobs : &l->ended_jobs, &j->end);
	else if (j->sealed)
		ledger_job_join_lane(j);
}

static void get_job(unpacker_t *in, ledger_t *l)
{
	ledger_job_t *j = mem_new(sizeof(*j));
	uint64_t ended;
	uint32_t received;
	bool queued;

	get_job_fields(in, l, j);
	received = (uint32_t)unpack_u64_max(in, j->count);
	queued = get_node(in, &j->end, j->serial);
	ledger_job_add(l, j);
	ended = (uint64_t)j->done + j->failed + j->dropped;
	if (ended > j->count)
		in->bad = true;
	j->waiting = in->bad ? j->count : j->count - (uint32_t)ended;
	get_job_items(in, l, j, received);
	place_job(in, l, j, queued);
}

static bool get_hold(unpacker_t *in, ledger_t *l, ledger_session_t *s)
{
	uint64_t serial = unpack_u64(in);
	ledger_job_t *j;
	ledger_job_lease_t *h;
	uint64_t i;

	if (serial == 0 || in->bad)
		return false;
	HASH_FIND(hh_serial, l->jobs_by_serial, &serial, sizeof(serial), j);
	if (!j) {
		in->bad = true;
		return false;
	}
	h = ledger_job_lease_get(j, s);
	while ((i = unpack_u64_max(in, j->received))) {
		if (j->items[i - 1].state != LEDGER_ITEM_WAITING || j->waiting == 0) {
			in->bad = true;
			return false;
		}
		ledger_job_lease_add_item(h, (uint32_t)i - 1);
		j->waiting--;
		j->leased++;
		l->leased++;
	}
	if (h->n == 0)
		in->bad = true;
	return !in->bad;
}

static void get_lease(unpacker_t *in, ledger_t *l, ledger_session_t *s)
{
	ledger_lease_record_t *le = mem_new(sizeof(*le));

	le->service = ledger_get_service(l, unpack_str(in));
	le->seq = unpack_u64(in);
	le->n = (uint32_t)unpack_u64_max(in, LEDGER_LEASE_ITEMS_MAX);
	le->refs = mem_new(LEDGER_LEASE_ITEMS_MAX * sizeof(*le->refs));
	for (uint32_t i = 0; i < le->n; i++) {
		le->refs[i].job = unpack_u64(in);
		le->refs[i].index = (uint32_t)unpack_u64_max(in, LEDGER_JOB_ITEMS_MAX);
		le->refs[i].attempt = (uint32_t)unpack_u64_max(in, UINT32_MAX);
	}
	LL_APPEND(s->leases, le);
}

static void get_session(unpacker_t *in, ledger_t *l)
{
	ledger_session_t *s = ledger_get_session(l, unpack_u64(in));

	while (get_hold(in, l, s))
		;
	while (!in->bad && get_hold(in, l, s))
		;
	while (!in->bad && unpack_u64_max(in, 1))
		get_lease(in, l, s);
}

static void get_bands(unpacker_t *in, ledger_t *l, bool late)
{
	uint64_t serial;
	ledger_job_t *j;

	while ((serial = unpack_u64(in))) {
		HASH_FIND(hh_serial, l->jobs_by_serial, &serial, sizeof(serial), j);
		if (!j || !j->lane || j->ready || j->waiting == 0) {
			in->bad = true;
			return;
		}
		ledger_job_enqueue(j);
		j->lane->taken = (uint32_t)unpack_u64_max(in, UINT32_MAX);
		if (late && !j->lane->band->late)
			ledger_band_mark_overdue(j->lane->band);
	}
}

static void get_turns(unpacker_t *in, ledger_t *l)
{
	ledger_service_t *s = ledger_get_service(l, unpack_str(in));

	s->overdue_next = unpack_u64_max(in, 1) == 1;
	get_bands(in, l, true);
	if (!in->bad)
		get_bands(in, l, false);
}

/** Checks the counts of restored jobs. */
static void check_jobs(unpacker_t *in, const ledger_t *l)
{
	for (const ledger_job_t *j = l->jobs; j && !in->bad; j = j->hh.next) {
		uint64_t sum = (uint64_t)j->waiting + j->leased + j->done + j->failed + j->dropped;

		if (sum != j->count || j->ready != (j->lane && j->waiting > 0))
			in->bad = true;
	}
}

static status_t read_all(ledger_t *l, str_t snap)
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
		get_request(&in, l);
	for (n = unpack_u64(&in); n > 0 && !in.bad; n--)
		get_job(&in, l);
	for (n = unpack_u64(&in); n > 0 && !in.bad; n--)
		get_session(&in, l);
	for (n = unpack_u64(&in); n > 0 && !in.bad; n--)
		get_turns(&in, l);
	check_jobs(&in, l);
	return unpack_end(&in, "ledger");
}

status_t ledger_restore(ledger_t *l, str_t snap)
{
	ledger_t *fresh = ledger_new();
	status_t st = read_all(fresh, snap);
	ledger_t old = *l;

	if (st == STATUS_OK) {
		*l = *fresh;
		*fresh = old;
	}
	ledger_free(fresh);
	return st;
}
