/* Calls on batch lots, and the commits of their changes to group 0. A lot is a "job" in the
 * messages on links. */
#include <stdlib.h>
#include "base/log.h"
#include "base/metric.h"
#include "control/hub.h"

/** Time limit of a commit, in ms. A commit that exceeds it may still be applied, and its calls end
 * with a status that says so. */
#define COMMIT_MS 2000
/** New lots are refused while more bytes than this wait for the next commit. */
#define COMMIT_BYTES (4U << 20)
/** Period of hub_items_sync, in ms; commits also call it. */
#define SYNC_MS 500
/** Added to the retention times of items and lots, in ms, so that no clock drops them early. */
#define DROP_MARGIN_MS 5000

typedef struct {
	worker_task_t task;
	hub_t *h;
	uint64_t term;
	hub_batch_t batch;
	buf_t payload;
	status_t st;
	char message[128];
	wire_fleet_res_t res;
} commit_t;

/* ---- the batch for the next commit ---- */

static void *grow_array(void *v, size_t n, size_t *cap, size_t size)
{
	if (n < *cap)
		return v;
	*cap = *cap ? *cap * 2 : 16;
	return mem_grow(v, *cap * size);
}

static void add_lot_open(hub_t *h, const hub_origin_t *from, const wire_lot_open_t *o)
{
	hub_batch_t *b = &h->batch;
	u_int n = b->cmd.opens.opens_len;
	size_t cap = b->opens_cap;

	b->cmd.opens.opens_val =
		grow_array(b->cmd.opens.opens_val, n, &b->opens_cap, sizeof(wire_lot_open_t));
	b->open_origins = grow_array(b->open_origins, n, &cap, sizeof(hub_origin_t));
	wire_dup(XDR_PROC(wire_lot_open_t), o, &b->cmd.opens.opens_val[n], sizeof(*o));
	b->open_origins[n] = *from;
	b->cmd.opens.opens_len++;
	b->bytes += xdr_sizeof(XDR_PROC(wire_lot_open_t), (void *)o);
}

static void add_lot_end(hub_t *h, const hub_origin_t *from, str_t lot)
{
	hub_batch_t *b = &h->batch;
	u_int n = b->cmd.ends.ends_len;
	size_t cap = b->ends_cap;

	b->cmd.ends.ends_val =
		grow_array(b->cmd.ends.ends_val, n, &b->ends_cap, sizeof(wire_bytes_t));
	b->end_origins = grow_array(b->end_origins, n, &cap, sizeof(hub_origin_t));
	b->cmd.ends.ends_val[n] = wire_copy(lot);
	b->end_origins[n] = *from;
	b->cmd.ends.ends_len++;
}

static void add_result(hub_t *h, str_t lot, uint32_t item, bool dead, str_t text)
{
	hub_batch_t *b = &h->batch;
	u_int n = b->cmd.results.results_len;

	b->cmd.results.results_val = grow_array(b->cmd.results.results_val, n, &b->results_cap,
						sizeof(wire_lot_result_t));
	b->cmd.results.results_val[n] =
		(wire_lot_result_t){wire_copy(lot), item, dead, wire_copy(text)};
	b->cmd.results.results_len++;
	b->bytes += text.n;
}

void hub_lots_add_result(hub_t *h, hub_item_t *it, bool dead, str_t text)
{
	add_result(h, str_c(it->lot->id), it->index, dead, text);
}

void hub_lots_add_progress(hub_t *h, hub_item_t *it, size_t bytes)
{
	hub_batch_t *b = &h->batch;
	u_int n = b->cmd.progress.progress_len;

	b->bytes += bytes;
	if (it->in_batch)
		return;
	it->in_batch = true;
	b->cmd.progress.progress_val = grow_array(b->cmd.progress.progress_val, n, &b->progress_cap,
						  sizeof(wire_lot_progress_t));
	b->cmd.progress.progress_val[n] =
		(wire_lot_progress_t){.lot = wire_copy(str_c(it->lot->id)), .item = it->index};
	b->cmd.progress.progress_len++;
}

