#include "entry/bj_impl.h"

#include <assert.h>
#include <jansson.h>
#include <stdlib.h>
#include <utlist.h>
#include "base/lg.h"
#include "base/mx.h"
#include "entry/lc.h"

#define RESUMES_MAX    3
#define PAUSE_MS       50
#define PAUSE_ALONE_MS 10
#define PINNED_MS      10000
#define ORPHAN_WAIT_MS 30000

static void read_body(bj_item_t *it)
{
	json_t *j = json_loadb(it->body, it->body_n, 0, NULL);
	json_t *prompt = json_object_get(j, "prompt");

	it->max_tokens = (unsigned)json_integer_value(json_object_get(j, "max_tokens"));
	it->prompt_n = json_string_length(prompt);
	it->prompt = str_dup((str_t){json_string_value(prompt), it->prompt_n});
	json_decref(j);
}

bj_item_t *bj_item_new(bj_t *b, unsigned group, const char *service, const aw_item_t *a)
{
	bj_item_t *it = mem_new(sizeof(*it));

	it->b = b;
	it->group = group;
	it->session = b->session;
	it->caller = str_dup(px_str(a->caller));
	it->job = str_dup(px_str(a->job));
	it->key = str_dup(px_str(a->key));
	it->service = str_dup(str_c(service));
	it->path = str_dup(px_str(a->path));
	it->body = str_dup(px_str(a->body));
	it->body_n = a->body.aw_bytes_t_len;
	it->trace = str_dup(px_str(a->trace));
	it->index = a->index;
	it->attempt = a->attempt;
	it->alone = a->alone;
	it->repeatable = a->repeatable;
	it->deadline = clk_now_ms() + (a->deadline_wall_ms - clk_wall_ms());
	read_body(it);
	return it;
}

void bj_item_free(bj_item_t *it)
{
	free(it->caller);
	free(it->job);
	free(it->key);
	free(it->service);
	free(it->path);
	free(it->body);
	free(it->prompt);
	free(it->trace);
	buf_free(&it->text);
	buf_free(&it->result);
	free(it);
}

void bj_item_wait(bj_t *b, bj_item_t *it)
{
	bj_item_t *at;

	bj_service(b, it->service)->waiting++;
	DL_FOREACH (b->waiting, at) {
		if (at->deadline > it->deadline)
			break;
	}
	if (at)
		DL_PREPEND_ELEM(b->waiting, at, it);
	else
		DL_APPEND(b->waiting, it);
	pthread_cond_signal(&b->fed);
}

void bj_item_end(bj_t *b, bj_item_t *it, bool done, aw_blame_t blame, str_t result)
{
	it->done = done;
	it->blame = blame;
	buf_add(&it->result, result);
	DL_APPEND(b->results[it->group], it);
	b->nresults[it->group]++;
	pthread_cond_broadcast(&b->ended);
}

static void end_done(bj_t *b, bj_item_t *it)
{
	AUTO_BUF r = {0};

	assert(it->ntokens == it->max_tokens);
	if (it->job[0] == 0) {
		buf_add(&r, STR("{\"id\":"));
		buf_add_json(&r, str_c(it->key));
		buf_add(&r, STR(",\"text\":"));
	} else {
		buf_add(&r, STR("{\"text\":"));
	}
	buf_add_json(&r, str_buf(&it->text));
	buf_addf(&r, ",\"tokens\":%u,\"verdict\":\"ran\"}", it->ntokens);
	bj_item_end(b, it, true, AW_BLAME_NONE, str_buf(&r));
}

static void on_token(void *ctx, unsigned index, str_t text)
{
	bj_item_t *it = ctx;

	if (index != it->ntokens)
		return;
	it->ntokens++;
	buf_add(&it->text, text);
}

/* Without resume a stream that gave way begins anew. */
static void drop_tokens(bj_item_t *it)
{
	it->ntokens = 0;
	buf_drop(&it->text, it->text.n);
}

