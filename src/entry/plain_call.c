#include "entry/plain_call.h"

#include <stdio.h>
#include "base/log.h"
#include "base/metric.h"
#include "base/trace.h"
#include "entry/ledger_client.h"
#include "entry/upstream.h"
#include "policy/retry.h"

#define URL_BYTES	   512
#define HEADER_BYTES	   256
#define COMMIT_DEADLINE_MS 60000
#define COMMIT_TIMEOUT_MS  3000
#define ATTEMPTS_MAX	   4
#define RETRY_PAUSE_MS	   50
#define RETRY_AFTER_MS	   1000
#define HTTP_SERVER_ERROR  500
#define HTTP_UNAVAILABLE   503

/* Commits the start of an unrepeatable call, after which no other entry may send the call. Retries
 * past the call's deadline: a start that was committed unnoticed would leave the record without an
 * end. */
static status_t commit_attempt(entry_ctx_t *en, const plain_call_t *c, uint64_t token)
{
	deadline_t until = clock_now_ms() + COMMIT_DEADLINE_MS;
	wire_ledger_cmd_t cmd = {.kind = WIRE_LEDGER_ATTEMPT};
	status_t st = STATUS_TIMEOUT;

	cmd.wire_ledger_cmd_t_u.attempt = (wire_attempt_t){.caller = wire_bytes(c->caller),
							   .key = wire_bytes(c->key),
							   .token = token,
							   .session = entry_session(en->snapshot),
							   .upstream = wire_bytes(STR(""))};
	while (clock_now_ms() < until) {
		wire_ledger_res_t res = {0};

		st = control_client_ledger(en->control_client, &cmd, &res,
					   clock_now_ms() + COMMIT_TIMEOUT_MS);
		if (st == STATUS_OK)
			st = (status_t)res.status;
		wire_free(XDR_PROC(wire_ledger_res_t), &res);
		if (st != STATUS_UNAVAILABLE && st != STATUS_TIMEOUT && st != STATUS_NOT_LEADER)
			return st;
		clock_sleep_ms(RETRY_PAUSE_MS);
	}
	return st;
}

static fetch_result_t send_call(entry_ctx_t *en, const plain_call_t *c, const char *addr,
				int *status, buf_t *out)
{
	char url[URL_BYTES];
	char key[HEADER_BYTES];
	char trace[HEADER_BYTES];
	char parent[TRACE_PARENT_BYTES];
	trace_span_t sp;
	const char *const headers[] = {"Content-Type: application/json", key, trace, NULL};
	fetch_options_t o = {.method = "POST",
			     .url = url,
			     .body = c->body,
			     .headers = headers,
			     .deadline = c->deadline,
			     .new_connection = !c->repeatable};
	fetch_result_t result;

	trace_begin(&sp, "upstream", c->trace);
	trace_parent(&sp, parent);
	snprintf(url, sizeof(url), "http://%s%.*s", addr, STR_ARG(c->path));
	snprintf(key, sizeof(key), "Idempotency-Key: %.*s", STR_ARG(c->key));
	snprintf(trace, sizeof(trace), "traceparent: %s", parent);
	result = fetch_sync(en->fetch_client, &o, status, out);
	trace_end(&sp, c->key, result == FETCH_FINISHED ? "answered" : "no_answer");
	return result;
}

static void set_failed(plain_call_end_t *end, int status, verdict_t v, const char *code,
		       str_t message)
{
	end->done = false;
	end->http_status = status;
	end->verdict = v;
	end->code = code;
	buf_free(&end->result);
	ledger_client_error_json(&end->result, code, message, v,
				 v == VERDICT_NOT_RUN ? RETRY_AFTER_MS : 0);
}

