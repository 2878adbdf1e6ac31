/* Runs of batch items. Each run uses one replica; its progress and end are reported to the leader,
 * which decides about another run. */
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include "base/log.h"
#include "base/metric.h"
#include "front/front.h"
#include "policy/item_patience.h"
#include "state/lots.h"

/** Limit of the text of an item, in bytes: per token that its output may have, but not below
 * TEXT_BYTES_MIN, as callers may state too few, nor above TEXT_BYTES_MAX. */
#define TOKEN_BYTES_MAX 64
#define TEXT_BYTES_MIN	(64U << 10)
#define TEXT_BYTES_MAX	(1U << 20)
/** Limit of the texts of all items at this entry: an eighth of the memory of its VM. */
#define TEXTS_BYTES_MAX (32U << 20)
/** Period of progress reports: a fault usually loses at most the work of one period. */
#define REPORT_MS 1000

struct front_item {
	front_t *f;
	link_item_run_t spec; /* owned */
	buf_t text; /* events so far, including those of earlier runs */
	unsigned events;
	size_t text_max; /* bytes */
	size_t reported_bytes; /* bytes of text that the leader has already */
	unsigned reported_events; /* number of events that the leader has already */
	deadline_t next_report;
	deadline_t given_up_at; /* by the leader */
	front_attempt_t *attempt;
	platform_reply_t reply; /* decoded head of the answer, without the id */
	bool ended; /* ended, but not reported to a leader yet */
	link_item_end_t end;
	dispatch_outcome_t outcome;
	front_item_t *prev;
	front_item_t *next;
};

/* Names of the ends in log lines. */
static const char *const end_names[] = {[LINK_ITEM_END_DONE] = "done",
					[LINK_ITEM_END_IMPOSSIBLE] = "impossible",
					[LINK_ITEM_END_FAILED] = "failed",
					[LINK_ITEM_END_UNFINISHED] = "back"};

static void item_free(front_item_t *it)
{
	if (it->attempt)
		front_attempt_cancel(it->attempt);
	DL_DELETE(it->f->items, it);
	it->f->item_text_bytes -= it->text.n;
	wire_free(XDR_PROC(link_item_run_t), &it->spec);
	buf_free(&it->text);
	free(it);
}

static void count_failure(const front_item_t *it)
{
	str_t lot = wire_str(it->spec.job);

	if (it->end == LINK_ITEM_END_FAILED)
		item_failures_add(it->f->item_failures, lot, it->spec.item, it->given_up_at);
	else if (it->end != LINK_ITEM_END_UNFINISHED)
		item_failures_forget(it->f->item_failures, lot, it->spec.item);
}

static void report_end(front_item_t *it)
{
	link_msg_t m = {.kind = LINK_ITEM_ENDED};

	count_failure(it);

	m.link_msg_t_u.item_ended = (link_item_ended_t){
		.job = it->spec.job,
		.item = it->spec.item,
		.replica = it->spec.replica,
		.end = it->end,
		.outcome = (link_outcome_t)it->outcome,
		.text = wire_bytes(str_buf(&it->text)),
		.events = it->events,
	};
	leader_link_send(it->f->leader, &m);
	item_free(it);
}

/* Records how the run ended; reports it now or, if there is no link or it may be one that the
 * leader has dropped, when the link has been read or a leader connects. */
static void end_item(front_item_t *it, link_item_end_t end, dispatch_outcome_t outcome)
{
	it->ended = true;
	it->end = end;
	it->outcome = outcome;
	log_event(LOG_LEVEL_INFO, "item_end", LOG_STR("lot", wire_str(it->spec.job)),
		  LOG_INT("item", it->spec.item), LOG_STR("request", wire_str(it->spec.id)),
		  LOG_STR("replica", wire_str(it->spec.replica)), LOG_CSTR("end", end_names[end]),
		  LOG_CSTR("outcome", dispatch_outcome_name(outcome)),
		  LOG_INT("events", it->events));
	if (leader_link_is_up(it->f->leader) && !front_pause_is_reading(it->f))
		report_end(it);
}

void front_item_report_ends(front_t *f)
{
	front_item_t *it;
	front_item_t *next;

	DL_FOREACH_SAFE(f->items, it, next)
	{
		if (it->ended)
			report_end(it);
	}
}

