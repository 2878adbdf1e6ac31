/* Fan-out of configs to connected entries. */
#include "policy/fanout.h"

#include <stdlib.h>
#include <uthash.h>
#include "base/str.h"

typedef struct {
	uint64_t id;
	fanout_config_id_t config;
	size_t bytes; /* in flight to this peer; 0 from FANOUT_ACK_MS after sending */
	bool awaiting_ack;
	deadline_t ack_by; /* when `bytes` no longer count as in flight */
	UT_hash_handle hh;
} peer_t;

struct fanout {
	fanout_callbacks_t cb;
	fanout_config_id_t newest;
	fanout_config_id_t bases[FANOUT_BASES]; /* earlier configs, newest first */
	deadline_t newest_since; /* when the newest config was set */
	bool converged_reported; /* for the newest config */
	size_t in_flight;
	size_t behind; /* number of peers that don't have the newest config */
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
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): unlinked before free() */
		HASH_DEL(f->peers, p);
		free(p);
	}
	free(f);
}

static peer_t *find_peer(const fanout_t *f, uint64_t id)
{
	peer_t *p;

	HASH_FIND(hh, f->peers, &id, sizeof(id), p);
	return p;
}

static bool is_behind(const fanout_t *f, const peer_t *p)
{
	return !fanout_config_id_eq(p->config, f->newest);
}

static void clear_in_flight(fanout_t *f, peer_t *p)
{
	f->in_flight -= p->bytes;
	p->bytes = 0;
}

static void set_peer_config(fanout_t *f, peer_t *p, fanout_config_id_t config)
{
	f->behind -= is_behind(f, p);
	p->config = config;
	f->behind += is_behind(f, p);
}

/* The base of the delta for a peer with this config; number 0 if the peer needs the whole config.
 */
static fanout_config_id_t delta_base(const fanout_t *f, fanout_config_id_t config)
{
	for (size_t i = 0; i < FANOUT_BASES; i++) {
		if (config.number && fanout_config_id_eq(f->bases[i], config))
			return config;
	}
	return (fanout_config_id_t){0, 0};
}

static void send_config(fanout_t *f, peer_t *p, deadline_t now)
{
	p->bytes = f->cb.send(f->cb.ctx, p->id, delta_base(f, p->config));
	p->awaiting_ack = true;
	p->ack_by = now + FANOUT_ACK_MS;
	f->in_flight += p->bytes;
}

/* Sends the newest config to peers that are behind: if without_config is set, to those that have no
 * config at all, otherwise to those that have another one. */
static void send_pending(fanout_t *f, bool without_config, deadline_t now)
{
	for (peer_t *p = f->peers; p && f->in_flight < FANOUT_IN_FLIGHT_BYTES; p = p->hh.next) {
		if (!p->awaiting_ack && is_behind(f, p) &&
		    (p->config.number == 0) == without_config)
			send_config(f, p, now);
	}
}

bool fanout_peer_is_current(const fanout_t *f, uint64_t peer)
{
	const peer_t *p = find_peer(f, peer);

	return p && !is_behind(f, p);
}

void fanout_tick(fanout_t *f, deadline_t now)
{
	if (f->newest.number == 0)
		return;
	for (peer_t *p = f->peers; p && f->in_flight > 0; p = p->hh.next) {
		if (p->bytes > 0 && now >= p->ack_by)
			clear_in_flight(f, p);
	}
	if (f->behind > 0) {
		/* Peers without any config first: they can't serve requests yet. */
		send_pending(f, true, now);
		send_pending(f, false, now);
		return;
	}
	if (f->converged_reported || !f->peers)
		return;
	f->converged_reported = true;
	f->cb.converged(f->cb.ctx, f->newest, HASH_COUNT(f->peers), now - f->newest_since);
}

void fanout_set_config(fanout_t *f, fanout_config_id_t config, deadline_t now)
{
	if (fanout_config_id_eq(f->newest, config))
		return;
	for (size_t i = FANOUT_BASES - 1; i > 0; i--)
		f->bases[i] = f->bases[i - 1];
	f->bases[0] = f->newest;
	f->newest = config;
	f->newest_since = now;
	f->converged_reported = false;
	f->behind = 0;
	for (peer_t *p = f->peers; p; p = p->hh.next)
		f->behind += is_behind(f, p);
	fanout_tick(f, now);
}

void fanout_peer_add(fanout_t *f, uint64_t peer, fanout_config_id_t config, deadline_t now)
{
	peer_t *p = find_peer(f, peer);

	if (!p) {
		p = mem_new(sizeof(*p));
		p->id = peer;
		p->config = f->newest; /* counts as up to date until set_peer_config() */
		HASH_ADD(hh, f->peers, id, sizeof(p->id), p);
	}
	set_peer_config(f, p, config);
	if (is_behind(f, p))
		fanout_tick(f, now);
}

void fanout_peer_remove(fanout_t *f, uint64_t peer)
{
	peer_t *p = find_peer(f, peer);

	if (!p)
		return;
	clear_in_flight(f, p);
	f->behind -= is_behind(f, p);
	HASH_DEL(f->peers, p);
	free(p);
}

void fanout_peer_acked(fanout_t *f, uint64_t peer, fanout_config_id_t config, deadline_t now)
{
	peer_t *p = find_peer(f, peer);

	if (!p)
		return;
	clear_in_flight(f, p);
	p->awaiting_ack = false;
	set_peer_config(f, p, config);
	fanout_tick(f, now);
}

void fanout_stats(const fanout_t *f, fanout_stats_t *out)
{
	*out = (fanout_stats_t){HASH_COUNT(f->peers), f->behind, f->in_flight};
}
