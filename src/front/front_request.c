/* An online request: asks for a place, runs, goes on elsewhere where its route allows that. */
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "base/metric.h"
#include "front/front.h"

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

static bool repeatable(const front_request_t *o)
{
	return o->kind == ROUTE_REPEATABLE || (o->kind == ROUTE_STREAM && o->resumable);
}

static void log_end(const front_request_t *o, const char *outcome, int status)
{
	log_event(LOG_LEVEL_INFO, "request_end", LOG_STR("request", o->call.id),
		  LOG_INT("number", o->number), LOG_CSTR("outcome", outcome),
		  LOG_INT("status", status), LOG_CSTR("replica", o->replica),
		  LOG_INT("ms", clock_now_ms() - o->r.received), LOG_INT("first_ms", o->first_ms),
		  LOG_CSTR("placed_by", o->f->local ? "entry" : "leader"),
		  LOG_INT("wait_ms", o->place_ms), LOG_INT("tries", o->tries),
		  LOG_INT("not_run", o->not_run), LOG_INT("events", o->last_event),
		  LOG_INT("text", o->f->routes_version));
	metric_record(metric_get(METRIC_HISTOGRAM, "auburn_request_ms", NULL),
		      clock_now_ms() - o->r.received);
	if (o->first_ms >= 0)
		metric_record(metric_get(METRIC_HISTOGRAM, "auburn_first_byte_ms", NULL),
			      o->first_ms);
}

static void drop_body(front_request_t *o)
{
	o->f->buffered_bytes -= o->body.n;
	buf_free(&o->body);
	o->body = (buf_t){0};
}

static void fo_free(front_request_t *o)
{
	if (o->run)
		front_attempt_cancel(o->run);
	drop_body(o);
	timeout_stop(&o->timer);
	HASH_DEL(o->f->requests, o);
	buf_free(&o->headers);
	free(o);
}

static void detach(front_request_t *o)
{
	free(http_conn_data(o->conn));
	http_conn_set_data(o->conn, NULL);
}

/* Answers with a status of this process's own. */
static void finish_own(front_request_t *o, int status, int64_t retry_ms, const char *outcome)
{
	http_conn_t *c = o->conn;
	AUTO_BUF headers = {0};

	log_end(o, outcome, status);
	if (retry_ms > 0)
		platform_add_retry_after(&headers, retry_ms);
	detach(o);
	fo_free(o);
	http_reply(c, status, str_buf(&headers), (str_t){"", 0});
}

static void finish_abort(front_request_t *o, const char *outcome)
{
	http_conn_t *c = o->conn;

	log_end(o, outcome, 0);
	detach(o);
	fo_free(o);
	http_reply_abort(c);
}

/* No further try: says as much as is known. */
static void give_up(front_request_t *o, const char *outcome)
{
	if (o->head_sent)
		finish_abort(o, outcome);
	else if (o->may_have_run)
		finish_own(o, 502, 0, outcome);
	else
		finish_own(o, 503, RETRY_MS, outcome);
}

static void note_avoid(front_request_t *o)
{
	if (o->navoid < DISPATCH_AVOID_MAX)
		snprintf(o->avoid[o->navoid++], sizeof(o->avoid[0]), "%s", o->replica);
}

/* Its caller counts its patience from the last event, or from when it sent the request. */
static deadline_t leaves(const front_request_t *o)
{
	deadline_t since = o->head_sent ? o->requested_at : o->r.received;

	if (o->give_up_ms == 0 || since + o->give_up_ms > o->deadline)
		return o->deadline;
	return since + o->give_up_ms;
}

static void ask(front_request_t *o)
{
	o->state = FRONT_REQUEST_WAITING;
	o->requested_at = clock_now_ms();
	o->give_up_at = leaves(o);
	front_slot_request(o->f, o);
}

/* The run at a replica is over without an answer. */
static void next_try(front_request_t *o, dispatch_outcome_t how)
{
	bool asked = how != DISPATCH_REPLICA_LEAVING;
	bool ran = asked && how != DISPATCH_FULL && how != DISPATCH_UNREACHABLE;

	front_slot_release(o->f, o, how);
	log_event(LOG_LEVEL_INFO, "try_failed", LOG_STR("request", o->call.id),
		  LOG_CSTR("replica", o->replica), LOG_CSTR("outcome", dispatch_outcome_name(how)),
		  LOG_INT("tries", o->tries), LOG_INT("events", o->last_event),
		  LOG_INT("ms", clock_now_ms() - o->granted));
	note_avoid(o);
	if (ran)
		o->may_have_run = true;
	else
		o->tries--;
	o->not_run += asked && !ran;
	o->headers.n = 0;
	drop_body(o);
	if (ran && (!repeatable(o) || o->tries >= o->max_attempts)) {
		give_up(o, dispatch_outcome_name(how));
		return;
	}
	if (!ran && o->not_run >= NOT_RUN_MAX) {
		give_up(o, dispatch_outcome_name(how));
		return;
	}
	ask(o);
}