static void on_head(void *ctx, const http_head_t *h, const platform_reply_t *r)
{
	front_item_t *it = ctx;

	it->reply = *r;
	it->reply.id = (str_t){"", 0};
}

/* Adds to the text of an item; false, with a log line, if it gets too long. */
static bool add_text(front_item_t *it, str_t data)
{
	size_t n = data.n + (it->events > 0);

	if (it->text.n + n > it->text_max || it->f->item_text_bytes + n > TEXTS_BYTES_MAX) {
		log_event(LOG_LEVEL_WARN, "item_text_too_long",
			  LOG_STR("request", wire_str(it->spec.id)),
			  LOG_STR("replica", wire_str(it->spec.replica)),
			  LOG_INT("events", it->events), LOG_INT("bytes", it->text.n + n),
			  LOG_INT("most", it->text_max),
			  LOG_INT("bytes_of_all", it->f->item_text_bytes + n),
			  LOG_INT("most_of_all", TEXTS_BYTES_MAX));
		METRIC_INC("auburn_answers_too_long_total");
		return false;
	}
	if (it->events > 0)
		buf_addc(&it->text, '\n');
	buf_add(&it->text, data);
	it->f->item_text_bytes += n;
	return true;
}

/* Drops the text of this run, unless the leader has a part of it: what comes from a replica that
 * sends without end is no output. */
static void drop_text(front_item_t *it)
{
	if (it->reported_events != it->spec.events)
		return;
	it->f->item_text_bytes -= it->text.n - it->spec.text.wire_bytes_t_len;
	it->text.n = it->spec.text.wire_bytes_t_len;
	it->events = it->spec.events;
}

static front_attempt_event_t on_event(void *ctx, const sse_event_t *e)
{
	front_item_t *it = ctx;

	if (e->id < 0 || (unsigned long long)e->id <= it->events)
		return FRONT_EVENT_NO_PROGRESS;
	if ((unsigned long long)e->id != it->events + 1ULL)
		return FRONT_EVENT_INVALID;
	if (!add_text(it, e->data)) {
		drop_text(it);
		return FRONT_EVENT_INVALID;
	}
	it->events++;
	return FRONT_EVENT_NEW;
}

/* Ignores bytes that do not belong to an event. */
static bool on_bytes(void *ctx, str_t piece)
{
	return true;
}

/* The answer is complete: its head decides how the run ends. */
static void handle_answer(front_item_t *it)
{
	const platform_reply_t *r = &it->reply;

	if (r->not_run)
		end_item(it, LINK_ITEM_END_UNFINISHED,
			 r->other_replica ? DISPATCH_UNREACHABLE : DISPATCH_FULL);
	else if (!r->has_signature)
		end_item(it, LINK_ITEM_END_UNFINISHED, DISPATCH_BROKEN);
	else if (r->status == 200 && r->event_stream)
		end_item(it, LINK_ITEM_END_DONE, DISPATCH_OK);
	else if (r->status == 422)
		end_item(it, LINK_ITEM_END_IMPOSSIBLE, DISPATCH_OK);
	else if (r->status == 500)
		/* The item failed; DISPATCH_CANCELLED does not count against the replica. */
		end_item(it, LINK_ITEM_END_FAILED, DISPATCH_CANCELLED);
	else
		end_item(it, LINK_ITEM_END_UNFINISHED, DISPATCH_FAILED);
}

static void on_end(void *ctx, front_attempt_end_t how)
{
	front_item_t *it = ctx;

	it->attempt = NULL;
	if (how == FRONT_ATTEMPT_DONE)
		handle_answer(it);
	else
		end_item(it, LINK_ITEM_END_UNFINISHED,
			 how == FRONT_ATTEMPT_UNSENT   ? DISPATCH_UNREACHABLE
			 : how == FRONT_ATTEMPT_SILENT ? DISPATCH_SILENT
						       : DISPATCH_BROKEN);
}

static front_item_t *find_item(front_t *f, wire_bytes_t job, u_int item)
{
	front_item_t *it;

	DL_FOREACH (f->items, it) {
		if (it->spec.item == item && str_eq(wire_str(it->spec.job), wire_str(job)))
			return it;
	}
	return NULL;
}

