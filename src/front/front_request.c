/* An online request: gets a slot, runs on a replica, and if that fails is retried or resumed on
 * other replicas as far as its route allows. */
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "base/metric.h"
#include "front/front.h"
#include "policy/failure.h"

/** A request fails after this number of attempts that a replica rejected or did not receive; each
 * costs a round trip. */
#define NOT_RUN_MAX 4
/** Silence timeout of the first event, in percent of the route's objective; the rest of the
 * objective is left for a second replica. */
#define FIRST_PERCENT 60
/** Silence timeout of later events, in percent of the route's maximum pause between events. */
#define PAUSE_PERCENT 55
/** A caller whose timeout is less than this percentage of the route's timeout is taken to have
 * spent the rest of the time at another entry. */
#define RETURNING_PERCENT 95
/** Timeout of a caller that does not state one. */
#define WAIT_DEFAULT_MS 30000
/** Limit of the buffered answers of all online requests together: 30% of the memory of the entry's
 * VM, at most this much. The buffers of callers have 38%. */
#define BUFFERED_BYTES_MAX (48U << 20)
#define BUFFERED_PERCENT   30
/** Retry-After of a refusal for which there is no estimate. */
#define RETRY_MS 200
/** Retry-After of an entry that stops, or is cut off from the replicas while others are not: the
 * caller only has to connect to another entry. */
#define RETRY_ELSEWHERE_MS 20
/** Retry-After of a request whose hold ran out while another one like it is tried. */
#define RETRY_PROBED_MS 10000
/** Retry-After if all entries are cut off. */
#define RETRY_ALL_CUT_OFF_MS 500

/* True if the request may be sent to another replica after it may have run on one. */
static bool is_repeatable(const front_request_t *q)
{
	return q->kind == ROUTE_REPEATABLE || (q->kind == ROUTE_STREAM && q->resumable);
}

/* True if the request may not end before this process does. */
static bool is_late(const front_request_t *q)
{
	front_t *f = q->f;

	drain_request_t r = {q->drain_kind, q->req.received, q->deadline};

	return front_is_stopping(f) && !drain_fits(f->drain, &r, clock_now_ms(), &f->stop);
}

/* Logs the end of a request and records its times in the metrics. placed_by names the dispatcher in
 * use now, which need not be the one that granted the last slot. */
static void record_end(const front_request_t *q, const char *outcome, int status)
{
	log_event(LOG_LEVEL_INFO, "request_end", LOG_STR("request", q->call.id),
		  LOG_INT("number", q->number),
		  LOG_CSTR("customer", q->customer ? q->customer : ""),
		  LOG_CSTR("outcome", outcome), LOG_INT("status", status),
		  LOG_CSTR("replica", q->replica), LOG_INT("ms", clock_now_ms() - q->req.received),
		  LOG_INT("first_ms", q->first_byte_ms),
		  LOG_CSTR("placed_by", q->f->local_dispatch ? "entry" : "leader"),
		  LOG_INT("wait_ms", q->slot_wait_ms), LOG_INT("tries", q->attempts),
		  LOG_INT("not_run", q->not_run), LOG_INT("events", q->last_event),
		  LOG_INT("text", q->f->routes_version));
	metric_record(metric_get(METRIC_HISTOGRAM, "auburn_request_ms", NULL),
		      clock_now_ms() - q->req.received);
	if (q->first_byte_ms >= 0)
		metric_record(metric_get(METRIC_HISTOGRAM, "auburn_first_byte_ms", NULL),
			      q->first_byte_ms);
}

static void clear_body(front_request_t *q)
{
	q->f->buffered_bytes -= q->body.n;
	buf_free(&q->body);
	q->body = (buf_t){0};
}

static void request_free(front_request_t *q)
{
	if (q->attempt)
		front_attempt_cancel(q->attempt);
	if (q->attempts == 0)
		front_quota_return(q->f, q);
	clear_body(q);
	timeout_stop(&q->timer);
	HASH_DEL(q->f->requests, q);
	buf_free(&q->headers);
	free(q->customer);
	free(q);
}

