#include <assert.h>
#include <stdio.h>
#include <string.h>
#include "base/log.h"
#include "base/metric.h"
#include "control/control.h"
#include "state/pack.h"

#define MIB (1024 * 1024)

static control_t *process;

static void apply_fleet(control_group_t *g, str_t cmd, buf_t *result)
{
	wire_fleet_cmd_t c;
	wire_fleet_res_t res = {0};

	if (wire_decode(cmd, XDR_PROC(wire_fleet_cmd_t), &c, sizeof(c)) != STATUS_OK)
		res.status = STATUS_CORRUPT;
	else if (c.kind == WIRE_FLEET_LOTS)
		lots_apply_cmd(g->lots, &c.wire_fleet_cmd_t_u.lots, &res);
	else
		fleet_apply_cmd(g->fleet, &c, &res);
	wire_free(XDR_PROC(wire_fleet_cmd_t), &c);
	wire_encode(result, XDR_PROC(wire_fleet_res_t), &res);
	wire_free(XDR_PROC(wire_fleet_res_t), &res);
}

static void apply_ledger(control_group_t *g, str_t cmd, buf_t *result)
{
	wire_ledger_cmd_t c;
	wire_ledger_res_t res = {0};

	if (wire_decode(cmd, XDR_PROC(wire_ledger_cmd_t), &c, sizeof(c)) == STATUS_OK)
		ledger_apply_cmd(g->ledger, &c, &res);
	else
		res.status = STATUS_CORRUPT;
	wire_free(XDR_PROC(wire_ledger_cmd_t), &c);
	wire_encode(result, XDR_PROC(wire_ledger_res_t), &res);
	wire_free(XDR_PROC(wire_ledger_res_t), &res);
}

static void on_apply(void *ctx, uint64_t index, str_t cmd, buf_t *result)
{
	control_group_t *g = ctx;

	pthread_rwlock_wrlock(&g->lock);
	if (g->fleet)
		apply_fleet(g, cmd, result);
	else
		apply_ledger(g, cmd, result);
	pthread_rwlock_unlock(&g->lock);
}

/* Marks a snapshot of group 0 that holds lots behind the fleet's state. */
#define WITH_LOTS 0x4730U

static void snapshot_fleet(control_group_t *g, buf_t *out)
{
	AUTO_BUF fleet = {0};
	size_t lots;

	pack_u64(out, WITH_LOTS);
	fleet_snapshot(g->fleet, &fleet);
	pack_str(out, str_buf(&fleet));
	/* Written in place: lots take most of the memory, and a copy of them as much again. */
	lots = pack_begin_str(out);
	lots_snapshot(g->lots, out);
	pack_end_str(out, lots);
}

static status_t restore_fleet(control_group_t *g, str_t snap)
{
	unpacker_t in = {snap, false};
	str_t fleet;
	str_t lots;
	status_t st;

	/* Snapshots of versions that knew no lots hold the fleet's state alone. */
	if (unpack_u64(&in) != WITH_LOTS)
		return fleet_restore(g->fleet, snap);
	fleet = unpack_str(&in);
	lots = unpack_str(&in);
	st = unpack_end(&in, "group 0");
	if (st == STATUS_OK)
		st = fleet_restore(g->fleet, fleet);
	if (st == STATUS_OK)
		st = lots_restore(g->lots, lots);
	return st;
}

static void on_snapshot(void *ctx, buf_t *out)
{
	control_group_t *g = ctx;

	pthread_rwlock_rdlock(&g->lock);
	if (g->fleet)
		snapshot_fleet(g, out);
	else
		ledger_snapshot(g->ledger, out);
	pthread_rwlock_unlock(&g->lock);
	log_event(LOG_LEVEL_INFO, "snapshot_taken", LOG_INT("group", g->number),
		  LOG_INT("bytes", out->n));
}

