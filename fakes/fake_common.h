/** Common parts of the stand-ins: command line, settings, HTTP server and JSON answers. */
#ifndef AUBURN_FAKE_COMMON_H
#define AUBURN_FAKE_COMMON_H

#include <jansson.h>
#include <ulfius.h>
#include "base/toml.h"
#include "base/status.h"

typedef struct {
	const char *name;
	const char *about; /* one line for --help */
	/** Reads the settings into ctx. */
	status_t (*configure)(void *ctx, const toml_doc_t *c);
	/** Starts to serve; returns at once. */
	status_t (*start)(void *ctx);
	void *ctx;
} fake_program_t;

/** Runs a stand-in until SIGTERM or SIGINT; its result is the exit status. */
int fake_main(int argc, char **argv, const fake_program_t *p);

typedef int (*fake_handler_t)(const struct _u_request *q, struct _u_response *r, void *ctx);

typedef struct {
	const char *method;
	const char *path;
	fake_handler_t handle;
} fake_route_t;

typedef struct {
	const char *listen; /* ip:port */
	const fake_route_t *routes; /* ends with a NULL method */
	fake_handler_t fallback; /* takes all other requests; may be NULL */
	void *ctx;
} fake_http_options_t;

/** Listens and serves until the process ends. */
status_t fake_http_start(const fake_http_options_t *o);
/** The socket on which a request came, or -1. */
int fake_http_socket(const struct _u_request *q);
/** Closes a request's connection, so that no answer reaches the client. */
void fake_http_drop(const struct _u_request *q);

/** Answers with a JSON document, which it takes over. */
int fake_reply(struct _u_response *r, unsigned status, json_t *body);
int fake_reply_error(struct _u_response *r, unsigned status, const char *what);
/** The request's JSON object, or NULL; the caller releases it. */
json_t *fake_request_json(const struct _u_request *q);
int64_t fake_json_int(const json_t *o, const char *key, int64_t absent);
/** A borrowed string value, or "" when absent. */
const char *fake_json_str(const json_t *o, const char *key);
bool fake_json_bool(const json_t *o, const char *key);
int64_t fake_query_int(const struct _u_request *q, const char *key, int64_t absent);

void fake_json_cleanup(json_t **j);
#define AUTO_JSON __attribute__((cleanup(fake_json_cleanup))) json_t

/** Splits "ip:port" into an IPv4 socket address. */
status_t fake_parse_address(const char *addr, struct sockaddr_in *out);
/** Checks the address under a key of the settings. */
status_t fake_check_address(const toml_doc_t *c, const char *key, const char *addr);

#endif
