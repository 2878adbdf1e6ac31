#include "entry/ledger_client.h"

#include <inttypes.h>
#include <stdlib.h>
#include "base/metric.h"
#include "policy/retry.h"

#define FINISH_DEADLINE_MS  60000
#define FINISH_TIMEOUT_MS   3000
#define RETRY_PAUSE_MS	    100
#define DEFAULT_HTTP_STATUS 502 /* for an end without a status */
#define QUERY_TIMEOUT_MS    3000
#define SERVICES_MAX	    1024

typedef struct {
	uint64_t service; /* hash of the name */
	retry_budget_t budget;
} service_budget_t;

static pthread_mutex_t budgets_lock = PTHREAD_MUTEX_INITIALIZER;
static service_budget_t budgets[SERVICES_MAX];
static size_t nbudgets;

/* An entry stores a failure as JSON, which is copied; the ledger's own reason for a failure is
 * plain text, which becomes the message of an error in JSON. */
void ledger_client_read_end(const wire_record_t *r, ledger_client_end_t *out)
{
	str_t result = wire_str(r->result);

	*out = (ledger_client_end_t){.done = r->state == WIRE_DONE,
				     .verdict = (verdict_t)r->verdict,
				     .http_status =
					     r->http_status ? r->http_status : DEFAULT_HTTP_STATUS};
	if (out->done || str_starts(result, STR("{\"error\"")))
		buf_add(&out->result, result);
	else
		ledger_client_error_json(&out->result, "failed", result, out->verdict, 0);
}

status_t ledger_client_finish(entry_ctx_t *en, const ledger_client_finish_t *f,
			      ledger_client_end_t *stored)
{
	deadline_t until = clock_now_ms() + FINISH_DEADLINE_MS;
	wire_ledger_cmd_t cmd = {.kind = WIRE_LEDGER_FINISH};
	status_t st = STATUS_TIMEOUT;

	cmd.wire_ledger_cmd_t_u.finish = (wire_finish_t){.caller = wire_bytes(f->caller),
							 .key = wire_bytes(f->key),
							 .state = f->done ? WIRE_DONE : WIRE_FAILED,
							 .verdict = f->verdict,
							 .http_status = f->http_status,
							 .result = wire_bytes(f->result),
							 .now_wall_ms = clock_wall_ms(),
							 .session = entry_session(en->snapshot)};
	while (clock_now_ms() < until) {
		wire_ledger_res_t res = {0};

		st = control_client_ledger(en->control_client, &cmd, &res,
					   clock_now_ms() + FINISH_TIMEOUT_MS);
		if (st == STATUS_OK)
			st = (status_t)res.status;
		if (st == STATUS_CONFLICT)
			ledger_client_read_end(&res.record, stored);
		wire_free(XDR_PROC(wire_ledger_res_t), &res);
		if (st != STATUS_UNAVAILABLE && st != STATUS_TIMEOUT && st != STATUS_NOT_LEADER)
			return st;
		clock_sleep_ms(RETRY_PAUSE_MS);
	}
	return st;
}

status_t ledger_client_accept(entry_ctx_t *en, const ledger_client_accept_t *a,
			      wire_ledger_res_t *res, deadline_t deadline)
{
	wire_ledger_cmd_t cmd = {.kind = WIRE_LEDGER_ACCEPT};

	cmd.wire_ledger_cmd_t_u.accept = (wire_accept_t){.caller = wire_bytes(a->caller),
							 .key = wire_bytes(a->key),
							 .digest = a->digest,
							 .service = wire_bytes(a->service),
							 .repeatable = a->repeatable,
							 .deadline_wall_ms = a->deadline_wall_ms,
							 .session = entry_session(en->snapshot),
							 .path = wire_bytes(a->path),
							 .body = wire_bytes(a->body),
							 .trace = wire_bytes(a->trace)};
	return control_client_ledger(en->control_client, &cmd, res, deadline);
}

status_t ledger_client_query(entry_ctx_t *en, str_t caller, str_t key, wire_query_res_t *res)
{
	wire_query_t q = {.kind = WIRE_QUERY_REQUEST};

	q.wire_query_t_u.request = (wire_request_ref_t){wire_bytes(caller), wire_bytes(key)};
	return control_client_query(en->control_client,
				    control_client_group(en->control_client, caller, key), &q, res,
				    clock_now_ms() + QUERY_TIMEOUT_MS);
}

void ledger_client_error_json(buf_t *out, const char *code, str_t message, verdict_t verdict,
			      int64_t retry_after_ms)
{
	buf_addf(out, "{\"error\":{\"code\":\"%s\",\"message\":", code);
	buf_add_json(out, message);
	buf_addf(out, ",\"verdict\":\"%s\",\"retry_after_ms\":%" PRId64 "}}", verdict_name(verdict),
		 retry_after_ms);
}

static retry_budget_t *find_budget(str_t service)
{
	uint64_t h = str_hash(service);

	for (size_t i = 0; i < nbudgets; i++)
		if (budgets[i].service == h)
			return &budgets[i].budget;
	return NULL;
}

void ledger_client_count_request(entry_ctx_t *en, str_t service, int percent)
{
	retry_budget_t *b;

	pthread_mutex_lock(&budgets_lock);
	b = find_budget(service);
	if (!b && nbudgets < SERVICES_MAX) {
		budgets[nbudgets].service = str_hash(service);
		b = &budgets[nbudgets++].budget;
		retry_budget_init(b, percent);
	}
	if (b) {
		b->percent = percent;
		retry_budget_deposit(b);
	}
	pthread_mutex_unlock(&budgets_lock);
}

bool ledger_client_take_retry(entry_ctx_t *en, str_t service)
{
	retry_budget_t *b;
	bool ok;

	pthread_mutex_lock(&budgets_lock);
	b = find_budget(service);
	ok = b && retry_budget_withdraw(b);
	pthread_mutex_unlock(&budgets_lock);
	if (!ok)
		METRIC_INC("auburn_retry_budget_empty_total");
	return ok;
}
