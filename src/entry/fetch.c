#include "entry/fetch.h"

#include <assert.h>
#include <curl/curl.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>
#include "base/metric.h"
#include "net/http.h"
#include "net/sse.h"

#define CONNECT_TIMEOUT_MS   1000
#define POLL_INTERVAL_MS     20
#define POOL_CONNECTIONS_MAX 1024
#define RESPONSE_MAX_BYTES   (4 << 20)

typedef struct call {
	uint64_t id;
	CURL *curl;
	struct curl_slist *headers;
	char *body;
	buf_t response;
	sse_parser_t sse;
	int64_t silence_timeout_ms;
	deadline_t silence_deadline;
	deadline_t deadline;
	bool aborted;
	bool body_sent;
	fetch_options_t options;
	struct call *next;
	struct call *prev;
	UT_hash_handle hh;
} call_t;

struct fetch_client {
	CURLM *multi;
	pthread_mutex_t lock;
	uint64_t last_id;
	call_t *pending; /* calls not yet handed to libcurl */
	call_t *running; /* hash by id; used by client_thread only */
};

static bool is_event_stream(const call_t *c)
{
	char *type = NULL;

	curl_easy_getinfo(c->curl, CURLINFO_CONTENT_TYPE, &type);
	return type && strncmp(type, "text/event-stream", strlen("text/event-stream")) == 0;
}

static bool on_sse_event(void *ctx, const sse_event_t *event)
{
	call_t *c = ctx;

	return !event->has_data || c->options.on_event(c->options.ctx, event->name, event->data);
}

static size_t on_response_bytes(char *p, size_t size, size_t n, void *ctx)
{
	call_t *c = ctx;
	str_t bytes = {p, size * n};

	if (c->silence_timeout_ms)
		c->silence_deadline = clock_now_ms() + c->silence_timeout_ms;
	if (c->options.on_event && is_event_stream(c))
		return sse_feed(&c->sse, bytes, on_sse_event, c) ? bytes.n : 0;
	if (c->response.n + bytes.n > RESPONSE_MAX_BYTES)
		return 0;
	buf_add(&c->response, bytes);
	return bytes.n;
}

static size_t on_request_bytes(char *p, size_t size, size_t n, void *ctx)
{
	call_t *c = ctx;
	size_t nleft = c->options.body.n;
	size_t take = nleft < size * n ? nleft : size * n;

	c->body_sent = true;
	if (take)
		memcpy(p, c->options.body.p, take);
	c->options.body.p += take;
	c->options.body.n -= take;
	return take;
}

/* Rewinds the body when libcurl sends a request again on another connection. */
static int on_request_seek(void *ctx, curl_off_t offset, int origin)
{
	call_t *c = ctx;
	size_t total = c->options.body.n + (size_t)(c->options.body.p - c->body);

	if (origin != SEEK_SET || offset < 0 || (size_t)offset > total)
		return CURL_SEEKFUNC_FAIL;
	c->options.body = (str_t){c->body + offset, total - (size_t)offset};
	return CURL_SEEKFUNC_OK;
}

static void set_request_body(call_t *c)
{
	curl_easy_setopt(c->curl, CURLOPT_POST, 1L);
	curl_easy_setopt(c->curl, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)c->options.body.n);
	curl_easy_setopt(c->curl, CURLOPT_READFUNCTION, on_request_bytes);
	curl_easy_setopt(c->curl, CURLOPT_READDATA, c);
	curl_easy_setopt(c->curl, CURLOPT_SEEKFUNCTION, on_request_seek);
	curl_easy_setopt(c->curl, CURLOPT_SEEKDATA, c);
	c->headers = curl_slist_append(c->headers, "Expect:");
}

