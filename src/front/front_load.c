/* What replicas say of their load with their answers: passed on to the dispatcher, the newest
 * figures of each replica, once in a period. Only figures of replicas that state how long work
 * takes. */
#include <stdlib.h>
#include "base/metric.h"
#include "front/front.h"

/** Period of the reports, in ms. */
#define REPORT_MS 100
/** Maximum number of replicas in a report; an entry has far fewer answers in a period. */
#define REPORT_MAX 512

/** The newest figures of a replica that have not been passed on. */
struct front_load {
	char *id;
	uint64_t start_time;
	platform_load_t load;
	deadline_t at;
	UT_hash_handle hh;
};

void front_load_note(front_t *f, replica_ref_t replica, const platform_load_t *load)
{
	front_load_t *x;

	if (load->percent == 0)
		return;
	f->speeds_stated = true;
	HASH_FIND(hh, f->loads, replica.id.p, replica.id.n, x);
	if (!x) {
		if (HASH_COUNT(f->loads) >= REPORT_MAX)
			return;
		x = mem_new(sizeof(*x));
		x->id = str_dup(replica.id);
		HASH_ADD_KEYPTR(hh, f->loads, x->id, replica.id.n, x);
	}
	x->start_time = replica.start_time;
	x->load = *load;
	x->at = clock_now_ms();
	METRIC_INC("auburn_replica_loads_total");
}

static void report_to_leader(front_t *f, deadline_t now)
{
	static link_replica_load_t v[REPORT_MAX];
	link_msg_t m = {.kind = LINK_REPLICA_LOADS};
	u_int n = 0;

	for (const front_load_t *x = f->loads; x; x = x->hh.next)
		v[n++] = (link_replica_load_t){
			.replica = wire_bytes(str_c(x->id)),
			.start_time = x->start_time,
			.running = x->load.running,
			.waiting = x->load.waiting,
			.slots = x->load.slots,
			.percent = x->load.percent,
			.age_ms = (int)(now - x->at),
		};
	m.link_msg_t_u.replica_loads.loads.loads_len = n;
	m.link_msg_t_u.replica_loads.loads.loads_val = v;
	leader_link_send(f->leader, &m);
}

static void report_locally(front_t *f, deadline_t now)
{
	static dispatch_load_t v[REPORT_MAX];
	size_t n = 0;

	for (const front_load_t *x = f->loads; x; x = x->hh.next)
		v[n++] = (dispatch_load_t){
			.replica = str_c(x->id),
			.start_time = x->start_time,
			.running = x->load.running,
			.waiting = x->load.waiting,
			.slots = x->load.slots,
			.percent = x->load.percent,
			.at = x->at,
		};
	dispatch_replica_loads(f->local_dispatch, v, n, now);
}

void front_load_tick(front_t *f, deadline_t now)
{
	front_load_t *x;
	front_load_t *next;

	if (!f->loads || now < f->next_load_report)
		return;
	f->next_load_report = now + REPORT_MS;
	if (f->local_dispatch)
		report_locally(f, now);
	else if (front_leader_knows(f, LINK_REPLICA_LOADS))
		report_to_leader(f, now);
	HASH_ITER (hh, f->loads, x, next) {
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): unlinked before free() */
		HASH_DEL(f->loads, x);
		free(x->id);
		free(x);
	}
}
