#include <curl/curl.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/args.h"
#include "ctl/ctl.h"

#define CONNECT_MS   1000L
#define HEADER_BYTES 512
#define READ_BYTES   65536
#define RETRY_ROUNDS 3

typedef struct {
	const ctl_call_t *call;
	CURL *curl;
	buf_t *out;
} response_sink_t;

static size_t on_body(char *p, size_t size, size_t n, void *ctx)
{
	response_sink_t *s = ctx;
	long code = 0;
	str_t chunk = {p, size * n};

	curl_easy_getinfo(s->curl, CURLINFO_RESPONSE_CODE, &code);
	if (s->call->on_chunk && code == 200)
		s->call->on_chunk(s->call->ctx, chunk);
	else
		buf_add(s->out, chunk);
	return chunk.n;
}

static int on_progress(void *ctx, curl_off_t dltotal, curl_off_t dlnow, curl_off_t ultotal,
		       curl_off_t ulnow)
{
	if (ultotal > 0)
		fprintf(stderr, "\rupload %lld of %lld bytes", (long long)ulnow,
			(long long)ultotal);
	return 0;
}

static struct curl_slist *add_header(struct curl_slist *h, const char *name, const char *value)
{
	AUTO_BUF line = {0};

	if (!value)
		return h;
	buf_addf(&line, "%s: %s", name, value);
	return curl_slist_append(h, line.p);
}

static struct curl_slist *make_headers(const ctl_t *ctl, const ctl_call_t *call)
{
	const char *key = call->as_operator ? ctl->settings.operator_key : ctl->settings.key;
	struct curl_slist *h = curl_slist_append(NULL, "Expect:");
	AUTO_BUF bearer = {0};

	if (key) {
		buf_addf(&bearer, "Bearer %s", key);
		h = add_header(h, "Authorization", bearer.p);
	}
	h = add_header(h, "Idempotency-Key", call->idempotency_key);
	return curl_slist_append(h, "Content-Type: application/octet-stream");
}

static void set_method_and_body(CURL *c, const ctl_call_t *call)
{
	curl_easy_setopt(c, CURLOPT_CUSTOMREQUEST, call->method);
	if (!call->body.p)
		return;
	curl_easy_setopt(c, CURLOPT_POSTFIELDS, call->body.p);
	curl_easy_setopt(c, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)call->body.n);
}

