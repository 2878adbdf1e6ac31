/* One attempt to run a request or an item on a replica: sends it and passes the answer to
 * callbacks. Detects answers to other requests, silence, and malformed or endless answers. */
#include <stdlib.h>
#include "base/log.h"
#include "base/metric.h"
#include "front/front.h"

/** Connect timeout; handshakes take a few ms. */
#define CONNECT_MS 250
/** A connection is not given up sooner, whatever the silence timeout. */
#define CONNECT_MIN_MS 100
/** Maximum size in bytes of one answer and of everything received before it: several times the
 * largest body that callers may send. */
#define ANSWER_BYTES_MAX (16U << 20)
/** Maximum number of consecutive events without progress (repeated, or without an id) before the
 * attempt counts as broken. A replica may repeat a stream from its start, so this is more than the
 * longest streams have. */
#define NO_PROGRESS_EVENTS_MAX 4096

struct front_attempt {
	front_attempt_options_t options;
	http_call_t *call;
	sse_parser_t sse;
	timeout_t silence_timer;
	deadline_t started;
	unsigned no_progress_events; /* since the last new one */
	answer_end_t answer; /* what came of it so far */
	bool answered; /* the answer is that of a run */
	bool began; /* the first event, or a byte of another answer, has arrived */
	bool paused; /* the caller reads slowly */
	bool broken; /* the answer is rejected; silence_timer is about to end the attempt */
	char *id; /* of the request */
	char replica[64];
};

static void attempt_free(front_attempt_t *a)
{
	timeout_stop(&a->silence_timer);
	sse_free(&a->sse);
	free(a->id);
	free(a);
}

/* True if the answer is whole; logs an answer that is not. */
static bool check_whole(front_attempt_t *a, answer_stop_t stop)
{
	answer_line_t line;

	a->answer.stop = stop;
	a->answer.partial_bytes = a->sse.pending.n;
	line = answer_judge(&a->answer);
	if (answer_is_whole(line))
		return true;
	log_event(LOG_LEVEL_INFO, "answer_broken", LOG_CSTR("request", a->id),
		  LOG_CSTR("replica", a->replica), LOG_CSTR("line", answer_line_name(line)),
		  LOG_INT("framed", a->answer.framed), LOG_INT("events", a->answer.events),
		  LOG_INT("partial_bytes", a->answer.partial_bytes),
		  LOG_INT("body_bytes", a->answer.body_bytes),
		  LOG_INT("ms", clock_now_ms() - a->started));
	METRIC_INC("auburn_answers_broken_total");
	return false;
}

static void end_attempt(front_attempt_t *a, front_attempt_end_t how)
{
	if (how != FRONT_ATTEMPT_DONE)
		front_reach_failed(a->options.f, a->options.replica.id,
				   how == FRONT_ATTEMPT_UNSENT ? REACH_NO_CONNECTION
							       : REACH_NO_ANSWER);
	a->options.end(a->options.ctx, how);
	attempt_free(a);
}

static void restart_silence_timer(front_attempt_t *a, int64_t ms)
{
	if (ms > 0)
		timeout_set(&a->silence_timer, ms);
	else
		timeout_stop(&a->silence_timer);
}

static void on_silence(void *ctx)
{
	front_attempt_t *a = ctx;
	bool sent = http_call_sent(a->call);
	int64_t left_ms = a->started + CONNECT_MIN_MS - clock_now_ms();

	if (!sent && left_ms > 0) {
		timeout_set(&a->silence_timer, left_ms);
		return;
	}
	http_call_cancel(a->call);
	if (sent)
		check_whole(a, a->broken ? ANSWER_STOP_REJECTED : ANSWER_STOP_SILENT);
	end_attempt(a, !sent	   ? FRONT_ATTEMPT_UNSENT
		       : a->broken ? FRONT_ATTEMPT_BROKEN
				   : FRONT_ATTEMPT_SILENT);
}

/* Ends the attempt as broken, but only once the running callback has returned to the event loop:
 * the parser that is calling still uses the attempt. The call may end before that, and its
 * connection must not be used again. */
static void mark_broken(front_attempt_t *a)
{
	a->broken = true;
	http_call_close_conn_after(a->call);
	timeout_expire_now(&a->silence_timer);
}

static void on_connected(void *ctx)
{
	front_attempt_t *a = ctx;

	front_reach_connected(a->options.f, a->options.replica.id);
}

static bool on_head(void *ctx, const http_head_t *h)
{
	front_attempt_t *a = ctx;
	platform_reply_t r;

	platform_reply_decode(h, &r);
	if (r.id.n > 0 && !str_eq(r.id, str_c(a->id)))
		return false;
	/* On a reused connection, an answer without an id may be a repeated answer to an earlier
	 * request. */
	if (r.id.n == 0 && a->id[0] && http_call_reused_conn(a->call)) {
		log_event(LOG_LEVEL_WARN, "answer_without_id", LOG_CSTR("request", a->id),
			  LOG_CSTR("replica", a->replica), LOG_INT("status", r.status));
		mark_broken(a);
		return false;
	}
	if (r.leaving && !r.other_replica)
		front_replica_leaving(a->options.f, a->options.replica);
	front_reach_heard(a->options.f, a->options.replica.id);
	if (r.has_load)
		front_load_note(a->options.f, a->options.replica, &r.load);
	a->answered = r.has_signature && !r.not_run && r.status < 500;
	/* The request may come to this replica again, and a copy of this answer, which has its id,
	 * would be taken for the next one. */
	if (!a->answered)
		http_call_close_conn_after(a->call);
	a->answer.framed = h->framed;
	a->answer.success = r.status / 100 == 2;
	a->answer.stream = r.event_stream && r.status == 200 && r.has_signature;
	a->options.head(a->options.ctx, h, &r);
	return true;
}

