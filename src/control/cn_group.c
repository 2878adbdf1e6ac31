#include <assert.h>
#include <stdio.h>
#include <string.h>
#include "base/lg.h"
#include "base/mx.h"
#include "control/cn.h"
#include "state/sn.h"

#define MIB (1024 * 1024)

static cn_t *process;

static void apply_fleet(cn_group_t *g, str_t cmd, buf_t *result)
{
	aw_fleet_cmd_t c;
	aw_fleet_res_t res = {0};

	if (px_decode(cmd, PX(aw_fleet_cmd_t), &c, sizeof(c)) != ST_OK)
		res.status = ST_CORRUPT;
	else if (c.kind == AW_FLEET_LOTS)
		lo_apply(g->lo, &c.aw_fleet_cmd_t_u.lots, &res);
	else
		fl_apply(g->fl, &c, &res);
	px_free(PX(aw_fleet_cmd_t), &c);
	px_encode(result, PX(aw_fleet_res_t), &res);
	px_free(PX(aw_fleet_res_t), &res);
}

static void apply_ledger(cn_group_t *g, str_t cmd, buf_t *result)
{
	aw_ledger_cmd_t c;
	aw_ledger_res_t res = {0};

	if (px_decode(cmd, PX(aw_ledger_cmd_t), &c, sizeof(c)) == ST_OK)
		ld_apply(g->ld, &c, &res);
	else
		res.status = ST_CORRUPT;
	px_free(PX(aw_ledger_cmd_t), &c);
	px_encode(result, PX(aw_ledger_res_t), &res);
	px_free(PX(aw_ledger_res_t), &res);
}

static void on_apply(void *ctx, uint64_t index, str_t cmd, buf_t *result)
{
	cn_group_t *g = ctx;

	pthread_rwlock_wrlock(&g->lock);
	if (g->fl)
		apply_fleet(g, cmd, result);
	else
		apply_ledger(g, cmd, result);
	pthread_rwlock_unlock(&g->lock);
}

/* Marks a snapshot of group 0 that holds lots behind the fleet's state. */
#define WITH_LOTS 0x4730U

static void snapshot_fleet(cn_group_t *g, buf_t *out)
{
	AUTO_BUF fleet = {0};
	size_t lots;

	sn_put(out, WITH_LOTS);
	fl_snapshot(g->fl, &fleet);
	sn_put_str(out, str_buf(&fleet));
	/* Written in place: lots take most of the memory, and a copy of them as much again. */
	lots = sn_begin_str(out);
	lo_snapshot(g->lo, out);
	sn_end_str(out, lots);
}

static status_t restore_fleet(cn_group_t *g, str_t snap)
{
	sn_reader_t in = {snap, false};
	str_t fleet;
	str_t lots;
	status_t st;

	/* Snapshots of versions that knew no lots hold the fleet's state alone. */
	if (sn_get(&in) != WITH_LOTS)
		return fl_restore(g->fl, snap);
	fleet = sn_get_str(&in);
	lots = sn_get_str(&in);
	st = sn_end(&in, "group 0");
	if (st == ST_OK)
		st = fl_restore(g->fl, fleet);
	if (st == ST_OK)
		st = lo_restore(g->lo, lots);
	return st;
}

static void on_snapshot(void *ctx, buf_t *out)
{
	cn_group_t *g = ctx;

	pthread_rwlock_rdlock(&g->lock);
	if (g->fl)
		snapshot_fleet(g, out);
	else
		ld_snapshot(g->ld, out);
	pthread_rwlock_unlock(&g->lock);
	lg(LG_INFO, "snapshot_taken", LG_I("group", g->n), LG_I("bytes", out->n));
}

static status_t on_restore(void *ctx, str_t snap)
{
	cn_group_t *g = ctx;
	status_t st;

	pthread_rwlock_wrlock(&g->lock);
	st = g->fl ? restore_fleet(g, snap) : ld_restore(g->ld, snap);
	pthread_rwlock_unlock(&g->lock);
	lg(LG_INFO, "snapshot_restored", LG_I("group", g->n), LG_I("bytes", snap.n),
	   LG_C("status", st_name(st)));
	return st;
}

