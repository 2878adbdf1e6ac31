#include "state/fleet.h"

#include <stdlib.h>
#include <string.h>
#include "state/fleet_internal.h"
#include "state/config.h"

#define LIST_CAP_MIN 16

static void answer(wire_fleet_res_t *res, status_t st)
{
	res->status = (int)st;
	if (st != STATUS_OK)
		res->message = wire_copy(str_c(status_message()));
}

fleet_state_t *fleet_new(unsigned ledger_groups)
{
	fleet_state_t *f = mem_new(sizeof(*f));

	f->ledger_groups = ledger_groups;
	return f;
}

fleet_member_t *fleet_find_member(const fleet_state_t *f, uint64_t session)
{
	fleet_member_t *m;

	HASH_FIND(hh, f->members, &session, sizeof(session), m);
	return m;
}

fleet_upstream_t *fleet_find_upstream(const fleet_state_t *f, str_t id)
{
	fleet_upstream_t *u;

	HASH_FIND(hh, f->upstreams, id.p, id.n, u);
	return u;
}

void fleet_member_add(fleet_state_t *f, fleet_member_t *m)
{
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): what is freed was unlinked */
	HASH_ADD(hh, f->members, session, sizeof(m->session), m);
}

static void member_free(fleet_state_t *f, fleet_member_t *m)
{
	HASH_DEL(f->members, m);
	free(m->name);
	free(m->addr);
	free(m->peer);
	free(m->zone);
	free(m);
}

void fleet_upstream_add(fleet_state_t *f, fleet_upstream_t *u)
{
	HASH_ADD_KEYPTR(hh, f->upstreams, u->id, strlen(u->id), u);
}

void fleet_upstream_free(fleet_state_t *f, fleet_upstream_t *u)
{
	HASH_DEL(f->upstreams, u);
	free(u->id);
	free(u->addr);
	free(u->zone);
	free(u->service);
	free(u);
}

void fleet_free(fleet_state_t *f)
{
	if (!f)
		return;
	for (uint64_t i = 0; i < f->nconfs; i++) {
		free(f->confs[i].operator_name);
		free(f->confs[i].text);
	}
	while (f->members)
		member_free(f, f->members);
	while (f->upstreams)
		fleet_upstream_free(f, f->upstreams);
	free(f->confs);
	for (size_t i = 0; i < f->nretired; i++)
		free(f->retired[i].name);
	free(f->retired);
	free(f->closed);
	free(f);
}

/* ---- the operators' text ---- */

void fleet_config_add(fleet_state_t *f, uint64_t digest, str_t operator_name, str_t text)
{
	if (f->nconfs == f->confs_cap) {
		f->confs_cap = f->confs_cap ? f->confs_cap * 2 : LIST_CAP_MIN;
		f->confs = mem_grow(f->confs, f->confs_cap * sizeof(*f->confs));
	}
	f->confs[f->nconfs++] = (fleet_config_t){
		.digest = digest,
		.operator_name = str_dup(operator_name),
		.operator_n = (uint32_t)operator_name.n,
		.text = str_dup(text),
		.text_n = (uint32_t)text.n,
	};
}

void fleet_config_drop_text(fleet_state_t *f, uint64_t number)
{
	fleet_config_t *c = &f->confs[number - 1];

	free(c->text);
	c->text = NULL;
	c->text_n = 0;
}

/** Answers a submit under a number that is taken. */
static status_t submit_again(const fleet_state_t *f, uint64_t number, uint64_t digest,
			     wire_fleet_res_t *res)
{
	uint64_t winner = f->confs[number - 1].digest;

	res->winner_digest = winner;
	if (winner != digest)
		return status_fail(STATUS_CONFLICT, "number %llu holds another text",
				   (unsigned long long)number);
	res->number = number;
	return STATUS_OK;
}

static status_t submit(fleet_state_t *f, const wire_config_submit_t *c, wire_fleet_res_t *res)
{
	uint64_t digest = config_digest(wire_str(c->text));

	res->number = f->nconfs;
	if (c->number == 0 || c->number > f->nconfs + 1)
		return status_fail(STATUS_INVALID, "number %llu can't follow %llu",
				   (unsigned long long)c->number, (unsigned long long)f->nconfs);
	if (c->number <= f->nconfs)
		return submit_again(f, c->number, digest, res);
	fleet_config_add(f, digest, wire_str(c->operator_name), wire_str(c->text));
	if (f->nconfs > FLEET_CONFIG_TEXTS_MAX)
		fleet_config_drop_text(f, f->nconfs - FLEET_CONFIG_TEXTS_MAX);
	res->number = c->number;
	res->winner_digest = digest;
	return STATUS_OK;
}

