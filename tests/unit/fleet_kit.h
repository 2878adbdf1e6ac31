/* Short calls on a fleet group for its tests. */
#ifndef AUBURN_FLEET_KIT_H
#define AUBURN_FLEET_KIT_H

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "state/fl.h"

#define AUTO_RES  __attribute__((cleanup(res_free))) aw_fleet_res_t
#define AUTO_QRES __attribute__((cleanup(qres_free))) aw_query_res_t

static fl_t *f;

static void res_free(aw_fleet_res_t *res)
{
	px_free(PX(aw_fleet_res_t), res);
}

static void qres_free(aw_query_res_t *res)
{
	px_free(PX(aw_query_res_t), res);
}

static void setup(void)
{
	f = fl_new(4);
}

static void teardown(void)
{
	fl_free(f);
}

static aw_bytes_t b(const char *c)
{
	return px_bytes(str_c(c));
}

static aw_fleet_res_t apply(const aw_fleet_cmd_t *cmd)
{
	aw_fleet_res_t res;

	fl_apply(f, cmd, &res);
	return res;
}

static uint64_t open_session(const char *name, uint64_t boot, const char *zone)
{
	aw_fleet_cmd_t cmd = {.kind = AW_FLEET_SESSION_OPEN};
	AUTO_RES res;

	cmd.aw_fleet_cmd_t_u.open = (aw_member_t){.name = b(name),
						  .addr = b("127.0.0.1:1"),
						  .peer = b("127.0.0.1:2"),
						  .zone = b(zone),
						  .boot = boot};
	res = apply(&cmd);
	ck_assert_int_eq(res.status, ST_OK);
	return res.number;
}

static int close_session(uint64_t session)
{
	aw_fleet_cmd_t cmd = {.kind = AW_FLEET_SESSION_CLOSE};
	AUTO_RES res;

	cmd.aw_fleet_cmd_t_u.close = (aw_session_close_t){session, b("lease ended")};
	res = apply(&cmd);
	return res.status;
}

static int drain(uint64_t session)
{
	aw_fleet_cmd_t cmd = {.kind = AW_FLEET_SESSION_DRAIN};
	AUTO_RES res;

	cmd.aw_fleet_cmd_t_u.drain = session;
	res = apply(&cmd);
	return res.status;
}

/* Takes over one upstream; returns how many changes were taken. */
static unsigned own(const char *id, uint64_t was_fence, uint64_t session)
{
	aw_own_change_t change = {b(id), was_fence, session};
	aw_fleet_cmd_t cmd = {.kind = AW_FLEET_OWN};
	AUTO_RES res;

	cmd.aw_fleet_cmd_t_u.own.own_len = 1;
	cmd.aw_fleet_cmd_t_u.own.own_val = &change;
	res = apply(&cmd);
	return (unsigned)res.number;
}

static void list(aw_upstream_t *v, unsigned n)
{
	aw_fleet_cmd_t cmd = {.kind = AW_FLEET_UPSTREAMS};
	AUTO_RES res;

	cmd.aw_fleet_cmd_t_u.upstreams.upstreams_len = n;
	cmd.aw_fleet_cmd_t_u.upstreams.upstreams_val = v;
	res = apply(&cmd);
	ck_assert_int_eq(res.status, ST_OK);
}

static aw_upstream_t up(const char *id, const char *zone, const char *service)
{
	return (aw_upstream_t){.id = b(id), .addr = b("1"), .zone = b(zone), .service = b(service)};
}

static aw_query_res_t view(void)
{
	aw_query_t q = {.kind = AW_QUERY_VIEW};
	aw_query_res_t res;

	fl_query(f, &q, &res);
	return res;
}

static const aw_upstream_t *find(const aw_query_res_t *v, const char *id)
{
	for (unsigned i = 0; i < v->view.upstreams.upstreams_len; i++)
		if (str_eq(px_str(v->view.upstreams.upstreams_val[i].id), str_c(id)))
			return &v->view.upstreams.upstreams_val[i];
	return NULL;
}

static void reload(void)
{
	AUTO_BUF snap = {0};
	AUTO_BUF again = {0};
	fl_t *fresh = fl_new(1);

	fl_snapshot(f, &snap);
	ck_assert_int_eq(fl_restore(fresh, str_buf(&snap)), ST_OK);
	fl_snapshot(fresh, &again);
	ck_assert(str_eq(str_buf(&snap), str_buf(&again)));
	fl_free(f);
	f = fresh;
}

#endif
