#include "entry/lc.h"

#include <inttypes.h>
#include <stdlib.h>
#include "base/mx.h"
#include "policy/rt.h"

#define FINISH_MS     60000
#define FINISH_TRY_MS 3000
#define PAUSE_MS      100
#define NO_STATUS     502 /* told for an end that no entry gave a status */
#define QUERY_MS      3000
#define SERVICES_MAX  1024

typedef struct {
	uint64_t service; /* hash */
	rt_budget_t budget;
} budget_t;

static pthread_mutex_t budgets_lock = PTHREAD_MUTEX_INITIALIZER;
static budget_t budgets[SERVICES_MAX];
static size_t nbudgets;

/* An entry stores its reply; the ledger itself stores a reason in words. */
void lc_end_of(const aw_record_t *r, lc_end_t *out)
{
	str_t result = px_str(r->result);

	*out = (lc_end_t){.done = r->state == AW_DONE,
			  .verdict = (verdict_t)r->verdict,
			  .http_status = r->http_status ? r->http_status : NO_STATUS};
	if (out->done || str_starts(result, STR("{\"error\"")))
		buf_add(&out->result, result);
	else
		lc_error_json(&out->result, "failed", result, out->verdict, 0);
}

status_t lc_finish(en_t *en, const lc_finish_t *f, lc_end_t *standing)
{
	deadline_t until = clk_now_ms() + FINISH_MS;
	aw_ledger_cmd_t cmd = {.kind = AW_LEDGER_FINISH};
	status_t st = ST_TIMEOUT;

	cmd.aw_ledger_cmd_t_u.finish = (aw_finish_t){.caller = px_bytes(f->caller),
						     .key = px_bytes(f->key),
						     .state = f->done ? AW_DONE : AW_FAILED,
						     .verdict = f->verdict,
						     .http_status = f->http_status,
						     .result = px_bytes(f->result),
						     .now_wall_ms = clk_wall_ms(),
						     .session = en_session(en->snap)};
	while (clk_now_ms() < until) {
		aw_ledger_res_t res = {0};

		st = cc_ledger(en->cc, &cmd, &res, clk_now_ms() + FINISH_TRY_MS);
		if (st == ST_OK)
			st = (status_t)res.status;
		if (st == ST_CONFLICT)
			lc_end_of(&res.record, standing);
		px_free(PX(aw_ledger_res_t), &res);
		if (st != ST_UNAVAILABLE && st != ST_TIMEOUT && st != ST_NOT_LEADER)
			return st;
		clk_sleep_ms(PAUSE_MS);
	}
	return st;
}

status_t lc_accept(en_t *en, const lc_accept_t *a, aw_ledger_res_t *res, deadline_t deadline)
{
	aw_ledger_cmd_t cmd = {.kind = AW_LEDGER_ACCEPT};

	cmd.aw_ledger_cmd_t_u.accept = (aw_accept_t){.caller = px_bytes(a->caller),
						     .key = px_bytes(a->key),
						     .digest = a->digest,
						     .service = px_bytes(a->service),
						     .repeatable = a->repeatable,
						     .deadline_wall_ms = a->deadline_wall_ms,
						     .session = en_session(en->snap),
						     .path = px_bytes(a->path),
						     .body = px_bytes(a->body),
						     .trace = px_bytes(a->trace)};
	return cc_ledger(en->cc, &cmd, res, deadline);
}

status_t lc_query_request(en_t *en, str_t caller, str_t key, aw_query_res_t *res)
{
	aw_query_t q = {.kind = AW_QUERY_REQUEST};

	q.aw_query_t_u.request = (aw_request_ref_t){px_bytes(caller), px_bytes(key)};
	return cc_query(en->cc, cc_group(en->cc, caller, key), &q, res, clk_now_ms() + QUERY_MS);
}

void lc_error_json(buf_t *out, const char *code, str_t message, verdict_t verdict,
		   int64_t retry_after_ms)
{
	buf_addf(out, "{\"error\":{\"code\":\"%s\",\"message\":", code);
	buf_add_json(out, message);
	buf_addf(out, ",\"verdict\":\"%s\",\"retry_after_ms\":%" PRId64 "}}", verdict_name(verdict),
		 retry_after_ms);
}

static rt_budget_t *budget_of(str_t service)
{
	uint64_t h = str_hash(service);

	for (size_t i = 0; i < nbudgets; i++)
		if (budgets[i].service == h)
			return &budgets[i].budget;
	return NULL;
}

void lc_first_try(en_t *en, str_t service, int percent)
{
	rt_budget_t *b;

	pthread_mutex_lock(&budgets_lock);
	b = budget_of(service);
	if (!b && nbudgets < SERVICES_MAX) {
		budgets[nbudgets].service = str_hash(service);
		b = &budgets[nbudgets++].budget;
		rt_budget_init(b, percent);
	}
	if (b) {
		b->percent = percent;
		rt_budget_first(b);
	}
	pthread_mutex_unlock(&budgets_lock);
}

bool lc_retry(en_t *en, str_t service)
{
	rt_budget_t *b;
	bool ok;

	pthread_mutex_lock(&budgets_lock);
	b = budget_of(service);
	ok = b && rt_budget_take(b);
	pthread_mutex_unlock(&budgets_lock);
	if (!ok)
		MX_COUNT("auburn_retry_budget_empty_total");
	return ok;
}