void front_item_give_back(front_t *f, const link_item_run_t *m, const char *reason)
{
	link_msg_t end = {.kind = LINK_ITEM_ENDED};
	front_item_t *it = find_item(f, m->job, m->item);

	/* The leader expects the end of an earlier run first. */
	if (it && it->ended)
		report_end(it);
	end.link_msg_t_u.item_ended = (link_item_ended_t){
		.job = m->job,
		.item = m->item,
		.replica = m->replica,
		.end = LINK_ITEM_END_UNFINISHED,
		.outcome = LINK_OUTCOME_CANCELLED,
		.text = m->text,
		.events = m->events,
	};
	log_event(LOG_LEVEL_INFO, "item_given_back", LOG_STR("lot", wire_str(m->job)),
		  LOG_INT("item", m->item), LOG_STR("request", wire_str(m->id)),
		  LOG_STR("replica", wire_str(m->replica)), LOG_INT("events", m->events),
		  LOG_CSTR("reason", reason));
	leader_link_send(f->leader, &end);
}

static size_t text_max(str_t headers)
{
	int64_t tokens = platform_item_tokens_max(headers);

	if (tokens <= 0 || tokens >= TEXT_BYTES_MAX / TOKEN_BYTES_MAX)
		return TEXT_BYTES_MAX;
	return tokens * TOKEN_BYTES_MAX < TEXT_BYTES_MIN ? TEXT_BYTES_MIN
							 : (size_t)tokens * TOKEN_BYTES_MAX;
}

void front_item_set_patience(front_t *f, const link_item_patience_t *m)
{
	wire_free(XDR_PROC(link_item_patience_t), &f->patience);
	wire_dup(XDR_PROC(link_item_patience_t), m, &f->patience, sizeof(f->patience));
}

/* Longest silence in this run, after which the leader starts another one; what the leader told
 * holds for one run. */
static int64_t take_patience(front_t *f, const link_item_run_t *m)
{
	const link_item_patience_t *p = &f->patience;
	bool told = p->silent_ms > 0 && p->item == m->item &&
		    str_eq(wire_str(p->job), wire_str(m->job));
	int64_t ms = told ? p->silent_ms : item_patience_ms(0);

	wire_free(XDR_PROC(link_item_patience_t), &f->patience);
	f->patience = (link_item_patience_t){0};
	return ms;
}

void front_item_run(front_t *f, const link_item_run_t *m)
{
	front_item_t *it = find_item(f, m->job, m->item);
	AUTO_BUF req = {0};
	AUTO_FREE char *addr = str_dup(wire_str(m->addr));
	replica_ref_t replica = {wire_str(m->replica), m->start_time};
	str_t owner = lot_id_owner(wire_str(m->job));
	int64_t silent_ms = take_patience(f, m);
	platform_send_t s;
	prompt_parts_t prompt;

	/* Whether the item's own headers may name a customer is not known yet. */
	if (!f->routes) {
		front_item_give_back(f, m, "no config yet");
		return;
	}
	if (it)
		item_free(it);
	it = mem_new(sizeof(*it));
	it->f = f;
	wire_dup(XDR_PROC(link_item_run_t), m, &it->spec, sizeof(it->spec));
	buf_add(&it->text, wire_str(m->text));
	f->item_text_bytes += it->text.n;
	it->text_max = text_max(wire_str(m->headers));
	it->events = it->reported_events = m->events;
	it->reported_bytes = it->text.n;
	it->next_report = clock_now_ms() + REPORT_MS;
	it->given_up_at = clock_now_ms() + m->deadline_ms;
	DL_APPEND(f->items, it);
	if (!addr[0] || front_is_stopping(f)) {
		end_item(it, LINK_ITEM_END_UNFINISHED,
			 addr[0] ? DISPATCH_CANCELLED : DISPATCH_UNREACHABLE);
		return;
	}
	if (front_replica_leaves(f, replica)) {
		end_item(it, LINK_ITEM_END_UNFINISHED, DISPATCH_REPLICA_LEAVING);
		return;
	}
	s = (platform_send_t){
		.replica = wire_str(it->spec.replica),
		.caller_timeout_ms = m->deadline_ms,
		.last_event_id = it->events,
		/* The config that the lot was opened under may be newer than the one here. */
		.identified = owner.n > 0 || f->routes->customers,
		.customer = owner,
	};
	platform_item_prompt_decode(wire_str(it->spec.headers), &prompt);
	platform_item_encode(&req, &it->spec, &s);
	it->attempt = front_attempt_start(&(front_attempt_options_t){
		.f = f,
		.request = str_buf(&req),
		.id = wire_str(it->spec.id),
		.replica = replica,
		.prompt = prompt,
		.addr = addr,
		.first_event_ms = silent_ms,
		.event_gap_ms = silent_ms,
		.ctx = it,
		.head = on_head,
		.event = on_event,
		.bytes = on_bytes,
		.end = on_end,
	});
}

