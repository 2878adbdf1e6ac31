#include "entry/filter.h"

#include "base/log.h"
#include "base/metric.h"
#include "entry/admission.h"
#include "entry/inflight.h"

void filter_next(filter_call_t *c, const filter_step_t *next)
{
	next->filter(c, next + 1);
}

int filter_run(entry_ctx_t *en, const struct _u_request *req, struct _u_response *res,
	       const char *span, const filter_step_t *chain)
{
	filter_call_t c = {.en = en, .req = req, .res = res};

	METRIC_INC("auburn_requests_total");
	trace_begin(&c.span, span, httpd_header(req, "traceparent"));
	filter_next(&c, chain);
	if (c.key_held)
		inflight_remove(c.caller, str_c(c.key));
	if (c.admitted)
		admission_leave(en->admission, str_c(c.service->name));
	json_decref(c.body_json);
	entry_config_put(c.config);
	return U_CALLBACK_COMPLETE;
}

void filter_refuse(filter_call_t *c, int status, const char *code, str_t message,
		   int64_t retry_after_ms)
{
	log_event(LOG_LEVEL_INFO, "refused", LOG_CSTR("key", c->key), LOG_STR("caller", c->caller),
		  LOG_CSTR("code", code), LOG_INT("status", status), LOG_STR("message", message),
		  LOG_CSTR("verdict", "not_run"));
	METRIC_INC("auburn_refused_total");
	httpd_error(c->res, status, code, message, VERDICT_NOT_RUN, retry_after_ms);
	trace_end(&c->span, str_c(c->key), code);
}
