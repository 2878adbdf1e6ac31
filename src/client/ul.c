#include "client/ul.h"

#include "base/lg.h"
#include "base/mx.h"
#include "net/tm.h"
#include "platform/pf.h"

/** A read that takes longer, in ms, is given up: the next one follows a second later. */
#define READ_MS	   1500
#define CONNECT_MS 500
/** Bytes of an answer to a call for one page: a page of some hundred replicas is below 100 KB. */
#define PAGE_BYTES_MAX (4U << 20)
/** Replicas of a whole list: several times those of the size designed for. */
#define REPLICAS_MAX 20000

struct ul {
	ul_options_t o;
	hu_call_t *call;
	tm_t timer;
	lw_view_t list;
	buf_t cursor;
	buf_t body;
	int status;
	bool failing;
};

static void stop(ul_t *u)
{
	tm_stop(&u->timer);
	px_free(PX(lw_view_t), &u->list);
	u->list = (lw_view_t){0};
	u->call = NULL;
}

static void fail(ul_t *u, const char *reason)
{
	MX_COUNT("auburn_list_reads_failed_total");
	if (!u->failing)
		lg(LG_WARN, "list_lost", LG_C("addr", u->o.addr), LG_C("reason", reason),
		   LG_I("status", u->status));
	u->failing = true;
	stop(u);
}

static void read_page(ul_t *u);

static void on_end(void *ctx, hu_end_t how)
{
	ul_t *u = ctx;

	u->call = NULL;
	if (how != HU_DONE || u->status != 200) {
		fail(u, how == HU_TOO_LONG ? "page too long"
			: how == HU_DONE   ? "refused"
					   : "connection broken");
		return;
	}
	if (pf_list_decode(str_buf(&u->body), &u->list, &u->cursor) != ST_OK) {
		fail(u, st_message());
		return;
	}
	if (u->list.upstreams.upstreams_len > REPLICAS_MAX) {
		fail(u, "too many replicas");
		return;
	}
	if (u->cursor.n) {
		read_page(u);
		return;
	}
	if (u->failing)
		lg(LG_INFO, "list_regained", LG_C("addr", u->o.addr));
	u->failing = false;
	u->o.list(u->o.ctx, &u->list);
	stop(u);
}

static bool on_head(void *ctx, const hp_head_t *h)
{
	((ul_t *)ctx)->status = h->status;
	return true;
}

static void on_body(void *ctx, str_t piece)
{
	buf_add(&((ul_t *)ctx)->body, piece);
}

static void read_page(ul_t *u)
{
	AUTO_BUF req = {0};

	pf_list_request(&req, str_c(u->o.addr), str_buf(&u->cursor));
	u->body.n = 0;
	u->status = 0;
	u->call =
		hu_start(u->o.http, &(hu_options_t){
					    .request = str_buf(&req),
					    .addr = u->o.addr,
					    /* A late copy of a page would be taken for the next. */
					    .fresh = true,
					    .max_bytes = PAGE_BYTES_MAX,
					    .connect_by = clk_now_ms() + CONNECT_MS,
					    .ctx = u,
					    .head = on_head,
					    .body = on_body,
					    .end = on_end,
				    });
}

static void on_timer(void *ctx)
{
	ul_t *u = ctx;

	if (u->call)
		hu_cancel(u->call);
	fail(u, "no answer");
}

ul_t *ul_new(const ul_options_t *o)
{
	ul_t *u = mem_new(sizeof(*u));

	u->o = *o;
	tm_init(&u->timer, o->loop, on_timer, u);
	return u;
}

void ul_read(ul_t *u)
{
	if (u->call)
		return;
	u->cursor.n = 0;
	tm_set(&u->timer, READ_MS);
	read_page(u);
}
