#include "entry/httpd.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "base/metric.h"
#include "base/rpc.h"
#include "entry/bearer_keys.h"

#define HEADER_MAX_BYTES   (64 << 10)
#define IDLE_TIMEOUT_S	   60
#define THREAD_STACK_BYTES (512 << 10)
#define BEARER_PREFIX	   "Bearer "
#define MS_PER_S	   1000
#define TIMEOUT_MAX_MS	   (365LL * 86400 * MS_PER_S)

static struct _u_instance instance;

static int reply_not_found(const struct _u_request *req, struct _u_response *res, void *en)
{
	return httpd_error(res, 404, "no_such_path", str_c(req->url_path), VERDICT_NOT_RUN, 0);
}

status_t httpd_start(entry_ctx_t *en, const httpd_endpoint_t *endpoints)
{
	struct sockaddr_in addr = {.sin_family = AF_INET};
	char ip[64];
	unsigned port;
	unsigned flags = MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD |
			 MHD_USE_POLL | MHD_USE_ITC;
	struct MHD_OptionItem options[] = {
		{MHD_OPTION_NOTIFY_COMPLETED, (intptr_t)mhd_request_completed, NULL},
		{MHD_OPTION_URI_LOG_CALLBACK, (intptr_t)ulfius_uri_logger, NULL},
		{MHD_OPTION_SOCK_ADDR, 0, &addr},
		{MHD_OPTION_CONNECTION_LIMIT, (intptr_t)en->settings.max_connections, NULL},
		{MHD_OPTION_CONNECTION_MEMORY_LIMIT, HEADER_MAX_BYTES, NULL},
		{MHD_OPTION_CONNECTION_TIMEOUT, IDLE_TIMEOUT_S, NULL},
		{MHD_OPTION_THREAD_STACK_SIZE, THREAD_STACK_BYTES, NULL},
		{MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, NULL},
		{MHD_OPTION_END, 0, NULL}};

	if (rpc_parse_addr(en->settings.listen, ip, &port) != STATUS_OK ||
	    inet_pton(AF_INET, ip, &addr.sin_addr) != 1)
		return status_fail(STATUS_INVALID, "listen: \"%s\" is not ip:port",
				   en->settings.listen);
	addr.sin_port = htons((uint16_t)port);
	if (ulfius_init_instance(&instance, port, &addr, NULL) != U_OK)
		return status_fail(STATUS_IO, "can't create the HTTP server");
	/* ulfius silently truncates a longer body. With one byte to spare, a body of max_body_bytes
	 * arrives whole; httpd_check_body_size refuses longer ones. */
	instance.max_post_body_size = (size_t)en->settings.max_body_bytes + 1;
	instance.check_utf8 = 0;
	instance.allowed_post_processor = U_POST_PROCESS_NONE;
	for (; endpoints->method; endpoints++)
		/* The prefix is NULL, because ulfius parses path parameters only in the format. */
		ulfius_add_endpoint_by_val(&instance, endpoints->method, NULL, endpoints->path, 0,
					   endpoints->handler, en);
	ulfius_set_default_endpoint(&instance, reply_not_found, en);
	if (ulfius_start_framework_with_mhd_options(&instance, flags, options) != U_OK)
		return status_fail(STATUS_IO, "can't listen on %s: %s", en->settings.listen,
				   strerror(errno));
	return STATUS_OK;
}

void httpd_stop(void)
{
	ulfius_stop_framework(&instance);
	ulfius_clean_instance(&instance);
}

str_t httpd_header(const struct _u_request *req, const char *name)
{
	return str_c(u_map_get_case(req->map_header, name));
}

str_t httpd_param(const struct _u_request *req, const char *name)
{
	return str_c(u_map_get(req->map_url, name));
}

int64_t httpd_int(str_t s, int64_t fallback)
{
	char *end;
	long long v;

	if (s.n == 0)
		return fallback;
	errno = 0;
	v = strtoll(s.p, &end, 10);
	return errno || *end ? fallback : v;
}

