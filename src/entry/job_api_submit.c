#include "entry/job_api.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "base/metric.h"
#include "base/trace.h"
#include "entry/admission.h"
#include "state/ledger.h"

#define CALL_TIMEOUT_MS	    10000
#define RETRY_AFTER_MS	    1000
#define DEADLINE_DEFAULT_MS 3600000
#define CHUNK_ITEMS	    500
#define CHUNK_BYTES	    (512 << 10)
#define ITEM_TOKENS_MAX	    1000000
#define KEY_BYTES	    136

typedef struct {
	str_t *v;
	size_t n;
	size_t cap;
} lines_t;

typedef struct {
	entry_ctx_t *en;
	struct _u_response *res;
	str_t caller;
	char id[KEY_BYTES];
	str_t service;
	unsigned share; /* the caller's weight when jobs of several callers compete */
	lines_t lines;
	char trace[TRACE_PARENT_BYTES];
	wire_job_t job; /* from the ledger's last answer; its strings are freed */
} submission_t;

/* Appends the lines of the body that are not empty; each is an item. */
static void split_lines(str_t body, lines_t *out)
{
	while (body.n) {
		long nl = str_find(body, STR("\n"));
		size_t n = nl < 0 ? body.n : (size_t)nl;
		str_t line = {body.p, n};

		n += nl < 0 ? 0 : 1;
		body = (str_t){body.p + n, body.n - n};
		if (line.n && line.p[line.n - 1] == '\r')
			line.n--;
		if (line.n == 0)
			continue;
		if (out->n == out->cap) {
			out->cap = out->cap ? out->cap * 2 : 256;
			out->v = mem_grow(out->v, out->cap * sizeof(*out->v));
		}
		out->v[out->n++] = line;
	}
}

static bool is_valid_item(str_t line)
{
	json_t *j = json_loadb(line.p, line.n, JSON_REJECT_DUPLICATES, NULL);
	json_t *max = json_object_get(j, "max_tokens");
	bool ok = json_is_string(json_object_get(j, "prompt")) && json_is_integer(max) &&
		  json_integer_value(max) >= 1 && json_integer_value(max) <= ITEM_TOKENS_MAX;

	json_decref(j);
	return ok;
}

static bool check_items(submission_t *p)
{
	char why[96];

	if (p->lines.n == 0 || (int64_t)p->lines.n > p->en->settings.max_items) {
		snprintf(why, sizeof(why), "a job must have 1 to %" PRId64 " items",
			 p->en->settings.max_items);
		httpd_error(p->res, p->lines.n ? 413 : 400, "item_count", str_c(why),
			    VERDICT_NOT_RUN, 0);
		return false;
	}
	for (size_t i = 0; i < p->lines.n; i++) {
		if (is_valid_item(p->lines.v[i]))
			continue;
		snprintf(why, sizeof(why), "item %zu: needs prompt and max_tokens", i);
		httpd_error(p->res, 400, "bad_item", str_c(why), VERDICT_NOT_RUN, 0);
		return false;
	}
	return true;
}

static uint64_t digest_items(const submission_t *p)
{
	uint64_t d = 0;

	for (size_t i = 0; i < p->lines.n; i++)
		d = ledger_digest_step(d, p->lines.v[i]);
	return d;
}

/* Runs a ledger command of the job; replies with an error and returns false if that fails. */
static bool run_command(submission_t *p, const wire_ledger_cmd_t *cmd)
{
	wire_ledger_res_t r = {0};
	status_t st = control_client_ledger(p->en->control_client, cmd, &r,
					    clock_now_ms() + CALL_TIMEOUT_MS);
	bool ok = st == STATUS_OK && r.status == STATUS_OK;

	if (st != STATUS_OK)
		httpd_error(p->res, 503, "ledger_unreachable", str_c(status_message()),
			    st == STATUS_UNAVAILABLE ? VERDICT_NOT_RUN : VERDICT_MAY_HAVE_RUN,
			    RETRY_AFTER_MS);
	else if (r.status == STATUS_CONFLICT)
		httpd_error(p->res, 409, "key_conflict", wire_str(r.message), VERDICT_NOT_RUN, 0);
	else if (!ok)
		httpd_error(p->res, 400, "bad_job", wire_str(r.message), VERDICT_NOT_RUN, 0);
	p->job = r.job;
	wire_free(XDR_PROC(wire_ledger_res_t), &r);
	return ok;
}

static bool open_job(submission_t *p, int64_t deadline_ms)
{
	wire_ledger_cmd_t cmd = {.kind = WIRE_LEDGER_JOB_OPEN};

	cmd.wire_ledger_cmd_t_u.open =
		(wire_job_open_t){.caller = wire_bytes(p->caller),
				  .job = wire_bytes(str_c(p->id)),
				  .digest = digest_items(p),
				  .service = wire_bytes(p->service),
				  .deadline_wall_ms = clock_wall_ms() + deadline_ms,
				  .count = (u_int)p->lines.n,
				  .trace = wire_bytes(str_c(p->trace)),
				  .now_wall_ms = clock_wall_ms(),
				  .share = p->share};
	return run_command(p, &cmd);
}

