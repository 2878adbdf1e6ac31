#include "entry/status_api.h"

#include <inttypes.h>
#include "base/log.h"
#include "base/metric.h"
#include "entry/batch.h"
#include "entry/upstream.h"

#define EVENTS_MAX     4096
#define EVENTS_DEFAULT 200

static const char *upstream_state_name(wire_upstream_state_t s)
{
	switch (s) {
	case WIRE_UPSTREAM_LIVE:
		return "live";
	case WIRE_UPSTREAM_LEAVING:
		return "leaving";
	case WIRE_UPSTREAM_GONE:
		break;
	}
	return "gone";
}

static void append_member(buf_t *b, const wire_member_t *m)
{
	buf_add(b, STR("{\"name\":"));
	buf_add_json(b, wire_str(m->name));
	buf_add(b, STR(",\"addr\":"));
	buf_add_json(b, wire_str(m->addr));
	buf_add(b, STR(",\"zone\":"));
	buf_add_json(b, wire_str(m->zone));
	buf_addf(b, ",\"session\":%" PRIu64 ",\"draining\":%s}", m->session,
		 m->draining ? "true" : "false");
}

static void append_members(entry_ctx_t *en, buf_t *b)
{
	AUTO_ENTRY_VIEW *v = entry_view_get(en->snapshot);

	for (u_int i = 0; v && i < v->view.members.members_len; i++) {
		if (i)
			buf_addc(b, ',');
		append_member(b, &v->view.members.members_val[i]);
	}
}

typedef struct {
	buf_t *b;
	bool any;
} json_list_t;

static bool append_upstream(void *ctx, const upstream_info_t *info)
{
	json_list_t *l = ctx;
	owner_stats_t st = {0};

	if (info->state == WIRE_UPSTREAM_GONE)
		return true;
	if (info->replica)
		local_replica_stats(info->replica, &st);
	if (l->any)
		buf_addc(l->b, ',');
	l->any = true;
	buf_add(l->b, STR("{\"id\":"));
	buf_add_json(l->b, str_c(info->id));
	buf_add(l->b, STR(",\"service\":"));
	buf_add_json(l->b, str_c(info->service));
	buf_add(l->b, STR(",\"zone\":"));
	buf_add_json(l->b, str_c(info->zone));
	buf_addf(l->b,
		 ",\"state\":\"%s\",\"owner\":%" PRIu64 ",\"fence\":%" PRIu64
		 ",\"owned_here\":%s,\"running_online\":%u,\"running_batch\":%u,\"queued\":%u}",
		 upstream_state_name(info->state), info->owner, info->fence,
		 info->replica ? "true" : "false", st.running_online, st.running_batch, st.queued);
	return true;
}

int status_api_status(const struct _u_request *req, struct _u_response *res, void *ctx)
{
	entry_ctx_t *en = ctx;
	AUTO_BUF b = {0};
	json_list_t l = {&b, false};
	str_t name;

	if (!httpd_auth_operator(en, req, res, &name))
		return U_CALLBACK_COMPLETE;
	buf_add(&b, STR("{\"name\":"));
	buf_add_json(&b, str_c(en->settings.name));
	buf_add(&b, STR(",\"zone\":"));
	buf_add_json(&b, str_c(en->settings.zone));
	buf_addf(&b,
		 ",\"session\":%" PRIu64 ",\"conf_number\":%" PRIu64 ",\"view_version\":%" PRIu64
		 ",\"lease_left_ms\":%" PRId64 ",\"draining\":%s,\"requests\":%d,\"members\":[",
		 entry_session(en->snapshot), entry_config_number(en->snapshot),
		 entry_view_version(en->snapshot),
		 clock_left_ms(entry_lease_deadline(en->snapshot)),
		 atomic_load(&en->draining) ? "true" : "false", atomic_load(&en->running_requests));
	append_members(en, &b);
	buf_add(&b, STR("],\"upstreams\":["));
	upstream_each(en->upstreams, append_upstream, &l);
	buf_add(&b, STR("]}"));
	return httpd_json(res, 200, str_buf(&b));
}

int status_api_events(const struct _u_request *req, struct _u_response *res, void *ctx)
{
	entry_ctx_t *en = ctx;
	AUTO_BUF b = {0};
	int64_t max = httpd_int(httpd_param(req, "max"), EVENTS_DEFAULT);
	str_t name;

	if (!httpd_auth_operator(en, req, res, &name))
		return U_CALLBACK_COMPLETE;
	if (max < 1 || max > EVENTS_MAX)
		max = EVENTS_MAX;
	log_find(&b, httpd_param(req, "key"), (unsigned)max);
	return httpd_reply(res, 200, "text/plain", str_buf(&b));
}

static void set_gauge(const char *name, int64_t v)
{
	metric_set(metric_get(METRIC_GAUGE, name, NULL), v);
}

typedef struct {
	int64_t owned;
	int64_t online;
	int64_t batch;
	int64_t queued;
} sums_t;

static bool sum_replica(void *ctx, const upstream_info_t *info)
{
	sums_t *s = ctx;
	owner_stats_t st;

	if (!info->replica)
		return true;
	local_replica_stats(info->replica, &st);
	s->owned++;
	s->online += st.running_online;
	s->batch += st.running_batch;
	s->queued += st.queued;
	return true;
}

static void update_gauges(entry_ctx_t *en)
{
	sums_t s = {0};

	upstream_each(en->upstreams, sum_replica, &s);
	set_gauge("auburn_conf_number", (int64_t)entry_config_number(en->snapshot));
	set_gauge("auburn_view_version", (int64_t)entry_view_version(en->snapshot));
	set_gauge("auburn_lease_left_ms", clock_left_ms(entry_lease_deadline(en->snapshot)));
	set_gauge("auburn_draining", atomic_load(&en->draining));
	set_gauge("auburn_requests_running", atomic_load(&en->running_requests));
	set_gauge("auburn_streams_open", atomic_load(&en->open_streams));
	set_gauge("auburn_items_held", (int64_t)batch_held(en->batch));
	set_gauge("auburn_replicas_owned", s.owned);
	set_gauge("auburn_replica_streams_online", s.online);
	set_gauge("auburn_replica_streams_batch", s.batch);
	set_gauge("auburn_replica_queue", s.queued);
}

int status_api_metrics(const struct _u_request *req, struct _u_response *res, void *ctx)
{
	AUTO_BUF b = {0};

	update_gauges(ctx);
	metric_render_all(&b);
	return httpd_reply(res, 200, "text/plain; version=0.0.4", str_buf(&b));
}

int status_api_healthz(const struct _u_request *req, struct _u_response *res, void *ctx)
{
	return httpd_json(res, 200, STR("{\"ok\":true}"));
}

int status_api_readyz(const struct _u_request *req, struct _u_response *res, void *ctx)
{
	entry_ctx_t *en = ctx;
	bool ready = entry_lease_valid(en->snapshot) && entry_config_number(en->snapshot) > 0 &&
		     !atomic_load(&en->draining);

	return httpd_json(res, ready ? 200 : 503,
			  ready ? STR("{\"ready\":true}") : STR("{\"ready\":false}"));
}