/* Detaches the request from its connection, which outlives the request to send the reply. */
static void detach_conn(front_request_t *q)
{
	free(http_conn_data(q->conn));
	http_conn_set_data(q->conn, NULL);
}

/* Ends a request whose answer has begun: aborts the connection, so that the answer does not look
 * complete. */
static void end_with_abort(front_request_t *q, const char *outcome)
{
	http_conn_t *c = q->conn;

	record_end(q, outcome, 0);
	detach_conn(q);
	request_free(q);
	http_reply_abort(c);
}

/* Ends the request with an answer from this process, without a body, or aborts an answer that has
 * begun; outcome is for the log. */
static void end_with_status(front_request_t *q, int status, int64_t retry_ms, const char *outcome)
{
	http_conn_t *c = q->conn;
	AUTO_BUF headers = {0};

	if (q->head_sent) {
		end_with_abort(q, outcome);
		return;
	}
	record_end(q, outcome, status);
	if (retry_ms > 0)
		platform_add_retry_after(&headers, retry_ms);
	detach_conn(q);
	request_free(q);
	http_reply(c, status, str_buf(&headers), (str_t){"", 0});
}

/* Ends a request that no replica has answered; aborts an answer that has begun. outcome is for the
 * log, retry_ms for an answer that says that the request has not run. */
static void end_failed(front_request_t *q, failure_t why, int64_t retry_ms, const char *outcome)
{
	bool sent = q->attempt && front_attempt_sent(q->attempt);
	int status = failure_status(why, q->may_have_run || sent);

	end_with_status(q, status, status < 500 || status == 503 ? retry_ms : 0, outcome);
}

bool front_request_check_quarantine(front_request_t *q)
{
	deadline_t now = clock_now_ms();
	quarantine_part_t by;
	char part[QUARANTINE_NAME_BYTES];

	if (q->head_sent || !quarantine_blocks(q->f->quarantine, &q->call.prompt, now, &by))
		return false;
	if (q->state == FRONT_REQUEST_WAITING && q->requested_at)
		front_slot_withdraw(q->f, q);
	log_event(LOG_LEVEL_INFO, "prompt_refused", LOG_STR("request", q->call.id),
		  LOG_CSTR("part", quarantine_part_name(by.part, part)),
		  LOG_CSTR("by", q->f->leader_quarantines ? "leader" : "entry"),
		  LOG_INT("crashes", by.crashes), LOG_INT("since_ms", now - by.since),
		  LOG_INT("left_ms", by.until - now), LOG_INT("tries", q->attempts));
	METRIC_INC("auburn_prompts_refused_total");
	end_failed(q, FAILURE_BLOCKED, by.until - now, "prompt part blocked");
	return true;
}

static poison_key_t key_of(const front_request_t *q)
{
	return poison_key(&(poison_content_t){
		.customer = str_c(q->customer ? q->customer : ""),
		.method = q->req.head.method,
		.host = q->call.host,
		.target = q->req.head.target,
		.body = q->req.body,
	});
}

bool front_request_check_poison(front_request_t *q)
{
	deadline_t now = clock_now_ms();
	poison_state_t by;
	poison_key_t key;
	char name[POISON_NAME_BYTES];

	if (q->probes || poison_is_empty(q->f->poison))
		return false;
	key = key_of(q);
	if (!poison_holds(q->f->poison, &key, str_hash(str_c(q->f->settings.name)), now, &by))
		return false;
	if (q->state == FRONT_REQUEST_WAITING && q->requested_at)
		front_slot_withdraw(q->f, q);
	log_event(LOG_LEVEL_INFO, "poison_refused", LOG_STR("request", q->call.id),
		  LOG_CSTR("key", poison_key_name(&key, name)),
		  LOG_CSTR("by", q->f->leader_holds ? "leader" : "entry"),
		  LOG_INT("crashes", by.crashes), LOG_INT("since_ms", now - by.since),
		  LOG_INT("left_ms", by.until - now), LOG_INT("tries", q->attempts));
	METRIC_INC("auburn_poison_refused_total");
	end_failed(q, FAILURE_HELD, by.until > now ? by.until - now : RETRY_PROBED_MS,
		   "request crashes replicas");
	return true;
}

