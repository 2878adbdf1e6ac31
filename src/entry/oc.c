#include "entry/oc.h"

#include <inttypes.h>
#include "base/lg.h"
#include "base/mx.h"

#define CALL_MS	 5000
#define RETRY_MS 1000

static int unreachable(struct _u_response *res, status_t st)
{
	return hs_error(res, 503, "control_unreachable", str_c(st_message()),
			st == ST_UNAVAILABLE ? VERDICT_NOT_RUN : VERDICT_MAY_HAVE_RUN, RETRY_MS);
}

int oc_get(const struct _u_request *req, struct _u_response *res, void *ctx)
{
	en_t *en = ctx;
	aw_query_t q = {.kind = AW_QUERY_CONF};
	aw_query_res_t r = {0};
	AUTO_BUF b = {0};
	str_t name;
	status_t st;

	if (!hs_operator(en, req, res, &name))
		return U_CALLBACK_COMPLETE;
	q.aw_query_t_u.number = (uint64_t)hs_int(hs_param(req, "number"), 0);
	st = cc_query(en->cc, 0, &q, &r, clk_now_ms() + CALL_MS);
	if (st != ST_OK) {
		unreachable(res, st);
	} else if (r.status != ST_OK) {
		hs_error(res, 404, "no_such_text", px_str(r.message), VERDICT_NOT_RUN, 0);
	} else {
		buf_addf(&b, "{\"number\":%" PRIu64 ",\"digest\":\"%016" PRIx64 "\",\"text\":",
			 r.conf.number, r.conf.digest);
		buf_add_json(&b, px_str(r.conf.text));
		buf_add(&b, STR(",\"operator\":"));
		buf_add_json(&b, px_str(r.conf.operator_name));
		buf_addc(&b, '}');
		hs_json(res, 200, str_buf(&b));
	}
	px_free(PX(aw_query_res_t), &r);
	return U_CALLBACK_COMPLETE;
}

static bool valid_text(str_t text, struct _u_response *res)
{
	tx_text_t *t = NULL;
	status_t st = tx_parse(text, &t);

	tx_free(t);
	if (st == ST_OK)
		return true;
	hs_error(res, 400, "bad_text", str_c(st_message()), VERDICT_NOT_RUN, 0);
	return false;
}

static void reply_submitted(struct _u_response *res, uint64_t number, const aw_fleet_res_t *r)
{
	AUTO_BUF b = {0};

	if (r->status == ST_OK) {
		buf_addf(&b, "{\"number\":%" PRIu64 ",\"in_force\":%" PRIu64 "}", number,
			 r->number);
		hs_json(res, 200, str_buf(&b));
	} else if (r->status == ST_CONFLICT) {
		buf_addf(&b,
			 "{\"code\":\"number_taken\",\"number\":%" PRIu64
			 ",\"winner_digest\":\"%016" PRIx64 "\",\"message\":",
			 r->number, r->winner_digest);
		buf_add_json(&b, px_str(r->message));
		buf_addc(&b, '}');
		hs_json(res, 409, str_buf(&b));
	} else {
		hs_error(res, 400, "bad_text", px_str(r->message), VERDICT_NOT_RUN, 0);
	}
}

int oc_put(const struct _u_request *req, struct _u_response *res, void *ctx)
{
	en_t *en = ctx;
	aw_fleet_cmd_t cmd = {.kind = AW_FLEET_CONF_SUBMIT};
	aw_fleet_res_t r = {0};
	uint64_t number = (uint64_t)hs_int(hs_param(req, "number"), 0);
	str_t name;
	status_t st;

	if (!hs_operator(en, req, res, &name) || !hs_body_fits(en, req, res) ||
	    !valid_text(hs_body(req), res))
		return U_CALLBACK_COMPLETE;
	cmd.aw_fleet_cmd_t_u.submit = (aw_conf_submit_t){
		.number = number, .text = px_bytes(hs_body(req)), .operator_name = px_bytes(name)};
	st = cc_fleet(en->cc, &cmd, &r, clk_now_ms() + CALL_MS);
	lg(LG_INFO, "text_submitted", LG_I("number", number), LG_S("operator", name),
	   LG_C("status", st_name(st == ST_OK ? (status_t)r.status : st)));
	if (st == ST_OK)
		reply_submitted(res, number, &r);
	else
		unreachable(res, st);
	px_free(PX(aw_fleet_res_t), &r);
	return U_CALLBACK_COMPLETE;
}

int oc_check(const struct _u_request *req, struct _u_response *res, void *ctx)
{
	en_t *en = ctx;
	str_t name;

	if (hs_operator(en, req, res, &name) && hs_body_fits(en, req, res) &&
	    valid_text(hs_body(req), res))
		hs_json(res, 200, STR("{\"ok\":true}"));
	return U_CALLBACK_COMPLETE;
}
