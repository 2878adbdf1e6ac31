/* Changes and reads of the operators' config. Group 0 numbers the configs and accepts number N+1
 * only while N is the newest. The version is the operators' own label inside a config of the
 * platform's format; in auburnwing's own format it is the number. */
#include <stdlib.h>
#include "base/log.h"
#include "client/routes_decode.h"
#include "control/hub.h"

/** Time limit of a change or read, in ms. After it the outcome of a change is unclear, and the
 * operator asks another control process. */
#define CALL_MS 2500

typedef struct {
	worker_task_t task;
	hub_t *h;
	hub_origin_t from;
	bool submit;
	uint64_t version; /* of the submitted config */
	uint64_t
		known_number; /* of the newest config that the hub had decoded when the call came */
	uint64_t known_version; /* of the same config */
	char *config;
	size_t config_bytes;
	status_t st;
	char message[256];
	wire_query_res_t current; /* the newest config in group 0 */
} config_call_t;

static void read_current(control_group_t *g, void *arg)
{
	wire_query_t q = {.kind = WIRE_QUERY_CONFIG};

	fleet_query(g->fleet, &q, arg);
}

static status_t fetch_current(config_call_t *c, deadline_t deadline)
{
	control_group_t *g = &c->h->control->groups[0];
	status_t st = group_read_barrier(g->raft, deadline);

	wire_free(XDR_PROC(wire_query_res_t), &c->current);
	c->current = (wire_query_res_t){0};
	if (st == STATUS_OK)
		control_group_read(g, read_current, &c->current);
	return st;
}

/* Returns the version of a config; 0 if it cannot be decoded. number: the version of a config in
 * auburnwing's own format. */
static uint64_t config_version(str_t config, uint64_t number)
{
	route_table_t *r = NULL;
	uint64_t version;

	if (routes_decode(config, number, &r) != STATUS_OK)
		return 0;
	version = r->version;
	route_table_free(r);
	return version;
}

/* Returns the version of the current config, 0 if there is none. Decodes the config only if the hub
 * has not done so already. */
static uint64_t current_version(const config_call_t *c)
{
	const wire_config_t *current = &c->current.conf;

	if (current->number == c->known_number)
		return c->known_version;
	return current->number ? config_version(wire_str(current->text), current->number) : 0;
}

/* STATUS_OK: the config was committed, or the current one has the same or a newer version and stays
 * in force. STATUS_CONFLICT: another change was committed first. */
static status_t try_submit(config_call_t *c, deadline_t deadline)
{
	wire_fleet_cmd_t cmd = {.kind = WIRE_FLEET_CONFIG_SUBMIT};
	wire_config_submit_t *s = &cmd.wire_fleet_cmd_t_u.submit;
	wire_fleet_res_t res;
	status_t st = fetch_current(c, deadline);

	if (st != STATUS_OK)
		return st;
	if (c->version <= current_version(c))
		return STATUS_OK;
	s->number = c->current.conf.number + 1;
	s->text = wire_bytes((str_t){c->config, c->config_bytes});
	s->operator_name = wire_bytes(STR("operator"));
	st = control_fleet_propose(c->h->control, &cmd, &res, deadline);
	if (st == STATUS_OK)
		st = (status_t)res.status;
	wire_free(XDR_PROC(wire_fleet_res_t), &res);
	return st;
}

static status_t submit_config(config_call_t *c, deadline_t deadline)
{
	status_t st;

	/* A config in auburnwing's own format gets version 0 here and is refused. */
	c->version = config_version((str_t){c->config, c->config_bytes}, 0);
	if (c->version == 0)
		return STATUS_INVALID;
	do {
		st = try_submit(c, deadline);
	} while (st == STATUS_CONFLICT && clock_now_ms() < deadline);
	return st;
}

static void config_call_work(worker_task_t *task)
{
	config_call_t *c = (config_call_t *)task;
	deadline_t deadline = clock_now_ms() + CALL_MS;

	c->st = c->submit ? submit_config(c, deadline) : fetch_current(c, deadline);
	snprintf(c->message, sizeof(c->message), "%s", c->st == STATUS_OK ? "" : status_message());
}

static void config_call_done(worker_task_t *task)
{
	config_call_t *c = (config_call_t *)task;
	link_reply_t r = {.status = (int)c->st, .message = wire_bytes(str_c(c->message))};

	if (c->submit)
		log_event(LOG_LEVEL_INFO, "text_submitted", LOG_INT("version", c->version),
			  LOG_INT("on_number", c->current.conf.number),
			  LOG_CSTR("status", status_name(c->st)), LOG_CSTR("message", c->message));
	else if (c->st == STATUS_OK && c->current.status == STATUS_OK)
		r.bytes = c->current.conf.text;
	hub_reply(c->h, &c->from, &r);
	wire_free(XDR_PROC(wire_query_res_t), &c->current);
	free(c->config);
	free(c);
}

void hub_config_handle_call(hub_t *h, const hub_origin_t *from, const link_call_arg_t *arg)
{
	config_call_t *c = mem_new(sizeof(*c));
	str_t config = {"", 0};

	if (arg->kind == LINK_CALL_CONFIG_SUBMIT)
		config = wire_str(arg->link_call_arg_t_u.text);
	c->task = (worker_task_t){config_call_work, config_call_done, NULL};
	c->h = h;
	c->from = *from;
	c->submit = arg->kind == LINK_CALL_CONFIG_SUBMIT;
	if (h->routes) {
		c->known_number = h->recent_routes[0].config.number;
		c->known_version = h->routes->version;
	}
	c->config = str_dup(config);
	c->config_bytes = config.n;
	worker_pool_submit(h->call_workers, &c->task);
}
