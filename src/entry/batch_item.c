#include "entry/batch_internal.h"

#include <assert.h>
#include <jansson.h>
#include <stdlib.h>
#include <utlist.h>
#include "base/log.h"
#include "base/metric.h"
#include "entry/ledger_client.h"

/* Stalled or crossed attempts after which an item is resumed; one more counts as a fault of the
 * replica. */
#define FAULT_RESUMES_MAX 3
#define RETRY_PAUSE_MS	  50
#define RETRY_ALONE_MS	  10
#define RESERVE_MS	  10000
#define ORPHAN_TIMEOUT_MS 30000 /* to the first token of a request whose entry was lost */

static void parse_body(batch_item_t *it)
{
	json_t *j = json_loadb(it->body, it->body_n, 0, NULL);
	json_t *prompt = json_object_get(j, "prompt");

	it->max_tokens = (unsigned)json_integer_value(json_object_get(j, "max_tokens"));
	it->prompt_n = json_string_length(prompt);
	it->prompt = str_dup((str_t){json_string_value(prompt), it->prompt_n});
	json_decref(j);
}

batch_item_t *batch_item_new(batch_runner_t *b, unsigned group, const char *service,
			     const wire_item_t *a)
{
	batch_item_t *it = mem_new(sizeof(*it));

	it->b = b;
	it->group = group;
	it->session = b->session;
	it->caller = str_dup(wire_str(a->caller));
	it->job = str_dup(wire_str(a->job));
	it->key = str_dup(wire_str(a->key));
	it->service = str_dup(str_c(service));
	it->path = str_dup(wire_str(a->path));
	it->body = str_dup(wire_str(a->body));
	it->body_n = a->body.wire_bytes_t_len;
	it->trace = str_dup(wire_str(a->trace));
	it->index = a->index;
	it->attempt = a->attempt;
	it->alone = a->alone;
	it->repeatable = a->repeatable;
	it->deadline = clock_now_ms() + (a->deadline_wall_ms - clock_wall_ms());
	parse_body(it);
	return it;
}

void batch_item_free(batch_item_t *it)
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

void batch_item_enqueue(batch_runner_t *b, batch_item_t *it)
{
	batch_item_t *target;

	batch_service_get(b, it->service)->waiting++;
	DL_FOREACH (b->waiting, target) {
		if (target->deadline > it->deadline)
			break;
	}
	if (target)
		DL_PREPEND_ELEM(b->waiting, target, it);
	else
		DL_APPEND(b->waiting, it);
	pthread_cond_signal(&b->work_ready);
}

void batch_item_finish(batch_runner_t *b, batch_item_t *it, bool done, wire_blame_t blame,
		       str_t result)
{
	it->done = done;
	it->blame = blame;
	buf_add(&it->result, result);
	DL_APPEND(b->results[it->group], it);
	b->nresults[it->group]++;
	pthread_cond_broadcast(&b->results_ready);
}

static void finish_done(batch_runner_t *b, batch_item_t *it)
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
	batch_item_finish(b, it, true, WIRE_BLAME_NONE, str_buf(&r));
}

static void on_token(void *ctx, unsigned index, str_t text)
{
	batch_item_t *it = ctx;

	if (index != it->ntokens)
		return;
	it->ntokens++;
	buf_add(&it->text, text);
}

/* With OWNER_PREEMPT_CANCEL a preempted item starts over. */
static void discard_tokens(batch_item_t *it)
{
	it->ntokens = 0;
	buf_drop_front(&it->text, it->text.n);
}

/* Handles the end of an attempt that did not complete the item: returns the item to the ledger, or
 * adds it to the waiting list again. */
static void finish_or_requeue(batch_runner_t *b, batch_item_t *it, const attempt_end_t *end)
{
	bool fault = end->outcome == ATTEMPT_STALLED || end->outcome == ATTEMPT_CROSSED;

	if (it->cancelled) {
		batch_item_finish(b, it, false, WIRE_BLAME_NONE, STR("cancelled"));
	} else if (end->outcome == ATTEMPT_REJECTED) {
		batch_item_finish(b, it, false, WIRE_BLAME_ITEM, end->message);
	} else if (end->outcome == ATTEMPT_LOST || (fault && ++it->resumes > FAULT_RESUMES_MAX)) {
		batch_item_finish(b, it, false, WIRE_BLAME_REPLICA, end->message);
	} else if (b->draining) {
		batch_item_finish(b, it, false, WIRE_BLAME_NONE, STR("the entry is draining"));
	} else {
		if (end->outcome == ATTEMPT_PREEMPTED &&
		    b->en->settings.preempt == OWNER_PREEMPT_CANCEL)
			discard_tokens(it);
		it->not_before =
			end->outcome == ATTEMPT_PREEMPTED ? 0 : clock_now_ms() + RETRY_PAUSE_MS;
		batch_item_enqueue(b, it);
	}
}

