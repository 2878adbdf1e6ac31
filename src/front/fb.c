/* An item of a lot: runs at one replica and reports what became of it. */
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include "base/lg.h"
#include "front/fr.h"

/** An item whose replica sends no event for this long, in ms, is run elsewhere: many times the
 * usual pause, as nobody waits for its next event. */
#define SILENT_MS 1500
/** The leader is told what an item has made on this period, in ms: no fault costs more work. */
#define TELL_MS 1000

struct fb {
	fr_t *f;
	lw_item_run_t m; /* owned */
	buf_t text;
	unsigned events;
	size_t told_n; /* of the text, that the leader has */
	unsigned told_events;
	deadline_t tell_at;
	fx_t *run;
	pf_reply_t reply;
	bool ended; /* waits for a leader to be told */
	lw_item_end_t end;
	ds_outcome_t outcome;
	fb_t *prev;
	fb_t *next;
};

static const char *const end_names[] = {"done", "impossible", "failed", "back"};

static void fb_free(fb_t *b)
{
	if (b->run)
		fx_cancel(b->run);
	DL_DELETE(b->f->items, b);
	px_free(PX(lw_item_run_t), &b->m);
	buf_free(&b->text);
	free(b);
}

static void tell(fb_t *b)
{
	lw_msg_t m = {.kind = LW_ITEM_ENDED};

	m.lw_msg_t_u.item_ended = (lw_item_ended_t){
		.job = b->m.job,
		.item = b->m.item,
		.replica = b->m.replica,
		.end = b->end,
		.outcome = (lw_outcome_t)b->outcome,
		.text = px_bytes(str_buf(&b->text)),
		.events = b->events,
	};
	ll_send(b->f->leader, &m);
	fb_free(b);
}

static void finish(fb_t *b, lw_item_end_t end, ds_outcome_t outcome)
{
	b->ended = true;
	b->end = end;
	b->outcome = outcome;
	lg(LG_INFO, "item_end", LG_S("lot", px_str(b->m.job)), LG_I("item", b->m.item),
	   LG_S("request", px_str(b->m.id)), LG_S("replica", px_str(b->m.replica)),
	   LG_C("end", end_names[end]), LG_C("outcome", ds_outcome_name(outcome)),
	   LG_I("events", b->events));
	if (ll_is_up(b->f->leader))
		tell(b);
}

static void on_head(void *ctx, const hp_head_t *h, const pf_reply_t *r)
{
	fb_t *b = ctx;

	b->reply = *r;
	b->reply.id = (str_t){"", 0};
}

static fx_event_t on_event(void *ctx, const ss_event_t *e)
{
	fb_t *b = ctx;

	if (e->id < 0 || (unsigned long long)e->id <= b->events)
		return FX_KNOWN;
	if ((unsigned long long)e->id != b->events + 1ULL)
		return FX_BAD;
	if (b->events > 0)
		buf_addc(&b->text, '\n');
	buf_add(&b->text, e->data);
	b->events++;
	return FX_NEXT;
}

static bool on_bytes(void *ctx, str_t piece)
{
	return true;
}

static void on_answer(fb_t *b)
{
	const pf_reply_t *r = &b->reply;

	if (r->not_run)
		finish(b, LW_ITEM_BACK, r->other_replica ? DS_GONE : DS_FULL);
	else if (!r->certified)
		finish(b, LW_ITEM_BACK, DS_BROKEN);
	else if (r->status == 200 && r->events)
		finish(b, LW_ITEM_DONE, DS_OK);
	else if (r->status == 422)
		finish(b, LW_ITEM_IMPOSSIBLE, DS_OK);
	else if (r->status == 500)
		finish(b, LW_ITEM_FAILED, DS_LEFT);
	else
		finish(b, LW_ITEM_BACK, DS_FAILED);
}

static void on_end(void *ctx, fx_end_t how)
{
	fb_t *b = ctx;

	b->run = NULL;
	if (how == FX_DONE)
		on_answer(b);
	else
		finish(b, LW_ITEM_BACK,
		       how == FX_UNSENT	  ? DS_GONE
		       : how == FX_SILENT ? DS_SILENT
					  : DS_BROKEN);
}

