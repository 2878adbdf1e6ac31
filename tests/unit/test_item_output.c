/* Tests of the output of an item (state/item_output.h) over several runs, by cases and by random
 * plays against a model of entries, links, commits and leaders. Guard against a text in which an
 * event is missing or stands twice, or which goes on after event n with a run that was not asked
 * to go on there. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include "base/prng.h"
#include "state/item_output.h"
#include "state/lots.h"
#include "suite_kit.h"

#define SEEDS	   10000
#define STEPS	   1500
#define ENTRIES	   3
#define EVENTS_MAX 14

/* ---- texts whose events name their run ---- */

static void add_event(buf_t *text, uint32_t *events, int serial, uint32_t base)
{
	++*events;
	buf_addf(text, "%s%02u.%03d.%02u", *events > 1 ? "\n" : "", *events, serial, base);
}

/* Returns the number of the first event that is missing, stands twice or doesn't continue the one
 * before it; 0 if there is none. */
static uint32_t find_disorder(str_t text, uint32_t events)
{
	AUTO_FREE char *copy = str_dup(text);
	const char *p = copy;
	int last = -1;

	for (uint32_t want = 1; want <= events; want++) {
		unsigned event;
		unsigned base;
		int serial;
		int n = 0;

		if (sscanf(p, "%u.%d.%u%n", &event, &serial, &base, &n) != 3 || event != want ||
		    (serial != last && base != want - 1))
			return want;
		last = serial;
		p += n;
		if (*p == '\n')
			p++;
	}
	return *p ? events + 1 : 0;
}

/* ---- cases ---- */

typedef struct {
	buf_t text;
	uint32_t events;
	int serial;
	uint32_t base;
} text_t;

static text_t text_after(const text_t *given, int serial)
{
	text_t t = {.events = given ? given->events : 0, .serial = serial};

	t.base = t.events;
	if (given)
		buf_add(&t.text, str_buf(&given->text));
	return t;
}

static void go_on(text_t *t, unsigned events)
{
	while (events--)
		add_event(&t->text, &t->events, t->serial, t->base);
}

static item_report_t report(item_output_t *o, uint64_t entry, text_t *t, uint32_t from,
			    size_t offset)
{
	return item_output_progress(o, entry, from, t->events,
				    (str_t){t->text.p + offset, t->text.n - offset});
}

START_TEST(started_run_continues_the_output)
{
	item_output_t o = {0};
	text_t t = text_after(NULL, 1);
	size_t n;

	item_output_start(&o, 7);
	go_on(&t, 2);
	ck_assert_int_eq(report(&o, 7, &t, 0, 0), ITEM_REPORT_TAKEN);
	n = t.text.n;
	go_on(&t, 3);
	ck_assert_int_eq(report(&o, 8, &t, 2, n), ITEM_REPORT_IGNORED);
	ck_assert_int_eq(report(&o, 7, &t, 3, n), ITEM_REPORT_IGNORED);
	ck_assert_int_eq(report(&o, 7, &t, 2, n), ITEM_REPORT_TAKEN);
	ck_assert(str_eq(str_buf(&o.text), str_buf(&t.text)));
	ck_assert_uint_eq(o.events, 5);
	ck_assert(item_output_end(&o, 7));
	go_on(&t, 1);
	ck_assert_int_eq(item_output_take(&o, t.events, str_buf(&t.text)), ITEM_REPORT_TAKEN);
	ck_assert(!item_output_end(&o, 7));
	ck_assert_uint_eq(o.events, 6);
	item_output_free(&o);
	buf_free(&t.text);
}
END_TEST

START_TEST(overtaken_run_is_not_joined_to_the_text_of_the_other)
{
	item_output_t o = {0};
	text_t base = text_after(NULL, 1);
	text_t slow;
	text_t fast;
	AUTO_BUF before = {0};
	size_t n;

	go_on(&base, 2);
	slow = text_after(&base, 2);
	fast = text_after(&base, 3);
	go_on(&slow, 2);
	go_on(&fast, 2);
	n = slow.text.n;
	item_output_init(&o, str_buf(&fast.text), fast.events);
	buf_add(&before, str_buf(&o.text));
	item_output_adopt(&o, 7);
	go_on(&slow, 3);
	ck_assert_int_eq(report(&o, 7, &slow, 4, n), ITEM_REPORT_IGNORED);
	ck_assert_int_eq(report(&o, 7, &slow, 0, 0), ITEM_REPORT_DIFFERS);
	n = slow.text.n;
	go_on(&slow, 1);
	ck_assert_int_eq(report(&o, 7, &slow, 7, n), ITEM_REPORT_IGNORED);
	ck_assert_int_eq(item_output_take(&o, slow.events, str_buf(&slow.text)),
			 ITEM_REPORT_DIFFERS);
	ck_assert(str_eq(str_buf(&o.text), str_buf(&before)));
	item_output_free(&o);
	buf_free(&base.text);
	buf_free(&slow.text);
	buf_free(&fast.text);
}
END_TEST