static void on_attempt_end(void *ctx, const attempt_end_t *end)
{
	batch_item_t *it = ctx;
	batch_runner_t *b = it->b;
	local_replica_t *replica;

	if (end->outcome != ATTEMPT_DONE)
		log_event(LOG_LEVEL_INFO, "item_ended",
			  LOG_CSTR("key", it->job[0] ? it->job : it->key),
			  LOG_INT("index", it->index),
			  LOG_CSTR("ended", attempt_outcome_name(end->outcome)),
			  LOG_INT("tokens", it->ntokens), LOG_STR("message", end->message));
	pthread_mutex_lock(&b->lock);
	DL_DELETE(b->running, it);
	replica = it->replica;
	it->replica = NULL;
	it->stream_id = 0;
	if (it->reserved)
		upstream_avoid(it->reserved, 0);
	it->reserved = NULL;
	if (end->outcome == ATTEMPT_DONE)
		finish_done(b, it);
	else
		finish_or_requeue(b, it, end);
	pthread_cond_signal(&b->work_ready);
	pthread_mutex_unlock(&b->lock);
	local_replica_unref(replica);
}

/* A request whose entry was lost may have a caller waiting: each attempt gets a new deadline,
 * ORPHAN_TIMEOUT_MS from now, and runs in the online class, or in the batch class if it must run
 * alone. */
static attempt_params_t make_params(const batch_item_t *it)
{
	AUTO_ENTRY_CONFIG *c = entry_config_get(it->b->en->snapshot);
	const config_service_t *s = c ? config_find_service(c->config, str_c(it->service)) : NULL;
	bool orphan = it->job[0] == 0;

	return (attempt_params_t){.cls = orphan && !it->alone ? OWNER_ONLINE : OWNER_BATCH,
				  .deadline = orphan ? clock_now_ms() + ORPHAN_TIMEOUT_MS
						     : it->deadline,
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

/* Reserves the replica if the item must run alone: other work avoids the replica until an attempt
 * of the item ends or RESERVE_MS have passed. */
static void reserve_replica(batch_item_t *it, upstream_t *u)
{
	if (!it->alone || (it->reserved == u && it->reserved_until > clock_now_ms()))
		return;
	it->reserved = u;
	it->reserved_until = clock_now_ms() + RESERVE_MS;
	upstream_avoid(u, it->reserved_until);
	log_event(LOG_LEVEL_INFO, "replica_reserved",
		  LOG_CSTR("key", it->job[0] ? it->job : it->key), LOG_INT("index", it->index));
}

void batch_item_run(batch_item_t *it, const upstream_info_t *target)
{
	batch_runner_t *b = it->b;
	attempt_sink_t sink = {it, on_token, on_attempt_end};
	attempt_params_t params = make_params(it);
	int64_t retry_after_ms;
	local_replica_t *replica = local_replica_ref(target->replica);
	bool alone = it->alone;

	pthread_mutex_lock(&b->lock);
	it->replica = local_replica_ref(replica);
	DL_APPEND(b->running, it);
	pthread_mutex_unlock(&b->lock);
	if (params.resume_from)
		log_event(LOG_LEVEL_INFO, "resumed", LOG_STR("key", params.key),
			  LOG_INT("index", it->index), LOG_CSTR("upstream", target->id),
			  LOG_INT("from", params.resume_from));
	if (local_replica_offer(replica, &params, &sink, &it->stream_id, &retry_after_ms) ==
	    OWNER_REFUSED) {
		pthread_mutex_lock(&b->lock);
		DL_DELETE(b->running, it);
		it->replica = NULL;
		it->stream_id = 0;
		it->not_before = clock_now_ms() + (it->alone ? RETRY_ALONE_MS : RETRY_PAUSE_MS);
		reserve_replica(it, target->upstream);
		batch_item_enqueue(b, it);
		pthread_mutex_unlock(&b->lock);
		if (alone)
			local_replica_preempt_newest(replica);
		local_replica_unref(replica);
	}
	local_replica_unref(replica);
}