static fb_t *find(fr_t *f, aw_bytes_t job, u_int item)
{
	fb_t *b;

	DL_FOREACH (f->items, b) {
		if (b->m.item == item && str_eq(px_str(b->m.job), px_str(job)))
			return b;
	}
	return NULL;
}

void fb_run(fr_t *f, const lw_item_run_t *m)
{
	fb_t *b = find(f, m->job, m->item);
	AUTO_BUF req = {0};
	AUTO_FREE char *addr = str_dup(px_str(m->addr));
	lv_replica_t replica = {px_str(m->replica), m->born};
	pf_send_t s;

	if (b)
		fb_free(b);
	b = mem_new(sizeof(*b));
	b->f = f;
	px_dup(PX(lw_item_run_t), m, &b->m, sizeof(b->m));
	buf_add(&b->text, px_str(m->text));
	b->events = b->told_events = m->events;
	b->told_n = b->text.n;
	b->tell_at = clk_now_ms() + TELL_MS;
	DL_APPEND(f->items, b);
	if (!addr[0] || f->exit_by) {
		finish(b, LW_ITEM_BACK, addr[0] ? DS_LEFT : DS_GONE);
		return;
	}
	if (lv_leaves(f->leavers, replica)) {
		finish(b, LW_ITEM_BACK, DS_LEAVES);
		return;
	}
	s = (pf_send_t){px_str(b->m.replica), m->deadline_ms, b->events};
	pf_item_encode(&req, &b->m, &s);
	b->run = fx_start(&(fx_options_t){
		.f = f,
		.request = str_buf(&req),
		.id = px_str(b->m.id),
		.replica = replica,
		.addr = addr,
		.first_ms = SILENT_MS,
		.pause_ms = SILENT_MS,
		.ctx = b,
		.head = on_head,
		.event = on_event,
		.bytes = on_bytes,
		.end = on_end,
	});
}

static void stop(fb_t *b)
{
	if (b->ended)
		return;
	fx_cancel(b->run);
	b->run = NULL;
	finish(b, LW_ITEM_BACK, DS_LEFT);
}

void fb_stop(fr_t *f, const lw_item_ref_t *m)
{
	fb_t *b = find(f, m->job, m->item);

	if (b)
		stop(b);
}

void fb_stop_all(fr_t *f)
{
	fb_t *b;
	fb_t *next;

	DL_FOREACH_SAFE(f->items, b, next)
	{
		stop(b);
	}
}

void fb_tick(fr_t *f, deadline_t now)
{
	fb_t *b;

	if (!ll_is_up(f->leader))
		return;
	DL_FOREACH (f->items, b) {
		lw_msg_t m = {.kind = LW_ITEM_PROGRESS};

		if (b->ended || now < b->tell_at || b->events == b->told_events)
			continue;
		m.lw_msg_t_u.progress = (lw_item_progress_t){
			.job = b->m.job,
			.item = b->m.item,
			.from = b->told_events,
			.events = b->events,
			.text = px_bytes((str_t){b->text.p + b->told_n, b->text.n - b->told_n}),
		};
		ll_send(f->leader, &m);
		b->told_n = b->text.n;
		b->told_events = b->events;
		b->tell_at = now + TELL_MS;
	}
}

void fb_up(fr_t *f)
{
	fb_t *b;
	fb_t *next;

	DL_FOREACH_SAFE(f->items, b, next)
	{
		if (b->ended)
			tell(b);
	}
}

size_t fb_runs(const fr_t *f, lw_run_t *out, size_t max)
{
	size_t n = 0;
	fb_t *b;

	DL_FOREACH (f->items, b) {
		if (!b->ended && n < max)
			out[n++] = (lw_run_t){
				.replica = b->m.replica, .job = b->m.job, .item = b->m.item};
	}
	return n;
}

size_t fb_count(const fr_t *f)
{
	size_t n = 0;
	fb_t *b;

	DL_COUNT(f->items, b, n);
	return n;
}
