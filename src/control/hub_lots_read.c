/* Reads of lots: of results, which may wait for some, and of the bodies of items. */
#include <stdlib.h>
#include <utlist.h>
#include "control/hub.h"

#define READ_BYTES_MAX 1000000
#define BARRIER_MS     1000

typedef struct {
	str_t lot;
	lot_access_t access;
	uint32_t after;
	char *found; /* id of the lot; NULL: unknown here */
	bool over; /* no further results will come */
	link_reply_t r;
} results_read_t;

static void read_results(control_group_t *g, void *arg)
{
	results_read_t *x = arg;
	const lot_t *t = lot_access_find(g->lots, x->lot, x->access);
	size_t bytes = 0;

	if (!t)
		return;
	x->found = str_dup(str_c(t->id));
	x->over = t->ended || t->nfinished == t->nitems;
	x->r.total = t->nitems;
	x->r.results.results_val = mem_new((t->nfinished + 1) * sizeof(link_result_t));
	for (uint32_t i = x->after; i < t->nfinished && bytes < READ_BYTES_MAX; i++) {
		const lot_item_t *it = &t->items[t->finished[i]];

		if (i > x->after && bytes + it->data_n > READ_BYTES_MAX)
			break;
		bytes += it->data_n;
		x->r.results.results_val[x->r.results.results_len++] = (link_result_t){
			wire_copy(str_c(it->id)),
			it->state == LOT_ITEM_DEAD,
			wire_copy((str_t){it->data, it->data_n}),
		};
	}
}

typedef enum { READ_ANSWERED, READ_UNKNOWN_LOT, READ_WAITS } read_result_t;

/* Replies to a read of results, unless the lot is unknown here or, if `wait` is set, there is no
 * new result but more can come. *found: id of the lot, which the caller frees; NULL if it is
 * unknown. */
static read_result_t try_answer_read(hub_t *h, const hub_origin_t *from, str_t lot, uint32_t after,
				     bool wait, char **found)
{
	results_read_t x = {.lot = lot, .access = hub_lots_access(h), .after = after};
	read_result_t result = READ_UNKNOWN_LOT;

	control_group_read(&h->control->groups[0], read_results, &x);
	if (x.found)
		result = wait && !x.over && x.r.results.results_len == 0 ? READ_WAITS
									 : READ_ANSWERED;
	if (result == READ_ANSWERED)
		hub_reply(h, from, &x.r);
	wire_free(XDR_PROC(link_reply_t), &x.r);
	*found = x.found;
	return result;
}

static void waiter_free(hub_t *h, hub_waiter_t *w)
{
	DL_DELETE(h->waiters, w);
	free(w->lot);
	free(w);
}

void hub_lots_wake_readers(hub_t *h, deadline_t now)
{
	hub_waiter_t *w;
	hub_waiter_t *next;

	DL_FOREACH_SAFE(h->waiters, w, next)
	{
		AUTO_FREE char *found = NULL;
		read_result_t result = try_answer_read(h, &w->origin, str_c(w->lot), w->after,
						       now < w->deadline, &found);

		if (result == READ_WAITS)
			continue;
		if (result == READ_UNKNOWN_LOT)
			hub_reply_status(h, &w->origin,
					 status_fail(STATUS_NOT_FOUND, "the lot was removed"));
		waiter_free(h, w);
	}
}

typedef struct {
	worker_task_t task;
	hub_t *h;
	hub_origin_t from;
	link_call_arg_t arg;
	status_t st;
} barrier_task_t;

static void barrier_work(worker_task_t *task)
{
	barrier_task_t *c = (barrier_task_t *)task;

	c->st = group_read_barrier(c->h->control->groups[0].raft, clock_now_ms() + BARRIER_MS);
}

typedef struct {
	str_t lot;
	lot_access_t access;
	str_t item;
	status_t st;
	buf_t body;
} body_read_t;

static void read_body(control_group_t *g, void *arg)
{
	body_read_t *b = arg;
	const lot_t *t = lot_access_find(g->lots, b->lot, b->access);
	long i = t ? lot_find_item(t, b->item) : -1;

	b->st = STATUS_NOT_FOUND;
	if (i < 0 || t->ended || t->items[i].state != LOT_ITEM_OPEN)
		return;
	b->st = STATUS_OK;
	buf_add(&b->body, (str_t){t->items[i].data, t->items[i].data_n});
}

