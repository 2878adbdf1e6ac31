#include "entry/fi.h"

#include <stdlib.h>
#include "base/lg.h"
#include "base/mx.h"
#include "entry/lc.h"
#include "entry/rk.h"

#define ACCEPT_MS	 3000
#define TIMEOUT_RETRY_MS 1000

static status_t accept_call(fi_call_t *c, aw_ledger_res_t *res)
{
	char trace[TR_PARENT_BYTES];
	tr_span_t sp;
	status_t st;
	lc_accept_t a = {.caller = c->caller,
			 .key = str_c(c->key),
			 .digest = c->digest,
			 .service = str_c(c->service->name),
			 .repeatable = c->service->kind == TX_ENGINE || c->service->repeatable,
			 .deadline_wall_ms = clk_wall_ms() + clk_left_ms(c->deadline),
			 .path = c->path,
			 .body = hs_body(c->req)};

	tr_parent(&c->span, trace);
	a.trace = str_c(trace);
	tr_begin(&sp, "accept", a.trace);
	st = lc_accept(c->en, &a, res, clk_now_ms() + ACCEPT_MS);
	tr_end(&sp, a.key, st_name(st));
	return st;
}

typedef struct {
	en_t *en;
	uint64_t session;
	char *caller;
	char *key;
} abandon_t;

static void *abandon_thread(void *arg)
{
	abandon_t *a = arg;
	AUTO_BUF result = {0};
	lc_end_t standing = {0};
	lc_finish_t f = {.caller = str_c(a->caller),
			 .key = str_c(a->key),
			 .verdict = VERDICT_NOT_RUN,
			 .http_status = 503};

	lc_error_json(&result, "accept_timeout", STR("the acceptance was not confirmed in time"),
		      VERDICT_NOT_RUN, TIMEOUT_RETRY_MS);
	f.result = str_buf(&result);
	/* In a later session the record may be another entry's to run. */
	if (en_session(a->en->snap) == a->session)
		lc_finish(a->en, &f, &standing);
	buf_free(&standing.result);
	rk_drop(f.caller, f.key);
	atomic_fetch_sub(&a->en->requests, 1);
	free(a->caller);
	free(a->key);
	free(a);
	return NULL;
}

/* The record may be there: it is ended as not run, which is true, so that nobody runs it later. */
static void abandon(fi_call_t *c)
{
	abandon_t *a = mem_new(sizeof(*a));
	pthread_t t;

	a->en = c->en;
	a->session = en_session(c->en->snap);
	a->caller = str_dup(c->caller);
	a->key = str_dup(str_c(c->key));
	c->registered = false;
	atomic_fetch_add(&c->en->requests, 1);
	if (pthread_create(&t, NULL, abandon_thread, a) != 0)
		abort();
	pthread_detach(t);
}

static void judge(fi_call_t *c, const aw_ledger_res_t *res, const fi_step_t *next)
{
	const aw_record_t *r = &res->record;
	bool own = r->session == en_session(c->en->snap);

	if (res->status == ST_CONFLICT) {
		fi_refuse(c, 409, "key_conflict", STR("the key stands for another request"), 0);
	} else if (res->status != ST_OK) {
		fi_refuse(c, 503, "ledger", px_str(res->message), TIMEOUT_RETRY_MS);
	} else if (r->state == AW_ACCEPTED && c->registered && (r->fresh || own)) {
		fi_next(c, next);
	} else if (r->state == AW_ACCEPTED || r->state == AW_ATTEMPTED) {
		fi_follow(c);
	} else {
		fi_replay(c, r);
	}
}

/* After a timeout the record may be there, and then another entry may run it. */
static void refuse_unaccepted(fi_call_t *c, status_t st)
{
	AUTO_BUF why = {0};

	if (st == ST_UNAVAILABLE) {
		fi_refuse(c, 503, "ledger_unreachable", str_c(st_message()), TIMEOUT_RETRY_MS);
		return;
	}
	buf_addf(&why, "the acceptance is not known, ask again under the same key: %s",
		 st_message());
	lg(LG_WARN, "acceptance_unknown", LG_C("key", c->key), LG_C("status", st_name(st)));
	hs_error(c->res, 503, "acceptance_unknown", str_buf(&why), VERDICT_MAY_HAVE_RUN,
		 TIMEOUT_RETRY_MS);
	tr_end(&c->span, str_c(c->key), "acceptance_unknown");
	if (c->registered)
		abandon(c);
}

void fi_accept(fi_call_t *c, const fi_step_t *next)
{
	aw_ledger_res_t res = {0};
	status_t st = accept_call(c, &res);

	if (st == ST_OK) {
		judge(c, &res, next);
	} else {
		refuse_unaccepted(c, st);
	}
	px_free(PX(aw_ledger_res_t), &res);
}