START_TEST(new_leader_takes_the_whole_text_of_an_adopted_run)
{
	item_output_t o = {0};
	text_t t = text_after(NULL, 1);
	size_t n;

	go_on(&t, 2);
	item_output_init(&o, str_buf(&t.text), t.events);
	go_on(&t, 4);
	n = t.text.n;
	item_output_adopt(&o, 7);
	ck_assert_int_eq(report(&o, 7, &t, 0, 0), ITEM_REPORT_TAKEN);
	go_on(&t, 1);
	ck_assert_int_eq(report(&o, 7, &t, 6, n), ITEM_REPORT_TAKEN);
	ck_assert(str_eq(str_buf(&o.text), str_buf(&t.text)));
	item_output_free(&o);
	buf_free(&t.text);
}
END_TEST

START_TEST(reports_before_the_end_of_a_refused_run_are_ignored)
{
	item_output_t o = {0};
	text_t refused = text_after(NULL, 1);
	text_t t = text_after(NULL, 2);

	go_on(&refused, 3);
	go_on(&t, 1);
	item_output_start(&o, 8);
	item_output_refuse(&o, 7);
	item_output_refuse(&o, 7);
	ck_assert(item_output_end(&o, 8));
	item_output_start(&o, 7);
	ck_assert_int_eq(report(&o, 7, &refused, 0, 0), ITEM_REPORT_IGNORED);
	ck_assert(!item_output_end(&o, 7));
	ck_assert_int_eq(report(&o, 7, &t, 0, 0), ITEM_REPORT_TAKEN);
	ck_assert(item_output_end(&o, 7));
	item_output_free(&o);
	buf_free(&refused.text);
	buf_free(&t.text);
}
END_TEST

START_TEST(text_must_begin_with_whole_events)
{
	item_output_t o = {0};
	str_t rest;

	ck_assert_int_eq(item_output_take(&o, 0, STR("")), ITEM_REPORT_TAKEN);
	ck_assert_int_eq(item_output_take(&o, 2, STR("a\nb")), ITEM_REPORT_TAKEN);
	ck_assert_int_eq(item_output_take(&o, 3, STR("a\nbc\nd")), ITEM_REPORT_DIFFERS);
	ck_assert_int_eq(item_output_take(&o, 3, STR("a\nb")), ITEM_REPORT_DIFFERS);
	ck_assert_int_eq(item_output_take(&o, 2, STR("a\nbc")), ITEM_REPORT_DIFFERS);
	ck_assert_int_eq(item_output_take(&o, 1, STR("a\nb")), ITEM_REPORT_DIFFERS);
	ck_assert_int_eq(item_output_take(&o, 1, STR("a")), ITEM_REPORT_DIFFERS);
	ck_assert_int_eq(item_output_take(&o, 3, STR("x\nb\nc")), ITEM_REPORT_DIFFERS);
	ck_assert_int_eq(item_output_take(&o, 2, STR("a\nb")), ITEM_REPORT_TAKEN);
	ck_assert_int_eq(item_output_take(&o, 3, STR("a\nb\n")), ITEM_REPORT_TAKEN);
	ck_assert(item_output_unsaved(&o, STR("a"), 1, &rest));
	ck_assert(str_eq(rest, STR("\nb\n")));
	ck_assert(item_output_unsaved(&o, STR(""), 0, &rest));
	ck_assert(str_eq(rest, STR("a\nb\n")));
	ck_assert(item_output_unsaved(&o, STR("a\nb\n"), 3, &rest));
	ck_assert_uint_eq(rest.n, 0);
	ck_assert(!item_output_unsaved(&o, STR("b"), 1, &rest));
	ck_assert(!item_output_unsaved(&o, STR("a\nb\n\nc"), 4, &rest));
	item_output_free(&o);
}
END_TEST

