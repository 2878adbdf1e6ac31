#include "entry/peer_api.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include "base/metric.h"
#include "entry/batch.h"

#define URL_BYTES	  128
#define CANCEL_TIMEOUT_MS 1000

int peer_api_cancel(const struct _u_request *req, struct _u_response *res, void *ctx)
{
	entry_ctx_t *en = ctx;
	str_t body = httpd_body(req);
	AUTO_ENTRY_VIEW *v = entry_view_get(en->snapshot);
	const char *caller;
	const char *job;
	uint64_t session;
	json_t *j;

	if (!httpd_auth_peer(en, req, res))
		return U_CALLBACK_COMPLETE;
	j = json_loadb(body.p, body.n, 0, NULL);
	caller = json_string_value(json_object_get(j, "caller"));
	job = json_string_value(json_object_get(j, "job"));
	session = (uint64_t)json_integer_value(json_object_get(j, "session"));
	if (caller && job && v && entry_find_member(&v->view, session)) {
		batch_cancel_job(en->batch, str_c(caller), str_c(job));
		httpd_json(res, 200, STR("{\"ok\":true}"));
	} else {
		httpd_error(res, 403, "not_a_member", STR("the sender is not a member"),
			    VERDICT_NOT_RUN, 0);
	}
	json_decref(j);
	return U_CALLBACK_COMPLETE;
}

typedef struct {
	pthread_mutex_t lock;
	pthread_cond_t cond;
	unsigned pending;
} broadcast_t;

static void on_cancel_reply(void *ctx, const fetch_end_t *end)
{
	broadcast_t *b = ctx;

	if (end->result != FETCH_FINISHED)
		METRIC_INC("auburn_cancel_broadcasts_failed_total");
	pthread_mutex_lock(&b->lock);
	b->pending--;
	pthread_cond_signal(&b->cond);
	pthread_mutex_unlock(&b->lock);
}

static void send_cancel(entry_ctx_t *en, const wire_member_t *m, str_t body, broadcast_t *b)
{
	AUTO_BUF key = {0};
	const char *headers[] = {"Content-Type: application/json", NULL, NULL};
	char url[URL_BYTES];
	const fetch_options_t o = {.method = "POST",
				   .url = url,
				   .headers = headers,
				   .body = body,
				   .deadline = clock_now_ms() + CANCEL_TIMEOUT_MS,
				   .ctx = b,
				   .on_end = on_cancel_reply};

	buf_addf(&key, "Authorization: Bearer %s", en->settings.peer_key);
	headers[1] = key.p;
	snprintf(url, sizeof(url), "http://%.*s/internal/v1/cancel", STR_ARG(wire_str(m->addr)));
	pthread_mutex_lock(&b->lock);
	b->pending++;
	pthread_mutex_unlock(&b->lock);
	fetch_start(en->fetch_client, &o);
}

void peer_api_broadcast_cancel(entry_ctx_t *en, str_t caller, str_t job)
{
	AUTO_ENTRY_VIEW *v = entry_view_get(en->snapshot);
	broadcast_t b = {PTHREAD_MUTEX_INITIALIZER, PTHREAD_COND_INITIALIZER, 0};
	AUTO_BUF body = {0};

	batch_cancel_job(en->batch, caller, job);
	buf_addf(&body,
		 "{\"session\":%llu,\"caller\":", (unsigned long long)entry_session(en->snapshot));
	buf_add_json(&body, caller);
	buf_add(&body, STR(",\"job\":"));
	buf_add_json(&body, job);
	buf_addc(&body, '}');
	for (u_int i = 0; v && i < v->view.members.members_len; i++)
		if (v->view.members.members_val[i].session != entry_session(en->snapshot))
			send_cancel(en, &v->view.members.members_val[i], str_buf(&body), &b);
	pthread_mutex_lock(&b.lock);
	while (b.pending)
		pthread_cond_wait(&b.cond, &b.lock);
	pthread_mutex_unlock(&b.lock);
}