static void on_cut(void *ctx, replica_ref_t replica, bool answer_began, deadline_t began_at)
{
	front_request_t *q = ctx;

	q->probes = false;
	front_poison_crash(q->f, &(front_crash_t){
					 .request = q->call.id,
					 .replica = replica,
					 .key = key_of(q),
					 .parts = &q->call.prompt,
					 .answer_began = answer_began,
					 .began_at = began_at,
				 });
}

/* The request has run to its end: it crashes no replica. */
static void note_sound(const front_request_t *q)
{
	poison_key_t key;

	if (q->reply.status / 100 != 2 || poison_is_empty(q->f->poison))
		return;
	key = key_of(q);
	if (poison_has(q->f->poison, &key))
		front_poison_sound(q->f, &key);
}

static void add_avoided(front_request_t *q)
{
	if (q->navoid < DISPATCH_AVOID_MAX)
		snprintf(q->avoid[q->navoid++], sizeof(q->avoid[0]), "%s", q->replica);
}

/* When the caller gives up: give_up_ms after the last event sent to it, or after its request if
 * there was none, but not after the deadline. The time of the last event is not recorded; the time
 * of the slot request that follows a broken stream stands for it. */
static deadline_t give_up_time(const front_request_t *q)
{
	deadline_t since = q->head_sent ? q->requested_at : q->req.received;

	if (q->give_up_ms == 0 || since + q->give_up_ms > q->deadline)
		return q->deadline;
	return since + q->give_up_ms;
}

/* Ends a request that may not end before this process does, unless its answer has begun; its caller
 * is to use another entry. Returns whether it did. */
static bool end_if_late(front_request_t *q)
{
	front_t *f = q->f;
	deadline_t now = clock_now_ms();

	if (q->head_sent || !is_late(q))
		return false;
	log_event(LOG_LEVEL_INFO, "stop_refused", LOG_STR("request", q->call.id),
		  LOG_INT("left_ms", f->stop.exit_by - now),
		  LOG_INT("deadline_ms", q->deadline - now),
		  LOG_INT("known_ms", now - f->stop.known_by),
		  LOG_INT("expected_ms",
			  drain_expected_ms(f->drain, q->drain_kind, q->deadline - now)),
		  LOG_INT("ms", now - q->req.received), LOG_INT("tries", q->attempts));
	METRIC_INC("auburn_refused_stopping_total");
	end_failed(q, FAILURE_STOPPING, RETRY_ELSEWHERE_MS, "entry stops");
	return true;
}

/* Hands the request to an entry that reaches replicas, if it has not run and was not handed over
 * before; returns whether it was. */
static bool hand_over(front_request_t *q)
{
	front_t *f = q->f;
	http_conn_t *c = q->conn;
	http_request_t req = q->req;
	str_t id = q->call.id;
	deadline_t deadline = q->deadline;
	void *data = http_conn_data(c);

	if (q->may_have_run || q->head_sent || q->call.handed_over ||
	    !front_hop_start(f, c, &req, id, deadline))
		return false;
	record_end(q, "handed over", 0);
	free(data);
	request_free(q);
	return true;
}

/* Ends a request here because this entry reaches no replica. The connection closes, as the caller
 * is to use another entry for its next requests. */
static void end_cut_off(front_request_t *q)
{
	bool elsewhere = !front_all_cut_off(q->f);

	if (elsewhere)
		http_conn_close_after_reply(q->conn);
	if (hand_over(q))
		return;
	METRIC_INC("auburn_refused_cut_off_total");
	end_failed(q, FAILURE_REFUSED, elsewhere ? RETRY_ELSEWHERE_MS : RETRY_ALL_CUT_OFF_MS,
		   "cut off from the replicas");
}

