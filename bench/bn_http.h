/** Blocking calls of the load tool, for all that isn't measured. */
#ifndef AUBURN_BN_HTTP_H
#define AUBURN_BN_HTTP_H

#include <curl/curl.h>
#include "base/str.h"

/** GET; the HTTP status, or 0 when there was no answer. key may be NULL. */
long bn_http_get(const char *url, const char *key, long timeout_ms, buf_t *out);
long bn_http_delete(const char *url, const char *key, long timeout_ms, buf_t *out);
/** POST with an idempotency key. */
long bn_http_post(const char *url, const char *key, const char *idempotency_key, str_t body,
		  long timeout_ms, buf_t *out);
/** Adds "name: value" to a header list. */
struct curl_slist *bn_http_header(struct curl_slist *h, const char *name, const char *value);
/** Write callback that appends to a buf_t. */
size_t bn_http_append(char *p, size_t size, size_t n, void *out);

#endif
