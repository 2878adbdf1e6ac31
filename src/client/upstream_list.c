#include "client/upstream_list.h"

#include "base/log.h"
#include "base/metric.h"
#include "net/timeout.h"
#include "platform/platform.h"

/** Time limit for reading the whole list, in ms. The readers soon start the next read: the hub
 * within a second, an entry within two. */
#define READ_TIMEOUT_MS	   1500
#define CONNECT_TIMEOUT_MS 500
/** Maximum size of the response for one page, in bytes; a page of a few hundred replicas is below
 * 100 KB. */
#define PAGE_BYTES_MAX (4U << 20)
/** Maximum number of replicas in a list: several times what the system is designed for. */
#define REPLICAS_MAX 20000

struct upstream_list {
	upstream_list_options_t o;
	http_call_t *call;
	timeout_t timer;
	link_view_t list;
	buf_t cursor;
	buf_t body;
	int status;
	u_int passed_on; /* number of replicas that first_pages has received */
	unsigned skipped; /* entries of this read that describe no usable replica */
	unsigned skipped_logged; /* as last logged */
	buf_t reason; /* why the last of them was skipped */
	bool failing; /* the last read failed, which was logged */
};

static void end_read(upstream_list_t *u)
{
	timeout_stop(&u->timer);
	wire_free(XDR_PROC(link_view_t), &u->list);
	u->list = (link_view_t){0};
	u->call = NULL;
}

static void fail_read(upstream_list_t *u, const char *reason)
{
	METRIC_INC("auburn_list_reads_failed_total");
	if (!u->failing)
		log_event(LOG_LEVEL_WARN, "list_lost", LOG_CSTR("addr", u->o.addr),
			  LOG_CSTR("reason", reason), LOG_INT("status", u->status));
	u->failing = true;
	end_read(u);
}

static void read_page(upstream_list_t *u);

static void note_skipped(upstream_list_t *u, unsigned n)
{
	if (n == 0)
		return;
	u->skipped += n;
	u->reason.n = 0;
	buf_add(&u->reason, str_c(status_message()));
}

static void report_skipped(upstream_list_t *u)
{
	metric_add(metric_get(METRIC_COUNTER, "auburn_list_entries_skipped_total", NULL),
		   u->skipped);
	if (u->skipped == u->skipped_logged)
		return;
	log_event(u->skipped ? LOG_LEVEL_WARN : LOG_LEVEL_INFO, "list_entries_skipped",
		  LOG_CSTR("addr", u->o.addr), LOG_INT("entries", u->skipped),
		  LOG_INT("replicas", u->list.upstreams.upstreams_len),
		  LOG_STR("reason", str_buf(&u->reason)));
	u->skipped_logged = u->skipped;
}

/* Only when the number has doubled, so that the receiver's work stays proportional to the list. */
static void pass_on_first_pages(upstream_list_t *u)
{
	u_int n = u->list.upstreams.upstreams_len;

	if (!u->o.first_pages || n < 2 * u->passed_on || n == 0)
		return;
	u->passed_on = n;
	u->o.first_pages(u->o.ctx, &u->list);
}

static void on_page_end(void *ctx, http_call_end_t how)
{
	upstream_list_t *u = ctx;
	unsigned skipped;

	u->call = NULL;
	if (how != HTTP_CALL_DONE || u->status != 200) {
		fail_read(u, how == HTTP_CALL_TOO_LONG ? "page too long"
			     : how == HTTP_CALL_DONE   ? "refused"
						       : "connection broken");
		return;
	}
	if (platform_list_decode(str_buf(&u->body), &u->list, &u->cursor, &skipped) != STATUS_OK) {
		fail_read(u, status_message());
		return;
	}
	note_skipped(u, skipped);
	if (u->list.upstreams.upstreams_len > REPLICAS_MAX) {
		fail_read(u, "too many replicas");
		return;
	}
	if (u->cursor.n) {
		pass_on_first_pages(u);
		read_page(u);
		return;
	}
	if (u->failing)
		log_event(LOG_LEVEL_INFO, "list_regained", LOG_CSTR("addr", u->o.addr));
	u->failing = false;
	report_skipped(u);
	u->o.list(u->o.ctx, &u->list);
	end_read(u);
}

static bool on_head(void *ctx, const http_head_t *h)
{
	((upstream_list_t *)ctx)->status = h->status;
	return true;
}

static void on_body(void *ctx, str_t piece)
{
	buf_add(&((upstream_list_t *)ctx)->body, piece);
}

static void read_page(upstream_list_t *u)
{
	AUTO_BUF req = {0};

	platform_list_request(&req, str_c(u->o.addr), str_buf(&u->cursor));
	u->body.n = 0;
	u->status = 0;
	u->call = http_call_start(u->o.http,
				  &(http_call_options_t){
					  .request = str_buf(&req),
					  .addr = u->o.addr,
					  /* A late response on a reused connection could be
					   * mistaken for the next page. */
					  .new_conn = true,
					  .max_bytes = PAGE_BYTES_MAX,
					  .connect_deadline = clock_now_ms() + CONNECT_TIMEOUT_MS,
					  .ctx = u,
					  .head = on_head,
					  .body = on_body,
					  .end = on_page_end,
				  });
}

static void on_timeout(void *ctx)
{
	upstream_list_t *u = ctx;

	if (u->call)
		http_call_cancel(u->call);
	fail_read(u, "no answer");
}

upstream_list_t *upstream_list_new(const upstream_list_options_t *o)
{
	upstream_list_t *u = mem_new(sizeof(*u));

	u->o = *o;
	timeout_init(&u->timer, o->loop, on_timeout, u);
	return u;
}

void upstream_list_read(upstream_list_t *u)
{
	if (u->call)
		return;
	u->cursor.n = 0;
	u->passed_on = 0;
	u->skipped = 0;
	u->reason.n = 0;
	timeout_set(&u->timer, READ_TIMEOUT_MS);
	read_page(u);
}
