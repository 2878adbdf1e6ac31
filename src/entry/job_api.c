#include "entry/job_api.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include "base/log.h"
#include "base/metric.h"
#include "entry/peer_api.h"
#include "entry/ledger_client.h"

#define QUERY_TIMEOUT_MS  5000
#define RETRY_AFTER_MS	  1000
#define JOBS_PAGE_DEFAULT 100
#define JOBS_PAGE_MAX	  1000
#define RESULTS_PAGE_MAX  5000

static void append_job(buf_t *b, const wire_job_t *j)
{
	const char *state = "running";

	if (j->cancelled)
		state = "cancelled";
	else if (j->sealed && j->waiting + j->leased == 0)
		state = "done";
	buf_add(b, STR("{\"job\":"));
	buf_add_json(b, wire_str(j->job));
	buf_add(b, STR(",\"service\":"));
	buf_add_json(b, wire_str(j->service));
	buf_addf(b,
		 ",\"state\":\"%s\",\"count\":%u,\"waiting\":%u,\"leased\":%u,\"done\":%u,"
		 "\"failed\":%u,\"dropped\":%u}",
		 state, j->count, j->waiting, j->leased, j->done, j->failed, j->dropped);
}

/* Queries one ledger group; replies with an error and returns false if that fails. */
static bool run_query(entry_ctx_t *en, struct _u_response *res, unsigned group,
		      const wire_query_t *q, wire_query_res_t *r)
{
	status_t st = control_client_query(en->control_client, group, q, r,
					   clock_now_ms() + QUERY_TIMEOUT_MS);

	if (st != STATUS_OK) {
		httpd_error(res, 503, "ledger_unreachable", str_c(status_message()),
			    VERDICT_NOT_RUN, RETRY_AFTER_MS);
		return false;
	}
	if (r->status == STATUS_OK)
		return true;
	httpd_error(res, r->status == STATUS_NOT_FOUND ? 404 : 400,
		    r->status == STATUS_NOT_FOUND ? "not_found" : "bad_request",
		    wire_str(r->message), VERDICT_NOT_RUN, 0);
	return false;
}

static int compare_jobs(const void *a, const void *b)
{
	const wire_job_t *x = a;
	const wire_job_t *y = b;
	u_int n = x->job.wire_bytes_t_len < y->job.wire_bytes_t_len ? x->job.wire_bytes_t_len
								    : y->job.wire_bytes_t_len;
	int c = n ? memcmp(x->job.wire_bytes_t_val, y->job.wire_bytes_t_val, n) : 0;

	if (c)
		return c;
	return (x->job.wire_bytes_t_len > y->job.wire_bytes_t_len) -
	       (x->job.wire_bytes_t_len < y->job.wire_bytes_t_len);
}

/* Replies with a page of jobs, merged from one page of each ledger group and sorted by id. */
static void reply_job_list(entry_ctx_t *en, struct _u_response *res, const wire_query_t *q,
			   u_int max)
{
	wire_query_res_t *r = mem_new((control_client_groups(en->control_client) + 1) * sizeof(*r));
	wire_job_t *jobs = mem_new(sizeof(*jobs));
	u_int n = 0;
	bool ok = true;
	AUTO_BUF b = {0};

	for (unsigned g = 1; ok && g <= control_client_groups(en->control_client); g++) {
		ok = run_query(en, res, g, q, &r[g]);
		jobs = mem_grow(jobs, (n + r[g].jobs.jobs_len + 1) * sizeof(*jobs));
		for (u_int i = 0; i < r[g].jobs.jobs_len; i++)
			jobs[n++] = r[g].jobs.jobs_val[i];
	}
	if (ok) {
		qsort(jobs, n, sizeof(*jobs), compare_jobs);
		buf_add(&b, STR("{\"jobs\":["));
		for (u_int i = 0; i < n && i < max; i++) {
			if (i)
				buf_addc(&b, ',');
			append_job(&b, &jobs[i]);
		}
		buf_add(&b, STR("]}"));
		httpd_json(res, 200, str_buf(&b));
	}
	for (unsigned g = 1; g <= control_client_groups(en->control_client); g++)
		wire_free(XDR_PROC(wire_query_res_t), &r[g]);
	free(r);
	free(jobs);
}

static u_int page_size(const struct _u_request *req, u_int fallback, u_int max)
{
	int64_t n = httpd_int(httpd_param(req, "max"), fallback);

	return n < 1 || n > max ? max : (u_int)n;
}

int job_api_list(const struct _u_request *req, struct _u_response *res, void *ctx)
{
	entry_ctx_t *en = ctx;
	wire_query_t q = {.kind = WIRE_QUERY_JOBS};
	str_t caller;
	u_int max = page_size(req, JOBS_PAGE_DEFAULT, JOBS_PAGE_MAX);

	if (!httpd_auth_caller(en, req, res, &caller))
		return U_CALLBACK_COMPLETE;
	q.wire_query_t_u.jobs =
		(wire_jobs_ref_t){wire_bytes(caller), wire_bytes(httpd_param(req, "after")), max};
	reply_job_list(en, res, &q, max);
	return U_CALLBACK_COMPLETE;
}