/* Guards against a text that isn't UTF-8 and becomes a part of all later runs of its item. */
START_TEST(damaged_text_does_not_become_part_of_the_output)
{
	item_output_t o = {0};

	item_output_start(&o, 1);
	ck_assert_int_eq(item_output_progress(&o, 1, 0, 1, STR("sound")), ITEM_REPORT_TAKEN);
	ck_assert_int_eq(item_output_progress(&o, 1, 1, 2, STR("\na\xff")), ITEM_REPORT_DAMAGED);
	ck_assert_int_eq(item_output_progress(&o, 1, 2, 3, STR("\nc")), ITEM_REPORT_IGNORED);
	ck_assert_int_eq(item_output_take(&o, 3, STR("sound\na\xff\nc")), ITEM_REPORT_DAMAGED);
	ck_assert(str_eq(str_buf(&o.text), STR("sound")));
	ck_assert_uint_eq(o.events, 1);
	item_output_free(&o);
}
END_TEST

START_TEST(character_split_between_two_events_is_no_damage)
{
	item_output_t o = {0};

	item_output_start(&o, 1);
	ck_assert_int_eq(item_output_progress(&o, 1, 0, 1, STR("a\xe2\x82")), ITEM_REPORT_TAKEN);
	ck_assert_int_eq(item_output_progress(&o, 1, 1, 2, STR("\n\xac")), ITEM_REPORT_TAKEN);
	ck_assert(item_output_accept(&o, STR("a\xe2\x82\n\xac\nb")));
	ck_assert(!item_output_accept(&o, STR("a\xe2\x82\nb")));
	ck_assert(!item_output_accept(&o, STR("a\xe2\x82")));
	item_output_free(&o);
}
END_TEST

/* Guards against an item that runs without end. */
START_TEST(text_that_is_never_utf8_is_accepted_in_the_end)
{
	item_output_t o = {0};

	item_output_init(&o, STR("\xff from an older build"), 1);
	for (int i = 0; i < ITEM_OUTPUT_REJECTED_MAX; i++)
		ck_assert(!item_output_accept(&o, STR("\xff")));
	ck_assert(item_output_accept(&o, STR("\xff")));
	ck_assert_int_eq(item_output_take(&o, 2, STR("\xff from an older build\nb")),
			 ITEM_REPORT_TAKEN);
	item_output_free(&o);
}
END_TEST

/* ---- random plays ---- */

/* Faults that the plays must find. */
enum {
	PROGRESS_BY_NUMBER = 1, /* numbers of events tell whether a report fits */
	END_BY_NUMBER = 2, /* so they do for the text of an ended run, and for what is committed */
	ENDED_UNLISTED = 4, /* a hello leaves out the run whose end is still to be reported */
	NO_REFUSALS = 8 /* the end of a refused run isn't told from that of the next one */
};

typedef enum { HELLO, PROGRESS, ENDED, RUN, STOP } kind_t;

typedef struct message {
	kind_t kind;
	bool has_run; /* HELLO */
	bool done; /* ENDED: complete */
	uint32_t from;
	uint32_t events;
	buf_t text;
	struct message *prev;
	struct message *next;
} message_t;

typedef struct {
	uint64_t link; /* 0: down */
	bool registered; /* the leader has its hello */
	message_t *out; /* to the leader */
	message_t *in;
	bool runs;
	bool ended; /* not reported yet */
	text_t run;
	size_t reported_bytes;
	uint32_t reported_events;
} entry_t;

typedef struct proposal {
	uint32_t from;
	uint32_t events;
	buf_t text;
	struct proposal *prev;
	struct proposal *next;
} proposal_t;

typedef struct {
	unsigned flaws;
	uint64_t random;
	entry_t entries[ENTRIES];
	uint64_t last_link;
	int serial;
	lots_t *lots; /* committed */
	proposal_t *log; /* proposed, not applied yet */
	item_output_t output; /* of the leader */
	bool running; /* the item, at output.entry; its link may be lost */
	uint32_t saved_events; /* with END_BY_NUMBER: part of the output that was proposed */
	size_t saved_bytes;
	bool over;
	uint32_t disorder;
	unsigned adopted_taken; /* reports from the first event on that a leader has taken */
} play_t;

static unsigned draw(play_t *p, unsigned n)
{
	return (unsigned)(prng_next(&p->random) >> 11) % n;
}

static void check_text(play_t *p, str_t text, uint32_t events)
{
	if (!p->disorder)
		p->disorder = find_disorder(text, events);
}

static const lot_item_t *committed(const play_t *p)
{
	return &lots_find(p->lots, STR("lot"))->items[0];
}