/* Sets *end from the result of one attempt and returns true; false if the call did not run. */
static bool classify_result(const plain_call_t *c, fetch_result_t result, int status,
			    plain_call_end_t *end)
{
	if (result == FETCH_NOT_SENT)
		return false;
	if (result != FETCH_FINISHED) {
		set_failed(end, 502, VERDICT_MAY_HAVE_RUN, "answer_lost",
			   STR("the service's answer was lost: the call may have run"));
		return true;
	}
	/* With 503 a service states that it did not run the call. */
	if (status == HTTP_UNAVAILABLE)
		return false;
	end->done = true;
	end->http_status = status;
	end->verdict = VERDICT_RAN;
	return true;
}

/* Counts an attempt. Returns true if the call may be sent again, and takes that retry from the
 * service's retry budget. */
static bool may_retry(entry_ctx_t *en, const plain_call_t *c, const plain_call_end_t *end,
		      int *nattempts)
{
	if (end->done || ++*nattempts >= ATTEMPTS_MAX || clock_now_ms() >= c->deadline)
		return false;
	if (!retry_allowed(end->verdict, c->repeatable))
		return false;
	return ledger_client_take_retry(en, str_c(c->service));
}

static void run_attempts(entry_ctx_t *en, const plain_call_t *c, plain_call_end_t *end)
{
	int nattempts = 0;

	do {
		upstream_choice_t choice;
		char addr[64];
		int status = 0;
		fetch_result_t result;

		buf_free(&end->result);
		set_failed(end, 503, VERDICT_NOT_RUN, "no_upstream",
			   STR("no upstream of the service took the call"));
		if (!upstream_pick_plain(en->upstreams, str_c(c->service), &choice, addr)) {
			clock_sleep_ms(RETRY_PAUSE_MS);
			continue;
		}
		buf_free(&end->result);
		result = send_call(en, c, addr, &status, &end->result);
		upstream_record_health(choice.upstream, result == FETCH_FINISHED);
		if (!classify_result(c, result, status, end))
			set_failed(end, 503, VERDICT_NOT_RUN, "refused_by_service",
				   STR("the service did not run the call"));
		log_event(LOG_LEVEL_INFO, "service_call", LOG_STR("key", c->key),
			  LOG_CSTR("upstream", choice.id), LOG_INT("status", status),
			  LOG_CSTR("verdict", verdict_name(end->verdict)));
	} while (may_retry(en, c, end, &nattempts));
}

/* Replaces the end after a conflict (ledger_client_finish) by the ledger's record, because a caller
 * that retries with the same key gets that record too. */
static void adopt_stored_record(plain_call_end_t *end, ledger_client_end_t *stored)
{
	end->done = stored->done;
	end->http_status = stored->http_status;
	end->verdict = stored->verdict;
	end->code = "ended_elsewhere";
	buf_free(&end->result);
	end->result = stored->result;
}

status_t plain_call_run(entry_ctx_t *en, const plain_call_t *c, plain_call_end_t *end)
{
	ledger_client_finish_t f = {.caller = c->caller, .key = c->key};
	ledger_client_end_t stored = {0};
	status_t st = STATUS_OK;

	if (!c->repeatable)
		st = commit_attempt(en, c, entry_random() | 1);
	if (st != STATUS_OK)
		return st;
	if (clock_now_ms() < c->deadline)
		run_attempts(en, c, end);
	else
		set_failed(end, 504, VERDICT_NOT_RUN, "deadline", STR("the deadline has passed"));
	f.done = end->done;
	f.verdict = end->verdict;
	f.http_status = end->http_status;
	f.result = str_buf(&end->result);
	st = ledger_client_finish(en, &f, &stored);
	if (st == STATUS_OK)
		return STATUS_OK;
	if (st == STATUS_CONFLICT) {
		adopt_stored_record(end, &stored);
		return STATUS_OK;
	}
	log_event(LOG_LEVEL_ERROR, "result_not_committed", LOG_STR("key", c->key),
		  LOG_CSTR("status", status_name(st)));
	if (end->verdict != VERDICT_NOT_RUN)
		set_failed(end, 503, VERDICT_MAY_HAVE_RUN, "result_not_committed",
			   STR("the result is not committed yet: retry with the same key"));
	return STATUS_OK;
}
