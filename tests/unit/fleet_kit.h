/* Helpers for the fleet tests: a fleet state, and functions that each apply one command or query.
 */
#ifndef AUBURN_FLEET_KIT_H
#define AUBURN_FLEET_KIT_H

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "state/fleet.h"

#define AUTO_RES  __attribute__((cleanup(free_res))) wire_fleet_res_t
#define AUTO_QRES __attribute__((cleanup(free_query_res))) wire_query_res_t

static fleet_state_t *fleet;

static void free_res(wire_fleet_res_t *res)
{
	wire_free(XDR_PROC(wire_fleet_res_t), res);
}

static void free_query_res(wire_query_res_t *res)
{
	wire_free(XDR_PROC(wire_query_res_t), res);
}

static void setup(void)
{
	fleet = fleet_new(4);
}

static void teardown(void)
{
	fleet_free(fleet);
}

static wire_bytes_t bytes_of(const char *c)
{
	return wire_bytes(str_c(c));
}

static wire_fleet_res_t apply_cmd(const wire_fleet_cmd_t *cmd)
{
	wire_fleet_res_t res;

	fleet_apply_cmd(fleet, cmd, &res);
	return res;
}

static uint64_t open_session(const char *name, uint64_t boot, const char *zone)
{
	wire_fleet_cmd_t cmd = {.kind = WIRE_FLEET_SESSION_OPEN};
	AUTO_RES res;

	cmd.wire_fleet_cmd_t_u.open = (wire_member_t){.name = bytes_of(name),
						      .addr = bytes_of("127.0.0.1:1"),
						      .peer = bytes_of("127.0.0.1:2"),
						      .zone = bytes_of(zone),
						      .boot = boot};
	res = apply_cmd(&cmd);
	ck_assert_int_eq(res.status, STATUS_OK);
	return res.number;
}

static int close_session(uint64_t session)
{
	wire_fleet_cmd_t cmd = {.kind = WIRE_FLEET_SESSION_CLOSE};
	AUTO_RES res;

	cmd.wire_fleet_cmd_t_u.close = (wire_session_close_t){session, bytes_of("lease ended")};
	res = apply_cmd(&cmd);
	return res.status;
}

static int drain_session(uint64_t session)
{
	wire_fleet_cmd_t cmd = {.kind = WIRE_FLEET_SESSION_DRAIN};
	AUTO_RES res;

	cmd.wire_fleet_cmd_t_u.drain = session;
	res = apply_cmd(&cmd);
	return res.status;
}

/* Gives an upstream whose fence is was_fence to a session, or to none with session 0; returns 1 if
 * the change was accepted, else 0. */
static unsigned change_owner(const char *id, uint64_t was_fence, uint64_t session)
{
	wire_owner_change_t change = {bytes_of(id), was_fence, session};
	wire_fleet_cmd_t cmd = {.kind = WIRE_FLEET_OWNERS};
	AUTO_RES res;

	cmd.wire_fleet_cmd_t_u.own.own_len = 1;
	cmd.wire_fleet_cmd_t_u.own.own_val = &change;
	res = apply_cmd(&cmd);
	return (unsigned)res.number;
}

/* Sets the list of upstreams. */
static void set_upstreams(wire_upstream_t *v, unsigned n)
{
	wire_fleet_cmd_t cmd = {.kind = WIRE_FLEET_UPSTREAMS};
	AUTO_RES res;

	cmd.wire_fleet_cmd_t_u.upstreams.upstreams_len = n;
	cmd.wire_fleet_cmd_t_u.upstreams.upstreams_val = v;
	res = apply_cmd(&cmd);
	ck_assert_int_eq(res.status, STATUS_OK);
}

static wire_upstream_t make_upstream(const char *id, const char *zone, const char *service)
{
	return (wire_upstream_t){.id = bytes_of(id),
				 .addr = bytes_of("1"),
				 .zone = bytes_of(zone),
				 .service = bytes_of(service)};
}

static wire_query_res_t query_view(void)
{
	wire_query_t q = {.kind = WIRE_QUERY_VIEW};
	wire_query_res_t res;

	fleet_query(fleet, &q, &res);
	return res;
}

static const wire_upstream_t *find_upstream(const wire_query_res_t *v, const char *id)
{
	for (unsigned i = 0; i < v->view.upstreams.upstreams_len; i++)
		if (str_eq(wire_str(v->view.upstreams.upstreams_val[i].id), str_c(id)))
			return &v->view.upstreams.upstreams_val[i];
	return NULL;
}

/* Replaces the fleet by one restored from its snapshot. The new one must give the same snapshot. */
static void restore_from_snapshot(void)
{
	AUTO_BUF before = {0};
	AUTO_BUF after = {0};
	fleet_state_t *restored = fleet_new(1);

	fleet_snapshot(fleet, &before);
	ck_assert_int_eq(fleet_restore(restored, str_buf(&before)), STATUS_OK);
	fleet_snapshot(restored, &after);
	ck_assert(str_eq(str_buf(&before), str_buf(&after)));
	fleet_free(fleet);
	fleet = restored;
}

#endif