static void request_slot(front_request_t *q)
{
	if (front_request_check_quarantine(q) || front_request_check_poison(q) || end_if_late(q))
		return;
	q->state = FRONT_REQUEST_WAITING;
	q->requested_at = clock_now_ms();
	q->give_up_at = give_up_time(q);
	if (front_is_cut_off(q->f))
		end_cut_off(q);
	else
		front_slot_request(q->f, q);
}

/* An attempt failed or could not be sent: requests a slot on another replica, or ends the request
 * if it may not be retried. */
static void retry_elsewhere(front_request_t *q, dispatch_outcome_t how)
{
	bool not_leaving = how != DISPATCH_REPLICA_LEAVING;
	bool ran = failure_may_have_run(how);

	front_slot_release(q->f, q, how);
	log_event(LOG_LEVEL_INFO, "try_failed", LOG_STR("request", q->call.id),
		  LOG_CSTR("replica", q->replica), LOG_CSTR("outcome", dispatch_outcome_name(how)),
		  LOG_INT("tries", q->attempts), LOG_INT("events", q->last_event),
		  LOG_INT("ms", clock_now_ms() - q->granted_at));
	add_avoided(q);
	if (ran)
		q->may_have_run = true;
	else
		q->attempts--;
	q->not_run += not_leaving && !ran;
	q->headers.n = 0;
	clear_body(q);
	if (ran && (!is_repeatable(q) || q->attempts >= q->max_attempts)) {
		end_failed(q, FAILURE_NO_ATTEMPT_LEFT, RETRY_MS, dispatch_outcome_name(how));
		return;
	}
	if (!ran && q->not_run >= NOT_RUN_MAX) {
		end_failed(q, FAILURE_NO_ATTEMPT_LEFT, RETRY_MS, dispatch_outcome_name(how));
		return;
	}
	request_slot(q);
}

static void on_head(void *ctx, const http_head_t *h, const platform_reply_t *r)
{
	front_request_t *q = ctx;

	q->reply = *r;
	q->reply.id = (str_t){"", 0};
	if (r->not_run || !r->has_signature)
		return;
	if (q->head_sent)
		return;
	q->headers.n = 0;
	platform_reply_headers(&q->headers, h);
}

static size_t buffered_max(const front_t *f)
{
	size_t max = ((size_t)f->settings.memory_mib << 20) * BUFFERED_PERCENT / 100;

	return max > 0 && max < BUFFERED_BYTES_MAX ? max : BUFFERED_BYTES_MAX;
}

/* Buffers bytes of the answer; false if all buffers together would exceed their limit. */
static bool buffer_bytes(front_request_t *q, str_t piece)
{
	if (q->f->buffered_bytes + piece.n > buffered_max(q->f)) {
		log_event(LOG_LEVEL_WARN, "answers_fill_memory", LOG_STR("request", q->call.id),
			  LOG_CSTR("replica", q->replica), LOG_INT("bytes", q->body.n),
			  LOG_INT("most", buffered_max(q->f)));
		return false;
	}
	buf_add(&q->body, piece);
	q->f->buffered_bytes += piece.n;
	return true;
}

static front_attempt_event_t on_event(void *ctx, const sse_event_t *e)
{
	front_request_t *q = ctx;

	if (e->id >= 0 && e->id <= q->last_event)
		return FRONT_EVENT_NO_PROGRESS;
	if (e->id >= 0 && e->id != q->last_event + 1)
		return FRONT_EVENT_INVALID;
	/* An event without an id is buffered until the next event with an id. If the stream breaks
	 * before, the event is dropped: another replica may resume the stream without it. */
	if (e->id < 0)
		return buffer_bytes(q, e->raw) ? FRONT_EVENT_NO_PROGRESS : FRONT_EVENT_INVALID;
	if (!q->head_sent) {
		q->head_sent = true;
		q->first_byte_ms = clock_now_ms() - q->req.received;
		http_reply_begin(q->conn, 200, str_buf(&q->headers));
	}
	q->last_event = e->id;
	if (q->body.n > 0) {
		http_reply_chunk(q->conn, str_buf(&q->body));
		clear_body(q);
	}
	http_reply_chunk(q->conn, e->raw);
	if (http_conn_unread(q->conn) > FRONT_UNREAD_BYTES &&
	    !front_attempt_is_paused(q->attempt)) {
		log_event(LOG_LEVEL_INFO, "caller_reads_slowly", LOG_STR("request", q->call.id),
			  LOG_INT("unread_bytes", http_conn_unread(q->conn)),
			  LOG_INT("events", q->last_event));
		METRIC_INC("auburn_callers_slow_total");
		front_attempt_pause(q->attempt, true);
	}
	return FRONT_EVENT_NEW;
}

