#include "entry/sv.h"

#include <inttypes.h>
#include "base/lg.h"
#include "base/mx.h"
#include "entry/bj.h"
#include "entry/up.h"

#define EVENTS_MAX     4096
#define EVENTS_DEFAULT 200

static const char *state_name(aw_upstream_state_t s)
{
	switch (s) {
	case AW_UP_LIVE:
		return "live";
	case AW_UP_LEAVING:
		return "leaving";
	case AW_UP_GONE:
		break;
	}
	return "gone";
}

static void add_member(buf_t *b, const aw_member_t *m)
{
	buf_add(b, STR("{\"name\":"));
	buf_add_json(b, px_str(m->name));
	buf_add(b, STR(",\"addr\":"));
	buf_add_json(b, px_str(m->addr));
	buf_add(b, STR(",\"zone\":"));
	buf_add_json(b, px_str(m->zone));
	buf_addf(b, ",\"session\":%" PRIu64 ",\"draining\":%s}", m->session,
		 m->draining ? "true" : "false");
}

static void add_members(en_t *en, buf_t *b)
{
	AUTO_VIEW *v = en_view_get(en->snap);

	for (u_int i = 0; v && i < v->view.members.members_len; i++) {
		if (i)
			buf_addc(b, ',');
		add_member(b, &v->view.members.members_val[i]);
	}
}

typedef struct {
	buf_t *b;
	bool any;
} list_t;

static bool add_upstream(void *ctx, const up_info_t *info)
{
	list_t *l = ctx;
	ow_stats_t st = {0};

	if (info->state == AW_UP_GONE)
		return true;
	if (info->ro)
		ro_stats(info->ro, &st);
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
		 state_name(info->state), info->owner, info->fence, info->ro ? "true" : "false",
		 st.running_online, st.running_batch, st.queued);
	return true;
}

int sv_status(const struct _u_request *req, struct _u_response *res, void *ctx)
{
	en_t *en = ctx;
	AUTO_BUF b = {0};
	list_t l = {&b, false};
	str_t name;

	if (!hs_operator(en, req, res, &name))
		return U_CALLBACK_COMPLETE;
	buf_add(&b, STR("{\"name\":"));
	buf_add_json(&b, str_c(en->set.name));
	buf_add(&b, STR(",\"zone\":"));
	buf_add_json(&b, str_c(en->set.zone));
	buf_addf(&b,
		 ",\"session\":%" PRIu64 ",\"conf_number\":%" PRIu64 ",\"view_version\":%" PRIu64
		 ",\"lease_left_ms\":%" PRId64 ",\"draining\":%s,\"requests\":%d,\"members\":[",
		 en_session(en->snap), en_conf_number(en->snap), en_view_version(en->snap),
		 clk_left_ms(en_lease_deadline(en->snap)),
		 atomic_load(&en->draining) ? "true" : "false", atomic_load(&en->requests));
	add_members(en, &b);
	buf_add(&b, STR("],\"upstreams\":["));
	up_each(en->ups, add_upstream, &l);
	buf_add(&b, STR("]}"));
	return hs_json(res, 200, str_buf(&b));
}

int sv_events(const struct _u_request *req, struct _u_response *res, void *ctx)
{
	en_t *en = ctx;
	AUTO_BUF b = {0};
	int64_t max = hs_int(hs_param(req, "max"), EVENTS_DEFAULT);
	str_t name;

	if (!hs_operator(en, req, res, &name))
		return U_CALLBACK_COMPLETE;
	if (max < 1 || max > EVENTS_MAX)
		max = EVENTS_MAX;
	lg_find(&b, hs_param(req, "key"), (unsigned)max);
	return hs_reply(res, 200, "text/plain", str_buf(&b));
}

static void gauge(const char *name, int64_t v)
{
	mx_set(mx_get(MX_GAUGE, name, NULL), v);
}

typedef struct {
	int64_t owned;
	int64_t online;
	int64_t batch;
	int64_t queued;
} sums_t;

static bool add_sums(void *ctx, const up_info_t *info)
{
	sums_t *s = ctx;
	ow_stats_t st;

	if (!info->ro)
		return true;
	ro_stats(info->ro, &st);
	s->owned++;
	s->online += st.running_online;
	s->batch += st.running_batch;
	s->queued += st.queued;
	return true;
}

static void set_gauges(en_t *en)
{
	sums_t s = {0};

	up_each(en->ups, add_sums, &s);
	gauge("auburn_conf_number", (int64_t)en_conf_number(en->snap));
	gauge("auburn_view_version", (int64_t)en_view_version(en->snap));
	gauge("auburn_lease_left_ms", clk_left_ms(en_lease_deadline(en->snap)));
	gauge("auburn_draining", atomic_load(&en->draining));
	gauge("auburn_requests_running", atomic_load(&en->requests));
	gauge("auburn_streams_open", atomic_load(&en->streams));
	gauge("auburn_items_held", (int64_t)bj_held(en->batch));
	gauge("auburn_replicas_owned", s.owned);
	gauge("auburn_replica_streams_online", s.online);
	gauge("auburn_replica_streams_batch", s.batch);
	gauge("auburn_replica_queue", s.queued);
}

int sv_metrics(const struct _u_request *req, struct _u_response *res, void *ctx)
{
	AUTO_BUF b = {0};

	set_gauges(ctx);
	mx_render(&b);
	return hs_reply(res, 200, "text/plain; version=0.0.4", str_buf(&b));
}

int sv_healthz(const struct _u_request *req, struct _u_response *res, void *ctx)
{
	return hs_json(res, 200, STR("{\"ok\":true}"));
}

int sv_readyz(const struct _u_request *req, struct _u_response *res, void *ctx)
{
	en_t *en = ctx;
	bool ready = en_lease_valid(en->snap) && en_conf_number(en->snap) > 0 &&
		     !atomic_load(&en->draining);

	return hs_json(res, ready ? 200 : 503,
		       ready ? STR("{\"ready\":true}") : STR("{\"ready\":false}"));
}
