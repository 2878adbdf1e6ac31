#include "entry/batch_internal.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include "base/log.h"
#include "base/metric.h"
#include "entry/ledger_client.h"
#include "entry/plain_call.h"
#include "entry/inflight.h"
#include "state/ledger.h"

#define LEASE_TIMEOUT_MS	3000
#define BACKOFF_MIN_MS		50
#define BACKOFF_MAX_MS		500
#define PLAIN_LEASE_INTERVAL_MS 1000
#define PLAIN_ITEMS_MAX		4
#define PREFETCH_DIVISOR	4 /* leases items for a quarter of the slots beyond the headroom */
#define PLAIN_TIMEOUT_MS	30000 /* for a plain call whose entry was lost */

/* The ledger takes back the items of a session that has ended. So after a change of session the
 * waiting items are dropped, and the running ones are marked as cancelled, so that they are not
 * queued again. */
static void handle_session_change(batch_runner_t *b)
{
	uint64_t session = entry_session(b->en->snapshot);
	batch_item_t *it;
	batch_item_t *next;

	pthread_mutex_lock(&b->lock);
	if (b->session != session) {
		b->session = session;
		for (size_t i = 0; i < b->nservices; i++)
			memset(b->services[i].lease_seq, 0, sizeof(b->services[i].lease_seq));
		DL_FOREACH_SAFE(b->waiting, it, next)
		{
			DL_DELETE(b->waiting, it);
			batch_service_get(b, it->service)->waiting--;
			batch_item_finish(b, it, false, WIRE_BLAME_NONE, STR("the session ended"));
		}
		DL_FOREACH (b->running, it)
			it->cancelled = true;
	}
	pthread_mutex_unlock(&b->lock);
}

static void *plain_call_thread(void *arg)
{
	batch_item_t *it = arg;
	batch_runner_t *b = it->b;
	plain_call_t c = {.caller = str_c(it->caller),
			  .key = str_c(it->key),
			  .service = it->service,
			  .repeatable = it->repeatable,
			  .path = str_c(it->path),
			  .body = {it->body, it->body_n},
			  .trace = str_c(it->trace),
			  .deadline = clock_now_ms() + PLAIN_TIMEOUT_MS};
	plain_call_end_t end = {0};

	plain_call_run(b->en, &c, &end);
	buf_free(&end.result);
	inflight_remove(c.caller, c.key);
	batch_item_free(it);
	pthread_mutex_lock(&b->lock);
	b->held--;
	pthread_mutex_unlock(&b->lock);
	return NULL;
}

static void start_plain_call(batch_item_t *it)
{
	pthread_t t;

	if (pthread_create(&t, NULL, plain_call_thread, it) != 0)
		abort();
	pthread_detach(t);
}

/* Queues a leased item, or starts it at once if it is a plain call. */
static void add_leased_item(batch_group_t *g, const char *service, bool plain, const wire_item_t *a)
{
	batch_runner_t *b = g->b;
	batch_item_t *it;
	bool run = false;

	it = batch_item_new(b, g->group, service, a);
	if (it->job[0] == 0)
		it->key_held = inflight_add(str_c(it->caller), str_c(it->key));
	if (it->key_held)
		log_event(LOG_LEVEL_INFO, "request_taken_over", LOG_CSTR("key", it->key),
			  LOG_CSTR("service", service));
	pthread_mutex_lock(&b->lock);
	b->held++;
	/* If a request with this key runs here already, the item is returned to the ledger, which
	 * leases it out again until that request has committed its end. So the item still runs if
	 * that request ends without a commit. */
	if (it->job[0] == 0 && !it->key_held)
		batch_item_finish(b, it, false, WIRE_BLAME_NONE,
				  STR("already running in this entry"));
	else if (!plain)
		batch_item_enqueue(b, it);
	else
		run = true;
	pthread_mutex_unlock(&b->lock);
	if (run)
		start_plain_call(it);
}

