#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include "state/ld_core.h"
#include "state/sn.h"

#define SNAPSHOT_MAGIC	 0x4c44U
#define SNAPSHOT_VERSION 1U
/* Bodies that restore puts into one block. */
#define RESTORE_BLOCK_ITEMS 256U

/* ---- writing ---- */

static void put_node(buf_t *out, const ld_node_t *n)
{
	sn_put(out, n->pos ? 1 : 0);
	sn_put_i64(out, n->key);
}

static void put_request(buf_t *out, const ld_request_t *r)
{
	sn_put_str(out, ld_id_caller(&r->id));
	sn_put_str(out, ld_id_name(&r->id));
	sn_put(out, r->serial);
	sn_put(out, r->digest);
	sn_put(out, r->token);
	sn_put(out, r->lease_seq);
	sn_put(out, r->session ? r->session->id : 0);
	sn_put_i64(out, r->deadline_ms);
	sn_put_str(out, (str_t){r->service->name, r->service->name_n});
	sn_put(out, r->path_n);
	sn_put(out, r->body_n);
	sn_put(out, r->trace_n);
	sn_put_str(out, (str_t){r->input, r->input ? r->path_n + r->body_n + r->trace_n : 0});
	sn_put_str(out, (str_t){r->result, r->result_n});
	sn_put(out, r->state);
	sn_put_i64(out, r->verdict);
	sn_put_i64(out, r->http_status);
	sn_put(out, r->attempts);
	sn_put(out, r->fails);
	sn_put(out, r->deaths);
	sn_put(out, r->repeatable);
	put_node(out, &r->wait);
	put_node(out, &r->end);
}

static void put_item(buf_t *out, const ld_job_t *j, uint32_t index)
{
	const ld_item_t *it = &j->items[index];
	str_t data = {it->data, it->len};

	if (it->state == LD_WAITING && j->cancelled)
		data.n = 0;
	sn_put(out, it->state);
	sn_put(out, it->attempts);
	sn_put(out, it->fails);
	sn_put(out, it->deaths);
	sn_put_str(out, data);
}

static void put_queue(buf_t *out, const ld_job_t *j, const ld_queue_t *q)
{
	for (uint32_t i = q->head; i != LD_NO_ITEM; i = j->items[i].next)
		sn_put(out, (uint64_t)i + 1);
	sn_put(out, 0);
}

static void put_job(buf_t *out, const ld_job_t *j)
{
	sn_put_str(out, ld_id_caller(&j->id));
	sn_put_str(out, ld_id_name(&j->id));
	sn_put(out, j->serial);
	sn_put(out, j->digest);
	sn_put(out, j->running_digest);
	sn_put_i64(out, j->deadline_ms);
	sn_put_i64(out, j->opened_ms);
	sn_put_str(out, (str_t){j->service->name, j->service->name_n});
	sn_put_str(out, (str_t){j->trace, j->trace_n});
	sn_put(out, j->count);
	sn_put(out, j->received);
	sn_put(out, j->done);
	sn_put(out, j->failed);
	sn_put(out, j->dropped);
	sn_put(out, j->sealed);
	sn_put(out, j->cancelled);
	sn_put(out, j->cursor);
	put_node(out, &j->end);
	for (uint32_t i = 0; i < j->received; i++)
		put_item(out, j, i);
	if (j->cancelled)
		return;
	put_queue(out, j, &j->back);
	put_queue(out, j, &j->retry);
}

static void put_hold(buf_t *out, const ld_hold_t *h)
{
	sn_put(out, h->job->serial);
	put_queue(out, h->job, &h->items);
}

static void put_lease(buf_t *out, const ld_lease_t *le)
{
	sn_put(out, 1);
	sn_put_str(out, (str_t){le->service->name, le->service->name_n});
	sn_put(out, le->seq);
	sn_put(out, le->n);
	for (uint32_t i = 0; i < le->n; i++) {
		sn_put(out, le->refs[i].job);
		sn_put(out, le->refs[i].index);
		sn_put(out, le->refs[i].attempt);
	}
}

