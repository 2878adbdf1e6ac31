/* An item of a lot: runs at one replica and reports what became of it. */
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include "base/log.h"
#include "front/front.h"

/** An item whose replica sends no event for this long, in ms, is run elsewhere: many times the
 * usual pause, as nobody waits for its next event. */
#define SILENT_MS 1500
/** The leader is told what an item has made on this period, in ms: no fault costs more work. */
#define TELL_MS 1000

struct front_item {
	front_t *f;
	link_item_run_t m; /* owned */
	buf_t text;
	unsigned events;
	size_t told_n; /* of the text, that the leader has */
	unsigned told_events;
	deadline_t tell_at;
	front_attempt_t *run;
	platform_reply_t reply;
	bool ended; /* waits for a leader to be told */
	link_item_end_t end;
	dispatch_outcome_t outcome;
	front_item_t *prev;
	front_item_t *next;
};

static const char *const end_names[] = {"done", "impossible", "failed", "back"};

static void fb_free(front_item_t *b)
{
	if (b->run)
		front_attempt_cancel(b->run);
	DL_DELETE(b->f->items, b);
	wire_free(XDR_PROC(link_item_run_t), &b->m);
	buf_free(&b->text);
	free(b);
}

static void tell(front_item_t *b)
{
	link_msg_t m = {.kind = LINK_ITEM_ENDED};

	m.link_msg_t_u.item_ended = (link_item_ended_t){
		.job = b->m.job,
		.item = b->m.item,
		.replica = b->m.replica,
		.end = b->end,
		.outcome = (link_outcome_t)b->outcome,
		.text = wire_bytes(str_buf(&b->text)),
		.events = b->events,
	};
	leader_link_send(b->f->leader, &m);
	fb_free(b);
}

static void finish(front_item_t *b, link_item_end_t end, dispatch_outcome_t outcome)
{
	b->ended = true;
	b->end = end;
	b->outcome = outcome;
	log_event(LOG_LEVEL_INFO, "item_end", LOG_STR("lot", wire_str(b->m.job)),
		  LOG_INT("item", b->m.item), LOG_STR("request", wire_str(b->m.id)),
		  LOG_STR("replica", wire_str(b->m.replica)), LOG_CSTR("end", end_names[end]),
		  LOG_CSTR("outcome", dispatch_outcome_name(outcome)),
		  LOG_INT("events", b->events));
	if (leader_link_is_up(b->f->leader))
		tell(b);
}

static void on_head(void *ctx, const http_head_t *h, const platform_reply_t *r)
{
	front_item_t *b = ctx;

	b->reply = *r;
	b->reply.id = (str_t){"", 0};
}

static front_attempt_event_t on_event(void *ctx, const sse_event_t *e)
{
	front_item_t *b = ctx;

	if (e->id < 0 || (unsigned long long)e->id <= b->events)
		return FRONT_EVENT_IGNORED;
	if ((unsigned long long)e->id != b->events + 1ULL)
		return FRONT_EVENT_INVALID;
	if (b->events > 0)
		buf_addc(&b->text, '\n');
	buf_add(&b->text, e->data);
	b->events++;
	return FRONT_EVENT_NEW;
}

static bool on_bytes(void *ctx, str_t piece)
{
	return true;
}

static void on_answer(front_item_t *b)
{
	const platform_reply_t *r = &b->reply;

	if (r->not_run)
		finish(b, LINK_ITEM_END_UNFINISHED,
		       r->other_replica ? DISPATCH_UNREACHABLE : DISPATCH_FULL);
	else if (!r->has_signature)
		finish(b, LINK_ITEM_END_UNFINISHED, DISPATCH_BROKEN);
	else if (r->status == 200 && r->event_stream)
		finish(b, LINK_ITEM_END_DONE, DISPATCH_OK);
	else if (r->status == 422)
		finish(b, LINK_ITEM_END_IMPOSSIBLE, DISPATCH_OK);
	else if (r->status == 500)
		finish(b, LINK_ITEM_END_FAILED, DISPATCH_CANCELLED);
	else
		finish(b, LINK_ITEM_END_UNFINISHED, DISPATCH_FAILED);
}

static void on_end(void *ctx, front_attempt_end_t how)
{
	front_item_t *b = ctx;

	b->run = NULL;
	if (how == FRONT_ATTEMPT_DONE)
		on_answer(b);
	else
		finish(b, LINK_ITEM_END_UNFINISHED,
		       how == FRONT_ATTEMPT_UNSENT   ? DISPATCH_UNREACHABLE
		       : how == FRONT_ATTEMPT_SILENT ? DISPATCH_SILENT
						     : DISPATCH_BROKEN);
}

