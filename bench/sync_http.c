#include "sync_http.h"

size_t sync_http_append(char *p, size_t size, size_t n, void *out)
{
	buf_add(out, (str_t){p, size * n});
	return size * n;
}

struct curl_slist *sync_http_add_header(struct curl_slist *h, const char *name, const char *value)
{
	AUTO_BUF line = {0};

	buf_addf(&line, "%s: %s", name, value);
	return curl_slist_append(h, line.p);
}

static struct curl_slist *add_bearer_key(struct curl_slist *h, const char *key)
{
	AUTO_BUF bearer = {0};

	if (!key)
		return h;
	buf_addf(&bearer, "Bearer %s", key);
	return sync_http_add_header(h, "Authorization", bearer.p);
}

static long perform(CURL *c, const char *url, struct curl_slist *h, long timeout_ms, buf_t *out)
{
	long code = 0;

	curl_easy_setopt(c, CURLOPT_URL, url);
	curl_easy_setopt(c, CURLOPT_HTTPHEADER, h);
	curl_easy_setopt(c, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c, CURLOPT_TIMEOUT_MS, timeout_ms);
	curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, sync_http_append);
	curl_easy_setopt(c, CURLOPT_WRITEDATA, out);
	if (curl_easy_perform(c) == CURLE_OK)
		curl_easy_getinfo(c, CURLINFO_RESPONSE_CODE, &code);
	curl_easy_cleanup(c);
	curl_slist_free_all(h);
	return code;
}

long sync_http_get(const char *url, const char *key, long timeout_ms, buf_t *out)
{
	return perform(curl_easy_init(), url, add_bearer_key(NULL, key), timeout_ms, out);
}

long sync_http_delete(const char *url, const char *key, long timeout_ms, buf_t *out)
{
	CURL *c = curl_easy_init();

	curl_easy_setopt(c, CURLOPT_CUSTOMREQUEST, "DELETE");
	return perform(c, url, add_bearer_key(NULL, key), timeout_ms, out);
}

long sync_http_post(const char *url, const char *key, const char *idempotency_key, str_t body,
		    long timeout_ms, buf_t *out)
{
	CURL *c = curl_easy_init();
	struct curl_slist *h = add_bearer_key(NULL, key);

	h = sync_http_add_header(h, "Idempotency-Key", idempotency_key);
	h = sync_http_add_header(h, "Content-Type", "application/x-ndjson");
	h = curl_slist_append(h, "Expect:");
	curl_easy_setopt(c, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)body.n);
	curl_easy_setopt(c, CURLOPT_POSTFIELDS, body.p);
	return perform(c, url, h, timeout_ms, out);
}
