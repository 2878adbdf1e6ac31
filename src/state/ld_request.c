#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include "state/ld_core.h"

#define HTTP_OK 200

static bool is_final(const ld_request_t *r)
{
	return r->state >= AW_DONE;
}

ld_request_t *ld_request_find(const ld_t *l, str_t caller, str_t key)
{
	AUTO_BUF id = {0};
	ld_request_t *r;

	ld_key(&id, caller, key);
	HASH_FIND(hh, l->requests, id.p, id.n, r);
	return r;
}

void ld_request_fill(const ld_request_t *r, aw_record_t *rec)
{
	rec->state = r->state;
	rec->verdict = r->verdict;
	rec->http_status = r->http_status;
	rec->session = r->session ? r->session->id : 0;
	rec->service = px_copy((str_t){r->service->name, r->service->name_n});
	rec->result = px_copy((str_t){r->result, r->result_n});
}

size_t ld_request_bytes(const ld_request_t *r)
{
	size_t input = r->input ? (size_t)r->path_n + r->body_n + r->trace_n : 0;

	return sizeof(*r) + r->id.n + input + r->result_n;
}

void ld_request_add(ld_t *l, ld_request_t *r)
{
	HASH_ADD_KEYPTR(hh, l->requests, r->id.p, r->id.n, r);
	l->bytes += ld_request_bytes(r);
}

void ld_request_hold(ld_request_t *r, ld_session_t *s)
{
	assert(!r->session && !is_final(r) && r->wait.pos == 0);
	r->session = s;
	DL_APPEND(s->requests, r);
}

static void release(ld_request_t *r)
{
	if (r->session)
		DL_DELETE(r->session->requests, r);
	r->session = NULL;
	if (r->wait.pos)
		ld_heap_remove(&r->service->orphans, &r->wait);
}

void ld_request_wait(ld_request_t *r)
{
	assert(!r->session && r->state == AW_ACCEPTED);
	r->wait.key = r->deadline_ms;
	r->wait.serial = r->serial;
	ld_heap_push(&r->service->orphans, &r->wait);
}

void ld_request_free(ld_t *l, ld_request_t *r)
{
	l->bytes -= ld_request_bytes(r);
	release(r);
	if (r->end.pos)
		ld_heap_remove(&l->ended_requests, &r->end);
	HASH_DEL(l->requests, r);
	free(r->id.p);
	free(r->input);
	free(r->result);
	free(r);
}

/** How a request ends. */
typedef struct {
	aw_state_t state;
	int verdict;
	int http_status;
	str_t result;
	int64_t now_ms;
} ending_t;

static void end_request(ld_t *l, ld_request_t *r, const ending_t *e)
{
	assert(!is_final(r) && e->state >= AW_DONE);
	l->bytes -= ld_request_bytes(r);
	release(r);
	r->state = e->state;
	r->verdict = e->verdict;
	r->http_status = e->http_status;
	r->result = ld_copy(e->result);
	r->result_n = (uint32_t)e->result.n;
	free(r->input);
	r->input = NULL;
	r->end.key = e->now_ms;
	r->end.serial = r->serial;
	ld_heap_push(&l->ended_requests, &r->end);
	l->bytes += ld_request_bytes(r);
}

static status_t check_accept(const ld_t *l, const aw_accept_t *c)
{
	if (c->caller.aw_bytes_t_len == 0 || c->key.aw_bytes_t_len == 0 ||
	    c->service.aw_bytes_t_len == 0)
		return st_fail(ST_INVALID, "caller, key and service must be set");
	return ld_check_session(l, c->session);
}

static char *join_input(const aw_accept_t *c)
{
	size_t path = c->path.aw_bytes_t_len;
	size_t body = c->body.aw_bytes_t_len;
	size_t trace = c->trace.aw_bytes_t_len;
	char *p = mem_new(path + body + trace);

	if (path)
		memcpy(p, c->path.aw_bytes_t_val, path);
	if (body)
		memcpy(p + path, c->body.aw_bytes_t_val, body);
	if (trace)
		memcpy(p + path + body, c->trace.aw_bytes_t_val, trace);
	return p;
}

static ld_request_t *make_request(ld_t *l, const aw_accept_t *c)
{
	ld_request_t *r = mem_new(sizeof(*r));

	r->id = ld_id_new(px_str(c->caller), px_str(c->key));
	r->serial = ++l->serial;
	r->digest = c->digest;
	r->deadline_ms = c->deadline_wall_ms;
	r->service = ld_service(l, px_str(c->service));
	r->repeatable = c->repeatable;
	r->state = AW_ACCEPTED;
	r->verdict = VERDICT_NOT_RUN;
	r->path_n = c->path.aw_bytes_t_len;
	r->body_n = c->body.aw_bytes_t_len;
	r->trace_n = c->trace.aw_bytes_t_len;
	r->input = join_input(c);
	ld_request_hold(r, ld_session(l, c->session));
	ld_request_add(l, r);
	return r;
}

void ld_accept(ld_t *l, const aw_accept_t *c, aw_ledger_res_t *res)
{
	ld_request_t *r = ld_request_find(l, px_str(c->caller), px_str(c->key));
	status_t st;

	if (r && r->digest != c->digest) {
		ld_answer(res, st_fail(ST_CONFLICT, "the key stands for another body"));
		return;
	}
	if (r) {
		ld_request_fill(r, &res->record);
		return;
	}
	st = check_accept(l, c);
	if (st != ST_OK) {
		ld_answer(res, st);
		return;
	}
	r = make_request(l, c);
	ld_request_fill(r, &res->record);
	res->record.fresh = true;
}

