/* An online request: asks for a place, runs, goes on elsewhere where its route allows that. */
#include <stdlib.h>
#include <string.h>
#include "base/lg.h"
#include "base/mx.h"
#include "front/fr.h"

/** Replicas that may refuse one request before its caller is sent away: each costs a round trip. */
#define NOT_RUN_MAX 4
/** Without a first event for this part of the objective the stream goes on elsewhere, so that the
 * rest of it is left for the second replica. */
#define FIRST_PERCENT 60
/** Without an event for this part of the longest pause it goes on elsewhere, for the same reason.
 */
#define PAUSE_PERCENT 55
/** A caller that waits less than this part of its route's timeout has used the rest of its time at
 * another entry. */
#define RETURNING_PERCENT 95
/** Deadline of a request whose caller doesn't say how long it waits, in ms. */
#define WAIT_DEFAULT_MS 30000
/** Bytes of answers that are kept until they are whole, of all requests together: a third of the
 * memory of the VMs that the users run entries on. */
#define BODIES_BYTES_MAX (48U << 20)
/** Retry-After of a refusal that has no better figure, in ms. */
#define RETRY_MS 200

static bool repeatable(const fo_t *o)
{
	return o->kind == RU_REPEATABLE || (o->kind == RU_STREAM && o->resumable);
}

static void log_end(const fo_t *o, const char *outcome, int status)
{
	lg(LG_INFO, "request_end", LG_S("request", o->call.id), LG_I("number", o->number),
	   LG_C("outcome", outcome), LG_I("status", status), LG_C("replica", o->replica),
	   LG_I("ms", clk_now_ms() - o->r.received), LG_I("first_ms", o->first_ms),
	   LG_C("placed_by", o->f->local ? "entry" : "leader"), LG_I("wait_ms", o->place_ms),
	   LG_I("tries", o->tries), LG_I("not_run", o->not_run), LG_I("events", o->last_event),
	   LG_I("text", o->f->routes_version));
	mx_record(mx_get(MX_HISTOGRAM, "auburn_request_ms", NULL), clk_now_ms() - o->r.received);
	if (o->first_ms >= 0)
		mx_record(mx_get(MX_HISTOGRAM, "auburn_first_byte_ms", NULL), o->first_ms);
}

static void drop_body(fo_t *o)
{
	o->f->body_bytes -= o->body.n;
	buf_free(&o->body);
	o->body = (buf_t){0};
}

static void fo_free(fo_t *o)
{
	if (o->run)
		fx_cancel(o->run);
	drop_body(o);
	tm_stop(&o->timer);
	HASH_DEL(o->f->requests, o);
	buf_free(&o->headers);
	free(o);
}

static void detach(fo_t *o)
{
	free(hl_data(o->conn));
	hl_set_data(o->conn, NULL);
}

/* Answers with a status of this process's own. */
static void finish_own(fo_t *o, int status, int64_t retry_ms, const char *outcome)
{
	hl_conn_t *c = o->conn;
	AUTO_BUF headers = {0};

	log_end(o, outcome, status);
	if (retry_ms > 0)
		pf_retry_after(&headers, retry_ms);
	detach(o);
	fo_free(o);
	hl_reply(c, status, str_buf(&headers), (str_t){"", 0});
}

static void finish_abort(fo_t *o, const char *outcome)
{
	hl_conn_t *c = o->conn;

	log_end(o, outcome, 0);
	detach(o);
	fo_free(o);
	hl_abort(c);
}

/* No further try: says as much as is known. */
static void give_up(fo_t *o, const char *outcome)
{
	if (o->begun)
		finish_abort(o, outcome);
	else if (o->offered)
		finish_own(o, 502, 0, outcome);
	else
		finish_own(o, 503, RETRY_MS, outcome);
}

static void note_avoid(fo_t *o)
{
	if (o->navoid < DS_AVOID_MAX)
		snprintf(o->avoid[o->navoid++], sizeof(o->avoid[0]), "%s", o->replica);
}

/* Its caller counts its patience from the last event, or from when it sent the request. */
static deadline_t leaves(const fo_t *o)
{
	deadline_t since = o->begun ? o->asked : o->r.received;

	if (o->patience_ms == 0 || since + o->patience_ms > o->deadline)
		return o->deadline;
	return since + o->patience_ms;
}

static void ask(fo_t *o)
{
	o->state = FO_ASKING;
	o->asked = clk_now_ms();
	o->leaves = leaves(o);
	fr_ask(o->f, o);
}

