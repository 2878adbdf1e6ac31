/* Slot requests: go to the leader's dispatcher or, while there is no leader, to a dispatcher in
 * this process. The local dispatcher tracks only the runs of this process, so it may choose a
 * replica that other entries have filled. Such a replica rejects the request, which is then tried
 * on another one. */
#include <stdlib.h>
#include "base/log.h"
#include "base/metric.h"
#include "front/front.h"

/** Id of this process, the only entry of its local dispatcher. */
#define LOCAL_ENTRY 1

static void on_grant(void *ctx, uint64_t entry, uint64_t request, str_t replica)
{
	front_t *f = ctx;
	front_request_t *q = front_request_find(f, request);
	const front_replica_t *r = front_find_replica(f, replica);

	if (q && front_request_is_waiting(q))
		front_request_granted(q, (replica_ref_t){replica, r ? r->start_time : 0},
				      str_c(r ? r->addr : ""));
}

static void on_refuse(void *ctx, uint64_t entry, uint64_t request, int64_t retry_ms,
		      dispatch_refusal_t why)
{
	front_t *f = ctx;
	front_request_t *q = front_request_find(f, request);
	const dispatch_share_t *share = dispatch_refusal_share(f->local_dispatch);
	dispatch_stats_t st;

	if (!q || !front_request_is_waiting(q))
		return;
	dispatch_stats(f->local_dispatch, &st);
	log_event(LOG_LEVEL_INFO, "place_refused", LOG_STR("request", q->call.id),
		  LOG_INT("number", request), LOG_CSTR("reason", dispatch_refusal_name(why)),
		  LOG_INT("retry_ms", retry_ms), LOG_INT("replicas", st.replicas),
		  LOG_INT("places", st.slots), LOG_INT("online", st.online),
		  LOG_INT("waiting", st.requests_waiting), LOG_CSTR("customer", share->customer),
		  LOG_INT("share_permille", share->permille),
		  LOG_INT("over_share", share->is_over));
	if (share->is_over)
		METRIC_INC("auburn_refused_over_share_total");
	front_request_refused(q, retry_ms);
}

/* This callback and the next are never called, because the local dispatcher has no items. */
static void ignore_stop_item(void *ctx, void *data, uint64_t entry)
{
}

static void ignore_start_item(void *ctx, void *data, uint64_t entry, str_t replica)
{
}

static void request_local(front_t *f, const front_request_t *q)
{
	dispatch_request_t a = {
		.entry = LOCAL_ENTRY,
		.request = q->number,
		.service = str_c(q->service),
		.priority = q->priority,
		.resumed = q->head_sent,
		.returning = q->returning || q->may_have_run,
		.objective = q->objective,
		.deadline = q->deadline,
		.give_up_at = q->give_up_at,
		.prefix = q->call.prefix_hash,
		.customer = str_c(q->customer ? q->customer : ""),
		.tokens = q->call.tokens,
	};

	for (unsigned i = 0; i < q->navoid; i++)
		a.avoid[a.navoid++] = str_c(q->avoid[i]);
	dispatch_request_add(f->local_dispatch, &a, clock_now_ms());
}

/* Tells the leader what the request takes, where that bears on its place: the config has customers,
 * or a replica of the service states how long work takes. */
static void send_facts(front_t *f, const front_request_t *q)
{
	const dispatch_tokens_t *t = &q->call.tokens;
	link_msg_t m = {.kind = LINK_REQUEST_FACTS};
	link_prompt_tokens_t parts[DISPATCH_PARTS_MAX];

	if ((!q->customer && !f->speeds_stated) || !front_leader_knows(f, m.kind))
		return;
	m.link_msg_t_u.facts = (link_request_facts_t){
		.request = q->number,
		.customer = wire_bytes(str_c(q->customer ? q->customer : "")),
		.tokens_in = t->in,
		.tokens_out = t->out,
		.tokens_out_max = t->out_max,
	};
	for (unsigned i = 0; i < t->nparts; i++)
		parts[i] = (link_prompt_tokens_t){t->parts[i].part, t->parts[i].tokens};
	if (f->speeds_stated)
		m.link_msg_t_u.facts.parts.parts_len = t->nparts;
	m.link_msg_t_u.facts.parts.parts_val = parts;
	leader_link_send(f->leader, &m);
}

