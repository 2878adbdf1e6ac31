/** Parts that the fake programs share: start, settings, HTTP server, JSON requests and replies. */
#ifndef AUBURN_FAKE_COMMON_H
#define AUBURN_FAKE_COMMON_H

#include <jansson.h>
#include <ulfius.h>
#include "base/toml.h"
#include "base/status.h"

typedef struct {
	const char *name;
	const char *about; /* description for --help */
	/** Reads the settings into ctx. */
	status_t (*configure)(void *ctx, const toml_doc_t *c);
	/** Starts the program's threads and returns. */
	status_t (*start)(void *ctx);
	void *ctx;
} fake_program_t;

/** Runs a fake program until SIGTERM or SIGINT; returns its exit status. */
int fake_main(int argc, char **argv, const fake_program_t *p);

typedef int (*fake_handler_t)(const struct _u_request *q, struct _u_response *r, void *ctx);

typedef struct {
	const char *method;
	const char *path;
	fake_handler_t handle;
} fake_route_t;

typedef struct {
	const char *listen; /* ip:port */
	const fake_route_t *routes; /* terminated by a NULL method */
	fake_handler_t fallback; /* for requests that match no route; may be NULL */
	void *ctx;
} fake_http_options_t;

/** Starts an HTTP server that runs until the process ends. */
status_t fake_http_start(const fake_http_options_t *o);
/** Returns the socket of the request's connection, or -1. */
int fake_http_socket(const struct _u_request *q);
/** Shuts the request's connection down, so that the reply is lost. */
void fake_http_drop(const struct _u_request *q);

/** Replies with a JSON document and releases it. */
int fake_reply(struct _u_response *r, unsigned status, json_t *body);
int fake_reply_error(struct _u_response *r, unsigned status, const char *message);
/** Returns the JSON object in the request's body, or NULL; the caller releases it. */
json_t *fake_request_json(const struct _u_request *q);
/** Returns an integer member, or `absent`. */
int64_t fake_json_int(const json_t *o, const char *key, int64_t absent);
/** Returns a string member, owned by o, or "". */
const char *fake_json_str(const json_t *o, const char *key);
bool fake_json_bool(const json_t *o, const char *key);
/** Returns an integer of the URL's query or path, or `absent`. */
int64_t fake_query_int(const struct _u_request *q, const char *key, int64_t absent);

void fake_json_cleanup(json_t **j);
#define AUTO_JSON __attribute__((cleanup(fake_json_cleanup))) json_t

/** Parses "ip:port" as an IPv4 socket address. */
status_t fake_parse_address(const char *addr, struct sockaddr_in *out);
/** Checks addr, the value of a key of the settings; the error names its file and line. */
status_t fake_check_address(const toml_doc_t *c, const char *key, const char *addr);

#endif