static void stop_item(front_item_t *it)
{
	if (it->ended)
		return;
	front_attempt_cancel(it->attempt);
	it->attempt = NULL;
	end_item(it, LINK_ITEM_END_UNFINISHED, DISPATCH_CANCELLED);
}

void front_item_stop(front_t *f, const link_item_ref_t *m)
{
	front_item_t *it = find_item(f, m->job, m->item);

	if (it)
		stop_item(it);
}

void front_item_stop_all(front_t *f)
{
	front_item_t *it;
	front_item_t *next;

	DL_FOREACH_SAFE(f->items, it, next)
	{
		stop_item(it);
	}
}

void front_item_report_progress(front_t *f, deadline_t now)
{
	front_item_t *it;

	if (!leader_link_is_up(f->leader))
		return;
	DL_FOREACH (f->items, it) {
		link_msg_t m = {.kind = LINK_ITEM_PROGRESS};

		if (it->ended || now < it->next_report || it->events == it->reported_events)
			continue;
		m.link_msg_t_u.progress = (link_item_progress_t){
			.job = it->spec.job,
			.item = it->spec.item,
			.from = it->reported_events,
			.events = it->events,
			.text = wire_bytes((str_t){it->text.p + it->reported_bytes,
						   it->text.n - it->reported_bytes}),
		};
		leader_link_send(f->leader, &m);
		it->reported_bytes = it->text.n;
		it->reported_events = it->events;
		it->next_report = now + REPORT_MS;
	}
}

void front_item_start(front_t *f)
{
	f->item_failures = item_failures_new();
}

void front_item_report_failures(front_t *f)
{
	static item_failures_entry_t list[ITEM_FAILURES_MAX];
	static link_item_failures_t out[ITEM_FAILURES_MAX];
	size_t n = item_failures_list(f->item_failures, clock_now_ms(), list, ITEM_FAILURES_MAX);
	link_msg_t m = {.kind = LINK_ITEM_FAILURES};

	if (n == 0)
		return;
	for (size_t i = 0; i < n; i++)
		out[i] = (link_item_failures_t){wire_bytes(list[i].lot), list[i].item,
						list[i].failures};
	m.link_msg_t_u.item_failures.items.items_len = (u_int)n;
	m.link_msg_t_u.item_failures.items.items_val = out;
	leader_link_send(f->leader, &m);
	log_event(LOG_LEVEL_INFO, "item_failures_reported", LOG_INT("items", n));
}

void front_item_leader_up(front_t *f)
{
	front_item_t *it;

	item_failures_new_link(f->item_failures);
	DL_FOREACH (f->items, it) {
		/* What an earlier leader was told may not have reached this one. */
		it->reported_bytes = 0;
		it->reported_events = 0;
	}
	front_item_report_ends(f);
}

/* With the ended ones: the leader must not take their ends for those of runs that it starts here.
 */
size_t front_item_runs(const front_t *f, link_run_t *out, size_t max)
{
	size_t n = 0;
	front_item_t *it;

	DL_FOREACH (f->items, it) {
		if (n < max)
			out[n++] = (link_run_t){.replica = it->spec.replica,
						.job = it->spec.job,
						.item = it->spec.item};
	}
	return n;
}

size_t front_item_count(const front_t *f)
{
	size_t n = 0;
	front_item_t *it;

	DL_COUNT(f->items, it, n);
	return n;
}