static void put_session(buf_t *out, const ld_session_t *s)
{
	const ld_hold_t *h;
	const ld_lease_t *le;

	sn_put(out, s->id);
	for (h = s->holds; h; h = h->next)
		put_hold(out, h);
	sn_put(out, 0);
	for (h = s->cancelled; h; h = h->next)
		put_hold(out, h);
	sn_put(out, 0);
	for (le = s->leases; le; le = le->next)
		put_lease(out, le);
	sn_put(out, 0);
}

/** Ready jobs of a heap's bands in the order in which their turns come. */
static void put_bands(buf_t *out, const ld_heap_t *bands)
{
	const ld_lane_t *lane;
	const ld_job_t *j;

	for (uint32_t i = 0; i < bands->n; i++) {
		const ld_band_t *b = LD_CONTAINER(bands->v[i], ld_band_t, node);

		for (lane = b->ring; lane; lane = lane->next) {
			for (j = lane->ready; j; j = j->next)
				sn_put(out, j->serial);
		}
	}
	sn_put(out, 0);
}

static void put_turns(buf_t *out, const ld_service_t *s)
{
	sn_put_str(out, (str_t){s->name, s->name_n});
	sn_put(out, s->overdue_next);
	put_bands(out, &s->overdue);
	put_bands(out, &s->bands);
}

/** Services and sessions, so that restore makes them in the same order. */
static void put_names(buf_t *out, const ld_t *l)
{
	sn_put(out, HASH_COUNT(l->services));
	for (const ld_service_t *s = l->services; s; s = s->hh.next)
		sn_put_str(out, (str_t){s->name, s->name_n});
	sn_put(out, HASH_COUNT(l->sessions));
	for (const ld_session_t *s = l->sessions; s; s = s->hh.next)
		sn_put(out, s->id);
}

void ld_snapshot(const ld_t *l, buf_t *out)
{
	sn_put(out, SNAPSHOT_MAGIC);
	sn_put(out, SNAPSHOT_VERSION);
	sn_put(out, l->serial);
	sn_put(out, l->late_dropped);
	sn_put(out, l->nlost);
	for (size_t i = 0; i < l->nlost; i++)
		sn_put(out, l->lost[i]);
	put_names(out, l);
	sn_put(out, HASH_COUNT(l->requests));
	for (const ld_request_t *r = l->requests; r; r = r->hh.next)
		put_request(out, r);
	sn_put(out, HASH_COUNT(l->jobs));
	for (const ld_job_t *j = l->jobs; j; j = j->hh.next)
		put_job(out, j);
	sn_put(out, HASH_COUNT(l->sessions));
	for (const ld_session_t *s = l->sessions; s; s = s->hh.next)
		put_session(out, s);
	sn_put(out, HASH_COUNT(l->services));
	for (const ld_service_t *s = l->services; s; s = s->hh.next)
		put_turns(out, s);
}

/* ---- reading ---- */

static bool get_node(sn_reader_t *in, ld_node_t *n, uint64_t serial)
{
	bool queued = sn_get_max(in, 1) == 1;

	n->key = sn_get_i64(in);
	n->serial = serial;
	return queued;
}

