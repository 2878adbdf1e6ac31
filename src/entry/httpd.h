/** HTTP server of the entry: endpoints, request access, JSON replies, authentication. */
#ifndef AUBURN_HTTPD_H
#define AUBURN_HTTPD_H

#include <ulfius.h>
#include "entry/entry.h"

typedef int (*httpd_handler_t)(const struct _u_request *req, struct _u_response *res, void *en);

typedef struct {
	const char *method;
	const char *path;
	httpd_handler_t handler;
} httpd_endpoint_t;

/** Starts the server; STATUS_INVALID or STATUS_IO if the address is malformed or can't be bound.
 * The endpoints end with one whose method is NULL. */
status_t httpd_start(entry_ctx_t *en, const httpd_endpoint_t *endpoints);
/** Stops the server and closes all connections. */
void httpd_stop(void);

/** Returns a header or a path or query parameter; empty if absent. */
str_t httpd_header(const struct _u_request *req, const char *name);
str_t httpd_param(const struct _u_request *req, const char *name);
/** Parses an integer from a string that ends with a NUL byte; returns `fallback` if it is absent or
 * malformed. */
int64_t httpd_int(str_t s, int64_t fallback);
/** The same for a timeout in ms; clamps it to 0..1 year. */
int64_t httpd_timeout_ms(str_t s, int64_t fallback);
/** True if a key, job id or path is non-empty printable ASCII without spaces, so that it can't
 * break a header, a request line or a log line. JSON still needs escaping. */
bool httpd_token_valid(str_t key);
str_t httpd_body(const struct _u_request *req);

int httpd_reply(struct _u_response *res, int status, const char *type, str_t body);
int httpd_json(struct _u_response *res, int status, str_t body);
/** Replies with an error as JSON, and Retry-After if retry_after_ms > 0. */
int httpd_error(struct _u_response *res, int status, const char *code, str_t message,
		verdict_t verdict, int64_t retry_after_ms);
/** Replies with an error body that is already JSON, such as a stored one. */
int httpd_error_json(struct _u_response *res, int status, str_t body, int64_t retry_after_ms);

/** Sets *name to the caller or operator whose bearer key the request has; else replies 401 and
 * returns false. */
bool httpd_auth_caller(entry_ctx_t *en, const struct _u_request *req, struct _u_response *res,
		       str_t *name);
bool httpd_auth_operator(entry_ctx_t *en, const struct _u_request *req, struct _u_response *res,
			 str_t *name);
/** True if the request has the peer key of the entries; else replies 401. */
bool httpd_auth_peer(entry_ctx_t *en, const struct _u_request *req, struct _u_response *res);
/** True if the body has at most max_body_bytes, or less than that if the request has no
 * Content-Length; else replies 413. */
bool httpd_check_body_size(entry_ctx_t *en, const struct _u_request *req, struct _u_response *res);

#endif
