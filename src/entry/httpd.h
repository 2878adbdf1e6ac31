/** HTTP serving: the listener, header and parameter access, JSON replies and errors. */
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

/** Listens; STATUS_IO if the address can't be had. Routes end with a NULL method. */
status_t httpd_start(entry_ctx_t *en, const httpd_endpoint_t *endpoints);
/** Cuts what still runs. */
void httpd_stop(void);

/** Empty if absent. */
str_t httpd_header(const struct _u_request *req, const char *name);
str_t httpd_param(const struct _u_request *req, const char *name);
/** A whole number from a header or parameter, or `other` if it is absent or malformed. */
int64_t httpd_int(str_t s, int64_t fallback);
/** Milliseconds left, from 0 to a year; `other` if absent or malformed. */
int64_t httpd_timeout_ms(str_t s, int64_t fallback);
/** Tells whether a caller's key or job id may stand in JSON, logs and paths: printable ASCII. */
bool httpd_key_valid(str_t key);
str_t httpd_body(const struct _u_request *req);

int httpd_reply(struct _u_response *res, int status, const char *type, str_t body);
int httpd_json(struct _u_response *res, int status, str_t body);
int httpd_error(struct _u_response *res, int status, const char *code, str_t message,
		verdict_t verdict, int64_t retry_after_ms);
/** An error as it was stored. */
int httpd_error_json(struct _u_response *res, int status, str_t body, int64_t retry_after_ms);

/** The caller or operator that the bearer key belongs to; false after a 401 was set. */
bool httpd_auth_caller(entry_ctx_t *en, const struct _u_request *req, struct _u_response *res,
		       str_t *name);
bool httpd_auth_operator(entry_ctx_t *en, const struct _u_request *req, struct _u_response *res,
			 str_t *name);
/** True when the call carries the fleet's peer key; false after a 401 was set. */
bool httpd_auth_peer(entry_ctx_t *en, const struct _u_request *req, struct _u_response *res);
/** False after a 413 was set: the declared length is over the bound. */
bool httpd_check_body_size(entry_ctx_t *en, const struct _u_request *req, struct _u_response *res);

#endif
