/** Blocking HTTP calls of the load tool, for everything but the measured online requests. */
#ifndef AUBURN_SYNC_HTTP_H
#define AUBURN_SYNC_HTTP_H

#include <curl/curl.h>
#include "base/str.h"

/** These return the HTTP status, or 0 if the call failed, and append the body to out. key: bearer
 * key, may be NULL. */
long sync_http_get(const char *url, const char *key, long timeout_ms, buf_t *out);
long sync_http_delete(const char *url, const char *key, long timeout_ms, buf_t *out);
/** Posts newline-delimited JSON. */
long sync_http_post(const char *url, const char *key, const char *idempotency_key, str_t body,
		    long timeout_ms, buf_t *out);
/** Appends "name: value" to a header list and returns the list. */
struct curl_slist *sync_http_add_header(struct curl_slist *h, const char *name, const char *value);
/** A CURLOPT_WRITEFUNCTION that appends to the buf_t passed as out. */
size_t sync_http_append(char *p, size_t size, size_t n, void *out);

#endif
