/* Requests, and the commands ACCEPT, ATTEMPT and FINISH. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include "state/ledger_internal.h"

#define HTTP_OK 200

static bool is_final(const ledger_request_t *r)
{
	return r->state >= WIRE_DONE;
}

ledger_request_t *ledger_request_find(const ledger_t *l, str_t caller, str_t key)
{
	AUTO_BUF id = {0};
	ledger_request_t *r;

	ledger_id_encode(&id, caller, key);
	HASH_FIND(hh, l->requests, id.p, id.n, r);
	return r;
}

void ledger_request_fill_record(const ledger_request_t *r, wire_record_t *rec)
{
	rec->state = r->state;
	rec->verdict = r->verdict;
	rec->http_status = r->http_status;
	rec->session = r->session ? r->session->id : 0;
	rec->service = wire_copy((str_t){r->service->name, r->service->name_n});
	rec->result = wire_copy((str_t){r->result, r->result_n});
}

size_t ledger_request_bytes(const ledger_request_t *r)
{
	size_t input = r->input ? (size_t)r->path_n + r->body_n + r->trace_n : 0;

	return sizeof(*r) + r->id.n + input + r->result_n;
}

void ledger_request_add(ledger_t *l, ledger_request_t *r)
{
	HASH_ADD_KEYPTR(hh, l->requests, r->id.p, r->id.n, r);
	l->bytes += ledger_request_bytes(r);
}

void ledger_request_assign(ledger_request_t *r, ledger_session_t *s)
{
	assert(!r->session && !is_final(r) && r->wait_node.pos == 0);
	r->session = s;
	DL_APPEND(s->requests, r);
}

/** Takes the request from its session or from the waiting requests. */
static void detach_request(ledger_request_t *r)
{
	if (r->session)
		DL_DELETE(r->session->requests, r);
	r->session = NULL;
	if (r->wait_node.pos)
		ledger_heap_remove(&r->service->waiting_requests, &r->wait_node);
}

void ledger_request_enqueue(ledger_request_t *r)
{
	assert(!r->session && r->state == WIRE_ACCEPTED);
	r->wait_node.key = r->deadline_ms;
	r->wait_node.serial = r->serial;
	ledger_heap_push(&r->service->waiting_requests, &r->wait_node);
}

void ledger_request_free(ledger_t *l, ledger_request_t *r)
{
	l->bytes -= ledger_request_bytes(r);
	detach_request(r);
	if (r->expiry_node.pos)
		ledger_heap_remove(&l->ended_requests, &r->expiry_node);
	HASH_DEL(l->requests, r);
	free(r->id.p);
	free(r->input);
	free(r->result);
	free(r);
}

/** Final state of a request. */
typedef struct {
	wire_state_t state;
	int verdict;
	int http_status;
	str_t result;
	int64_t now_ms;
} outcome_t;

static void finish_request(ledger_t *l, ledger_request_t *r, const outcome_t *o)
{
	assert(!is_final(r) && o->state >= WIRE_DONE);
	l->bytes -= ledger_request_bytes(r);
	detach_request(r);
	r->state = o->state;
	r->verdict = o->verdict;
	r->http_status = o->http_status;
	r->result = ledger_copy_bytes(o->result);
	r->result_n = (uint32_t)o->result.n;
	free(r->input);
	r->input = NULL;
	r->expiry_node.key = o->now_ms;
	r->expiry_node.serial = r->serial;
	ledger_heap_push(&l->ended_requests, &r->expiry_node);
	l->bytes += ledger_request_bytes(r);
}

static status_t check_accept(const ledger_t *l, const wire_accept_t *c)
{
	if (c->caller.wire_bytes_t_len == 0 || c->key.wire_bytes_t_len == 0 ||
	    c->service.wire_bytes_t_len == 0)
		return status_fail(STATUS_INVALID, "caller, key and service must be set");
	return ledger_check_session(l, c->session);
}