static bool on_event(void *ctx, const sse_event_t *e)
{
	front_attempt_t *a = ctx;
	front_attempt_event_t verdict;

	/* Most likely the head or the text of an error in a stream that states no length. */
	if (e->is_malformed) {
		log_event(LOG_LEVEL_WARN, "event_malformed", LOG_CSTR("request", a->id),
			  LOG_CSTR("replica", a->replica), LOG_INT("bytes", e->raw.n));
		return false;
	}
	verdict = a->options.event(a->options.ctx, e);
	if (verdict == FRONT_EVENT_NEW && !a->began) {
		a->began = true;
		front_quarantine_began(a->options.f, a->options.replica, &a->options.prompt);
	}
	/* Only new events restart the silence timeout. */
	if (verdict == FRONT_EVENT_NEW && !a->paused)
		restart_silence_timer(a, a->options.event_gap_ms);
	a->no_progress_events = verdict == FRONT_EVENT_NEW ? 0 : a->no_progress_events + 1;
	a->answer.events += verdict == FRONT_EVENT_NEW || (e->id < 0 && e->has_data);
	return verdict != FRONT_EVENT_INVALID && a->no_progress_events <= NO_PROGRESS_EVENTS_MAX;
}

static void on_body(void *ctx, str_t piece)
{
	front_attempt_t *a = ctx;
	bool valid;

	if (a->broken)
		return;
	if (a->answer.stream) {
		valid = sse_feed(&a->sse, piece, on_event, a);
	} else {
		a->began = true;
		a->answer.body_bytes += piece.n;
		valid = a->options.bytes(a->options.ctx, piece);
	}
	if (!valid)
		mark_broken(a);
}

/* Tells how the replica bore the prompt. */
static void note_end(front_attempt_t *a, http_call_end_t how)
{
	const front_attempt_options_t *o = &a->options;

	if (o->cut && (how == HTTP_CALL_BROKEN || how == HTTP_CALL_MALFORMED))
		o->cut(o->ctx, o->replica, a->began, a->started);
	else if (how == HTTP_CALL_BROKEN && !a->began)
		front_quarantine_broke(o->f, str_c(a->id), o->replica, &o->prompt, a->started,
				       NULL);
	else if (how == HTTP_CALL_DONE && a->answered)
		front_quarantine_began(o->f, o->replica, &o->prompt);
	else if (how == HTTP_CALL_DONE)
		front_quarantine_alive(o->f, o->replica);
	if (how == HTTP_CALL_DONE)
		poison_alive(o->f->poison, o->replica, clock_now_ms());
}

static void on_end(void *ctx, http_call_end_t how)
{
	static const answer_stop_t stops[] = {
		[HTTP_CALL_DONE] = ANSWER_STOP_END,
		[HTTP_CALL_BROKEN] = ANSWER_STOP_CUT,
		[HTTP_CALL_MALFORMED] = ANSWER_STOP_MALFORMED,
		[HTTP_CALL_TOO_LONG] = ANSWER_STOP_TOO_LONG,
	};
	front_attempt_t *a = ctx;
	bool whole;

	timeout_stop(&a->silence_timer);
	if (how == HTTP_CALL_UNSENT) {
		end_attempt(a, FRONT_ATTEMPT_UNSENT);
		return;
	}
	whole = check_whole(a, a->broken ? ANSWER_STOP_REJECTED : stops[how]);
	if (how == HTTP_CALL_DONE && !whole)
		how = HTTP_CALL_BROKEN;
	if (!a->broken)
		note_end(a, how);
	if (how == HTTP_CALL_TOO_LONG) {
		log_event(LOG_LEVEL_WARN, "answer_too_long", LOG_CSTR("request", a->id),
			  LOG_CSTR("replica", a->replica), LOG_INT("most", ANSWER_BYTES_MAX));
		METRIC_INC("auburn_answers_too_long_total");
	}
	end_attempt(a, whole ? FRONT_ATTEMPT_DONE : FRONT_ATTEMPT_BROKEN);
}

front_attempt_t *front_attempt_start(const front_attempt_options_t *o)
{
	front_attempt_t *a = mem_new(sizeof(*a));

	a->options = *o;
	a->started = clock_now_ms();
	a->id = str_dup(o->id);
	snprintf(a->replica, sizeof(a->replica), "%.*s", STR_ARG(o->replica.id));
	a->options.replica.id = str_c(a->replica);
	timeout_init(&a->silence_timer, o->f->loop, on_silence, a);
	a->call =
		http_call_start(o->f->http, &(http_call_options_t){
						    .request = o->request,
						    .addr = o->addr,
						    .new_conn = o->new_connection,
						    .max_bytes = ANSWER_BYTES_MAX,
						    .connect_deadline = clock_now_ms() + CONNECT_MS,
						    .ctx = a,
						    .connected = on_connected,
						    .head = on_head,
						    .body = on_body,
						    .end = on_end,
					    });
	restart_silence_timer(a, o->first_event_ms);
	return a;
}

bool front_attempt_sent(const front_attempt_t *a)
{
	return http_call_sent(a->call);
}

void front_attempt_pause(front_attempt_t *a, bool paused)
{
	if (a->paused == paused || a->broken)
		return;
	a->paused = paused;
	http_call_pause(a->call, paused);
	restart_silence_timer(a, paused ? 0 : a->options.event_gap_ms);
}

bool front_attempt_is_paused(const front_attempt_t *a)
{
	return a->paused;
}

void front_attempt_cancel(front_attempt_t *a)
{
	http_call_cancel(a->call);
	attempt_free(a);
}