static void on_head(void *ctx, const http_head_t *h, const platform_reply_t *r)
{
	front_request_t *o = ctx;

	o->reply = *r;
	o->reply.id = (str_t){"", 0};
	if (r->not_run || !r->has_signature)
		return;
	if (o->head_sent)
		return;
	o->headers.n = 0;
	platform_reply_headers(&o->headers, h);
}

static bool keep_bytes(front_request_t *o, str_t piece)
{
	if (o->f->buffered_bytes + piece.n > BODIES_BYTES_MAX) {
		log_event(LOG_LEVEL_WARN, "answers_fill_memory", LOG_STR("request", o->call.id),
			  LOG_CSTR("replica", o->replica), LOG_INT("bytes", o->body.n),
			  LOG_INT("most", BODIES_BYTES_MAX));
		return false;
	}
	buf_add(&o->body, piece);
	o->f->buffered_bytes += piece.n;
	return true;
}

static front_attempt_event_t on_event(void *ctx, const sse_event_t *e)
{
	front_request_t *o = ctx;

	if (e->id >= 0 && e->id <= o->last_event)
		return FRONT_EVENT_IGNORED;
	if (e->id >= 0 && e->id != o->last_event + 1)
		return FRONT_EVENT_INVALID;
	/* What has no id waits for an event that has: the stream may go on elsewhere without it. */
	if (e->id < 0)
		return keep_bytes(o, e->raw) ? FRONT_EVENT_IGNORED : FRONT_EVENT_INVALID;
	if (!o->head_sent) {
		o->head_sent = true;
		o->first_ms = clock_now_ms() - o->r.received;
		http_reply_begin(o->conn, 200, str_buf(&o->headers));
	}
	o->last_event = e->id;
	if (o->body.n > 0) {
		http_reply_chunk(o->conn, str_buf(&o->body));
		drop_body(o);
	}
	http_reply_chunk(o->conn, e->raw);
	return FRONT_EVENT_NEW;
}

static bool on_bytes(void *ctx, str_t piece)
{
	return keep_bytes(ctx, piece);
}

static void finish_whole(front_request_t *o)
{
	http_conn_t *c = o->conn;
	bool begun = o->head_sent;
	int status = o->reply.status;
	buf_t headers = o->headers;
	buf_t body = o->body;

	if (o->first_ms < 0)
		o->first_ms = clock_now_ms() - o->r.received;
	front_slot_release(o->f, o, status >= 500 ? DISPATCH_FAILED : DISPATCH_OK);
	log_end(o, "ok", status);
	o->f->buffered_bytes -= body.n;
	o->headers = (buf_t){0};
	o->body = (buf_t){0};
	detach(o);
	fo_free(o);
	if (begun) {
		http_reply_chunk(c, str_buf(&body));
		http_reply_end(c);
	} else {
		http_reply(c, status, str_buf(&headers), str_buf(&body));
	}
	buf_free(&headers);
	buf_free(&body);
}

/* The answer came whole: is it one for the caller? */
static void on_answer(front_request_t *o)
{
	const platform_reply_t *r = &o->reply;

	if (r->not_run && r->status == 400) {
		front_slot_release(o->f, o, DISPATCH_CANCELLED);
		finish_own(o, 400, 0, "refused by the replica");
	} else if (r->not_run) {
		next_try(o, r->other_replica ? DISPATCH_UNREACHABLE : DISPATCH_FULL);
	} else if (!r->has_signature) {
		next_try(o, DISPATCH_BROKEN);
	} else if (o->head_sent && r->status != 200) {
		next_try(o, DISPATCH_FAILED);
	} else if (r->status >= 500 && repeatable(o) && o->tries < o->max_attempts) {
		next_try(o, DISPATCH_FAILED);
	} else {
		finish_whole(o);
	}
}

static void on_end(void *ctx, front_attempt_end_t how)
{
	front_request_t *o = ctx;

	o->run = NULL;
	switch (how) {
	case FRONT_ATTEMPT_DONE:
		on_answer(o);
		break;
	case FRONT_ATTEMPT_UNSENT:
		next_try(o, DISPATCH_UNREACHABLE);
		break;
	case FRONT_ATTEMPT_SILENT:
		next_try(o, DISPATCH_SILENT);
		break;
	default:
		next_try(o, DISPATCH_BROKEN);
		break;
	}
}