int64_t httpd_timeout_ms(str_t s, int64_t fallback)
{
	int64_t ms = httpd_int(s, fallback);

	if (ms < 0)
		return 0;
	return ms > TIMEOUT_MAX_MS ? TIMEOUT_MAX_MS : ms;
}

bool httpd_token_valid(str_t key)
{
	for (size_t i = 0; i < key.n; i++) {
		if (key.p[i] <= ' ' || key.p[i] > '~')
			return false;
	}
	return key.n > 0;
}

str_t httpd_body(const struct _u_request *req)
{
	return (str_t){req->binary_body ? req->binary_body : "", req->binary_body_length};
}

int httpd_reply(struct _u_response *res, int status, const char *type, str_t body)
{
	ulfius_set_binary_body_response(res, (unsigned)status, body.p, body.n);
	u_map_put(res->map_header, "Content-Type", type);
	return U_CALLBACK_COMPLETE;
}

int httpd_json(struct _u_response *res, int status, str_t body)
{
	return httpd_reply(res, status, "application/json", body);
}

int httpd_error_json(struct _u_response *res, int status, str_t body, int64_t retry_after_ms)
{
	char seconds[24];

	if (retry_after_ms > 0) {
		snprintf(seconds, sizeof(seconds), "%lld",
			 (long long)(retry_after_ms + MS_PER_S - 1) / MS_PER_S);
		u_map_put(res->map_header, "Retry-After", seconds);
	}
	METRIC_INC("auburn_error_replies_total");
	return httpd_json(res, status, body);
}

int httpd_error(struct _u_response *res, int status, const char *code, str_t message,
		verdict_t verdict, int64_t retry_after_ms)
{
	AUTO_BUF b = {0};

	buf_addf(&b, "{\"error\":{\"code\":\"%s\",\"message\":", code);
	buf_add_json(&b, message);
	buf_addf(&b, ",\"verdict\":\"%s\",\"retry_after_ms\":%lld}}", verdict_name(verdict),
		 (long long)retry_after_ms);
	return httpd_error_json(res, status, str_buf(&b), retry_after_ms);
}

static str_t get_bearer_key(const struct _u_request *req)
{
	str_t h = httpd_header(req, "Authorization");
	str_t prefix = STR(BEARER_PREFIX);

	if (!str_starts(h, prefix))
		return STR("");
	return (str_t){h.p + prefix.n, h.n - prefix.n};
}

static bool reply_unauthorized(struct _u_response *res)
{
	u_map_put(res->map_header, "WWW-Authenticate", "Bearer");
	httpd_error(res, 401, "bad_key", STR("missing or unknown bearer key"), VERDICT_NOT_RUN, 0);
	return false;
}

bool httpd_auth_caller(entry_ctx_t *en, const struct _u_request *req, struct _u_response *res,
		       str_t *name)
{
	return bearer_keys_find(en->caller_keys, get_bearer_key(req), name) ||
	       reply_unauthorized(res);
}

bool httpd_auth_operator(entry_ctx_t *en, const struct _u_request *req, struct _u_response *res,
			 str_t *name)
{
	return bearer_keys_find(en->operator_keys, get_bearer_key(req), name) ||
	       reply_unauthorized(res);
}

bool httpd_auth_peer(entry_ctx_t *en, const struct _u_request *req, struct _u_response *res)
{
	return str_eq_secret(str_c(en->settings.peer_key), get_bearer_key(req)) ||
	       reply_unauthorized(res);
}

bool httpd_check_body_size(entry_ctx_t *en, const struct _u_request *req, struct _u_response *res)
{
	str_t declared = httpd_header(req, "Content-Length");
	int64_t max = en->settings.max_body_bytes;

	/* Without Content-Length, only the length shows that ulfius may have truncated the body. */
	if (declared.n == 0 && (int64_t)req->binary_body_length < max)
		return true;
	if (declared.n && httpd_int(declared, -1) >= 0 && httpd_int(declared, -1) <= max)
		return true;
	httpd_error(res, 413, "body_too_large", STR("the body is larger than max_body_bytes"),
		    VERDICT_NOT_RUN, 0);
	return false;
}