static void request_from_leader(front_t *f, front_request_t *q)
{
	bool counts = q->counted_by == FRONT_ASKS_LEADER_TO_COUNT;
	link_msg_t m = {.kind = counts ? LINK_CUSTOMER_SLOT_REQUEST : LINK_SLOT_REQUEST};
	link_slot_request_t *a = counts ? &m.link_msg_t_u.customer_ask.ask : &m.link_msg_t_u.ask;
	wire_bytes_t avoid[DISPATCH_AVOID_MAX];
	deadline_t now = clock_now_ms();

	*a = (link_slot_request_t){
		.request = q->number,
		.service = wire_bytes(str_c(q->service)),
		.priority = q->priority,
		.resumed = q->head_sent,
		.returning = q->returning || q->may_have_run,
		.objective_ms = (int)(q->objective - now),
		.deadline_ms = (int)(q->deadline - now),
		.give_up_left_ms = (int)(q->give_up_at - now),
		.prefix = q->call.prefix_hash,
	};
	for (unsigned i = 0; i < q->navoid; i++)
		avoid[i] = wire_bytes(str_c(q->avoid[i]));
	a->avoid.avoid_len = q->navoid;
	a->avoid.avoid_val = avoid;
	if (counts) {
		m.link_msg_t_u.customer_ask.customer = wire_bytes(str_c(q->customer));
		q->counted_by = FRONT_COUNTED_BY_LEADER;
	}
	send_facts(f, q);
	leader_link_send_acked(f->leader, &m);
}

void front_slot_request(front_t *f, front_request_t *q)
{
	int64_t retry_ms;

	if (!front_quota_take(f, q, &retry_ms)) {
		front_request_over_quota(q, retry_ms, "entry");
		return;
	}
	if (f->local_dispatch)
		request_local(f, q);
	else
		request_from_leader(f, q);
}

void front_slot_withdraw(front_t *f, front_request_t *q)
{
	link_msg_t m = {.kind = LINK_WITHDRAW};

	m.link_msg_t_u.request = q->number;
	if (f->local_dispatch)
		dispatch_request_withdraw(f->local_dispatch, LOCAL_ENTRY, q->number);
	else
		leader_link_send(f->leader, &m);
}

void front_slot_release(front_t *f, front_request_t *q, dispatch_outcome_t how)
{
	link_msg_t m = {.kind = LINK_ENDED};
	link_ended_t *e = &m.link_msg_t_u.ended;

	*e = (link_ended_t){q->number, wire_bytes(str_c(q->replica)), (link_outcome_t)how,
			    (int)q->first_byte_ms};
	if (f->local_dispatch)
		dispatch_request_ended(f->local_dispatch, LOCAL_ENTRY, q->number, how,
				       clock_now_ms());
	/* Without a link, a hello on its way may list the request as running. */
	leader_link_send_deferred(f->leader, &m);
}

void front_slot_set_replicas(front_t *f)
{
	u_int n = f->view.upstreams.upstreams_len;
	dispatch_replica_t *v;

	if (!f->local_dispatch)
		return;
	v = mem_new((n + 1) * sizeof(*v));
	for (u_int i = 0; i < n; i++) {
		const link_upstream_t *u = &f->view.upstreams.upstreams_val[i];

		/* All replicas count as in this zone: otherwise all entries of a zone would
		 * overload the replicas of that zone. */
		v[i] = (dispatch_replica_t){
			.id = wire_str(u->id),
			.zone = str_c(f->settings.zone),
			.service = wire_str(u->service),
			.slots = u->slots,
			.leaving = u->leaving ||
				   front_replica_leaves(
					   f, (replica_ref_t){wire_str(u->id), u->start_time}),
			.start_time = u->start_time,
		};
	}
	dispatch_set_replicas(f->local_dispatch, v, n, clock_now_ms());
	free(v);
}

/* Requests slots for the waiting requests again: the dispatcher changed from local to leader or
 * back. */
static void request_all_again(front_t *f)
{
	front_request_t *q;
	front_request_t *next;

	HASH_ITER (hh, f->requests, q, next) {
		if (front_request_is_waiting(q))
			front_slot_request(f, q);
	}
}

void front_slot_leader_up(front_t *f)
{
	if (f->local_dispatch)
		dispatch_free(f->local_dispatch);
	f->local_dispatch = NULL;
	request_all_again(f);
}

void front_slot_leader_down(front_t *f)
{
	dispatch_callbacks_t cb = {f, on_grant, on_refuse, ignore_start_item, ignore_stop_item};

	f->local_dispatch =
		dispatch_new(&cb, (uint64_t)clock_now_us() ^ str_hash(str_c(f->settings.name)));
	dispatch_entry_add(f->local_dispatch, LOCAL_ENTRY, str_c(f->settings.zone), false);
	front_slot_set_replicas(f);
	for (front_request_t *q = f->requests; q; q = q->hh.next) {
		if (!front_request_is_waiting(q))
			dispatch_request_adopt(f->local_dispatch, LOCAL_ENTRY, q->number,
					       str_c(q->replica), clock_now_ms());
	}
	request_all_again(f);
}
