/* Hands a request of an entry that is cut off from the replicas to an entry that is not, and relays
 * the answer. The other entry identifies the caller, counts the request and runs it as if the
 * caller had sent it; it never hands it on. */
#include <stdlib.h>
#include <utlist.h>
#include "base/log.h"
#include "base/metric.h"
#include "base/prng.h"
#include "front/front.h"
#include "policy/failure.h"

/** Connect timeout; handshakes between entries take a few ms. */
#define CONNECT_MS 250
/** Maximum size of an answer in bytes. */
#define ANSWER_BYTES_MAX (16U << 20)
/** Retry-After if the other entry was not reached: the caller only has to connect to another. */
#define RETRY_MS 20

struct front_hop {
	front_conn_data_t data; /* of the connection; first */
	front_hop_t *prev;
	front_hop_t *next;
	front_t *f;
	http_conn_t *conn;
	http_call_t *call;
	http_request_t req; /* of the connection, which keeps it until the reply */
	timeout_t timer; /* expires at the deadline */
	deadline_t deadline;
	int status; /* of the answer that is relayed; 0: none has begun */
	bool framed; /* that answer has a length or chunks */
	bool refused; /* by the first entry; another one is asked next */
	char id[64];
	char first_entry[64]; /* ip:port of the first entry if another one was asked next */
	char entry[64]; /* ip:port */
};

static const link_entry_t *pick_entry(front_t *f, const char *except);
static void start_call(front_hop_t *p, const link_entry_t *e);

static void log_end(const front_hop_t *p, const char *outcome, int status)
{
	log_event(LOG_LEVEL_INFO, "hand_over_end", LOG_CSTR("request", p->id),
		  LOG_CSTR("entry", p->entry), LOG_CSTR("outcome", outcome),
		  LOG_INT("status", status), LOG_INT("ms", clock_now_ms() - p->req.received));
}

static void hop_free(front_hop_t *p)
{
	timeout_stop(&p->timer);
	DL_DELETE(p->f->hops, p);
	free(p);
}

/* Ends a request to which no whole answer came. */
static void end_failed(front_hop_t *p, failure_t why, bool sent, const char *outcome)
{
	http_conn_t *c = p->conn;
	int status = p->status ? 0 : failure_status(why, sent);
	AUTO_BUF headers = {0};

	log_end(p, outcome, status);
	http_conn_set_data(c, NULL);
	hop_free(p);
	if (status == 0) {
		http_reply_abort(c);
		return;
	}
	if (status == 503)
		platform_add_retry_after(&headers, RETRY_MS);
	http_reply(c, status, str_buf(&headers), STR(""));
}

/* Asks another entry, once, after an end that says that the request has not run. */
static bool ask_another(front_hop_t *p, const char *outcome)
{
	const link_entry_t *e = p->first_entry[0] ? NULL : pick_entry(p->f, p->entry);

	if (!e)
		return false;
	log_end(p, outcome, 0);
	snprintf(p->first_entry, sizeof(p->first_entry), "%s", p->entry);
	p->refused = false;
	start_call(p, e);
	return true;
}

static bool on_head(void *ctx, const http_head_t *h)
{
	front_hop_t *p = ctx;
	AUTO_BUF headers = {0};
	platform_reply_t r;

	platform_reply_decode(h, &r);
	/* A signed answer is that of a replica: the request has run. */
	p->refused = r.status == 503 && !r.has_signature && !p->first_entry[0] &&
		     pick_entry(p->f, p->entry);
	if (p->refused)
		return true;
	p->status = h->status;
	p->framed = h->framed;
	platform_reply_headers(&headers, h);
	http_reply_begin(p->conn, h->status, str_buf(&headers));
	return true;
}

static void on_body(void *ctx, str_t piece)
{
	front_hop_t *p = ctx;

	if (p->refused)
		return;
	http_reply_chunk(p->conn, piece);
	if (http_conn_unread(p->conn) > FRONT_UNREAD_BYTES)
		http_call_pause(p->call, true);
}

void front_hop_caller_read(front_hop_t *p)
{
	if (p->call)
		http_call_pause(p->call, false);
}

