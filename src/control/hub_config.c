/* Changes and reads of the operators' text: its version is a label inside, while group 0 keeps each
 * text as number N+1 on N. */
#include <stdlib.h>
#include "base/log.h"
#include "client/routes_decode.h"
#include "control/hub.h"

/** A change or read that takes longer, in ms, gets no clear answer: its caller asks another node.
 */
#define CALL_MS 2500

typedef struct {
	worker_task_t job;
	hub_t *h;
	hub_origin_t from;
	bool submit;
	uint64_t version; /* of the text */
	uint64_t known_number; /* of the text in force when the call came, and its version */
	uint64_t known_version;
	char *text;
	size_t text_n;
	status_t st;
	char message[256];
	wire_query_res_t head;
} text_call_t;

static void read_head(control_group_t *g, void *arg)
{
	wire_query_t q = {.kind = WIRE_QUERY_CONFIG};

	fleet_query(g->fleet, &q, arg);
}

static status_t fetch_head(text_call_t *c, deadline_t deadline)
{
	control_group_t *g = &c->h->control->groups[0];
	status_t st = group_read_barrier(g->raft, deadline);

	wire_free(XDR_PROC(wire_query_res_t), &c->head);
	c->head = (wire_query_res_t){0};
	if (st == STATUS_OK)
		control_group_read(g, read_head, &c->head);
	return st;
}

static uint64_t version_of(str_t text, uint64_t number)
{
	route_table_t *r = NULL;
	uint64_t version;

	if (routes_decode(text, number, &r) != STATUS_OK)
		return 0;
	version = r->version;
	route_table_free(r);
	return version;
}

static uint64_t version_of_head(const text_call_t *c)
{
	const wire_config_t *head = &c->head.conf;

	if (head->number == c->known_number)
		return c->known_version;
	return head->number ? version_of(wire_str(head->text), head->number) : 0;
}

/* STATUS_OK: in force, or overtaken. STATUS_CONFLICT: another change came first. */
static status_t submit_once(text_call_t *c, deadline_t deadline)
{
	wire_fleet_cmd_t cmd = {.kind = WIRE_FLEET_CONFIG_SUBMIT};
	wire_config_submit_t *s = &cmd.wire_fleet_cmd_t_u.submit;
	wire_fleet_res_t res;
	status_t st = fetch_head(c, deadline);

	if (st != STATUS_OK)
		return st;
	if (c->version <= version_of_head(c))
		return STATUS_OK;
	s->number = c->head.conf.number + 1;
	s->text = wire_bytes((str_t){c->text, c->text_n});
	s->operator_name = wire_bytes(STR("operator"));
	st = control_fleet_propose(c->h->control, &cmd, &res, deadline);
	if (st == STATUS_OK)
		st = (status_t)res.status;
	wire_free(XDR_PROC(wire_fleet_res_t), &res);
	return st;
}

static status_t submit(text_call_t *c, deadline_t deadline)
{
	status_t st;

	c->version = version_of((str_t){c->text, c->text_n}, 0);
	if (c->version == 0)
		return STATUS_INVALID;
	do {
		st = submit_once(c, deadline);
	} while (st == STATUS_CONFLICT && clock_now_ms() < deadline);
	return st;
}

static void work(worker_task_t *j)
{
	text_call_t *c = (text_call_t *)j;
	deadline_t deadline = clock_now_ms() + CALL_MS;

	c->st = c->submit ? submit(c, deadline) : fetch_head(c, deadline);
	snprintf(c->message, sizeof(c->message), "%s", c->st == STATUS_OK ? "" : status_message());
}

static void done(worker_task_t *j)
{
	text_call_t *c = (text_call_t *)j;
	link_reply_t r = {.status = (int)c->st, .message = wire_bytes(str_c(c->message))};

	if (c->submit)
		log_event(LOG_LEVEL_INFO, "text_submitted", LOG_INT("version", c->version),
			  LOG_INT("on_number", c->head.conf.number),
			  LOG_CSTR("status", status_name(c->st)), LOG_CSTR("message", c->message));
	else if (c->st == STATUS_OK && c->head.status == STATUS_OK)
		r.bytes = c->head.conf.text;
	hub_reply(c->h, &c->from, &r);
	wire_free(XDR_PROC(wire_query_res_t), &c->head);
	free(c->text);
	free(c);
}

void hub_config_handle_call(hub_t *h, const hub_origin_t *from, const link_call_arg_t *what)
{
	text_call_t *c = mem_new(sizeof(*c));
	str_t text = {"", 0};

	if (what->kind == LINK_CALL_CONFIG_SUBMIT)
		text = wire_str(what->link_call_arg_t_u.text);
	c->job = (worker_task_t){work, done, NULL};
	c->h = h;
	c->from = *from;
	c->submit = what->kind == LINK_CALL_CONFIG_SUBMIT;
	if (h->routes) {
		c->known_number = h->recent_routes[0].config.number;
		c->known_version = h->routes->version;
	}
	c->text = str_dup(text);
	c->text_n = text.n;
	worker_pool_submit(h->call_workers, &c->job);
}
