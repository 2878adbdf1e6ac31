#include <stdlib.h>
#include "base/log.h"
#include "base/metric.h"
#include "front/front.h"

/** A replica that takes no connection within this, in ms, isn't reached: handshakes take a few. */
#define CONNECT_MS 250
/** Bytes of one answer, with all that comes before it: several times the largest body that callers
 * may send. */
#define ANSWER_BYTES_MAX (16U << 20)
/** Events in a row that don't get a stream on, before it counts as broken: more than the longest
 * streams have, which a replica may begin again from the start. */
#define KNOWN_EVENTS_MAX 4096

struct front_attempt {
	front_attempt_options_t o;
	http_call_t *call;
	sse_parser_t sse;
	timeout_t silence;
	bool events;
	unsigned known_events; /* since the last that got the stream on */
	bool bad;
	char id[64];
	char replica[64];
};

static void fx_free(front_attempt_t *x)
{
	timeout_stop(&x->silence);
	sse_free(&x->sse);
	free(x);
}

static void end(front_attempt_t *x, front_attempt_end_t how)
{
	x->o.end(x->o.ctx, how);
	fx_free(x);
}

static void arm(front_attempt_t *x, int64_t ms)
{
	if (ms > 0)
		timeout_set(&x->silence, ms);
	else
		timeout_stop(&x->silence);
}

static void on_silence(void *ctx)
{
	front_attempt_t *x = ctx;

	http_call_cancel(x->call);
	end(x, x->bad ? FRONT_ATTEMPT_BROKEN : FRONT_ATTEMPT_SILENT);
}

/* A run that has gone wrong is ended from the loop, never from inside the parser. */
static void break_off(front_attempt_t *x)
{
	x->bad = true;
	timeout_expire_now(&x->silence);
}

static bool on_head(void *ctx, const http_head_t *h)
{
	front_attempt_t *x = ctx;
	platform_reply_t r;

	platform_reply_decode(h, &r);
	if (r.id.n > 0 && !str_eq(r.id, str_c(x->id)))
		return false;
	/* On a connection that was in use before it may be a late copy of an earlier answer. */
	if (r.id.n == 0 && x->id[0] && http_call_reused_conn(x->call)) {
		log_event(LOG_LEVEL_WARN, "answer_without_id", LOG_CSTR("request", x->id),
			  LOG_CSTR("replica", x->replica), LOG_INT("status", r.status));
		break_off(x);
		return false;
	}
	if (r.leaving && !r.other_replica)
		front_replica_leaving(x->o.f, x->o.replica);
	x->events = r.event_stream && r.status == 200 && r.has_signature;
	x->o.head(x->o.ctx, h, &r);
	return true;
}

static bool on_event(void *ctx, const sse_event_t *e)
{
	front_attempt_t *x = ctx;
	front_attempt_event_t is = x->o.event(x->o.ctx, e);

	/* Only what gets the stream on puts its end for silence off. */
	if (is == FRONT_EVENT_NEW)
		arm(x, x->o.event_gap_ms);
	x->known_events = is == FRONT_EVENT_NEW ? 0 : x->known_events + 1;
	return is != FRONT_EVENT_INVALID && x->known_events <= KNOWN_EVENTS_MAX;
}

static void on_body(void *ctx, str_t piece)
{
	front_attempt_t *x = ctx;
	bool sound;

	if (x->bad)
		return;
	if (x->events)
		sound = sse_feed(&x->sse, piece, on_event, x);
	else
		sound = x->o.bytes(x->o.ctx, piece);
	if (!sound)
		break_off(x);
}

static void on_end(void *ctx, http_call_end_t how)
{
	front_attempt_t *x = ctx;

	timeout_stop(&x->silence);
	if (x->bad) {
		end(x, FRONT_ATTEMPT_BROKEN);
		return;
	}
	if (how == HTTP_CALL_TOO_LONG) {
		log_event(LOG_LEVEL_WARN, "answer_too_long", LOG_CSTR("request", x->id),
			  LOG_CSTR("replica", x->replica), LOG_INT("most", ANSWER_BYTES_MAX));
		METRIC_INC("auburn_answers_too_long_total");
	}
	if (how == HTTP_CALL_DONE && x->sse.pending.n > 0 &&
	    !x->o.bytes(x->o.ctx, str_buf(&x->sse.pending)))
		how = HTTP_CALL_MALFORMED;
	if (how == HTTP_CALL_DONE)
		end(x, FRONT_ATTEMPT_DONE);
	else
		end(x, how == HTTP_CALL_UNSENT ? FRONT_ATTEMPT_UNSENT : FRONT_ATTEMPT_BROKEN);
}

front_attempt_t *front_attempt_start(const front_attempt_options_t *o)
{
	front_attempt_t *x = mem_new(sizeof(*x));

	x->o = *o;
	snprintf(x->id, sizeof(x->id), "%.*s", STR_ARG(o->id));
	snprintf(x->replica, sizeof(x->replica), "%.*s", STR_ARG(o->replica.id));
	x->o.replica.id = str_c(x->replica);
	timeout_init(&x->silence, o->f->loop, on_silence, x);
	x->call =
		http_call_start(o->f->http, &(http_call_options_t){
						    .request = o->request,
						    .addr = o->addr,
						    .new_conn = o->new_connection,
						    .max_bytes = ANSWER_BYTES_MAX,
						    .connect_deadline = clock_now_ms() + CONNECT_MS,
						    .ctx = x,
						    .head = on_head,
						    .body = on_body,
						    .end = on_end,
					    });
	arm(x, o->first_event_ms);
	return x;
}

void front_attempt_cancel(front_attempt_t *x)
{
	http_call_cancel(x->call);
	fx_free(x);
}