static void on_end(void *ctx, http_call_end_t how)
{
	front_hop_t *p = ctx;
	http_conn_t *c = p->conn;
	answer_line_t line;
	bool whole = false;

	p->call = NULL;
	if ((p->refused || how == HTTP_CALL_UNSENT) &&
	    ask_another(p, p->refused ? "refused" : "not reached"))
		return;
	if (!p->refused && how == HTTP_CALL_DONE) {
		line = answer_judge(&(answer_end_t){.framed = p->framed, .relayed = true});
		whole = answer_is_whole(line);
		if (!whole)
			log_event(LOG_LEVEL_WARN, "answer_broken", LOG_CSTR("request", p->id),
				  LOG_CSTR("entry", p->entry),
				  LOG_CSTR("line", answer_line_name(line)));
	}
	if (!whole) {
		end_failed(p, FAILURE_NO_ATTEMPT_LEFT, !p->refused && how != HTTP_CALL_UNSENT,
			   "broken");
		return;
	}
	log_end(p, "ok", p->status);
	http_conn_set_data(c, NULL);
	hop_free(p);
	http_reply_end(c);
}

static void give_up(front_hop_t *p, failure_t why, const char *outcome)
{
	bool sent = !p->refused && http_call_sent(p->call);

	http_call_cancel(p->call);
	end_failed(p, why, sent, outcome);
}

static void on_deadline(void *ctx)
{
	give_up(ctx, FAILURE_DEADLINE, "deadline");
}

void front_hop_end_all(front_t *f)
{
	front_hop_t *p;
	front_hop_t *next;

	DL_FOREACH_SAFE(f->hops, p, next)
	{
		give_up(p, FAILURE_STOPPING, "entry ends");
	}
}

void front_hop_caller_left(front_hop_t *p)
{
	log_end(p, "caller left", 0);
	http_call_cancel(p->call);
	hop_free(p);
}

/* Picks another one of the entries that look-ups name, in the own zone if there is one; NULL if
 * there are none. except: ip:port of an entry that is not picked, or empty. */
static const link_entry_t *pick_entry(front_t *f, const char *except)
{
	const link_entry_t *best = NULL;
	bool best_same_zone = false;
	unsigned ties = 0;

	for (u_int i = 0; i < f->view.entries.entries_len; i++) {
		const link_entry_t *e = &f->view.entries.entries_val[i];
		bool same_zone = str_eq(wire_str(e->zone), str_c(f->settings.zone));

		if (str_eq(wire_str(e->addr), str_c(f->settings.listen)) ||
		    str_eq(wire_str(e->addr), str_c(except)))
			continue;
		if (best && same_zone < best_same_zone)
			continue;
		if (!best || same_zone > best_same_zone)
			ties = 0;
		if (prng_next(&f->hop_random) % ++ties != 0)
			continue;
		best = e;
		best_same_zone = same_zone;
	}
	return best;
}

static void start_call(front_hop_t *p, const link_entry_t *e)
{
	AUTO_BUF request = {0};

	snprintf(p->entry, sizeof(p->entry), "%.*s", STR_ARG(wire_str(e->addr)));
	platform_hop_encode(&request, &p->req.head, p->req.body, clock_left_ms(p->deadline));
	p->call =
		http_call_start(p->f->http, &(http_call_options_t){
						    .request = str_buf(&request),
						    .addr = p->entry,
						    .new_conn = true,
						    .max_bytes = ANSWER_BYTES_MAX,
						    .connect_deadline = clock_now_ms() + CONNECT_MS,
						    .ctx = p,
						    .head = on_head,
						    .body = on_body,
						    .end = on_end,
					    });
}

bool front_hop_start(front_t *f, http_conn_t *c, const http_request_t *r, str_t id,
		     deadline_t deadline)
{
	const link_entry_t *e = front_all_cut_off(f) ? NULL : pick_entry(f, "");
	front_hop_t *p;

	if (!e)
		return false;
	p = mem_new(sizeof(*p));
	p->data = (front_conn_data_t){FRONT_CONN_HOP, p};
	p->f = f;
	p->conn = c;
	p->req = *r;
	http_conn_hold(c, r->body.n); /* in the message to the other entry */
	p->deadline = deadline;
	snprintf(p->id, sizeof(p->id), "%.*s", STR_ARG(id));
	METRIC_INC("auburn_handed_over_total");
	DL_APPEND(f->hops, p);
	http_conn_set_data(c, &p->data);
	timeout_init(&p->timer, f->loop, on_deadline, p);
	timeout_set(&p->timer, clock_left_ms(deadline));
	start_call(p, e);
	return true;
}