/* ---- sessions ---- */

static fleet_member_t *member_named(const fleet_state_t *f, str_t name)
{
	for (fleet_member_t *m = f->members; m; m = m->hh.next)
		if (str_eq(str_c(m->name), name))
			return m;
	return NULL;
}

void fleet_closed_add(fleet_state_t *f, uint64_t session)
{
	if (f->nclosed == f->closed_cap) {
		f->closed_cap = f->closed_cap ? f->closed_cap * 2 : LIST_CAP_MIN;
		f->closed = mem_grow(f->closed, f->closed_cap * sizeof(*f->closed));
	}
	f->closed[f->nclosed++] = session;
}

static void close_member(fleet_state_t *f, fleet_member_t *m)
{
	fleet_closed_add(f, m->session);
	member_free(f, m);
	f->view_version++;
}

static status_t session_open(fleet_state_t *f, const wire_member_t *c, wire_fleet_res_t *res)
{
	fleet_member_t *m = member_named(f, wire_str(c->name));

	if (c->name.wire_bytes_t_len == 0)
		return status_fail(STATUS_INVALID, "a session needs a name");
	if (m && m->boot == c->boot) {
		res->number = m->session;
		return STATUS_OK;
	}
	if (m)
		close_member(f, m);
	m = mem_new(sizeof(*m));
	m->name = str_dup(wire_str(c->name));
	m->addr = str_dup(wire_str(c->addr));
	m->peer = str_dup(wire_str(c->peer));
	m->zone = str_dup(wire_str(c->zone));
	m->boot = c->boot;
	m->session = ++f->last_session;
	m->draining = c->draining;
	fleet_member_add(f, m);
	f->view_version++;
	res->number = m->session;
	return STATUS_OK;
}

/** Status for a session that isn't open. */
static status_t not_open(const fleet_state_t *f, uint64_t session)
{
	if (session == 0 || session > f->last_session)
		return status_fail(STATUS_NOT_FOUND, "no session %llu",
				   (unsigned long long)session);
	return status_fail(STATUS_CANCELLED, "session %llu is closed", (unsigned long long)session);
}

static status_t session_drain(fleet_state_t *f, uint64_t session)
{
	fleet_member_t *m = fleet_find_member(f, session);

	if (!m)
		return not_open(f, session);
	if (!m->draining)
		f->view_version++;
	m->draining = true;
	return STATUS_OK;
}

static status_t session_close(fleet_state_t *f, const wire_session_close_t *c)
{
	fleet_member_t *m = fleet_find_member(f, c->session);

	if (m)
		close_member(f, m);
	else if (c->session == 0 || c->session > f->last_session)
		return not_open(f, c->session);
	return STATUS_OK;
}

/* ---- control processes that are emptied ---- */

void fleet_retired_add(fleet_state_t *f, str_t name, uint64_t replica)
{
	if (f->nretired == f->retired_cap) {
		f->retired_cap = f->retired_cap ? f->retired_cap * 2 : LIST_CAP_MIN;
		f->retired = mem_grow(f->retired, f->retired_cap * sizeof(*f->retired));
	}
	f->retired[f->nretired++] = (fleet_retired_t){str_dup(name), replica};
}

static status_t retire(fleet_state_t *f, const wire_retire_t *c)
{
	if (c->name.wire_bytes_t_len == 0 || c->replica == 0)
		return status_fail(STATUS_INVALID, "no control process is named");
	if (!fleet_is_retired(f, c->replica))
		fleet_retired_add(f, wire_str(c->name), c->replica);
	return STATUS_OK;
}

static bool listed(const u_quad_t *v, u_int n, uint64_t session)
{
	for (u_int i = 0; i < n; i++)
		if (v[i] == session)
			return true;
	return false;
}

static void forget(fleet_state_t *f, const u_quad_t *v, u_int n)
{
	size_t kept = 0;

	for (size_t i = 0; i < f->nclosed; i++)
		if (!listed(v, n, f->closed[i]))
			f->closed[kept++] = f->closed[i];
	f->nclosed = kept;
}

/* ---- upstreams and owners ---- */

static bool may_own(const fleet_state_t *f, const fleet_upstream_t *u, uint64_t session)
{
	const fleet_member_t *m = fleet_find_member(f, session);

	if (session == 0)
		return true;
	return m && !m->draining && u->state != WIRE_UPSTREAM_GONE;
}

