#include "entry/fetch.h"

#include <assert.h>
#include <curl/curl.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>
#include "base/metric.h"
#include "net/sse.h"

#define CONNECT_TIMEOUT_MS 1000
#define POLL_MS		   20
#define KEPT_CONNECTIONS   1024
#define BODY_MAX_BYTES	   (4 << 20)

typedef struct call {
	uint64_t id;
	CURL *curl;
	struct curl_slist *headers;
	char *body;
	buf_t answer;
	sse_parser_t sse;
	int64_t silence_ms;
	deadline_t silent_at;
	deadline_t deadline;
	bool aborted;
	bool sent;
	fetch_options_t o;
	struct call *next;
	struct call *prev;
	UT_hash_handle hh;
} call_t;

struct ec {
	CURLM *multi;
	pthread_mutex_t lock;
	uint64_t last_id;
	call_t *fresh; /* not yet given to curl */
	call_t *running; /* hash by id; used by the thread only */
};

static bool is_stream(const call_t *c)
{
	char *type = NULL;

	curl_easy_getinfo(c->curl, CURLINFO_CONTENT_TYPE, &type);
	return type && strncmp(type, "text/event-stream", strlen("text/event-stream")) == 0;
}

static bool on_event(void *ctx, const sse_event_t *e)
{
	call_t *c = ctx;

	return !e->has_data || c->o.on_event(c->o.ctx, e->name, e->data);
}

static size_t on_bytes(char *p, size_t size, size_t n, void *ctx)
{
	call_t *c = ctx;
	str_t bytes = {p, size * n};

	if (c->silence_ms)
		c->silent_at = clock_now_ms() + c->silence_ms;
	if (c->o.on_event && is_stream(c))
		return sse_feed(&c->sse, bytes, on_event, c) ? bytes.n : 0;
	if (c->answer.n + bytes.n > BODY_MAX_BYTES)
		return 0;
	buf_add(&c->answer, bytes);
	return bytes.n;
}

static size_t on_request_bytes(char *p, size_t size, size_t n, void *ctx)
{
	call_t *c = ctx;
	size_t left = c->o.body.n;
	size_t take = left < size * n ? left : size * n;

	c->sent = true;
	if (take)
		memcpy(p, c->o.body.p, take);
	c->o.body.p += take;
	c->o.body.n -= take;
	return take;
}

static int on_seek(void *ctx, curl_off_t offset, int origin)
{
	call_t *c = ctx;
	size_t total = c->o.body.n + (size_t)(c->o.body.p - c->body);

	if (origin != SEEK_SET || offset < 0 || (size_t)offset > total)
		return CURL_SEEKFUNC_FAIL;
	c->o.body = (str_t){c->body + offset, total - (size_t)offset};
	return CURL_SEEKFUNC_OK;
}

static void set_body(call_t *c)
{
	curl_easy_setopt(c->curl, CURLOPT_POST, 1L);
	curl_easy_setopt(c->curl, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)c->o.body.n);
	curl_easy_setopt(c->curl, CURLOPT_READFUNCTION, on_request_bytes);
	curl_easy_setopt(c->curl, CURLOPT_READDATA, c);
	curl_easy_setopt(c->curl, CURLOPT_SEEKFUNCTION, on_seek);
	curl_easy_setopt(c->curl, CURLOPT_SEEKDATA, c);
	c->headers = curl_slist_append(c->headers, "Expect:");
}