static call_t *call_new(const fetch_options_t *options)
{
	call_t *c = mem_new(sizeof(*c));

	c->options = *options;
	c->body = str_dup(options->body);
	c->options.body = (str_t){c->body, options->body.n};
	c->silence_timeout_ms = options->silence_timeout_ms;
	c->silence_deadline = DEADLINE_NEVER;
	if (options->first_byte_timeout_ms || options->silence_timeout_ms)
		c->silence_deadline = clock_now_ms() + (options->first_byte_timeout_ms
								? options->first_byte_timeout_ms
								: options->silence_timeout_ms);
	c->deadline = options->deadline ? options->deadline : DEADLINE_NEVER;
	c->curl = curl_easy_init();
	if (!c->curl)
		abort();
	curl_easy_setopt(c->curl, CURLOPT_URL, options->url);
	curl_easy_setopt(c->curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c->curl, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(c->curl, CURLOPT_PROXY, "");
	curl_easy_setopt(c->curl, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
	curl_easy_setopt(c->curl, CURLOPT_PRIVATE, c);
	curl_easy_setopt(c->curl, CURLOPT_WRITEFUNCTION, on_response_bytes);
	curl_easy_setopt(c->curl, CURLOPT_WRITEDATA, c);
	curl_easy_setopt(c->curl, CURLOPT_FRESH_CONNECT, options->new_connection ? 1L : 0L);
	curl_easy_setopt(c->curl, CURLOPT_FORBID_REUSE, options->new_connection ? 1L : 0L);
	for (const char *const *h = options->headers; h && *h; h++)
		c->headers = curl_slist_append(c->headers, *h);
	if (strcmp(options->method, "POST") == 0)
		set_request_body(c);
	curl_easy_setopt(c->curl, CURLOPT_HTTPHEADER, c->headers);
	return c;
}

static void call_free(call_t *c)
{
	curl_easy_cleanup(c->curl);
	curl_slist_free_all(c->headers);
	free(c->body);
	buf_free(&c->response);
	sse_free(&c->sse);
	free(c);
}

/* FETCH_NOT_SENT only if no byte of the request was sent: then the server can't have run it. */
static fetch_result_t result_of(const call_t *c, CURLcode code)
{
	long request_bytes = 0;

	if (code == CURLE_OK)
		return FETCH_FINISHED;
	curl_easy_getinfo(c->curl, CURLINFO_REQUEST_SIZE, &request_bytes);
	if (!c->body_sent && request_bytes == 0)
		return FETCH_NOT_SENT;
	return FETCH_BROKEN;
}

static void finish_call(fetch_client_t *client, call_t *c, fetch_result_t result)
{
	long status = 0;
	char *type = NULL;
	fetch_end_t end;

	curl_easy_getinfo(c->curl, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(c->curl, CURLINFO_CONTENT_TYPE, &type);
	if (result == FETCH_FINISHED && !http_is_status(status))
		result = FETCH_BROKEN;
	end = (fetch_end_t){result, (int)status, str_buf(&c->response), type};
	HASH_DEL(client->running, c);
	c->options.on_end(c->options.ctx, &end);
	curl_multi_remove_handle(client->multi, c->curl);
	call_free(c);
}

static void start_pending_calls(fetch_client_t *client)
{
	call_t *list;
	call_t *c;
	call_t *next;

	pthread_mutex_lock(&client->lock);
	list = client->pending;
	client->pending = NULL;
	pthread_mutex_unlock(&client->lock);
	DL_FOREACH_SAFE(list, c, next)
	{
		HASH_ADD(hh, client->running, id, sizeof(c->id), c);
		curl_multi_add_handle(client->multi, c->curl);
	}
}

static void finish_completed_calls(fetch_client_t *client)
{
	CURLMsg *m;
	int nleft;

	while ((m = curl_multi_info_read(client->multi, &nleft)) != NULL) {
		CURLcode code = m->data.result;
		call_t *c = NULL;

		if (m->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, &c);
		finish_call(client, c, result_of(c, code));
	}
}

static void finish_timed_out_calls(fetch_client_t *client)
{
	int64_t now = clock_now_ms();
	call_t *c;
	call_t *next;

	HASH_ITER (hh, client->running, c, next)
		if (c->silence_deadline <= now || c->deadline <= now)
			finish_call(client, c, FETCH_TIMED_OUT);
}

static void *client_thread(void *arg)
{
	fetch_client_t *client = arg;
	int64_t checked = 0;

	for (;;) {
		int n = 0;

		start_pending_calls(client);
		curl_multi_perform(client->multi, &n);
		finish_completed_calls(client);
		if (clock_now_ms() - checked >= POLL_INTERVAL_MS) {
			checked = clock_now_ms();
			finish_timed_out_calls(client);
		}
		curl_multi_poll(client->multi, NULL, 0, POLL_INTERVAL_MS, NULL);
	}
	return NULL;
}

fetch_client_t *fetch_client_new(void)
{
	fetch_client_t *client = mem_new(sizeof(*client));
	pthread_t t;

	curl_global_init(CURL_GLOBAL_DEFAULT);
	client->multi = curl_multi_init();
	curl_multi_setopt(client->multi, CURLMOPT_MAXCONNECTS, (long)POOL_CONNECTIONS_MAX);
	pthread_mutex_init(&client->lock, NULL);
	if (pthread_create(&t, NULL, client_thread, client) != 0)
		abort();
	pthread_detach(t);
	return client;
}

void fetch_start(fetch_client_t *client, const fetch_options_t *options)
{
	call_t *c = call_new(options);

	assert(options->on_end);
	pthread_mutex_lock(&client->lock);
	c->id = ++client->last_id;
	DL_APPEND(client->pending, c);
	pthread_mutex_unlock(&client->lock);
	curl_multi_wakeup(client->multi);
}

typedef struct {
	pthread_mutex_t lock;
	pthread_cond_t cond;
	bool done;
	fetch_result_t result;
	int http_status;
	buf_t *out;
} sync_call_t;

static void on_sync_end(void *ctx, const fetch_end_t *end)
{
	sync_call_t *w = ctx;

	pthread_mutex_lock(&w->lock);
	w->result = end->result;
	w->http_status = end->http_status;
	if (w->out)
		buf_add(w->out, end->body);
	w->done = true;
	pthread_cond_signal(&w->cond);
	pthread_mutex_unlock(&w->lock);
}

fetch_result_t fetch_sync(fetch_client_t *client, const fetch_options_t *options, int *http_status,
			  buf_t *out)
{
	sync_call_t w = {.lock = PTHREAD_MUTEX_INITIALIZER, .cond = PTHREAD_COND_INITIALIZER};
	fetch_options_t own = *options;

	w.out = out;
	own.ctx = &w;
	own.on_end = on_sync_end;
	own.on_event = NULL;
	fetch_start(client, &own);
	pthread_mutex_lock(&w.lock);
	while (!w.done)
		pthread_cond_wait(&w.cond, &w.lock);
	pthread_mutex_unlock(&w.lock);
	if (http_status)
		*http_status = w.http_status;
	return w.result;
}
