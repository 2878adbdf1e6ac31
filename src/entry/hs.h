/** HTTP serving: the listener, header and parameter access, JSON replies and errors. */
#ifndef AUBURN_HS_H
#define AUBURN_HS_H

#include <ulfius.h>
#include "entry/en.h"

typedef int (*hs_handler_t)(const struct _u_request *req, struct _u_response *res, void *en);

typedef struct {
	const char *method;
	const char *path;
	hs_handler_t handler;
} hs_route_t;

/** Listens; ST_IO if the address can't be had. Routes end with a NULL method. */
status_t hs_start(en_t *en, const hs_route_t *routes);
/** Cuts what still runs. */
void hs_stop(void);

/** Empty if absent. */
str_t hs_header(const struct _u_request *req, const char *name);
str_t hs_param(const struct _u_request *req, const char *name);
/** A whole number from a header or parameter, or `other` if it is absent or malformed. */
int64_t hs_int(str_t s, int64_t other);
/** Milliseconds left, from 0 to a year; `other` if absent or malformed. */
int64_t hs_ms_left(str_t s, int64_t other);
/** Tells whether a caller's key or job id may stand in JSON, logs and paths: printable ASCII. */
bool hs_key_valid(str_t key);
str_t hs_body(const struct _u_request *req);

int hs_reply(struct _u_response *res, int status, const char *type, str_t body);
int hs_json(struct _u_response *res, int status, str_t body);
int hs_error(struct _u_response *res, int status, const char *code, str_t message,
	     verdict_t verdict, int64_t retry_after_ms);
/** An error as it was stored. */
int hs_error_json(struct _u_response *res, int status, str_t body, int64_t retry_after_ms);

/** The caller or operator that the bearer key belongs to; false after a 401 was set. */
bool hs_caller(en_t *en, const struct _u_request *req, struct _u_response *res, str_t *name);
bool hs_operator(en_t *en, const struct _u_request *req, struct _u_response *res, str_t *name);
/** True when the call carries the fleet's peer key; false after a 401 was set. */
bool hs_peer(en_t *en, const struct _u_request *req, struct _u_response *res);
/** False after a 413 was set: the declared length is over the bound. */
bool hs_body_fits(en_t *en, const struct _u_request *req, struct _u_response *res);

#endif