static bool on_bytes(void *ctx, str_t piece)
{
	return buffer_bytes(ctx, piece);
}

/* Ends the request: sends the complete answer, or the rest of it, to the caller. */
static void end_with_answer(front_request_t *q)
{
	http_conn_t *c = q->conn;
	bool begun = q->head_sent;
	int status = q->reply.status;
	buf_t headers = q->headers;
	buf_t body = q->body;

	if (q->first_byte_ms < 0)
		q->first_byte_ms = clock_now_ms() - q->req.received;
	note_sound(q);
	if (status < 500)
		drain_ended(q->f->drain, q->drain_kind, clock_now_ms() - q->req.received);
	front_slot_release(q->f, q, status >= 500 ? DISPATCH_FAILED : DISPATCH_OK);
	record_end(q, "ok", status);
	q->f->buffered_bytes -= body.n;
	q->headers = (buf_t){0};
	q->body = (buf_t){0};
	detach_conn(q);
	request_free(q);
	if (begun) {
		http_reply_chunk(c, str_buf(&body));
		http_reply_end(c);
	} else {
		http_reply(c, status, str_buf(&headers), str_buf(&body));
	}
	buf_free(&headers);
	buf_free(&body);
}

/* The answer is complete: passes it to the caller or retries on another replica. If the replica
 * rejected the request as invalid, ends the request with status 400. */
static void handle_answer(front_request_t *q)
{
	const platform_reply_t *r = &q->reply;

	if (r->not_run && r->status == 400) {
		front_slot_release(q->f, q, DISPATCH_CANCELLED);
		end_with_status(q, 400, 0, "refused by the replica");
	} else if (r->not_run) {
		retry_elsewhere(q, r->other_replica ? DISPATCH_UNREACHABLE : DISPATCH_FULL);
	} else if (!r->has_signature) {
		retry_elsewhere(q, DISPATCH_BROKEN);
	} else if (q->head_sent && (r->status != 200 || !r->event_stream)) {
		retry_elsewhere(q, DISPATCH_FAILED);
	} else if (r->status >= 500 && is_repeatable(q) && q->attempts < q->max_attempts) {
		retry_elsewhere(q, DISPATCH_FAILED);
	} else {
		end_with_answer(q);
	}
}

static void on_end(void *ctx, front_attempt_end_t how)
{
	front_request_t *q = ctx;

	q->attempt = NULL;
	switch (how) {
	case FRONT_ATTEMPT_DONE:
		handle_answer(q);
		break;
	case FRONT_ATTEMPT_UNSENT:
		retry_elsewhere(q, DISPATCH_UNREACHABLE);
		break;
	case FRONT_ATTEMPT_SILENT:
		retry_elsewhere(q, DISPATCH_SILENT);
		break;
	default:
		retry_elsewhere(q, DISPATCH_BROKEN);
		break;
	}
}

static void on_deadline(void *ctx)
{
	front_request_t *q = ctx;
	bool slow = q->attempt && front_attempt_is_paused(q->attempt);

	if (q->state == FRONT_REQUEST_WAITING)
		front_slot_withdraw(q->f, q);
	else
		front_slot_release(q->f, q, DISPATCH_CANCELLED);
	end_failed(q, FAILURE_DEADLINE, RETRY_MS, slow ? "caller reads slowly" : "deadline");
}

/* True if the request may be retried or resumed even if the current attempt may have run. Only then
 * does the attempt have silence timeouts. */
static bool may_retry(const front_request_t *q)
{
	return is_repeatable(q) && q->attempts < q->max_attempts;
}