/* The run at a replica is over without an answer. */
static void next_try(fo_t *o, ds_outcome_t how)
{
	bool asked = how != DS_LEAVES;
	bool ran = asked && how != DS_FULL && how != DS_GONE;

	fr_ended(o->f, o, how);
	lg(LG_INFO, "try_failed", LG_S("request", o->call.id), LG_C("replica", o->replica),
	   LG_C("outcome", ds_outcome_name(how)), LG_I("tries", o->tries),
	   LG_I("events", o->last_event), LG_I("ms", clk_now_ms() - o->granted));
	note_avoid(o);
	if (ran)
		o->offered = true;
	else
		o->tries--;
	o->not_run += asked && !ran;
	o->headers.n = 0;
	drop_body(o);
	if (ran && (!repeatable(o) || o->tries >= o->attempts)) {
		give_up(o, ds_outcome_name(how));
		return;
	}
	if (!ran && o->not_run >= NOT_RUN_MAX) {
		give_up(o, ds_outcome_name(how));
		return;
	}
	ask(o);
}

static void on_head(void *ctx, const hp_head_t *h, const pf_reply_t *r)
{
	fo_t *o = ctx;

	o->reply = *r;
	o->reply.id = (str_t){"", 0};
	if (r->not_run || !r->certified)
		return;
	if (o->begun)
		return;
	o->headers.n = 0;
	pf_reply_headers(&o->headers, h);
}

static bool keep_bytes(fo_t *o, str_t piece)
{
	if (o->f->body_bytes + piece.n > BODIES_BYTES_MAX) {
		lg(LG_WARN, "answers_fill_memory", LG_S("request", o->call.id),
		   LG_C("replica", o->replica), LG_I("bytes", o->body.n),
		   LG_I("most", BODIES_BYTES_MAX));
		return false;
	}
	buf_add(&o->body, piece);
	o->f->body_bytes += piece.n;
	return true;
}

static fx_event_t on_event(void *ctx, const ss_event_t *e)
{
	fo_t *o = ctx;

	if (e->id >= 0 && e->id <= o->last_event)
		return FX_KNOWN;
	if (e->id >= 0 && e->id != o->last_event + 1)
		return FX_BAD;
	/* What has no id waits for an event that has: the stream may go on elsewhere without it. */
	if (e->id < 0)
		return keep_bytes(o, e->raw) ? FX_KNOWN : FX_BAD;
	if (!o->begun) {
		o->begun = true;
		o->first_ms = clk_now_ms() - o->r.received;
		hl_begin(o->conn, 200, str_buf(&o->headers));
	}
	o->last_event = e->id;
	if (o->body.n > 0) {
		hl_piece(o->conn, str_buf(&o->body));
		drop_body(o);
	}
	hl_piece(o->conn, e->raw);
	return FX_NEXT;
}

static bool on_bytes(void *ctx, str_t piece)
{
	return keep_bytes(ctx, piece);
}

static void finish_whole(fo_t *o)
{
	hl_conn_t *c = o->conn;
	bool begun = o->begun;
	int status = o->reply.status;
	buf_t headers = o->headers;
	buf_t body = o->body;

	if (o->first_ms < 0)
		o->first_ms = clk_now_ms() - o->r.received;
	fr_ended(o->f, o, status >= 500 ? DS_FAILED : DS_OK);
	log_end(o, "ok", status);
	o->f->body_bytes -= body.n;
	o->headers = (buf_t){0};
	o->body = (buf_t){0};
	detach(o);
	fo_free(o);
	if (begun) {
		hl_piece(c, str_buf(&body));
		hl_end(c);
	} else {
		hl_reply(c, status, str_buf(&headers), str_buf(&body));
	}
	buf_free(&headers);
	buf_free(&body);
}

/* The answer came whole: is it one for the caller? */
static void on_answer(fo_t *o)
{
	const pf_reply_t *r = &o->reply;

	if (r->not_run && r->status == 400) {
		fr_ended(o->f, o, DS_LEFT);
		finish_own(o, 400, 0, "refused by the replica");
	} else if (r->not_run) {
		next_try(o, r->other_replica ? DS_GONE : DS_FULL);
	} else if (!r->certified) {
		next_try(o, DS_BROKEN);
	} else if (o->begun && r->status != 200) {
		next_try(o, DS_FAILED);
	} else if (r->status >= 500 && repeatable(o) && o->tries < o->attempts) {
		next_try(o, DS_FAILED);
	} else {
		finish_whole(o);
	}
}

