/* Opens the replicated groups and supplies their state machines: commands and snapshots. */
#include <assert.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include "base/log.h"
#include "base/metric.h"
#include "control/control.h"
#include "policy/lots_memory.h"
#include "state/pack.h"

#define MIB (1024 * 1024)
/** Pause before a folder that could not be opened is tried again, in ms. */
#define OPEN_RETRY_MS 200
/** Failed tries between two log lines. */
#define TRIES_PER_LOG 25

/* Used by on_send, which gets only the group. */
static control_t *this_process;

static void apply_group_0(control_group_t *g, str_t cmd, buf_t *result)
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
		apply_group_0(g, cmd, result);
	else
		apply_ledger(g, cmd, result);
	pthread_rwlock_unlock(&g->lock);
}

/* First number in a snapshot of group 0 that holds the fleet state and the lots. */
#define LOTS_SNAPSHOT_MAGIC 0x4730U

static void snapshot_group_0(control_group_t *g, buf_t *out)
{
	AUTO_BUF fleet = {0};
	size_t lots;

	pack_u64(out, LOTS_SNAPSHOT_MAGIC);
	fleet_snapshot(g->fleet, &fleet);
	pack_str(out, str_buf(&fleet));
	/* The lots are encoded in place: they take most of the memory, and a copy would take as
	 * much again. */
	lots = pack_begin_str(out);
	lots_snapshot(g->lots, out);
	pack_end_str(out, lots);
}

static status_t restore_group_0(control_group_t *g, str_t snap)
{
	unpacker_t in = {snap, false};
	str_t fleet;
	str_t lots;
	status_t st;

	/* Snapshots written before lots existed hold the fleet state alone. */
	if (unpack_u64(&in) != LOTS_SNAPSHOT_MAGIC)
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
		snapshot_group_0(g, out);
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
	st = g->fleet ? restore_group_0(g, snap) : ledger_restore(g->ledger, snap);
	pthread_rwlock_unlock(&g->lock);
	log_event(LOG_LEVEL_INFO, "snapshot_restored", LOG_INT("group", g->number),
		  LOG_INT("bytes", snap.n), LOG_CSTR("status", status_name(st)));
	return st;
}

static void on_send(void *ctx, const char *addr, unsigned group, str_t msg)
{
	control_peer_send(this_process, addr, group, msg);
}

static void on_role(void *ctx, bool leader, uint64_t term)
{
	control_group_t *g = ctx;

	log_event(LOG_LEVEL_INFO, "role", LOG_INT("group", g->number),
		  LOG_CSTR("role", leader ? "leader" : "follower"), LOG_INT("term", term));
	if (leader)
		METRIC_INC("auburn_elections_won_total");
}

static group_options_t make_options(control_t *ctl, control_group_t *g, const char *dir,
				    bool bootstrap)
{
	/* The other groups hold no lots. */
	size_t memory = g->number == 0 ? (size_t)ctl->settings.memory_mib * MIB : 0;

	return (group_options_t){
		.group = g->number,
		.dir = dir,
		.addr = ctl->settings.listen,
		.zone = ctl->settings.zone,
		.seeds = (const char *const *)ctl->settings.controls.v,
		.nseeds = (unsigned)ctl->settings.controls.n,
		.bootstrap = bootstrap,
		.tick_ms = (unsigned)ctl->settings.tick_ms,
		.election_ms = (unsigned)ctl->settings.election_ms,
		.snapshot_entries = (uint64_t)ctl->settings.snapshot_entries,
		.snapshot_bytes = (uint64_t)ctl->settings.snapshot_mib * MIB,
		.log_bytes_max = memory ? lots_memory_log_max(memory) : 0,
		.ctx = g,
		.apply = on_apply,
		.snapshot = on_snapshot,
		.restore = on_restore,
		.send = on_send,
		.role = on_role,
	};
}

/* Renames the folder of a damaged replica. The replica must not continue under its old id: the
 * process joins the group again as a learner with a new id. */
static status_t rename_damaged_folder(const char *dir)
{
	AUTO_BUF aside = {0};

	buf_addf(&aside, "%s.damaged-%lld", dir, (long long)clock_wall_ms());
	if (rename(dir, aside.p) != 0)
		return status_fail(STATUS_IO, "can't rename %s", dir);
	log_event(LOG_LEVEL_ERROR, "replica_set_aside", LOG_CSTR("folder", aside.p));
	METRIC_INC("auburn_replicas_set_aside_total");
	return STATUS_OK;
}

static void init_group(control_t *ctl, unsigned n)
{
	control_group_t *g = &ctl->groups[n];

	this_process = ctl;
	g->number = n;
	pthread_rwlock_init(&g->lock, NULL);
	if (n == 0) {
		g->fleet = fleet_new((unsigned)ctl->settings.ledger_groups);
		g->lots = lots_new();
	} else {
		g->ledger = ledger_new();
	}
}

/* Opens the replica's folder. A damaged one is set aside, and the replica joins again; it must not
 * be founded anew, even if the next folder can't be created at once. */
static status_t open_or_rejoin(control_t *ctl, control_group_t *g, bool *bootstrap)
{
	AUTO_BUF dir = {0};
	group_options_t o;
	status_t st;

	buf_addf(&dir, "%s/group-%u", ctl->settings.data, g->number);
	o = make_options(ctl, g, dir.p, *bootstrap);
	st = group_open(&o, &g->raft);
	if (st != STATUS_CORRUPT)
		return st;
	log_event(LOG_LEVEL_ERROR, "replica_damaged", LOG_INT("group", g->number),
		  LOG_CSTR("what", status_message()));
	st = rename_damaged_folder(dir.p);
	if (st != STATUS_OK)
		return st;
	o.bootstrap = *bootstrap = false;
	return group_open(&o, &g->raft);
}

static bool stop_is_pending(void)
{
	sigset_t set;

	sigpending(&set);
	return sigismember(&set, SIGTERM) || sigismember(&set, SIGINT);
}

status_t control_group_open(control_t *ctl, unsigned n, bool bootstrap)
{
	deadline_t since = clock_now_ms();
	unsigned tries = 0;
	status_t st;

	init_group(ctl, n);
	while ((st = open_or_rejoin(ctl, &ctl->groups[n], &bootstrap)) == STATUS_IO &&
	       !stop_is_pending()) {
		if (tries++ % TRIES_PER_LOG == 0)
			log_event(LOG_LEVEL_ERROR, "open_failed", LOG_INT("group", n),
				  LOG_CSTR("what", status_message()), LOG_INT("tries", tries),
				  LOG_INT("ms", clock_now_ms() - since));
		clock_sleep_ms(OPEN_RETRY_MS);
	}
	return st;
}

void control_group_read(control_group_t *g, void (*fn)(control_group_t *g, void *arg), void *arg)
{
	pthread_rwlock_rdlock(&g->lock);
	fn(g, arg);
	pthread_rwlock_unlock(&g->lock);
}

status_t control_fleet_propose(control_t *ctl, const wire_fleet_cmd_t *cmd, wire_fleet_res_t *res,
			       deadline_t deadline)
{
	AUTO_BUF payload = {0};
	AUTO_BUF result = {0};
	status_t st;

	*res = (wire_fleet_res_t){0};
	wire_encode(&payload, XDR_PROC(wire_fleet_cmd_t), cmd);
	st = group_propose(ctl->groups[0].raft, str_buf(&payload), deadline, &result);
	if (st == STATUS_OK)
		st = wire_decode(str_buf(&result), XDR_PROC(wire_fleet_res_t), res, sizeof(*res));
	return st;
}