/* Fills in what an item's output adds to the committed one. Returns false if that is nothing. */
static bool fill_progress(hub_t *h, const lots_t *lots, wire_lot_progress_t *p)
{
	hub_item_t *it = hub_find_item(h, p->lot, p->item);
	const lot_t *t = lots_find(lots, wire_str(p->lot));
	const lot_item_t *saved;
	str_t rest;

	if (it)
		it->in_batch = false;
	if (!it || !t || t->ended || p->item >= t->nitems ||
	    t->items[p->item].state != LOT_ITEM_OPEN)
		return false;
	saved = &t->items[p->item];
	if (!item_output_unsaved(&it->output, (str_t){saved->partial_text, saved->partial_n},
				 saved->partial_events, &rest)) {
		log_event(LOG_LEVEL_WARN, "item_output_differs", LOG_STR("lot", wire_str(p->lot)),
			  LOG_INT("item", p->item), LOG_INT("events", it->output.events),
			  LOG_INT("committed", saved->partial_events));
		return false;
	}
	p->from = saved->partial_events;
	p->events = it->output.events;
	p->text = wire_copy(rest);
	return p->events > p->from;
}

typedef struct {
	hub_t *h;
	lot_access_t access;
} batch_fill_t;

/* Fills in the progress of the batch and removes that without new events; finds the lots of its
 * calls. */
static void fill_batch(control_group_t *g, void *arg)
{
	batch_fill_t *fill = arg;
	hub_t *h = fill->h;
	wire_lots_cmd_t *c = &h->batch.cmd;
	u_int kept = 0;

	hub_lots_resolve(g->lots, fill->access, c);
	for (u_int i = 0; i < c->progress.progress_len; i++) {
		wire_lot_progress_t *p = &c->progress.progress_val[i];

		if (fill_progress(h, g->lots, p))
			c->progress.progress_val[kept++] = *p;
		else
			wire_free(XDR_PROC(wire_lot_progress_t), p);
	}
	c->progress.progress_len = kept;
}

static void batch_free(hub_batch_t *b)
{
	wire_free(XDR_PROC(wire_lots_cmd_t), &b->cmd);
	free(b->open_origins);
	free(b->end_origins);
	*b = (hub_batch_t){0};
}

/* ---- commits ---- */

static void commit_work(worker_task_t *task)
{
	commit_t *c = (commit_t *)task;
	AUTO_BUF result = {0};

	c->st = group_propose(c->h->control->groups[0].raft, str_buf(&c->payload),
			      clock_now_ms() + COMMIT_MS, &result);
	if (c->st == STATUS_OK)
		c->st = wire_decode(str_buf(&result), XDR_PROC(wire_fleet_res_t), &c->res,
				    sizeof(c->res));
	snprintf(c->message, sizeof(c->message), "%s", c->st == STATUS_OK ? "" : status_message());
}

static void reply_opens(hub_t *h, commit_t *c)
{
	for (u_int i = 0; i < c->batch.cmd.opens.opens_len; i++) {
		const wire_lot_open_t *o = &c->batch.cmd.opens.opens_val[i];
		status_t st = c->st;

		if (st == STATUS_OK)
			st = i < c->res.opened.opened_len ? (status_t)c->res.opened.opened_val[i]
							  : STATUS_CORRUPT;
		else
			st = status_fail(st, "%s", c->message);
		log_event(LOG_LEVEL_INFO, "lot_opened", LOG_STR("lot", wire_str(o->lot)),
			  LOG_INT("items", o->items.items_len), LOG_INT("quota", o->quota),
			  LOG_CSTR("status", status_name(st)),
			  LOG_CSTR("message", st == STATUS_OK ? "" : c->message));
		hub_reply_status(h, &c->batch.open_origins[i], st);
	}
}

