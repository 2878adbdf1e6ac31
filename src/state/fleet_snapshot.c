/* Snapshots of the fleet's state. */
#include "state/fleet_internal.h"
#include "state/pack.h"

#define SNAPSHOT_MAGIC	 0x464cU
#define SNAPSHOT_VERSION 2U
/** First version, without the list of retired control processes. */
#define SNAPSHOT_VERSION_1 1U

static void pack_config(buf_t *out, const fleet_config_t *c)
{
	pack_u64(out, c->digest);
	pack_str(out, (str_t){c->operator_name, c->operator_n});
	pack_u64(out, c->text ? 1 : 0);
	pack_str(out, (str_t){c->text, c->text_n});
}

static void pack_member(buf_t *out, const fleet_member_t *m)
{
	pack_str(out, str_c(m->name));
	pack_str(out, str_c(m->addr));
	pack_str(out, str_c(m->peer));
	pack_str(out, str_c(m->zone));
	pack_u64(out, m->boot);
	pack_u64(out, m->session);
	pack_u64(out, m->draining);
}

static void pack_upstream(buf_t *out, const fleet_upstream_t *u)
{
	pack_str(out, str_c(u->id));
	pack_str(out, str_c(u->addr));
	pack_str(out, str_c(u->zone));
	pack_str(out, str_c(u->service));
	pack_u64(out, u->state);
	pack_u64(out, u->owner);
	pack_u64(out, u->fence);
	pack_u64(out, u->last_owner);
	pack_u64(out, u->released_view);
}

void fleet_snapshot(const fleet_state_t *f, buf_t *out)
{
	pack_u64(out, SNAPSHOT_MAGIC);
	pack_u64(out, SNAPSHOT_VERSION);
	pack_u64(out, f->ledger_groups);
	pack_u64(out, f->last_session);
	pack_u64(out, f->last_fence);
	pack_u64(out, f->view_version);
	pack_u64(out, f->nconfigs);
	for (uint64_t i = 0; i < f->nconfigs; i++)
		pack_config(out, &f->configs[i]);
	pack_u64(out, HASH_COUNT(f->members));
	for (const fleet_member_t *m = f->members; m; m = m->hh.next)
		pack_member(out, m);
	pack_u64(out, f->nclosed);
	for (size_t i = 0; i < f->nclosed; i++)
		pack_u64(out, f->closed[i]);
	pack_u64(out, HASH_COUNT(f->upstreams));
	for (const fleet_upstream_t *u = f->upstreams; u; u = u->hh.next)
		pack_upstream(out, u);
	pack_u64(out, f->nretired);
	for (size_t i = 0; i < f->nretired; i++) {
		pack_str(out, str_c(f->retired[i].key));
		pack_u64(out, f->retired[i].replica);
	}
}

static void unpack_config(unpacker_t *in, fleet_state_t *f)
{
	uint64_t digest = unpack_u64(in);
	str_t operator_name = unpack_str(in);
	bool has_text = unpack_u64_max(in, 1) == 1;
	str_t text = unpack_str(in);

	fleet_config_add(f, digest, operator_name, text);
	if (!has_text)
		fleet_config_drop_text(f, f->nconfigs);
}

static void unpack_member(unpacker_t *in, fleet_state_t *f)
{
	fleet_member_t *m = mem_new(sizeof(*m));

	m->name = str_dup(unpack_str(in));
	m->addr = str_dup(unpack_str(in));
	m->peer = str_dup(unpack_str(in));
	m->zone = str_dup(unpack_str(in));
	m->boot = unpack_u64(in);
	m->session = unpack_u64(in);
	m->draining = unpack_u64_max(in, 1) == 1;
	fleet_member_add(f, m);
}

static void unpack_upstream(unpacker_t *in, fleet_state_t *f)
{
	fleet_upstream_t *u = mem_new(sizeof(*u));

	u->id = str_dup(unpack_str(in));
	u->addr = str_dup(unpack_str(in));
	u->zone = str_dup(unpack_str(in));
	u->service = str_dup(unpack_str(in));
	u->state = (wire_upstream_state_t)unpack_u64_max(in, WIRE_UPSTREAM_GONE);
	u->owner = unpack_u64(in);
	u->fence = unpack_u64(in);
	u->last_owner = unpack_u64(in);
	u->released_view = unpack_u64(in);
	fleet_upstream_add(f, u);
}

static status_t unpack_all(fleet_state_t *f, str_t snap)
{
	unpacker_t in = {snap, false};
	uint64_t version;
	uint64_t n;

	n = unpack_u64(&in);
	version = unpack_u64(&in);
	if (n != SNAPSHOT_MAGIC || version < SNAPSHOT_VERSION_1 || version > SNAPSHOT_VERSION)
		return status_fail(STATUS_CORRUPT, "not a fleet snapshot of version %u",
				   SNAPSHOT_VERSION);
	f->ledger_groups = (unsigned)unpack_u64_max(&in, UINT32_MAX);
	f->last_session = unpack_u64(&in);
	f->last_fence = unpack_u64(&in);
	f->view_version = unpack_u64(&in);
	for (n = unpack_u64(&in); n > 0 && !in.bad; n--)
		unpack_config(&in, f);
	fleet_config_drop_old_texts(f);
	for (n = unpack_u64(&in); n > 0 && !in.bad; n--)
		unpack_member(&in, f);
	for (n = unpack_u64(&in); n > 0 && !in.bad; n--)
		fleet_closed_add(f, unpack_u64(&in));
	for (n = unpack_u64(&in); n > 0 && !in.bad; n--)
		unpack_upstream(&in, f);
	if (version >= SNAPSHOT_VERSION) {
		for (n = unpack_u64(&in); n > 0 && !in.bad; n--) {
			str_t key = unpack_str(&in);

			fleet_retired_add(f, key, unpack_u64(&in));
		}
	}
	return unpack_end(&in, "fleet");
}

status_t fleet_restore(fleet_state_t *f, str_t snap)
{
	fleet_state_t *fresh = fleet_new(0);
	status_t st = unpack_all(fresh, snap);
	fleet_state_t old = *f;

	if (st == STATUS_OK) {
		*f = *fresh;
		*fresh = old;
	}
	fleet_free(fresh);
	return st;
}
