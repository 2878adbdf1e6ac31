/** Blocking calls of the load tool, for all that isn't measured. */
#ifndef AUBURN_SYNC_HTTP_H
#define AUBURN_SYNC_HTTP_H

#include <curl/curl.h>
#include "base/str.h"

/** GET; the HTTP status, or 0 when there was no answer. key may be NULL. */
long sync_http_get(const char *url, const char *key, long timeout_ms, buf_t *out);
long sync_http_delete(const char *url, const char *key, long timeout_ms, buf_t *out);
/** POST with an idempotency key. */
long sync_http_post(const char *url, const char *key, const char *idempotency_key, str_t body,
		    long timeout_ms, buf_t *out);
/** Adds "name: value" to a header list. */
struct curl_slist *sync_http_add_header(struct curl_slist *h, const char *name, const char *value);
/** Write callback that appends to a buf_t. */
size_t sync_http_append(char *p, size_t size, size_t n, void *out);

#endif