int job_api_get(const struct _u_request *req, struct _u_response *res, void *ctx)
{
	entry_ctx_t *en = ctx;
	wire_query_t q = {.kind = WIRE_QUERY_JOB};
	wire_query_res_t r = {0};
	AUTO_BUF b = {0};
	str_t id = httpd_param(req, "id");
	str_t caller;

	if (!httpd_auth_caller(en, req, res, &caller))
		return U_CALLBACK_COMPLETE;
	q.wire_query_t_u.job =
		(wire_job_ref_t){wire_bytes(caller), wire_bytes(id), clock_wall_ms()};
	if (run_query(en, res, control_client_group(en->control_client, caller, id), &q, &r)) {
		if (r.jobs.jobs_len == 1) {
			append_job(&b, &r.jobs.jobs_val[0]);
			httpd_json(res, 200, str_buf(&b));
		} else {
			httpd_error(res, 404, "not_found", STR("no such job"), VERDICT_NOT_RUN, 0);
		}
	}
	wire_free(XDR_PROC(wire_query_res_t), &r);
	return U_CALLBACK_COMPLETE;
}

static const char *request_state_name(wire_state_t s)
{
	static const char *const names[] = {"accepted", "attempted", "done", "failed", "cancelled"};

	return s >= WIRE_ACCEPTED && s <= WIRE_CANCELLED ? names[s] : "unknown";
}

static void append_result(buf_t *b, str_t body)
{
	/* Reasons of failures, replies of plain services and the empty result of an item or request
	 * that has not ended need not be JSON; such a result is written as a JSON string. */
	json_t *j = json_loadb(body.p, body.n, JSON_DECODE_ANY, NULL);

	if (j)
		buf_add(b, body);
	else
		buf_add_json(b, body);
	json_decref(j);
}

int job_api_results(const struct _u_request *req, struct _u_response *res, void *ctx)
{
	entry_ctx_t *en = ctx;
	wire_query_t q = {.kind = WIRE_QUERY_RESULTS};
	wire_query_res_t r = {0};
	AUTO_BUF b = {0};
	str_t id = httpd_param(req, "id");
	str_t caller;

	if (!httpd_auth_caller(en, req, res, &caller))
		return U_CALLBACK_COMPLETE;
	q.wire_query_t_u.results = (wire_results_ref_t){
		wire_bytes(caller), wire_bytes(id), (u_int)httpd_int(httpd_param(req, "first"), 0),
		page_size(req, JOBS_PAGE_MAX, RESULTS_PAGE_MAX)};
	if (run_query(en, res, control_client_group(en->control_client, caller, id), &q, &r)) {
		for (u_int i = 0; i < r.items.items_len; i++) {
			const wire_item_state_t *it = &r.items.items_val[i];

			buf_addf(&b, "{\"index\":%u,\"state\":\"%s\",\"attempts\":%u,\"result\":",
				 it->index, request_state_name(it->state), it->attempts);
			append_result(&b, wire_str(it->body));
			buf_add(&b, STR("}\n"));
		}
		httpd_reply(res, 200, "application/x-ndjson", str_buf(&b));
	}
	wire_free(XDR_PROC(wire_query_res_t), &r);
	return U_CALLBACK_COMPLETE;
}

int job_api_cancel(const struct _u_request *req, struct _u_response *res, void *ctx)
{
	entry_ctx_t *en = ctx;
	wire_ledger_cmd_t cmd = {.kind = WIRE_LEDGER_JOB_CANCEL};
	wire_ledger_res_t r = {0};
	AUTO_BUF b = {0};
	str_t id = httpd_param(req, "id");
	str_t caller;
	status_t st;

	if (!httpd_auth_caller(en, req, res, &caller))
		return U_CALLBACK_COMPLETE;
	cmd.wire_ledger_cmd_t_u.cancel =
		(wire_job_ref_t){wire_bytes(caller), wire_bytes(id), clock_wall_ms()};
	st = control_client_ledger(en->control_client, &cmd, &r, clock_now_ms() + QUERY_TIMEOUT_MS);
	if (st != STATUS_OK) {
		httpd_error(res, 503, "ledger_unreachable", str_c(status_message()),
			    VERDICT_MAY_HAVE_RUN, RETRY_AFTER_MS);
	} else if (r.status != STATUS_OK) {
		httpd_error(res, r.status == STATUS_NOT_FOUND ? 404 : 400, "not_found",
			    wire_str(r.message), VERDICT_NOT_RUN, 0);
	} else {
		log_event(LOG_LEVEL_INFO, "job_cancelled", LOG_STR("key", id),
			  LOG_STR("caller", caller));
		peer_api_broadcast_cancel(en, caller, id);
		append_job(&b, &r.job);
		httpd_json(res, 200, str_buf(&b));
	}
	wire_free(XDR_PROC(wire_ledger_res_t), &r);
	return U_CALLBACK_COMPLETE;
}

int job_api_get_request(const struct _u_request *req, struct _u_response *res, void *ctx)
{
	entry_ctx_t *en = ctx;
	wire_query_t q = {.kind = WIRE_QUERY_REQUEST};
	wire_query_res_t r = {0};
	AUTO_BUF b = {0};
	str_t key = httpd_param(req, "key");
	str_t caller;

	if (!httpd_auth_caller(en, req, res, &caller))
		return U_CALLBACK_COMPLETE;
	q.wire_query_t_u.request = (wire_request_ref_t){wire_bytes(caller), wire_bytes(key)};
	if (run_query(en, res, control_client_group(en->control_client, caller, key), &q, &r)) {
		buf_add(&b, STR("{\"key\":"));
		buf_add_json(&b, key);
		buf_addf(&b, ",\"state\":\"%s\",\"verdict\":\"%s\",\"http_status\":%d,\"result\":",
			 request_state_name(r.record.state),
			 verdict_name((verdict_t)r.record.verdict), r.record.http_status);
		append_result(&b, wire_str(r.record.result));
		buf_addc(&b, '}');
		httpd_json(res, 200, str_buf(&b));
	}
	wire_free(XDR_PROC(wire_query_res_t), &r);
	return U_CALLBACK_COMPLETE;
}