/* If the request is held for all others, this is its one try. */
static void start_probe(front_request_t *q)
{
	poison_key_t key;

	if (q->probes || poison_is_empty(q->f->poison))
		return;
	key = key_of(q);
	q->probes = poison_is_probed_by(q->f->poison, &key, str_hash(str_c(q->f->settings.name)));
	if (q->probes)
		poison_probe(q->f->poison, &key);
}

void front_request_granted(front_request_t *q, replica_ref_t replica, str_t addr)
{
	AUTO_FREE char *addr_cstr = str_dup(addr);
	AUTO_BUF req = {0};
	int64_t objective_ms = q->objective - q->req.received;
	platform_send_t s = {
		.replica = replica.id,
		.caller_timeout_ms = clock_left_ms(q->deadline),
		.last_event_id = q->last_event,
		.identified = q->f->routes->customers != NULL,
		.customer = str_c(q->customer ? q->customer : ""),
	};

	snprintf(q->replica, sizeof(q->replica), "%.*s", STR_ARG(replica.id));
	q->state = FRONT_REQUEST_RUNNING;
	q->granted_at = clock_now_ms();
	q->slot_wait_ms += q->granted_at - q->requested_at;
	q->attempts++;
	if (addr.n == 0 || front_replica_leaves(q->f, replica)) {
		retry_elsewhere(q, addr.n ? DISPATCH_REPLICA_LEAVING : DISPATCH_UNREACHABLE);
		return;
	}
	if (!q->head_sent && is_late(q)) {
		q->attempts--;
		front_slot_release(q->f, q, DISPATCH_CANCELLED);
		end_if_late(q);
		return;
	}
	if (q->attempts == 1 && !q->may_have_run && !front_request_key_is_valid(q)) {
		q->attempts = 0;
		front_slot_release(q->f, q, DISPATCH_CANCELLED);
		end_failed(q, FAILURE_KEY_REVOKED, 0, "key revoked");
		return;
	}
	start_probe(q);
	platform_request_encode(&req, &q->req.head, q->req.body, &s);
	q->attempt = front_attempt_start(&(front_attempt_options_t){
		.f = q->f,
		.request = str_buf(&req),
		.id = q->call.id,
		.replica = replica,
		.prompt = q->call.prompt,
		.addr = addr_cstr,
		.new_connection = !is_repeatable(q),
		.first_event_ms = may_retry(q) ? objective_ms * FIRST_PERCENT / 100 : 0,
		.event_gap_ms = may_retry(q) ? q->pause_ms * PAUSE_PERCENT / 100 : 0,
		.ctx = q,
		.head = on_head,
		.event = on_event,
		.bytes = on_bytes,
		.cut = on_cut,
		.end = on_end,
	});
}

void front_request_over_quota(front_request_t *q, int64_t retry_ms, const char *by)
{
	log_event(LOG_LEVEL_INFO, "over_quota", LOG_STR("request", q->call.id),
		  LOG_CSTR("customer", q->customer), LOG_CSTR("counted_by", by),
		  LOG_INT("retry_ms", retry_ms), LOG_INT("text", q->f->routes_version));
	METRIC_INC("auburn_over_quota_total");
	q->counted_by = FRONT_NOT_COUNTED;
	end_failed(q, FAILURE_OVER_QUOTA, front_quota_retry_ms(retry_ms), "over quota");
}

void front_request_refused(front_request_t *q, int64_t retry_ms)
{
	end_failed(q, FAILURE_REFUSED, retry_ms, "refused");
}

/* True if the request waits for a slot, or its attempt still connects. */
static bool is_unsent(const front_request_t *q)
{
	return q->state == FRONT_REQUEST_WAITING || (q->attempt && !front_attempt_sent(q->attempt));
}

void front_request_end_unsent(front_t *f)
{
	front_request_t *q = f->requests;

	/* Starts again after each, as the released slot may go to any other request here. */
	while (q) {
		if (!is_unsent(q)) {
			q = q->hh.next;
			continue;
		}
		if (q->state == FRONT_REQUEST_WAITING) {
			front_slot_withdraw(f, q);
		} else {
			front_slot_release(f, q, DISPATCH_UNREACHABLE);
			q->attempts--;
		}
		end_cut_off(q);
		q = f->requests;
	}
}