static status_t begin_attempt(const ld_t *l, ld_request_t *r, const aw_attempt_t *c)
{
	status_t st = ld_check_session(l, c->session);

	if (st != ST_OK)
		return st;
	if (r->repeatable)
		return st_fail(ST_INVALID, "the request may be repeated; it needs no attempt");
	if (is_final(r))
		return st_fail(ST_CONFLICT, "the request has ended");
	if (r->state == AW_ATTEMPTED && r->token == c->token)
		return ST_OK;
	if (r->state == AW_ATTEMPTED)
		return st_fail(ST_CONFLICT, "another attempt was begun");
	if (!r->session || r->session->id != c->session)
		return st_fail(ST_CONFLICT, "another session works on the request");
	r->state = AW_ATTEMPTED;
	r->verdict = VERDICT_MAY_HAVE_RUN;
	r->token = c->token;
	return ST_OK;
}

void ld_attempt(ld_t *l, const aw_attempt_t *c, aw_ledger_res_t *res)
{
	ld_request_t *r = ld_request_find(l, px_str(c->caller), px_str(c->key));
	aw_state_t before;

	if (!r) {
		ld_answer(res, st_fail(ST_NOT_FOUND, "no such request"));
		return;
	}
	before = r->state;
	ld_answer(res, begin_attempt(l, r, c));
	ld_request_fill(r, &res->record);
	res->record.fresh = r->state != before;
}

/** True when the request ended just so: the command is a resend. */
static bool ended_so(const ld_request_t *r, const ending_t *e)
{
	return r->state == e->state && r->verdict == e->verdict &&
	       r->http_status == e->http_status &&
	       str_eq((str_t){r->result, r->result_n}, e->result);
}

/** An entry that doesn't hold the request may still deliver the result of a call that may be
 * repeated, but it can't know that the request failed. */
static bool may_finish(const ld_request_t *r, const aw_finish_t *c)
{
	bool holder = r->session && r->session->id == c->session;

	return c->session == 0 || holder || (r->repeatable && c->state == AW_DONE);
}

static status_t finish(ld_t *l, ld_request_t *r, const aw_finish_t *c, bool *fresh)
{
	ending_t e = {c->state, c->verdict, c->http_status, px_str(c->result), c->now_wall_ms};

	if (c->state < AW_DONE || c->state > AW_CANCELLED)
		return st_fail(ST_INVALID, "state %d is not final", (int)c->state);
	if (is_final(r) && ended_so(r, &e))
		return ST_OK;
	if (is_final(r) || !may_finish(r, c)) {
		l->late_dropped++;
		return st_fail(ST_CONFLICT, is_final(r) ? "the request has ended otherwise"
							: "another session holds the request");
	}
	end_request(l, r, &e);
	*fresh = true;
	return ST_OK;
}

void ld_finish(ld_t *l, const aw_finish_t *c, aw_ledger_res_t *res)
{
	ld_request_t *r = ld_request_find(l, px_str(c->caller), px_str(c->key));
	bool fresh = false;

	if (!r) {
		ld_answer(res, st_fail(ST_NOT_FOUND, "no such request"));
		return;
	}
	ld_answer(res, finish(l, r, c, &fresh));
	ld_request_fill(r, &res->record);
	res->record.fresh = fresh;
}

/** An attempt of a call that may not be repeated has an unknown end. */
static void end_unknown(ld_t *l, ld_request_t *r, int64_t now_ms)
{
	ending_t e = {AW_FAILED, VERDICT_MAY_HAVE_RUN, 0,
		      STR("the entry was lost while the call ran"), now_ms};

	end_request(l, r, &e);
}

/** Books a failed run; true when the request may be tried again. */
static bool charge(ld_request_t *r, aw_blame_t blame)
{
	if (blame == AW_BLAME_ITEM)
		r->fails++;
	if (blame == AW_BLAME_REPLICA)
		r->deaths++;
	return r->fails < LD_ITEM_ATTEMPTS && r->deaths < LD_DEATHS_MAX;
}

bool ld_request_result(ld_t *l, uint64_t session, int64_t now_ms, const aw_item_result_t *c)
{
	ld_request_t *r = ld_request_find(l, px_str(c->caller), px_str(c->key));
	ending_t e = {AW_FAILED, VERDICT_MAY_HAVE_RUN, 0, px_str(c->body), now_ms};

	if (!r || !r->session || r->session->id != session || r->lease_seq == 0 ||
	    r->attempts != c->attempt)
		return false;
	if (c->done) {
		e.state = AW_DONE;
		e.verdict = VERDICT_RAN;
		e.http_status = HTTP_OK;
		end_request(l, r, &e);
	} else if (r->state == AW_ATTEMPTED) {
		end_unknown(l, r, now_ms);
	} else if (!charge(r, c->blame)) {
		end_request(l, r, &e);
	} else {
		release(r);
		ld_request_wait(r);
	}
	return true;
}

void ld_requests_lost(ld_t *l, ld_session_t *s, int64_t now_ms)
{
	while (s->requests) {
		ld_request_t *r = s->requests;

		if (r->state == AW_ATTEMPTED) {
			end_unknown(l, r, now_ms);
			continue;
		}
		release(r);
		ld_request_wait(r);
	}
}
