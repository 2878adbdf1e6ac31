/* Commands of the fleet's state machine. */
#include "state/fleet.h"

#include <stdlib.h>
#include <string.h>
#include "state/fleet_internal.h"
#include "state/config.h"

#define LIST_CAP_MIN 16

static void set_status(wire_fleet_res_t *res, status_t st)
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
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): the freed element was unlinked */
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
	for (uint64_t i = 0; i < f->nconfigs; i++) {
		free(f->configs[i].operator_name);
		free(f->configs[i].text);
	}
	while (f->members)
		member_free(f, f->members);
	while (f->upstreams)
		fleet_upstream_free(f, f->upstreams);
	free(f->configs);
	for (size_t i = 0; i < f->nretired; i++)
		free(f->retired[i].key);
	free(f->retired);
	free(f->closed);
	free(f);
}

/* ---- configs ---- */

void fleet_config_add(fleet_state_t *f, uint64_t digest, str_t operator_name, str_t text)
{
	if (f->nconfigs == f->configs_cap) {
		f->configs_cap = f->configs_cap ? f->configs_cap * 2 : LIST_CAP_MIN;
		f->configs = mem_grow(f->configs, f->configs_cap * sizeof(*f->configs));
	}
	f->configs[f->nconfigs++] = (fleet_config_t){
		.digest = digest,
		.operator_name = str_dup(operator_name),
		.operator_n = (uint32_t)operator_name.n,
		.text = str_dup(text),
		.text_n = (uint32_t)text.n,
	};
}

void fleet_config_drop_text(fleet_state_t *f, uint64_t number)
{
	fleet_config_t *c = &f->configs[number - 1];

	free(c->text);
	c->text = NULL;
	c->text_n = 0;
}

void fleet_config_drop_old_texts(fleet_state_t *f)
{
	size_t bytes = 0;
	uint64_t kept = 0;

	for (uint64_t number = f->nconfigs; number > 0 && f->configs[number - 1].text; number--) {
		bytes += f->configs[number - 1].text_n;
		kept++;
		if (kept > 1 && (kept > FLEET_CONFIG_TEXTS_MAX || bytes > FLEET_CONFIG_TEXTS_BYTES))
			fleet_config_drop_text(f, number);
	}
}

/** Handles the submission of a config under a number that is already taken. */
static status_t resubmit_config(const fleet_state_t *f, uint64_t number, uint64_t digest,
				wire_fleet_res_t *res)
{
	uint64_t stored = f->configs[number - 1].digest;

	res->winner_digest = stored;
	if (stored != digest)
		return status_fail(STATUS_CONFLICT, "config %llu already exists with another text",
				   (unsigned long long)number);
	res->number = number;
	return STATUS_OK;
}

/** Accepts a config whose number is the next one; a lower number is a resubmission. */
static status_t submit_config(fleet_state_t *f, const wire_config_submit_t *c,
			      wire_fleet_res_t *res)
{
	uint64_t digest = config_digest(wire_str(c->text));

	res->number = f->nconfigs;
	if (c->number == 0 || c->number > f->nconfigs + 1)
		return status_fail(STATUS_INVALID, "config number %llu does not follow %llu",
				   (unsigned long long)c->number, (unsigned long long)f->nconfigs);
	if (c->number <= f->nconfigs)
		return resubmit_config(f, c->number, digest, res);
	fleet_config_add(f, digest, wire_str(c->operator_name), wire_str(c->text));
	fleet_config_drop_old_texts(f);
	res->number = c->number;
	res->winner_digest = digest;
	return STATUS_OK;
}

/* ---- sessions ---- */

static fleet_member_t *find_member_by_name(const fleet_state_t *f, str_t name)
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

static void close_session(fleet_state_t *f, fleet_member_t *m)
{
	fleet_closed_add(f, m->session);
	member_free(f, m);
	f->view_version++;
}

/** Opens a session, or returns the open one of the same name and boot. Closes the open session of
 * another start (boot) of this entry. */