static void on_end(void *ctx, fx_end_t how)
{
	fo_t *o = ctx;

	o->run = NULL;
	switch (how) {
	case FX_DONE:
		on_answer(o);
		break;
	case FX_UNSENT:
		next_try(o, DS_GONE);
		break;
	case FX_SILENT:
		next_try(o, DS_SILENT);
		break;
	default:
		next_try(o, DS_BROKEN);
		break;
	}
}

static void on_deadline(void *ctx)
{
	fo_t *o = ctx;

	if (o->state == FO_ASKING)
		fr_ask_drop(o->f, o);
	else
		fr_ended(o->f, o, DS_LEFT);
	if (o->begun)
		finish_abort(o, "deadline");
	else if (o->offered || o->state == FO_RUNNING)
		finish_own(o, 504, 0, "deadline");
	else
		finish_own(o, 503, RETRY_MS, "deadline");
}

/* Watches for silence only where another replica may go on. */
static bool may_move(const fo_t *o)
{
	return repeatable(o) && o->tries < o->attempts;
}

void fo_granted(fo_t *o, lv_replica_t replica, str_t addr)
{
	AUTO_FREE char *to = str_dup(addr);
	AUTO_BUF req = {0};
	int64_t objective_ms = o->objective - o->r.received;
	pf_send_t s = {replica.id, clk_left_ms(o->deadline), o->last_event};

	snprintf(o->replica, sizeof(o->replica), "%.*s", STR_ARG(replica.id));
	o->state = FO_RUNNING;
	o->granted = clk_now_ms();
	o->place_ms += o->granted - o->asked;
	o->tries++;
	if (addr.n == 0 || lv_leaves(o->f->leavers, replica)) {
		next_try(o, addr.n ? DS_LEAVES : DS_GONE);
		return;
	}
	pf_request_encode(&req, &o->r.head, o->r.body, &s);
	o->run = fx_start(&(fx_options_t){
		.f = o->f,
		.request = str_buf(&req),
		.id = o->call.id,
		.replica = replica,
		.addr = to,
		.fresh = !repeatable(o),
		.first_ms = may_move(o) ? objective_ms * FIRST_PERCENT / 100 : 0,
		.pause_ms = may_move(o) ? o->pause_ms * PAUSE_PERCENT / 100 : 0,
		.ctx = o,
		.head = on_head,
		.event = on_event,
		.bytes = on_bytes,
		.end = on_end,
	});
}

void fo_refused(fo_t *o, int64_t retry_ms)
{
	if (o->begun)
		finish_abort(o, "refused");
	else if (o->offered)
		finish_own(o, 502, 0, "refused");
	else
		finish_own(o, 503, retry_ms, "refused");
}

bool fo_is_asking(const fo_t *o)
{
	return o->state == FO_ASKING;
}

fo_t *fo_find(fr_t *f, uint64_t number)
{
	fo_t *o;

	HASH_FIND(hh, f->requests, &number, sizeof(number), o);
	return o;
}

void fo_gone(fo_t *o)
{
	if (o->state == FO_ASKING)
		fr_ask_drop(o->f, o);
	else
		fr_ended(o->f, o, DS_LEFT);
	log_end(o, "caller left", 0);
	fo_free(o);
}

void fo_begin(fr_t *f, hl_conn_t *c, const hl_request_t *r, const pf_call_t *call,
	      const ru_route_t *route)
{
	fo_t *o = mem_new(sizeof(*o));
	fr_data_t *d = mem_new(sizeof(*d));
	int64_t wait = call->wait_ms >= 0 ? call->wait_ms : WAIT_DEFAULT_MS;

	o->f = f;
	o->conn = c;
	o->r = *r;
	o->call = *call;
	o->number = ++f->last_request;
	snprintf(o->service, sizeof(o->service), "%s", ru_pick(route, str_hash(call->id)));
	o->kind = route->kind;
	o->resumable = route->resumable;
	o->attempts = (unsigned)route->attempts;
	o->priority = (unsigned)route->priority;
	o->pause_ms = route->pause_ms;
	o->patience_ms = route->patience_ms;
	o->returning = wait < route->timeout_ms * RETURNING_PERCENT / 100;
	o->objective = r->received + route->objective_ms;
	o->deadline = r->received + (wait < route->timeout_ms ? wait : route->timeout_ms);
	o->last_event = call->last_event;
	o->first_ms = -1;
	HASH_ADD(hh, f->requests, number, sizeof(o->number), o);
	*d = (fr_data_t){FR_ONLINE, o};
	hl_set_data(c, d);
	tm_init(&o->timer, f->loop, on_deadline, o);
	tm_set(&o->timer, clk_left_ms(o->deadline));
	ask(o);
}