static void apply(play_t *p, wire_lots_cmd_t *cmd)
{
	wire_fleet_res_t res = {0};

	lots_apply_cmd(p->lots, cmd, &res);
	free(res.opened.opened_val);
}

static void open_lot(play_t *p)
{
	wire_lot_item_t item = {.id = wire_bytes(STR("item")), .path = wire_bytes(STR("/"))};
	wire_lot_open_t open = {.lot = wire_bytes(STR("lot")),
				.drop_wall_ms = 1000,
				.forget_wall_ms = 1000,
				.items = {1, &item}};
	wire_lots_cmd_t cmd = {.opens = {1, &open}};

	p->lots = lots_new();
	apply(p, &cmd);
}

static message_t *push(message_t **queue, kind_t kind)
{
	message_t *m = mem_new(sizeof(*m));

	m->kind = kind;
	DL_APPEND(*queue, m);
	return m;
}

static message_t *pop(message_t **queue)
{
	message_t *m = *queue;

	if (m)
		DL_DELETE(*queue, m);
	return m;
}

static void message_free(message_t *m)
{
	buf_free(&m->text);
	free(m);
}

static void clear(message_t **queue)
{
	message_t *m;

	while ((m = pop(queue)))
		message_free(m);
}

static entry_t *entry_of(play_t *p, uint64_t link)
{
	for (int i = 0; i < ENTRIES; i++) {
		if (link && p->entries[i].link == link)
			return &p->entries[i];
	}
	return NULL;
}

/* ---- entries ---- */

static void drop_run(entry_t *e)
{
	buf_free(&e->run.text);
	e->run = (text_t){0};
	e->runs = e->ended = false;
}

static void report_end(entry_t *e)
{
	message_t *m = push(&e->out, ENDED);

	m->done = e->run.events >= EVENTS_MAX;
	m->events = e->run.events;
	buf_add(&m->text, str_buf(&e->run.text));
	drop_run(e);
}

static void end_run(entry_t *e)
{
	e->ended = true;
	if (e->link)
		report_end(e);
}

static void entry_event(entry_t *e)
{
	if (!e->runs || e->ended)
		return;
	go_on(&e->run, 1);
	if (e->run.events >= EVENTS_MAX)
		end_run(e);
}

static void entry_report(entry_t *e)
{
	message_t *m;

	if (!e->link || !e->runs || e->ended || e->run.events == e->reported_events)
		return;
	m = push(&e->out, PROGRESS);
	m->from = e->reported_events;
	m->events = e->run.events;
	buf_add(&m->text,
		(str_t){e->run.text.p + e->reported_bytes, e->run.text.n - e->reported_bytes});
	e->reported_events = e->run.events;
	e->reported_bytes = e->run.text.n;
}

static bool lists_run(const play_t *p, const entry_t *e)
{
	return e->runs && !((p->flaws & ENDED_UNLISTED) && e->ended);
}

static void connect_entry(play_t *p, entry_t *e)
{
	if (e->link) {
		push(&e->out, HELLO)->has_run = lists_run(p, e);
		return;
	}
	e->link = ++p->last_link;
	push(&e->out, HELLO)->has_run = lists_run(p, e);
	if (!(p->flaws & PROGRESS_BY_NUMBER))
		e->reported_bytes = e->reported_events = 0;
	if (e->runs && (e->ended || draw(p, 8) == 0))
		report_end(e);
}

static void entry_receive(play_t *p, entry_t *e)
{
	message_t *m = pop(&e->in);

	if (!m)
		return;
	if (m->kind == STOP && e->runs && !e->ended)
		end_run(e);
	if (m->kind == RUN) {
		drop_run(e);
		e->runs = true;
		e->run.serial = ++p->serial;
		e->run.base = e->run.events = m->events;
		buf_add(&e->run.text, str_buf(&m->text));
		e->reported_bytes = e->run.text.n;
		e->reported_events = m->events;
	}
	message_free(m);
}

static void drop_link(entry_t *e)
{
	e->link = 0;
	e->registered = false;
	clear(&e->in);
	clear(&e->out);
}

/* ---- the leader ---- */

static void lead(play_t *p)
{
	const lot_item_t *saved = committed(p);
	str_t text = {saved->partial_text ? saved->partial_text : "", saved->partial_n};

	item_output_free(&p->output);
	item_output_init(&p->output, text, saved->partial_events);
	check_text(p, text, saved->partial_events);
	p->running = false;
	p->saved_events = saved->partial_events;
	p->saved_bytes = saved->partial_n;
}