/** Joins path, body and trace in one block. */
static char *concat_input(const wire_accept_t *c)
{
	size_t path = c->path.wire_bytes_t_len;
	size_t body = c->body.wire_bytes_t_len;
	size_t trace = c->trace.wire_bytes_t_len;
	char *p = mem_new(path + body + trace);

	if (path)
		memcpy(p, c->path.wire_bytes_t_val, path);
	if (body)
		memcpy(p + path, c->body.wire_bytes_t_val, body);
	if (trace)
		memcpy(p + path + body, c->trace.wire_bytes_t_val, trace);
	return p;
}

static ledger_request_t *create_request(ledger_t *l, const wire_accept_t *c)
{
	ledger_request_t *r = mem_new(sizeof(*r));

	r->id = ledger_id_new(wire_str(c->caller), wire_str(c->key));
	r->serial = ++l->serial;
	r->digest = c->digest;
	r->deadline_ms = c->deadline_wall_ms;
	r->service = ledger_get_service(l, wire_str(c->service));
	r->repeatable = c->repeatable;
	r->state = WIRE_ACCEPTED;
	r->verdict = VERDICT_NOT_RUN;
	r->path_n = c->path.wire_bytes_t_len;
	r->body_n = c->body.wire_bytes_t_len;
	r->trace_n = c->trace.wire_bytes_t_len;
	r->input = concat_input(c);
	ledger_request_assign(r, ledger_get_session(l, c->session));
	ledger_request_add(l, r);
	return r;
}

void ledger_accept(ledger_t *l, const wire_accept_t *c, wire_ledger_res_t *res)
{
	ledger_request_t *r = ledger_request_find(l, wire_str(c->caller), wire_str(c->key));
	status_t st;

	if (r && r->digest != c->digest) {
		ledger_set_status(
			res, status_fail(STATUS_CONFLICT, "the key is in use for another body"));
		return;
	}
	if (r) {
		ledger_request_fill_record(r, &res->record);
		return;
	}
	st = check_accept(l, c);
	if (st != STATUS_OK) {
		ledger_set_status(res, st);
		return;
	}
	r = create_request(l, c);
	ledger_request_fill_record(r, &res->record);
	res->record.fresh = true;
}

/** Starts the only attempt of a call that must not run twice. */
static status_t begin_attempt(const ledger_t *l, ledger_request_t *r, const wire_attempt_t *c)
{
	status_t st = ledger_check_session(l, c->session);

	if (st != STATUS_OK)
		return st;
	if (r->repeatable)
		return status_fail(STATUS_INVALID,
				   "the request is repeatable and needs no attempt");
	if (is_final(r))
		return status_fail(STATUS_CONFLICT, "the request has ended");
	if (r->state == WIRE_ATTEMPTED && r->token == c->token)
		return STATUS_OK;
	if (r->state == WIRE_ATTEMPTED)
		return status_fail(STATUS_CONFLICT, "another attempt has begun");
	if (!r->session || r->session->id != c->session)
		return status_fail(STATUS_CONFLICT, "another session holds the request");
	r->state = WIRE_ATTEMPTED;
	r->verdict = VERDICT_MAY_HAVE_RUN;
	r->token = c->token;
	return STATUS_OK;
}

void ledger_attempt(ledger_t *l, const wire_attempt_t *c, wire_ledger_res_t *res)
{
	ledger_request_t *r = ledger_request_find(l, wire_str(c->caller), wire_str(c->key));
	wire_state_t before;

	if (!r) {
		ledger_set_status(res, status_fail(STATUS_NOT_FOUND, "no such request"));
		return;
	}
	before = r->state;
	ledger_set_status(res, begin_attempt(l, r, c));
	ledger_request_fill_record(r, &res->record);
	res->record.fresh = r->state != before;
}

/** Returns true if the request has ended with this outcome, so that the command is a resend. */
static bool has_outcome(const ledger_request_t *r, const outcome_t *o)
{
	return r->state == o->state && r->verdict == o->verdict &&
	       r->http_status == o->http_status &&
	       str_eq((str_t){r->result, r->result_n}, o->result);
}