static status_t on_restore(void *ctx, str_t snap)
{
	control_group_t *g = ctx;
	status_t st;

	pthread_rwlock_wrlock(&g->lock);
	st = g->fleet ? restore_fleet(g, snap) : ledger_restore(g->ledger, snap);
	pthread_rwlock_unlock(&g->lock);
	log_event(LOG_LEVEL_INFO, "snapshot_restored", LOG_INT("group", g->number),
		  LOG_INT("bytes", snap.n), LOG_CSTR("status", status_name(st)));
	return st;
}

static void on_send(void *ctx, const char *addr, unsigned group, str_t msg)
{
	control_peer_send(process, addr, group, msg);
}

static void on_role(void *ctx, bool leader, uint64_t term)
{
	control_group_t *g = ctx;

	log_event(LOG_LEVEL_INFO, "role", LOG_INT("group", g->number),
		  LOG_CSTR("role", leader ? "leader" : "follower"), LOG_INT("term", term));
	if (leader)
		METRIC_INC("auburn_elections_won_total");
}

static group_options_t options_of(control_t *cn, control_group_t *g, const char *dir,
				  bool bootstrap)
{
	return (group_options_t){
		.group = g->number,
		.dir = dir,
		.addr = cn->settings.listen,
		.zone = cn->settings.zone,
		.seeds = (const char *const *)cn->settings.controls.v,
		.nseeds = (unsigned)cn->settings.controls.n,
		.bootstrap = bootstrap,
		.tick_ms = (unsigned)cn->settings.tick_ms,
		.election_ms = (unsigned)cn->settings.election_ms,
		.snapshot_entries = (uint64_t)cn->settings.snapshot_entries,
		.snapshot_bytes = (uint64_t)cn->settings.snapshot_mib * MIB,
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

	buf_addf(&aside, "%s.damaged-%lld", dir, (long long)clock_wall_ms());
	if (rename(dir, aside.p) != 0)
		return status_fail(STATUS_IO, "can't rename %s", dir);
	log_event(LOG_LEVEL_ERROR, "replica_set_aside", LOG_CSTR("folder", aside.p));
	METRIC_INC("auburn_replicas_set_aside_total");
	return STATUS_OK;
}

status_t control_group_open(control_t *cn, unsigned n, bool bootstrap)
{
	control_group_t *g = &cn->groups[n];
	AUTO_BUF dir = {0};
	group_options_t o;
	status_t st;

	process = cn;
	g->number = n;
	pthread_rwlock_init(&g->lock, NULL);
	if (n == 0) {
		g->fleet = fleet_new((unsigned)cn->settings.ledger_groups);
		g->lots = lots_new();
	} else {
		g->ledger = ledger_new();
	}
	buf_addf(&dir, "%s/group-%u", cn->settings.data, n);
	o = options_of(cn, g, dir.p, bootstrap);
	st = group_open(&o, &g->raft);
	if (st != STATUS_CORRUPT)
		return st;
	log_event(LOG_LEVEL_ERROR, "replica_damaged", LOG_INT("group", n),
		  LOG_CSTR("what", status_message()));
	st = set_aside(dir.p);
	if (st != STATUS_OK)
		return st;
	o.bootstrap = false;
	return group_open(&o, &g->raft);
}

void control_group_read(control_group_t *g, void (*fn)(control_group_t *g, void *arg), void *arg)
{
	pthread_rwlock_rdlock(&g->lock);
	fn(g, arg);
	pthread_rwlock_unlock(&g->lock);
}

status_t control_fleet_propose(control_t *cn, const wire_fleet_cmd_t *cmd, wire_fleet_res_t *res,
			       deadline_t deadline)
{
	AUTO_BUF payload = {0};
	AUTO_BUF result = {0};
	status_t st;

	*res = (wire_fleet_res_t){0};
	wire_encode(&payload, XDR_PROC(wire_fleet_cmd_t), cmd);
	st = group_propose(cn->groups[0].raft, str_buf(&payload), deadline, &result);
	if (st == STATUS_OK)
		st = wire_decode(str_buf(&result), XDR_PROC(wire_fleet_res_t), res, sizeof(*res));
	return st;
}
