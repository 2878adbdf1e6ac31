/* Polls the platform's list of VMs, which become the upstreams of auburn-entry, and commits changes
 * to group 0. */
#include <curl/curl.h>
#include <jansson.h>
#include <string.h>
#include "base/json_scan.h"
#include "base/log.h"
#include "base/metric.h"
#include "base/rpc.h"
#include "control/control.h"

#define FETCH_MS	 1000
#define PROPOSE_MS	 2000
#define ANSWER_MAX_BYTES (8 << 20)
#define UPSTREAMS_MAX	 10000
/** Maximum size of the id, zone and service of a VM, in bytes. */
#define TEXT_BYTES_MAX 63

static size_t on_body(char *p, size_t size, size_t n, void *ctx)
{
	buf_t *b = ctx;

	if (b->n + size * n > ANSWER_MAX_BYTES)
		return 0;
	buf_add(b, (str_t){p, size * n});
	return size * n;
}

static status_t fetch_list(const char *url, buf_t *out)
{
	CURL *c = curl_easy_init();
	CURLcode rc;
	long code = 0;

	curl_easy_setopt(c, CURLOPT_URL, url);
	curl_easy_setopt(c, CURLOPT_TIMEOUT_MS, (long)FETCH_MS);
	curl_easy_setopt(c, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(c, CURLOPT_WRITEDATA, out);
	rc = curl_easy_perform(c);
	curl_easy_getinfo(c, CURLINFO_RESPONSE_CODE, &code);
	curl_easy_cleanup(c);
	if (rc != CURLE_OK || code != 200)
		return status_fail(STATUS_UNAVAILABLE, "platform: %s, status %ld",
				   curl_easy_strerror(rc), code);
	return STATUS_OK;
}

static bool copy_text_field(const json_t *o, const char *key, wire_bytes_t *out)
{
	const char *v = json_string_value(json_object_get(o, key));

	if (!v || !*v || strlen(v) > TEXT_BYTES_MAX)
		return false;
	*out = wire_copy(str_c(v));
	return true;
}

static bool parse_vm(const json_t *o, wire_upstream_t *u)
{
	const char *state = json_string_value(json_object_get(o, "state"));
	const char *addr = json_string_value(json_object_get(o, "addr"));
	char ip[64];
	unsigned port;

	u->state =
		state && strcmp(state, "leaving") == 0 ? WIRE_UPSTREAM_LEAVING : WIRE_UPSTREAM_LIVE;
	return addr && rpc_parse_addr(addr, ip, &port) == STATUS_OK &&
	       copy_text_field(o, "id", &u->id) && copy_text_field(o, "addr", &u->addr) &&
	       copy_text_field(o, "zone", &u->zone) && copy_text_field(o, "service", &u->service);
}

typedef struct {
	wire_fleet_cmd_t *cmd;
	unsigned skipped;
} vm_list_t;

/* A VM that can't be decoded is left out, and does not hide the others. */
static bool on_vm(void *ctx, str_t text)
{
	vm_list_t *list = ctx;
	u_int n = list->cmd->wire_fleet_cmd_t_u.upstreams.upstreams_len;
	json_t *o = json_loadb(text.p, text.n, 0, NULL);
	wire_upstream_t u = {0};
	bool usable = n < UPSTREAMS_MAX && parse_vm(o, &u);

	json_decref(o);
	if (usable) {
		list->cmd->wire_fleet_cmd_t_u.upstreams.upstreams_val[n] = u;
		list->cmd->wire_fleet_cmd_t_u.upstreams.upstreams_len++;
	} else {
		wire_free(XDR_PROC(wire_upstream_t), &u);
		list->skipped++;
	}
	return usable;
}

static void ignore_member(void *ctx, str_t name, str_t text)
{
}

static void report_skipped(const vm_list_t *list)
{
	static unsigned logged;

	metric_add(metric_get(METRIC_COUNTER, "auburn_platform_vms_skipped_total", NULL),
		   list->skipped);
	if (list->skipped == logged)
		return;
	logged = list->skipped;
	log_event(logged ? LOG_LEVEL_WARN : LOG_LEVEL_INFO, "platform_vms_skipped",
		  LOG_INT("vms", logged),
		  LOG_INT("upstreams", list->cmd->wire_fleet_cmd_t_u.upstreams.upstreams_len));
}

/* A list with unbalanced quotes or brackets counts as cut. */
static status_t parse_list(str_t body, wire_fleet_cmd_t *cmd)
{
	vm_list_t list = {.cmd = cmd};

	cmd->kind = WIRE_FLEET_UPSTREAMS;
	cmd->wire_fleet_cmd_t_u.upstreams.upstreams_val =
		mem_new(UPSTREAMS_MAX * sizeof(wire_upstream_t));
	if (json_scan_array(body, &(json_scan_options_t){.array = STR("vms"),
							 .ctx = &list,
							 .element = on_vm,
							 .member = ignore_member}) != JSON_SCAN_OK)
		return status_fail(STATUS_INVALID, "malformed VM list from the platform");
	report_skipped(&list);
	return STATUS_OK;
}

typedef struct {
	const wire_fleet_cmd_t *cmd;
	bool differs;
} compare_t;

static bool same_upstream(const wire_upstream_t *a, const wire_upstream_t *b)
{
	return str_eq(wire_str(a->id), wire_str(b->id)) &&
	       str_eq(wire_str(a->addr), wire_str(b->addr)) &&
	       str_eq(wire_str(a->zone), wire_str(b->zone)) &&
	       str_eq(wire_str(a->service), wire_str(b->service)) && a->state == b->state;
}

static bool view_contains(const wire_view_t *v, const wire_upstream_t *u)
{
	for (u_int i = 0; i < v->upstreams.upstreams_len; i++) {
		if (same_upstream(&v->upstreams.upstreams_val[i], u))
			return true;
	}
	return false;
}

static void compare_with_view(control_group_t *g, void *arg)
{
	compare_t *c = arg;
	wire_query_t q = {.kind = WIRE_QUERY_VIEW};
	wire_query_res_t res = {0};
	u_int n = c->cmd->wire_fleet_cmd_t_u.upstreams.upstreams_len;
	u_int listed = 0;

	fleet_query(g->fleet, &q, &res);
	for (u_int i = 0; i < res.view.upstreams.upstreams_len; i++)
		listed += res.view.upstreams.upstreams_val[i].state != WIRE_UPSTREAM_GONE;
	c->differs = listed != n;
	for (u_int i = 0; i < n && !c->differs; i++)
		c->differs = !view_contains(&res.view,
					    &c->cmd->wire_fleet_cmd_t_u.upstreams.upstreams_val[i]);
	wire_free(XDR_PROC(wire_query_res_t), &res);
}

/* An empty list is ignored: an error of the platform is more likely than that no VM is left. */
static bool is_plausible(const wire_fleet_cmd_t *cmd)
{
	return cmd->wire_fleet_cmd_t_u.upstreams.upstreams_len > 0;
}

void control_platform_round(control_t *ctl)
{
	static deadline_t next;
	AUTO_BUF body = {0};
	wire_fleet_cmd_t cmd = {0};
	wire_fleet_res_t res = {0};
	compare_t c = {&cmd, false};
	status_t st;

	if (!ctl->settings.platform || clock_now_ms() < next)
		return;
	next = clock_now_ms() + ctl->settings.platform_poll_ms;
	st = fetch_list(ctl->settings.platform, &body);
	if (st == STATUS_OK)
		st = parse_list(str_buf(&body), &cmd);
	if (st != STATUS_OK) {
		log_event(LOG_LEVEL_WARN, "platform_read_failed",
			  LOG_CSTR("what", status_message()));
		METRIC_INC("auburn_platform_failures_total");
	} else if (is_plausible(&cmd)) {
		control_group_read(&ctl->groups[0], compare_with_view, &c);
	}
	if (c.differs) {
		st = control_fleet_propose(ctl, &cmd, &res, clock_now_ms() + PROPOSE_MS);
		log_event(LOG_LEVEL_INFO, "upstreams_changed",
			  LOG_INT("count", cmd.wire_fleet_cmd_t_u.upstreams.upstreams_len),
			  LOG_CSTR("status", status_name(st)));
	}
	wire_free(XDR_PROC(wire_fleet_res_t), &res);
	if (cmd.kind)
		wire_free(XDR_PROC(wire_fleet_cmd_t), &cmd);
}
