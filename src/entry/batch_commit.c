#include "entry/batch_internal.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include "base/log.h"
#include "base/metric.h"
#include "entry/inflight.h"

#define COMMIT_ITEMS_MAX  64
#define COMMIT_WAIT_MS	  50
#define COMMIT_TIMEOUT_MS 3000
#define RETRY_PAUSE_MS	  50
#define CANCEL_POLL_MS	  500
#define NS_PER_MS	  1000000
#define NS_PER_S	  1000000000

static void free_finished_items(batch_runner_t *b, batch_item_t *list)
{
	batch_item_t *it;
	batch_item_t *next;

	DL_FOREACH_SAFE(list, it, next)
	{
		if (it->key_held)
			inflight_remove(str_c(it->caller), str_c(it->key));
		batch_item_free(it);
		pthread_mutex_lock(&b->lock);
		b->held--;
		pthread_mutex_unlock(&b->lock);
	}
}

static unsigned count_items(const batch_item_t *list)
{
	const batch_item_t *it;
	unsigned n = 0;

	DL_FOREACH (list, it)
		n++;
	return n;
}

static bool ledger_answered(status_t st)
{
	return st != STATUS_UNAVAILABLE && st != STATUS_TIMEOUT && st != STATUS_NOT_LEADER;
}

static void fill_results(wire_done_t *d, batch_item_t *list, uint64_t session)
{
	batch_item_t *it;

	d->session = session;
	d->now_wall_ms = clock_wall_ms();
	DL_FOREACH (list, it) {
		d->results.results_val[d->results.results_len++] =
			(wire_item_result_t){.caller = wire_bytes(str_c(it->caller)),
					     .job = wire_bytes(str_c(it->job)),
					     .key = wire_bytes(str_c(it->key)),
					     .index = it->index,
					     .attempt = it->attempt,
					     .done = it->done,
					     .blame = it->blame,
					     .body = wire_bytes(str_buf(&it->result))};
	}
}

/* Cancels the items of the jobs that the ledger reports as cancelled. */
static void cancel_reported_jobs(batch_runner_t *b, const wire_ledger_res_t *res)
{
	for (u_int i = 0; i < res->cancelled.cancelled_len; i++)
		batch_cancel_job(b, wire_str(res->cancelled.cancelled_val[i].caller),
				 wire_str(res->cancelled.cancelled_val[i].job));
}

/* Commits the results of items in one command, under the session that leased the first of them.
 * Retries until the ledger has answered or that session has ended, because the ledger takes no
 * results from an ended session. */
static void commit_items(batch_group_t *g, batch_item_t *list, unsigned n)
{
	uint64_t session = list ? list->session : entry_session(g->b->en->snapshot);
	wire_ledger_cmd_t cmd = {.kind = WIRE_LEDGER_DONE};
	wire_done_t *d = &cmd.wire_ledger_cmd_t_u.done;
	status_t st = STATUS_TIMEOUT;

	d->results.results_val = mem_new(n * sizeof(wire_item_result_t));
	fill_results(d, list, session);
	while (!ledger_answered(st) && session == entry_session(g->b->en->snapshot)) {
		wire_ledger_res_t res = {0};

		st = control_client_ledger_group(g->b->en->control_client, g->group, &cmd, &res,
						 clock_now_ms() + COMMIT_TIMEOUT_MS);
		if (st == STATUS_OK)
			cancel_reported_jobs(g->b, &res);
		wire_free(XDR_PROC(wire_ledger_res_t), &res);
		if (!ledger_answered(st))
			clock_sleep_ms(RETRY_PAUSE_MS);
	}
	if (st != STATUS_OK)
		log_event(LOG_LEVEL_WARN, "results_not_committed", LOG_INT("items", n),
			  LOG_CSTR("status", status_name(st)));
	free(d->results.results_val);
}

/* Waits for COMMIT_ITEMS_MAX finished items of the group, at most COMMIT_WAIT_MS, and returns all
 * finished items; NULL if there are none. */
static batch_item_t *wait_for_results(batch_group_t *g)
{
	batch_runner_t *b = g->b;
	struct timespec until;
	batch_item_t *list;

	clock_gettime(CLOCK_MONOTONIC, &until);
	until.tv_nsec += (long)COMMIT_WAIT_MS * NS_PER_MS;
	until.tv_sec += until.tv_nsec / NS_PER_S;
	until.tv_nsec %= NS_PER_S;
	pthread_mutex_lock(&b->lock);
	while (b->nresults[g->group] < COMMIT_ITEMS_MAX)
		if (pthread_cond_timedwait(&b->results_ready, &b->lock, &until) != 0)
			break;
	list = b->results[g->group];
	b->results[g->group] = NULL;
	b->nresults[g->group] = 0;
	pthread_mutex_unlock(&b->lock);
	return list;
}

void *batch_group_thread(void *arg)
{
	batch_group_t *g = arg;
	deadline_t next_poll = 0;

	for (;;) {
		batch_item_t *list = wait_for_results(g);

		if (list) {
			commit_items(g, list, count_items(list));
			free_finished_items(g->b, list);
		} else if (batch_held(g->b) && clock_now_ms() >= next_poll &&
			   entry_lease_valid(g->b->en->snapshot)) {
			/* The answer to an empty commit lists the cancelled jobs. */
			commit_items(g, NULL, 0);
			next_poll = clock_now_ms() + CANCEL_POLL_MS;
		}
		if (entry_lease_valid(g->b->en->snapshot))
			batch_lease_items(g);
	}
	return NULL;
}