static bool own(fleet_state_t *f, const wire_owner_change_t *c)
{
	fleet_upstream_t *u = fleet_find_upstream(f, wire_str(c->id));

	if (!u || u->fence != c->was_fence || u->owner == c->session || !may_own(f, u, c->session))
		return false;
	if (c->session == 0) {
		u->last_owner = u->owner;
		u->released_view = f->view_version + 1;
	}
	u->owner = c->session;
	u->fence = ++f->last_fence;
	if (u->owner == 0 && u->state == WIRE_UPSTREAM_GONE)
		fleet_upstream_free(f, u);
	return true;
}

static status_t apply_own(fleet_state_t *f, const wire_owner_change_t *v, u_int n,
			  wire_fleet_res_t *res)
{
	u_int taken = 0;

	for (u_int i = 0; i < n; i++)
		taken += own(f, &v[i]);
	if (taken)
		f->view_version++;
	res->number = taken;
	return STATUS_OK;
}

/** Replaces a string that differs; true when it did. */
static bool set_text(char **p, wire_bytes_t b)
{
	if (*p && str_eq(str_c(*p), wire_str(b)))
		return false;
	free(*p);
	*p = str_dup(wire_str(b));
	return true;
}

static bool list_upstream(fleet_state_t *f, const wire_upstream_t *c)
{
	fleet_upstream_t *u = fleet_find_upstream(f, wire_str(c->id));
	wire_upstream_state_t state =
		c->state == WIRE_UPSTREAM_LIVE ? WIRE_UPSTREAM_LIVE : WIRE_UPSTREAM_LEAVING;
	bool changed = !u;

	if (!u) {
		u = mem_new(sizeof(*u));
		u->id = str_dup(wire_str(c->id));
		fleet_upstream_add(f, u);
	}
	if (u->listed)
		return false;
	u->listed = true;
	changed |= set_text(&u->addr, c->addr);
	changed |= set_text(&u->zone, c->zone);
	changed |= set_text(&u->service, c->service);
	changed |= u->state != state;
	u->state = state;
	return changed;
}

/** Marks an upstream that left the list; true when the view changed. */
static bool unlist(fleet_state_t *f, fleet_upstream_t *u)
{
	bool changed = u->state != WIRE_UPSTREAM_GONE;

	u->state = WIRE_UPSTREAM_GONE;
	if (u->owner)
		return changed;
	fleet_upstream_free(f, u);
	return true;
}

static void replace_upstreams(fleet_state_t *f, const wire_upstream_t *v, u_int n)
{
	fleet_upstream_t *next;
	bool changed = false;

	for (u_int i = 0; i < n; i++)
		if (v[i].state != WIRE_UPSTREAM_GONE && v[i].id.wire_bytes_t_len)
			changed |= list_upstream(f, &v[i]);
	for (fleet_upstream_t *u = f->upstreams; u; u = next) {
		next = u->hh.next;
		if (!u->listed)
			changed |= unlist(f, u);
		else
			u->listed = false;
	}
	f->view_version += changed;
}

void fleet_apply_cmd(fleet_state_t *f, const wire_fleet_cmd_t *cmd, wire_fleet_res_t *res)
{
	memset(res, 0, sizeof(*res));
	switch (cmd->kind) {
	case WIRE_FLEET_CONFIG_SUBMIT:
		answer(res, submit(f, &cmd->wire_fleet_cmd_t_u.submit, res));
		break;
	case WIRE_FLEET_SESSION_OPEN:
		answer(res, session_open(f, &cmd->wire_fleet_cmd_t_u.open, res));
		break;
	case WIRE_FLEET_SESSION_DRAIN:
		answer(res, session_drain(f, cmd->wire_fleet_cmd_t_u.drain));
		break;
	case WIRE_FLEET_SESSION_CLOSE:
		answer(res, session_close(f, &cmd->wire_fleet_cmd_t_u.close));
		break;
	case WIRE_FLEET_OWNERS:
		answer(res, apply_own(f, cmd->wire_fleet_cmd_t_u.own.own_val,
				      cmd->wire_fleet_cmd_t_u.own.own_len, res));
		break;
	case WIRE_FLEET_UPSTREAMS:
		replace_upstreams(f, cmd->wire_fleet_cmd_t_u.upstreams.upstreams_val,
				  cmd->wire_fleet_cmd_t_u.upstreams.upstreams_len);
		break;
	case WIRE_FLEET_FORGET:
		forget(f, cmd->wire_fleet_cmd_t_u.forget.forget_val,
		       cmd->wire_fleet_cmd_t_u.forget.forget_len);
		break;
	case WIRE_FLEET_RETIRE:
		answer(res, retire(f, &cmd->wire_fleet_cmd_t_u.retire));
		break;
	default:
		answer(res,
		       status_fail(STATUS_INVALID, "unknown fleet command %d", (int)cmd->kind));
	}
}