void front_request_refuse_late(front_t *f)
{
	front_request_t *q;
	front_request_t *next;

	HASH_ITER (hh, f->requests, q, next) {
		if (q->state != FRONT_REQUEST_WAITING || q->head_sent || !is_late(q))
			continue;
		front_slot_withdraw(f, q);
		end_if_late(q);
	}
}

void front_request_end_all(front_t *f)
{
	while (f->requests) {
		front_request_t *q = f->requests;

		if (q->state == FRONT_REQUEST_WAITING)
			front_slot_withdraw(f, q);
		else
			front_slot_release(f, q, DISPATCH_CANCELLED);
		end_failed(q, FAILURE_STOPPING, RETRY_ELSEWHERE_MS, "entry ends");
	}
}

bool front_request_is_waiting(const front_request_t *q)
{
	return q->state == FRONT_REQUEST_WAITING;
}

front_request_t *front_request_find(front_t *f, uint64_t number)
{
	front_request_t *q;

	HASH_FIND(hh, f->requests, &number, sizeof(number), q);
	return q;
}

void front_request_caller_read(front_request_t *q)
{
	if (q->attempt)
		front_attempt_pause(q->attempt, false);
}

void front_request_caller_left(front_request_t *q)
{
	if (q->state == FRONT_REQUEST_WAITING)
		front_slot_withdraw(q->f, q);
	else
		front_slot_release(q->f, q, DISPATCH_CANCELLED);
	record_end(q, "caller left", 0);
	request_free(q);
}

void front_request_begin(front_t *f, http_conn_t *c, const http_request_t *r,
			 const platform_call_t *call, const route_spec_t *route,
			 const front_caller_t *caller)
{
	front_request_t *q = mem_new(sizeof(*q));
	front_conn_data_t *d = mem_new(sizeof(*d));
	int64_t caller_timeout_ms = call->timeout_ms >= 0 ? call->timeout_ms : WAIT_DEFAULT_MS;

	q->f = f;
	q->conn = c;
	q->req = *r;
	q->call = *call;
	q->number = ++f->last_request;
	snprintf(q->service, sizeof(q->service), "%s",
		 route_pick_service(route, str_hash(call->id)));
	q->kind = route->kind;
	q->resumable = route->resumable;
	q->max_attempts = (unsigned)route->attempts;
	q->priority = (unsigned)route->priority;
	if (caller->customer) {
		q->customer = str_dup(str_c(caller->customer->name));
		q->key = caller->key;
		if (caller->customer->priority >= 0)
			q->priority = (unsigned)caller->customer->priority;
	}
	q->drain_kind = str_hash(str_c(route->host)) ^ (str_hash(str_c(route->prefix)) * 3);
	q->pause_ms = route->pause_ms;
	q->give_up_ms = route->give_up_ms;
	q->returning = caller_timeout_ms < route->timeout_ms * RETURNING_PERCENT / 100;
	q->objective = r->received + route->objective_ms;
	/* A caller that has spent less than the objective elsewhere can still be in time. */
	if (f->speeds_stated && route->timeout_ms - caller_timeout_ms < route->objective_ms)
		q->returning = false;
	q->deadline = r->received + (caller_timeout_ms < route->timeout_ms ? caller_timeout_ms
									   : route->timeout_ms);
	q->last_event = call->last_event_id;
	q->first_byte_ms = -1;
	HASH_ADD(hh, f->requests, number, sizeof(q->number), q);
	*d = (front_conn_data_t){FRONT_CONN_REQUEST, q};
	http_conn_set_data(c, d);
	http_conn_hold(c, r->body.n); /* in the message to the replica */
	timeout_init(&q->timer, f->loop, on_deadline, q);
	timeout_set(&q->timer, clock_left_ms(q->deadline));
	request_slot(q);
}
