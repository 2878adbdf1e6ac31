#include "entry/config_api.h"

#include <inttypes.h>
#include "base/log.h"
#include "base/metric.h"

#define CALL_TIMEOUT_MS 5000
#define RETRY_AFTER_MS	1000

static int reply_unreachable(struct _u_response *res, status_t st)
{
	return httpd_error(res, 503, "control_unreachable", str_c(status_message()),
			   st == STATUS_UNAVAILABLE ? VERDICT_NOT_RUN : VERDICT_MAY_HAVE_RUN,
			   RETRY_AFTER_MS);
}

int config_api_get(const struct _u_request *req, struct _u_response *res, void *ctx)
{
	entry_ctx_t *en = ctx;
	wire_query_t q = {.kind = WIRE_QUERY_CONFIG};
	wire_query_res_t r = {0};
	AUTO_BUF b = {0};
	str_t name;
	status_t st;

	if (!httpd_auth_operator(en, req, res, &name))
		return U_CALLBACK_COMPLETE;
	q.wire_query_t_u.number = (uint64_t)httpd_int(httpd_param(req, "number"), 0);
	st = control_client_query(en->control_client, 0, &q, &r, clock_now_ms() + CALL_TIMEOUT_MS);
	if (st != STATUS_OK) {
		reply_unreachable(res, st);
	} else if (r.status != STATUS_OK) {
		httpd_error(res, 404, "no_such_text", wire_str(r.message), VERDICT_NOT_RUN, 0);
	} else {
		buf_addf(&b, "{\"number\":%" PRIu64 ",\"digest\":\"%016" PRIx64 "\",\"text\":",
			 r.conf.number, r.conf.digest);
		buf_add_json(&b, wire_str(r.conf.text));
		buf_add(&b, STR(",\"operator\":"));
		buf_add_json(&b, wire_str(r.conf.operator_name));
		buf_addc(&b, '}');
		httpd_json(res, 200, str_buf(&b));
	}
	wire_free(XDR_PROC(wire_query_res_t), &r);
	return U_CALLBACK_COMPLETE;
}

static bool check_config(str_t text, struct _u_response *res)
{
	config_t *config = NULL;
	status_t st = config_parse(text, &config);

	config_free(config);
	if (st == STATUS_OK)
		return true;
	httpd_error(res, 400, "bad_text", str_c(status_message()), VERDICT_NOT_RUN, 0);
	return false;
}

static void reply_submit_result(struct _u_response *res, uint64_t number, const wire_fleet_res_t *r)
{
	AUTO_BUF b = {0};

	if (r->status == STATUS_OK) {
		buf_addf(&b, "{\"number\":%" PRIu64 ",\"in_force\":%" PRIu64 "}", number,
			 r->number);
		httpd_json(res, 200, str_buf(&b));
	} else if (r->status == STATUS_CONFLICT) {
		buf_addf(&b,
			 "{\"code\":\"number_taken\",\"number\":%" PRIu64
			 ",\"winner_digest\":\"%016" PRIx64 "\",\"message\":",
			 r->number, r->winner_digest);
		buf_add_json(&b, wire_str(r->message));
		buf_addc(&b, '}');
		httpd_json(res, 409, str_buf(&b));
	} else {
		httpd_error(res, 400, "bad_text", wire_str(r->message), VERDICT_NOT_RUN, 0);
	}
}

int config_api_put(const struct _u_request *req, struct _u_response *res, void *ctx)
{
	entry_ctx_t *en = ctx;
	wire_fleet_cmd_t cmd = {.kind = WIRE_FLEET_CONFIG_SUBMIT};
	wire_fleet_res_t r = {0};
	uint64_t number = (uint64_t)httpd_int(httpd_param(req, "number"), 0);
	str_t name;
	status_t st;

	if (!httpd_auth_operator(en, req, res, &name) || !httpd_check_body_size(en, req, res) ||
	    !check_config(httpd_body(req), res))
		return U_CALLBACK_COMPLETE;
	cmd.wire_fleet_cmd_t_u.submit = (wire_config_submit_t){.number = number,
							       .text = wire_bytes(httpd_body(req)),
							       .operator_name = wire_bytes(name)};
	st = control_client_fleet(en->control_client, &cmd, &r, clock_now_ms() + CALL_TIMEOUT_MS);
	log_event(LOG_LEVEL_INFO, "text_submitted", LOG_INT("number", number),
		  LOG_STR("operator", name),
		  LOG_CSTR("status", status_name(st == STATUS_OK ? (status_t)r.status : st)));
	if (st == STATUS_OK)
		reply_submit_result(res, number, &r);
	else
		reply_unreachable(res, st);
	wire_free(XDR_PROC(wire_fleet_res_t), &r);
	return U_CALLBACK_COMPLETE;
}

int config_api_check(const struct _u_request *req, struct _u_response *res, void *ctx)
{
	entry_ctx_t *en = ctx;
	str_t name;

	if (httpd_auth_operator(en, req, res, &name) && httpd_check_body_size(en, req, res) &&
	    check_config(httpd_body(req), res))
		httpd_json(res, 200, STR("{\"ok\":true}"));
	return U_CALLBACK_COMPLETE;
}