static bool send_chunk(submission_t *p, size_t first, size_t n)
{
	wire_ledger_cmd_t cmd = {.kind = WIRE_LEDGER_JOB_ITEMS};
	wire_job_items_t *items = &cmd.wire_ledger_cmd_t_u.items;
	bool ok;

	items->caller = wire_bytes(p->caller);
	items->job = wire_bytes(str_c(p->id));
	items->first = (u_int)first;
	items->bodies.bodies_len = (u_int)n;
	items->bodies.bodies_val = mem_new(n * sizeof(wire_bytes_t));
	for (size_t i = 0; i < n; i++)
		items->bodies.bodies_val[i] = wire_bytes(p->lines.v[first + i]);
	ok = run_command(p, &cmd);
	free(items->bodies.bodies_val);
	return ok;
}

static bool send_items(submission_t *p, size_t first)
{
	while (first < p->lines.n) {
		size_t bytes = 0;
		size_t n = 0;

		while (first + n < p->lines.n && n < CHUNK_ITEMS && (n == 0 || bytes < CHUNK_BYTES))
			bytes += p->lines.v[first + n++].n;
		if (!send_chunk(p, first, n))
			return false;
		first += n;
	}
	return true;
}

/* Seals the job: all items were sent, and the ledger accepts the job. */
static bool seal_job(submission_t *p)
{
	wire_ledger_cmd_t cmd = {.kind = WIRE_LEDGER_JOB_SEAL};

	cmd.wire_ledger_cmd_t_u.seal =
		(wire_job_ref_t){wire_bytes(p->caller), wire_bytes(str_c(p->id)), clock_wall_ms()};
	return run_command(p, &cmd);
}

static void reply_accepted(submission_t *p)
{
	AUTO_BUF b = {0};
	const char *state = "running";

	if (p->job.cancelled)
		state = "cancelled";
	else if (p->job.sealed && p->job.waiting + p->job.leased == 0)
		state = "done";
	buf_add(&b, STR("{\"job\":"));
	buf_add_json(&b, str_c(p->id));
	buf_addf(&b, ",\"count\":%u,\"state\":\"%s\"}", p->job.count, state);
	httpd_json(p->res, 202, str_buf(&b));
}

/* Checks lease, service and request rate, and sets the caller's share. Replies with an error and
 * returns false if a check fails. */
static bool check_service(submission_t *p)
{
	AUTO_ENTRY_CONFIG *c = entry_config_get(p->en->snapshot);
	const config_service_t *s = c ? config_find_service(c->config, p->service) : NULL;
	const config_limit_t *limit = c ? config_limit_for(c->config, p->caller) : NULL;
	int64_t wait_ms = 0;

	if (!c || !entry_lease_valid(p->en->snapshot)) {
		httpd_error(p->res, 503, "no_lease",
			    STR("no valid lease: the control has not answered this entry in time"),
			    VERDICT_NOT_RUN, RETRY_AFTER_MS);
		return false;
	}
	if (!s || s->kind != CONFIG_ENGINE) {
		httpd_error(p->res, 404, "no_such_service", STR("no model service of that name"),
			    VERDICT_NOT_RUN, 0);
		return false;
	}
	if (!admission_take_rate(p->en->admission, p->caller, limit, &wait_ms)) {
		httpd_error(p->res, 429, "rate_limit", STR("the caller exceeds its request rate"),
			    VERDICT_NOT_RUN, wait_ms);
		return false;
	}
	p->share = (unsigned)limit->share;
	return true;
}

/* Opens the job, sends the items that the ledger lacks, seals the job and replies. A caller whose
 * submission broke off can submit the job again with the same key. */
static void submit_job(submission_t *p, int64_t deadline_ms)
{
	trace_span_t sp;
	bool ok;

	trace_begin(&sp, "job", str_c(p->trace));
	ok = open_job(p, deadline_ms) &&
	     (p->job.sealed || p->job.cancelled || (send_items(p, p->job.received) && seal_job(p)));
	trace_end(&sp, str_c(p->id), ok ? "taken" : "error");
	if (!ok)
		return;
	METRIC_INC("auburn_jobs_taken_total");
	log_event(LOG_LEVEL_INFO, "job_taken", LOG_CSTR("key", p->id), LOG_STR("caller", p->caller),
		  LOG_INT("items", p->lines.n));
	reply_accepted(p);
}

int job_api_submit(const struct _u_request *req, struct _u_response *res, void *ctx)
{
	submission_t p = {.en = ctx, .res = res, .service = httpd_param(req, "service")};
	str_t key = httpd_header(req, "Idempotency-Key");
	int64_t deadline_ms =
		httpd_timeout_ms(httpd_param(req, "deadline_ms"), DEADLINE_DEFAULT_MS);
	trace_span_t sp;

	if (!httpd_auth_caller(p.en, req, res, &p.caller) || !httpd_check_body_size(p.en, req, res))
		return U_CALLBACK_COMPLETE;
	if (key.n >= sizeof(p.id) || !httpd_token_valid(key))
		return httpd_error(res, 400, "key_required",
				   STR("a job needs an Idempotency-Key in printable ASCII"),
				   VERDICT_NOT_RUN, 0);
	snprintf(p.id, sizeof(p.id), "%.*s", STR_ARG(key));
	trace_begin(&sp, "entry", httpd_header(req, "traceparent"));
	trace_parent(&sp, p.trace);
	split_lines(httpd_body(req), &p.lines);
	atomic_fetch_add(&p.en->running_requests, 1);
	if (check_service(&p) && check_items(&p))
		submit_job(&p, deadline_ms);
	atomic_fetch_sub(&p.en->running_requests, 1);
	free(p.lines.v);
	return U_CALLBACK_COMPLETE;
}
