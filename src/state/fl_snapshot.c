#include "state/fl_core.h"
#include "state/sn.h"

#define SNAPSHOT_MAGIC	 0x464cU
#define SNAPSHOT_VERSION 2U
/** Without the list of control processes that are emptied. */
#define SNAPSHOT_VERSION_1 1U

static void put_conf(buf_t *out, const fl_conf_t *c)
{
	sn_put(out, c->digest);
	sn_put_str(out, (str_t){c->operator_name, c->operator_n});
	sn_put(out, c->text ? 1 : 0);
	sn_put_str(out, (str_t){c->text, c->text_n});
}

static void put_member(buf_t *out, const fl_member_t *m)
{
	sn_put_str(out, str_c(m->name));
	sn_put_str(out, str_c(m->addr));
	sn_put_str(out, str_c(m->peer));
	sn_put_str(out, str_c(m->zone));
	sn_put(out, m->boot);
	sn_put(out, m->session);
	sn_put(out, m->draining);
}

static void put_upstream(buf_t *out, const fl_upstream_t *u)
{
	sn_put_str(out, str_c(u->id));
	sn_put_str(out, str_c(u->addr));
	sn_put_str(out, str_c(u->zone));
	sn_put_str(out, str_c(u->service));
	sn_put(out, u->state);
	sn_put(out, u->owner);
	sn_put(out, u->fence);
	sn_put(out, u->last_owner);
	sn_put(out, u->released_view);
}

void fl_snapshot(const fl_t *f, buf_t *out)
{
	sn_put(out, SNAPSHOT_MAGIC);
	sn_put(out, SNAPSHOT_VERSION);
	sn_put(out, f->ledger_groups);
	sn_put(out, f->last_session);
	sn_put(out, f->last_fence);
	sn_put(out, f->view_version);
	sn_put(out, f->nconfs);
	for (uint64_t i = 0; i < f->nconfs; i++)
		put_conf(out, &f->confs[i]);
	sn_put(out, HASH_COUNT(f->members));
	for (const fl_member_t *m = f->members; m; m = m->hh.next)
		put_member(out, m);
	sn_put(out, f->nclosed);
	for (size_t i = 0; i < f->nclosed; i++)
		sn_put(out, f->closed[i]);
	sn_put(out, HASH_COUNT(f->upstreams));
	for (const fl_upstream_t *u = f->upstreams; u; u = u->hh.next)
		put_upstream(out, u);
	sn_put(out, f->nretired);
	for (size_t i = 0; i < f->nretired; i++) {
		sn_put_str(out, str_c(f->retired[i].name));
		sn_put(out, f->retired[i].replica);
	}
}

static void get_conf(sn_reader_t *in, fl_t *f)
{
	uint64_t digest = sn_get(in);
	str_t operator_name = sn_get_str(in);
	bool kept = sn_get_max(in, 1) == 1;
	str_t text = sn_get_str(in);

	fl_conf_add(f, digest, operator_name, text);
	if (!kept)
		fl_conf_drop_text(f, f->nconfs);
}

static void get_member(sn_reader_t *in, fl_t *f)
{
	fl_member_t *m = mem_new(sizeof(*m));

	m->name = str_dup(sn_get_str(in));
	m->addr = str_dup(sn_get_str(in));
	m->peer = str_dup(sn_get_str(in));
	m->zone = str_dup(sn_get_str(in));
	m->boot = sn_get(in);
	m->session = sn_get(in);
	m->draining = sn_get_max(in, 1) == 1;
	fl_member_add(f, m);
}

static void get_upstream(sn_reader_t *in, fl_t *f)
{
	fl_upstream_t *u = mem_new(sizeof(*u));

	u->id = str_dup(sn_get_str(in));
	u->addr = str_dup(sn_get_str(in));
	u->zone = str_dup(sn_get_str(in));
	u->service = str_dup(sn_get_str(in));
	u->state = (aw_upstream_state_t)sn_get_max(in, AW_UP_GONE);
	u->owner = sn_get(in);
	u->fence = sn_get(in);
	u->last_owner = sn_get(in);
	u->released_view = sn_get(in);
	fl_upstream_add(f, u);
}

static status_t read_all(fl_t *f, str_t snap)
{
	sn_reader_t in = {snap, false};
	uint64_t version;
	uint64_t n;

	n = sn_get(&in);
	version = sn_get(&in);
	if (n != SNAPSHOT_MAGIC || version < SNAPSHOT_VERSION_1 || version > SNAPSHOT_VERSION)
		return st_fail(ST_CORRUPT, "not a fleet snapshot of version %u", SNAPSHOT_VERSION);
	f->ledger_groups = (unsigned)sn_get_max(&in, UINT32_MAX);
	f->last_session = sn_get(&in);
	f->last_fence = sn_get(&in);
	f->view_version = sn_get(&in);
	for (n = sn_get(&in); n > 0 && !in.bad; n--)
		get_conf(&in, f);
	for (n = sn_get(&in); n > 0 && !in.bad; n--)
		get_member(&in, f);
	for (n = sn_get(&in); n > 0 && !in.bad; n--)
		fl_closed_add(f, sn_get(&in));
	for (n = sn_get(&in); n > 0 && !in.bad; n--)
		get_upstream(&in, f);
	if (version >= SNAPSHOT_VERSION) {
		for (n = sn_get(&in); n > 0 && !in.bad; n--) {
			str_t name = sn_get_str(&in);

			fl_retired_add(f, name, sn_get(&in));
		}
	}
	return sn_end(&in, "fleet");
}

status_t fl_restore(fl_t *f, str_t snap)
{
	fl_t *fresh = fl_new(0);
	status_t st = read_all(fresh, snap);
	fl_t old = *f;

	if (st == ST_OK) {
		*f = *fresh;
		*fresh = old;
	}
	fl_free(fresh);
	return st;
}