/* Replies to a read of an item's body. Returns false, without a reply, if the lot is unknown here
 * or the item is not open. */
static bool try_answer_body(hub_t *h, const hub_origin_t *from, const link_item_body_t *m)
{
	body_read_t b = {
		.lot = wire_str(m->job), .access = hub_lots_access(h), .item = wire_str(m->item)};
	link_reply_t r = {0};

	control_group_read(&h->control->groups[0], read_body, &b);
	r.bytes = wire_bytes(str_buf(&b.body));
	if (b.st == STATUS_OK)
		hub_reply(h, from, &r);
	buf_free(&b.body);
	return b.st == STATUS_OK;
}

/* Replies to a read of an item's body or of results. A read of results that may wait is queued
 * while there is no new result. Returns false, without a reply, if the lot is unknown here or the
 * item is not open. */
static bool try_answer_or_wait(hub_t *h, const hub_origin_t *from, const link_call_arg_t *arg)
{
	const link_lot_read_t *m = &arg->link_call_arg_t_u.read;
	read_result_t result;
	hub_waiter_t *waiter;
	char *found;

	if (arg->kind == LINK_CALL_ITEM_BODY)
		return try_answer_body(h, from, &arg->link_call_arg_t_u.body);
	result = try_answer_read(h, from, wire_str(m->job), m->after, m->wait_ms > 0, &found);
	if (result != READ_WAITS) {
		free(found);
		return result == READ_ANSWERED;
	}
	waiter = mem_new(sizeof(*waiter));
	waiter->origin = *from;
	/* Found once, it stays the caller's whatever the next config says. */
	waiter->lot = found;
	waiter->after = m->after;
	waiter->deadline = clock_now_ms() + m->wait_ms;
	DL_APPEND(h->waiters, waiter);
	return true;
}

static status_t why_not_found(hub_t *h, const hub_origin_t *from, const link_call_arg_t *arg)
{
	str_t lot = wire_str(arg->kind == LINK_CALL_ITEM_BODY ? arg->link_call_arg_t_u.body.job
							      : arg->link_call_arg_t_u.read.job);
	status_t st = hub_lots_check_access(h, from, lot);

	return st == STATUS_OK ? status_fail(STATUS_NOT_FOUND, "no such item") : st;
}

static void barrier_done(worker_task_t *task)
{
	barrier_task_t *c = (barrier_task_t *)task;

	if (c->st != STATUS_OK || c->h->role != HUB_LEADER)
		hub_reply_status(
			c->h, &c->from,
			status_fail(STATUS_UNAVAILABLE, "leadership could not be confirmed"));
	else if (!try_answer_or_wait(c->h, &c->from, &c->arg))
		hub_reply_status(c->h, &c->from, why_not_found(c->h, &c->from, &c->arg));
	wire_free(XDR_PROC(link_call_arg_t), &c->arg);
	free(c);
}

/* Answers a read whose lot or item was not found. Only a confirmed leader may reply "not found", so
 * a read barrier comes first. */
static void answer_after_barrier(hub_t *h, const hub_origin_t *from, const link_call_arg_t *arg)
{
	barrier_task_t *c = mem_new(sizeof(*c));

	c->task = (worker_task_t){barrier_work, barrier_done, NULL};
	c->h = h;
	c->from = *from;
	wire_dup(XDR_PROC(link_call_arg_t), arg, &c->arg, sizeof(c->arg));
	worker_pool_submit(h->call_workers, &c->task);
}

void hub_lots_read(hub_t *h, const hub_origin_t *from, const link_call_arg_t *arg)
{
	if (!try_answer_or_wait(h, from, arg))
		answer_after_barrier(h, from, arg);
}

void hub_lots_refuse_readers(hub_t *h)
{
	while (h->waiters) {
		hub_reply_status(
			h, &h->waiters->origin,
			status_fail(STATUS_UNAVAILABLE, "this process is no longer the leader"));
		waiter_free(h, h->waiters);
	}
}