static void start_run(play_t *p)
{
	entry_t *e = &p->entries[draw(p, ENTRIES)];
	message_t *m;

	if (!e->registered || (p->running && entry_of(p, p->output.entry)))
		return;
	m = push(&e->in, RUN);
	m->events = p->output.events;
	buf_add(&m->text, str_buf(&p->output.text));
	item_output_start(&p->output, e->link);
	p->running = true;
}

static void hear_hello(play_t *p, entry_t *e, const message_t *m)
{
	e->registered = true;
	if (!m->has_run || item_output_is_refused(&p->output, e->link))
		return;
	if (!p->running || !entry_of(p, p->output.entry)) {
		item_output_adopt(&p->output, e->link);
		p->running = true;
		return;
	}
	if (p->output.entry == e->link)
		return;
	if (!(p->flaws & NO_REFUSALS))
		item_output_refuse(&p->output, e->link);
	push(&e->in, STOP);
}

static void hear_progress_by_number(play_t *p, const entry_t *e, const message_t *m)
{
	if (p->output.entry != e->link || m->from != p->output.events || m->events <= m->from)
		return;
	buf_add(&p->output.text, str_buf(&m->text));
	p->output.events = m->events;
}

static void hear_progress(play_t *p, const entry_t *e, const message_t *m)
{
	uint32_t had = p->output.events;

	if (p->flaws & PROGRESS_BY_NUMBER)
		hear_progress_by_number(p, e, m);
	else if (item_output_progress(&p->output, e->link, m->from, m->events, str_buf(&m->text)) ==
		 ITEM_REPORT_TAKEN)
		p->adopted_taken += m->from == 0 && had > 0 && m->events > had;
}

static void hear_end(play_t *p, const entry_t *e, const message_t *m)
{
	bool current = item_output_end(&p->output, e->link);

	if (m->done) {
		check_text(p, str_buf(&m->text), m->events);
		p->over = true;
		return;
	}
	if (!current)
		return;
	p->running = false;
	if (!(p->flaws & END_BY_NUMBER)) {
		item_output_take(&p->output, m->events, str_buf(&m->text));
	} else if (m->events > p->output.events) {
		p->output.text.n = 0;
		buf_add(&p->output.text, str_buf(&m->text));
		p->output.events = m->events;
	}
}

static void leader_receive(play_t *p, entry_t *e)
{
	message_t *m = pop(&e->out);

	if (!m)
		return;
	if (m->kind == HELLO)
		hear_hello(p, e, m);
	else if (m->kind == PROGRESS)
		hear_progress(p, e, m);
	else
		hear_end(p, e, m);
	message_free(m);
}

static void preempt(play_t *p)
{
	entry_t *e = entry_of(p, p->output.entry);

	if (p->running && e)
		push(&e->in, STOP);
}

/* ---- commits ---- */

static void proposal_free(play_t *p, proposal_t *x)
{
	DL_DELETE(p->log, x);
	buf_free(&x->text);
	free(x);
}

static void apply_next(play_t *p)
{
	proposal_t *x = p->log;
	wire_lot_progress_t progress;
	wire_lots_cmd_t cmd = {.progress = {1, &progress}};

	if (!x)
		return;
	progress = (wire_lot_progress_t){.lot = wire_bytes(STR("lot")),
					 .from = x->from,
					 .events = x->events,
					 .text = wire_bytes(str_buf(&x->text))};
	apply(p, &cmd);
	proposal_free(p, x);
}

/* Proposes the new part of the output. Proposals are refused, applied at once, or applied later
 * though their proposer takes them for failed. */
static void commit(play_t *p)
{
	const lot_item_t *saved = committed(p);
	proposal_t x = {0};
	proposal_t *copy;
	str_t rest;

	if (p->flaws & END_BY_NUMBER) {
		if (p->output.events <= p->saved_events)
			return;
		x.from = p->saved_events;
		rest = (str_t){p->output.text.p + p->saved_bytes,
			       p->output.text.n - p->saved_bytes};
		p->saved_events = p->output.events;
		p->saved_bytes = p->output.text.n;
	} else {
		str_t text = {saved->partial_text ? saved->partial_text : "", saved->partial_n};

		if (!item_output_unsaved(&p->output, text, saved->partial_events, &rest))
			return;
		x.from = saved->partial_events;
	}
	x.events = p->output.events;
	if (x.events <= x.from || draw(p, 4) == 0)
		return;
	copy = mem_new(sizeof(*copy));
	*copy = x;
	buf_add(&copy->text, rest);
	DL_APPEND(p->log, copy);
	while (p->log && draw(p, 3) > 0)
		apply_next(p);
}

