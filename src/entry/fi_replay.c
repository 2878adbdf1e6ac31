#include "entry/fi.h"

#include "base/lg.h"
#include "base/mx.h"
#include "entry/lc.h"

#define RETRY_MS      1000
#define POLL_MIN_MS   20
#define POLL_MAX_MS   200
#define FOLLOW_MAX_MS 30000

/* A stored result, in the shape that was asked for. */
static void replay_done(fi_call_t *c, str_t result)
{
	json_t *j = json_loadb(result.p, result.n, 0, NULL);
	bool stream = json_is_true(json_object_get(c->json, "stream"));
	json_t *text = json_object_get(j, "text");
	AUTO_BUF b = {0};

	if (c->service->kind == TX_ENGINE && stream && json_is_string(text)) {
		buf_add(&b, STR("data: {\"id\":"));
		buf_add_json(&b, str_c(c->key));
		buf_add(&b, STR(",\"index\":0,\"choices\":[{\"index\":0,\"text\":"));
		buf_add_json(&b, (str_t){json_string_value(text), json_string_length(text)});
		buf_add(&b, STR("}]}\n\ndata: [DONE]\n\n"));
		hs_reply(c->res, 200, "text/event-stream", str_buf(&b));
	} else {
		hs_json(c->res, 200, result);
	}
	json_decref(j);
}

static void replay_failed(fi_call_t *c, const aw_record_t *r)
{
	lc_end_t end;

	lc_end_of(r, &end);
	hs_error_json(c->res, end.http_status, str_buf(&end.result),
		      end.verdict == VERDICT_NOT_RUN ? RETRY_MS : 0);
	buf_free(&end.result);
}

void fi_replay(fi_call_t *c, const aw_record_t *r)
{
	lg(LG_INFO, "replayed", LG_C("key", c->key), LG_I("state", r->state),
	   LG_I("status", r->http_status));
	MX_COUNT("auburn_replayed_total");
	u_map_put(c->res->map_header, "X-Auburn-Replay", "1");
	if (r->state == AW_DONE)
		replay_done(c, px_str(r->result));
	else
		replay_failed(c, r);
	tr_end(&c->span, str_c(c->key), "replayed");
}

static bool is_final(const aw_record_t *r)
{
	return r->state != AW_ACCEPTED && r->state != AW_ATTEMPTED;
}

/* True if a final record was found and replied with. */
static bool poll_record(fi_call_t *c)
{
	aw_query_res_t res = {0};
	bool found = lc_query_request(c->en, c->caller, str_c(c->key), &res) == ST_OK &&
		     res.status == ST_OK && is_final(&res.record);

	if (found)
		fi_replay(c, &res.record);
	px_free(PX(aw_query_res_t), &res);
	return found;
}

void fi_follow(fi_call_t *c)
{
	deadline_t until = clk_now_ms() + FOLLOW_MAX_MS;
	int64_t pause = POLL_MIN_MS;

	if (c->deadline < until)
		until = c->deadline;
	lg(LG_INFO, "followed", LG_C("key", c->key));
	while (clk_now_ms() < until && !atomic_load(&c->en->closing)) {
		if (poll_record(c))
			return;
		clk_sleep_ms(pause);
		pause = pause * 2 < POLL_MAX_MS ? pause * 2 : POLL_MAX_MS;
	}
	hs_error(c->res, 409, "in_progress", STR("this key is being worked on"),
		 VERDICT_MAY_HAVE_RUN, RETRY_MS);
	tr_end(&c->span, str_c(c->key), "in_progress");
}
