#include "entry/lx.h"

#include <limits.h>
#include <stdlib.h>
#include <string.h>
#include "base/lg.h"
#include "base/mx.h"
#include "base/rp.h"
#include "entry/up.h"

#define SEND_MS	      100
#define CALL_MS	      500
#define SCAN_MS	      200
#define AVOIDED_QUEUE 64 /* makes the others prefer any other replica */
#define PEERS_MAX     1024
#define STEP_MS	      10

typedef struct peer {
	en_t *en;
	char *addr;
	struct peer *next;
} peer_t;

static pthread_mutex_t peers_lock = PTHREAD_MUTEX_INITIALIZER;
static peer_t *peers;

static void on_load(void *ctx, const void *arg, void *res)
{
	en_t *en = ctx;
	const aw_load_arg_t *a = arg;

	for (u_int i = 0; i < a->loads.loads_len; i++)
		up_report(en->ups, &a->loads.loads_val[i]);
}

static int clamp(int64_t ms)
{
	return ms < INT_MAX ? (int)ms : INT_MAX;
}

static bool add_load(void *ctx, const up_info_t *info)
{
	aw_load_arg_t *a = ctx;
	aw_load_t *l;
	ow_stats_t st;
	uint64_t *prefixes;

	if (!info->ro)
		return true;
	ro_stats(info->ro, &st);
	a->loads.loads_val = mem_grow(a->loads.loads_val, (a->loads.loads_len + 1) * sizeof(*l));
	l = &a->loads.loads_val[a->loads.loads_len++];
	*l = (aw_load_t){.id = px_copy(str_c(info->id)),
			 .fence = info->fence,
			 .free_slots = (int)st.free_slots,
			 .queued = (int)st.queued,
			 .running = (int)(st.running_online + st.running_batch),
			 .step_us = (int)st.step_us,
			 .drain_ms = clamp(st.drain_ms + st.first_ms)};
	if (up_avoided(info->up)) {
		l->free_slots = 0;
		l->queued += AVOIDED_QUEUE;
	}
	l->prefixes.prefixes_len = (u_int)up_prefixes_copy(info->up, &prefixes);
	l->prefixes.prefixes_val = (u_quad_t *)prefixes;
	return true;
}

/* Is the peer still a member? */
static bool listed(en_t *en, const char *addr)
{
	AUTO_VIEW *v = en_view_get(en->snap);

	for (u_int i = 0; v && i < v->view.members.members_len; i++)
		if (str_eq(px_str(v->view.members.members_val[i].peer), str_c(addr)))
			return true;
	return false;
}

static void send_loads(en_t *en, rp_client_t *c)
{
	aw_load_arg_t a = {.session = en_session(en->snap)};
	status_t st;

	up_each(en->ups, add_load, &a);
	if (a.loads.loads_len) {
		st = rp_call(c, AUBURN_LOAD, PX(aw_load_arg_t), &a, (xdrproc_t)rp_xdr_void, NULL,
			     clk_now_ms() + CALL_MS);
		if (st != ST_OK)
			MX_COUNT("auburn_load_reports_failed_total");
	}
	px_free(PX(aw_load_arg_t), &a);
}

static void forget(peer_t *p)
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

static void *peer_thread(void *arg)
{
	peer_t *p = arg;
	rp_client_t *c = rp_client_new(p->addr, AUBURN_PEER, AUBURN_PEER_V1);

	while (listed(p->en, p->addr)) {
		if (en_lease_valid(p->en->snap))
			send_loads(p->en, c);
		clk_sleep_ms(SEND_MS);
	}
	rp_client_free(c);
	forget(p);
	return NULL;
}

static bool known(str_t addr)
{
	bool found = false;

	pthread_mutex_lock(&peers_lock);
	for (const peer_t *p = peers; p && !found; p = p->next)
		found = str_eq(str_c(p->addr), addr);
	pthread_mutex_unlock(&peers_lock);
	return found;
}

static void add_peer(en_t *en, str_t addr)
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

static void *scan_thread(void *arg)
{
	en_t *en = arg;

	for (;;) {
		AUTO_VIEW *v = en_view_get(en->snap);

		for (u_int i = 0; v && i < v->view.members.members_len; i++) {
			const aw_member_t *m = &v->view.members.members_val[i];

			if (m->session != en_session(en->snap) && !known(px_str(m->peer)))
				add_peer(en, px_str(m->peer));
		}
		clk_sleep_ms(SCAN_MS);
	}
	return NULL;
}

status_t lx_start(en_t *en)
{
	static const rp_proc_t procs[] = {{AUBURN_LOAD, PX(aw_load_arg_t), sizeof(aw_load_arg_t),
					   (xdrproc_t)rp_xdr_void, 0, on_load},
					  {0, NULL, 0, NULL, 0, NULL}};
	const rp_server_options_t o = {.addr = en->set.peer,
				       .prog = AUBURN_PEER,
				       .vers = AUBURN_PEER_V1,
				       .procs = procs,
				       .ctx = en};
	status_t st = rp_serve(&o);
	pthread_t t;

	if (st != ST_OK)
		return st;
	if (pthread_create(&t, NULL, scan_thread, en) != 0)
		abort();
	pthread_detach(t);
	return ST_OK;
}