static void reply_ends(hub_t *h, commit_t *c)
{
	for (u_int i = 0; i < c->batch.cmd.ends.ends_len; i++) {
		str_t id = wire_str(c->batch.cmd.ends.ends_val[i]);
		status_t st = c->st == STATUS_OK ? STATUS_OK : status_fail(c->st, "%s", c->message);

		log_event(LOG_LEVEL_INFO, "lot_ended", LOG_STR("lot", id),
			  LOG_CSTR("status", status_name(st)));
		hub_reply_status(h, &c->batch.end_origins[i], st);
	}
}

/* Adds the results and the progress of a failed commit to the next one. They may have been
 * committed after all, which does no harm: the first result of an item counts, and progress only
 * where the item holds exactly the events before it. */
static void requeue_changes(hub_t *h, commit_t *c)
{
	for (u_int i = 0; i < c->batch.cmd.progress.progress_len; i++) {
		const wire_lot_progress_t *p = &c->batch.cmd.progress.progress_val[i];
		hub_item_t *it = hub_find_item(h, p->lot, p->item);

		if (it)
			hub_lots_add_progress(h, it, p->text.wire_bytes_t_len);
	}
	for (u_int i = 0; i < c->batch.cmd.results.results_len; i++) {
		const wire_lot_result_t *r = &c->batch.cmd.results.results_val[i];

		add_result(h, wire_str(r->lot), r->item, r->dead, wire_str(r->text));
	}
}

static void commit_done(worker_task_t *task)
{
	commit_t *c = (commit_t *)task;
	hub_t *h = c->h;
	bool leads = h->role == HUB_LEADER && h->term == c->term;

	h->committing = false;
	h->committing_bytes = 0;
	if (c->st != STATUS_OK)
		log_event(LOG_LEVEL_WARN, "commit_failed", LOG_CSTR("status", status_name(c->st)),
			  LOG_CSTR("message", c->message),
			  LOG_INT("results", c->batch.cmd.results.results_len));
	reply_opens(h, c);
	reply_ends(h, c);
	if (leads) {
		if (c->st != STATUS_OK)
			requeue_changes(h, c);
		hub_items_sync(h);
		hub_lots_wake_readers(h, clock_now_ms());
		hub_lots_commit(h);
	}
	batch_free(&c->batch);
	buf_free(&c->payload);
	wire_free(XDR_PROC(wire_fleet_res_t), &c->res);
	free(c);
}

static bool batch_is_empty(const hub_batch_t *b)
{
	return b->cmd.opens.opens_len + b->cmd.results.results_len + b->cmd.ends.ends_len +
		       b->cmd.progress.progress_len ==
	       0;
}

/* expires: also if nothing was gathered, as each command gives up what is past its time. */
static void commit_batch(hub_t *h, bool expires)
{
	wire_fleet_cmd_t cmd = {.kind = WIRE_FLEET_LOTS};
	commit_t *c;

	if (h->committing)
		return;
	if (!batch_is_empty(&h->batch)) {
		batch_fill_t fill = {h, hub_lots_access(h)};

		control_group_read(&h->control->groups[0], fill_batch, &fill);
	}
	if (!expires && batch_is_empty(&h->batch))
		return;
	h->committing = true;
	c = mem_new(sizeof(*c));
	c->task = (worker_task_t){commit_work, commit_done, NULL};
	c->h = h;
	c->term = h->term;
	c->batch = h->batch;
	h->committing_bytes = h->batch.bytes;
	c->batch.cmd.now_wall_ms = clock_wall_ms();
	h->batch = (hub_batch_t){0};
	cmd.wire_fleet_cmd_t_u.lots = c->batch.cmd;
	wire_encode(&c->payload, XDR_PROC(wire_fleet_cmd_t), &cmd);
	worker_pool_submit(h->commit_worker, &c->task);
}

void hub_lots_commit(hub_t *h)
{
	commit_batch(h, false);
}

