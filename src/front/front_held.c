/* Requests that arrive before the first config is in force, or before it is proved to be the
 * newest, are held until then, for HOLD_MS at most. A process that has just started usually gets a
 * config within a few tenths of a second, sooner than refused callers would retry. */
#include <stdio.h>
#include <stdlib.h>
#include <utlist.h>
#include "base/log.h"
#include "base/metric.h"
#include "front/front.h"

/** Maximum time to hold a request: after a restart of the whole fleet there is a leader by then. */
#define HOLD_MS 500
/** A process that has lacked a config or a proof for this long refuses requests at once, because it
 * is unknown when it will get one. */
#define START_UP_MS 3000
/** Retry-After of a refusal: longer than the fleet takes to find a leader. */
#define RETRY_MS     1200
#define REASON_BYTES 96

struct front_held {
	front_conn_data_t data;
	http_conn_t *conn; /* NULL after the caller left */
	http_request_t req;
	const char *missing; /* what it waits for; a literal */
	deadline_t expires_at;
	front_held_t *prev;
	front_held_t *next;
};

static void refuse_request(http_conn_t *c, const http_request_t *r, const char *reason)
{
	AUTO_BUF headers = {0};

	log_event(LOG_LEVEL_INFO, "request_refused", LOG_INT("status", 503),
		  LOG_CSTR("reason", reason), LOG_INT("ms", clock_now_ms() - r->received));
	METRIC_INC("auburn_refused_without_text_total");
	platform_add_retry_after(&headers, RETRY_MS);
	http_reply(c, 503, str_buf(&headers), STR("not ready to decide about this request"));
}

static void unlink_held(front_t *f, front_held_t *h)
{
	DL_DELETE(f->held, h);
	if (h->conn)
		http_conn_set_data(h->conn, NULL);
}

void front_held_add(front_t *f, http_conn_t *c, const http_request_t *r, const char *missing,
		    deadline_t since)
{
	deadline_t now = clock_now_ms();
	front_held_t *h;

	if (now > since + START_UP_MS) {
		refuse_request(c, r, missing);
		return;
	}
	h = mem_new(sizeof(*h));
	h->data = (front_conn_data_t){FRONT_CONN_HELD, &h->conn};
	h->conn = c;
	h->req = *r;
	h->missing = missing;
	h->expires_at = now + HOLD_MS;
	http_conn_set_data(c, h);
	DL_APPEND(f->held, h);
}

void front_held_release(front_t *f)
{
	front_held_t *list = f->held;
	front_held_t *h;
	front_held_t *next;

	/* Serving may hold a request again. */
	f->held = NULL;
	DL_FOREACH_SAFE(list, h, next)
	{
		if (h->conn) {
			http_conn_set_data(h->conn, NULL);
			front_serve(f, h->conn, &h->req);
		}
		free(h);
	}
}

void front_held_expire(front_t *f, deadline_t now)
{
	while (f->held && now >= f->held->expires_at) {
		front_held_t *h = f->held;
		char reason[REASON_BYTES];

		unlink_held(f, h);
		snprintf(reason, sizeof(reason), "%s in time", h->missing);
		if (h->conn)
			refuse_request(h->conn, &h->req, reason);
		free(h);
	}
}