static status_t open_session(fleet_state_t *f, const wire_member_t *c, wire_fleet_res_t *res)
{
	fleet_member_t *m = find_member_by_name(f, wire_str(c->name));

	if (c->name.wire_bytes_t_len == 0)
		return status_fail(STATUS_INVALID, "session has no name");
	if (m && m->boot == c->boot) {
		res->number = m->session;
		return STATUS_OK;
	}
	if (m)
		close_session(f, m);
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

/** Returns STATUS_NOT_FOUND for a session that was never opened, STATUS_CANCELLED for a closed
 * one. */
static status_t not_open_status(const fleet_state_t *f, uint64_t session)
{
	if (session == 0 || session > f->last_session)
		return status_fail(STATUS_NOT_FOUND, "no session %llu",
				   (unsigned long long)session);
	return status_fail(STATUS_CANCELLED, "session %llu is closed", (unsigned long long)session);
}

static status_t drain_session(fleet_state_t *f, uint64_t session)
{
	fleet_member_t *m = fleet_find_member(f, session);

	if (!m)
		return not_open_status(f, session);
	if (!m->draining)
		f->view_version++;
	m->draining = true;
	return STATUS_OK;
}

static status_t handle_session_close(fleet_state_t *f, const wire_session_close_t *c)
{
	fleet_member_t *m = fleet_find_member(f, c->session);

	if (m)
		close_session(f, m);
	else if (c->session == 0 || c->session > f->last_session)
		return not_open_status(f, c->session);
	return STATUS_OK;
}

/* ---- retired control processes ---- */

void fleet_retired_add(fleet_state_t *f, str_t key, uint64_t replica)
{
	if (f->nretired == f->retired_cap) {
		f->retired_cap = f->retired_cap ? f->retired_cap * 2 : LIST_CAP_MIN;
		f->retired = mem_grow(f->retired, f->retired_cap * sizeof(*f->retired));
	}
	f->retired[f->nretired++] = (fleet_retired_t){str_dup(key), replica};
}

/** Records that a control process must no longer hold replicas. */
static status_t retire_control(fleet_state_t *f, const wire_retire_t *c)
{
	if (c->key.wire_bytes_t_len == 0 || c->replica == 0)
		return status_fail(STATUS_INVALID, "control process has no name or replica");
	if (!fleet_is_retired_as(f, wire_str(c->key), c->replica))
		fleet_retired_add(f, wire_str(c->key), c->replica);
	return STATUS_OK;
}

static bool contains_session(const u_quad_t *v, u_int n, uint64_t session)
{
	for (u_int i = 0; i < n; i++)
		if (v[i] == session)
			return true;
	return false;
}

/** Removes sessions from the closed sessions to report to the ledgers. */
static void forget_closed_sessions(fleet_state_t *f, const u_quad_t *v, u_int n)
{
	size_t nleft = 0;

	for (size_t i = 0; i < f->nclosed; i++)
		if (!contains_session(v, n, f->closed[i]))
			f->closed[nleft++] = f->closed[i];
	f->nclosed = nleft;
}

/* ---- upstreams and owners ---- */

/** Returns true if the session may own the upstream; session 0 releases it. */
static bool may_own(const fleet_state_t *f, const fleet_upstream_t *u, uint64_t session)
{
	const fleet_member_t *m = fleet_find_member(f, session);

	if (session == 0)
		return true;
	return m && !m->draining && u->state != WIRE_UPSTREAM_GONE;
}

/** Changes the owner if the fencing token is still the one that the change was planned with, and
 * the new owner may own the upstream. Returns true if the owner changed. */
static bool change_owner(fleet_state_t *f, const wire_owner_change_t *c)
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

static status_t change_owners(fleet_state_t *f, const wire_owner_change_t *v, u_int n,
			      wire_fleet_res_t *res)
{
	u_int napplied = 0;

	for (u_int i = 0; i < n; i++)
		napplied += change_owner(f, &v[i]);
	if (napplied)
		f->view_version++;
	res->number = napplied;
	return STATUS_OK;
}

/** Replaces a string if it differs; returns true if it did. */
static bool replace_string(char **p, wire_bytes_t b)
{
	if (*p && str_eq(str_c(*p), wire_str(b)))
		return false;
	free(*p);
	*p = str_dup(wire_str(b));
	return true;
}

/** Adds or updates an upstream of the new list; a repeated id is ignored. Returns true if the view
 * changed. */
static bool update_listed_upstream(fleet_state_t *f, const wire_upstream_t *c)
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
	changed |= replace_string(&u->addr, c->addr);
	changed |= replace_string(&u->zone, c->zone);
	changed |= replace_string(&u->service, c->service);
	changed |= u->state != state;
	u->state = state;
	return changed;
}

/** Marks as gone an upstream that is no longer listed, and frees it if it has no owner. Returns
 * true if the view changed. */
static bool mark_unlisted_gone(fleet_state_t *f, fleet_upstream_t *u)
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
			changed |= update_listed_upstream(f, &v[i]);
	for (fleet_upstream_t *u = f->upstreams; u; u = next) {
		next = u->hh.next;
		if (!u->listed)
			changed |= mark_unlisted_gone(f, u);
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
		set_status(res, submit_config(f, &cmd->wire_fleet_cmd_t_u.submit, res));
		break;
	case WIRE_FLEET_SESSION_OPEN:
		set_status(res, open_session(f, &cmd->wire_fleet_cmd_t_u.open, res));
		break;
	case WIRE_FLEET_SESSION_DRAIN:
		set_status(res, drain_session(f, cmd->wire_fleet_cmd_t_u.drain));
		break;
	case WIRE_FLEET_SESSION_CLOSE:
		set_status(res, handle_session_close(f, &cmd->wire_fleet_cmd_t_u.close));
		break;
	case WIRE_FLEET_OWNERS:
		set_status(res, change_owners(f, cmd->wire_fleet_cmd_t_u.own.own_val,
					      cmd->wire_fleet_cmd_t_u.own.own_len, res));
		break;
	case WIRE_FLEET_UPSTREAMS:
		replace_upstreams(f, cmd->wire_fleet_cmd_t_u.upstreams.upstreams_val,
				  cmd->wire_fleet_cmd_t_u.upstreams.upstreams_len);
		break;
	case WIRE_FLEET_FORGET:
		forget_closed_sessions(f, cmd->wire_fleet_cmd_t_u.forget.forget_val,
				       cmd->wire_fleet_cmd_t_u.forget.forget_len);
		break;
	case WIRE_FLEET_RETIRE:
		set_status(res, retire_control(f, &cmd->wire_fleet_cmd_t_u.retire));
		break;
	default:
		set_status(res,
			   status_fail(STATUS_INVALID, "unknown fleet command %d", (int)cmd->kind));
	}
}
