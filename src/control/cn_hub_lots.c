/* Calls on lots, and the commits that they need. */
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include "base/lg.h"
#include "base/mx.h"
#include "control/cn_hub.h"

/** A commit that takes longer, in ms, may still come to pass: its callers are told so. */
#define COMMIT_MS 2000
/** Bytes gathered for one commit; more wait for the next. */
#define COMMIT_BYTES   (4U << 20)
#define READ_BYTES_MAX 1000000
/** Lots that were given up or forgotten are looked for on this period, in ms. */
#define SYNC_MS 500
/** Items are given up that long after their retention, in ms, so that no clock sees it early. */
#define DROP_MARGIN_MS 5000
#define BARRIER_MS     1000
/** Part of the process's memory that lots may fill: a snapshot takes as much again while it is
 * written, and log, links and messages take the rest. */
#define LOTS_MEMORY_PERCENT 35
#define MIB		    (1U << 20)

typedef struct {
	wk_job_t job;
	hub_t *h;
	uint64_t term;
	hub_batch_t batch;
	buf_t payload;
	status_t st;
	char message[128];
	aw_fleet_res_t res;
} commit_t;

/* ---- gathering ---- */

static void *grow(void *v, size_t n, size_t *cap, size_t size)
{
	if (n < *cap)
		return v;
	*cap = *cap ? *cap * 2 : 16;
	return mem_grow(v, *cap * size);
}

static void add_open(hub_t *h, const hub_caller_t *from, const aw_lot_open_t *o)
{
	hub_batch_t *b = &h->next;
	u_int n = b->cmd.opens.opens_len;
	size_t cap = b->opens_cap;

	b->cmd.opens.opens_val =
		grow(b->cmd.opens.opens_val, n, &b->opens_cap, sizeof(aw_lot_open_t));
	b->open_from = grow(b->open_from, n, &cap, sizeof(hub_caller_t));
	px_dup(PX(aw_lot_open_t), o, &b->cmd.opens.opens_val[n], sizeof(*o));
	b->open_from[n] = *from;
	b->cmd.opens.opens_len++;
	b->bytes += xdr_sizeof(PX(aw_lot_open_t), (void *)o);
}

static void add_end(hub_t *h, const hub_caller_t *from, str_t lot)
{
	hub_batch_t *b = &h->next;
	u_int n = b->cmd.ends.ends_len;
	size_t cap = b->ends_cap;

	b->cmd.ends.ends_val = grow(b->cmd.ends.ends_val, n, &b->ends_cap, sizeof(aw_bytes_t));
	b->end_from = grow(b->end_from, n, &cap, sizeof(hub_caller_t));
	b->cmd.ends.ends_val[n] = px_copy(lot);
	b->end_from[n] = *from;
	b->cmd.ends.ends_len++;
}

static void add_result(hub_t *h, str_t lot, uint32_t item, bool dead, str_t text)
{
	hub_batch_t *b = &h->next;
	u_int n = b->cmd.results.results_len;

	b->cmd.results.results_val =
		grow(b->cmd.results.results_val, n, &b->results_cap, sizeof(aw_lot_result_t));
	b->cmd.results.results_val[n] = (aw_lot_result_t){px_copy(lot), item, dead, px_copy(text)};
	b->cmd.results.results_len++;
	b->bytes += text.n;
}

void hub_lots_result(hub_t *h, hub_item_t *it, bool dead, str_t text)
{
	add_result(h, str_c(it->lot->id), it->index, dead, text);
}

void hub_lots_progress(hub_t *h, hub_item_t *it)
{
	hub_batch_t *b = &h->next;
	u_int n = b->cmd.progress.progress_len;
	str_t text = {it->text.p + it->saved_n, it->text.n - it->saved_n};

	if (it->events <= it->saved_events)
		return;
	b->cmd.progress.progress_val =
		grow(b->cmd.progress.progress_val, n, &b->progress_cap, sizeof(aw_lot_progress_t));
	b->cmd.progress.progress_val[n] =
		(aw_lot_progress_t){px_copy(str_c(it->lot->id)), it->index, it->saved_events,
				    it->events, px_copy(text)};
	b->cmd.progress.progress_len++;
	b->bytes += text.n;
	it->saved_n = (uint32_t)it->text.n;
	it->saved_events = it->events;
}

static void batch_free(hub_batch_t *b)
{
	px_free(PX(aw_lots_cmd_t), &b->cmd);
	free(b->open_from);
	free(b->end_from);
	*b = (hub_batch_t){0};
}

