/* Short calls on a fleet group for its tests. */
#ifndef AUBURN_FLEET_KIT_H
#define AUBURN_FLEET_KIT_H

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "state/fleet.h"

#define AUTO_RES  __attribute__((cleanup(res_free))) wire_fleet_res_t
#define AUTO_QRES __attribute__((cleanup(qres_free))) wire_query_res_t

static fleet_state_t *f;

static void res_free(wire_fleet_res_t *res)
{
	wire_free(XDR_PROC(wire_fleet_res_t), res);
}

static void qres_free(wire_query_res_t *res)
{
	wire_free(XDR_PROC(wire_query_res_t), res);
}

static void setup(void)
{
	f = fleet_new(4);
}

static void teardown(void)
{
	fleet_free(f);
}

static wire_bytes_t b(const char *c)
{
	return wire_bytes(str_c(c));
}

static wire_fleet_res_t apply(const wire_fleet_cmd_t *cmd)
{
	wire_fleet_res_t res;

	fleet_apply_cmd(f, cmd, &res);
	return res;
}

static uint64_t open_session(const char *name, uint64_t boot, const char *zone)
{
	wire_fleet_cmd_t cmd = {.kind = WIRE_FLEET_SESSION_OPEN};
	AUTO_RES res;

	cmd.wire_fleet_cmd_t_u.open = (wire_member_t){.name = b(name),
						      .addr = b("127.0.0.1:1"),
						      .peer = b("127.0.0.1:2"),
						      .zone = b(zone),
						      .boot = boot};
	res = apply(&cmd);
	ck_assert_int_eq(res.status, STATUS_OK);
	return res.number;
}

static int close_session(uint64_t session)
{
	wire_fleet_cmd_t cmd = {.kind = WIRE_FLEET_SESSION_CLOSE};
	AUTO_RES res;

	cmd.wire_fleet_cmd_t_u.close = (wire_session_close_t){session, b("lease ended")};
	res = apply(&cmd);
	return res.status;
}

static int drain(uint64_t session)
{
	wire_fleet_cmd_t cmd = {.kind = WIRE_FLEET_SESSION_DRAIN};
	AUTO_RES res;

	cmd.wire_fleet_cmd_t_u.drain = session;
	res = apply(&cmd);
	return res.status;
}

/* Takes over one upstream; returns how many changes were taken. */
static unsigned own(const char *id, uint64_t was_fence, uint64_t session)
{
	wire_owner_change_t change = {b(id), was_fence, session};
	wire_fleet_cmd_t cmd = {.kind = WIRE_FLEET_OWNERS};
	AUTO_RES res;

	cmd.wire_fleet_cmd_t_u.own.own_len = 1;
	cmd.wire_fleet_cmd_t_u.own.own_val = &change;
	res = apply(&cmd);
	return (unsigned)res.number;
}

static void list(wire_upstream_t *v, unsigned n)
{
	wire_fleet_cmd_t cmd = {.kind = WIRE_FLEET_UPSTREAMS};
	AUTO_RES res;

	cmd.wire_fleet_cmd_t_u.upstreams.upstreams_len = n;
	cmd.wire_fleet_cmd_t_u.upstreams.upstreams_val = v;
	res = apply(&cmd);
	ck_assert_int_eq(res.status, STATUS_OK);
}

static wire_upstream_t up(const char *id, const char *zone, const char *service)
{
	return (wire_upstream_t){
		.id = b(id), .addr = b("1"), .zone = b(zone), .service = b(service)};
}

static wire_query_res_t view(void)
{
	wire_query_t q = {.kind = WIRE_QUERY_VIEW};
	wire_query_res_t res;

	fleet_query(f, &q, &res);
	return res;
}

static const wire_upstream_t *find(const wire_query_res_t *v, const char *id)
{
	for (unsigned i = 0; i < v->view.upstreams.upstreams_len; i++)
		if (str_eq(wire_str(v->view.upstreams.upstreams_val[i].id), str_c(id)))
			return &v->view.upstreams.upstreams_val[i];
	return NULL;
}

static void reload(void)
{
	AUTO_BUF snap = {0};
	AUTO_BUF again = {0};
	fleet_state_t *fresh = fleet_new(1);

	fleet_snapshot(f, &snap);
	ck_assert_int_eq(fleet_restore(fresh, str_buf(&snap)), STATUS_OK);
	fleet_snapshot(fresh, &again);
	ck_assert(str_eq(str_buf(&snap), str_buf(&again)));
	fleet_free(f);
	f = fresh;
}

#endif
