#include "entry/load_exchange.h"

#include <limits.h>
#include <stdlib.h>
#include <string.h>
#include "base/log.h"
#include "base/metric.h"
#include "base/rpc.h"
#include "entry/upstream.h"

#define SEND_INTERVAL_MS 100
#define CALL_TIMEOUT_MS	 500
#define SCAN_INTERVAL_MS 200
#define AVOIDED_QUEUE	 64 /* added to the reported queue of a replica that is being emptied */
#define PEERS_MAX	 1024
#define STEP_MS		 10

typedef struct peer {
	entry_ctx_t *en;
	char *addr;
	struct peer *next;
} peer_t;

static pthread_mutex_t peers_lock = PTHREAD_MUTEX_INITIALIZER;
static peer_t *peers;

static void on_load_report(void *ctx, const void *arg, void *res)
{
	entry_ctx_t *en = ctx;
	const wire_load_arg_t *a = arg;

	for (u_int i = 0; i < a->loads.loads_len; i++)
		upstream_owner_report(en->upstreams, &a->loads.loads_val[i]);
}

static int clamp_to_int(int64_t ms)
{
	return ms < INT_MAX ? (int)ms : INT_MAX;
}

static bool append_load(void *ctx, const upstream_info_t *info)
{
	wire_load_arg_t *a = ctx;
	wire_load_t *l;
	owner_stats_t st;
	uint64_t *prefixes;

	if (!info->replica)
		return true;
	local_replica_stats(info->replica, &st);
	a->loads.loads_val = mem_grow(a->loads.loads_val, (a->loads.loads_len + 1) * sizeof(*l));
	l = &a->loads.loads_val[a->loads.loads_len++];
	*l = (wire_load_t){.id = wire_copy(str_c(info->id)),
			   .fence = info->fence,
			   .free_slots = (int)st.free_slots,
			   .queued = (int)st.queued,
			   .running = (int)(st.running_online + st.running_batch),
			   .step_us = (int)st.step_us,
			   .drain_ms = clamp_to_int(st.drain_ms + st.first_token_ms)};
	if (upstream_is_avoided(info->upstream)) {
		l->free_slots = 0;
		l->queued += AVOIDED_QUEUE;
	}
	l->prefixes.prefixes_len = (u_int)upstream_copy_prefixes(info->upstream, &prefixes);
	l->prefixes.prefixes_val = (u_quad_t *)prefixes;
	return true;
}

/* True if an entry with this RPC address is in the view. */
static bool is_member(entry_ctx_t *en, const char *addr)
{
	AUTO_ENTRY_VIEW *v = entry_view_get(en->snapshot);

	for (u_int i = 0; v && i < v->view.members.members_len; i++)
		if (str_eq(wire_str(v->view.members.members_val[i].peer), str_c(addr)))
			return true;
	return false;
}

static void send_load_report(entry_ctx_t *en, rpc_client_t *c)
{
	wire_load_arg_t a = {.session = entry_session(en->snapshot)};
	status_t st;

	upstream_each(en->upstreams, append_load, &a);
	if (a.loads.loads_len) {
		st = rpc_client_call(c, AUBURN_LOAD, XDR_PROC(wire_load_arg_t), &a,
				     (xdrproc_t)rpc_xdr_void, NULL,
				     clock_now_ms() + CALL_TIMEOUT_MS);
		if (st != STATUS_OK)
			METRIC_INC("auburn_load_reports_failed_total");
	}
	wire_free(XDR_PROC(wire_load_arg_t), &a);
}

static void remove_peer(peer_t *p)
{
	peer_t **at;

	pthread_mutex_lock(&peers_lock);
	for (at = &peers; *at != p; at = &(*at)->next)
		;
	*at = p->next;
	pthread_mutex_unlock(&peers_lock);
	free(p->addr);
	free(p);
}

/* Sends load reports to one peer until the peer leaves the view. Pauses without a valid lease. */
static void *peer_thread(void *arg)
{
	peer_t *p = arg;
	rpc_client_t *c = rpc_client_new(p->addr, AUBURN_PEER, AUBURN_PEER_V1);

	while (is_member(p->en, p->addr)) {
		if (entry_lease_valid(p->en->snapshot))
			send_load_report(p->en, c);
		clock_sleep_ms(SEND_INTERVAL_MS);
	}
	rpc_client_free(c);
	remove_peer(p);
	return NULL;
}

static bool has_peer(str_t addr)
{
	bool found = false;

	pthread_mutex_lock(&peers_lock);
	for (const peer_t *p = peers; p && !found; p = p->next)
		found = str_eq(str_c(p->addr), addr);
	pthread_mutex_unlock(&peers_lock);
	return found;
}

static void add_peer(entry_ctx_t *en, str_t addr)
{
	peer_t *p = mem_new(sizeof(*p));
	pthread_t t;

	p->en = en;
	p->addr = str_dup(addr);
	pthread_mutex_lock(&peers_lock);
	p->next = peers;
	peers = p;
	pthread_mutex_unlock(&peers_lock);
	if (pthread_create(&t, NULL, peer_thread, p) != 0)
		abort();
	pthread_detach(t);
}

/* Starts a peer_thread for each new member but this entry. */
static void *watch_members_thread(void *arg)
{
	entry_ctx_t *en = arg;

	for (;;) {
		AUTO_ENTRY_VIEW *v = entry_view_get(en->snapshot);

		for (u_int i = 0; v && i < v->view.members.members_len; i++) {
			const wire_member_t *m = &v->view.members.members_val[i];

			if (m->session != entry_session(en->snapshot) &&
			    !has_peer(wire_str(m->peer)))
				add_peer(en, wire_str(m->peer));
		}
		clock_sleep_ms(SCAN_INTERVAL_MS);
	}
	return NULL;
}

status_t load_exchange_start(entry_ctx_t *en)
{
	static const rpc_proc_t procs[] = {{AUBURN_LOAD, XDR_PROC(wire_load_arg_t),
					    sizeof(wire_load_arg_t), (xdrproc_t)rpc_xdr_void, 0,
					    on_load_report},
					   {0, NULL, 0, NULL, 0, NULL}};
	const rpc_server_options_t o = {.addr = en->settings.peer,
					.prog = AUBURN_PEER,
					.vers = AUBURN_PEER_V1,
					.procs = procs,
					.ctx = en};
	status_t st = rpc_serve(&o);
	pthread_t t;

	if (st != STATUS_OK)
		return st;
	if (pthread_create(&t, NULL, watch_members_thread, en) != 0)
		abort();
	pthread_detach(t);
	return STATUS_OK;
}
