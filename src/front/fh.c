/* Requests that came before a text was known: a process that has just started gets one within a few
 * tenths of a second, sooner than their callers would come back. */
#include <stdlib.h>
#include <utlist.h>
#include "base/lg.h"
#include "base/mx.h"
#include "front/fr.h"

/** A request waits this long at most, in ms: a fleet that starts anew has a leader by then. */
#define HOLD_MS 500
/** A process that has run this long without a text, in ms, refuses at once: there is no telling
 * when it will get one. */
#define FRESH_MS 3000
/** Retry-After of a refusal, in ms: longer than the fleet takes to find a leader. */
#define RETRY_MS 1200

struct fh {
	fr_data_t data;
	hl_conn_t *conn;
	hl_request_t r;
	deadline_t until;
	fh_t *prev;
	fh_t *next;
};

static void refuse(hl_conn_t *c, const hl_request_t *r, const char *reason)
{
	AUTO_BUF headers = {0};

	lg(LG_INFO, "request_refused", LG_I("status", 503), LG_C("reason", reason),
	   LG_I("ms", clk_now_ms() - r->received));
	MX_COUNT("auburn_refused_without_text_total");
	pf_retry_after(&headers, RETRY_MS);
	hl_reply(c, 503, str_buf(&headers), STR("no routes are known yet"));
}

static void take_out(fr_t *f, fh_t *h)
{
	DL_DELETE(f->held, h);
	if (h->conn)
		hl_set_data(h->conn, NULL);
}

void fh_hold(fr_t *f, hl_conn_t *c, const hl_request_t *r)
{
	deadline_t now = clk_now_ms();
	fh_t *h;

	if (now > f->started + FRESH_MS) {
		refuse(c, r, "no text");
		return;
	}
	h = mem_new(sizeof(*h));
	h->data = (fr_data_t){FR_HELD, &h->conn};
	h->conn = c;
	h->r = *r;
	h->until = now + HOLD_MS;
	hl_set_data(c, h);
	DL_APPEND(f->held, h);
}

void fh_release(fr_t *f)
{
	while (f->held) {
		fh_t *h = f->held;

		take_out(f, h);
		if (h->conn)
			fr_serve(f, h->conn, &h->r);
		free(h);
	}
}

void fh_tick(fr_t *f, deadline_t now)
{
	while (f->held && now >= f->held->until) {
		fh_t *h = f->held;

		take_out(f, h);
		if (h->conn)
			refuse(h->conn, &h->r, "no text in time");
		free(h);
	}
}
