#include "entry/jb.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include "base/lg.h"
#include "base/mx.h"
#include "entry/ir.h"
#include "entry/lc.h"

#define QUERY_MS       5000
#define RETRY_MS       1000
#define PAGE_DEFAULT   100
#define PAGE_MAX       1000
#define PAGE_ITEMS_MAX 5000

static void add_job(buf_t *b, const aw_job_t *j)
{
	const char *state = "running";

	if (j->cancelled)
		state = "cancelled";
	else if (j->sealed && j->waiting + j->leased == 0)
		state = "done";
	buf_add(b, STR("{\"job\":"));
	buf_add_json(b, px_str(j->job));
	buf_add(b, STR(",\"service\":"));
	buf_add_json(b, px_str(j->service));
	buf_addf(b,
		 ",\"state\":\"%s\",\"count\":%u,\"waiting\":%u,\"leased\":%u,\"done\":%u,"
		 "\"failed\":%u,\"dropped\":%u}",
		 state, j->count, j->waiting, j->leased, j->done, j->failed, j->dropped);
}

/* Runs a query of one group; false after an error was set. */
static bool query(en_t *en, struct _u_response *res, unsigned group, const aw_query_t *q,
		  aw_query_res_t *r)
{
	status_t st = cc_query(en->cc, group, q, r, clk_now_ms() + QUERY_MS);

	if (st != ST_OK) {
		hs_error(res, 503, "ledger_unreachable", str_c(st_message()), VERDICT_NOT_RUN,
			 RETRY_MS);
		return false;
	}
	if (r->status == ST_OK)
		return true;
	hs_error(res, r->status == ST_NOT_FOUND ? 404 : 400,
		 r->status == ST_NOT_FOUND ? "not_found" : "bad_request", px_str(r->message),
		 VERDICT_NOT_RUN, 0);
	return false;
}

static int compare_jobs(const void *a, const void *b)
{
	const aw_job_t *x = a;
	const aw_job_t *y = b;
	u_int n = x->job.aw_bytes_t_len < y->job.aw_bytes_t_len ? x->job.aw_bytes_t_len
								: y->job.aw_bytes_t_len;
	int c = n ? memcmp(x->job.aw_bytes_t_val, y->job.aw_bytes_t_val, n) : 0;

	if (c)
		return c;
	return (x->job.aw_bytes_t_len > y->job.aw_bytes_t_len) -
	       (x->job.aw_bytes_t_len < y->job.aw_bytes_t_len);
}

/* A page of jobs is merged from the pages of all groups. */
static void list(en_t *en, struct _u_response *res, const aw_query_t *q, u_int max)
{
	aw_query_res_t *r = mem_new((cc_groups(en->cc) + 1) * sizeof(*r));
	aw_job_t *jobs = mem_new(sizeof(*jobs));
	u_int n = 0;
	bool ok = true;
	AUTO_BUF b = {0};

	for (unsigned g = 1; ok && g <= cc_groups(en->cc); g++) {
		ok = query(en, res, g, q, &r[g]);
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
			add_job(&b, &jobs[i]);
		}
		buf_add(&b, STR("]}"));
		hs_json(res, 200, str_buf(&b));
	}
	for (unsigned g = 1; g <= cc_groups(en->cc); g++)
		px_free(PX(aw_query_res_t), &r[g]);
	free(r);
	free(jobs);
}

static u_int page(const struct _u_request *req, u_int other, u_int max)
{
	int64_t n = hs_int(hs_param(req, "max"), other);

	return n < 1 || n > max ? max : (u_int)n;
}

int jb_list(const struct _u_request *req, struct _u_response *res, void *ctx)
{
	en_t *en = ctx;
	aw_query_t q = {.kind = AW_QUERY_JOBS};
	str_t caller;
	u_int max = page(req, PAGE_DEFAULT, PAGE_MAX);

	if (!hs_caller(en, req, res, &caller))
		return U_CALLBACK_COMPLETE;
	q.aw_query_t_u.jobs =
		(aw_jobs_ref_t){px_bytes(caller), px_bytes(hs_param(req, "after")), max};
	list(en, res, &q, max);
	return U_CALLBACK_COMPLETE;
}

int jb_get(const struct _u_request *req, struct _u_response *res, void *ctx)
{
	en_t *en = ctx;
	aw_query_t q = {.kind = AW_QUERY_JOB};
	aw_query_res_t r = {0};
	AUTO_BUF b = {0};
	str_t id = hs_param(req, "id");
	str_t caller;

	if (!hs_caller(en, req, res, &caller))
		return U_CALLBACK_COMPLETE;
	q.aw_query_t_u.job = (aw_job_ref_t){px_bytes(caller), px_bytes(id), clk_wall_ms()};
	if (query(en, res, cc_group(en->cc, caller, id), &q, &r)) {
		if (r.jobs.jobs_len == 1) {
			add_job(&b, &r.jobs.jobs_val[0]);
			hs_json(res, 200, str_buf(&b));
		} else {
			hs_error(res, 404, "not_found", STR("no such job"), VERDICT_NOT_RUN, 0);
		}
	}
	px_free(PX(aw_query_res_t), &r);
	return U_CALLBACK_COMPLETE;
}

