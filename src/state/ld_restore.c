#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include "state/ld_core.h"
#include "state/sn.h"

/* Bodies that go into one block. */
#define BLOCK_ITEMS 256U

static bool get_node(sn_reader_t *in, ld_node_t *n, uint64_t serial)
{
	bool queued = sn_get_max(in, 1) == 1;

	n->key = sn_get_i64(in);
	n->serial = serial;
	return queued;
}

/** What a request's line says about its place. */
typedef struct {
	uint64_t session; /* 0: none */
	bool waits;
	bool ended;
} place_t;

static void get_input(sn_reader_t *in, ld_request_t *r)
{
	str_t input;

	r->path_n = (uint32_t)sn_get_max(in, UINT32_MAX);
	r->body_n = (uint32_t)sn_get_max(in, UINT32_MAX);
	r->trace_n = (uint32_t)sn_get_max(in, UINT32_MAX);
	input = sn_get_str(in);
	if (r->state >= AW_DONE)
		return;
	r->input = mem_new(input.n);
	if (input.n)
		memcpy(r->input, input.p, input.n);
	if ((uint64_t)r->path_n + r->body_n + r->trace_n != input.n)
		in->bad = true;
}

static void get_request_fields(sn_reader_t *in, ld_t *l, ld_request_t *r, place_t *at)
{
	str_t caller = sn_get_str(in);
	str_t key = sn_get_str(in);
	str_t result;

	r->id = ld_id_new(caller, key);
	r->serial = sn_get(in);
	r->digest = sn_get(in);
	r->token = sn_get(in);
	r->lease_seq = sn_get(in);
	at->session = sn_get(in);
	r->deadline_ms = sn_get_i64(in);
	r->service = ld_service(l, sn_get_str(in));
	r->state = (aw_state_t)sn_get_max(in, AW_CANCELLED);
	get_input(in, r);
	result = sn_get_str(in);
	r->result = ld_copy(result);
	r->result_n = (uint32_t)result.n;
	r->verdict = (int)sn_get_i64(in);
	r->http_status = (int)sn_get_i64(in);
	r->attempts = (uint32_t)sn_get_max(in, UINT32_MAX);
	r->fails = (uint8_t)sn_get_max(in, UINT8_MAX);
	r->deaths = (uint8_t)sn_get_max(in, UINT8_MAX);
	r->repeatable = sn_get_max(in, 1) == 1;
	at->waits = get_node(in, &r->wait, r->serial);
	at->ended = get_node(in, &r->end, r->serial);
}

/** A request is in just one place: ended, held by a session, or waiting for one. */
static bool place_fits(const ld_request_t *r, const place_t *at)
{
	bool final = r->state >= AW_DONE;

	if (at->waits && r->state != AW_ACCEPTED)
		return false;
	return at->ended == final && at->ended + at->waits + (at->session != 0) == 1;
}

static void get_request(sn_reader_t *in, ld_t *l)
{
	ld_request_t *r = mem_new(sizeof(*r));
	place_t at;

	get_request_fields(in, l, r, &at);
	ld_request_add(l, r);
	if (in->bad || !place_fits(r, &at)) {
		in->bad = true;
		return;
	}
	if (at.ended)
		ld_heap_push(&l->ended_requests, &r->end);
	else if (at.session)
		ld_request_hold(r, ld_session(l, at.session));
	else
		ld_request_wait(r);
}

