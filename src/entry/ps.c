#include "entry/ps.h"

#include <stdio.h>
#include "base/lg.h"
#include "base/mx.h"
#include "base/tr.h"
#include "entry/lc.h"
#include "entry/up.h"
#include "policy/rt.h"

#define URL_BYTES	  512
#define HEADER_BYTES	  256
#define ATTEMPT_LONG_MS	  60000
#define ATTEMPT_MS	  3000
#define CONNECT_TRIES	  4
#define PAUSE_MS	  50
#define RETRY_MS	  1000
#define HTTP_SERVER_ERROR 500
#define HTTP_UNAVAILABLE  503

/* Commits that an attempt begins; after this only this process may send, and only once. Goes on
 * past the call's deadline, because the record must not stay as it is. */
static status_t open_attempt(en_t *en, const ps_call_t *c, uint64_t token)
{
	deadline_t until = clk_now_ms() + ATTEMPT_LONG_MS;
	aw_ledger_cmd_t cmd = {.kind = AW_LEDGER_ATTEMPT};
	status_t st = ST_TIMEOUT;

	cmd.aw_ledger_cmd_t_u.attempt = (aw_attempt_t){.caller = px_bytes(c->caller),
						       .key = px_bytes(c->key),
						       .token = token,
						       .session = en_session(en->snap),
						       .upstream = px_bytes(STR(""))};
	while (clk_now_ms() < until) {
		aw_ledger_res_t res = {0};

		st = cc_ledger(en->cc, &cmd, &res, clk_now_ms() + ATTEMPT_MS);
		if (st == ST_OK)
			st = (status_t)res.status;
		px_free(PX(aw_ledger_res_t), &res);
		if (st != ST_UNAVAILABLE && st != ST_TIMEOUT && st != ST_NOT_LEADER)
			return st;
		clk_sleep_ms(PAUSE_MS);
	}
	return st;
}

static ec_kind_t send_call(en_t *en, const ps_call_t *c, const char *addr, int *status, buf_t *out)
{
	char url[URL_BYTES];
	char key[HEADER_BYTES];
	char trace[HEADER_BYTES];
	char parent[TR_PARENT_BYTES];
	tr_span_t sp;
	const char *const headers[] = {"Content-Type: application/json", key, trace, NULL};
	ec_options_t o = {.method = "POST",
			  .url = url,
			  .body = c->body,
			  .headers = headers,
			  .deadline = c->deadline,
			  .fresh = !c->repeatable};
	ec_kind_t kind;

	tr_begin(&sp, "upstream", c->trace);
	tr_parent(&sp, parent);
	snprintf(url, sizeof(url), "http://%s%.*s", addr, STR_ARG(c->path));
	snprintf(key, sizeof(key), "Idempotency-Key: %.*s", STR_ARG(c->key));
	snprintf(trace, sizeof(trace), "traceparent: %s", parent);
	kind = ec_call(en->ec, &o, status, out);
	tr_end(&sp, c->key, kind == EC_FINISHED ? "answered" : "no_answer");
	return kind;
}

static void set_failed(ps_end_t *end, int status, verdict_t v, const char *code, str_t message)
{
	end->done = false;
	end->http_status = status;
	end->verdict = v;
	end->code = code;
	buf_free(&end->result);
	lc_error_json(&end->result, code, message, v, v == VERDICT_NOT_RUN ? RETRY_MS : 0);
}

/* The verdict of one sent call. True if it ended; false if it surely did not run. */
static bool judge(const ps_call_t *c, ec_kind_t kind, int status, ps_end_t *end)
{
	if (kind == EC_NOT_SENT)
		return false;
	if (kind != EC_FINISHED) {
		set_failed(end, 502, VERDICT_MAY_HAVE_RUN, "answer_lost",
			   STR("the service's answer was lost: the call may have run"));
		return true;
	}
	/* 503 is a refusal by the service: it says that it did not run the call. */
	if (status == HTTP_UNAVAILABLE)
		return false;
	end->done = true;
	end->http_status = status;
	end->verdict = VERDICT_RAN;
	return true;
}

static bool may_go_on(en_t *en, const ps_call_t *c, const ps_end_t *end, int *tries)
{
	if (end->done || ++*tries >= CONNECT_TRIES || clk_now_ms() >= c->deadline)
		return false;
	if (!rt_may_retry(end->verdict, c->repeatable))
		return false;
	return lc_retry(en, str_c(c->service));
}

static void run_tries(en_t *en, const ps_call_t *c, ps_end_t *end)
{
	int tries = 0;

	do {
		up_choice_t choice;
		char addr[64];
		int status = 0;
		ec_kind_t kind;

		buf_free(&end->result);
		set_failed(end, 503, VERDICT_NOT_RUN, "no_upstream",
			   STR("no upstream of the service took the call"));
		if (!up_plain(en->ups, str_c(c->service), &choice, addr)) {
			clk_sleep_ms(PAUSE_MS);
			continue;
		}
		buf_free(&end->result);
		kind = send_call(en, c, addr, &status, &end->result);
		up_health(choice.up, kind == EC_FINISHED);
		if (!judge(c, kind, status, end))
			set_failed(end, 503, VERDICT_NOT_RUN, "refused_by_service",
				   STR("the service did not run the call"));
		lg(LG_INFO, "service_call", LG_S("key", c->key), LG_C("upstream", choice.id),
		   LG_I("status", status), LG_C("verdict", verdict_name(end->verdict)));
	} while (may_go_on(en, c, end, &tries));
}

/* What stands in the ledger is what every resend is told, so it is told now too. */
static void adopt(ps_end_t *end, lc_end_t *standing)
{
	end->done = standing->done;
	end->http_status = standing->http_status;
	end->verdict = standing->verdict;
	end->code = "ended_elsewhere";
	buf_free(&end->result);
	end->result = standing->result;
}

status_t ps_run(en_t *en, const ps_call_t *c, ps_end_t *end)
{
	lc_finish_t f = {.caller = c->caller, .key = c->key};
	lc_end_t standing = {0};
	status_t st = ST_OK;

	if (!c->repeatable)
		st = open_attempt(en, c, en_random() | 1);
	if (st != ST_OK)
		return st;
	if (clk_now_ms() < c->deadline)
		run_tries(en, c, end);
	else
		set_failed(end, 504, VERDICT_NOT_RUN, "deadline", STR("the deadline has passed"));
	f.done = end->done;
	f.verdict = end->verdict;
	f.http_status = end->http_status;
	f.result = str_buf(&end->result);
	st = lc_finish(en, &f, &standing);
	if (st == ST_OK)
		return ST_OK;
	if (st == ST_CONFLICT) {
		adopt(end, &standing);
		return ST_OK;
	}
	lg(LG_ERROR, "result_not_committed", LG_S("key", c->key), LG_C("status", st_name(st)));
	if (end->verdict != VERDICT_NOT_RUN)
		set_failed(end, 503, VERDICT_MAY_HAVE_RUN, "result_not_committed",
			   STR("the result could not be stored yet: ask again under the same key"));
	return ST_OK;
}
