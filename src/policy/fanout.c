#include "policy/fanout.h"

#include <stdlib.h>
#include <uthash.h>
#include "base/str.h"

typedef struct {
	uint64_t id;
	fanout_config_id_t holds;
	size_t bytes; /* on their way to it, while they hold up others */
	bool waits; /* for it to take what it was sent */
	deadline_t taken_by;
	UT_hash_handle hh;
} peer_t;

struct tf {
	fanout_callbacks_t cb;
	fanout_config_id_t text;
	fanout_config_id_t bases[FANOUT_BASES]; /* newest first */
	deadline_t since; /* when the text came into force here */
	bool told; /* that all hold it */
	size_t flight;
	size_t behind;
	peer_t *peers;
};

bool fanout_config_id_eq(fanout_config_id_t a, fanout_config_id_t b)
{
	return a.number == b.number && a.digest == b.digest;
}

fanout_t *fanout_new(const fanout_callbacks_t *cb)
{
	fanout_t *f = mem_new(sizeof(*f));

	f->cb = *cb;
	return f;
}

void fanout_free(fanout_t *f)
{
	peer_t *p;
	peer_t *next;

	if (!f)
		return;
	HASH_ITER (hh, f->peers, p, next) {
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): what is freed was unlinked */
		HASH_DEL(f->peers, p);
		free(p);
	}
	free(f);
}

static peer_t *find(const fanout_t *f, uint64_t id)
{
	peer_t *p;

	HASH_FIND(hh, f->peers, &id, sizeof(id), p);
	return p;
}

static bool is_behind(const fanout_t *f, const peer_t *p)
{
	return !fanout_config_id_eq(p->holds, f->text);
}

static void land(fanout_t *f, peer_t *p)
{
	f->flight -= p->bytes;
	p->bytes = 0;
}

static void set_holds(fanout_t *f, peer_t *p, fanout_config_id_t holds)
{
	f->behind -= is_behind(f, p);
	p->holds = holds;
	f->behind += is_behind(f, p);
}

static fanout_config_id_t base_for(const fanout_t *f, fanout_config_id_t holds)
{
	for (size_t i = 0; i < FANOUT_BASES; i++) {
		if (holds.number && fanout_config_id_eq(f->bases[i], holds))
			return holds;
	}
	return (fanout_config_id_t){0, 0};
}

static void send(fanout_t *f, peer_t *p, deadline_t now)
{
	p->bytes = f->cb.send(f->cb.ctx, p->id, base_for(f, p->holds));
	p->waits = true;
	p->taken_by = now + FANOUT_ACK_MS;
	f->flight += p->bytes;
}

static void send_to(fanout_t *f, bool without_text, deadline_t now)
{
	for (peer_t *p = f->peers; p && f->flight < FANOUT_IN_FLIGHT_BYTES; p = p->hh.next) {
		if (!p->waits && is_behind(f, p) && (p->holds.number == 0) == without_text)
			send(f, p, now);
	}
}

void fanout_tick(fanout_t *f, deadline_t now)
{
	if (f->text.number == 0)
		return;
	for (peer_t *p = f->peers; p && f->flight > 0; p = p->hh.next) {
		if (p->bytes > 0 && now >= p->taken_by)
			land(f, p);
	}
	if (f->behind > 0) {
		/* Those without any text can't serve. */
		send_to(f, true, now);
		send_to(f, false, now);
		return;
	}
	if (f->told || !f->peers)
		return;
	f->told = true;
	f->cb.converged(f->cb.ctx, f->text, HASH_COUNT(f->peers), now - f->since);
}

void fanout_set_config(fanout_t *f, fanout_config_id_t t, deadline_t now)
{
	if (fanout_config_id_eq(f->text, t))
		return;
	for (size_t i = FANOUT_BASES - 1; i > 0; i--)
		f->bases[i] = f->bases[i - 1];
	f->bases[0] = f->text;
	f->text = t;
	f->since = now;
	f->told = false;
	f->behind = 0;
	for (peer_t *p = f->peers; p; p = p->hh.next)
		f->behind += is_behind(f, p);
	fanout_tick(f, now);
}

void fanout_peer_add(fanout_t *f, uint64_t id, fanout_config_id_t holds, deadline_t now)
{
	peer_t *p = find(f, id);

	if (!p) {
		p = mem_new(sizeof(*p));
		p->id = id;
		p->holds = f->text; /* until set_holds counts it */
		HASH_ADD(hh, f->peers, id, sizeof(p->id), p);
	}
	set_holds(f, p, holds);
	fanout_tick(f, now);
}

void fanout_peer_remove(fanout_t *f, uint64_t id)
{
	peer_t *p = find(f, id);

	if (!p)
		return;
	land(f, p);
	f->behind -= is_behind(f, p);
	HASH_DEL(f->peers, p);
	free(p);
}

void fanout_peer_acked(fanout_t *f, uint64_t id, fanout_config_id_t holds, deadline_t now)
{
	peer_t *p = find(f, id);

	if (!p)
		return;
	land(f, p);
	p->waits = false;
	set_holds(f, p, holds);
	fanout_tick(f, now);
}

void fanout_stats(const fanout_t *f, fanout_stats_t *out)
{
	*out = (fanout_stats_t){HASH_COUNT(f->peers), f->behind, f->flight};
}