static void on_deadline(void *ctx)
{
	front_request_t *o = ctx;

	if (o->state == FRONT_REQUEST_WAITING)
		front_slot_withdraw(o->f, o);
	else
		front_slot_release(o->f, o, DISPATCH_CANCELLED);
	if (o->head_sent)
		finish_abort(o, "deadline");
	else if (o->may_have_run || o->state == FRONT_REQUEST_RUNNING)
		finish_own(o, 504, 0, "deadline");
	else
		finish_own(o, 503, RETRY_MS, "deadline");
}

/* Watches for silence only where another replica may go on. */
static bool may_move(const front_request_t *o)
{
	return repeatable(o) && o->tries < o->max_attempts;
}

void front_request_granted(front_request_t *o, leaving_replica_t replica, str_t addr)
{
	AUTO_FREE char *to = str_dup(addr);
	AUTO_BUF req = {0};
	int64_t objective_ms = o->objective - o->r.received;
	platform_send_t s = {replica.id, clock_left_ms(o->deadline), o->last_event};

	snprintf(o->replica, sizeof(o->replica), "%.*s", STR_ARG(replica.id));
	o->state = FRONT_REQUEST_RUNNING;
	o->granted = clock_now_ms();
	o->place_ms += o->granted - o->requested_at;
	o->tries++;
	if (addr.n == 0 || leaving_check(o->f->leaving_replicas, replica)) {
		next_try(o, addr.n ? DISPATCH_REPLICA_LEAVING : DISPATCH_UNREACHABLE);
		return;
	}
	platform_request_encode(&req, &o->r.head, o->r.body, &s);
	o->run = front_attempt_start(&(front_attempt_options_t){
		.f = o->f,
		.request = str_buf(&req),
		.id = o->call.id,
		.replica = replica,
		.addr = to,
		.new_connection = !repeatable(o),
		.first_event_ms = may_move(o) ? objective_ms * FIRST_PERCENT / 100 : 0,
		.event_gap_ms = may_move(o) ? o->event_gap_ms * PAUSE_PERCENT / 100 : 0,
		.ctx = o,
		.head = on_head,
		.event = on_event,
		.bytes = on_bytes,
		.end = on_end,
	});
}

void front_request_refused(front_request_t *o, int64_t retry_ms)
{
	if (o->head_sent)
		finish_abort(o, "refused");
	else if (o->may_have_run)
		finish_own(o, 502, 0, "refused");
	else
		finish_own(o, 503, retry_ms, "refused");
}

bool front_request_is_waiting(const front_request_t *o)
{
	return o->state == FRONT_REQUEST_WAITING;
}

front_request_t *front_request_find(front_t *f, uint64_t number)
{
	front_request_t *o;

	HASH_FIND(hh, f->requests, &number, sizeof(number), o);
	return o;
}

void front_request_caller_left(front_request_t *o)
{
	if (o->state == FRONT_REQUEST_WAITING)
		front_slot_withdraw(o->f, o);
	else
		front_slot_release(o->f, o, DISPATCH_CANCELLED);
	log_end(o, "caller left", 0);
	fo_free(o);
}

void front_request_begin(front_t *f, http_conn_t *c, const http_request_t *r,
			 const platform_call_t *call, const route_spec_t *route)
{
	front_request_t *o = mem_new(sizeof(*o));
	front_conn_data_t *d = mem_new(sizeof(*d));
	int64_t wait = call->timeout_ms >= 0 ? call->timeout_ms : WAIT_DEFAULT_MS;

	o->f = f;
	o->conn = c;
	o->r = *r;
	o->call = *call;
	o->number = ++f->last_request;
	snprintf(o->service, sizeof(o->service), "%s",
		 route_pick_service(route, str_hash(call->id)));
	o->kind = route->kind;
	o->resumable = route->resumable;
	o->max_attempts = (unsigned)route->attempts;
	o->priority = (unsigned)route->priority;
	o->event_gap_ms = route->pause_ms;
	o->give_up_ms = route->give_up_ms;
	o->returning = wait < route->timeout_ms * RETURNING_PERCENT / 100;
	o->objective = r->received + route->objective_ms;
	o->deadline = r->received + (wait < route->timeout_ms ? wait : route->timeout_ms);
	o->last_event = call->last_event_id;
	o->first_ms = -1;
	HASH_ADD(hh, f->requests, number, sizeof(o->number), o);
	*d = (front_conn_data_t){FRONT_CONN_REQUEST, o};
	http_conn_set_data(c, d);
	timeout_init(&o->timer, f->loop, on_deadline, o);
	timeout_set(&o->timer, clock_left_ms(o->deadline));
	ask(o);
}
