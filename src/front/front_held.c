/* Requests that came before a text was known: a process that has just started gets one within a few
 * tenths of a second, sooner than their callers would come back. */
#include <stdlib.h>
#include <utlist.h>
#include "base/log.h"
#include "base/metric.h"
#include "front/front.h"

/** A request waits this long at most, in ms: a fleet that starts anew has a leader by then. */
#define HOLD_MS 500
/** A process that has run this long without a text, in ms, refuses at once: there is no telling
 * when it will get one. */
#define FRESH_MS 3000
/** Retry-After of a refusal, in ms: longer than the fleet takes to find a leader. */
#define RETRY_MS 1200

struct front_held {
	front_conn_data_t data;
	http_conn_t *conn;
	http_request_t r;
	deadline_t until;
	front_held_t *prev;
	front_held_t *next;
};

static void refuse(http_conn_t *c, const http_request_t *r, const char *reason)
{
	AUTO_BUF headers = {0};

	log_event(LOG_LEVEL_INFO, "request_refused", LOG_INT("status", 503),
		  LOG_CSTR("reason", reason), LOG_INT("ms", clock_now_ms() - r->received));
	METRIC_INC("auburn_refused_without_text_total");
	platform_add_retry_after(&headers, RETRY_MS);
	http_reply(c, 503, str_buf(&headers), STR("no routes are known yet"));
}

static void take_out(front_t *f, front_held_t *h)
{
	DL_DELETE(f->held, h);
	if (h->conn)
		http_conn_set_data(h->conn, NULL);
}

void front_held_add(front_t *f, http_conn_t *c, const http_request_t *r)
{
	deadline_t now = clock_now_ms();
	front_held_t *h;

	if (now > f->started + FRESH_MS) {
		refuse(c, r, "no text");
		return;
	}
	h = mem_new(sizeof(*h));
	h->data = (front_conn_data_t){FRONT_CONN_HELD, &h->conn};
	h->conn = c;
	h->r = *r;
	h->until = now + HOLD_MS;
	http_conn_set_data(c, h);
	DL_APPEND(f->held, h);
}

void front_held_release(front_t *f)
{
	while (f->held) {
		front_held_t *h = f->held;

		take_out(f, h);
		if (h->conn)
			front_serve(f, h->conn, &h->r);
		free(h);
	}
}

void front_held_expire(front_t *f, deadline_t now)
{
	while (f->held && now >= f->held->until) {
		front_held_t *h = f->held;

		take_out(f, h);
		if (h->conn)
			refuse(h->conn, &h->r, "no text in time");
		free(h);
	}
}
