/* HTTP server for metrics, health and readiness. */
#include <arpa/inet.h>
#include <stdio.h>
#include <ulfius.h>
#include "base/metric.h"
#include "base/rpc.h"
#include "control/control.h"

/* No endpoint reads a request body. */
#define BODY_MAX_BYTES 1024
/** Bounds on connections, which have a thread each. The platform and a monitor use a few; others
 * that are idle make room within IDLE_TIMEOUT_S. */
#define CONNECTIONS_MAX	   64
#define HEADER_MAX_BYTES   (32 << 10)
#define IDLE_TIMEOUT_S	   5
#define THREAD_STACK_BYTES (256 << 10)

static void set_group_gauge(const char *name, unsigned group, int64_t v)
{
	char label[32];

	snprintf(label, sizeof(label), "group=\"%u\"", group);
	metric_set(metric_get(METRIC_GAUGE, name, label), v);
}

static void set_group_gauges(control_t *ctl)
{
	for (unsigned n = 0; ctl->ready && n < ctl->ngroups; n++) {
		group_status_t st;

		group_get_status(ctl->groups[n].raft, &st);
		set_group_gauge("auburn_group_leader", n, st.leader);
		set_group_gauge("auburn_group_term", n, (int64_t)st.term);
		set_group_gauge("auburn_group_applied", n, (int64_t)st.applied);
		set_group_gauge("auburn_group_commit", n, (int64_t)st.commit);
		set_group_gauge("auburn_group_log_bytes", n, (int64_t)st.log_bytes);
		set_group_gauge("auburn_group_syncs", n, (int64_t)st.syncs);
		set_group_gauge("auburn_group_sync_us", n, (int64_t)st.sync_us);
		set_group_gauge("auburn_group_voters_acknowledging", n,
				group_count_acknowledging(&st, clock_now_ms(),
							  ctl->settings.replace_grace_ms));
	}
}

static int on_metrics(const struct _u_request *req, struct _u_response *res, void *ctx)
{
	AUTO_BUF b = {0};

	set_group_gauges(ctx);
	metric_render_all(&b);
	ulfius_set_binary_body_response(res, 200, b.p, b.n);
	u_map_put(res->map_header, "Content-Type", "text/plain; version=0.0.4");
	return U_CALLBACK_COMPLETE;
}

static int on_health(const struct _u_request *req, struct _u_response *res, void *ctx)
{
	ulfius_set_string_body_response(res, 200, "ok\n");
	return U_CALLBACK_COMPLETE;
}

static bool all_leaders_known(control_t *ctl)
{
	for (unsigned n = 0; ctl->ready && n < ctl->ngroups; n++) {
		group_status_t st;

		group_get_status(ctl->groups[n].raft, &st);
		if (!st.leader_addr[0])
			return false;
	}
	return ctl->ready;
}

static int on_ready(const struct _u_request *req, struct _u_response *res, void *ctx)
{
	bool ready = all_leaders_known(ctx);

	ulfius_set_string_body_response(res, ready ? 200 : 503, ready ? "ready\n" : "no leader\n");
	return U_CALLBACK_COMPLETE;
}

status_t control_http_start(control_t *ctl)
{
	static struct _u_instance instance;
	struct sockaddr_in sa = {.sin_family = AF_INET};
	char ip[64];
	unsigned port = 0;
	unsigned flags = MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD |
			 MHD_USE_POLL | MHD_USE_ITC;
	struct MHD_OptionItem options[] = {
		{MHD_OPTION_NOTIFY_COMPLETED, (intptr_t)mhd_request_completed, NULL},
		{MHD_OPTION_URI_LOG_CALLBACK, (intptr_t)ulfius_uri_logger, NULL},
		{MHD_OPTION_SOCK_ADDR, 0, &sa},
		{MHD_OPTION_CONNECTION_LIMIT, CONNECTIONS_MAX, NULL},
		{MHD_OPTION_CONNECTION_MEMORY_LIMIT, HEADER_MAX_BYTES, NULL},
		{MHD_OPTION_CONNECTION_TIMEOUT, IDLE_TIMEOUT_S, NULL},
		{MHD_OPTION_THREAD_STACK_SIZE, THREAD_STACK_BYTES, NULL},
		{MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, NULL},
		{MHD_OPTION_END, 0, NULL}};

	if (!ctl->settings.http)
		return STATUS_OK;
	if (rpc_parse_addr(ctl->settings.http, ip, &port) != STATUS_OK ||
	    inet_pton(AF_INET, ip, &sa.sin_addr) != 1)
		return STATUS_INVALID;
	sa.sin_port = htons((uint16_t)port);
	if (ulfius_init_instance(&instance, port, &sa, NULL) != U_OK)
		return status_fail(STATUS_IO, "can't set up HTTP on %s", ctl->settings.http);
	instance.max_post_body_size = BODY_MAX_BYTES;
	instance.allowed_post_processor = U_POST_PROCESS_NONE;
	ulfius_add_endpoint_by_val(&instance, "GET", "/metrics", NULL, 0, on_metrics, ctl);
	ulfius_add_endpoint_by_val(&instance, "GET", "/healthz", NULL, 0, on_health, ctl);
	ulfius_add_endpoint_by_val(&instance, "GET", "/readyz", NULL, 0, on_ready, ctl);
	if (ulfius_start_framework_with_mhd_options(&instance, flags, options) != U_OK)
		return status_fail(STATUS_IO, "can't listen on %s", ctl->settings.http);
	return STATUS_OK;
}
