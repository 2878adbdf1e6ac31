/* What this entry does about its path to the replicas: feeds policy/reach with the outcomes of
 * connections, probes in doubt, and while it is cut off refuses online requests and says so to the
 * leader, which then leaves it out of look-ups. */
#include <stdlib.h>
#include <unistd.h>
#include "base/log.h"
#include "base/metric.h"
#include "front/front.h"
#include "net/tcp.h"

/** Timeout of a probe; handshakes take a few ms. */
#define PROBE_MS 250
/** An entry that look-ups still name this long after it was cut off, in ms, is not the only one:
 * the leader lists entries that are cut off only if all are. */
#define LISTED_MS 500
/** Maximum number of open probes. */
#define PROBES_MAX (2 * REACH_PROBES_MAX)

/** A connection that is closed as soon as it is made. */
typedef struct {
	front_t *f;
	int fd; /* -1: unused */
	ev_io writable;
	timeout_t timer;
	char replica[64];
} probe_t;

struct front_reach {
	reach_t *reach;
	bool cut_off; /* as of the last look */
	deadline_t cut_off_at;
	u_int next_probe; /* index in the view */
	probe_t probes[PROBES_MAX];
};

static void log_evidence(const front_t *f, log_level_t level, const char *event, int64_t ms)
{
	reach_evidence_t e;

	reach_evidence(f->reach->reach, clock_now_ms(), &e);
	log_event(level, event, LOG_INT("replicas", e.replicas_known),
		  LOG_INT("failed", e.replicas_failed), LOG_INT("silent", e.replicas_silent),
		  LOG_INT("reached", e.replicas_reached), LOG_INT("probes_failed", e.probes_failed),
		  LOG_INT("probes_connected", e.probes_connected), LOG_INT("since_ms", e.since_ms),
		  LOG_INT("connected_ms", e.connected_ms), LOG_INT("heard_ms", e.heard_ms),
		  LOG_INT("cut_off_ms", ms), LOG_INT("requests", HASH_COUNT(f->requests)));
}

static void update_state(front_t *f)
{
	front_reach_t *r = f->reach;
	deadline_t now = clock_now_ms();
	bool cut_off = reach_state(r->reach, now) == REACH_CUT_OFF;

	if (cut_off == r->cut_off)
		return;
	r->cut_off = cut_off;
	if (cut_off) {
		r->cut_off_at = now;
		log_evidence(f, LOG_LEVEL_WARN, "reach_lost", 0);
		METRIC_INC("auburn_reach_lost_total");
	} else {
		log_evidence(f, LOG_LEVEL_INFO, "reach_regained", now - r->cut_off_at);
		http_client_close_idle(f->http);
	}
	leader_link_resend_hello(f->leader);
	if (cut_off)
		front_request_end_unsent(f);
}

static void probe_end(probe_t *p, bool connected)
{
	front_t *f = p->f;

	ev_io_stop(f->loop, &p->writable);
	timeout_stop(&p->timer);
	close(p->fd);
	p->fd = -1;
	if (connected)
		reach_connected(f->reach->reach, str_c(p->replica), true, clock_now_ms());
	else
		reach_failed(f->reach->reach, str_c(p->replica), REACH_PROBE_FAILED,
			     clock_now_ms());
	update_state(f);
}

static void on_probe_writable(struct ev_loop *loop, ev_io *w, int events)
{
	probe_t *p = w->data;

	probe_end(p, tcp_connect_error(p->fd) == 0);
}

static void on_probe_timeout(void *ctx)
{
	probe_end(ctx, false);
}

static void probe_start(front_t *f, const link_upstream_t *u)
{
	probe_t *p = NULL;
	AUTO_FREE char *addr = str_dup(wire_str(u->addr));

	for (int i = 0; i < PROBES_MAX && !p; i++) {
		if (f->reach->probes[i].fd < 0)
			p = &f->reach->probes[i];
	}
	if (!p)
		return;
	snprintf(p->replica, sizeof(p->replica), "%.*s", STR_ARG(wire_str(u->id)));
	METRIC_INC("auburn_reach_probes_total");
	p->fd = tcp_connect(addr);
	if (p->fd < 0) {
		reach_failed(f->reach->reach, str_c(p->replica), REACH_PROBE_FAILED,
			     clock_now_ms());
		return;
	}
	ev_io_init(&p->writable, on_probe_writable, p->fd, EV_WRITE);
	p->writable.data = p;
	ev_io_start(f->loop, &p->writable);
	timeout_set(&p->timer, PROBE_MS);
}

/* The next replica to probe. All are probed in turn, those that failed too: that shows how many are
 * reached. */
static const link_upstream_t *pick_probed(front_t *f)
{
	u_int n = f->view.upstreams.upstreams_len;

	for (u_int i = 0; i < n; i++) {
		const link_upstream_t *u =
			&f->view.upstreams.upstreams_val[f->reach->next_probe++ % n];

		if (!u->leaving)
			return u;
	}
	return NULL;
}

void front_reach_tick(front_t *f, deadline_t now)
{
	reach_set_known(f->reach->reach, f->view.upstreams.upstreams_len);
	for (unsigned n = reach_take_probes(f->reach->reach, now); n > 0; n--) {
		const link_upstream_t *u = pick_probed(f);

		if (u)
			probe_start(f, u);
	}
	update_state(f);
}

void front_reach_connected(front_t *f, str_t replica)
{
	reach_connected(f->reach->reach, replica, false, clock_now_ms());
	update_state(f);
}

void front_reach_heard(front_t *f, str_t replica)
{
	reach_heard(f->reach->reach, replica, clock_now_ms());
}

void front_reach_failed(front_t *f, str_t replica, reach_failure_t how)
{
	if (how == REACH_NO_CONNECTION)
		METRIC_INC("auburn_attempts_unconnected_total");
	reach_failed(f->reach->reach, replica, how, clock_now_ms());
}

bool front_is_cut_off(const front_t *f)
{
	return f->reach->cut_off;
}

bool front_all_cut_off(const front_t *f)
{
	if (!f->reach->cut_off || clock_now_ms() - f->reach->cut_off_at < LISTED_MS)
		return false;
	for (u_int i = 0; i < f->view.entries.entries_len; i++) {
		if (str_eq(wire_str(f->view.entries.entries_val[i].addr),
			   str_c(f->settings.listen)))
			return true;
	}
	return false;
}

void front_reach_start(front_t *f)
{
	f->hop_random = ((uint64_t)clock_now_us() ^ str_hash(str_c(f->settings.name))) | 1;
	f->reach = mem_new(sizeof(*f->reach));
	f->reach->reach = reach_new();
	f->reach->next_probe = (u_int)str_hash(str_c(f->settings.name)) & 0xffff;
	for (int i = 0; i < PROBES_MAX; i++) {
		probe_t *p = &f->reach->probes[i];

		p->f = f;
		p->fd = -1;
		timeout_init(&p->timer, f->loop, on_probe_timeout, p);
	}
}
