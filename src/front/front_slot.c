/* Asks for places: of the leader's dispatcher, or of one of this process's own while there is no
 * leader. The own one knows only this process's runs, so it may choose a replica that others have
 * filled; such a replica refuses and another is tried. */
#include <stdlib.h>
#include "base/log.h"
#include "front/front.h"

/** This process in its own dispatcher. */
#define SELF 1

static void on_grant(void *ctx, uint64_t entry, uint64_t request, str_t replica)
{
	front_t *f = ctx;
	front_request_t *o = front_request_find(f, request);
	const front_replica_t *r = front_find_replica(f, replica);

	if (o && front_request_is_waiting(o))
		front_request_granted(o, (leaving_replica_t){replica, r ? r->start_time : 0},
				      str_c(r ? r->addr : ""));
}

static void on_refuse(void *ctx, uint64_t entry, uint64_t request, int64_t retry_ms,
		      dispatch_refusal_t why)
{
	front_t *f = ctx;
	front_request_t *o = front_request_find(f, request);
	dispatch_stats_t st;

	if (!o || !front_request_is_waiting(o))
		return;
	dispatch_stats(f->local, &st);
	log_event(LOG_LEVEL_INFO, "place_refused", LOG_STR("request", o->call.id),
		  LOG_INT("number", request), LOG_CSTR("reason", dispatch_refusal_name(why)),
		  LOG_INT("retry_ms", retry_ms), LOG_INT("replicas", st.replicas),
		  LOG_INT("places", st.slots), LOG_INT("online", st.online),
		  LOG_INT("waiting", st.asks_waiting));
	front_request_refused(o, retry_ms);
}

static void no_item(void *ctx, void *data, uint64_t entry)
{
}

static void no_run(void *ctx, void *data, uint64_t entry, str_t replica)
{
}

static void ask_local(front_t *f, const front_request_t *o)
{
	dispatch_request_t a = {
		.entry = SELF,
		.request = o->number,
		.service = str_c(o->service),
		.priority = o->priority,
		.resumed = o->head_sent,
		.returning = o->returning || o->may_have_run,
		.objective = o->objective,
		.deadline = o->deadline,
		.give_up_at = o->give_up_at,
		.prefix = o->call.prefix_hash,
	};

	for (unsigned i = 0; i < o->navoid; i++)
		a.avoid[a.navoid++] = str_c(o->avoid[i]);
	dispatch_request_add(f->local, &a, clock_now_ms());
}

static void ask_leader(front_t *f, const front_request_t *o)
{
	link_msg_t m = {.kind = LINK_SLOT_REQUEST};
	link_slot_request_t *a = &m.link_msg_t_u.ask;
	wire_bytes_t avoid[DISPATCH_AVOID_MAX];
	deadline_t now = clock_now_ms();

	*a = (link_slot_request_t){
		.request = o->number,
		.service = wire_bytes(str_c(o->service)),
		.priority = o->priority,
		.resumed = o->head_sent,
		.returning = o->returning || o->may_have_run,
		.objective_ms = (int)(o->objective - now),
		.deadline_ms = (int)(o->deadline - now),
		.give_up_left_ms = (int)(o->give_up_at - now),
		.prefix = o->call.prefix_hash,
	};
	for (unsigned i = 0; i < o->navoid; i++)
		avoid[i] = wire_bytes(str_c(o->avoid[i]));
	a->avoid.avoid_len = o->navoid;
	a->avoid.avoid_val = avoid;
	leader_link_send_acked(f->leader, &m);
}

void front_slot_request(front_t *f, front_request_t *o)
{
	if (f->local)
		ask_local(f, o);
	else
		ask_leader(f, o);
}

void front_slot_withdraw(front_t *f, front_request_t *o)
{
	link_msg_t m = {.kind = LINK_WITHDRAW};

	m.link_msg_t_u.request = o->number;
	if (f->local)
		dispatch_request_withdraw(f->local, SELF, o->number);
	else
		leader_link_send(f->leader, &m);
}

void front_slot_release(front_t *f, front_request_t *o, dispatch_outcome_t how)
{
	link_msg_t m = {.kind = LINK_ENDED};
	link_ended_t *e = &m.link_msg_t_u.ended;

	*e = (link_ended_t){o->number, wire_bytes(str_c(o->replica)), (link_outcome_t)how,
			    (int)o->first_ms};
	if (f->local)
		dispatch_request_ended(f->local, SELF, o->number, how, clock_now_ms());
	else
		leader_link_send(f->leader, &m);
}

void front_slot_set_replicas(front_t *f)
{
	u_int n = f->view.upstreams.upstreams_len;
	dispatch_replica_t *v;

	if (!f->local)
		return;
	v = mem_new((n + 1) * sizeof(*v));
	for (u_int i = 0; i < n; i++) {
		const link_upstream_t *u = &f->view.upstreams.upstreams_val[i];

		/* The own zone counts for nothing: every entry would crowd the same replicas. */
		v[i] = (dispatch_replica_t){
			.id = wire_str(u->id),
			.zone = str_c(f->settings.zone),
			.service = wire_str(u->service),
			.slots = u->slots,
			.leaving = u->leaving || leaving_check(f->leaving_replicas,
							       (leaving_replica_t){wire_str(u->id),
										   u->start_time}),
			.start_time = u->start_time,
		};
	}
	dispatch_set_replicas(f->local, v, n, clock_now_ms());
	free(v);
}

static void ask_again(front_t *f)
{
	front_request_t *o;
	front_request_t *next;

	HASH_ITER (hh, f->requests, o, next) {
		if (front_request_is_waiting(o))
			front_slot_request(f, o);
	}
}

void front_slot_leader_up(front_t *f)
{
	if (f->local)
		dispatch_free(f->local);
	f->local = NULL;
	ask_again(f);
}

void front_slot_leader_down(front_t *f)
{
	dispatch_callbacks_t cb = {f, on_grant, on_refuse, no_run, no_item};

	f->local = dispatch_new(&cb, (uint64_t)clock_now_us() ^ str_hash(str_c(f->settings.name)));
	dispatch_entry_add(f->local, SELF, str_c(f->settings.zone), false);
	front_slot_set_replicas(f);
	for (front_request_t *o = f->requests; o; o = o->hh.next) {
		if (!front_request_is_waiting(o))
			dispatch_request_adopt(f->local, SELF, o->number, str_c(o->replica),
					       clock_now_ms());
	}
	ask_again(f);
}