static call_t *call_new(const fetch_options_t *o)
{
	call_t *c = mem_new(sizeof(*c));

	c->o = *o;
	c->body = str_dup(o->body);
	c->o.body = (str_t){c->body, o->body.n};
	c->silence_ms = o->silence_timeout_ms;
	c->silent_at = DEADLINE_NEVER;
	if (o->first_byte_timeout_ms || o->silence_timeout_ms)
		c->silent_at = clock_now_ms() + (o->first_byte_timeout_ms ? o->first_byte_timeout_ms
									  : o->silence_timeout_ms);
	c->deadline = o->deadline ? o->deadline : DEADLINE_NEVER;
	c->curl = curl_easy_init();
	if (!c->curl)
		abort();
	curl_easy_setopt(c->curl, CURLOPT_URL, o->url);
	curl_easy_setopt(c->curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c->curl, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(c->curl, CURLOPT_PROXY, "");
	curl_easy_setopt(c->curl, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
	curl_easy_setopt(c->curl, CURLOPT_PRIVATE, c);
	curl_easy_setopt(c->curl, CURLOPT_WRITEFUNCTION, on_bytes);
	curl_easy_setopt(c->curl, CURLOPT_WRITEDATA, c);
	curl_easy_setopt(c->curl, CURLOPT_FRESH_CONNECT, o->new_connection ? 1L : 0L);
	curl_easy_setopt(c->curl, CURLOPT_FORBID_REUSE, o->new_connection ? 1L : 0L);
	for (const char *const *h = o->headers; h && *h; h++)
		c->headers = curl_slist_append(c->headers, *h);
	if (strcmp(o->method, "POST") == 0)
		set_body(c);
	curl_easy_setopt(c->curl, CURLOPT_HTTPHEADER, c->headers);
	return c;
}

static void call_free(call_t *c)
{
	curl_easy_cleanup(c->curl);
	curl_slist_free_all(c->headers);
	free(c->body);
	buf_free(&c->answer);
	sse_free(&c->sse);
	free(c);
}

static fetch_result_t kind_of(const call_t *c, CURLcode code)
{
	long sent = 0;

	if (code == CURLE_OK)
		return FETCH_FINISHED;
	curl_easy_getinfo(c->curl, CURLINFO_REQUEST_SIZE, &sent);
	if (!c->sent && sent == 0)
		return FETCH_NOT_SENT;
	return FETCH_BROKEN;
}

static void finish(fetch_client_t *e, call_t *c, fetch_result_t kind)
{
	long status = 0;
	char *type = NULL;
	fetch_end_t end;

	curl_easy_getinfo(c->curl, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(c->curl, CURLINFO_CONTENT_TYPE, &type);
	end = (fetch_end_t){kind, (int)status, str_buf(&c->answer), type};
	HASH_DEL(e->running, c);
	c->o.end(c->o.ctx, &end);
	curl_multi_remove_handle(e->multi, c->curl);
	call_free(c);
}

static void start_fresh(fetch_client_t *e)
{
	call_t *list;
	call_t *c;
	call_t *next;

	pthread_mutex_lock(&e->lock);
	list = e->fresh;
	e->fresh = NULL;
	pthread_mutex_unlock(&e->lock);
	DL_FOREACH_SAFE(list, c, next)
	{
		HASH_ADD(hh, e->running, id, sizeof(c->id), c);
		curl_multi_add_handle(e->multi, c->curl);
	}
}

static void finish_done(fetch_client_t *e)
{
	CURLMsg *m;
	int left;

	while ((m = curl_multi_info_read(e->multi, &left)) != NULL) {
		CURLcode code = m->data.result;
		call_t *c = NULL;

		if (m->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, &c);
		finish(e, c, kind_of(c, code));
	}
}

static void finish_silent(fetch_client_t *e)
{
	int64_t now = clock_now_ms();
	call_t *c;
	call_t *next;

	HASH_ITER (hh, e->running, c, next)
		if (c->silent_at <= now || c->deadline <= now)
			finish(e, c, FETCH_TIMED_OUT);
}

static void *client_thread(void *arg)
{
	fetch_client_t *e = arg;
	int64_t checked = 0;

	for (;;) {
		int n = 0;

		start_fresh(e);
		curl_multi_perform(e->multi, &n);
		finish_done(e);
		if (clock_now_ms() - checked >= POLL_MS) {
			checked = clock_now_ms();
			finish_silent(e);
		}
		curl_multi_poll(e->multi, NULL, 0, POLL_MS, NULL);
	}
	return NULL;
}

fetch_client_t *fetch_client_new(void)
{
	fetch_client_t *e = mem_new(sizeof(*e));
	pthread_t t;

	curl_global_init(CURL_GLOBAL_DEFAULT);
	e->multi = curl_multi_init();
	curl_multi_setopt(e->multi, CURLMOPT_MAXCONNECTS, (long)KEPT_CONNECTIONS);
	pthread_mutex_init(&e->lock, NULL);
	if (pthread_create(&t, NULL, client_thread, e) != 0)
		abort();
	pthread_detach(t);
	return e;
}

void fetch_start(fetch_client_t *e, const fetch_options_t *o)
{
	call_t *c = call_new(o);

	assert(o->end);
	pthread_mutex_lock(&e->lock);
	c->id = ++e->last_id;
	DL_APPEND(e->fresh, c);
	pthread_mutex_unlock(&e->lock);
	curl_multi_wakeup(e->multi);
}

typedef struct {
	pthread_mutex_t lock;
	pthread_cond_t cond;
	bool done;
	fetch_result_t kind;
	int http_status;
	buf_t *out;
} wait_t;

static void on_call_end(void *ctx, const fetch_end_t *end)
{
	wait_t *w = ctx;

	pthread_mutex_lock(&w->lock);
	w->kind = end->result;
	w->http_status = end->http_status;
	if (w->out)
		buf_add(w->out, end->body);
	w->done = true;
	pthread_cond_signal(&w->cond);
	pthread_mutex_unlock(&w->lock);
}

fetch_result_t fetch_sync(fetch_client_t *e, const fetch_options_t *o, int *http_status, buf_t *out)
{
	wait_t w = {.lock = PTHREAD_MUTEX_INITIALIZER, .cond = PTHREAD_COND_INITIALIZER};
	fetch_options_t own = *o;

	w.out = out;
	own.ctx = &w;
	own.end = on_call_end;
	own.on_event = NULL;
	fetch_start(e, &own);
	pthread_mutex_lock(&w.lock);
	while (!w.done)
		pthread_cond_wait(&w.cond, &w.lock);
	pthread_mutex_unlock(&w.lock);
	if (http_status)
		*http_status = w.http_status;
	return w.kind;
}
