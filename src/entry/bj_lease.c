#include "entry/bj_impl.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include "base/lg.h"
#include "base/mx.h"
#include "entry/lc.h"
#include "entry/ps.h"
#include "entry/rk.h"
#include "state/ld.h"

#define LEASE_MS	 3000
#define PAUSE_MIN_MS	 50
#define PAUSE_MAX_MS	 500
#define PLAIN_PAUSE_MS	 1000
#define PLAIN_ITEMS	 4
#define AHEAD_DIVISOR	 4 /* items held beyond the free room: a quarter of the slots */
#define CALL_DEADLINE_MS 30000

/* A new session: what an earlier one leased was given to others. */
static void check_session(bj_t *b)
{
	uint64_t session = en_session(b->en->snap);
	bj_item_t *it;
	bj_item_t *next;

	pthread_mutex_lock(&b->lock);
	if (b->session != session) {
		b->session = session;
		for (size_t i = 0; i < b->nservices; i++)
			memset(b->services[i].lease_seq, 0, sizeof(b->services[i].lease_seq));
		DL_FOREACH_SAFE(b->waiting, it, next)
		{
			DL_DELETE(b->waiting, it);
			bj_service(b, it->service)->waiting--;
			bj_item_end(b, it, false, AW_BLAME_NONE, STR("its session ended"));
		}
		DL_FOREACH (b->running, it)
			it->cancelled = true;
	}
	pthread_mutex_unlock(&b->lock);
}

static void *plain_thread(void *arg)
{
	bj_item_t *it = arg;
	bj_t *b = it->b;
	ps_call_t c = {.caller = str_c(it->caller),
		       .key = str_c(it->key),
		       .service = it->service,
		       .repeatable = it->repeatable,
		       .path = str_c(it->path),
		       .body = {it->body, it->body_n},
		       .trace = str_c(it->trace),
		       .deadline = clk_now_ms() + CALL_DEADLINE_MS};
	ps_end_t end = {0};

	ps_run(b->en, &c, &end);
	buf_free(&end.result);
	rk_drop(c.caller, c.key);
	bj_item_free(it);
	pthread_mutex_lock(&b->lock);
	b->held--;
	pthread_mutex_unlock(&b->lock);
	return NULL;
}

static void run_plain(bj_item_t *it)
{
	pthread_t t;

	if (pthread_create(&t, NULL, plain_thread, it) != 0)
		abort();
	pthread_detach(t);
}

static void take_item(bj_group_t *g, const char *service, bool plain, const aw_item_t *a)
{
	bj_t *b = g->b;
	bj_item_t *it;
	bool run = false;

	it = bj_item_new(b, g->group, service, a);
	if (it->job[0] == 0)
		it->key_held = rk_hold(str_c(it->caller), str_c(it->key));
	if (it->key_held)
		lg(LG_INFO, "orphan_taken", LG_C("key", it->key), LG_C("service", service));
	pthread_mutex_lock(&b->lock);
	b->held++;
	/* What a call of its caller runs here already is given back, in case that call fails. */
	if (it->job[0] == 0 && !it->key_held)
		bj_item_end(b, it, false, AW_BLAME_NONE, STR("runs here already"));
	else if (!plain)
		bj_item_wait(b, it);
	else
		run = true;
	pthread_mutex_unlock(&b->lock);
	if (run)
		run_plain(it);
}

static unsigned take_answer(bj_group_t *g, const char *service, bool plain,
			    const aw_ledger_res_t *res)
{
	for (u_int i = 0; i < res->items.items_len; i++)
		take_item(g, service, plain, &res->items.items_val[i]);
	for (u_int i = 0; i < res->cancelled.cancelled_len; i++)
		bj_cancel(g->b, px_str(res->cancelled.cancelled_val[i].caller),
			  px_str(res->cancelled.cancelled_val[i].job));
	return res->items.items_len;
}

/* Number of items leased; the same count again after an answer that was lost. */
static unsigned lease(bj_group_t *g, bj_service_t *s, const char *service, bool plain, unsigned max)
{
	bj_t *b = g->b;
	aw_ledger_cmd_t cmd = {.kind = AW_LEDGER_LEASE};
	aw_ledger_res_t res = {0};
	unsigned n = 0;
	status_t st;

	cmd.aw_ledger_cmd_t_u.lease = (aw_lease_t){.session = b->session,
						   .seq = s->lease_seq[g->group] + 1,
						   .service = px_bytes(str_c(service)),
						   .max = max,
						   .now_wall_ms = clk_wall_ms()};
	st = cc_ledger_group(b->en->cc, g->group, &cmd, &res, clk_now_ms() + LEASE_MS);
	if (st == ST_OK) {
		s->lease_seq[g->group]++;
		if (res.status == ST_OK && b->session == en_session(b->en->snap))
			n = take_answer(g, service, plain, &res);
	}
	px_free(PX(aw_ledger_res_t), &res);
	return n;
}

/* How many items to lease now, and of which service; NULL when none are wanted. */
static const char *wanted(bj_group_t *g, size_t i, unsigned *max, bool *plain)
{
	bj_t *b = g->b;
	const char *name = NULL;
	bj_service_t *s;
	unsigned target;
	unsigned groups = cc_groups(b->en->cc);

	pthread_mutex_lock(&b->lock);
	s = &b->services[i];
	*plain = s->plain;
	target = s->plain ? PLAIN_ITEMS : s->room + (s->slots + AHEAD_DIVISOR - 1) / AHEAD_DIVISOR;
	if (!b->draining && target > s->waiting && s->next_lease[g->group] <= clk_now_ms()) {
		*max = (target - s->waiting + groups - 1) / groups;
		if (*max > LD_LEASE_CHUNK_MAX)
			*max = LD_LEASE_CHUNK_MAX;
		name = s->name;
	}
	pthread_mutex_unlock(&b->lock);
	return name;
}

static void set_next(bj_group_t *g, size_t i, unsigned got)
{
	bj_service_t *s = &g->b->services[i];
	int64_t *pause = &s->pause_ms[g->group];

	pthread_mutex_lock(&g->b->lock);
	if (s->plain)
		*pause = PLAIN_PAUSE_MS;
	else if (got)
		*pause = 0;
	else if (*pause < PAUSE_MAX_MS)
		*pause = *pause ? *pause * 2 : PAUSE_MIN_MS;
	s->next_lease[g->group] = clk_now_ms() + *pause;
	pthread_mutex_unlock(&g->b->lock);
}

void bj_lease(bj_group_t *g)
{
	size_t n;

	check_session(g->b);
	pthread_mutex_lock(&g->b->lock);
	n = g->b->nservices;
	pthread_mutex_unlock(&g->b->lock);
	for (size_t i = 0; i < n; i++) {
		unsigned max = 0;
		bool plain = false;
		const char *name = wanted(g, i, &max, &plain);

		if (name)
			set_next(g, i, lease(g, &g->b->services[i], name, plain, max));
	}
}
