#include "client/upstream_list.h"

#include <uthash.h>
#include "base/log.h"
#include "base/metric.h"
#include "base/rpc.h"
#include "net/timeout.h"
#include "platform/platform.h"
#include "policy/answer.h"

/** Time limit for reading the whole list, in ms. The readers soon start the next read: the hub
 * within a second, an entry within two. */
#define READ_TIMEOUT_MS	   1500
#define CONNECT_TIMEOUT_MS 500
/** Maximum size of the response for one page, in bytes; a page of a few hundred replicas is below
 * 100 KB. */
#define PAGE_BYTES_MAX (4U << 20)
/** Maximum number of replicas in a list: several times what the system is designed for. */
#define REPLICAS_MAX 20000
/** Maximum number of slots of a replica, far above what an engine has. Sums and products of slots
 * and REPLICAS_MAX stay below 2^32. */
#define SLOTS_MAX 65536

/** The id of a replica that was read; a view into the list. */
typedef struct {
	str_t id;
	UT_hash_handle hh;
} seen_t;

struct upstream_list {
	upstream_list_options_t o;
	http_call_t *call;
	timeout_t timer;
	link_view_t list;
	buf_t cursor;
	buf_t body;
	int status;
	bool framed; /* the page has a length or chunks */
	u_int passed_on; /* number of replicas that first_pages has received */
	seen_t *seen; /* by id */
	unsigned skipped; /* entries of this read that describe no usable replica */
	unsigned skipped_logged; /* as last logged */
	buf_t reason; /* why the last of them was skipped */
	bool failing; /* the last read failed, which was logged */
};

static void clear_seen(upstream_list_t *u)
{
	seen_t *x;
	seen_t *next;

	HASH_ITER (hh, u->seen, x, next) {
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): unlinked before free() */
		HASH_DEL(u->seen, x);
		free(x);
	}
}

static void end_read(upstream_list_t *u)
{
	timeout_stop(&u->timer);
	clear_seen(u);
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

/* Ids go into headers, and ids and names into log lines and buffers of fixed size. */
static status_t check_text(const char *field, str_t s)
{
	if (s.n > UPSTREAM_TEXT_BYTES_MAX)
		return status_fail(STATUS_INVALID, "%s of %zu bytes, more than %d", field, s.n,
				   UPSTREAM_TEXT_BYTES_MAX);
	for (size_t i = 0; i < s.n; i++) {
		if ((unsigned char)s.p[i] < ' ' || s.p[i] == 0x7f)
			return status_fail(STATUS_INVALID, "%s with a control character", field);
	}
	return STATUS_OK;
}

static status_t check_replica(const link_upstream_t *r)
{
	AUTO_FREE char *addr = str_dup(wire_str(r->addr));
	char ip[64];
	unsigned port;
	status_t st = check_text("id", wire_str(r->id));

	if (st == STATUS_OK)
		st = check_text("zone", wire_str(r->zone));
	if (st == STATUS_OK)
		st = check_text("service", wire_str(r->service));
	if (st == STATUS_OK && r->id.wire_bytes_t_len == 0)
		st = status_fail(STATUS_INVALID, "entry without id");
	if (st == STATUS_OK && r->slots > SLOTS_MAX)
		st = status_fail(STATUS_INVALID, "%u slots, more than %d", r->slots, SLOTS_MAX);
	return st == STATUS_OK ? rpc_parse_addr(addr, ip, &port) : st;
}

/* Of several entries with the same id the first one holds. */
static status_t note_id(upstream_list_t *u, str_t id)
{
	seen_t *x;

	HASH_FIND(hh, u->seen, id.p, id.n, x);
	if (x)
		return status_fail(STATUS_INVALID, "\"%.*s\" is listed twice", STR_ARG(id));
	x = mem_new(sizeof(*x));
	x->id = id;
	HASH_ADD_KEYPTR(hh, u->seen, x->id.p, x->id.n, x);
	return STATUS_OK;
}

static void note_skipped(upstream_list_t *u, unsigned n)
{
	if (n == 0)
		return;
	u->skipped += n;
	u->reason.n = 0;
	buf_add(&u->reason, str_c(status_message()));
}

/* Removes the replicas from this index on that can't be used. */
static void drop_unusable(upstream_list_t *u, u_int from)
{
	link_upstream_t *v = u->list.upstreams.upstreams_val;
	u_int n = from;

	for (u_int i = from; i < u->list.upstreams.upstreams_len; i++) {
		status_t st = check_replica(&v[i]);

		if (st == STATUS_OK)
			st = note_id(u, wire_str(v[i].id));
		if (st == STATUS_OK) {
			v[n++] = v[i];
			continue;
		}
		note_skipped(u, 1);
		wire_free(XDR_PROC(link_upstream_t), &v[i]);
	}
	u->list.upstreams.upstreams_len = n;
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
	u_int before = u->list.upstreams.upstreams_len;
	AUTO_BUF token = {0};
	answer_line_t line;
	unsigned skipped;

	u->call = NULL;
	/* A page without length whose connection ends may be cut; decoding it shows that. */
	line = answer_judge(
		&(answer_end_t){.framed = u->framed, .success = true, .body_bytes = u->body.n});
	if (how == HTTP_CALL_DONE && !answer_is_whole(line))
		how = HTTP_CALL_BROKEN;
	if (how != HTTP_CALL_DONE || u->status != 200) {
		fail_read(u, how == HTTP_CALL_TOO_LONG ? "page too long"
			     : how == HTTP_CALL_DONE   ? "refused"
						       : "connection broken");
		return;
	}
	buf_add(&token, str_buf(&u->cursor));
	if (platform_list_decode(str_buf(&u->body), &u->list, &u->cursor, &skipped) != STATUS_OK) {
		fail_read(u, status_message());
		return;
	}
	note_skipped(u, skipped);
	drop_unusable(u, before);
	if (u->list.upstreams.upstreams_len > REPLICAS_MAX) {
		fail_read(u, "too many replicas");
		return;
	}
	if (u->cursor.n && str_eq(str_buf(&u->cursor), str_buf(&token))) {
		fail_read(u, "a page names itself as the next one");
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
	clear_seen(u); /* the receiver of the list may free the ids */
	u->o.list(u->o.ctx, &u->list);
	end_read(u);
}

static bool on_head(void *ctx, const http_head_t *h)
{
	upstream_list_t *u = ctx;

	u->status = h->status;
	u->framed = h->framed;
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