static void get_request(sn_reader_t *in, ld_t *l)
{
	ld_request_t *r = mem_new(sizeof(*r));
	str_t caller = sn_get_str(in);
	str_t key = sn_get_str(in);
	uint64_t session;
	str_t input;
	str_t result;
	bool waits;
	bool ended;

	r->id = ld_id_new(caller, key);
	r->serial = sn_get(in);
	r->digest = sn_get(in);
	r->token = sn_get(in);
	r->lease_seq = sn_get(in);
	session = sn_get(in);
	r->deadline_ms = sn_get_i64(in);
	r->service = ld_service(l, sn_get_str(in));
	r->path_n = (uint32_t)sn_get_max(in, UINT32_MAX);
	r->body_n = (uint32_t)sn_get_max(in, UINT32_MAX);
	r->trace_n = (uint32_t)sn_get_max(in, UINT32_MAX);
	input = sn_get_str(in);
	result = sn_get_str(in);
	r->result = ld_copy(result);
	r->result_n = (uint32_t)result.n;
	r->state = (aw_state_t)sn_get_max(in, AW_CANCELLED);
	r->verdict = (int)sn_get_i64(in);
	r->http_status = (int)sn_get_i64(in);
	r->attempts = (uint32_t)sn_get_max(in, UINT32_MAX);
	r->fails = (uint8_t)sn_get_max(in, UINT8_MAX);
	r->deaths = (uint8_t)sn_get_max(in, UINT8_MAX);
	r->repeatable = sn_get_max(in, 1) == 1;
	waits = get_node(in, &r->wait, r->serial);
	ended = get_node(in, &r->end, r->serial);
	if (r->state < AW_DONE) {
		r->input = mem_new(input.n);
		if (input.n)
			memcpy(r->input, input.p, input.n);
	}
	if (!in->bad && r->state < AW_DONE &&
	    (ended || waits == (session != 0) ||
	     (uint64_t)r->path_n + r->body_n + r->trace_n != input.n))
		in->bad = true;
	ld_request_add(l, r);
	if (in->bad)
		return;
	if (ended)
		ld_heap_push(&l->ended_requests, &r->end);
	else if (session)
		ld_request_hold(r, ld_session(l, session));
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

/** Restores up to RESTORE_BLOCK_ITEMS items: the bodies first, then the ends of final ones. */
static void get_items(sn_reader_t *in, ld_t *l, ld_job_t *j, uint32_t n)
{
	item_line_t lines[RESTORE_BLOCK_ITEMS];
	aw_bytes_t bodies[RESTORE_BLOCK_ITEMS] = {0};
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

static void get_job_end(sn_reader_t *in, ld_t *l, ld_job_t *j, bool queued)
{
	bool open = !j->sealed && !j->cancelled;

	if (open && !queued)
		in->bad = true;
	if (in->bad)
		return;
	if (queued)
		ld_heap_push(open ? &l->unsealed_jobs : &l->ended_jobs, &j->end);
	if (j->sealed && !queued)
		ld_job_enlist(j);
}

static void get_job(sn_reader_t *in, ld_t *l)
{
	ld_job_t *j = mem_new(sizeof(*j));
	str_t caller = sn_get_str(in);
	str_t name = sn_get_str(in);
	uint32_t received;
	uint64_t ended;
	str_t trace;
	bool queued;

	j->id = ld_id_new(caller, name);
	j->serial = sn_get(in);
	j->digest = sn_get(in);
	j->running_digest = sn_get(in);
	j->deadline_ms = sn_get_i64(in);
	j->opened_ms = sn_get_i64(in);
	j->service = ld_service(l, sn_get_str(in));
	trace = sn_get_str(in);
	j->trace = ld_copy(trace);
	j->trace_n = (uint32_t)trace.n;
	j->count = (uint32_t)sn_get_max(in, LD_JOB_ITEMS_MAX);
	received = (uint32_t)sn_get_max(in, j->count);
	j->done = (uint32_t)sn_get_max(in, j->count);
	j->failed = (uint32_t)sn_get_max(in, j->count);
	j->dropped = (uint32_t)sn_get_max(in, j->count);
	j->sealed = sn_get_max(in, 1) == 1;
	j->cancelled = sn_get_max(in, 1) == 1;
	j->cursor = (uint32_t)sn_get_max(in, j->count);
	queued = get_node(in, &j->end, j->serial);
	ld_job_add(l, j);
	ended = (uint64_t)j->done + j->failed + j->dropped;
	if (ended > j->count)
		in->bad = true;
	j->waiting = in->bad ? j->count : j->count - (uint32_t)ended;
	while (!in->bad && j->received < received) {
		uint32_t left = received - j->received;

		get_items(in, l, j, left < RESTORE_BLOCK_ITEMS ? left : RESTORE_BLOCK_ITEMS);
	}
	if (!in->bad && !j->cancelled) {
		get_queue(in, j, &j->back);
		get_queue(in, j, &j->retry);
	}
	get_job_end(in, l, j, queued);
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

	if (sn_get(&in) != SNAPSHOT_MAGIC || sn_get(&in) != SNAPSHOT_VERSION)
		return st_fail(ST_CORRUPT, "not a ledger snapshot of version %u", SNAPSHOT_VERSION);
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