static void on_send(void *ctx, const char *addr, unsigned group, str_t msg)
{
	cn_peer_send(process, addr, group, msg);
}

static void on_role(void *ctx, bool leader, uint64_t term)
{
	cn_group_t *g = ctx;

	lg(LG_INFO, "role", LG_I("group", g->n), LG_C("role", leader ? "leader" : "follower"),
	   LG_I("term", term));
	if (leader)
		MX_COUNT("auburn_elections_won_total");
}

static gr_options_t options_of(cn_t *cn, cn_group_t *g, const char *dir, bool bootstrap)
{
	return (gr_options_t){
		.group = g->n,
		.dir = dir,
		.addr = cn->s.listen,
		.zone = cn->s.zone,
		.seeds = (const char *const *)cn->s.controls.v,
		.nseeds = (unsigned)cn->s.controls.n,
		.bootstrap = bootstrap,
		.tick_ms = (unsigned)cn->s.tick_ms,
		.election_ms = (unsigned)cn->s.election_ms,
		.snapshot_entries = (uint64_t)cn->s.snapshot_entries,
		.snapshot_bytes = (uint64_t)cn->s.snapshot_mib * MIB,
		.ctx = g,
		.apply = on_apply,
		.snapshot = on_snapshot,
		.restore = on_restore,
		.send = on_send,
		.role = on_role,
	};
}

/* A damaged replica leaves under its old id: its folder is kept aside and it joins again as a
 * learner. */
static status_t set_aside(const char *dir)
{
	AUTO_BUF aside = {0};

	buf_addf(&aside, "%s.damaged-%lld", dir, (long long)clk_wall_ms());
	if (rename(dir, aside.p) != 0)
		return st_fail(ST_IO, "can't rename %s", dir);
	lg(LG_ERROR, "replica_set_aside", LG_C("folder", aside.p));
	MX_COUNT("auburn_replicas_set_aside_total");
	return ST_OK;
}

status_t cn_group_open(cn_t *cn, unsigned n, bool bootstrap)
{
	cn_group_t *g = &cn->groups[n];
	AUTO_BUF dir = {0};
	gr_options_t o;
	status_t st;

	process = cn;
	g->n = n;
	pthread_rwlock_init(&g->lock, NULL);
	if (n == 0) {
		g->fl = fl_new((unsigned)cn->s.ledger_groups);
		g->lo = lo_new();
	} else {
		g->ld = ld_new();
	}
	buf_addf(&dir, "%s/group-%u", cn->s.data, n);
	o = options_of(cn, g, dir.p, bootstrap);
	st = gr_open(&o, &g->gr);
	if (st != ST_CORRUPT)
		return st;
	lg(LG_ERROR, "replica_damaged", LG_I("group", n), LG_C("what", st_message()));
	st = set_aside(dir.p);
	if (st != ST_OK)
		return st;
	o.bootstrap = false;
	return gr_open(&o, &g->gr);
}

void cn_group_read(cn_group_t *g, void (*fn)(cn_group_t *g, void *arg), void *arg)
{
	pthread_rwlock_rdlock(&g->lock);
	fn(g, arg);
	pthread_rwlock_unlock(&g->lock);
}

status_t cn_fleet(cn_t *cn, const aw_fleet_cmd_t *cmd, aw_fleet_res_t *res, deadline_t deadline)
{
	AUTO_BUF payload = {0};
	AUTO_BUF result = {0};
	status_t st;

	*res = (aw_fleet_res_t){0};
	px_encode(&payload, PX(aw_fleet_cmd_t), cmd);
	st = gr_propose(cn->groups[0].gr, str_buf(&payload), deadline, &result);
	if (st == ST_OK)
		st = px_decode(str_buf(&result), PX(aw_fleet_res_t), res, sizeof(*res));
	return st;
}
