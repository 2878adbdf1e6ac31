#include <stdlib.h>
#include "base/lg.h"
#include "base/mx.h"
#include "front/fr.h"

/** A replica that takes no connection within this, in ms, isn't reached: handshakes take a few. */
#define CONNECT_MS 250
/** Bytes of one answer, with all that comes before it: several times the largest body that callers
 * may send. */
#define ANSWER_BYTES_MAX (16U << 20)
/** Events in a row that don't get a stream on, before it counts as broken: more than the longest
 * streams have, which a replica may begin again from the start. */
#define KNOWN_EVENTS_MAX 4096

struct fx {
	fx_options_t o;
	hu_call_t *call;
	ss_t sse;
	tm_t silence;
	bool events;
	unsigned known_events; /* since the last that got the stream on */
	bool bad;
	char id[64];
	char replica[64];
};

static void fx_free(fx_t *x)
{
	tm_stop(&x->silence);
	ss_free(&x->sse);
	free(x);
}

static void end(fx_t *x, fx_end_t how)
{
	x->o.end(x->o.ctx, how);
	fx_free(x);
}

static void arm(fx_t *x, int64_t ms)
{
	if (ms > 0)
		tm_set(&x->silence, ms);
	else
		tm_stop(&x->silence);
}

static void on_silence(void *ctx)
{
	fx_t *x = ctx;

	hu_cancel(x->call);
	end(x, x->bad ? FX_BROKEN : FX_SILENT);
}

/* A run that has gone wrong is ended from the loop, never from inside the parser. */
static void break_off(fx_t *x)
{
	x->bad = true;
	tm_end_now(&x->silence);
}

static bool on_head(void *ctx, const hp_head_t *h)
{
	fx_t *x = ctx;
	pf_reply_t r;

	pf_reply_decode(h, &r);
	if (r.id.n > 0 && !str_eq(r.id, str_c(x->id)))
		return false;
	/* On a connection that was in use before it may be a late copy of an earlier answer. */
	if (r.id.n == 0 && x->id[0] && hu_on_kept(x->call)) {
		lg(LG_WARN, "answer_without_id", LG_C("request", x->id),
		   LG_C("replica", x->replica), LG_I("status", r.status));
		break_off(x);
		return false;
	}
	if (r.leaving && !r.other_replica)
		fr_leaver(x->o.f, x->o.replica);
	x->events = r.events && r.status == 200 && r.certified;
	x->o.head(x->o.ctx, h, &r);
	return true;
}

static bool on_event(void *ctx, const ss_event_t *e)
{
	fx_t *x = ctx;
	fx_event_t is = x->o.event(x->o.ctx, e);

	/* Only what gets the stream on puts its end for silence off. */
	if (is == FX_NEXT)
		arm(x, x->o.pause_ms);
	x->known_events = is == FX_NEXT ? 0 : x->known_events + 1;
	return is != FX_BAD && x->known_events <= KNOWN_EVENTS_MAX;
}

static void on_body(void *ctx, str_t piece)
{
	fx_t *x = ctx;
	bool sound;

	if (x->bad)
		return;
	if (x->events)
		sound = ss_feed(&x->sse, piece, on_event, x);
	else
		sound = x->o.bytes(x->o.ctx, piece);
	if (!sound)
		break_off(x);
}

static void on_end(void *ctx, hu_end_t how)
{
	fx_t *x = ctx;

	tm_stop(&x->silence);
	if (x->bad) {
		end(x, FX_BROKEN);
		return;
	}
	if (how == HU_TOO_LONG) {
		lg(LG_WARN, "answer_too_long", LG_C("request", x->id), LG_C("replica", x->replica),
		   LG_I("most", ANSWER_BYTES_MAX));
		MX_COUNT("auburn_answers_too_long_total");
	}
	if (how == HU_DONE && x->sse.pending.n > 0 &&
	    !x->o.bytes(x->o.ctx, str_buf(&x->sse.pending)))
		how = HU_MALFORMED;
	if (how == HU_DONE)
		end(x, FX_DONE);
	else
		end(x, how == HU_UNSENT ? FX_UNSENT : FX_BROKEN);
}

fx_t *fx_start(const fx_options_t *o)
{
	fx_t *x = mem_new(sizeof(*x));

	x->o = *o;
	snprintf(x->id, sizeof(x->id), "%.*s", STR_ARG(o->id));
	snprintf(x->replica, sizeof(x->replica), "%.*s", STR_ARG(o->replica.id));
	x->o.replica.id = str_c(x->replica);
	tm_init(&x->silence, o->f->loop, on_silence, x);
	x->call = hu_start(o->f->http, &(hu_options_t){
					       .request = o->request,
					       .addr = o->addr,
					       .fresh = o->fresh,
					       .max_bytes = ANSWER_BYTES_MAX,
					       .connect_by = clk_now_ms() + CONNECT_MS,
					       .ctx = x,
					       .head = on_head,
					       .body = on_body,
					       .end = on_end,
				       });
	arm(x, o->first_ms);
	return x;
}

void fx_cancel(fx_t *x)
{
	hu_cancel(x->call);
	fx_free(x);
}