/* A stream that ended without being done: again from its tokens, or back to the ledger. */
static void end_undone(bj_t *b, bj_item_t *it, const rn_end_t *end)
{
	bool fault = end->kind == RN_STALLED || end->kind == RN_CROSSED;

	if (it->cancelled) {
		bj_item_end(b, it, false, AW_BLAME_NONE, STR("cancelled"));
	} else if (end->kind == RN_REJECTED) {
		bj_item_end(b, it, false, AW_BLAME_ITEM, end->message);
	} else if (end->kind == RN_LOST || (fault && ++it->resumes > RESUMES_MAX)) {
		bj_item_end(b, it, false, AW_BLAME_REPLICA, end->message);
	} else if (b->draining) {
		bj_item_end(b, it, false, AW_BLAME_NONE, STR("its entry stops"));
	} else {
		if (end->kind == RN_PREEMPTED && b->en->set.preempt == OW_PREEMPT_CANCEL)
			drop_tokens(it);
		it->not_before = end->kind == RN_PREEMPTED ? 0 : clk_now_ms() + PAUSE_MS;
		bj_item_wait(b, it);
	}
}

static void on_end(void *ctx, const rn_end_t *end)
{
	bj_item_t *it = ctx;
	bj_t *b = it->b;
	ro_t *ro;

	if (end->kind != RN_DONE)
		lg(LG_INFO, "item_ended", LG_C("key", it->job[0] ? it->job : it->key),
		   LG_I("index", it->index), LG_C("ended", rn_kind_name(end->kind)),
		   LG_I("tokens", it->ntokens), LG_S("message", end->message));
	pthread_mutex_lock(&b->lock);
	DL_DELETE(b->running, it);
	ro = it->ro;
	it->ro = NULL;
	it->stream = 0;
	if (it->pinned)
		up_avoid(it->pinned, 0);
	it->pinned = NULL;
	if (end->kind == RN_DONE)
		end_done(b, it);
	else
		end_undone(b, it, end);
	pthread_cond_signal(&b->fed);
	pthread_mutex_unlock(&b->lock);
	ro_unref(ro);
}

static rn_work_t work_of(const bj_item_t *it)
{
	AUTO_CONF *c = en_conf_get(it->b->en->snap);
	const tx_service_t *s = c ? tx_service(c->text, str_c(it->service)) : NULL;
	bool orphan = it->job[0] == 0;

	return (rn_work_t){.cls = orphan && !it->alone ? OW_ONLINE : OW_BATCH,
			   .deadline = orphan ? clk_now_ms() + ORPHAN_WAIT_MS : it->deadline,
			   .alone = it->alone,
			   .max_tokens = it->max_tokens,
			   .resume_from = it->ntokens,
			   .caller = str_c(it->caller),
			   .key = str_c(orphan ? it->key : it->job),
			   .service = str_c(it->service),
			   .model = str_c(s && s->model ? s->model : it->service),
			   .prompt = {it->prompt, it->prompt_n},
			   .trace = str_c(it->trace)};
}

static void pin(bj_item_t *it, up_t *u)
{
	if (!it->alone || (it->pinned == u && it->pinned_until > clk_now_ms()))
		return;
	it->pinned = u;
	it->pinned_until = clk_now_ms() + PINNED_MS;
	up_avoid(u, it->pinned_until);
	lg(LG_INFO, "replica_emptied", LG_C("key", it->job[0] ? it->job : it->key),
	   LG_I("index", it->index));
}

void bj_item_run(bj_item_t *it, const up_info_t *at)
{
	bj_t *b = it->b;
	rn_sink_t sink = {it, on_token, on_end};
	rn_work_t w = work_of(it);
	int64_t retry_after_ms;
	ro_t *ro = ro_ref(at->ro);
	bool alone = it->alone;

	pthread_mutex_lock(&b->lock);
	it->ro = ro_ref(ro);
	DL_APPEND(b->running, it);
	pthread_mutex_unlock(&b->lock);
	if (w.resume_from)
		lg(LG_INFO, "resumed", LG_S("key", w.key), LG_I("index", it->index),
		   LG_C("upstream", at->id), LG_I("from", w.resume_from));
	if (ro_offer(ro, &w, &sink, &it->stream, &retry_after_ms) == OW_REFUSED) {
		pthread_mutex_lock(&b->lock);
		DL_DELETE(b->running, it);
		it->ro = NULL;
		it->stream = 0;
		it->not_before = clk_now_ms() + (it->alone ? PAUSE_ALONE_MS : PAUSE_MS);
		pin(it, at->up);
		bj_item_wait(b, it);
		pthread_mutex_unlock(&b->lock);
		if (alone)
			ro_preempt_one(ro);
		ro_unref(ro);
	}
	ro_unref(ro);
}
