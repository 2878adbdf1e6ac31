/* Changes and reads of the operators' text: its version is a label inside, while group 0 keeps each
 * text as number N+1 on N. */
#include <stdlib.h>
#include "base/lg.h"
#include "client/rc.h"
#include "control/cn_hub.h"

/** A change or read that takes longer, in ms, gets no clear answer: its caller asks another node.
 */
#define CALL_MS 2500

typedef struct {
	wk_job_t job;
	hub_t *h;
	hub_caller_t from;
	bool submit;
	uint64_t version; /* of the text */
	uint64_t known_number; /* of the text in force when the call came, and its version */
	uint64_t known_version;
	char *text;
	size_t text_n;
	status_t st;
	char message[256];
	aw_query_res_t head;
} text_call_t;

static void read_head(cn_group_t *g, void *arg)
{
	aw_query_t q = {.kind = AW_QUERY_CONF};

	fl_query(g->fl, &q, arg);
}

static status_t fetch_head(text_call_t *c, deadline_t deadline)
{
	cn_group_t *g = &c->h->cn->groups[0];
	status_t st = gr_barrier(g->gr, deadline);

	px_free(PX(aw_query_res_t), &c->head);
	c->head = (aw_query_res_t){0};
	if (st == ST_OK)
		cn_group_read(g, read_head, &c->head);
	return st;
}

static uint64_t version_of(str_t text, uint64_t number)
{
	ru_t *r = NULL;
	uint64_t version;

	if (rc_decode(text, number, &r) != ST_OK)
		return 0;
	version = r->version;
	ru_free(r);
	return version;
}

static uint64_t version_of_head(const text_call_t *c)
{
	const aw_conf_t *head = &c->head.conf;

	if (head->number == c->known_number)
		return c->known_version;
	return head->number ? version_of(px_str(head->text), head->number) : 0;
}

/* ST_OK: in force, or overtaken. ST_CONFLICT: another change came first. */
static status_t submit_once(text_call_t *c, deadline_t deadline)
{
	aw_fleet_cmd_t cmd = {.kind = AW_FLEET_CONF_SUBMIT};
	aw_conf_submit_t *s = &cmd.aw_fleet_cmd_t_u.submit;
	aw_fleet_res_t res;
	status_t st = fetch_head(c, deadline);

	if (st != ST_OK)
		return st;
	if (c->version <= version_of_head(c))
		return ST_OK;
	s->number = c->head.conf.number + 1;
	s->text = px_bytes((str_t){c->text, c->text_n});
	s->operator_name = px_bytes(STR("operator"));
	st = cn_fleet(c->h->cn, &cmd, &res, deadline);
	if (st == ST_OK)
		st = (status_t)res.status;
	px_free(PX(aw_fleet_res_t), &res);
	return st;
}

static status_t submit(text_call_t *c, deadline_t deadline)
{
	status_t st;

	c->version = version_of((str_t){c->text, c->text_n}, 0);
	if (c->version == 0)
		return ST_INVALID;
	do {
		st = submit_once(c, deadline);
	} while (st == ST_CONFLICT && clk_now_ms() < deadline);
	return st;
}

static void work(wk_job_t *j)
{
	text_call_t *c = (text_call_t *)j;
	deadline_t deadline = clk_now_ms() + CALL_MS;

	c->st = c->submit ? submit(c, deadline) : fetch_head(c, deadline);
	snprintf(c->message, sizeof(c->message), "%s", c->st == ST_OK ? "" : st_message());
}

static void done(wk_job_t *j)
{
	text_call_t *c = (text_call_t *)j;
	lw_reply_t r = {.status = (int)c->st, .message = px_bytes(str_c(c->message))};

	if (c->submit)
		lg(LG_INFO, "text_submitted", LG_I("version", c->version),
		   LG_I("on_number", c->head.conf.number), LG_C("status", st_name(c->st)),
		   LG_C("message", c->message));
	else if (c->st == ST_OK && c->head.status == ST_OK)
		r.bytes = c->head.conf.text;
	hub_reply(c->h, &c->from, &r);
	px_free(PX(aw_query_res_t), &c->head);
	free(c->text);
	free(c);
}

void hub_text_call(hub_t *h, const hub_caller_t *from, const lw_what_t *what)
{
	text_call_t *c = mem_new(sizeof(*c));
	str_t text = {"", 0};

	if (what->kind == LW_CALL_SUBMIT)
		text = px_str(what->lw_what_t_u.text);
	c->job = (wk_job_t){work, done, NULL};
	c->h = h;
	c->from = *from;
	c->submit = what->kind == LW_CALL_SUBMIT;
	if (h->routes) {
		c->known_number = h->routes_kept[0].text.number;
		c->known_version = h->routes->version;
	}
	c->text = str_dup(text);
	c->text_n = text.n;
	wk_submit(h->calls, &c->job);
}