/* ---- reads ---- */

typedef struct {
	str_t lot;
	uint32_t after;
	bool found;
	bool over; /* nothing more will be listed */
	lw_reply_t r;
} read_t;

static void read_results(cn_group_t *g, void *arg)
{
	read_t *x = arg;
	const lo_lot_t *t = lo_find(g->lo, x->lot);
	size_t bytes = 0;

	if (!t)
		return;
	x->found = true;
	x->over = t->ended || t->nlisted == t->nitems;
	x->r.total = t->nitems;
	x->r.results.results_val = mem_new((t->nlisted + 1) * sizeof(lw_result_t));
	for (uint32_t i = x->after; i < t->nlisted && bytes < READ_BYTES_MAX; i++) {
		const lo_item_t *it = &t->items[t->listed[i]];

		if (i > x->after && bytes + it->data_n > READ_BYTES_MAX)
			break;
		bytes += it->data_n;
		x->r.results.results_val[x->r.results.results_len++] = (lw_result_t){
			px_copy(str_c(it->id)),
			it->state == LO_DEAD,
			px_copy((str_t){it->data, it->data_n}),
		};
	}
}

/* Answers a read; false when it is to wait on. */
static bool answer_read(hub_t *h, const hub_caller_t *from, str_t lot, uint32_t after, bool wait)
{
	read_t x = {.lot = lot, .after = after};
	bool done;

	cn_group_read(&h->cn->groups[0], read_results, &x);
	done = x.found && (!wait || x.over || x.r.results.results_len > 0);
	if (done)
		hub_reply(h, from, &x.r);
	px_free(PX(lw_reply_t), &x.r);
	return done;
}

static void waiter_free(hub_t *h, hub_waiter_t *w)
{
	DL_DELETE(h->waiters, w);
	free(w->lot);
	free(w);
}

static void wake_waiters(hub_t *h, deadline_t now)
{
	hub_waiter_t *w;
	hub_waiter_t *next;

	DL_FOREACH_SAFE(h->waiters, w, next)
	{
		if (answer_read(h, &w->from, str_c(w->lot), w->after, now < w->until))
			waiter_free(h, w);
	}
}

typedef struct {
	wk_job_t job;
	hub_t *h;
	hub_caller_t from;
	lw_what_t what;
	status_t st;
} check_t;

static void check_work(wk_job_t *j)
{
	check_t *c = (check_t *)j;

	c->st = gr_barrier(c->h->cn->groups[0].gr, clk_now_ms() + BARRIER_MS);
}

typedef struct {
	str_t lot;
	str_t item;
	status_t st;
	buf_t body;
} body_t;

static void read_body(cn_group_t *g, void *arg)
{
	body_t *b = arg;
	const lo_lot_t *t = lo_find(g->lo, b->lot);
	long i = t ? lo_item(t, b->item) : -1;

	b->st = ST_NOT_FOUND;
	if (i < 0 || t->ended || t->items[i].state != LO_OPEN)
		return;
	b->st = ST_OK;
	buf_add(&b->body, (str_t){t->items[i].data, t->items[i].data_n});
}

/* False: the lot isn't known here, or the item isn't open. */
static bool answer_body(hub_t *h, const hub_caller_t *from, const lw_body_t *m)
{
	body_t b = {.lot = px_str(m->job), .item = px_str(m->item)};
	lw_reply_t r = {0};

	cn_group_read(&h->cn->groups[0], read_body, &b);
	r.bytes = px_bytes(str_buf(&b.body));
	if (b.st == ST_OK)
		hub_reply(h, from, &r);
	buf_free(&b.body);
	return b.st == ST_OK;
}

static bool answer_known(hub_t *h, const hub_caller_t *from, const lw_what_t *w)
{
	const lw_read_t *m = &w->lw_what_t_u.read;
	read_t x = {.lot = px_str(m->job), .after = UINT32_MAX};
	hub_waiter_t *waiter;

	if (w->kind == LW_CALL_BODY)
		return answer_body(h, from, &w->lw_what_t_u.body);
	if (answer_read(h, from, px_str(m->job), m->after, m->wait_ms > 0))
		return true;
	cn_group_read(&h->cn->groups[0], read_results, &x);
	px_free(PX(lw_reply_t), &x.r);
	if (!x.found)
		return false;
	waiter = mem_new(sizeof(*waiter));
	waiter->from = *from;
	waiter->lot = str_dup(px_str(m->job));
	waiter->after = m->after;
	waiter->until = clk_now_ms() + m->wait_ms;
	DL_APPEND(h->waiters, waiter);
	return true;
}