static unsigned add_leased_items(batch_group_t *g, const char *service, bool plain,
				 const wire_ledger_res_t *res)
{
	for (u_int i = 0; i < res->items.items_len; i++)
		add_leased_item(g, service, plain, &res->items.items_val[i]);
	for (u_int i = 0; i < res->cancelled.cancelled_len; i++)
		batch_cancel_job(g->b, wire_str(res->cancelled.cancelled_val[i].caller),
				 wire_str(res->cancelled.cancelled_val[i].job));
	return res->items.items_len;
}

/* Returns the number of items leased. The sequence number advances only after an answer: a command
 * with the same number makes the ledger repeat an answer that was lost. */
static unsigned request_lease(batch_group_t *g, batch_service_t *s, const char *service, bool plain,
			      unsigned max)
{
	batch_runner_t *b = g->b;
	wire_ledger_cmd_t cmd = {.kind = WIRE_LEDGER_LEASE};
	wire_ledger_res_t res = {0};
	unsigned n = 0;
	status_t st;

	cmd.wire_ledger_cmd_t_u.lease = (wire_lease_t){.session = b->session,
						       .seq = s->lease_seq[g->group] + 1,
						       .service = wire_bytes(str_c(service)),
						       .max = max,
						       .now_wall_ms = clock_wall_ms()};
	st = control_client_ledger_group(b->en->control_client, g->group, &cmd, &res,
					 clock_now_ms() + LEASE_TIMEOUT_MS);
	if (st == STATUS_OK) {
		s->lease_seq[g->group]++;
		if (res.status == STATUS_OK && b->session == entry_session(b->en->snapshot))
			n = add_leased_items(g, service, plain, &res);
	}
	wire_free(XDR_PROC(wire_ledger_res_t), &res);
	return n;
}

/* Returns the name of service i and sets *max if the group's thread should now lease items for the
 * service; else returns NULL. *max is the group's part of the items that the service lacks. Sets
 * *plain in any case. */
static const char *service_to_lease(batch_group_t *g, size_t i, unsigned *max, bool *plain)
{
	batch_runner_t *b = g->b;
	const char *name = NULL;
	batch_service_t *s;
	unsigned target;
	unsigned groups = control_client_groups(b->en->control_client);

	pthread_mutex_lock(&b->lock);
	s = &b->services[i];
	*plain = s->plain;
	target = s->plain ? PLAIN_ITEMS_MAX
			  : s->headroom + (s->slots + PREFETCH_DIVISOR - 1) / PREFETCH_DIVISOR;
	if (!b->draining && target > s->waiting && s->next_lease[g->group] <= clock_now_ms()) {
		*max = (target - s->waiting + groups - 1) / groups;
		if (*max > LEDGER_LEASE_ITEMS_MAX)
			*max = LEDGER_LEASE_ITEMS_MAX;
		name = s->name;
	}
	pthread_mutex_unlock(&b->lock);
	return name;
}

/* Backs off while a service has no items to lease. Plain services are polled at a fixed
 * interval. */
static void schedule_next_lease(batch_group_t *g, size_t i, unsigned leased)
{
	batch_service_t *s = &g->b->services[i];
	int64_t *backoff = &s->backoff_ms[g->group];

	pthread_mutex_lock(&g->b->lock);
	if (s->plain)
		*backoff = PLAIN_LEASE_INTERVAL_MS;
	else if (leased)
		*backoff = 0;
	else if (*backoff < BACKOFF_MAX_MS)
		*backoff = *backoff ? *backoff * 2 : BACKOFF_MIN_MS;
	s->next_lease[g->group] = clock_now_ms() + *backoff;
	pthread_mutex_unlock(&g->b->lock);
}

void batch_lease_items(batch_group_t *g)
{
	size_t n;

	handle_session_change(g->b);
	pthread_mutex_lock(&g->b->lock);
	n = g->b->nservices;
	pthread_mutex_unlock(&g->b->lock);
	for (size_t i = 0; i < n; i++) {
		unsigned max = 0;
		bool plain = false;
		const char *name = service_to_lease(g, i, &max, &plain);

		if (name)
			schedule_next_lease(g, i,
					    request_lease(g, &g->b->services[i], name, plain, max));
	}
}