static void get_queue(sn_reader_t *in, ld_job_t *j, ld_queue_t *q)
{
	uint64_t i;

	while ((i = sn_get_max(in, j->received))) {
		if (j->items[i - 1].state != LD_WAITING) {
			in->bad = true;
			return;
		}
		ld_queue_push(j, q, (uint32_t)i - 1);
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

static void get_item(sn_reader_t *in, item_line_t *line)
{
	line->state = (uint8_t)sn_get_max(in, LD_DROPPED);
	line->attempts = (uint32_t)sn_get_max(in, UINT32_MAX);
	line->fails = (uint8_t)sn_get_max(in, UINT8_MAX);
	line->deaths = (uint8_t)sn_get_max(in, UINT8_MAX);
	line->data = sn_get_str(in);
}

/** Restores up to BLOCK_ITEMS items: the bodies first, then the ends of final ones. */
static void get_items(sn_reader_t *in, ld_t *l, ld_job_t *j, uint32_t n)
{
	item_line_t lines[BLOCK_ITEMS];
	aw_bytes_t bodies[BLOCK_ITEMS] = {0};
	uint32_t first = j->received;

	for (uint32_t i = 0; i < n; i++) {
		get_item(in, &lines[i]);
		bodies[i] = px_bytes(lines[i].state < LD_DONE ? lines[i].data : (str_t){0});
	}
	ld_job_take_bodies(l, j, bodies, n);
	for (uint32_t i = 0; i < n; i++) {
		ld_item_t *it = &j->items[first + i];

		it->attempts = lines[i].attempts;
		it->fails = lines[i].fails;
		it->deaths = lines[i].deaths;
		if (lines[i].state >= LD_DONE)
			ld_item_end(l, j, first + i, lines[i].state, lines[i].data);
	}
}

static void get_job_fields(sn_reader_t *in, ld_t *l, ld_job_t *j)
{
	str_t caller = sn_get_str(in);
	str_t name = sn_get_str(in);
	str_t trace;

	j->id = ld_id_new(caller, name);
	j->serial = sn_get(in);
	j->digest = sn_get(in);
	j->running_digest = sn_get(in);
	j->deadline_ms = sn_get_i64(in);
	j->service = ld_service(l, sn_get_str(in));
	trace = sn_get_str(in);
	j->trace = ld_copy(trace);
	j->trace_n = (uint32_t)trace.n;
	j->share = (uint32_t)sn_get_max(in, UINT32_MAX);
	j->count = (uint32_t)sn_get_max(in, LD_JOB_ITEMS_MAX);
	j->done = (uint32_t)sn_get_max(in, j->count);
	j->failed = (uint32_t)sn_get_max(in, j->count);
	j->dropped = (uint32_t)sn_get_max(in, j->count);
	j->sealed = sn_get_max(in, 1) == 1;
	j->cancelled = sn_get_max(in, 1) == 1;
	j->cursor = (uint32_t)sn_get_max(in, j->count);
}

static void get_job_items(sn_reader_t *in, ld_t *l, ld_job_t *j, uint32_t received)
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
static void place_job(sn_reader_t *in, ld_t *l, ld_job_t *j, bool queued)
{
	bool open = !j->sealed && !j->cancelled;

	if ((open && !queued) || (j->sealed && j->received < j->count))
		in->bad = true;
	if (in->bad)
		return;
	if (queued)
		ld_heap_push(open ? &l->unsealed_jobs : &l->ended_jobs, &j->end);
	else if (j->sealed)
		ld_job_enlist(j);
}

static void get_job(sn_reader_t *in, ld_t *l)
{
	ld_job_t *j = mem_new(sizeof(*j));
	uint64_t ended;
	uint32_t received;
	bool queued;

	get_job_fields(in, l, j);
	received = (uint32_t)sn_get_max(in, j->count);
	queued = get_node(in, &j->end, j->serial);
	ld_job_add(l, j);
	ended = (uint64_t)j->done + j->failed + j->dropped;
	if (ended > j->count)
		in->bad = true;
	j->waiting = in->bad ? j->count : j->count - (uint32_t)ended;
	get_job_items(in, l, j, received);
	place_job(in, l, j, queued);
}

static bool get_hold(sn_reader_t *in, ld_t *l, ld_session_t *s)
{
	uint64_t serial = sn_get(in);
	ld_job_t *j;
	ld_hold_t *h;
	uint64_t i;

	if (serial == 0 || in->bad)
		return false;
	HASH_FIND(hh_serial, l->jobs_by_serial, &serial, sizeof(serial), j);
	if (!j) {
		in->bad = true;
		return false;
	}
	h = ld_hold_get(j, s);
	while ((i = sn_get_max(in, j->received))) {
		if (j->items[i - 1].state != LD_WAITING || j->waiting == 0) {
			in->bad = true;
			return false;
		}
		ld_hold_add(h, (uint32_t)i - 1);
		j->waiting--;
		j->leased++;
		l->leased++;
	}
	if (h->n == 0)
		in->bad = true;
	return !in->bad;
}

static void get_lease(sn_reader_t *in, ld_t *l, ld_session_t *s)
{
	ld_lease_t *le = mem_new(sizeof(*le));

	le->service = ld_service(l, sn_get_str(in));
	le->seq = sn_get(in);
	le->n = (uint32_t)sn_get_max(in, LD_LEASE_CHUNK_MAX);
	le->refs = mem_new(LD_LEASE_CHUNK_MAX * sizeof(*le->refs));
	for (uint32_t i = 0; i < le->n; i++) {
		le->refs[i].job = sn_get(in);
		le->refs[i].index = (uint32_t)sn_get_max(in, LD_JOB_ITEMS_MAX);
		le->refs[i].attempt = (uint32_t)sn_get_max(in, UINT32_MAX);
	}
	LL_APPEND(s->leases, le);
}

static void get_session(sn_reader_t *in, ld_t *l)
{
	ld_session_t *s = ld_session(l, sn_get(in));

	while (get_hold(in, l, s))
		;
	while (!in->bad && get_hold(in, l, s))
		;
	while (!in->bad && sn_get_max(in, 1))
		get_lease(in, l, s);
}

static void get_bands(sn_reader_t *in, ld_t *l, bool late)
{
	uint64_t serial;
	ld_job_t *j;

	while ((serial = sn_get(in))) {
		HASH_FIND(hh_serial, l->jobs_by_serial, &serial, sizeof(serial), j);
		if (!j || !j->lane || j->ready || j->waiting == 0) {
			in->bad = true;
			return;
		}
		ld_job_ready(j);
		j->lane->taken = (uint32_t)sn_get_max(in, UINT32_MAX);
		if (late && !j->lane->band->late)
			ld_band_late(j->lane->band);
	}
}

static void get_turns(sn_reader_t *in, ld_t *l)
{
	ld_service_t *s = ld_service(l, sn_get_str(in));

	s->overdue_next = sn_get_max(in, 1) == 1;
	get_bands(in, l, true);
	if (!in->bad)
		get_bands(in, l, false);
}

/** Checks the counts of restored jobs. */
static void check_jobs(sn_reader_t *in, const ld_t *l)
{
	for (const ld_job_t *j = l->jobs; j && !in->bad; j = j->hh.next) {
		uint64_t sum = (uint64_t)j->waiting + j->leased + j->done + j->failed + j->dropped;

		if (sum != j->count || j->ready != (j->lane && j->waiting > 0))
			in->bad = true;
	}
}

static status_t read_all(ld_t *l, str_t snap)
{
	sn_reader_t in = {snap, false};
	uint64_t n;

	if (sn_get(&in) != LD_SNAPSHOT_MAGIC || sn_get(&in) != LD_SNAPSHOT_VERSION)
		return st_fail(ST_CORRUPT, "not a ledger snapshot of version %u",
			       LD_SNAPSHOT_VERSION);
	l->serial = sn_get(&in);
	l->late_dropped = sn_get(&in);
	for (n = sn_get(&in); n > 0 && !in.bad; n--)
		ld_mark_lost(l, sn_get(&in));
	for (n = sn_get(&in); n > 0 && !in.bad; n--)
		ld_service(l, sn_get_str(&in));
	for (n = sn_get(&in); n > 0 && !in.bad; n--)
		ld_session(l, sn_get(&in));
	for (n = sn_get(&in); n > 0 && !in.bad; n--)
		get_request(&in, l);
	for (n = sn_get(&in); n > 0 && !in.bad; n--)
		get_job(&in, l);
	for (n = sn_get(&in); n > 0 && !in.bad; n--)
		get_session(&in, l);
	for (n = sn_get(&in); n > 0 && !in.bad; n--)
		get_turns(&in, l);
	check_jobs(&in, l);
	return sn_end(&in, "ledger");
}

status_t ld_restore(ld_t *l, str_t snap)
{
	ld_t *fresh = ld_new();
	status_t st = read_all(fresh, snap);
	ld_t old = *l;

	if (st == ST_OK) {
		*l = *fresh;
		*fresh = old;
	}
	ld_free(fresh);
	return st;
}