static void check_done(wk_job_t *j)
{
	check_t *c = (check_t *)j;

	if (c->st != ST_OK || c->h->role != HUB_LEADS)
		hub_reply_status(c->h, &c->from, st_fail(ST_UNAVAILABLE, "can't be sure"));
	else if (!answer_known(c->h, &c->from, &c->what))
		hub_reply_status(c->h, &c->from, st_fail(ST_NOT_FOUND, "no such lot or item"));
	px_free(PX(lw_what_t), &c->what);
	free(c);
}

/* "Not found" is said only by a process that surely leads. */
static void check_and_answer(hub_t *h, const hub_caller_t *from, const lw_what_t *what)
{
	check_t *c = mem_new(sizeof(*c));

	c->job = (wk_job_t){check_work, check_done, NULL};
	c->h = h;
	c->from = *from;
	px_dup(PX(lw_what_t), what, &c->what, sizeof(c->what));
	wk_submit(h->calls, &c->job);
}

/* ---- commits ---- */

static void commit_work(wk_job_t *j)
{
	commit_t *c = (commit_t *)j;
	AUTO_BUF result = {0};

	c->st = gr_propose(c->h->cn->groups[0].gr, str_buf(&c->payload), clk_now_ms() + COMMIT_MS,
			   &result);
	if (c->st == ST_OK)
		c->st = px_decode(str_buf(&result), PX(aw_fleet_res_t), &c->res, sizeof(c->res));
	snprintf(c->message, sizeof(c->message), "%s", c->st == ST_OK ? "" : st_message());
}

static void answer_opens(hub_t *h, commit_t *c)
{
	for (u_int i = 0; i < c->batch.cmd.opens.opens_len; i++) {
		const aw_lot_open_t *o = &c->batch.cmd.opens.opens_val[i];
		status_t st = c->st;

		if (st == ST_OK)
			st = i < c->res.opened.opened_len ? (status_t)c->res.opened.opened_val[i]
							  : ST_CORRUPT;
		else
			st = st_fail(st, "%s", c->message);
		lg(LG_INFO, "lot_opened", LG_S("lot", px_str(o->lot)),
		   LG_I("items", o->items.items_len), LG_I("quota", o->quota),
		   LG_C("status", st_name(st)), LG_C("message", st == ST_OK ? "" : c->message));
		hub_reply_status(h, &c->batch.open_from[i], st);
	}
}

static void answer_ends(hub_t *h, commit_t *c)
{
	for (u_int i = 0; i < c->batch.cmd.ends.ends_len; i++) {
		str_t id = px_str(c->batch.cmd.ends.ends_val[i]);
		status_t st = c->st == ST_OK ? ST_OK : st_fail(c->st, "%s", c->message);

		lg(LG_INFO, "lot_ended", LG_S("lot", id), LG_C("status", st_name(st)));
		hub_reply_status(h, &c->batch.end_from[i], st);
	}
}

/* Results that may not have been committed are committed again: the first one stands. */
static void retry_results(hub_t *h, commit_t *c)
{
	for (u_int i = 0; i < c->batch.cmd.results.results_len; i++) {
		const aw_lot_result_t *r = &c->batch.cmd.results.results_val[i];

		add_result(h, px_str(r->lot), r->item, r->dead, px_str(r->text));
	}
}

static void commit_done(wk_job_t *j)
{
	commit_t *c = (commit_t *)j;
	hub_t *h = c->h;
	bool leads = h->role == HUB_LEADS && h->term == c->term;

	h->committing = false;
	if (c->st != ST_OK)
		lg(LG_WARN, "commit_failed", LG_C("status", st_name(c->st)),
		   LG_C("message", c->message), LG_I("results", c->batch.cmd.results.results_len));
	answer_opens(h, c);
	answer_ends(h, c);
	if (leads) {
		if (c->st != ST_OK)
			retry_results(h, c);
		hub_lots_sync(h);
		wake_waiters(h, clk_now_ms());
		hub_commit(h);
	}
	batch_free(&c->batch);
	buf_free(&c->payload);
	px_free(PX(aw_fleet_res_t), &c->res);
	free(c);
}

