#include "entry/filter.h"

#include <stdlib.h>
#include "base/log.h"
#include "base/metric.h"
#include "entry/ledger_client.h"
#include "entry/inflight.h"

#define ACCEPT_TIMEOUT_MS 3000
#define RETRY_AFTER_MS	  1000

static status_t commit_acceptance(filter_call_t *c, wire_ledger_res_t *res)
{
	char trace[TRACE_PARENT_BYTES];
	trace_span_t sp;
	status_t st;
	ledger_client_accept_t a = {
		.caller = c->caller,
		.key = str_c(c->key),
		.digest = c->digest,
		.service = str_c(c->service->name),
		.repeatable = c->service->kind == CONFIG_ENGINE || c->service->repeatable,
		.deadline_wall_ms = clock_wall_ms() + clock_left_ms(c->deadline),
		.path = c->upstream_path,
		.body = httpd_body(c->req)};

	trace_parent(&c->span, trace);
	a.trace = str_c(trace);
	trace_begin(&sp, "accept", a.trace);
	st = ledger_client_accept(c->en, &a, res, clock_now_ms() + ACCEPT_TIMEOUT_MS);
	trace_end(&sp, a.key, status_name(st));
	return st;
}

typedef struct {
	entry_ctx_t *en;
	uint64_t session;
	char *caller;
	char *key;
} unconfirmed_t;

static void *end_unconfirmed_thread(void *arg)
{
	unconfirmed_t *a = arg;
	AUTO_BUF result = {0};
	ledger_client_end_t stored = {0};
	ledger_client_finish_t f = {.caller = str_c(a->caller),
				    .key = str_c(a->key),
				    .verdict = VERDICT_NOT_RUN,
				    .http_status = 503};

	ledger_client_error_json(&result, "accept_timeout",
				 STR("the acceptance was not confirmed in time"), VERDICT_NOT_RUN,
				 RETRY_AFTER_MS);
	f.result = str_buf(&result);
	/* Under a new session another entry may run the request. */
	if (entry_session(a->en->snapshot) == a->session)
		ledger_client_finish(a->en, &f, &stored);
	buf_free(&stored.result);
	inflight_remove(f.caller, f.key);
	atomic_fetch_sub(&a->en->running_requests, 1);
	free(a->caller);
	free(a->key);
	free(a);
	return NULL;
}

/* The acceptance may have been committed although its commit timed out. Starts a thread that
 * commits "not run" as the request's end, because this entry does not run it; so no entry runs the
 * request later. Until that commit another entry may take the request over, so the reply says
 * may_have_run. */
static void end_unconfirmed(filter_call_t *c)
{
	unconfirmed_t *a = mem_new(sizeof(*a));
	pthread_t t;

	a->en = c->en;
	a->session = entry_session(c->en->snapshot);
	a->caller = str_dup(c->caller);
	a->key = str_dup(str_c(c->key));
	c->key_held = false;
	atomic_fetch_add(&c->en->running_requests, 1);
	if (pthread_create(&t, NULL, end_unconfirmed_thread, a) != 0)
		abort();
	pthread_detach(t);
}

/* Acts on the ledger's answer: continues the chain if this call is to run the request, waits if
 * another call or entry runs it, replays a stored end, or refuses. */
static void handle_record(filter_call_t *c, const wire_ledger_res_t *res, const filter_step_t *next)
{
	const wire_record_t *r = &res->record;
	bool own = r->session == entry_session(c->en->snapshot);

	if (res->status == STATUS_CONFLICT) {
		filter_refuse(c, 409, "key_conflict", STR("the key was used for another request"),
			      0);
	} else if (res->status != STATUS_OK) {
		filter_refuse(c, 503, "ledger", wire_str(res->message), RETRY_AFTER_MS);
	} else if (r->state == WIRE_ACCEPTED && c->key_held && (r->fresh || own)) {
		filter_next(c, next);
	} else if (r->state == WIRE_ACCEPTED || r->state == WIRE_ATTEMPTED) {
		filter_await_end(c);
	} else {
		filter_replay(c, r);
	}
}

/* Unless the ledger was unavailable, the acceptance may be committed, and then another entry may
 * run the request. */
static void refuse_uncommitted(filter_call_t *c, status_t st)
{
	AUTO_BUF why = {0};

	if (st == STATUS_UNAVAILABLE) {
		filter_refuse(c, 503, "ledger_unreachable", str_c(status_message()),
			      RETRY_AFTER_MS);
		return;
	}
	buf_addf(&why, "the ledger did not confirm the acceptance, retry with the same key: %s",
		 status_message());
	log_event(LOG_LEVEL_WARN, "acceptance_unknown", LOG_CSTR("key", c->key),
		  LOG_CSTR("status", status_name(st)));
	httpd_error(c->res, 503, "acceptance_unknown", str_buf(&why), VERDICT_MAY_HAVE_RUN,
		    RETRY_AFTER_MS);
	trace_end(&c->span, str_c(c->key), "acceptance_unknown");
	if (c->key_held)
		end_unconfirmed(c);
}

void filter_accept(filter_call_t *c, const filter_step_t *next)
{
	wire_ledger_res_t res = {0};
	status_t st = commit_acceptance(c, &res);

	if (st == STATUS_OK) {
		handle_record(c, &res, next);
	} else {
		refuse_uncommitted(c, st);
	}
	wire_free(XDR_PROC(wire_ledger_res_t), &res);
}