/* Another leader: what was proposed to the former one is applied up to some point, the rest is
 * lost. */
static void change_leader(play_t *p, bool all_restart)
{
	while (p->log && draw(p, 2))
		apply_next(p);
	while (p->log)
		proposal_free(p, p->log);
	for (int i = 0; i < ENTRIES; i++) {
		drop_link(&p->entries[i]);
		if (all_restart)
			drop_run(&p->entries[i]);
	}
	lead(p);
}

static void step(play_t *p)
{
	entry_t *e = &p->entries[draw(p, ENTRIES)];
	unsigned what = draw(p, 100);

	if (what < 22)
		entry_event(e);
	else if (what < 36)
		entry_report(e);
	else if (what < 38 && e->runs && !e->ended)
		end_run(e);
	else if (what < 60)
		leader_receive(p, e);
	else if (what < 72)
		entry_receive(p, e);
	else if (what < 76)
		drop_link(e);
	else if (what < 82)
		connect_entry(p, e);
	else if (what < 88)
		start_run(p);
	else if (what < 89)
		preempt(p);
	else if (what < 96)
		commit(p);
	else if (what < 98)
		apply_next(p);
	else if (what < 99 && draw(p, 4) == 0)
		change_leader(p, draw(p, 4) == 0);
}

static void play_free(play_t *p)
{
	for (int i = 0; i < ENTRIES; i++) {
		drop_link(&p->entries[i]);
		drop_run(&p->entries[i]);
	}
	while (p->log)
		proposal_free(p, p->log);
	item_output_free(&p->output);
	lots_free(p->lots);
}

typedef struct {
	unsigned disordered; /* plays */
	unsigned complete;
	unsigned adopted_taken;
	uint64_t first_seed; /* of a disordered play */
} outcome_t;

static outcome_t play_all(unsigned flaws)
{
	outcome_t n = {0};

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		play_t p = {.flaws = flaws, .random = seed * 0x9e3779b97f4a7c15};

		open_lot(&p);
		lead(&p);
		for (int i = 0; i < STEPS && !p.over; i++) {
			uint32_t had = p.output.events;

			step(&p);
			if (p.output.events != had)
				check_text(&p, str_buf(&p.output.text), p.output.events);
		}
		if (p.disorder && !n.disordered++)
			n.first_seed = seed;
		n.complete += p.over;
		n.adopted_taken += p.adopted_taken;
		play_free(&p);
	}
	printf("flaws %u: %u of %d plays out of order, %u complete, %u reports of adopted runs "
	       "taken\n",
	       flaws, n.disordered, SEEDS, n.complete, n.adopted_taken);
	fflush(stdout);
	return n;
}

START_TEST(random_runs_keep_the_order)
{
	outcome_t n = play_all(0);

	ck_assert_msg(n.disordered == 0, "%u plays out of order, the first with seed %llu",
		      n.disordered, (unsigned long long)n.first_seed);
	ck_assert_uint_gt(n.complete, 0);
	ck_assert_uint_gt(n.adopted_taken, 0);
}
END_TEST

START_TEST(random_runs_find_flaws)
{
	ck_assert_uint_gt(play_all(PROGRESS_BY_NUMBER).disordered, 0);
	ck_assert_uint_gt(play_all(END_BY_NUMBER).disordered, 0);
	ck_assert_uint_gt(play_all(ENDED_UNLISTED).disordered, 0);
	ck_assert_uint_gt(play_all(NO_REFUSALS).disordered, 0);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("item_output");
	TCase *t = tcase_create("cases");

	tcase_set_timeout(t, 60);
	tcase_add_test(t, started_run_continues_the_output);
	tcase_add_test(t, overtaken_run_is_not_joined_to_the_text_of_the_other);
	tcase_add_test(t, new_leader_takes_the_whole_text_of_an_adopted_run);
	tcase_add_test(t, reports_before_the_end_of_a_refused_run_are_ignored);
	tcase_add_test(t, text_must_begin_with_whole_events);
	tcase_add_test(t, damaged_text_does_not_become_part_of_the_output);
	tcase_add_test(t, character_split_between_two_events_is_no_damage);
	tcase_add_test(t, text_that_is_never_utf8_is_accepted_in_the_end);
	tcase_add_test(t, random_runs_keep_the_order);
	tcase_add_test(t, random_runs_find_flaws);
	suite_add_tcase(s, t);
	return suite_run(s);
}
