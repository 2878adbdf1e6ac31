/* Emptying a control process: group 0 remembers which one, the repair replaces its voter. */
#include <stdlib.h>
#include <string.h>
#include "base/lg.h"
#include "control/cn_hub.h"

/** An order that takes longer, in ms, gets no clear answer: it may be sent again. */
#define ORDER_MS 2000
/** Control processes are linked to a new leader by then, in ms: the worst seen took 1.8 s. */
#define LINKED_MS 3000

typedef struct {
	wk_job_t job;
	hub_t *h;
	hub_caller_t from;
	char *node;
	uint64_t replica; /* to retire; 0: asks how far it is */
	status_t st;
	char message[128];
	bool empty;
} order_t;

typedef struct {
	str_t node;
	uint64_t replica;
} find_t;

static void find_retired(cn_group_t *g, void *arg)
{
	find_t *f = arg;

	f->replica = fl_retired(g->fl, f->node);
}

/* Empty once it is no member: what it held, the others hold synced. */
static void ask_state(order_t *o)
{
	cn_group_t *g = &o->h->cn->groups[0];
	find_t f = {.node = str_c(o->node)};
	gr_status_t st;

	o->st = gr_barrier(g->gr, clk_now_ms() + ORDER_MS);
	if (o->st != ST_OK)
		return;
	cn_group_read(g, find_retired, &f);
	if (!f.replica) {
		o->st = st_fail(ST_NOT_FOUND, "%s isn't being emptied", o->node);
		return;
	}
	gr_status(g->gr, &st);
	o->empty = true;
	for (unsigned i = 0; i < st.npeers; i++)
		o->empty &= st.peers[i].id != f.replica;
}

static void order_work(wk_job_t *j)
{
	order_t *o = (order_t *)j;
	aw_fleet_cmd_t cmd = {.kind = AW_FLEET_RETIRE};
	aw_fleet_res_t res;

	if (!o->replica) {
		ask_state(o);
	} else {
		cmd.aw_fleet_cmd_t_u.retire.name = px_bytes(str_c(o->node));
		cmd.aw_fleet_cmd_t_u.retire.replica = o->replica;
		o->st = cn_fleet(o->h->cn, &cmd, &res, clk_now_ms() + ORDER_MS);
		if (o->st == ST_OK)
			o->st = (status_t)res.status;
		px_free(PX(aw_fleet_res_t), &res);
	}
	snprintf(o->message, sizeof(o->message), "%s", o->st == ST_OK ? "" : st_message());
}

static void order_done(wk_job_t *j)
{
	order_t *o = (order_t *)j;
	lw_reply_t r = {
		.status = (int)o->st, .message = px_bytes(str_c(o->message)), .empty = o->empty};

	lg(LG_INFO, o->replica ? "retire_ordered" : "retire_asked", LG_C("node", o->node),
	   LG_C("status", st_name(o->st)), LG_I("empty", o->empty));
	hub_reply(o->h, &o->from, &r);
	free(o->node);
	free(o);
}

/* The replica of the control process with this name; 0 when none is known. */
static uint64_t replica_of(hub_t *h, str_t node)
{
	gr_status_t st;

	if (str_eq(str_c(h->cn->s.name), node)) {
		gr_status(h->cn->groups[0].gr, &st);
		return st.self;
	}
	for (hub_peer_t *p = h->peers; p; p = p->hh.next) {
		if (p->control[0] && str_eq(str_c(p->name), node))
			return p->replica;
	}
	return 0;
}

/* Control processes that would be left to vote. */
static unsigned left_without(hub_t *h, uint64_t replica)
{
	gr_status_t st;
	unsigned n;

	gr_status(h->cn->groups[0].gr, &st);
	n = st.self != replica && !cn_is_retired(h->cn, st.self);
	for (hub_peer_t *p = h->peers; p; p = p->hh.next)
		n += p->control[0] && p->replica != replica && !cn_is_retired(h->cn, p->replica);
	return n;
}

/* A new leader knows the others only once they have linked to it, so it can't be sure yet that a VM
 * is unknown or that too few would be left. */
static bool knows_all(hub_t *h)
{
	gr_status_t st;

	gr_status(h->cn->groups[0].gr, &st);
	return clk_now_ms() - st.led_since > LINKED_MS;
}

static void refuse(hub_t *h, const hub_caller_t *from, str_t node, status_t st)
{
	if (!knows_all(h))
		st = st_fail(ST_UNAVAILABLE, "this process leads since a moment only");
	lg(LG_INFO, "retire_refused", LG_S("node", node), LG_C("status", st_name(st)),
	   LG_C("message", st_message()));
	hub_reply_status(h, from, st);
}

void hub_retire_call(hub_t *h, const hub_caller_t *from, const lw_what_t *what)
{
	str_t node = px_str(what->lw_what_t_u.node);
	uint64_t replica = 0;
	order_t *o;

	if (what->kind == LW_CALL_RETIRE) {
		replica = replica_of(h, node);
		if (!replica) {
			refuse(h, from, node,
			       st_fail(ST_NOT_FOUND, "no VM with this name is known"));
			return;
		}
		if (!cn_is_retired(h->cn, replica) && left_without(h, replica) < cn_voters(h->cn)) {
			refuse(h, from, node, st_fail(ST_CONFLICT, "too few VMs would be left"));
			return;
		}
	}
	o = mem_new(sizeof(*o));
	o->job = (wk_job_t){order_work, order_done, NULL};
	o->h = h;
	o->from = *from;
	o->node = str_dup(node);
	o->replica = replica;
	wk_submit(h->calls, &o->job);
}
