#include "entry/completion.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "base/metric.h"
#include "entry/admission.h"
#include "entry/attempt_start.h"
#include "entry/ledger_client.h"
#include "entry/inflight.h"
#include "policy/retry.h"

#define TRIED_MAX	   8 /* replicas that the next pick leaves out, at most */
#define LOST_REPLICAS_MAX  3 /* lost, stalled or crossed attempts after which a request fails */
#define REFUSALS_MAX	   3 /* refusals with a retry_after_ms after which one without tokens fails */
#define PICK_PAUSE_MS	   20
#define RESUME_TIMEOUT_MS  30000 /* when resuming: to find a replica, then to its first token */
#define THREAD_STACK_BYTES (256 << 10)
#define RETRY_AFTER_MS	   1000

struct completion {
	atomic_int refs;
	entry_ctx_t *en;
	uint64_t session; /* session under which the request was accepted */
	char *caller;
	char *key;
	char *service;
	char *model;
	char *prompt;
	size_t prompt_n;
	unsigned max_tokens;
	deadline_t deadline;
	trace_span_t span;
	char trace[TRACE_PARENT_BYTES];
	pthread_mutex_t lock; /* guards all below */
	pthread_cond_t cond;
	unsigned attempt; /* number of the current attempt; tokens of earlier ones are dropped */
	bool attempt_ended;
	attempt_outcome_t end_outcome;
	int64_t end_retry_after_ms;
	buf_t end_message;
	unsigned ntokens;
	buf_t text;
	buf_t events; /* events that the caller's connection has not read */
	bool ended;
	completion_outcome_t outcome;
	buf_t message;
	buf_t result;
	/* the fields below are used by run_thread only */
	upstream_t *tried[TRIED_MAX];
	size_t ntried;
	int nlost;
	int nrefused;
};

/* Context of an attempt's callbacks. A late callback of an earlier attempt changes nothing, because
 * its number differs from completion.attempt. */
typedef struct {
	completion_t *r;
	unsigned attempt;
} attempt_ctx_t;

static completion_t *take_ref(completion_t *r)
{
	atomic_fetch_add(&r->refs, 1);
	return r;
}

void completion_unref(completion_t *r)
{
	if (atomic_fetch_sub(&r->refs, 1) != 1)
		return;
	free(r->caller);
	free(r->key);
	free(r->service);
	free(r->model);
	free(r->prompt);
	buf_free(&r->end_message);
	buf_free(&r->text);
	buf_free(&r->events);
	buf_free(&r->message);
	buf_free(&r->result);
	pthread_cond_destroy(&r->cond);
	pthread_mutex_destroy(&r->lock);
	free(r);
}

static void append_token_event(completion_t *r, unsigned index, str_t text)
{
	buf_add(&r->events, STR("data: {\"id\":"));
	buf_add_json(&r->events, str_c(r->key));
	buf_addf(&r->events, ",\"index\":%u,\"choices\":[{\"index\":0,\"text\":", index);
	buf_add_json(&r->events, text);
	buf_add(&r->events, STR("}]}\n\n"));
}

static void on_token(void *ctx, unsigned index, str_t text)
{
	attempt_ctx_t *a = ctx;
	completion_t *r = a->r;

	pthread_mutex_lock(&r->lock);
	if (a->attempt != r->attempt || r->attempt_ended || index != r->ntokens) {
		METRIC_INC("auburn_late_tokens_dropped_total");
	} else {
		if (r->ntokens++ == 0)
			metric_record(metric_get(METRIC_HISTOGRAM, "auburn_first_token_us", NULL),
				      clock_now_us() - r->span.start_us);
		buf_add(&r->text, text);
		append_token_event(r, index, text);
		pthread_cond_broadcast(&r->cond);
	}
	pthread_mutex_unlock(&r->lock);
}

static void on_attempt_end(void *ctx, const attempt_end_t *end)
{
	attempt_ctx_t *a = ctx;
	completion_t *r = a->r;

	pthread_mutex_lock(&r->lock);
	if (a->attempt == r->attempt) {
		r->attempt_ended = true;
		r->end_outcome = end->outcome;
		r->end_retry_after_ms = end->retry_after_ms;
		buf_free(&r->end_message);
		buf_add(&r->end_message, end->message);
		pthread_cond_broadcast(&r->cond);
	}
	pthread_mutex_unlock(&r->lock);
	completion_unref(r);
	free(a);
}