static void read_next_expiry(control_group_t *g, void *arg)
{
	*(int64_t *)arg = lots_next_expiry(g->lots);
}

static bool has_expired_lots(hub_t *h)
{
	int64_t next;

	control_group_read(&h->control->groups[0], read_next_expiry, &next);
	return next <= clock_wall_ms();
}

static void open_lot(hub_t *h, const hub_origin_t *from, const wire_lot_open_t *m)
{
	wire_lot_open_t o = *m;
	const route_spec_t *r = NULL;
	int64_t wall = clock_wall_ms();
	status_t st;

	if (h->routes && o.items.items_len > 0)
		r = route_table_match(h->routes, wire_str(o.host),
				      wire_str(o.items.items_val[0].path));
	if (!r || r->kind != ROUTE_BATCH) {
		hub_reply_status(h, from,
				 status_fail(STATUS_UNAVAILABLE, "no batch route matches the lot"));
		return;
	}
	if (h->batch.bytes > COMMIT_BYTES) {
		hub_reply_status(
			h, from,
			status_fail(STATUS_UNAVAILABLE, "too many bytes wait for the log"));
		return;
	}
	st = hub_lots_check_open(h, from, m);
	if (st == STATUS_NOT_FOUND)
		st = hub_lots_check_memory(h, wire_str(o.lot),
					   xdr_sizeof(XDR_PROC(wire_lot_open_t), (void *)m));
	if (st != STATUS_OK) {
		hub_reply_status(h, from, st);
		return;
	}
	o.quota = (uint64_t)r->waiting_tokens_max;
	o.due_wall_ms = wall + r->due_ms;
	o.drop_wall_ms = wall + r->retention_ms + DROP_MARGIN_MS;
	o.forget_wall_ms = wall + h->control->settings.lot_ttl_ms + DROP_MARGIN_MS;
	if (o.forget_wall_ms < o.drop_wall_ms)
		o.forget_wall_ms = o.drop_wall_ms;
	add_lot_open(h, from, &o);
	hub_lots_commit(h);
}

static void end_lot(hub_t *h, const hub_origin_t *from, str_t lot)
{
	status_t st = hub_lots_check_access(h, from, lot);

	if (st == STATUS_UNAVAILABLE) {
		hub_reply_status(h, from, st);
		return;
	}
	add_lot_end(h, from, lot);
	hub_lots_commit(h);
}

void hub_lots_handle_call(hub_t *h, const hub_origin_t *from, const link_call_arg_t *arg)
{
	switch (arg->kind) {
	case LINK_CALL_LOT_OPEN:
		open_lot(h, from, &arg->link_call_arg_t_u.open);
		break;
	case LINK_CALL_LOT_END:
		end_lot(h, from, wire_str(arg->link_call_arg_t_u.job));
		break;
	default:
		hub_lots_read(h, from, arg);
		break;
	}
}

void hub_lots_tick(hub_t *h, deadline_t now)
{
	hub_lots_wake_readers(h, now);
	hub_lots_commit(h);
	if (now < h->next_lots_sync)
		return;
	h->next_lots_sync = now + SYNC_MS;
	commit_batch(h, has_expired_lots(h));
	hub_items_sync(h);
}

void hub_lots_stop_leading(hub_t *h)
{
	hub_lots_refuse_readers(h);
	/* The batch was not proposed, so none of its calls took effect. */
	for (u_int i = 0; i < h->batch.cmd.opens.opens_len; i++)
		hub_reply_status(
			h, &h->batch.open_origins[i],
			status_fail(STATUS_UNAVAILABLE, "this process is no longer the leader"));
	for (u_int i = 0; i < h->batch.cmd.ends.ends_len; i++)
		hub_reply_status(
			h, &h->batch.end_origins[i],
			status_fail(STATUS_UNAVAILABLE, "this process is no longer the leader"));
	batch_free(&h->batch);
}
