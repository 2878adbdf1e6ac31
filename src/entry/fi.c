#include "entry/fi.h"

#include "base/lg.h"
#include "base/mx.h"
#include "entry/ad.h"
#include "entry/rk.h"

void fi_next(fi_call_t *c, const fi_step_t *next)
{
	next->filter(c, next + 1);
}

int fi_run(en_t *en, const struct _u_request *req, struct _u_response *res, const char *span,
	   const fi_step_t *chain)
{
	fi_call_t c = {.en = en, .req = req, .res = res};

	MX_COUNT("auburn_requests_total");
	tr_begin(&c.span, span, hs_header(req, "traceparent"));
	fi_next(&c, chain);
	if (c.registered)
		rk_drop(c.caller, str_c(c.key));
	if (c.admitted)
		ad_leave(en->admission, str_c(c.service->name));
	json_decref(c.json);
	en_conf_put(c.conf);
	return U_CALLBACK_COMPLETE;
}

void fi_refuse(fi_call_t *c, int status, const char *code, str_t message, int64_t retry_after_ms)
{
	lg(LG_INFO, "refused", LG_C("key", c->key), LG_S("caller", c->caller), LG_C("code", code),
	   LG_I("status", status), LG_S("message", message), LG_C("verdict", "not_run"));
	MX_COUNT("auburn_refused_total");
	hs_error(c->res, status, code, message, VERDICT_NOT_RUN, retry_after_ms);
	tr_end(&c->span, str_c(c->key), code);
}
