/* Which lots the callers of calls may use, by the config in force. */
#include <stdlib.h>
#include "base/log.h"
#include "control/hub.h"

lot_access_t hub_lots_access(const hub_t *h)
{
	return hub_routes_are_newest(h) && !h->routes->customers ? LOT_ACCESS_ALL : LOT_ACCESS_OWN;
}

/* Whether both this process and the entry that sent the call judge its caller by the newest config.
 */
static bool is_sure(const hub_t *h, const hub_origin_t *from)
{
	return hub_routes_are_newest(h) && hub_routes_peer_is_current(h, from->peer);
}

typedef struct {
	str_t id;
	const wire_lot_open_t *open; /* NULL: another call */
	lot_access_t access;
	bool found;
	bool hidden; /* it would be found if callers weren't told apart */
} look_up_t;

static void look_up(control_group_t *g, void *arg)
{
	look_up_t *x = arg;

	if (x->open) {
		x->found = lot_access_find_opened(g->lots, x->open, x->access);
		x->hidden = !x->found && lot_access_find_opened(g->lots, x->open, LOT_ACCESS_ALL);
	} else {
		x->found = lot_access_find(g->lots, x->id, x->access);
		x->hidden = !x->found && lot_access_find(g->lots, x->id, LOT_ACCESS_ALL);
	}
}

static status_t check(hub_t *h, const hub_origin_t *from, look_up_t *x)
{
	x->access = hub_lots_access(h);
	control_group_read(&h->control->groups[0], look_up, x);
	if (x->found)
		return STATUS_OK;
	if (!x->hidden || is_sure(h, from))
		return status_fail(STATUS_NOT_FOUND, "no such lot");
	log_event(LOG_LEVEL_INFO, "lot_access_unsure", LOG_STR("lot", x->id),
		  LOG_INT("routes_newest", hub_routes_are_newest(h)),
		  LOG_INT("entry_current", hub_routes_peer_is_current(h, from->peer)));
	return status_fail(STATUS_UNAVAILABLE, "whose lot it is depends on a config that isn't in "
					       "force everywhere");
}

status_t hub_lots_check_access(hub_t *h, const hub_origin_t *from, str_t id)
{
	return check(h, from, &(look_up_t){.id = id});
}

status_t hub_lots_check_open(hub_t *h, const hub_origin_t *from, const wire_lot_open_t *o)
{
	return check(h, from, &(look_up_t){.id = wire_str(o->lot), .open = o});
}

/* Replaces the id in a call by that of the lot that the call means. */
static void set_lot(wire_bytes_t *id, const lot_t *t, const char *call)
{
	if (!t || str_eq(wire_str(*id), str_c(t->id)))
		return;
	log_event(LOG_LEVEL_INFO, "lot_of_other_owner", LOG_STR("lot", wire_str(*id)),
		  LOG_CSTR("is", t->id), LOG_CSTR("call", call));
	free(id->wire_bytes_t_val);
	*id = wire_copy(str_c(t->id));
}

void hub_lots_resolve(const lots_t *lots, lot_access_t access, wire_lots_cmd_t *cmd)
{
	for (u_int i = 0; i < cmd->opens.opens_len; i++) {
		wire_lot_open_t *o = &cmd->opens.opens_val[i];

		set_lot(&o->lot, lot_access_find_opened(lots, o, access), "open");
		o->quota = lot_access_quota(lots, wire_str(o->route), o->quota, access);
	}
	for (u_int i = 0; i < cmd->ends.ends_len; i++) {
		wire_bytes_t *id = &cmd->ends.ends_val[i];

		set_lot(id, lot_access_find(lots, wire_str(*id), access), "end");
	}
}