/** A session that does not hold the request may still deliver the result of a repeatable call, but
 * it cannot know that the call failed. Session 0, a sender without a session as in the unit tests,
 * may finish any request. */
static bool may_finish(const ledger_request_t *r, const wire_finish_t *c)
{
	bool holder = r->session && r->session->id == c->session;

	return c->session == 0 || holder || (r->repeatable && c->state == WIRE_DONE);
}

static status_t apply_finish(ledger_t *l, ledger_request_t *r, const wire_finish_t *c, bool *fresh)
{
	outcome_t o = {c->state, c->verdict, c->http_status, wire_str(c->result), c->now_wall_ms};

	if (c->state < WIRE_DONE || c->state > WIRE_CANCELLED)
		return status_fail(STATUS_INVALID, "state %d is not final", (int)c->state);
	if (is_final(r) && has_outcome(r, &o))
		return STATUS_OK;
	if (is_final(r) || !may_finish(r, c)) {
		l->late_dropped++;
		return status_fail(STATUS_CONFLICT,
				   is_final(r) ? "the request has ended with another outcome"
					       : "another session holds the request");
	}
	finish_request(l, r, &o);
	*fresh = true;
	return STATUS_OK;
}

void ledger_finish(ledger_t *l, const wire_finish_t *c, wire_ledger_res_t *res)
{
	ledger_request_t *r = ledger_request_find(l, wire_str(c->caller), wire_str(c->key));
	bool fresh = false;

	if (!r) {
		ledger_set_status(res, status_fail(STATUS_NOT_FOUND, "no such request"));
		return;
	}
	ledger_set_status(res, apply_finish(l, r, c, &fresh));
	ledger_request_fill_record(r, &res->record);
	res->record.fresh = fresh;
}

/** Ends a request whose call, which must not run twice, was begun and has no result: whether it ran
 * is unknown. Also used, with the same text, if the entry is not lost but returned no result. */
static void finish_with_unknown_outcome(ledger_t *l, ledger_request_t *r, int64_t now_ms)
{
	outcome_t o = {WIRE_FAILED, VERDICT_MAY_HAVE_RUN, 0,
		       STR("the entry was lost while the call ran"), now_ms};

	finish_request(l, r, &o);
}

/** Counts a failed run by its blame; returns true if the request may run again. */
static bool count_failure(ledger_request_t *r, wire_blame_t blame)
{
	if (blame == WIRE_BLAME_ITEM)
		r->fails++;
	if (blame == WIRE_BLAME_REPLICA)
		r->deaths++;
	return r->fails < LEDGER_ITEM_FAILS_MAX && r->deaths < LEDGER_DEATHS_MAX;
}

bool ledger_request_take_result(ledger_t *l, uint64_t session, int64_t now_ms,
				const wire_item_result_t *c)
{
	ledger_request_t *r = ledger_request_find(l, wire_str(c->caller), wire_str(c->key));
	outcome_t o = {WIRE_FAILED, VERDICT_MAY_HAVE_RUN, 0, wire_str(c->body), now_ms};

	if (!r || !r->session || r->session->id != session || r->lease_seq == 0 ||
	    r->attempts != c->attempt)
		return false;
	if (c->done) {
		o.state = WIRE_DONE;
		o.verdict = VERDICT_RAN;
		o.http_status = HTTP_OK;
		finish_request(l, r, &o);
	} else if (r->state == WIRE_ATTEMPTED) {
		finish_with_unknown_outcome(l, r, now_ms);
	} else if (!count_failure(r, c->blame)) {
		finish_request(l, r, &o);
	} else {
		detach_request(r);
		ledger_request_enqueue(r);
	}
	return true;
}

void ledger_requests_lost(ledger_t *l, ledger_session_t *s, int64_t now_ms)
{
	while (s->requests) {
		ledger_request_t *r = s->requests;

		if (r->state == WIRE_ATTEMPTED) {
			finish_with_unknown_outcome(l, r, now_ms);
			continue;
		}
		detach_request(r);
		ledger_request_enqueue(r);
	}
}
