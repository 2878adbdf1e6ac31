#include "entry/bj_impl.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include "base/lg.h"
#include "base/mx.h"
#include "entry/rk.h"

#define DONE_MAX     64
#define DONE_WAIT_MS 50
#define DONE_MS	     3000
#define PAUSE_MS     50
#define PROBE_MS     500
#define NS_PER_MS    1000000
#define NS_PER_S     1000000000

static void free_items(bj_t *b, bj_item_t *list)
{
	bj_item_t *it;
	bj_item_t *next;

	DL_FOREACH_SAFE(list, it, next)
	{
		if (it->key_held)
			rk_drop(str_c(it->caller), str_c(it->key));
		bj_item_free(it);
		pthread_mutex_lock(&b->lock);
		b->held--;
		pthread_mutex_unlock(&b->lock);
	}
}

static unsigned count(const bj_item_t *list)
{
	const bj_item_t *it;
	unsigned n = 0;

	DL_FOREACH (list, it)
		n++;
	return n;
}

static bool is_reached(status_t st)
{
	return st != ST_UNAVAILABLE && st != ST_TIMEOUT && st != ST_NOT_LEADER;
}

static void fill(aw_done_t *d, bj_item_t *list, uint64_t session)
{
	bj_item_t *it;

	d->session = session;
	d->now_wall_ms = clk_wall_ms();
	DL_FOREACH (list, it) {
		d->results.results_val[d->results.results_len++] =
			(aw_item_result_t){.caller = px_bytes(str_c(it->caller)),
					   .job = px_bytes(str_c(it->job)),
					   .key = px_bytes(str_c(it->key)),
					   .index = it->index,
					   .attempt = it->attempt,
					   .done = it->done,
					   .blame = it->blame,
					   .body = px_bytes(str_buf(&it->result))};
	}
}

/* Cancelled jobs that still have items leased to this entry. */
static void take_cancelled(bj_t *b, const aw_ledger_res_t *res)
{
	for (u_int i = 0; i < res->cancelled.cancelled_len; i++)
		bj_cancel(b, px_str(res->cancelled.cancelled_val[i].caller),
			  px_str(res->cancelled.cancelled_val[i].job));
}

/* Commits the results of items; goes on until the ledger has answered, unless the session
 * that leased them is over. */
static void commit_items(bj_group_t *g, bj_item_t *list, unsigned n)
{
	uint64_t session = list ? list->session : en_session(g->b->en->snap);
	aw_ledger_cmd_t cmd = {.kind = AW_LEDGER_DONE};
	aw_done_t *d = &cmd.aw_ledger_cmd_t_u.done;
	status_t st = ST_TIMEOUT;

	d->results.results_val = mem_new(n * sizeof(aw_item_result_t));
	fill(d, list, session);
	while (!is_reached(st) && session == en_session(g->b->en->snap)) {
		aw_ledger_res_t res = {0};

		st = cc_ledger_group(g->b->en->cc, g->group, &cmd, &res, clk_now_ms() + DONE_MS);
		if (st == ST_OK)
			take_cancelled(g->b, &res);
		px_free(PX(aw_ledger_res_t), &res);
		if (!is_reached(st))
			clk_sleep_ms(PAUSE_MS);
	}
	if (st != ST_OK)
		lg(LG_WARN, "results_not_committed", LG_I("items", n), LG_C("status", st_name(st)));
	free(d->results.results_val);
}

/* Waits until results are due to be sent, or a while. */
static bj_item_t *wait_results(bj_group_t *g)
{
	bj_t *b = g->b;
	struct timespec until;
	bj_item_t *list;

	clock_gettime(CLOCK_MONOTONIC, &until);
	until.tv_nsec += (long)DONE_WAIT_MS * NS_PER_MS;
	until.tv_sec += until.tv_nsec / NS_PER_S;
	until.tv_nsec %= NS_PER_S;
	pthread_mutex_lock(&b->lock);
	while (b->nresults[g->group] < DONE_MAX)
		if (pthread_cond_timedwait(&b->ended, &b->lock, &until) != 0)
			break;
	list = b->results[g->group];
	b->results[g->group] = NULL;
	b->nresults[g->group] = 0;
	pthread_mutex_unlock(&b->lock);
	return list;
}

void *bj_group_thread(void *arg)
{
	bj_group_t *g = arg;
	deadline_t probe = 0;

	for (;;) {
		bj_item_t *list = wait_results(g);

		if (list) {
			commit_items(g, list, count(list));
			free_items(g->b, list);
		} else if (bj_held(g->b) && clk_now_ms() >= probe &&
			   en_lease_valid(g->b->en->snap)) {
			commit_items(g, NULL, 0); /* asks which jobs were cancelled */
			probe = clk_now_ms() + PROBE_MS;
		}
		if (en_lease_valid(g->b->en->snap))
			bj_lease(g);
	}
	return NULL;
}