void hub_commit(hub_t *h)
{
	aw_fleet_cmd_t cmd = {.kind = AW_FLEET_LOTS};
	aw_lots_cmd_t *l = &h->next.cmd;
	commit_t *c;

	if (h->committing || l->opens.opens_len + l->results.results_len + l->ends.ends_len +
					     l->progress.progress_len ==
				     0)
		return;
	h->committing = true;
	c = mem_new(sizeof(*c));
	c->job = (wk_job_t){commit_work, commit_done, NULL};
	c->h = h;
	c->term = h->term;
	c->batch = h->next;
	c->batch.cmd.now_wall_ms = clk_wall_ms();
	h->next = (hub_batch_t){0};
	cmd.aw_fleet_cmd_t_u.lots = c->batch.cmd;
	px_encode(&c->payload, PX(aw_fleet_cmd_t), &cmd);
	wk_submit(h->commits, &c->job);
}

typedef struct {
	str_t lot;
	bool stands;
	size_t bytes;
} room_t;

static void look_for_room(cn_group_t *g, void *arg)
{
	room_t *r = arg;

	r->stands = lo_find(g->lo, r->lot) != NULL;
	r->bytes = r->stands ? 0 : lo_bytes_expected(g->lo);
}

/* An accepted lot is kept whatever comes, so what doesn't fit isn't accepted. */
static bool has_room(hub_t *h, str_t lot)
{
	size_t most = (size_t)h->cn->s.memory_mib * MIB / 100 * LOTS_MEMORY_PERCENT;
	room_t r = {.lot = lot};

	if (most == 0)
		return true;
	cn_group_read(&h->cn->groups[0], look_for_room, &r);
	if (r.stands || r.bytes + h->next.bytes < most)
		return true;
	lg(LG_WARN, "lots_fill_memory", LG_S("lot", lot), LG_I("bytes", r.bytes),
	   LG_I("most", most));
	MX_COUNT("auburn_lots_refused_for_memory_total");
	return false;
}

static void open_lot(hub_t *h, const hub_caller_t *from, const aw_lot_open_t *m)
{
	aw_lot_open_t o = *m;
	const ru_route_t *r = NULL;
	int64_t wall = clk_wall_ms();

	if (h->routes && o.items.items_len > 0)
		r = ru_match(h->routes, px_str(o.host), px_str(o.items.items_val[0].path));
	if (!r || r->kind != RU_BATCH) {
		hub_reply_status(h, from, st_fail(ST_UNAVAILABLE, "its route isn't known here"));
		return;
	}
	if (h->next.bytes > COMMIT_BYTES) {
		hub_reply_status(h, from, st_fail(ST_UNAVAILABLE, "too much waits for the disk"));
		return;
	}
	if (!has_room(h, px_str(o.lot))) {
		hub_reply_status(h, from, st_fail(ST_LIMIT, "lots fill the memory"));
		return;
	}
	o.quota = (uint64_t)r->waiting_tokens_max;
	o.due_wall_ms = wall + r->due_ms;
	o.drop_wall_ms = wall + r->retention_ms + DROP_MARGIN_MS;
	o.forget_wall_ms = wall + h->cn->s.lot_ttl_ms + DROP_MARGIN_MS;
	if (o.forget_wall_ms < o.drop_wall_ms)
		o.forget_wall_ms = o.drop_wall_ms;
	add_open(h, from, &o);
	hub_commit(h);
}

void hub_lots_call(hub_t *h, const hub_caller_t *from, const lw_what_t *what)
{
	switch (what->kind) {
	case LW_CALL_OPEN:
		open_lot(h, from, &what->lw_what_t_u.open);
		break;
	case LW_CALL_END:
		add_end(h, from, px_str(what->lw_what_t_u.job));
		hub_commit(h);
		break;
	default:
		if (!answer_known(h, from, what))
			check_and_answer(h, from, what);
		break;
	}
}

void hub_lots_tick(hub_t *h, deadline_t now)
{
	wake_waiters(h, now);
	hub_commit(h);
	if (now < h->lots_at)
		return;
	h->lots_at = now + SYNC_MS;
	hub_lots_sync(h);
}

void hub_lots_drop(hub_t *h)
{
	while (h->waiters) {
		hub_reply_status(h, &h->waiters->from, st_fail(ST_UNAVAILABLE, "no longer leads"));
		waiter_free(h, h->waiters);
	}
	/* Nothing of these was proposed. */
	for (u_int i = 0; i < h->next.cmd.opens.opens_len; i++)
		hub_reply_status(h, &h->next.open_from[i],
				 st_fail(ST_UNAVAILABLE, "no longer leads"));
	for (u_int i = 0; i < h->next.cmd.ends.ends_len; i++)
		hub_reply_status(h, &h->next.end_from[i],
				 st_fail(ST_UNAVAILABLE, "no longer leads"));
	batch_free(&h->next);
}