static void run_attempt(completion_t *r, const upstream_choice_t *c)
{
	attempt_ctx_t *a = mem_new(sizeof(*a));
	attempt_sink_t sink = {a, on_token, on_attempt_end};
	attempt_params_t params = {.cls = OWNER_ONLINE,
				   .deadline = r->deadline,
				   .max_tokens = r->max_tokens,
				   .caller = str_c(r->caller),
				   .key = str_c(r->key),
				   .service = str_c(r->service),
				   .model = str_c(r->model),
				   .prompt = {r->prompt, r->prompt_n},
				   .trace = str_c(r->trace)};
	attempt_handle_t h;

	pthread_mutex_lock(&r->lock);
	r->attempt++;
	r->attempt_ended = false;
	params.resume_from = r->ntokens;
	if (r->ntokens)
		params.deadline = clock_now_ms() + RESUME_TIMEOUT_MS;
	pthread_mutex_unlock(&r->lock);
	*a = (attempt_ctx_t){take_ref(r), r->attempt};
	if (params.resume_from) {
		log_event(LOG_LEVEL_INFO, "resumed", LOG_CSTR("key", r->key),
			  LOG_CSTR("upstream", c->id), LOG_INT("from", params.resume_from));
		METRIC_INC("auburn_resumed_total");
	}
	attempt_start(r->en, c, &params, &sink, &h);
	pthread_mutex_lock(&r->lock);
	while (!r->attempt_ended)
		pthread_cond_wait(&r->cond, &r->lock);
	pthread_mutex_unlock(&r->lock);
	attempt_release(&h);
}

static void set_outcome(completion_t *r, int http_status, verdict_t verdict, const char *code,
			str_t message, int64_t retry_after_ms)
{
	buf_free(&r->message);
	buf_add(&r->message, message);
	r->outcome = (completion_outcome_t){.ok = code == NULL,
					    .http_status = http_status,
					    .verdict = verdict,
					    .code = code,
					    .retry_after_ms = retry_after_ms};
}

/* Fails the request with code no_replica. The verdict is may_have_run if an earlier attempt got
 * tokens or was lost, stalled or crossed. */
static void fail_without_replica(completion_t *r, str_t message, int64_t retry_after_ms)
{
	verdict_t v = r->ntokens || r->nlost ? VERDICT_MAY_HAVE_RUN : VERDICT_NOT_RUN;

	set_outcome(r, 503, v, "no_replica", message,
		    retry_after_ms > 0 ? retry_after_ms : RETRY_AFTER_MS);
}

/* Time until which run_attempts looks for a replica. last_end: when the last attempt ended. */
static deadline_t placement_deadline(const completion_t *r, deadline_t last_end)
{
	return r->ntokens ? last_end + RESUME_TIMEOUT_MS : r->deadline;
}

static bool pick_replica(completion_t *r, upstream_choice_t *c, deadline_t until)
{
	while (!upstream_pick(r->en->upstreams, str_c(r->service), (str_t){r->prompt, r->prompt_n},
			      r->tried, r->ntried, c)) {
		if (clock_now_ms() >= until)
			return false;
		r->ntried = 0; /* no untried replica is usable: try all again after a pause */
		clock_sleep_ms(PICK_PAUSE_MS);
	}
	return true;
}

/* Returns true if the request may go on with another attempt. Else sets the outcome, except when
 * the retry budget is used up. */
static bool handle_failed_attempt(completion_t *r, const upstream_choice_t *c)
{
	log_event(LOG_LEVEL_INFO, "retried", LOG_CSTR("key", r->key), LOG_CSTR("upstream", c->id),
		  LOG_CSTR("ended", attempt_outcome_name(r->end_outcome)),
		  LOG_INT("tokens", r->ntokens), LOG_STR("message", str_buf(&r->end_message)));
	if (r->ntried == TRIED_MAX)
		r->ntried = 0;
	r->tried[r->ntried++] = c->upstream;
	switch (r->end_outcome) {
	case ATTEMPT_REJECTED:
		set_outcome(r, 422, VERDICT_NOT_RUN, "rejected", str_buf(&r->end_message), 0);
		return false;
	case ATTEMPT_REFUSED:
		r->nrefused += r->end_retry_after_ms > 0;
		if (r->nrefused < REFUSALS_MAX || r->ntokens)
			return true;
		fail_without_replica(r, str_buf(&r->end_message), r->end_retry_after_ms);
		return false;
	case ATTEMPT_UNREACHED:
	case ATTEMPT_PREEMPTED:
	case ATTEMPT_CANCELLED:
		return true;
	default:
		break;
	}
	if (++r->nlost < LOST_REPLICAS_MAX)
		return ledger_client_take_retry(r->en, str_c(r->service));
	set_outcome(r, 502, VERDICT_MAY_HAVE_RUN, "replicas_lost", str_buf(&r->end_message), 0);
	return false;
}