status_t ctl_call_entry(ctl_t *ctl, const char *addr, const ctl_call_t *call, buf_t *out,
			long *http)
{
	CURL *c = curl_easy_init();
	struct curl_slist *h = make_headers(ctl, call);
	response_sink_t sink = {call, c, out};
	AUTO_BUF url = {0};
	CURLcode rc;

	buf_addf(&url, "http://%s%s", addr, call->path);
	curl_easy_setopt(c, CURLOPT_URL, url.p);
	curl_easy_setopt(c, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(c, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_MS);
	curl_easy_setopt(c, CURLOPT_HTTPHEADER, h);
	curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(c, CURLOPT_WRITEDATA, &sink);
	set_method_and_body(c, call);
	if (call->show_upload) {
		curl_easy_setopt(c, CURLOPT_NOPROGRESS, 0L);
		curl_easy_setopt(c, CURLOPT_XFERINFOFUNCTION, on_progress);
	}
	rc = curl_easy_perform(c);
	if (call->show_upload)
		fputc('\n', stderr);
	*http = 0;
	curl_easy_getinfo(c, CURLINFO_RESPONSE_CODE, http);
	curl_slist_free_all(h);
	curl_easy_cleanup(c);
	if (rc != CURLE_OK)
		return status_fail(STATUS_UNAVAILABLE, "%s: %s", addr, curl_easy_strerror(rc));
	return STATUS_OK;
}

static void add_str(toml_strs_t *s, const char *v)
{
	s->v = mem_grow(s->v, (s->n + 1) * sizeof(*s->v));
	s->v[s->n++] = str_dup(str_c(v));
}

static bool fetch_entries(ctl_t *ctl, const char *addr, toml_strs_t *out)
{
	ctl_call_t call = {.method = "GET", .path = "/v1/addresses"};
	AUTO_BUF body = {0};
	long http = 0;
	json_t *root;
	json_t *list;
	json_t *a;
	size_t i;

	if (ctl_call_entry(ctl, addr, &call, &body, &http) != STATUS_OK || http != 200)
		return false;
	root = json_loadb(body.p, body.n, 0, NULL);
	list = json_object_get(root, "addresses");
	json_array_foreach(list, i, a)
	{
		const char *v = json_string_value(json_object_get(a, "addr"));

		if (v)
			add_str(out, v);
	}
	json_decref(root);
	return out->n > 0;
}

void ctl_list_entries(ctl_t *ctl, toml_strs_t *out)
{
	*out = (toml_strs_t){0};
	for (size_t i = 0; i < ctl->settings.entries.n; i++) {
		if (fetch_entries(ctl, ctl->settings.entries.v[i], out))
			return;
	}
	for (size_t i = 0; i < ctl->settings.entries.n; i++)
		add_str(out, ctl->settings.entries.v[i]);
}

/* One round: sends the call to each entry until one replies with a status other than 503. */
static status_t call_entries(ctl_t *ctl, const toml_strs_t *addrs, const ctl_call_t *call,
			     buf_t *out, long *http)
{
	status_t st = STATUS_UNAVAILABLE;

	for (size_t i = 0; i < addrs->n; i++) {
		out->n = 0;
		st = ctl_call_entry(ctl, addrs->v[i], call, out, http);
		if (st == STATUS_OK && *http != 503)
			return STATUS_OK;
	}
	return st;
}

/* Sending a call again to another entry is safe: it is idempotent, or it has an idempotency key.
 * Entries require a key if the request may run only once. */
status_t ctl_call(ctl_t *ctl, const ctl_call_t *call, buf_t *out, long *http)
{
	toml_strs_t addrs;
	status_t st = STATUS_UNAVAILABLE;

	ctl_list_entries(ctl, &addrs);
	for (int round = 0; round < RETRY_ROUNDS; round++) {
		st = call_entries(ctl, &addrs, call, out, http);
		if (st == STATUS_OK && *http != 503)
			break;
	}
	toml_strs_free(&addrs);
	return st;
}

int ctl_print_error(status_t st, long http, const buf_t *body)
{
	if (st != STATUS_OK) {
		fprintf(stderr, "auburnctl: call to an entry failed: %s\n", status_message());
		return EXIT_UNREACHED;
	}
	fprintf(stderr, "auburnctl: HTTP status %ld: %s\n", http, body->p ? body->p : "");
	return EXIT_FAILED;
}

int ctl_call_print(ctl_t *ctl, const ctl_call_t *call)
{
	AUTO_BUF body = {0};
	long http = 0;
	status_t st = ctl_call(ctl, call, &body, &http);

	if (st != STATUS_OK || http >= 300)
		return ctl_print_error(st, http, &body);
	if (body.n) {
		fwrite(body.p, 1, body.n, stdout);
		if (body.p[body.n - 1] != '\n')
			putchar('\n');
	}
	return EXIT_OK;
}

status_t ctl_read_file(const char *path, buf_t *out)
{
	FILE *f = strcmp(path, "-") == 0 ? stdin : fopen(path, "rb");
	char *chunk;
	size_t n;

	if (!f)
		return status_fail(STATUS_NOT_FOUND, "%s: %s", path, strerror(errno));
	chunk = mem_new(READ_BYTES);
	while ((n = fread(chunk, 1, READ_BYTES, f)) > 0)
		buf_add(out, (str_t){chunk, n});
	free(chunk);
	if (f != stdin)
		fclose(f);
	return STATUS_OK;
}