static front_item_t *find(front_t *f, wire_bytes_t job, u_int item)
{
	front_item_t *b;

	DL_FOREACH (f->items, b) {
		if (b->m.item == item && str_eq(wire_str(b->m.job), wire_str(job)))
			return b;
	}
	return NULL;
}

void front_item_run(front_t *f, const link_item_run_t *m)
{
	front_item_t *b = find(f, m->job, m->item);
	AUTO_BUF req = {0};
	AUTO_FREE char *addr = str_dup(wire_str(m->addr));
	leaving_replica_t replica = {wire_str(m->replica), m->start_time};
	platform_send_t s;

	if (b)
		fb_free(b);
	b = mem_new(sizeof(*b));
	b->f = f;
	wire_dup(XDR_PROC(link_item_run_t), m, &b->m, sizeof(b->m));
	buf_add(&b->text, wire_str(m->text));
	b->events = b->told_events = m->events;
	b->told_n = b->text.n;
	b->tell_at = clock_now_ms() + TELL_MS;
	DL_APPEND(f->items, b);
	if (!addr[0] || f->exit_by) {
		finish(b, LINK_ITEM_END_UNFINISHED,
		       addr[0] ? DISPATCH_CANCELLED : DISPATCH_UNREACHABLE);
		return;
	}
	if (leaving_check(f->leaving_replicas, replica)) {
		finish(b, LINK_ITEM_END_UNFINISHED, DISPATCH_REPLICA_LEAVING);
		return;
	}
	s = (platform_send_t){wire_str(b->m.replica), m->deadline_ms, b->events};
	platform_item_encode(&req, &b->m, &s);
	b->run = front_attempt_start(&(front_attempt_options_t){
		.f = f,
		.request = str_buf(&req),
		.id = wire_str(b->m.id),
		.replica = replica,
		.addr = addr,
		.first_event_ms = SILENT_MS,
		.event_gap_ms = SILENT_MS,
		.ctx = b,
		.head = on_head,
		.event = on_event,
		.bytes = on_bytes,
		.end = on_end,
	});
}

static void stop(front_item_t *b)
{
	if (b->ended)
		return;
	front_attempt_cancel(b->run);
	b->run = NULL;
	finish(b, LINK_ITEM_END_UNFINISHED, DISPATCH_CANCELLED);
}

void front_item_stop(front_t *f, const link_item_ref_t *m)
{
	front_item_t *b = find(f, m->job, m->item);

	if (b)
		stop(b);
}

void front_item_stop_all(front_t *f)
{
	front_item_t *b;
	front_item_t *next;

	DL_FOREACH_SAFE(f->items, b, next)
	{
		stop(b);
	}
}

void front_item_report_progress(front_t *f, deadline_t now)
{
	front_item_t *b;

	if (!leader_link_is_up(f->leader))
		return;
	DL_FOREACH (f->items, b) {
		link_msg_t m = {.kind = LINK_ITEM_PROGRESS};

		if (b->ended || now < b->tell_at || b->events == b->told_events)
			continue;
		m.link_msg_t_u.progress = (link_item_progress_t){
			.job = b->m.job,
			.item = b->m.item,
			.from = b->told_events,
			.events = b->events,
			.text = wire_bytes((str_t){b->text.p + b->told_n, b->text.n - b->told_n}),
		};
		leader_link_send(f->leader, &m);
		b->told_n = b->text.n;
		b->told_events = b->events;
		b->tell_at = now + TELL_MS;
	}
}

void front_item_report_ended(front_t *f)
{
	front_item_t *b;
	front_item_t *next;

	DL_FOREACH_SAFE(f->items, b, next)
	{
		if (b->ended)
			tell(b);
	}
}

size_t front_item_runs(const front_t *f, link_run_t *out, size_t max)
{
	size_t n = 0;
	front_item_t *b;

	DL_FOREACH (f->items, b) {
		if (!b->ended && n < max)
			out[n++] = (link_run_t){
				.replica = b->m.replica, .job = b->m.job, .item = b->m.item};
	}
	return n;
}

size_t front_item_count(const front_t *f)
{
	size_t n = 0;
	front_item_t *b;

	DL_COUNT(f->items, b, n);
	return n;
}