static void run_attempts(completion_t *r)
{
	deadline_t last_end = clock_now_ms();
	upstream_choice_t c;

	for (;;) {
		deadline_t until = placement_deadline(r, last_end);
		bool more;

		if (!pick_replica(r, &c, until)) {
			fail_without_replica(
				r, STR("no replica can start the request before its deadline"),
				r->end_retry_after_ms);
			return;
		}
		run_attempt(r, &c);
		last_end = clock_now_ms();
		if (r->end_outcome == ATTEMPT_DONE) {
			local_replica_unref(c.replica);
			assert(r->ntokens == r->max_tokens);
			set_outcome(r, 200, VERDICT_RAN, NULL, STR(""), 0);
			return;
		}
		more = handle_failed_attempt(r, &c);
		local_replica_unref(c.replica);
		if (!more) {
			if (!r->outcome.code)
				fail_without_replica(r, STR("the retry budget is used up"),
						     RETRY_AFTER_MS);
			return;
		}
		if (r->end_outcome == ATTEMPT_REFUSED &&
		    clock_now_ms() >= placement_deadline(r, last_end)) {
			fail_without_replica(r, str_buf(&r->end_message), r->end_retry_after_ms);
			return;
		}
	}
}

static void write_result(completion_t *r)
{
	if (!r->outcome.ok) {
		ledger_client_error_json(&r->result, r->outcome.code, str_buf(&r->message),
					 r->outcome.verdict, r->outcome.retry_after_ms);
		return;
	}
	buf_add(&r->result, STR("{\"id\":"));
	buf_add_json(&r->result, str_c(r->key));
	buf_add(&r->result, STR(",\"text\":"));
	buf_add_json(&r->result, str_buf(&r->text));
	buf_addf(&r->result, ",\"tokens\":%u,\"verdict\":\"ran\"}", r->ntokens);
}

static void append_final_event(completion_t *r)
{
	if (r->outcome.ok) {
		buf_add(&r->events, STR("data: [DONE]\n\n"));
		return;
	}
	buf_add(&r->events, STR("event: error\ndata: "));
	buf_add(&r->events, str_buf(&r->result));
	buf_add(&r->events, STR("\n\n"));
}

/* Fails the request with verdict may_have_run: under a new session another entry may be running
 * it. */
static void fail_session_lost(completion_t *r)
{
	set_outcome(r, 503, VERDICT_MAY_HAVE_RUN, "session_lost",
		    STR("another entry may have taken the request over: retry with the same key"),
		    RETRY_AFTER_MS);
	buf_free(&r->result);
	write_result(r);
}

/* Replaces the outcome after a conflict (ledger_client_finish) by the ledger's record. The result
 * of a stored success is not sent to the caller, because it may not continue the tokens already
 * sent. A record that has not ended, because another entry runs the request or will run it, reads
 * as a failure. */
static void adopt_stored_record(completion_t *r, const ledger_client_end_t *stored)
{
	buf_free(&r->result);
	if (stored->done) {
		set_outcome(r, 409, VERDICT_RAN, "superseded",
			    STR("the ledger holds another entry's result: retry with the same key"),
			    RETRY_AFTER_MS);
		write_result(r);
		return;
	}
	set_outcome(r, stored->http_status, stored->verdict, "ended_elsewhere",
		    STR("another entry ended the request"), 0);
	buf_add(&r->result, str_buf(&stored->result));
}