static const char *state_name(aw_state_t s)
{
	static const char *const names[] = {"accepted", "attempted", "done", "failed", "cancelled"};

	return s >= AW_ACCEPTED && s <= AW_CANCELLED ? names[s] : "unknown";
}

static void add_result(buf_t *b, str_t body)
{
	/* Results are JSON but for a failed item's reason and plain services' bodies. */
	json_t *j = json_loadb(body.p, body.n, JSON_DECODE_ANY, NULL);

	if (j)
		buf_add(b, body);
	else
		buf_add_json(b, body);
	json_decref(j);
}

int jb_results(const struct _u_request *req, struct _u_response *res, void *ctx)
{
	en_t *en = ctx;
	aw_query_t q = {.kind = AW_QUERY_RESULTS};
	aw_query_res_t r = {0};
	AUTO_BUF b = {0};
	str_t id = hs_param(req, "id");
	str_t caller;

	if (!hs_caller(en, req, res, &caller))
		return U_CALLBACK_COMPLETE;
	q.aw_query_t_u.results = (aw_results_ref_t){px_bytes(caller), px_bytes(id),
						    (u_int)hs_int(hs_param(req, "first"), 0),
						    page(req, PAGE_MAX, PAGE_ITEMS_MAX)};
	if (query(en, res, cc_group(en->cc, caller, id), &q, &r)) {
		for (u_int i = 0; i < r.items.items_len; i++) {
			const aw_item_state_t *it = &r.items.items_val[i];

			buf_addf(&b, "{\"index\":%u,\"state\":\"%s\",\"attempts\":%u,\"result\":",
				 it->index, state_name(it->state), it->attempts);
			add_result(&b, px_str(it->body));
			buf_add(&b, STR("}\n"));
		}
		hs_reply(res, 200, "application/x-ndjson", str_buf(&b));
	}
	px_free(PX(aw_query_res_t), &r);
	return U_CALLBACK_COMPLETE;
}

int jb_delete(const struct _u_request *req, struct _u_response *res, void *ctx)
{
	en_t *en = ctx;
	aw_ledger_cmd_t cmd = {.kind = AW_LEDGER_JOB_CANCEL};
	aw_ledger_res_t r = {0};
	AUTO_BUF b = {0};
	str_t id = hs_param(req, "id");
	str_t caller;
	status_t st;

	if (!hs_caller(en, req, res, &caller))
		return U_CALLBACK_COMPLETE;
	cmd.aw_ledger_cmd_t_u.cancel =
		(aw_job_ref_t){px_bytes(caller), px_bytes(id), clk_wall_ms()};
	st = cc_ledger(en->cc, &cmd, &r, clk_now_ms() + QUERY_MS);
	if (st != ST_OK) {
		hs_error(res, 503, "ledger_unreachable", str_c(st_message()), VERDICT_MAY_HAVE_RUN,
			 RETRY_MS);
	} else if (r.status != ST_OK) {
		hs_error(res, r.status == ST_NOT_FOUND ? 404 : 400, "not_found", px_str(r.message),
			 VERDICT_NOT_RUN, 0);
	} else {
		lg(LG_INFO, "job_cancelled", LG_S("key", id), LG_S("caller", caller));
		ir_cancel_everywhere(en, caller, id);
		add_job(&b, &r.job);
		hs_json(res, 200, str_buf(&b));
	}
	px_free(PX(aw_ledger_res_t), &r);
	return U_CALLBACK_COMPLETE;
}

int jb_request(const struct _u_request *req, struct _u_response *res, void *ctx)
{
	en_t *en = ctx;
	aw_query_t q = {.kind = AW_QUERY_REQUEST};
	aw_query_res_t r = {0};
	AUTO_BUF b = {0};
	str_t key = hs_param(req, "key");
	str_t caller;

	if (!hs_caller(en, req, res, &caller))
		return U_CALLBACK_COMPLETE;
	q.aw_query_t_u.request = (aw_request_ref_t){px_bytes(caller), px_bytes(key)};
	if (query(en, res, cc_group(en->cc, caller, key), &q, &r)) {
		buf_add(&b, STR("{\"key\":"));
		buf_add_json(&b, key);
		buf_addf(&b, ",\"state\":\"%s\",\"verdict\":\"%s\",\"http_status\":%d,\"result\":",
			 state_name(r.record.state), verdict_name((verdict_t)r.record.verdict),
			 r.record.http_status);
		add_result(&b, px_str(r.record.result));
		buf_addc(&b, '}');
		hs_json(res, 200, str_buf(&b));
	}
	px_free(PX(aw_query_res_t), &r);
	return U_CALLBACK_COMPLETE;
}