static void commit_end(completion_t *r)
{
	const ledger_client_finish_t f = {.caller = str_c(r->caller),
					  .key = str_c(r->key),
					  .done = r->outcome.ok,
					  .verdict = r->outcome.verdict,
					  .http_status = r->outcome.http_status,
					  .result = str_buf(&r->result)};
	ledger_client_end_t stored = {0};
	status_t st;

	/* Under a new session another entry may run the request, so a failure here must not be
	 * committed as its end. */
	if (!r->outcome.ok && entry_session(r->en->snapshot) != r->session) {
		fail_session_lost(r);
		return;
	}
	st = ledger_client_finish(r->en, &f, &stored);
	if (st == STATUS_OK)
		return;
	if (st == STATUS_CONFLICT) {
		adopt_stored_record(r, &stored);
		buf_free(&stored.result);
		return;
	}
	log_event(LOG_LEVEL_ERROR, "result_not_committed", LOG_CSTR("key", r->key),
		  LOG_CSTR("message", status_message()));
	if (!r->outcome.ok)
		return;
	set_outcome(r, 503, VERDICT_MAY_HAVE_RUN, "result_not_committed",
		    STR("the result is not committed yet: retry with the same key"),
		    RETRY_AFTER_MS);
	buf_free(&r->result);
	write_result(r);
}

static void *run_thread(void *arg)
{
	completion_t *r = arg;

	run_attempts(r);
	write_result(r);
	commit_end(r);
	pthread_mutex_lock(&r->lock);
	r->outcome.message = str_buf(&r->message);
	r->outcome.result = str_buf(&r->result);
	append_final_event(r);
	r->ended = true;
	pthread_cond_broadcast(&r->cond);
	pthread_mutex_unlock(&r->lock);
	trace_end(&r->span, str_c(r->key), r->outcome.ok ? "done" : r->outcome.code);
	inflight_remove(str_c(r->caller), str_c(r->key));
	admission_leave(r->en->admission, str_c(r->service));
	atomic_fetch_sub(&r->en->running_requests, 1);
	completion_unref(r);
	return NULL;
}

completion_t *completion_start(const completion_options_t *o)
{
	completion_t *r = mem_new(sizeof(*r));
	pthread_attr_t attr;
	pthread_t t;

	atomic_init(&r->refs, 2);
	r->en = o->en;
	r->session = entry_session(o->en->snapshot);
	r->caller = str_dup(o->caller);
	r->key = str_dup(o->key);
	r->service = str_dup(o->service);
	r->model = str_dup(o->model);
	r->prompt = str_dup(o->prompt);
	r->prompt_n = o->prompt.n;
	r->max_tokens = o->max_tokens;
	r->deadline = o->deadline;
	r->span = *o->span;
	trace_parent(&r->span, r->trace);
	pthread_mutex_init(&r->lock, NULL);
	pthread_cond_init(&r->cond, NULL);
	atomic_fetch_add(&r->en->running_requests, 1);
	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, THREAD_STACK_BYTES);
	if (pthread_create(&t, &attr, run_thread, r) != 0)
		abort();
	pthread_attr_destroy(&attr);
	return r;
}

void completion_stream_open(completion_t *r)
{
	atomic_fetch_add(&r->en->open_streams, 1);
}

void completion_stream_close(completion_t *r)
{
	atomic_fetch_sub(&r->en->open_streams, 1);
	completion_unref(r);
}

bool completion_wait_first(completion_t *r)
{
	bool any;

	pthread_mutex_lock(&r->lock);
	while (!r->ended && r->ntokens == 0)
		pthread_cond_wait(&r->cond, &r->lock);
	any = r->ntokens > 0;
	pthread_mutex_unlock(&r->lock);
	return any;
}

size_t completion_read(completion_t *r, char *out, size_t max)
{
	size_t n;

	pthread_mutex_lock(&r->lock);
	while (!r->ended && r->events.n == 0)
		pthread_cond_wait(&r->cond, &r->lock);
	n = r->events.n < max ? r->events.n : max;
	if (n)
		memcpy(out, r->events.p, n);
	buf_drop_front(&r->events, n);
	pthread_mutex_unlock(&r->lock);
	return n;
}

void completion_wait_end(completion_t *r, completion_outcome_t *out)
{
	pthread_mutex_lock(&r->lock);
	while (!r->ended)
		pthread_cond_wait(&r->cond, &r->lock);
	*out = r->outcome;
	pthread_mutex_unlock(&r->lock);
}
